//! What the daemon has to be told.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use stoatjunction_core::entry::limit::Tolerance;
use stoatjunction_core::entry::retry_budget::RetryBudgetConfig;
use stoatjunction_core::time::Span;

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: String,
    /// Its data centre.
    pub dc: String,
    /// Its address.
    pub ip: IpAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready: SocketAddr,
    /// UDP port of beats between hosts, the same on all hosts.
    pub heartbeat_port: u16,
    /// TCP port at which hosts give each other their view, the same on all hosts.
    pub snapshot_port: u16,
    /// Hosts to begin with.
    pub seeds: Vec<IpAddr>,
    /// Budget of second sendings.
    pub retry_budget: RetryBudgetConfig,
    /// What organisations may use beyond their limits at the very most.
    pub tolerance: Tolerance,
    /// Time in which an upstream that leaves must get no more work.
    pub drain: Span,
    /// Time from SIGTERM until the process has to be gone.
    pub grace: Duration,
    /// Open files the process may have.
    pub max_open_files: usize,
}

impl Default for EntrySettings {
    fn default() -> EntrySettings {
        let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
        EntrySettings {
            host: "host".to_owned(),
            dc: "dc".to_owned(),
            ip: loopback,
            callers: SocketAddr::new(loopback, 8_080),
            ready: SocketAddr::new(loopback, 8_081),
            heartbeat_port: 8_090,
            snapshot_port: 8_091,
            seeds: Vec::new(),
            retry_budget: RetryBudgetConfig {
                ratio: 0.2,
                extra_retries: 20.0,
                window: Span::from_millis(10_000),
            },
            tolerance: Tolerance::default(),
            drain: Span::from_millis(2_000),
            grace: Duration::from_secs(8),
            max_open_files: 4_096,
        }
    }
}
