//! Bringing a layout up on loopback: stand-ins on real sockets, and settings for the daemons.

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

/// Bearer token of the admin listeners.
pub const ADMIN_TOKEN: &str = "admin-token-of-the-demo";
/// Port of the gateways' listeners for callers.
const GATEWAY_PORT: u16 = 8080;
/// Port of the gateways' admin listeners.
const GATEWAY_ADMIN_PORT: u16 = 8081;
/// Port of the dispatchers' link listeners.
const DISPATCHER_PORT: u16 = 7080;
/// Port of the dispatchers' admin listeners.
const DISPATCHER_ADMIN_PORT: u16 = 7081;
/// Longest wait for a host to become ready.
const READY: Duration = Duration::from_secs(30);

/// A loopback address that no other user of this function gets, in this or another process.
pub fn fresh_ip() -> String {
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

/// The operators of a layout: `ana` and `berta`.
pub fn operator(name: &str) -> SigningKey {
    SigningKey::from_bytes(&[name.as_bytes()[0]; 32])
}

/// Public keys of the operators.
pub fn operator_keys() -> OperatorKeys {
    ["ana", "berta"]
        .map(|n| (n.to_owned(), operator(n).verifying_key()))
        .into_iter()
        .collect()
}

/// An upstream stand-in.
#[derive(Debug)]
pub enum Upstream {
    /// An engine.
    Engine(EngineServer),
    /// A plain service.
    Plain(PlainServer),
}

impl Upstream {
    /// Address it listens on.
    pub fn addr(&self) -> String {
        match self {
            Upstream::Engine(e) => e.addr.to_string(),
            Upstream::Plain(p) => p.addr.to_string(),
        }
    }

    /// What it did so far.
    pub fn record(&self) -> EngineRecord {
        match self {
            Upstream::Engine(e) => e.engine.record(),
            Upstream::Plain(p) => p.service.record(),
        }
    }
}

/// The systems around stoatjunction.
#[derive(Debug)]
pub struct World {
    /// The layout.
    pub layout: Layout,
    /// The platform's Object API.
    pub objects: ObjectApiServer,
    /// The platform's host list.
    pub hosts: HostListServer,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
}

impl World {
    /// Starts the stand-ins of `layout`.
    ///
    /// # Errors
    ///
    /// A report when an address cannot be had.
    pub async fn start(layout: Layout) -> miette::Result<World> {
        let failed = |e: std::io::Error| miette::miette!("stand-in: {e}");
        let any = "127.0.0.1:0";
        let objects = ObjectApiServer::start(any, ObjectApiSettings::default())
            .await
            .map_err(failed)?;
        let hosts = HostListServer::start(any, Duration::from_millis(500))
            .await
            .map_err(failed)?;
        let mut upstreams = IndexMap::new();
        for plan in &layout.upstreams {
            let upstream = if plan.is_plain() {
                Upstream::Plain(PlainServer::start(any).await.map_err(failed)?)
            } else {
                let engine = plan.engine.clone();
                Upstream::Engine(EngineServer::start(any, engine).await.map_err(failed)?)
            };
            upstreams.insert(plan.name.clone(), upstream);
        }
        Ok(World {
            layout,
            objects,
            hosts,
            upstreams,
        })
    }

    /// Addresses of the upstreams by name.
    pub fn addrs(&self) -> IndexMap<String, String> {
        self.upstreams
            .iter()
            .map(|(name, u)| (name.clone(), u.addr()))
            .collect()
    }

    /// The bundles in the platform.
    pub fn bundles(&self) -> BundleStore {
        let addr = self.objects.addr.to_string();
        BundleStore::new(ObjectApiClient::new(&addr, Duration::from_secs(2)))
    }

    /// Proposes, approves and accepts `text`, and returns its number.
    ///
    /// # Errors
    ///
    /// A report when a step fails.
    pub async fn roll_out(&self, text: &str) -> miette::Result<u64> {
        let failed = |e| miette::miette!("bundle: {e}");
        let store = self.bundles();
        let (ana, berta) = (operator("ana"), operator("berta"));
        let record = store
            .propose(text, "roll out", "ana", &ana)
            .await
            .map_err(failed)?;
        let keys = operator_keys();
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

    /// How often each upstream started a request with `tag`, added up.
    pub fn starts_of(&self, tag: &str) -> usize {
        self.upstreams
            .values()
            .map(|u| u.record().starts_of(tag))
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
    /// Address.
    pub ip: String,
}

impl HostPlan {
    /// Address for callers.
    pub fn gateway(&self) -> String {
        format!("{}:{GATEWAY_PORT}", self.ip)
    }

    /// Admin address of the gateway.
    pub fn gateway_admin(&self) -> String {
        format!("{}:{GATEWAY_ADMIN_PORT}", self.ip)
    }

    /// Address of the dispatcher's links.
    pub fn dispatcher(&self) -> String {
        format!("{}:{DISPATCHER_PORT}", self.ip)
    }

    /// Admin address of the dispatcher.
    pub fn dispatcher_admin(&self) -> String {
        format!("{}:{DISPATCHER_ADMIN_PORT}", self.ip)
    }
}

/// The entry hosts of `layout`, each on an address of its own.
pub fn host_plans(layout: &Layout) -> Vec<HostPlan> {
    let of_dc = |dc: &String| {
        let dc = dc.clone();
        (0..layout.hosts_per_dc).map(move |i| HostPlan {
            name: format!("{dc}-{i}"),
            dc: dc.clone(),
            ip: fresh_ip(),
        })
    };
    layout.dcs.iter().flat_map(of_dc).collect()
}

/// Settings of one daemon of `host`.
pub fn settings(
    world: &World,
    hosts: &[HostPlan],
    host: &HostPlan,
    gateway: bool,
) -> DaemonSettings {
    let mut seeds: Vec<String> = hosts.iter().map(HostPlan::dispatcher).collect();
    if gateway {
        // A gateway learns the other dispatchers from those of its own data centre.
        let local = hosts.iter().filter(|h| h.dc == host.dc);
        seeds = local.map(HostPlan::dispatcher).collect();
    }
    let (listen, admin) = if gateway {
        (host.gateway(), host.gateway_admin())
    } else {
        (host.dispatcher(), host.dispatcher_admin())
    };
    DaemonSettings {
        host: host.name.clone(),
        dc: host.dc.clone(),
        listen,
        admin,
        admin_token: ADMIN_TOKEN.to_owned(),
        seeds,
        object_api: world.objects.addr.to_string(),
        host_list: Some(world.hosts.addr.to_string()),
        operators: operator_keys(),
        balancer_lag: Duration::from_millis(500),
        ..DaemonSettings::default()
    }
}

/// The settings as an INI file.
pub fn settings_text(cfg: &DaemonSettings) -> String {
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

/// All entry hosts of a layout inside this process.
#[derive(Debug)]
pub struct LocalFleet {
    /// The systems around.
    pub world: World,
    /// The entry hosts.
    pub hosts: Vec<HostPlan>,
    /// Gateways by host.
    pub gateways: HashMap<String, Gateway>,
    /// Dispatchers by host.
    pub dispatchers: HashMap<String, Dispatcher>,
    stop: watch::Sender<Stop>,
}

impl LocalFleet {
    /// Starts everything and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// A report when something cannot be started.
    pub async fn start(layout: Layout) -> miette::Result<LocalFleet> {
        let world = World::start(layout).await?;
        let bundle = world.layout.bundle(&world.addrs());
        world.roll_out(&bundle).await?;
        let hosts = host_plans(&world.layout);
        let (stop, stop_rx) = watch::channel(Stop::No);
        let mut gateways = HashMap::new();
        let mut dispatchers = HashMap::new();
        for host in &hosts {
            let cfg = settings(&world, &hosts, host, false);
            let shard = ShardSettings::default();
            let started = stoatjunction_dispatcher::start(cfg, shard, stop_rx.clone()).await?;
            dispatchers.insert(host.name.clone(), started);
        }
        for host in &hosts {
            let cfg = settings(&world, &hosts, host, true);
            let started = stoatjunction_gateway::start(cfg, stop_rx.clone()).await?;
            gateways.insert(host.name.clone(), started);
        }
        for host in &hosts {
            wait_ready(&host.gateway()).await?;
        }
        Ok(LocalFleet {
            world,
            hosts,
            gateways,
            dispatchers,
            stop,
        })
    }

    /// Stops every process gracefully. True when all were drained.
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

/// Waits until the gateway at `addr` says that it is ready.
///
/// # Errors
///
/// A report when it does not within a generous time.
pub async fn wait_ready(addr: &str) -> miette::Result<()> {
    let until = tokio::time::Instant::now() + READY;
    while tokio::time::Instant::now() < until {
        let req = hyper::Request::get("/readyz").header("host", addr);
        let req = req
            .body(stoatjunction_net::http::full(""))
            .map_err(|e| miette::miette!("{e}"))?;
        let limit = Duration::from_secs(1);
        let res = stoatjunction_net::http::call(addr, req, limit).await;
        if res.is_ok_and(|r| r.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(miette::miette!("{addr} is not ready"))
}
