//! The upstreams of one service as one host sees them, and its own runs there.

use indexmap::IndexMap;

use super::health::RunOutcome;
use super::latency::LatencyModel;
pub use super::peer_reports::DataCentreHosts;
pub use super::placement_request::{PlacementRequest, Precedence};
use super::prompt_cache::{PromptCacheIndex, PromptPart};
use super::rate::Rate;
use super::upstream::upstream_number;
pub use super::upstream::{Load, Upstream};
use super::view::Listed;
use crate::arena::{Arena, Key};
use crate::time::{Span, Time};

/// Time over which the demand of callers is counted.
const DEMAND_MEMORY: Span = Span::from_millis(3_000);
/// Mean time of a run before anything is learned, in milliseconds.
const RUN_HINT: f64 = 800.0;
/// Least weight of a run in the mean time of runs.
const RUN_WEIGHT: f64 = 0.02;

/// Position of an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

impl Key for UpstreamKey {
    fn from_index(index: usize) -> Self {
        UpstreamKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A run of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(u32);

impl Key for RunKey {
    fn from_index(index: usize) -> Self {
        RunKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) upstream: UpstreamKey,
    unread: u32,
    ahead: u32,
    begun: Time,
    had_place: bool,
    first: bool,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it to the upstream.
    Place(UpstreamKey),
    /// Keep it until something changes.
    Wait,
    /// Refuse it; there may be room after the time.
    Refuse(Span),
}

/// The upstreams of a service.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) dc: String,
    pub(super) upstreams: Arena<UpstreamKey, Upstream>,
    pub(super) by_id: IndexMap<String, UpstreamKey>,
    pub(super) by_number: IndexMap<u64, UpstreamKey>,
    pub(super) peer_loads: IndexMap<u64, (Vec<(UpstreamKey, Load)>, Time)>,
    /// True while hosts of other data centres tell of their loads only now and then.
    pub(super) sparse_remote_reports: bool,
    pub(super) runs: Arena<RunKey, Run>,
    pub(super) prompt_cache: PromptCacheIndex,
    pub(super) latency: LatencyModel,
    pub(super) run_ms: f64,
    pub(super) runs_seen: u32,
    pub(super) lowest_slowdown: f64,
    pub(super) seed: u64,
    pub(super) waiting: WaitingCounts,
    pub(super) peer_waiting: IndexMap<u64, (WaitingCounts, Time)>,
    pub(super) demand: Rate,
    /// DataCentreHosts among which places are dealt out; 0 when they are not.
    pub(super) slot_sharers: u32,
}

/// Numbers of waiting calls by order.
pub type WaitingCounts = Vec<(Precedence, u16)>;

impl Pool {
    /// A pool without upstreams, seen from data centre `dc`. `seed` differs between hosts, so that
    /// they do not all choose the same of two equal upstreams.
    pub fn new(dc: &str, seed: u64) -> Pool {
        Pool {
            dc: dc.to_owned(),
            upstreams: Arena::default(),
            by_id: IndexMap::new(),
            by_number: IndexMap::new(),
            peer_loads: IndexMap::new(),
            sparse_remote_reports: false,
            runs: Arena::default(),
            prompt_cache: PromptCacheIndex::default(),
            latency: LatencyModel::default(),
            run_ms: RUN_HINT,
            runs_seen: 0,
            lowest_slowdown: 1.0,
            seed,
            waiting: WaitingCounts::new(),
            peer_waiting: IndexMap::new(),
            demand: Rate::new(DEMAND_MEMORY),
            slot_sharers: 0,
        }
    }

    /// Takes the newest list of the service's upstreams.
    pub fn set_upstreams<'a, I>(&mut self, listed: I, now: Time)
    where
        I: Iterator<Item = &'a Listed>,
    {
        let mut seen = Vec::new();
        for l in listed {
            seen.push(l.id.clone());
            self.set_upstream(l, now);
        }
        let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !seen.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove_upstream(&id);
        }
    }

    fn set_upstream(&mut self, l: &Listed, now: Time) {
        let known = self.by_id.get(&l.id).copied();
        if let Some(key) = known
            && let Some(upstream) = self.upstreams.get_mut(key)
            && upstream.listed.born == l.born
            && upstream.listed.addr == l.addr
        {
            upstream.listed = l.clone();
            return;
        }
        self.remove_upstream(&l.id);
        let key = self.upstreams.insert(Upstream::new(l, now));
        self.by_id.insert(l.id.clone(), key);
        self.by_number.insert(upstream_number(&l.id, l.born), key);
    }

    fn remove_upstream(&mut self, id: &str) {
        let Some(key) = self.by_id.shift_remove(id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.remove(key) {
            self.by_number.swap_remove(&upstream.number);
        }
        self.prompt_cache.forget(key);
        for (loads, _) in self.peer_loads.values_mut() {
            loads.retain(|(k, _)| *k != key);
        }
    }

    /// The upstream of a key, while it is listed.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// The key of the upstream with a number.
    pub fn key_by_number(&self, number: u64) -> Option<UpstreamKey> {
        self.by_number.get(&number).copied()
    }

    /// All upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Places that are free over all upstreams in use.
    pub fn free_slots(&self, now: Time) -> u32 {
        self.usable(now)
            .map(|(_, n)| n.listed.slots.saturating_sub(n.running(now)))
            .sum()
    }

    /// Places that are free and not left to other hosts.
    pub(super) fn available_slots(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.available_slots(now)).sum()
    }

    /// All places of the upstreams in use.
    pub fn total_slots(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.listed.slots).sum()
    }

    pub(super) fn usable(&self, now: Time) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let sound = move |n: &Upstream| !n.listed.draining && !n.health.is_circuit_open(now);
        let any = self.upstreams.iter().any(|(_, n)| sound(n));
        self.upstreams
            .iter()
            .filter(move |(_, n)| !n.listed.draining && (sound(n) || !any))
    }

    /// Records that a call was sent.
    pub fn start_run(&mut self, key: UpstreamKey, prompt: &[PromptPart], now: Time) -> RunKey {
        let unread = self.prompt_cache.uncached_tokens(prompt, key);
        let mut ahead = 0;
        let mut had_place = false;
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let load = upstream.load(now);
            ahead = load.pending_prefill_tokens;
            had_place = load.running < upstream.listed.slots;
            upstream.own.running += 1;
            upstream.own.pending_prefill_tokens += unread;
        }
        for part in prompt {
            self.prompt_cache.record(part.id, key, now);
        }
        self.runs.insert(Run {
            upstream: key,
            unread,
            ahead,
            begun: now,
            had_place,
            first: false,
        })
    }

    /// Records the first event, or the head of a plain answer.
    pub fn record_first_event(&mut self, run: RunKey, now: Time) {
        let Some(r) = self.runs.get_mut(run) else {
            return;
        };
        if std::mem::replace(&mut r.first, true) {
            return;
        }
        let r = *r;
        let Some(upstream) = self.upstreams.get_mut(r.upstream) else {
            return;
        };
        upstream.own.pending_prefill_tokens =
            upstream.own.pending_prefill_tokens.saturating_sub(r.unread);
        if !r.had_place {
            return;
        }
        let ms = now.since(r.begun).as_secs_f64() * 1e3;
        let tokens = f64::from(r.ahead) + f64::from(r.unread);
        let usual = self.latency.predict(tokens);
        let factor = upstream.slowdown.get();
        upstream.slowdown.observe(ms / usual);
        self.latency.observe(tokens, ms / factor);
        let known = self.upstreams.iter().filter(|(_, n)| n.slowdown.is_known());
        self.lowest_slowdown = known.map(|(_, n)| n.slowdown.get()).fold(1.0, f64::min);
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, run: RunKey, outcome: Option<RunOutcome>, now: Time) {
        let Some(r) = self.runs.remove(run) else {
            return;
        };
        let Some(upstream) = self.upstreams.get_mut(r.upstream) else {
            return;
        };
        upstream.own.running = upstream.own.running.saturating_sub(1);
        if !r.first {
            upstream.own.pending_prefill_tokens =
                upstream.own.pending_prefill_tokens.saturating_sub(r.unread);
        }
        if outcome == Some(RunOutcome::Success) && r.first {
            let ms = now.since(r.begun).as_secs_f64() * 1e3 / upstream.slowdown.get();
            self.runs_seen = self.runs_seen.saturating_add(1);
            let weight = RUN_WEIGHT.max(1.0 / f64::from(self.runs_seen));
            self.run_ms += (ms - self.run_ms) * weight;
        }
        if let Some(outcome) = outcome {
            upstream.health.observe(outcome, now);
        }
        if outcome == Some(RunOutcome::Shed) {
            upstream.mark_full(now);
        }
        if matches!(outcome, Some(RunOutcome::Broken | RunOutcome::Unreachable)) && !r.first {
            self.prompt_cache.forget(r.upstream);
        }
    }

    /// Records an outcome that is not the end of a run.
    pub fn record_outcome(&mut self, key: UpstreamKey, outcome: RunOutcome, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.health.observe(outcome, now);
        }
    }

    /// Takes in what an upstream said of its load in an answer.
    pub fn record_load_report(&mut self, key: UpstreamKey, running: u32, waiting: u32, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let known = upstream.own.running + upstream.others.running;
            upstream.unaccounted_running = (running + waiting).saturating_sub(known);
            upstream.unaccounted_at = now;
        }
    }
}
