//! Settings that both daemons read from their INI file.

use std::path::Path;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;

use crate::bundle::OperatorKeys;
use crate::ini::{Document, IniErrors};
use crate::link::LinkSettings;

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Data centre of the host.
    pub dc: String,
    /// Address that the daemon listens on: callers for a gateway, links for a dispatcher.
    pub listen: String,
    /// Address that others reach the listener at, when it is not the same.
    pub advertise: Option<String>,
    /// Address of the admin listener.
    pub admin: String,
    /// Bearer token of the admin listener.
    pub admin_token: String,
    /// Address of the statsd server, when there is one.
    pub statsd: Option<String>,
    /// Control addresses of some dispatchers to find the others by; for a gateway, its own host's
    /// dispatcher first.
    pub seeds: Vec<String>,
    /// Address of the Object API.
    pub object_api: String,
    /// Address of the host list.
    pub host_list: Option<String>,
    /// Longest wait for an answer of the platform.
    pub platform_timeout: Duration,
    /// Public keys of the operators.
    pub operators: OperatorKeys,
    /// Settings of links.
    pub link: LinkSettings,
    /// How long new requests are still taken after a stop was asked for, so that the balancer
    /// notices.
    pub balancer_lag: Duration,
    /// Longest time to finish requests in progress after a stop was asked for.
    pub drain_limit: Duration,
    /// Silence of an upstream in the midst of an answer after which the stream is resumed on a
    /// new connection.
    pub stall_timeout: Duration,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        DaemonSettings {
            host: "host".to_owned(),
            dc: "dc".to_owned(),
            listen: "127.0.0.1:0".to_owned(),
            advertise: None,
            admin: "127.0.0.1:0".to_owned(),
            admin_token: String::new(),
            statsd: None,
            seeds: Vec::new(),
            object_api: String::new(),
            host_list: None,
            platform_timeout: Duration::from_millis(1_000),
            operators: OperatorKeys::default(),
            link: LinkSettings::default(),
            balancer_lag: Duration::from_millis(2_000),
            drain_limit: Duration::from_millis(120_000),
            stall_timeout: Duration::from_millis(1_000),
        }
    }
}

/// Shortest token accepted for the admin listener.
const MIN_TOKEN: usize = 16;

impl DaemonSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// A report with every fault.
    pub fn load(path: &Path) -> miette::Result<DaemonSettings> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| miette::miette!("{}: {e}", path.display()))?;
        Ok(DaemonSettings::parse(&path.display().to_string(), &text)?)
    }

    /// Reads and checks settings from `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] with every fault.
    pub fn parse(file: &str, text: &str) -> Result<DaemonSettings, IniErrors> {
        let mut doc = Document::parse(file, text)?;
        let mut cfg = DaemonSettings::default();
        read_host(&mut doc, &mut cfg);
        read_platform(&mut doc, &mut cfg);
        read_links(&mut doc, &mut cfg);
        read_operators(&mut doc, &mut cfg);
        doc.finish()?;
        Ok(cfg)
    }
}

fn read_host(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("host");
    cfg.host = doc.required(&mut s, "name");
    cfg.dc = doc.required(&mut s, "dc");
    cfg.listen = doc.address(&mut s, "listen");
    cfg.advertise = doc.optional_address(&mut s, "advertise");
    cfg.admin = doc.address(&mut s, "admin");
    cfg.admin_token = doc.required(&mut s, "admin-token");
    if !cfg.admin_token.is_empty() && cfg.admin_token.len() < MIN_TOKEN {
        doc.add_error(
            &s,
            "admin-token",
            format!("shorter than {MIN_TOKEN} characters"),
        );
    }
    if cfg.listen == cfg.admin && !cfg.listen.ends_with(":0") {
        doc.add_error(&s, "admin", "the same address as listen");
    }
    cfg.statsd = doc.optional_address(&mut s, "statsd");
    cfg.balancer_lag = millis(doc, &mut s, "balancer-lag-ms", 0..=60_000, cfg.balancer_lag);
    cfg.drain_limit = millis(
        doc,
        &mut s,
        "drain-limit-ms",
        100..=3_600_000,
        cfg.drain_limit,
    );
    cfg.stall_timeout = millis(doc, &mut s, "stall-ms", 50..=60_000, cfg.stall_timeout);
    if cfg.drain_limit < cfg.balancer_lag {
        doc.add_error(&s, "drain-limit-ms", "it lies below balancer-lag-ms");
    }
    doc.check_unknown_keys(&s);
}

fn read_platform(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("platform");
    cfg.object_api = doc.address(&mut s, "object-api");
    cfg.host_list = doc.optional_address(&mut s, "host-list");
    let limit = cfg.platform_timeout;
    cfg.platform_timeout = millis(doc, &mut s, "timeout-ms", 10..=60_000, limit);
    doc.check_unknown_keys(&s);
}

fn read_links(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("links");
    let base = LinkSettings::default();
    let heartbeat = millis(doc, &mut s, "heartbeat-ms", 10..=10_000, base.heartbeat);
    let timeout = millis(doc, &mut s, "timeout-ms", 50..=60_000, base.timeout);
    if timeout < heartbeat * 2 {
        doc.add_error(&s, "timeout-ms", "it lies below two heartbeats");
    }
    cfg.link = LinkSettings {
        heartbeat,
        timeout,
        ..base
    };
    cfg.seeds = doc.list(&mut s, "seeds");
    for seed in cfg.seeds.clone() {
        if seed.parse::<std::net::SocketAddr>().is_err() {
            doc.add_error(&s, "seeds", format!("`{seed}` is not an address `ip:port`"));
        }
    }
    doc.check_unknown_keys(&s);
}

fn read_operators(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("operators");
    let names: Vec<String> = s.entries().map(|(k, _)| k.to_owned()).collect();
    if names.len() < 2 {
        doc.add_error(
            &s,
            "",
            "two operators at least are needed, since one approves another's bundle",
        );
    }
    for name in names {
        let text = doc.required(&mut s, &name);
        match parse_key(&text) {
            Some(key) => {
                cfg.operators.insert(name, key);
            }
            None => doc.add_error(&s, &name, "not a public key of 32 bytes in hexadecimal"),
        }
    }
    doc.check_unknown_keys(&s);
}

/// Reads a public key from hexadecimal.
pub fn parse_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

fn millis(
    doc: &mut Document,
    s: &mut crate::ini::Section,
    key: &str,
    range: std::ops::RangeInclusive<u64>,
    default: Duration,
) -> Duration {
    Duration::from_millis(doc.number(s, key, range, default.as_millis() as u64))
}
