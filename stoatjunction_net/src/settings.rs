//! Settings that the gateway and the dispatcher read from their INI files.

use std::path::Path;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;

use crate::bundle::OperatorKeys;
use crate::ini::{Document, IniErrors};
use crate::link::LinkSettings;

/// Settings of a gateway or dispatcher.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Data centre of the host.
    pub dc: String,
    /// Listen address: for callers on a gateway, for links on a dispatcher.
    pub listen: String,
    /// Address at which others reach the listener, if it differs from `listen`.
    pub advertise: Option<String>,
    /// Listen address of the admin interface.
    pub admin: String,
    /// Bearer token of the admin interface.
    pub admin_token: String,
    /// Address of the statsd server, if metrics are exported.
    pub statsd: Option<String>,
    /// Control addresses of dispatchers through which the others are discovered. For a gateway, the
    /// dispatcher on its own host comes first.
    pub seeds: Vec<String>,
    /// Address of the Object API.
    pub object_api: String,
    /// Address of the host list, if there is one.
    pub host_list: Option<String>,
    /// Timeout for calls to the platform.
    pub platform_timeout: Duration,
    /// Public keys of the operators.
    pub operators: OperatorKeys,
    /// Settings of links.
    pub link: LinkSettings,
    /// Time for which new requests are still accepted after a stop signal, so that the load balancer
    /// has time to notice that the daemon is not ready.
    pub balancer_lag: Duration,
    /// Timeout for requests in progress to finish after a stop signal; the others are cut off.
    pub drain_timeout: Duration,
    /// Time without data from an upstream during a response after which the stream is resumed on a
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
            drain_timeout: Duration::from_millis(120_000),
            stall_timeout: Duration::from_millis(1_000),
        }
    }
}

/// Shortest admin token that is accepted, in characters.
const MIN_TOKEN_CHARS: usize = 16;

impl DaemonSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// A report of every error found.
    pub fn load(path: &Path) -> miette::Result<DaemonSettings> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| miette::miette!("{}: {e}", path.display()))?;
        Ok(DaemonSettings::parse(&path.display().to_string(), &text)?)
    }

    /// Reads and checks settings from `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] with every error found.
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
    if !cfg.admin_token.is_empty() && cfg.admin_token.len() < MIN_TOKEN_CHARS {
        doc.add_error(
            &s,
            "admin-token",
            format!("shorter than {MIN_TOKEN_CHARS} characters"),
        );
    }
    if cfg.listen == cfg.admin && !cfg.listen.ends_with(":0") {
        doc.add_error(&s, "admin", "must differ from listen");
    }
    cfg.statsd = doc.optional_address(&mut s, "statsd");
    cfg.balancer_lag = millis(doc, &mut s, "balancer-lag-ms", 0..=60_000, cfg.balancer_lag);
    cfg.drain_timeout = millis(
        doc,
        &mut s,
        "drain-limit-ms",
        100..=3_600_000,
        cfg.drain_timeout,
    );
    cfg.stall_timeout = millis(doc, &mut s, "stall-ms", 50..=60_000, cfg.stall_timeout);
    if cfg.drain_timeout < cfg.balancer_lag {
        doc.add_error(&s, "drain-limit-ms", "must not be below balancer-lag-ms");
    }
    doc.check_unknown_keys(&s);
}

fn read_platform(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("platform");
    cfg.object_api = doc.address(&mut s, "object-api");
    cfg.host_list = doc.optional_address(&mut s, "host-list");
    let default = cfg.platform_timeout;
    cfg.platform_timeout = millis(doc, &mut s, "timeout-ms", 10..=60_000, default);
    doc.check_unknown_keys(&s);
}

fn read_links(doc: &mut Document, cfg: &mut DaemonSettings) {
    let mut s = doc.take_section("links");
    let defaults = LinkSettings::default();
    let heartbeat = millis(doc, &mut s, "heartbeat-ms", 10..=10_000, defaults.heartbeat);
    let timeout = millis(doc, &mut s, "timeout-ms", 50..=60_000, defaults.timeout);
    if timeout < heartbeat * 2 {
        doc.add_error(&s, "timeout-ms", "must be at least twice heartbeat-ms");
    }
    cfg.link = LinkSettings {
        heartbeat,
        timeout,
        ..defaults
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
            "at least two operators are needed, because a bundle must be approved by another operator",
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

/// Parses an Ed25519 public key in hexadecimal.
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
