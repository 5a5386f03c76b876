//! The event loop of a dispatcher.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::membership::{Member, MemberTable};
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::ShardSettings;
use stoatjunction_core::time::Span;
use stoatjunction_net::admin::{self, Admin};
use stoatjunction_net::bundle::{BundleStore, Protocol};
use stoatjunction_net::message::{GossipUpdate, Notice, Request};
use stoatjunction_net::platform::{HostListClient, ObjectApiClient};
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;
use stoatjunction_net::stop::{self, Stop, StopRx};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::crash_detector::CrashDetector;
use crate::event::Event;
use crate::state::{GatewayLink, PeerLink, State};
use crate::{bundles, host_list, listener, peers, poll};

/// Longest time between two scheduling rounds of the shards.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two maintenance rounds.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Maintenance rounds between two full state exchanges with the peers.
const FULL_SYNC_ROUNDS: u64 = 40;
/// Time after which a member that nobody reports is removed.
const MEMBER_TIMEOUT: Span = Span::from_millis(60_000);
/// Capacity of the queue of unhandled events.
const EVENT_QUEUE_CAPACITY: usize = 65_536;
/// Time between checks whether the queues are empty during a shutdown.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time from the stop request to the exit, so that gateways learn of the shutdown first.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(300);

/// State shared by the event loop, the background tasks and the admin interface.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    state: Arc<Mutex<State>>,
}

impl SharedState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("dispatcher state lock is not poisoned")
    }
}

/// A running dispatcher.
#[derive(Debug)]
pub struct Dispatcher {
    /// Address of the link listener.
    pub addr: SocketAddr,
    /// Address of the admin listener.
    pub admin_addr: SocketAddr,
    /// Completes with whether the queues were empty before the process stopped.
    pub ended: JoinHandle<bool>,
}

/// Starts a dispatcher that runs until `stop` requests a shutdown.
///
/// # Errors
///
/// A report if a listener or the statsd socket cannot be opened.
pub async fn start(
    cfg: DaemonSettings,
    shard_cfg: ShardSettings,
    stop: StopRx,
) -> miette::Result<Dispatcher> {
    let (listener, addr) = admin::bind(&cfg.listen, &stop).await?;
    let (admin_listener, admin_addr) = admin::bind(&cfg.admin, &stop).await?;
    let timeline = Timeline::new(&cfg.host, "dispatcher");
    let metrics = Metrics::start("dispatcher", cfg.statsd.as_deref())
        .map_err(|e| miette::miette!("cannot open the statsd socket: {e}"))?;
    let own_member = Member {
        host: cfg.host.clone(),
        dc: cfg.dc.clone(),
        addr: cfg.advertise.clone().unwrap_or_else(|| addr.to_string()),
        incarnation: fastrand::u64(..),
        stopping: false,
    };
    timeline.record(
        "started",
        &[("listen", &own_member.addr), ("dc", &own_member.dc)],
    );
    let state = new_state(
        cfg.clone(),
        shard_cfg,
        timeline.clone(),
        metrics.clone(),
        own_member.clone(),
    );
    let shared = SharedState {
        state: Arc::new(Mutex::new(state)),
    };
    let (closed_tx, closed_rx) = watch::channel(false);
    let admin = admin_interface(&shared, &cfg, timeline, metrics);
    tokio::spawn(admin::serve(admin_listener, admin, closed_rx));
    let (tx, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let platform = ObjectApiClient::new(&cfg.object_api, cfg.platform_timeout);
    let tasks = vec![
        tokio::spawn(listener::accept_links(
            listener,
            cfg.link.clone(),
            own_member,
            tx.clone(),
        )),
        tokio::spawn(peers::maintain_links(shared.clone(), tx.clone())),
        tokio::spawn(bundles::watch_accepted(
            shared.clone(),
            platform.clone(),
            tx.clone(),
        )),
    ];
    let mut event_loop = EventLoop {
        shared,
        bundle_store: BundleStore::new(platform),
        tx: tx.clone(),
        tasks,
        poll_tasks: HashMap::new(),
    };
    if let Some(addr) = &cfg.host_list {
        let list = HostListClient::new(addr, cfg.platform_timeout);
        let reader = host_list::poll_host_list(event_loop.shared.clone(), list, tx);
        event_loop.tasks.push(tokio::spawn(reader));
    }
    let ended = tokio::spawn(async move {
        let drained = event_loop.run(rx, stop, cfg.drain_timeout).await;
        let _ = closed_tx.send(true);
        drained
    });
    Ok(Dispatcher {
        addr,
        admin_addr,
        ended,
    })
}

fn new_state(
    cfg: DaemonSettings,
    shard_cfg: ShardSettings,
    timeline: Timeline,
    metrics: Metrics,
    own_member: Member,
) -> State {
    State {
        cfg,
        shard_cfg,
        clock: Clock::start(),
        timeline,
        metrics,
        own_member,
        members: MemberTable::default(),
        shards: IndexMap::new(),
        owned_shards: IndexSet::new(),
        gateways: IndexMap::new(),
        incoming_peers: IndexMap::new(),
        outgoing_peers: IndexMap::new(),
        quarantine: Quarantine::default(),
        leaving_statuses: IndexMap::new(),
        shard_summaries: IndexMap::new(),
        crash_detector: CrashDetector::default(),
        bundle: None,
        signed_bundle: None,
        peer_bundle_numbers: HashMap::new(),
        pending_updates: GossipUpdate::default(),
    }
}

fn admin_interface(
    shared: &SharedState,
    cfg: &DaemonSettings,
    timeline: Timeline,
    metrics: Metrics,
) -> Admin {
    let shared = shared.clone();
    Admin {
        token: cfg.admin_token.clone(),
        timeline,
        metrics,
        handler: Arc::new(move |method, path, query| {
            shared.lock().handle_admin(method.as_str(), path, query)
        }),
    }
}

/// Handles all events of a dispatcher in one task.
struct EventLoop {
    shared: SharedState,
    bundle_store: BundleStore,
    tx: mpsc::Sender<Event>,
    tasks: Vec<JoinHandle<()>>,
    /// Polling tasks by name and address of the upstream.
    poll_tasks: HashMap<(String, String), JoinHandle<()>>,
}

impl EventLoop {
    async fn run(
        &mut self,
        mut rx: mpsc::Receiver<Event>,
        stop: StopRx,
        drain_timeout: Duration,
    ) -> bool {
        let mut schedule_ticks = tokio::time::interval(SCHEDULE_INTERVAL);
        let mut maintenance_ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        let mut round = 0;
        let mut shutdown_started: Option<Instant> = None;
        let drained = loop {
            tokio::select! {
                Some(event) = rx.recv() => {
                    self.handle(event);
                    while let Ok(event) = rx.try_recv() {
                        self.handle(event);
                    }
                }
                _ = schedule_ticks.tick() => {}
                _ = maintenance_ticks.tick() => {
                    round += 1;
                    self.run_maintenance(round);
                }
                () = stop::wait(&stop, Stop::Graceful), if shutdown_started.is_none() => {
                    self.begin_shutdown();
                    shutdown_started = Some(Instant::now());
                }
                () = stop::wait(&stop, Stop::Now), if shutdown_started.is_some() => break false,
                () = tokio::time::sleep(SHUTDOWN_CHECK_INTERVAL), if shutdown_started.is_some() => {}
            }
            let mut state = self.shared.lock();
            state.schedule_shards();
            state.send_pending_updates();
            drop(state);
            if let Some(started) = shutdown_started {
                if started.elapsed() >= MIN_SHUTDOWN_TIME && self.are_queues_empty() {
                    break true;
                }
                if started.elapsed() >= drain_timeout {
                    break false;
                }
            }
        };
        self.finish_shutdown(drained);
        drained
    }

    /// Announces the shutdown, so that other dispatchers take over the shards of this one.
    fn begin_shutdown(&mut self) {
        let mut state = self.shared.lock();
        state.own_member.stopping = true;
        state.timeline.record("stopping", &[]);
        state.update_ownership();
        state.broadcast_digest();
    }

    fn are_queues_empty(&self) -> bool {
        self.shared.lock().shards.values().all(|s| s.queued() == 0)
    }

    fn finish_shutdown(&mut self, drained: bool) {
        self.tasks.drain(..).for_each(|t| t.abort());
        self.poll_tasks.drain().for_each(|(_, t)| t.abort());
        let state = self.shared.lock();
        let queued: usize = state.shards.values().map(|s| s.queued()).sum();
        let (drained, cut) = (drained.to_string(), queued.to_string());
        state
            .timeline
            .record("stopped", &[("drained", &drained), ("cut", &cut)]);
    }

    fn handle(&mut self, event: Event) {
        let mut state = self.shared.lock();
        let now = state.now();
        match event {
            Event::GatewayConnected { link, id, host, tx } => {
                tx.send(Notice::Digest(state.digest()));
                state.timeline.record("gateway_up", &[("gateway", &host)]);
                // A gateway that reconnects reports its running requests again.
                state.disconnect_gateway(id);
                state.gateways.insert(
                    link,
                    GatewayLink {
                        id,
                        host,
                        tx,
                        subscribed: false,
                    },
                );
            }
            Event::PeerAccepted { link, member, tx } => {
                tx.send(Notice::Digest(state.digest()));
                state.record_contact(&member);
                state.incoming_peers.insert(link, PeerLink { member, tx });
            }
            Event::Request { link, request } => state.handle_request(link, request),
            Event::AcceptedLinkClosed { link } => state.handle_link_closed(link),
            Event::PeerConnected { member, tx } => {
                state.timeline.record("peer_up", &[("peer", &member.host)]);
                tx.send(Request::Digest(state.digest()));
                tx.send(Request::GossipUpdate(Box::new(state.full_update())));
                let host = member.host.clone();
                state.record_contact(&member);
                state.outgoing_peers.insert(host, tx);
                state.update_ownership();
            }
            Event::PeerNotice { host, notice } => match notice {
                Notice::Digest(digest) => state.merge_digest(&host, digest),
                Notice::Bundle(signed) => state.install_bundle(*signed),
                _ => {}
            },
            Event::PeerDisconnected { host } => {
                state.timeline.record("peer_gone", &[("peer", &host)]);
                state.outgoing_peers.shift_remove(&host);
            }
            Event::LoadReport { upstream, report } => {
                state.confirm_or_clear_crashes(&upstream, report);
                for shard in state.shards.values_mut() {
                    shard.record_load(&upstream, report, now);
                }
            }
            Event::UpstreamDown { upstream } => {
                for shard in state.shards.values_mut() {
                    shard.mark_upstream_down(&upstream);
                }
            }
            Event::CacheEvents {
                upstream,
                evicted,
                gap_before,
            } => {
                for shard in state.shards.values_mut() {
                    shard.record_cache_events(&upstream, &evicted, gap_before);
                }
            }
            Event::HostList(hosts) => state.merge_host_list(hosts),
            Event::BundleAccepted { number } => {
                if state.check_accepted_number(number) {
                    let (shared, store) = (self.shared.clone(), self.bundle_store.clone());
                    tokio::spawn(bundles::fetch_accepted(
                        shared,
                        store,
                        number,
                        self.tx.clone(),
                    ));
                }
            }
            Event::BundleFetched(signed) => state.install_bundle(*signed),
        }
    }

    fn run_maintenance(&mut self, round: u64) {
        let mut state = self.shared.lock();
        state.refresh_linked_members();
        let now = state.now();
        state.members.expire(MEMBER_TIMEOUT, now);
        state.quarantine.expire(now);
        state.update_ownership();
        state.update_summaries();
        state.record_gauges();
        if round.is_multiple_of(FULL_SYNC_ROUNDS) {
            let update = state.full_update();
            for tx in state.outgoing_peers.values() {
                tx.send(Request::GossipUpdate(Box::new(update.clone())));
            }
        }
        let wanted = state.polled_upstreams();
        let clock = state.clock;
        drop(state);
        self.update_poll_tasks(wanted, clock);
    }

    fn update_poll_tasks(&mut self, wanted: Vec<(String, String, Protocol)>, clock: Clock) {
        self.poll_tasks.retain(|(name, addr), task| {
            let keep = wanted.iter().any(|(n, a, _)| n == name && a == addr);
            if !keep {
                task.abort();
            }
            keep
        });
        for (name, addr, protocol) in wanted {
            let key = (name.clone(), addr.clone());
            let tx = self.tx.clone();
            self.poll_tasks
                .entry(key)
                .or_insert_with(|| tokio::spawn(poll::poll(clock, name, addr, protocol, tx)));
        }
    }
}
