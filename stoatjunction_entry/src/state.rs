//! The state that the tasks of the daemon share.

use std::cell::{Cell, OnceCell, RefCell};
use std::fmt;
use std::net::IpAddr;
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::entry::caller_limit::max_callers;
use stoatjunction_core::entry::config::Configuration;
use stoatjunction_core::entry::crash::Crash;
use stoatjunction_core::entry::crash_causes::CrashCauses;
use stoatjunction_core::entry::file_shares::FileShares;
use stoatjunction_core::entry::first_list::FirstList;
use stoatjunction_core::entry::follower_election::FollowerElection;
use stoatjunction_core::entry::left_runs::LeftRuns;
use stoatjunction_core::entry::list_doubt::ListDoubt;
use stoatjunction_core::entry::memory_budget::{self, MemoryBudget};
use stoatjunction_core::entry::origin_log::OriginLog;
use stoatjunction_core::entry::pool::{Pool, WaitingCounts};
use stoatjunction_core::entry::propagation::PropagationBounds;
use stoatjunction_core::entry::queue::RequestId;
use stoatjunction_core::entry::rate_limiter::{self, RateLimiter};
use stoatjunction_core::entry::rendezvous::Rendezvous;
use stoatjunction_core::entry::retry_budget::{FirstStart, RetryBudget};
use stoatjunction_core::entry::route_table::RouteTable;
use stoatjunction_core::entry::snapshot_fetches::SnapshotFetches;
use stoatjunction_core::entry::snapshot_transfers::SnapshotTransfers;
use stoatjunction_core::entry::socket_buffers::{SocketBuffers, upstream_read_bytes};
use stoatjunction_core::entry::start_trace::StartTrace;
use stoatjunction_core::entry::stream_origins::{BegunStream, StreamOrigins};
use stoatjunction_core::entry::upstream_list::UpstreamList;
use stoatjunction_core::entry::upstream_notices::EarlyNotices;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::occurrences::Occurrences;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::attempt::UpstreamRequest;
use crate::caller_connections::CallerConnections;
use crate::capacity_reports;
use crate::clock;
use crate::connection_pool::{Connection, ConnectionPool};
use crate::crash::SentRequest;
use crate::crash_probes::ProbeRequests;
use crate::fleet_identity::FleetIdentity;
use crate::header_names::HeaderNames;
use crate::heartbeat::UpstreamLoad;
use crate::host_protocols::HeardProtocols;
use crate::metrics::EntryMetrics;
use crate::placement::ServiceScheduler;
use crate::protocol::HostProtocol;
use crate::rollouts::{self, Rollouts};
use crate::settings::EntrySettings;
use crate::start_reports::StartChecks;
use crate::stopping::Stopping;
use crate::stored_origins::{OriginReads, StoredVersions};
use crate::stream_origins::OpenQueries;
use crate::tunnels::Tunnels;

/// Phase of the daemon, from start to shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Requests and new connections are accepted.
    #[default]
    Serving,
    /// The host is no longer ready, but new connections are still accepted.
    Leaving,
    /// Only requests in progress are finished.
    Closing,
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConfigurationSource {
    Store,
    Host(IpAddr),
}

impl fmt::Display for ConfigurationSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationSource::Store => f.write_str("store"),
            ConfigurationSource::Host(ip) => ip.fmt(f),
        }
    }
}

/// Another host, with its last report.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) boot: u64,
    /// Time of its last heartbeat, received by this host or by the relay of its data centre.
    pub(crate) last_seen: Time,
    /// Its data centre; empty while unknown.
    pub(crate) dc: String,
    /// True while it follows the platform's store and gets responses.
    pub(crate) follows: bool,
    /// True once it only finishes requests in progress.
    pub(crate) leaving: bool,
    /// Services whose upstreams it does not reach.
    pub(crate) cut_off: Vec<String>,
    /// Requests per second that its callers make to each service.
    pub(crate) demand: Vec<(String, f32)>,
    pub(crate) loads: Vec<UpstreamLoad>,
    pub(crate) waiting: Vec<(String, WaitingCounts)>,
    pub(crate) protocol: HostProtocol,
    /// Time of its last message if this host reads none of its heartbeats.
    pub(crate) unreadable_at: Option<Time>,
}

impl Peer {
    /// Returns the time of its last heartbeat, or of its last message if none can be read.
    pub(crate) fn last_heard(&self) -> Time {
        self.unreadable_at
            .map_or(self.last_seen, |at| at.max(self.last_seen))
    }

    /// Creates a peer of which only the address is known.
    pub(crate) fn never_seen(now: Time) -> Peer {
        Peer {
            last_seen: now.saturating_sub(RELAYED_PEER_TIMEOUT),
            ..Peer::default()
        }
    }
}

/// The state that the tasks share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub(crate) phase: Phase,
    pub(crate) routes: Option<Rc<RouteTable>>,
    /// Time at which the current configuration came into force here.
    pub(crate) configured_at: Time,
    pub(crate) upstream_list: UpstreamList,
    pub(crate) has_list: bool,
    pub(crate) first_list: FirstList,
    pub(crate) schedulers: IndexMap<String, ServiceScheduler>,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) crash_causes: CrashCauses,
    /// Runs that nobody waits for, under which upstreams may still crash.
    pub(crate) left_runs: LeftRuns<SentRequest>,
    /// What other hosts reported of upstreams that are not listed here yet.
    pub(crate) early_notices: EarlyNotices,
    pub(crate) list_doubt: ListDoubt,
    /// Time at which it was last checked whether the list of upstreams may be old.
    pub(crate) list_checked_at: Time,
    pub(crate) start_checks: StartChecks,
    pub(crate) stream_origins: StreamOrigins,
    /// The streams that began at this host, for the store.
    pub(crate) origin_log: OriginLog,
    /// Versions that hosts have written to the store.
    pub(crate) stored_versions: StoredVersions,
    pub(crate) rollouts: Rollouts,
    pub(crate) open_queries: OpenQueries,
    pub(crate) pending_updates: PendingUpdates,
    pub(crate) peers: IndexMap<IpAddr, Peer>,
    /// Hosts that the platform's store names.
    pub(crate) rendezvous: Rendezvous,
    /// Protocols of the other hosts as last logged.
    pub(crate) heard_protocols: HeardProtocols,
    /// This host's data centre.
    dc: String,
    pub(crate) started: Time,
    pub(crate) start_trace: StartTrace,
    pub(crate) store_failed_at: Option<Time>,
    /// Time of the store's last response on the configuration and on upstreams; `None` while this host
    /// doesn't follow the store, or a response failed or is overdue.
    pub(crate) store_answered_at: [Option<Time>; 2],
    pub(crate) follower_election: FollowerElection,
    pub(crate) crash_follower_election: FollowerElection,
    /// Data centres that have hosts, as of the last full heartbeat.
    pub(crate) data_centres: usize,
    pub(crate) propagation: PropagationBounds,
    pub(crate) snapshot_fetches: SnapshotFetches,
    pub(crate) snapshot_transfers: SnapshotTransfers,
    longest_deadlines: IndexMap<String, Span>,
    pub(crate) next_request_id: RequestId,
}

/// Updates that have not been sent to the other hosts yet.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    /// Crashes with the number of heartbeats that still report them.
    pub(crate) crashes: Vec<(Crash, u8)>,
    /// Prompt parts with the number of the upstream that they were sent to.
    pub(crate) prompt_parts: Vec<(u32, u64)>,
    /// Streams that began here with the number of heartbeats that still report them.
    pub(crate) begun_streams: Vec<(BegunStream, u8)>,
    /// True when a host has joined or restarted and may not know the others yet.
    pub(crate) has_new_host: bool,
}

/// Settings, shared state and connections, as passed to every task.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: EntrySettings,
    pub(crate) file_shares: FileShares,
    pub(crate) names: HeaderNames,
    /// Random number that identifies this start of the daemon.
    pub(crate) boot: u64,
    pub(crate) state: RefCell<SharedState>,
    pub(crate) connections: ConnectionPool,
    pub(crate) tunnels: Tunnels,
    pub(crate) metrics: EntryMetrics,
    /// Socket for messages between hosts, once it is bound.
    pub(crate) gossip_socket: OnceCell<UdpSocket>,
    /// Messages of other hosts that could not be decoded.
    pub(crate) undecodable: RefCell<Occurrences>,
    pub(crate) fleet: FleetIdentity,
    /// Wakes the gossip task to send a heartbeat soon.
    pub(crate) gossip_wakeup: Notify,
    /// Wakes the task that decides on waiting requests, when the first one waits.
    pub(crate) queue_wakeup: Notify,
    /// Wakes the task that stores crashes.
    pub(crate) crash_wakeup: Notify,
    /// Wakes the tasks that watch upstreams under runs that nobody waits for.
    pub(crate) left_runs_wakeup: Notify,
    /// Requests that wait to be sent although they are barred.
    pub(crate) probes: ProbeRequests,
    /// Wakes the task that stores where streams began.
    pub(crate) origin_wakeup: Notify,
    /// Reads of where streams began from the store.
    pub(crate) origin_reads: OriginReads,
    /// Wakes the task that evaluates rollouts, when an order is new or has changed.
    pub(crate) rollout_wakeup: Notify,
    pub(crate) stopping: Stopping,
    pub(crate) in_progress: Cell<usize>,
    /// Bodies that are read and discarded after their requests were answered.
    pub(crate) discards: Cell<usize>,
    /// Budget for the bodies in memory.
    pub(crate) memory: MemoryBudget,
    /// Open connections of callers.
    pub(crate) callers: CallerConnections,
    /// What the kernel may hold for a connection of a caller.
    pub(crate) caller_buffers: SocketBuffers,
    /// The same for a connection to an upstream.
    pub(crate) upstream_buffers: SocketBuffers,
    /// Size of the buffer into which responses of upstreams are read.
    pub(crate) upstream_read_bytes: usize,
}

impl Context {
    pub(crate) fn new(
        settings: EntrySettings,
        names: HeaderNames,
        metrics: EntryMetrics,
        file_shares: FileShares,
    ) -> Context {
        let now = clock::now();
        let first_start = match settings.first_start {
            true => FirstStart::Yes,
            false => FirstStart::No(now),
        };
        let boot = fastrand::u64(..);
        let mut state = SharedState {
            phase: Phase::Serving,
            routes: None,
            configured_at: now,
            upstream_list: UpstreamList::default(),
            has_list: false,
            first_list: FirstList::default(),
            schedulers: IndexMap::new(),
            rate_limiter: RateLimiter::new(settings.tolerance.usable(), now),
            retry_budget: RetryBudget::new(settings.retry_budget, first_start),
            crash_causes: CrashCauses::default(),
            left_runs: LeftRuns::default(),
            early_notices: EarlyNotices::default(),
            list_doubt: ListDoubt::default(),
            list_checked_at: now,
            start_checks: StartChecks::new(settings.first_start),
            stream_origins: StreamOrigins::default(),
            origin_log: OriginLog::default(),
            stored_versions: StoredVersions::default(),
            rollouts: Rollouts::new(settings.rollout, &settings.host, &settings.dc, boot),
            open_queries: OpenQueries::default(),
            pending_updates: PendingUpdates::default(),
            peers: IndexMap::new(),
            rendezvous: Rendezvous::default(),
            heard_protocols: HeardProtocols::default(),
            dc: settings.dc.clone(),
            started: now,
            start_trace: StartTrace::new(now),
            store_failed_at: None,
            store_answered_at: [None; 2],
            follower_election: FollowerElection::default(),
            crash_follower_election: FollowerElection::default(),
            data_centres: 1,
            propagation: settings.propagation,
            snapshot_fetches: SnapshotFetches::default(),
            snapshot_transfers: SnapshotTransfers::default(),
            longest_deadlines: IndexMap::new(),
            next_request_id: 0,
        };
        let (reachable, known) = state.reachable_hosts(now);
        state.rate_limiter.set_reachable(reachable, known, now);
        let memory = MemoryBudget::new(memory_budget::budget_bytes(settings.memory_limit_mb));
        let memory_limit_mb = settings.memory_limit_mb;
        let max_callers = file_shares.callers.min(max_callers(memory_limit_mb));
        Context {
            settings,
            file_shares,
            names,
            boot,
            state: RefCell::new(state),
            connections: ConnectionPool::default(),
            tunnels: Tunnels::default(),
            metrics,
            gossip_socket: OnceCell::new(),
            undecodable: RefCell::default(),
            fleet: FleetIdentity::default(),
            gossip_wakeup: Notify::new(),
            queue_wakeup: Notify::new(),
            crash_wakeup: Notify::new(),
            left_runs_wakeup: Notify::new(),
            probes: ProbeRequests::default(),
            origin_wakeup: Notify::new(),
            origin_reads: OriginReads::default(),
            rollout_wakeup: Notify::new(),
            stopping: Stopping::default(),
            in_progress: Cell::new(0),
            discards: Cell::new(0),
            memory,
            callers: CallerConnections::new(max_callers),
            caller_buffers: SocketBuffers::of_callers(memory_limit_mb),
            upstream_buffers: SocketBuffers::of_upstreams(memory_limit_mb),
            upstream_read_bytes: upstream_read_bytes(memory_limit_mb),
        }
    }

    /// Applies changed settings that need no restart.
    pub(crate) fn apply_settings(&self, settings: &EntrySettings) {
        let mut state = self.state.borrow_mut();
        state.retry_budget.set_config(settings.retry_budget);
        state
            .rate_limiter
            .set_tolerance(settings.tolerance.usable());
        state.propagation = settings.propagation;
    }

    /// Applies a configuration and returns true if it is newer than the current one.
    pub(crate) fn apply_configuration(
        &self,
        cfg: Configuration,
        source: ConfigurationSource,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        let known = state.routes.as_ref().map(|r| r.cfg().version);
        if known.is_some_and(|v| v >= cfg.version) {
            return false;
        }
        let now = clock::now();
        log::info!(
            "event=configuration_applied version={} from={source} routes={} organisations={}",
            cfg.version,
            cfg.routes.len(),
            cfg.organisations.len()
        );
        for o in &cfg.organisations {
            let id = hash::hash_parts(&[o.name.as_bytes()]);
            state.rate_limiter.set_limit(id, o.rate, o.burst, now);
        }
        state.routes = Some(Rc::new(RouteTable::new(cfg)));
        state.configured_at = now;
        state.update_pools(&self.settings.dc, self.boot, now);
        state.trace_start(now);
        drop(state);
        self.gossip_wakeup.notify_one();
        self.decide_waiting();
        true
    }

    /// Forgets the configuration and the list of upstreams, so that requests wait for those of the store.
    pub(crate) fn forget_state(&self) {
        let mut state = self.state.borrow_mut();
        state.routes = None;
        state.upstream_list = UpstreamList::default();
        state.has_list = false;
        drop(state);
        self.sync_pools();
    }

    /// Updates pools and idle connections after a change of the list of upstreams.
    pub(crate) fn sync_pools(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.update_pools(&self.settings.dc, self.boot, now);
        state.trace_start(now);
        let draining = state
            .upstream_list
            .upstreams()
            .filter(|l| l.draining)
            .count();
        log::info!(
            "event=upstream_list_changed listed={} draining={draining} revision={}",
            state.upstream_list.upstreams().count(),
            state.upstream_list.revision()
        );
        drop(state);
        self.gossip_wakeup.notify_one();
        self.decide_waiting();
        let state = self.state.borrow();
        let listed: IndexSet<&str> = state
            .upstream_list
            .upstreams()
            .map(|l| l.id.as_str())
            .collect();
        self.connections.remove_unusable(|id| listed.contains(id));
    }

    /// Places or refuses waiting requests of all services until no further decision is possible.
    pub(crate) fn decide_waiting(&self) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        for scheduler in state.schedulers.values_mut() {
            scheduler.pool.expire_peer_loads(now);
            scheduler.place_waiting(now);
        }
    }

    /// Returns whether any request waits for a slot.
    pub(crate) fn has_waiting(&self) -> bool {
        let state = self.state.borrow();
        state.schedulers.values().any(|s| !s.queue.is_empty())
    }

    /// Forgets the crashes under all that a request holds, since it ran to its end.
    pub(crate) fn clear_crashes(&self, request: &UpstreamRequest) {
        let now = clock::now();
        let cleared = self
            .state
            .borrow_mut()
            .crash_causes
            .clear(&request.causes, now);
        if cleared > 0 {
            log::info!(
                "event=crashes_cleared request={} crashes={cleared}",
                request.id_for_log()
            );
        }
    }

    /// Spends a retry for `service`, if the budget allows one.
    pub(crate) fn try_retry(&self, service: &str, known_hosts: usize) -> bool {
        let now = clock::now();
        let budget = &mut self.state.borrow_mut().retry_budget;
        let allowed = budget.try_retry(service, known_hosts, now);
        let result = if allowed { "allowed" } else { "denied" };
        self.metrics
            .count("retries", &[("service", service), ("result", result)]);
        allowed
    }

    /// Keeps an idle connection for further requests, up to this host's share of the connections
    /// that the upstream accepts.
    pub(crate) fn keep_connection(
        &self,
        service: &str,
        upstream: &str,
        connection: Connection,
        upstream_timeout: Option<Span>,
    ) {
        if connection.is_tunnelled {
            return;
        }
        let (_, known) = self.reachable_hosts();
        let accepted = {
            let state = self.state.borrow();
            let routes = state.routes.as_ref();
            let service = routes.and_then(|r| r.cfg().services.get(service));
            service.map_or(0, |s| s.connections as usize)
        };
        let max_idle = (accepted / (IDLE_CONNECTIONS_DIVISOR * known)).max(1);
        self.connections
            .keep_idle(upstream, connection, upstream_timeout, max_idle);
    }

    /// Returns the numbers of reachable and known hosts, this one included.
    pub(crate) fn reachable_hosts(&self) -> (usize, usize) {
        self.state.borrow().reachable_hosts(clock::now())
    }
}

/// One in this many of the connections that an upstream accepts may be kept idle, over all hosts.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// Time since a host was last seen after which it counts as unreachable.
const PEER_TIMEOUT: Span = Span::from_millis(700);
/// The same for a host that only relays report on.
const RELAYED_PEER_TIMEOUT: Span = Span::from_millis(1_500);
/// Number of other hosts above which only relays report to other data centres.
const MANY_HOSTS: usize = 24;

/// A guard that counts work in progress until it is dropped. The daemon waits for all of it before
/// it stops, up to the grace period.
#[derive(Debug)]
pub(crate) struct InProgress(Rc<Context>);

impl InProgress {
    pub(crate) fn new(cx: &Rc<Context>) -> InProgress {
        cx.in_progress.set(cx.in_progress.get() + 1);
        InProgress(cx.clone())
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl SharedState {
    /// Returns whether the fleet is so large that only relays report to other data centres.
    pub(crate) fn has_many_hosts(&self) -> bool {
        self.peers.len() > MANY_HOSTS
    }

    /// Returns whether a host is known to be of this host's data centre.
    pub(crate) fn is_local(&self, peer: &Peer) -> bool {
        peer.dc == self.dc
    }

    /// Returns whether a host was last seen so long ago that it counts as unreachable.
    pub(crate) fn is_unreachable(&self, peer: &Peer, now: Time) -> bool {
        let sends_heartbeats = peer.dc == self.dc || !self.has_many_hosts();
        let timeout = if sends_heartbeats {
            PEER_TIMEOUT
        } else {
            RELAYED_PEER_TIMEOUT
        };
        now.since(peer.last_seen) >= timeout
    }

    /// Returns the numbers of reachable and known hosts, this one included, corrected for the first
    /// moments after the start, in which few hosts have been seen.
    pub(crate) fn reachable_hosts(&self, now: Time) -> (usize, usize) {
        let reachable = self.peers.values();
        let reachable = reachable.filter(|p| !self.is_unreachable(p, now)).count() + 1;
        rate_limiter::reachable_hosts(now.since(self.started), reachable, self.peers.len() + 1)
    }

    /// Returns the numbers of reachable and known hosts that are not leaving, this one included.
    pub(crate) fn heard_hosts(&self, now: Time) -> (usize, usize) {
        let staying = || self.peers.values().filter(|p| !p.leaving);
        let heard = staying().filter(|p| !self.is_unreachable(p, now)).count();
        (heard + 1, staying().count() + 1)
    }

    /// Returns whether this host knows others, or has been looking for long enough to be the only one.
    pub(crate) fn has_discovered_hosts(&self, now: Time) -> bool {
        !self.peers.is_empty() || now.since(self.started) >= rate_limiter::DISCOVERY_TIME
    }

    /// Records a host that sent a heartbeat or was reported by a relay, and returns whether it is new or has restarted.
    pub(crate) fn record_peer(&mut self, ip: IpAddr, peer: Peer) -> bool {
        let boot = peer.boot;
        let before = self.peers.insert(ip, peer);
        if before.as_ref().is_some_and(|p| p.unreadable_at.is_some()) {
            log::info!("event=host_readable host={ip}");
        }
        match before {
            Some(before) if before.boot == boot => return false,
            None => log::info!("event=host_joined host={ip}"),
            Some(before) => {
                for limiter in self.rate_limiters() {
                    limiter.remove_reporter(before.boot);
                }
                for scheduler in self.schedulers.values_mut() {
                    scheduler.pool.forget_peer(before.boot);
                }
            }
        }
        self.pending_updates.has_new_host = true;
        true
    }

    /// Forgets a host that is gone or was never one of this fleet, and returns whether it was known.
    pub(crate) fn remove_peer(&mut self, ip: IpAddr) -> bool {
        let Some(peer) = self.peers.swap_remove(&ip) else {
            return false;
        };
        log::info!("event=host_removed host={ip}");
        for limiter in self.rate_limiters() {
            limiter.remove_reporter(peer.boot);
        }
        true
    }

    /// Returns the limiters of organisations and of the upstreams of each pool.
    pub(crate) fn rate_limiters(&mut self) -> impl Iterator<Item = &mut RateLimiter> {
        let pools = self.schedulers.values_mut();
        let of_pools = pools.map(|s| s.pool.limits_mut().limiter_mut());
        std::iter::once(&mut self.rate_limiter).chain(of_pools)
    }

    fn update_pools(&mut self, dc: &str, seed: u64, now: Time) {
        let Some(routes) = self.routes.clone() else {
            return;
        };
        let services = &routes.cfg().services;
        for (name, service) in services {
            let scheduler = self
                .schedulers
                .entry(name.clone())
                .or_insert_with(|| ServiceScheduler::new(Pool::new(dc, seed)));
            let listed = self
                .upstream_list
                .upstreams()
                .filter(|l| l.service == *name);
            scheduler.pool.set_upstreams(listed, now);
            scheduler.pool.set_cache_tokens(service.cache_tokens);
        }
        capacity_reports::set_target_latencies(self, &routes);
        self.apply_early_notices(now);
        rollouts::sync_gates(self, seed);
    }

    fn apply_early_notices(&mut self, now: Time) {
        for scheduler in self.schedulers.values_mut() {
            let pool = &mut scheduler.pool;
            let is_listed = |number| pool.key_by_number(number).is_some();
            let reports = self.early_notices.take(is_listed, now);
            for report in reports {
                pool.notices_mut().record_report(&report, now);
            }
        }
    }

    /// Returns the time that a retrying caller has already spent: the longest deadline seen on the
    /// route minus this one.
    pub(crate) fn elapsed(&mut self, route: &str, deadline: Span) -> Span {
        let longest = self.longest_deadlines.entry(route.to_owned()).or_default();
        *longest = (*longest).max(deadline);
        self.spent(route, deadline)
    }

    /// Returns the same without remembering the deadline.
    pub(crate) fn spent(&self, route: &str, deadline: Span) -> Span {
        let longest = self.longest_deadlines.get(route).copied();
        let spent = longest.unwrap_or_default().max(deadline) - deadline;
        if spent < MIN_RETRY_SPENT {
            Span::ZERO
        } else {
            spent
        }
    }
}

/// Minimum difference from the longest deadline at which a caller counts as retrying.
const MIN_RETRY_SPENT: Span = Span::from_millis(40);
