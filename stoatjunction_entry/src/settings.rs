//! Settings of the entry daemon.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use stoatjunction_core::entry::propagation::PropagationBounds;
use stoatjunction_core::entry::rate_limiter::Tolerance;
use stoatjunction_core::entry::retry_budget::RetryBudgetConfig;
use stoatjunction_core::entry::rollout::RolloutBounds;
use stoatjunction_core::time::Span;

use crate::protocol::{self, HostProtocol};

/// Settings of an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySettings {
    /// Name of this host.
    pub host: String,
    /// Its data centre.
    pub dc: String,
    /// Its address.
    pub ip: IpAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// UDP port for gossip between hosts, the same on all hosts.
    pub heartbeat_port: u16,
    /// TCP port for fetching snapshots from other hosts, the same on all hosts.
    pub snapshot_port: u16,
    /// TCP port for connections to upstreams that this host opens for others, the same on all hosts.
    pub tunnel_port: u16,
    /// True when the whole fleet starts for the first time.
    pub first_start: bool,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Hosts to contact first.
    pub seeds: Vec<IpAddr>,
    /// Budget for retries.
    pub retry_budget: RetryBudgetConfig,
    /// Maximum usage of organisations beyond their limits.
    pub tolerance: Tolerance,
    /// Promises on configurations and on upstreams that leave.
    pub propagation: PropagationBounds,
    /// Bounds on rollouts of software versions; `None` where orders for them are not handled.
    pub rollout: Option<RolloutBounds>,
    /// Time from SIGTERM until the process must have exited.
    pub grace: Duration,
    /// Maximum number of open files of the process.
    pub max_open_files: usize,
    /// Memory in megabytes beyond which the process is killed, if there is such a limit.
    pub memory_limit_mb: Option<u64>,
    /// Version of the protocol between hosts that this one pretends to speak in tests of later builds. It then sends
    /// fields and messages that this build does not have.
    pub trial_protocol: Option<u16>,
}

impl EntrySettings {
    /// Returns the protocol that this host states.
    pub(crate) fn protocol(&self) -> HostProtocol {
        HostProtocol::up_to(self.trial_protocol.unwrap_or(protocol::CURRENT))
    }
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
            tunnel_port: 8_093,
            first_start: false,
            metrics: SocketAddr::new(loopback, 8_092),
            seeds: Vec::new(),
            retry_budget: RetryBudgetConfig {
                ratio: 0.2,
                extra_retries: 20.0,
                window: Span::from_millis(10_000),
            },
            tolerance: Tolerance::default(),
            propagation: PropagationBounds::default(),
            rollout: None,
            grace: Duration::from_secs(8),
            max_open_files: 4_096,
            memory_limit_mb: None,
            trial_protocol: None,
        }
    }
}
