//! Fixtures: a fleet of real daemon processes behind fault-injecting proxies.

#![allow(dead_code)]

use std::collections::HashMap;
use std::future::Future;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use stoatjunction_bench::client::{Ask, Got, send};
use stoatjunction_bench::fleet::{
    ADMIN_TOKEN, HostPlan, Upstream, World, fresh_ip, host_plans, settings, settings_text,
    wait_ready,
};
use stoatjunction_bench::layout::{KindPlan, Layout, UpstreamPlan, secret};
use stoatjunction_bench::mix::{Sample, engine_body, plain_body};
use stoatjunction_net::http::{call, full};
use stoatjunction_net::settings::DaemonSettings;
use stoatjunction_standin::engine::{Engine, EngineSettings};
use stoatjunction_standin::proxy::{Fault, Proxy};
use tokio::task::JoinHandle;

/// Longest wait for a condition; reached only when it never comes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits until `holds` gives true.
pub async fn wait_until<F, Fut>(what: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(
            tokio::time::Instant::now() < end,
            "it never came to this: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A daemon process; it is killed when dropped.
pub struct Daemon {
    program: &'static str,
    config: PathBuf,
    child: Child,
}

impl Daemon {
    fn spawn(program: &'static str, config: PathBuf) -> Daemon {
        let mut dir = std::env::current_exe().expect("own path");
        dir.pop();
        dir.pop();
        let path = dir.join(program);
        assert!(
            path.exists(),
            "{} is not built, use scripts/test",
            path.display()
        );
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(config.with_extension("log"))
            .expect("log file");
        let child = Command::new(path)
            .arg("--config")
            .arg(&config)
            .stderr(Stdio::from(log))
            .stdout(Stdio::null())
            .spawn()
            .expect("daemon starts");
        Daemon {
            program,
            config,
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        *self = Daemon::spawn(self.program, self.config.clone());
    }

    /// Starts the daemon again after it ended by itself.
    pub fn respawn(&mut self) {
        *self = Daemon::spawn(self.program, self.config.clone());
    }

    /// Exit code, once the process has ended.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|s| s.code().unwrap_or(-1))
    }

    pub async fn wait_exit(&mut self) -> i32 {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "{} did not end",
                self.program
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(Signal::SIGCONT);
        self.kill();
    }
}

/// A fleet of processes.
pub struct Fleet {
    pub world: World,
    pub hosts: Vec<HostPlan>,
    pub gateways: Vec<Daemon>,
    pub dispatchers: Vec<Daemon>,
    /// Before each upstream, by name.
    pub upstream_proxies: HashMap<String, Proxy>,
    /// Before each host's dispatcher, for the other hosts.
    pub dispatcher_proxies: Vec<Proxy>,
    /// Before each host's dispatcher, for its own gateway.
    pub local_dispatcher_proxies: Vec<Proxy>,
    /// Before the platform, one for each host.
    pub platform_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts `layout` and waits until every host is ready.
    pub async fn start(layout: Layout) -> Fleet {
        Fleet::start_with(layout, |_, _| {}).await
    }

    /// As [`Fleet::start`], with the settings of each host's two daemons changed by `adapt`.
    pub async fn start_with<F>(layout: Layout, adapt: F) -> Fleet
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let world = World::start(layout).await.expect("stand-ins start");
        let mut upstream_proxies = HashMap::new();
        for (name, u) in &world.upstreams {
            let proxy = Proxy::start("127.0.0.1:0", &u.addr())
                .await
                .expect("proxy starts");
            upstream_proxies.insert(name.clone(), proxy);
        }
        let hosts = host_plans(&world.layout);
        let mut fleet = Fleet {
            world,
            hosts,
            gateways: Vec::new(),
            dispatchers: Vec::new(),
            upstream_proxies,
            dispatcher_proxies: Vec::new(),
            local_dispatcher_proxies: Vec::new(),
            platform_proxies: Vec::new(),
        };
        fleet
            .world
            .roll_out(&fleet.bundle())
            .await
            .expect("bundle is accepted");
        fleet.start_daemons(adapt).await;
        fleet
    }

    async fn start_daemons<F>(&mut self, adapt: F)
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let platform = self.world.objects.addr.to_string();
        for host in &self.hosts {
            let target = host.dispatcher();
            let start = |addr: String, target: String| async move {
                Proxy::start(&addr, &target).await.expect("proxy starts")
            };
            self.dispatcher_proxies
                .push(start(format!("{}:6080", host.ip), target.clone()).await);
            self.local_dispatcher_proxies
                .push(start(format!("{}:6081", host.ip), target).await);
            self.platform_proxies
                .push(start(format!("{}:6082", host.ip), platform.clone()).await);
        }
        let dir = std::env::temp_dir().join(format!("stoatjunction-{}", fresh_ip()));
        std::fs::create_dir_all(&dir).expect("directory for settings");
        for i in 0..self.hosts.len() {
            for gateway in [false, true] {
                let cfg = self.settings(i, gateway, &adapt);
                let process = if gateway { "gateway" } else { "dispatcher" };
                let path = dir.join(format!("{}-{process}.ini", self.hosts[i].name));
                std::fs::write(&path, settings_text(&cfg)).expect("settings are written");
                let _ = std::fs::remove_file(path.with_extension("log"));
                if gateway {
                    self.gateways
                        .push(Daemon::spawn("stoatjunction-gateway", path));
                } else {
                    self.dispatchers
                        .push(Daemon::spawn("stoatjunction-dispatcher", path));
                }
            }
        }
        for host in &self.hosts {
            wait_ready(&host.gateway())
                .await
                .expect("gateway becomes ready");
        }
        self.wait_until_operational().await;
    }

    fn settings<F>(&self, i: usize, gateway: bool, adapt: &F) -> DaemonSettings
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let host = &self.hosts[i];
        let mut cfg = settings(&self.world, &self.hosts, host, gateway);
        cfg.object_api = self.platform_proxies[i].addr.to_string();
        cfg.seeds = if gateway {
            vec![self.local_dispatcher_proxies[i].addr.to_string()]
        } else {
            self.dispatcher_proxies
                .iter()
                .map(|p| p.addr.to_string())
                .collect()
        };
        if !gateway {
            cfg.advertise = Some(self.dispatcher_proxies[i].addr.to_string());
        }
        adapt(i, &mut cfg);
        cfg
    }

    /// The bundle of the layout, with the proxies' addresses.
    pub fn bundle(&self) -> String {
        let addrs = self
            .upstream_proxies
            .iter()
            .map(|(n, p)| (n.clone(), p.addr.to_string()))
            .collect();
        self.world.layout.bundle(&addrs)
    }

    /// Waits until every gateway and dispatcher is linked with all it should be.
    pub async fn wait_until_operational(&self) {
        let count = self.hosts.len();
        for host in &self.hosts {
            let same_dc = self.hosts.iter().filter(|h| h.dc == host.dc).count();
            wait_until("all dispatchers are linked", || async {
                let status = call_admin(&host.dispatcher_admin(), "GET", "status").await;
                status["peers"]
                    .as_array()
                    .is_some_and(|p| p.len() == count - 1)
            })
            .await;
            wait_until("the gateway is linked", || async {
                let status = call_admin(&host.gateway_admin(), "GET", "status").await;
                status["dispatchers"]
                    .as_array()
                    .is_some_and(|p| p.len() >= same_dc)
            })
            .await;
        }
        for host in &self.hosts {
            wait_until("every upstream reports", || async {
                let shards = call_admin(&host.dispatcher_admin(), "GET", "shards").await;
                let owned = shards.as_array().cloned().unwrap_or_default();
                owned.iter().all(|s| {
                    let upstreams = s["upstreams"].as_array().cloned().unwrap_or_default();
                    upstreams.iter().all(|u| u["serving"] == "up")
                })
            })
            .await;
        }
    }

    /// The engine `name`.
    pub fn engine(&self, name: &str) -> &Engine {
        match &self.world.upstreams[name] {
            Upstream::Engine(e) => &e.engine,
            Upstream::Plain(_) => panic!("{name} is a plain service"),
        }
    }

    /// Requests active on all engines.
    pub fn active_requests(&self) -> u32 {
        let engines = self.world.upstreams.values().filter_map(|u| match u {
            Upstream::Engine(e) => Some(e.engine.active()),
            Upstream::Plain(_) => None,
        });
        engines.sum()
    }

    /// Sends `ask` to host number `i` in the background.
    pub fn spawn_request(&self, i: usize, ask: &Ask) -> JoinHandle<std::io::Result<Got>> {
        let (addr, ask) = (self.hosts[i].gateway(), ask.clone());
        tokio::spawn(async move { send(&addr, &ask).await })
    }

    /// Sends `ask` to host number `i` and waits for what comes back.
    pub async fn get(&self, i: usize, ask: &Ask) -> Got {
        send(&self.hosts[i].gateway(), ask)
            .await
            .expect("a response comes")
    }

    /// Names of events of the daemon at `addr`.
    pub async fn has_event(&self, addr: &str, name: &str) -> bool {
        let events = call_admin(addr, "GET", "events").await;
        events
            .as_array()
            .is_some_and(|e| e.iter().any(|e| e["name"] == name))
    }

    /// Number of the host that owns the shard of `service` in `dc`.
    pub async fn owner_of(&self, dc: &str, service: &str) -> usize {
        let shard = format!("{dc}/{service}/0");
        for (i, host) in self.hosts.iter().enumerate() {
            let shards = call_admin(&host.dispatcher_admin(), "GET", "shards").await;
            let all = shards.as_array().cloned().unwrap_or_default();
            if all
                .iter()
                .any(|s| s["shard"] == shard.as_str() && s["owned"] == true)
            {
                return i;
            }
        }
        panic!("nobody owns {shard}");
    }

    /// Bundle number in force at each daemon, in order of hosts: dispatcher, then gateway.
    pub async fn bundles_in_force(&self) -> Vec<u64> {
        let mut numbers = Vec::new();
        for host in &self.hosts {
            for addr in [host.dispatcher_admin(), host.gateway_admin()] {
                let status = call_admin(&addr, "GET", "status").await;
                numbers.push(status["bundle"].as_u64().unwrap_or(0));
            }
        }
        numbers
    }

    /// Sets the same fault for all of `proxies`.
    pub fn set_fault_for_all(proxies: &[Proxy], fault: Fault) {
        proxies.iter().for_each(|p| p.set_fault(fault));
    }
}

/// Calls the admin interface at `addr`; null when it does not answer.
pub async fn call_admin(addr: &str, method: &str, path: &str) -> Value {
    let req = hyper::Request::builder()
        .method(method)
        .uri(format!("/v1/admin/{path}"))
        .header("host", addr)
        .header("authorization", format!("Bearer {ADMIN_TOKEN}"))
        .body(full(""))
        .expect("request is well formed");
    let res = call(addr, req, Duration::from_secs(2)).await;
    res.ok()
        .and_then(|r| serde_json::from_slice(r.body()).ok())
        .unwrap_or(Value::Null)
}

/// An engine of moderate speed.
pub fn engine_plan(name: &str, dc: &str, slots: u32) -> UpstreamPlan {
    UpstreamPlan {
        name: name.to_owned(),
        dc: dc.to_owned(),
        slots,
        engine: EngineSettings {
            decode_rate: 100.0,
            batch_slope: 0.0,
            ..EngineSettings::default()
        },
        ..UpstreamPlan::default()
    }
}

/// A plain service.
pub fn plain_plan(name: &str, dc: &str) -> UpstreamPlan {
    UpstreamPlan {
        name: name.to_owned(),
        dc: dc.to_owned(),
        service: "orders",
        role: "plain",
        slots: 16,
        ..UpstreamPlan::default()
    }
}

/// A small layout: `dcs` data centres with `hosts` entry hosts each, and in each data centre two
/// engines with `slots` slots and a plain service.
pub fn small_layout(dcs: usize, hosts: usize, slots: u32) -> Layout {
    let dcs: Vec<String> = (1..=dcs).map(|i| format!("dc{i}")).collect();
    let upstreams = dcs.iter().flat_map(|dc| {
        [
            engine_plan(&format!("{dc}-a"), dc, slots),
            engine_plan(&format!("{dc}-b"), dc, slots),
            plain_plan(&format!("{dc}-orders"), dc),
        ]
    });
    Layout {
        upstreams: upstreams.collect(),
        hosts_per_dc: hosts,
        tiers: vec!["gold", "silver", "bronze", "batch"],
        kinds: vec![
            KindPlan {
                name: "assistant.talk",
                settings: "deadline-ms = 30000\nmax-deadline-ms = 60000\noutput-hint = 50",
            },
            KindPlan {
                name: "assistant.fixed",
                settings: "cancellable = false\ndeadline-ms = 30000\nmax-deadline-ms = 60000\n\
                           output-hint = 50",
            },
            KindPlan {
                name: "orders.book",
                settings: "idempotent = false\nkey = required\ndeadline-ms = 10000\n\
                           max-deadline-ms = 60000",
            },
            KindPlan {
                name: "orders.status",
                settings: "deadline-ms = 10000",
            },
        ],
        organisations: vec![("acme", 1), ("bolt", 1), ("crux", 1)],
        dcs,
        extra: String::new(),
    }
}

/// A request to an engine by `organisation` in `tier`.
pub fn engine_request(organisation: &str, tier: &str, tag: &str, tokens: u32) -> Sample {
    engine_request_of_kind("talk", organisation, tier, tag, tokens)
}

/// A request that cannot be cancelled.
pub fn uncancellable_request(organisation: &str, tier: &str, tag: &str, tokens: u32) -> Sample {
    engine_request_of_kind("fixed", organisation, tier, tag, tokens)
}

fn engine_request_of_kind(
    kind: &str,
    organisation: &str,
    tier: &str,
    tag: &str,
    tokens: u32,
) -> Sample {
    let (body, expected) = engine_body(tag, 200, tokens);
    let ask = Ask {
        service: "assistant".to_owned(),
        kind: kind.to_owned(),
        secret: secret(organisation, tier),
        body,
        ..Ask::default()
    };
    Sample {
        ask,
        tier: 0,
        expected,
        tag: tag.to_owned(),
    }
}

/// An order that may take effect once at most.
pub fn order_request(key: &str, tag: &str, work_ms: u64) -> Sample {
    let (body, expected) = plain_body(tag, work_ms);
    let ask = Ask {
        service: "orders".to_owned(),
        kind: "book".to_owned(),
        secret: secret("acme", "gold"),
        body,
        deadline_ms: None,
        key: Some(key.to_owned()),
    };
    Sample {
        ask,
        tier: 0,
        expected,
        tag: tag.to_owned(),
    }
}
