//! Fixtures: a fleet of daemon processes whose connections pass through fault-injecting proxies.

#![allow(dead_code)]

use std::collections::HashMap;
use std::future::Future;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use stoatjunction_bench::client::{ClientRequest, ClientResponse, send};
use stoatjunction_bench::fleet::{
    ADMIN_TOKEN, Environment, HostPlan, Upstream, daemon_settings, host_plans, settings_ini,
    unique_loopback_ip, wait_ready,
};
use stoatjunction_bench::layout::{KindPlan, Layout, UpstreamPlan, secret};
use stoatjunction_bench::mix::{SampleRequest, engine_body, plain_body};
use stoatjunction_net::http::{call, full};
use stoatjunction_net::settings::DaemonSettings;
use stoatjunction_standin::engine::{Engine, EngineSettings};
use stoatjunction_standin::proxy::{Fault, Proxy};
use tokio::task::JoinHandle;

/// Longest wait for a condition or for the exit of a process.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Waits until `condition` returns true.
///
/// Panics with `description` after [`WAIT_TIMEOUT`].
pub async fn wait_until<F, Fut>(description: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            tokio::time::Instant::now() < deadline,
            "timed out waiting until {description}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A daemon process, which is killed on drop.
pub struct Daemon {
    program: &'static str,
    config: PathBuf,
    child: Child,
}

impl Daemon {
    fn spawn(program: &'static str, config: PathBuf) -> Daemon {
        let mut dir = std::env::current_exe().expect("path of the test executable is known");
        dir.pop();
        dir.pop();
        let path = dir.join(program);
        assert!(
            path.exists(),
            "{} is not built; run scripts/test",
            path.display()
        );
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(config.with_extension("log"))
            .expect("log file opens");
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

    /// Returns the log lines of all starts.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.config.with_extension("log")).expect("log file is readable")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn send_signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// Stops the process, and returns once none of its threads runs any more. The signal alone takes
    /// effect when the thread that it was sent to is next scheduled; the others run on until then.
    pub async fn freeze(&self) {
        self.send_signal(Signal::SIGSTOP);
        wait_until("the process is stopped", || async { self.is_stopped() }).await;
    }

    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let mut tasks = tasks.expect("process runs").flatten();
        tasks.all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name of the thread, which is in parentheses.
            let state = stat.rsplit(") ").next();
            state.is_some_and(|s| s.starts_with('T'))
        })
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn restart(&mut self) {
        self.kill();
        *self = Daemon::spawn(self.program, self.config.clone());
    }

    /// Starts the daemon again after it has exited.
    pub fn respawn(&mut self) {
        *self = Daemon::spawn(self.program, self.config.clone());
    }

    /// Exit code, or `None` while the process runs. -1 stands for a process ended by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|s| s.code().unwrap_or(-1))
    }

    pub async fn wait_exit(&mut self) -> i32 {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            assert!(
                tokio::time::Instant::now() < deadline,
                "{} did not exit",
                self.program
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.send_signal(Signal::SIGCONT);
        self.kill();
    }
}

/// A gateway and a dispatcher process on each host, with stand-ins for all they depend on.
pub struct Fleet {
    pub environment: Environment,
    pub hosts: Vec<HostPlan>,
    pub gateways: Vec<Daemon>,
    pub dispatchers: Vec<Daemon>,
    /// Proxies in front of the upstreams, by name of the upstream.
    pub upstream_proxies: HashMap<String, Proxy>,
    /// Proxies in front of the dispatchers, by host, at the addresses that the dispatchers advertise.
    pub dispatcher_proxies: Vec<Proxy>,
    /// Proxies between the gateway and the dispatcher of the same host, by host.
    pub local_dispatcher_proxies: Vec<Proxy>,
    /// Proxies in front of the platform's Object API, by host.
    pub platform_proxies: Vec<Proxy>,
}

impl Fleet {
    /// Starts `layout` and waits until every host is ready.
    pub async fn start(layout: Layout) -> Fleet {
        Fleet::start_with(layout, |_, _| {}).await
    }

    /// As [`Fleet::start`], with the settings of the two daemons of each host changed by `adjust`.
    pub async fn start_with<F>(layout: Layout, adjust: F) -> Fleet
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let environment = Environment::start(layout).await.expect("stand-ins start");
        let mut upstream_proxies = HashMap::new();
        for (name, u) in &environment.upstreams {
            let proxy = Proxy::start("127.0.0.1:0", &u.addr())
                .await
                .expect("proxy starts");
            upstream_proxies.insert(name.clone(), proxy);
        }
        let hosts = host_plans(&environment.layout);
        let mut fleet = Fleet {
            environment,
            hosts,
            gateways: Vec::new(),
            dispatchers: Vec::new(),
            upstream_proxies,
            dispatcher_proxies: Vec::new(),
            local_dispatcher_proxies: Vec::new(),
            platform_proxies: Vec::new(),
        };
        fleet
            .environment
            .roll_out(&fleet.bundle())
            .await
            .expect("bundle is accepted");
        fleet.start_daemons(adjust).await;
        fleet
    }

    async fn start_daemons<F>(&mut self, adjust: F)
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let platform = self.environment.object_api.addr.to_string();
        for host in &self.hosts {
            let target = host.dispatcher_addr();
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
        let dir = std::env::temp_dir().join(format!("stoatjunction-{}", unique_loopback_ip()));
        std::fs::create_dir_all(&dir).expect("settings directory is created");
        for i in 0..self.hosts.len() {
            for is_gateway in [false, true] {
                let cfg = self.settings(i, is_gateway, &adjust);
                let process = if is_gateway { "gateway" } else { "dispatcher" };
                let path = dir.join(format!("{}-{process}.ini", self.hosts[i].name));
                std::fs::write(&path, settings_ini(&cfg)).expect("settings are written");
                let _ = std::fs::remove_file(path.with_extension("log"));
                if is_gateway {
                    self.gateways
                        .push(Daemon::spawn("stoatjunction-gateway", path));
                } else {
                    self.dispatchers
                        .push(Daemon::spawn("stoatjunction-dispatcher", path));
                }
            }
        }
        for host in &self.hosts {
            wait_ready(&host.gateway_addr())
                .await
                .expect("gateway becomes ready");
        }
        self.wait_until_operational().await;
    }

    fn settings<F>(&self, i: usize, is_gateway: bool, adjust: &F) -> DaemonSettings
    where
        F: Fn(usize, &mut DaemonSettings),
    {
        let host = &self.hosts[i];
        let mut cfg = daemon_settings(&self.environment, &self.hosts, host, is_gateway);
        cfg.object_api = self.platform_proxies[i].addr.to_string();
        cfg.seeds = if is_gateway {
            vec![self.local_dispatcher_proxies[i].addr.to_string()]
        } else {
            self.dispatcher_proxies
                .iter()
                .map(|p| p.addr.to_string())
                .collect()
        };
        if !is_gateway {
            cfg.advertise = Some(self.dispatcher_proxies[i].addr.to_string());
        }
        adjust(i, &mut cfg);
        cfg
    }

    /// Text of the layout's bundle, with the addresses of the proxies as upstreams.
    pub fn bundle(&self) -> String {
        let addrs = self
            .upstream_proxies
            .iter()
            .map(|(n, p)| (n.clone(), p.addr.to_string()))
            .collect();
        self.environment.layout.bundle(&addrs)
    }

    /// Waits until all dispatchers are linked with each other, each gateway with the dispatchers of its
    /// data centre, and every upstream is up.
    pub async fn wait_until_operational(&self) {
        let count = self.hosts.len();
        for host in &self.hosts {
            let same_dc = self.hosts.iter().filter(|h| h.dc == host.dc).count();
            wait_until("all dispatchers are linked", || async {
                let status = call_admin(&host.dispatcher_admin_addr(), "GET", "status").await;
                status["peers"]
                    .as_array()
                    .is_some_and(|p| p.len() == count - 1)
            })
            .await;
            wait_until("the gateway is linked", || async {
                let status = call_admin(&host.gateway_admin_addr(), "GET", "status").await;
                status["dispatchers"]
                    .as_array()
                    .is_some_and(|p| p.len() >= same_dc)
            })
            .await;
        }
        for host in &self.hosts {
            wait_until("every upstream is up", || async {
                let shards = call_admin(&host.dispatcher_admin_addr(), "GET", "shards").await;
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
        match &self.environment.upstreams[name] {
            Upstream::Engine(e) => &e.engine,
            Upstream::Plain(_) => panic!("{name} is a plain service"),
        }
    }

    /// Number of requests that run on all engines.
    pub fn active_requests(&self) -> u32 {
        let engines = self.environment.upstreams.values().filter_map(|u| match u {
            Upstream::Engine(e) => Some(e.engine.active()),
            Upstream::Plain(_) => None,
        });
        engines.sum()
    }

    /// Sends `request` to the gateway of host `i` in a background task.
    pub fn spawn_request(
        &self,
        i: usize,
        request: &ClientRequest,
    ) -> JoinHandle<std::io::Result<ClientResponse>> {
        let (addr, request) = (self.hosts[i].gateway_addr(), request.clone());
        tokio::spawn(async move { send(&addr, &request).await })
    }

    /// Sends `request` to the gateway of host `i` and waits for the response.
    pub async fn get(&self, i: usize, request: &ClientRequest) -> ClientResponse {
        send(&self.hosts[i].gateway_addr(), request)
            .await
            .expect("response is received")
    }

    /// Returns whether the daemon at `addr` has recorded an event named `name`.
    pub async fn has_event(&self, addr: &str, name: &str) -> bool {
        let events = call_admin(addr, "GET", "events").await;
        events
            .as_array()
            .is_some_and(|e| e.iter().any(|e| e["name"] == name))
    }

    /// Index of the host whose dispatcher owns the shard of `service` in `dc`.
    pub async fn owner_of(&self, dc: &str, service: &str) -> usize {
        let shard = format!("{dc}/{service}/0");
        for (i, host) in self.hosts.iter().enumerate() {
            let shards = call_admin(&host.dispatcher_admin_addr(), "GET", "shards").await;
            let all = shards.as_array().cloned().unwrap_or_default();
            if all
                .iter()
                .any(|s| s["shard"] == shard.as_str() && s["owned"] == true)
            {
                return i;
            }
        }
        panic!("no dispatcher owns {shard}");
    }

    /// Number of the bundle in force at each daemon, by host: dispatcher, then gateway. 0 stands for a
    /// daemon that does not respond.
    pub async fn bundles_in_force(&self) -> Vec<u64> {
        let mut numbers = Vec::new();
        for host in &self.hosts {
            for addr in [host.dispatcher_admin_addr(), host.gateway_admin_addr()] {
                let status = call_admin(&addr, "GET", "status").await;
                numbers.push(status["bundle"].as_u64().unwrap_or(0));
            }
        }
        numbers
    }

    /// Sets `fault` on each of `proxies`.
    pub fn set_fault_for_all(proxies: &[Proxy], fault: Fault) {
        proxies.iter().for_each(|p| p.set_fault(fault));
    }
}

/// Calls the admin interface at `addr`. Returns null if no valid JSON response comes within 2 s.
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

/// Plan of an engine that generates 100 tokens/s in each slot, however many slots are in use.
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

/// Plan of a plain service with 16 slots.
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

/// Layout of `dcs` data centres, each with `hosts` entry hosts, two engines of `slots` slots and a
/// plain service.
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
        extra_bundle_text: String::new(),
    }
}

/// A cancellable request to an engine by `organisation` in `tier`.
pub fn engine_request(organisation: &str, tier: &str, tag: &str, tokens: u32) -> SampleRequest {
    engine_request_of_kind("talk", organisation, tier, tag, tokens)
}

/// A request to an engine that cannot be cancelled.
pub fn uncancellable_request(
    organisation: &str,
    tier: &str,
    tag: &str,
    tokens: u32,
) -> SampleRequest {
    engine_request_of_kind("fixed", organisation, tier, tag, tokens)
}

fn engine_request_of_kind(
    kind: &str,
    organisation: &str,
    tier: &str,
    tag: &str,
    tokens: u32,
) -> SampleRequest {
    let (body, expected) = engine_body(tag, 200, tokens);
    let request = ClientRequest {
        service: "assistant".to_owned(),
        kind: kind.to_owned(),
        secret: secret(organisation, tier),
        body,
        ..ClientRequest::default()
    };
    SampleRequest {
        request,
        tier: 0,
        expected,
        tag: tag.to_owned(),
    }
}

/// A non-idempotent order with the idempotency key `key`.
pub fn order_request(key: &str, tag: &str, work_ms: u64) -> SampleRequest {
    let (body, expected) = plain_body(tag, work_ms);
    let request = ClientRequest {
        service: "orders".to_owned(),
        kind: "book".to_owned(),
        secret: secret("acme", "gold"),
        body,
        deadline_ms: None,
        key: Some(key.to_owned()),
    };
    SampleRequest {
        request,
        tier: 0,
        expected,
        tag: tag.to_owned(),
    }
}
