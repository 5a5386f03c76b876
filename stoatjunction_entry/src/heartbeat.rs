//! Heartbeats: a host's load on each upstream, its usage of each rate limit and the version of its
//! state, as sent to the other hosts.

use std::net::IpAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::crash::{Cause, CrashReport};
use stoatjunction_core::entry::pool::{Load, Pool, Upstream, UpstreamKey, WaitingCounts};
use stoatjunction_core::entry::rate_limiter::{Reporter, UsageReport};
use stoatjunction_core::entry::stream_origins::Place;
use stoatjunction_core::time::{Span, Time};

use crate::capacity_reports::{self, CapacityEntries};
use crate::catch_up;
use crate::clock;
use crate::followers;
use crate::protocol::HostProtocol;
use crate::state::{Context, Peer, Phase, SharedState};
use crate::stream_origins::{self, BegunStreams};

/// Observations of an upstream's speed from which its slowdown is reported.
const MIN_OBSERVATIONS: u32 = 3;
/// Maximum hosts listed in one heartbeat; the others follow in later ones. Datagrams of several
/// kilobytes get lost.
pub(crate) const MAX_HOSTS: usize = 16;
/// Maximum upstreams whose slowdown is reported in one heartbeat.
const MAX_SLOWDOWNS: usize = 40;

/// Maximum upstreams that one heartbeat reports as down.
const MAX_DOWN: usize = 16;

/// A host's report on itself. Encoded by position: the order of the fields is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) boot: u64,
    pub(crate) dc: String,
    pub(crate) leaving: bool,
    pub(crate) follows: bool,
    /// Services whose upstreams this host does not reach.
    pub(crate) cut_off: Vec<String>,
    pub(crate) known: StateVersion,
    pub(crate) loads: Vec<UpstreamLoad>,
    /// Waiting requests by service and precedence.
    pub(crate) waiting: Vec<(String, WaitingCounts)>,
    #[serde(rename = "told")]
    pub(crate) usage: Vec<UsageReport>,
    /// Crashes of upstreams that this host has just seen.
    #[serde(rename = "breaks")]
    pub(crate) crashes: Vec<CrashReport>,
    /// Prompt parts with the number of the upstream that they were sent to.
    #[serde(rename = "parts")]
    pub(crate) prompt_parts: Vec<(u32, u64)>,
    #[serde(rename = "more")]
    pub(crate) details: Option<HeartbeatDetails>,
    /// Streams that began at this host lately.
    pub(crate) begun_streams: BegunStreams,
    /// Upstreams that were down lately, by number, with the milliseconds since then.
    pub(crate) down: Vec<(u64, u64)>,
    /// Learned capacity of upstreams.
    pub(crate) capacity: CapacityEntries,
}

/// Version of a host's configuration and list of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateVersion {
    /// Version of its configuration; 0 for none.
    pub(crate) config: u64,
    /// Revision of its list of upstreams.
    pub(crate) revision: u64,
    /// Digest of that list.
    pub(crate) digest: u64,
}

/// The part of a heartbeat that is sent at the longest interval only.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HeartbeatDetails {
    /// Requests per second that callers make to each service.
    demand: Vec<(String, f32)>,
    #[serde(rename = "speeds")]
    slowdowns: Vec<UpstreamSlowdown>,
    /// A random sample of the hosts known to the sender.
    hosts: Vec<IpAddr>,
}

/// Load on one upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    #[serde(rename = "node")]
    pub(crate) upstream: u64,
    pub(crate) running: u32,
    #[serde(rename = "unread")]
    pub(crate) pending_prefill_tokens: u32,
    /// Prompt and maximum output tokens that runs hold in the memory of the upstream.
    pub(crate) held_tokens: u64,
}

/// How much slower than its pool an upstream is, and the number of observations behind it.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamSlowdown {
    #[serde(rename = "node")]
    upstream: u64,
    #[serde(rename = "factor")]
    slowdown: f32,
    observed: u32,
}

/// Returns the version of this host's configuration and list of upstreams.
pub(crate) fn state_version(state: &SharedState) -> StateVersion {
    StateVersion {
        config: state.routes.as_ref().map_or(0, |r| r.cfg().version),
        revision: state.upstream_list.revision(),
        digest: state.upstream_list.digest(),
    }
}

/// Returns the services whose upstreams this host does not reach.
pub(crate) fn cut_off_services(state: &SharedState) -> Vec<String> {
    let schedulers = state.schedulers.iter();
    let cut_off = schedulers.filter(|(_, s)| s.reachability.is_cut_off());
    cut_off.map(|(service, _)| service.clone()).collect()
}

/// Returns this host's own load on each upstream that it uses.
pub(crate) fn own_loads(state: &SharedState) -> Vec<UpstreamLoad> {
    let load = |pool: &Pool, key: UpstreamKey, u: &Upstream| UpstreamLoad {
        upstream: u.number,
        running: u.own_load().running,
        pending_prefill_tokens: u.own_load().pending_prefill_tokens,
        held_tokens: pool.reported_tokens(key),
    };
    let pools = state.schedulers.values().map(|s| &s.pool);
    let loads = pools.flat_map(|p| p.upstreams().map(move |(key, u)| load(p, key, u)));
    loads
        .filter(|l| l.running > 0 || l.held_tokens > 0)
        .collect()
}

/// Returns this host's waiting requests by service.
pub(crate) fn own_waiting(state: &SharedState) -> Vec<(String, WaitingCounts)> {
    let schedulers = state.schedulers.iter();
    let waiting = schedulers.filter(|(_, s)| !s.pool.waiting().is_empty());
    let waiting = waiting.map(|(service, s)| (service.clone(), s.pool.waiting().clone()));
    waiting.collect()
}

/// Builds a heartbeat and clears the updates that it carries. A `full` one includes the details.
pub(crate) fn build(cx: &Context, full: bool) -> Heartbeat {
    let mut state = cx.state.borrow_mut();
    let details = full.then(|| build_details(&state));
    let state = &mut *state;
    let now = clock::now();
    let crashes = state.pending_updates.crashes.iter();
    let crashes = crashes.filter_map(|(c, _)| state.crash_causes.report_of(*c, now));
    let crashes = crashes.collect();
    for (_, remaining) in &mut state.pending_updates.crashes {
        *remaining -= 1;
    }
    state
        .pending_updates
        .crashes
        .retain(|(_, remaining)| *remaining > 0);
    Heartbeat {
        boot: cx.boot,
        dc: cx.settings.dc.clone(),
        leaving: state.phase == Phase::Closing,
        follows: followers::follows(state),
        cut_off: cut_off_services(state),
        known: state_version(state),
        loads: own_loads(state),
        waiting: own_waiting(state),
        usage: state.rate_limiter.own_usage(clock::now()),
        crashes,
        prompt_parts: std::mem::take(&mut state.pending_updates.prompt_parts),
        details,
        begun_streams: stream_origins::take_pending(state),
        down: lately_down(state, now),
        capacity: capacity_reports::build(state, full, now),
    }
}

/// Returns the upstreams that were down lately, with the milliseconds since then.
pub(crate) fn lately_down(state: &SharedState, now: Time) -> Vec<(u64, u64)> {
    let pools = state.schedulers.values().map(|s| &s.pool);
    let down = pools.flat_map(|p| p.lately_down(now)).take(MAX_DOWN);
    down.map(|(number, age)| (number, age.as_millis()))
        .collect()
}

/// Records upstreams that were down, as other hosts report them.
pub(crate) fn record_down(state: &mut SharedState, down: &[(u64, u64)], now: Time) {
    for scheduler in state.schedulers.values_mut() {
        for (number, age) in down {
            let at = now.saturating_sub(Span::from_millis(*age));
            scheduler.pool.record_down(*number, at);
        }
    }
}

fn build_details(state: &SharedState) -> HeartbeatDetails {
    let now = clock::now();
    let demand = state.schedulers.iter();
    let demand = demand.map(|(service, s)| (service.clone(), s.pool.demand(now) as f32));
    let upstreams = state.schedulers.values().flat_map(|s| s.pool.upstreams());
    let slowdowns = upstreams.filter_map(|(_, u)| slowdown_report(u)).collect();
    let hosts = state.peers.keys().copied().collect();
    HeartbeatDetails {
        demand: demand.collect(),
        slowdowns: sample(slowdowns, MAX_SLOWDOWNS),
        hosts: sample(hosts, MAX_HOSTS),
    }
}

fn slowdown_report(upstream: &Upstream) -> Option<UpstreamSlowdown> {
    let (slowdown, observed) = upstream.slowdown();
    let report = UpstreamSlowdown {
        upstream: upstream.number,
        slowdown: slowdown as f32,
        observed,
    };
    (observed >= MIN_OBSERVATIONS).then_some(report)
}

/// Returns at most `max_len` of the items, chosen at random.
fn sample<T>(mut all: Vec<T>, max_len: usize) -> Vec<T> {
    if all.len() > max_len {
        fastrand::shuffle(&mut all);
        all.truncate(max_len);
    }
    all
}

/// Applies a heartbeat of the host at `sender`, and returns whether that host was not heard since its start.
pub(crate) fn receive(
    cx: &Rc<Context>,
    sender: IpAddr,
    heartbeat: Heartbeat,
    protocol: HostProtocol,
) -> bool {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let known = heartbeat.known;
    let reporter = Reporter {
        id: heartbeat.boot,
        hosts: 1,
        reported_at: now,
    };
    state
        .rate_limiter
        .record_usage(reporter, &heartbeat.usage, now);
    for report in &heartbeat.crashes {
        merge_crashes(state, sender, report);
    }
    record_waiting(state, heartbeat.boot, &heartbeat.waiting);
    record_loads(state, heartbeat.boot, &heartbeat.loads);
    record_prompt_parts(state, &heartbeat.prompt_parts);
    stream_origins::receive_begun(state, &heartbeat.begun_streams, Place::Here);
    record_down(state, &heartbeat.down, now);
    capacity_reports::receive(state, &heartbeat.capacity, now);
    let mut peer = Peer {
        boot: heartbeat.boot,
        last_seen: now,
        dc: heartbeat.dc,
        leaving: heartbeat.leaving,
        follows: heartbeat.follows,
        cut_off: heartbeat.cut_off,
        loads: heartbeat.loads,
        waiting: heartbeat.waiting,
        protocol,
        ..Peer::default()
    };
    if let Some(details) = heartbeat.details {
        peer.demand = details.demand.clone();
        record_details(cx, state, details);
    } else if let Some(before) = state.peers.get_mut(&sender) {
        peer.demand = std::mem::take(&mut before.demand);
    }
    let is_new = state.record_peer(sender, peer);
    state.trace_start(now);
    let has_new_host = state.pending_updates.has_new_host;
    let has_many_hosts = state.has_many_hosts();
    drop(guard);
    if has_new_host {
        cx.gossip_wakeup.notify_one();
    }
    catch_up::compare(cx, sender, known);
    // With many hosts several reports arrive in each interval of the regular decisions.
    if !has_many_hosts {
        cx.decide_waiting();
    }
    is_new
}

/// Merges what the host at `sender` knows about a cause of crashes. Most requests and parts of prompts see a
/// single crash, since they ran beside the one that caused it.
pub(crate) fn merge_crashes(state: &mut SharedState, sender: IpAddr, report: &CrashReport) {
    if !state.crash_causes.merge(report, clock::now()) {
        return;
    }
    for scheduler in state.schedulers.values_mut() {
        for crash in &report.crashes {
            scheduler.pool.record_break(crash.upstream, clock::now());
        }
    }
    let cause = report.cause;
    let crashes = state.crash_causes.crash_count(cause);
    let level = match (cause, crashes) {
        (Cause::Request(_), 2..) => log::Level::Info,
        _ => log::Level::Debug,
    };
    log::log!(
        level,
        "event=crash_reported cause={cause} from={sender} crashes={crashes}"
    );
}

fn record_details(cx: &Context, state: &mut SharedState, details: HeartbeatDetails) {
    for ip in details.hosts {
        if ip != cx.settings.ip && !state.peers.contains_key(&ip) {
            state.peers.insert(ip, Peer::never_seen(clock::now()));
        }
    }
    for report in details.slowdowns {
        for scheduler in state.schedulers.values_mut() {
            if let Some(key) = scheduler.pool.key_by_number(report.upstream) {
                let slowdown = f64::from(report.slowdown);
                scheduler
                    .pool
                    .record_peer_slowdown(key, slowdown, report.observed);
            }
        }
    }
}

/// Records the waiting requests of the hosts that `reporter` reports for.
pub(crate) fn record_waiting(
    state: &mut SharedState,
    reporter: u64,
    waiting: &[(String, WaitingCounts)],
) {
    let now = clock::now();
    for (service, scheduler) in &mut state.schedulers {
        let reported = waiting.iter().find(|(s, _)| s == service);
        let counts = reported
            .map(|(_, counts)| counts.clone())
            .unwrap_or_default();
        scheduler.pool.set_peer_waiting(reporter, counts, now);
    }
}

/// Records the load of the hosts that `reporter` reports for.
pub(crate) fn record_loads(state: &mut SharedState, reporter: u64, loads: &[UpstreamLoad]) {
    let now = clock::now();
    for scheduler in state.schedulers.values_mut() {
        let (mut running, mut held) = (Vec::new(), Vec::new());
        for l in loads {
            if let Some(key) = scheduler.pool.key_by_number(l.upstream) {
                let load = Load {
                    running: l.running,
                    pending_prefill_tokens: l.pending_prefill_tokens,
                };
                running.push((key, load));
                held.push((key, l.held_tokens));
            }
        }
        scheduler.pool.set_peer_load(reporter, running, now);
        held.retain(|(_, tokens)| *tokens > 0);
        scheduler.pool.set_peer_tokens(reporter, held, now);
    }
}

fn record_prompt_parts(state: &mut SharedState, parts: &[(u32, u64)]) {
    let now = clock::now();
    for scheduler in state.schedulers.values_mut() {
        for (part, upstream) in parts {
            if let Some(key) = scheduler.pool.key_by_number(*upstream) {
                scheduler.pool.record_peer_prompt_part(*part, key, now);
            }
        }
    }
}
