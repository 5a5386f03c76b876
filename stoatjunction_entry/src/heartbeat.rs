//! What a host says of itself to the others: what it runs on which upstream, uses of which limit, and
//! knows.

use std::net::IpAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::limit::{Reporter, UsageReport};
use stoatjunction_core::entry::pool::{Load, Upstream, WaitingCounts};
use stoatjunction_core::entry::suspects::Crash;

use crate::catch_up;
use crate::clock;
use crate::followers;
use crate::state::{Context, Peer, Phase, SharedState};

/// Least number of observations of an upstream's speed that is told.
const TOLD_FROM: u32 = 3;
/// Hosts named in one beat; others are named in later ones. Datagrams of several kilobytes get lost.
const MOST_NAMED: usize = 16;
/// Upstreams whose speeds are told in one beat.
const MOST_SPEEDS: usize = 40;

/// A host's word on itself.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) boot: u64,
    pub(crate) dc: String,
    pub(crate) leaving: bool,
    pub(crate) follows: bool,
    pub(crate) known: StateVersion,
    pub(crate) loads: Vec<UpstreamLoad>,
    /// Waiting calls by order, by service.
    pub(crate) waiting: Vec<(String, WaitingCounts)>,
    pub(crate) told: Vec<UsageReport>,
    pub(crate) breaks: Vec<(u64, u64)>,
    pub(crate) parts: Vec<(u32, u64)>,
    pub(crate) more: Option<HeartbeatDetails>,
}

/// How new a host's view is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateVersion {
    /// Version of its configuration; 0 for none.
    pub(crate) config: u64,
    /// Revision of its list of upstreams.
    pub(crate) revision: u64,
    /// Digest of that list.
    pub(crate) digest: u64,
}

/// What is told now and then only.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct HeartbeatDetails {
    /// Calls a second that callers ask of each service.
    demand: Vec<(String, f32)>,
    speeds: Vec<UpstreamSlowdown>,
    /// Some of the hosts that it knows.
    hosts: Vec<IpAddr>,
}

/// What runs on an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct UpstreamLoad {
    pub(crate) node: u64,
    pub(crate) running: u32,
    pub(crate) unread: u32,
}

/// How much slower than its pool an upstream was found, in so many observations.
#[derive(Debug, Serialize, Deserialize)]
struct UpstreamSlowdown {
    node: u64,
    factor: f32,
    observed: u32,
}

/// How new this host's view is.
pub(crate) fn state_version(state: &SharedState) -> StateVersion {
    StateVersion {
        config: state.routes.as_ref().map_or(0, |r| r.cfg().version),
        revision: state.upstream_list.revision(),
        digest: state.upstream_list.digest(),
    }
}

/// This host's own load on each upstream that it uses.
pub(crate) fn own_loads(state: &SharedState) -> Vec<UpstreamLoad> {
    let nodes = state.desks.values().flat_map(|d| d.pool.upstreams());
    let used = nodes.filter(|(_, n)| n.own_load().running > 0);
    let load = |n: &Upstream| UpstreamLoad {
        node: n.number,
        running: n.own_load().running,
        unread: n.own_load().pending_prefill_tokens,
    };
    used.map(|(_, n)| load(n)).collect()
}

/// This host's waiting calls.
pub(crate) fn own_waiting(state: &SharedState) -> Vec<(String, WaitingCounts)> {
    let desks = state.desks.iter();
    let waiting = desks.filter(|(_, d)| !d.pool.waiting().is_empty());
    let waiting = waiting.map(|(service, d)| (service.clone(), d.pool.waiting().clone()));
    waiting.collect()
}

/// Makes a beat and takes the news off the state.
pub(crate) fn build(cx: &Context, full: bool) -> Heartbeat {
    let mut state = cx.state.borrow_mut();
    let more = full.then(|| more(&state));
    let state = &mut *state;
    let breaks = state.pending_updates.crashes.iter();
    let breaks = breaks.map(|(b, _)| (b.fingerprint, b.attempt)).collect();
    for (_, left) in &mut state.pending_updates.crashes {
        *left -= 1;
    }
    state.pending_updates.crashes.retain(|(_, left)| *left > 0);
    state.pending_updates.changed = false;
    Heartbeat {
        boot: cx.boot,
        dc: cx.settings.dc.clone(),
        leaving: state.phase == Phase::Closing,
        follows: followers::follows(state, clock::now()),
        known: state_version(state),
        loads: own_loads(state),
        waiting: own_waiting(state),
        told: state.limits.own_usage(clock::now()),
        breaks,
        parts: std::mem::take(&mut state.pending_updates.prompt_parts),
        more,
    }
}

fn more(state: &SharedState) -> HeartbeatDetails {
    let now = clock::now();
    let demand = state.desks.iter();
    let demand = demand.map(|(service, d)| (service.clone(), d.pool.demand(now) as f32));
    let nodes = state.desks.values().flat_map(|d| d.pool.upstreams());
    let speeds = nodes.filter_map(|(_, n)| speed(n)).collect();
    let hosts = state.peers.keys().copied().collect();
    HeartbeatDetails {
        demand: demand.collect(),
        speeds: some_of(speeds, MOST_SPEEDS),
        hosts: some_of(hosts, MOST_NAMED),
    }
}

fn speed(node: &Upstream) -> Option<UpstreamSlowdown> {
    let (factor, observed) = node.slowdown();
    let speed = UpstreamSlowdown {
        node: node.number,
        factor: factor as f32,
        observed,
    };
    (observed >= TOLD_FROM).then_some(speed)
}

/// At most `most` of the items, others each time.
fn some_of<T>(mut all: Vec<T>, most: usize) -> Vec<T> {
    if all.len() > most {
        fastrand::shuffle(&mut all);
        all.truncate(most);
    }
    all
}

/// Takes in what the host at `from` says of itself.
pub(crate) fn receive(cx: &Rc<Context>, from: IpAddr, beat: Heartbeat) {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let known = beat.known;
    let teller = Reporter {
        id: beat.boot,
        hosts: 1,
        at: now,
    };
    state.limits.record_usage(teller, &beat.told, now);
    for (fingerprint, sending) in &beat.breaks {
        let b = Crash {
            fingerprint: *fingerprint,
            attempt: *sending,
        };
        state.poison_requests.record_crash(b, now);
    }
    record_waiting(state, beat.boot, &beat.waiting);
    record_loads(state, beat.boot, &beat.loads);
    record_prompt_parts(state, &beat.parts);
    let mut peer = Peer {
        boot: beat.boot,
        last_heard: now,
        dc: beat.dc,
        leaving: beat.leaving,
        follows: beat.follows,
        loads: beat.loads,
        waiting: beat.waiting,
        ..Peer::default()
    };
    if let Some(more) = beat.more {
        peer.demand = more.demand.clone();
        record_details(cx, state, more);
    } else if let Some(before) = state.peers.get_mut(&from) {
        peer.demand = std::mem::take(&mut before.demand);
    }
    state.record_peer(from, peer);
    let greets = state.pending_updates.has_new_host;
    drop(guard);
    if greets {
        cx.changed.notify_one();
    }
    catch_up::compare(cx, from, known);
    cx.decide_waiting();
}

fn record_details(cx: &Context, state: &mut SharedState, more: HeartbeatDetails) {
    for ip in more.hosts {
        if ip != cx.settings.ip && !state.peers.contains_key(&ip) {
            state.peers.insert(ip, Peer::never_heard(clock::now()));
        }
    }
    for speed in more.speeds {
        for desk in state.desks.values_mut() {
            if let Some(key) = desk.pool.key_by_number(speed.node) {
                let factor = f64::from(speed.factor);
                desk.pool.record_peer_slowdown(key, factor, speed.observed);
            }
        }
    }
}

/// Takes in the waiting calls of the hosts that `teller` speaks for.
pub(crate) fn record_waiting(
    state: &mut SharedState,
    teller: u64,
    waiting: &[(String, WaitingCounts)],
) {
    let now = clock::now();
    for (service, desk) in &mut state.desks {
        let told = waiting.iter().find(|(s, _)| s == service);
        let counts = told.map(|(_, counts)| counts.clone()).unwrap_or_default();
        desk.pool.set_peer_waiting(teller, counts, now);
    }
}

/// Takes in what the hosts that `teller` speaks for run.
pub(crate) fn record_loads(state: &mut SharedState, teller: u64, loads: &[UpstreamLoad]) {
    let now = clock::now();
    for desk in state.desks.values_mut() {
        let mut running = Vec::new();
        for l in loads {
            if let Some(key) = desk.pool.key_by_number(l.node) {
                let load = Load {
                    running: l.running,
                    pending_prefill_tokens: l.unread,
                };
                running.push((key, load));
            }
        }
        desk.pool.set_peer_load(teller, running, now);
    }
}

fn record_prompt_parts(state: &mut SharedState, parts: &[(u32, u64)]) {
    let now = clock::now();
    for desk in state.desks.values_mut() {
        for (part, node) in parts {
            if let Some(key) = desk.pool.key_by_number(*node) {
                desk.pool.record_peer_prompt_part(*part, key, now);
            }
        }
    }
}
