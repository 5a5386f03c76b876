//! Starts a layout on loopback addresses: stand-ins on TCP sockets, and settings for the daemons.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ed25519_dalek::SigningKey;
use indexmap::IndexMap;
use stoatjunction_core::shard::ShardSettings;
use stoatjunction_dispatcher::Dispatcher;
use stoatjunction_gateway::Gateway;
use stoatjunction_net::bundle::{BundleStore, OperatorKeys};
use stoatjunction_net::platform::ObjectApiClient;
use stoatjunction_net::settings::DaemonSettings;
use stoatjunction_net::stop::Stop;
use stoatjunction_standin::engine::{EngineRecord, EngineServer};
use stoatjunction_standin::host_list::HostListServer;
use stoatjunction_standin::object_api::{ObjectApiServer, ObjectApiSettings};
use stoatjunction_standin::plain::PlainServer;
use tokio::sync::watch;

use crate::layout::Layout;

/// Bearer token for the admin listeners.
pub const ADMIN_TOKEN: &str = "admin-token-of-the-demo";
/// Port of the gateways' listeners for callers.
const GATEWAY_PORT: u16 = 8080;
/// Port of the gateways' admin listeners.
const GATEWAY_ADMIN_PORT: u16 = 8081;
/// Port of the dispatchers' link listeners.
const DISPATCHER_PORT: u16 = 7080;
/// Port of the dispatchers' admin listeners.
const DISPATCHER_ADMIN_PORT: u16 = 7081;
/// Timeout for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a loopback address derived from the process id and a counter, so that processes don't
/// share addresses. They repeat after 254 addresses in a process, or 62,500 process ids.
pub fn unique_loopback_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    format!(
        "127.{}.{}.{}",
        1 + pid % 250,
        (pid / 250) % 250,
        n % 254 + 1
    )
}

/// Returns the signing key of the operator `name`. The operators are `ana` and `berta`.
pub fn operator_signing_key(name: &str) -> SigningKey {
    SigningKey::from_bytes(&[name.as_bytes()[0]; 32])
}

/// Returns the public keys of the operators by name.
pub fn operator_public_keys() -> OperatorKeys {
    ["ana", "berta"]
        .map(|n| (n.to_owned(), operator_signing_key(n).verifying_key()))
        .into_iter()
        .collect()
}

/// Stand-in for an upstream.
#[derive(Debug)]
pub enum Upstream {
    /// An engine.
    Engine(EngineServer),
    /// A plain service.
    Plain(PlainServer),
}

impl Upstream {
    /// Returns the address that it listens on.
    pub fn addr(&self) -> String {
        match self {
            Upstream::Engine(e) => e.addr.to_string(),
            Upstream::Plain(p) => p.addr.to_string(),
        }
    }

    /// Returns the record of the requests received so far.
    pub fn record(&self) -> EngineRecord {
        match self {
            Upstream::Engine(e) => e.engine.record(),
            Upstream::Plain(p) => p.service.record(),
        }
    }
}

/// Stand-ins for the systems around stoatjunction.
#[derive(Debug)]
pub struct Environment {
    /// The layout.
    pub layout: Layout,
    /// Stand-in for the platform's Object API.
    pub object_api: ObjectApiServer,
    /// Stand-in for the platform's host list.
    pub host_list: HostListServer,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
}

impl Environment {
    /// Starts the stand-ins of `layout`.
    ///
    /// # Errors
    ///
    /// Returns a report if a stand-in cannot listen on its address.
    pub async fn start(layout: Layout) -> miette::Result<Environment> {
        let failed = |e: std::io::Error| miette::miette!("failed to start a stand-in: {e}");
        let any_port = "127.0.0.1:0";
        let object_api = ObjectApiServer::start(any_port, ObjectApiSettings::default())
            .await
            .map_err(failed)?;
        let host_list = HostListServer::start(any_port, Duration::from_millis(500))
            .await
            .map_err(failed)?;
        let mut upstreams = IndexMap::new();
        for plan in &layout.upstreams {
            let upstream = if plan.is_plain() {
                Upstream::Plain(PlainServer::start(any_port).await.map_err(failed)?)
            } else {
                let engine = plan.engine.clone();
                Upstream::Engine(
                    EngineServer::start(any_port, engine)
                        .await
                        .map_err(failed)?,
                )
            };
            upstreams.insert(plan.name.clone(), upstream);
        }
        Ok(Environment {
            layout,
            object_api,
            host_list,
            upstreams,
        })
    }

    /// Returns the addresses of the upstreams by name.
    pub fn addrs(&self) -> IndexMap<String, String> {
        self.upstreams
            .iter()
            .map(|(name, u)| (name.clone(), u.addr()))
            .collect()
    }

    /// Returns a client for the bundles in the Object API.
    pub fn bundles(&self) -> BundleStore {
        let addr = self.object_api.addr.to_string();
        BundleStore::new(ObjectApiClient::new(&addr, Duration::from_secs(2)))
    }

    /// Proposes, approves and accepts the bundle `text`. Returns its number.
    ///
    /// # Errors
    ///
    /// Returns a report if one of the steps fails.
    pub async fn roll_out(&self, text: &str) -> miette::Result<u64> {
        let failed = |e| miette::miette!("failed to roll out the bundle: {e}");
        let store = self.bundles();
        let (ana, berta) = (operator_signing_key("ana"), operator_signing_key("berta"));
        let record = store
            .propose(text, "roll out", "ana", &ana)
            .await
            .map_err(failed)?;
        let keys = operator_public_keys();
        store
            .approve(record.number, "berta", &berta, &keys)
            .await
            .map_err(failed)?;
        store
            .accept(record.number, "ana", &keys)
            .await
            .map_err(failed)?;
        Ok(record.number)
    }

    /// Returns how often a request with `tag` was started, over all upstreams.
    pub fn start_count(&self, tag: &str) -> usize {
        self.upstreams
            .values()
            .map(|u| u.record().start_count(tag))
            .sum()
    }
}

/// An entry host of a layout.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Name.
    pub name: String,
    /// Data centre.
    pub dc: String,
    /// IP address.
    pub ip: String,
}

impl HostPlan {
    /// Returns the address of the gateway's listener for callers.
    pub fn gateway_addr(&self) -> String {
        format!("{}:{GATEWAY_PORT}", self.ip)
    }

    /// Returns the address of the gateway's admin listener.
    pub fn gateway_admin_addr(&self) -> String {
        format!("{}:{GATEWAY_ADMIN_PORT}", self.ip)
    }

    /// Returns the address of the dispatcher's link listener.
    pub fn dispatcher_addr(&self) -> String {
        format!("{}:{DISPATCHER_PORT}", self.ip)
    }

    /// Returns the address of the dispatcher's admin listener.
    pub fn dispatcher_admin_addr(&self) -> String {
        format!("{}:{DISPATCHER_ADMIN_PORT}", self.ip)
    }
}

/// Plans the entry hosts of `layout`, each with its own IP address.
pub fn host_plans(layout: &Layout) -> Vec<HostPlan> {
    let hosts_in_dc = |dc: &String| {
        let dc = dc.clone();
        (0..layout.hosts_per_dc).map(move |i| HostPlan {
            name: format!("{dc}-{i}"),
            dc: dc.clone(),
            ip: unique_loopback_ip(),
        })
    };
    layout.dcs.iter().flat_map(hosts_in_dc).collect()
}

/// Returns the settings of the gateway or the dispatcher on `host`.
pub fn daemon_settings(
    environment: &Environment,
    hosts: &[HostPlan],
    host: &HostPlan,
    is_gateway: bool,
) -> DaemonSettings {
    let mut seeds: Vec<String> = hosts.iter().map(HostPlan::dispatcher_addr).collect();
    if is_gateway {
        // A gateway discovers all other dispatchers through those in its data centre.
        let same_dc = hosts.iter().filter(|h| h.dc == host.dc);
        seeds = same_dc.map(HostPlan::dispatcher_addr).collect();
    }
    let (listen, admin) = if is_gateway {
        (host.gateway_addr(), host.gateway_admin_addr())
    } else {
        (host.dispatcher_addr(), host.dispatcher_admin_addr())
    };
    DaemonSettings {
        host: host.name.clone(),
        dc: host.dc.clone(),
        listen,
        admin,
        admin_token: ADMIN_TOKEN.to_owned(),
        seeds,
        object_api: environment.object_api.addr.to_string(),
        host_list: Some(environment.host_list.addr.to_string()),
        operators: operator_public_keys(),
        balancer_lag: Duration::from_millis(500),
        ..DaemonSettings::default()
    }
}

/// Formats settings as an INI file.
pub fn settings_ini(cfg: &DaemonSettings) -> String {
    let operators: Vec<String> = cfg
        .operators
        .iter()
        .map(|(name, key)| format!("{name} = {}", hex::encode(key.as_bytes())))
        .collect();
    let host_list = cfg
        .host_list
        .as_ref()
        .map_or(String::new(), |addr| format!("host-list = {addr}\n"));
    let advertise = cfg
        .advertise
        .as_ref()
        .map_or(String::new(), |addr| format!("advertise = {addr}\n"));
    format!(
        "[host]\nname = {}\ndc = {}\nlisten = {}\n{advertise}admin = {}\nadmin-token = {}\n\
         balancer-lag-ms = {}\ndrain-limit-ms = {}\nstall-ms = {}\n\n\
         [platform]\nobject-api = {}\n{host_list}timeout-ms = {}\n\n\
         [links]\nheartbeat-ms = {}\ntimeout-ms = {}\nseeds = {}\n\n[operators]\n{}\n",
        cfg.host,
        cfg.dc,
        cfg.listen,
        cfg.admin,
        cfg.admin_token,
        cfg.balancer_lag.as_millis(),
        cfg.drain_timeout.as_millis(),
        cfg.stall_timeout.as_millis(),
        cfg.object_api,
        cfg.platform_timeout.as_millis(),
        cfg.link.heartbeat.as_millis(),
        cfg.link.timeout.as_millis(),
        cfg.seeds.join(", "),
        operators.join("\n"),
    )
}

/// All entry hosts of a layout, with their daemons running inside this process.
#[derive(Debug)]
pub struct LocalFleet {
    /// Stand-ins for the surrounding systems.
    pub environment: Environment,
    /// The entry hosts.
    pub hosts: Vec<HostPlan>,
    /// Gateways by host name.
    pub gateways: HashMap<String, Gateway>,
    /// Dispatchers by host name.
    pub dispatchers: HashMap<String, Dispatcher>,
    stop: watch::Sender<Stop>,
}

impl LocalFleet {
    /// Starts the stand-ins and the daemons of `layout`, and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Returns a report if a component cannot be started or a host does not become ready.
    pub async fn start(layout: Layout) -> miette::Result<LocalFleet> {
        let environment = Environment::start(layout).await?;
        let bundle = environment.layout.bundle(&environment.addrs());
        environment.roll_out(&bundle).await?;
        let hosts = host_plans(&environment.layout);
        let (stop, stop_rx) = watch::channel(Stop::No);
        let mut gateways = HashMap::new();
        let mut dispatchers = HashMap::new();
        for host in &hosts {
            let cfg = daemon_settings(&environment, &hosts, host, false);
            let shard = ShardSettings::default();
            let started = stoatjunction_dispatcher::start(cfg, shard, stop_rx.clone()).await?;
            dispatchers.insert(host.name.clone(), started);
        }
        for host in &hosts {
            let cfg = daemon_settings(&environment, &hosts, host, true);
            let started = stoatjunction_gateway::start(cfg, stop_rx.clone()).await?;
            gateways.insert(host.name.clone(), started);
        }
        for host in &hosts {
            wait_ready(&host.gateway_addr()).await?;
        }
        Ok(LocalFleet {
            environment,
            hosts,
            gateways,
            dispatchers,
            stop,
        })
    }

    /// Stops every daemon gracefully. Returns true if all of them drained their requests.
    pub async fn stop(self) -> bool {
        let _ = self.stop.send(Stop::Graceful);
        let mut drained = true;
        for (_, gateway) in self.gateways {
            drained &= gateway.ended.await.unwrap_or(false);
        }
        for (_, dispatcher) in self.dispatchers {
            drained &= dispatcher.ended.await.unwrap_or(false);
        }
        drained
    }
}

/// Waits until the gateway at `addr` reports that it is ready.
///
/// # Errors
///
/// Returns a report if the gateway does not become ready in time.
pub async fn wait_ready(addr: &str) -> miette::Result<()> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let req = hyper::Request::get("/readyz").header("host", addr);
        let req = req
            .body(stoatjunction_net::http::full(""))
            .map_err(|e| miette::miette!("{e}"))?;
        let timeout = Duration::from_secs(1);
        let res = stoatjunction_net::http::call(addr, req, timeout).await;
        if res.is_ok_and(|r| r.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(miette::miette!(
        "gateway {addr} is not ready after {READY_TIMEOUT:?}"
    ))
}
