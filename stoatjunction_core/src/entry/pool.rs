//! Pool of the upstreams of one service as seen by one host, and this host's runs on them.

use indexmap::{IndexMap, IndexSet};

use super::capacity::ObservedRun;
use super::decaying_rate::DecayingRate;
use super::health::RunOutcome;
use super::latency::LatencyModel;
use super::list_doubt::ListDoubt;
pub use super::peer_reports::DataCentreHosts;
pub use super::placement_request::{PlacementRequest, Precedence};
use super::pool_rollout::Selection;
use super::prompt_cache::{PromptCacheIndex, PromptPart};
use super::rollout::{GateCharge, RolloutGate};
use super::room::Room;
use super::software_version::FormerVersions;
use super::upstream::upstream_number;
pub use super::upstream::{Load, Upstream};
use super::upstream_limits::UpstreamLimits;
use super::upstream_list::ListedUpstream;
use super::upstream_notices::{Statement, UpstreamNotices};
use crate::arena::{Arena, Key};
use crate::time::{Span, Time};

/// Time over which the rate of incoming requests is measured.
const DEMAND_WINDOW: Span = Span::from_millis(3_000);
/// Mean run duration in milliseconds before anything is observed.
const INITIAL_RUN_MS: f64 = 800.0;
/// Runs that an upstream may report at most; the bound keeps sums of absurd reports from overflowing.
const MAX_REPORTED_RUNS: u32 = 10_000;
/// Least weight of a run in the mean run duration.
const MIN_RUN_WEIGHT: f64 = 0.02;

/// Index of an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

impl Key for UpstreamKey {
    fn from_number(number: u32) -> Self {
        UpstreamKey(number)
    }

    fn number(self) -> u32 {
        self.0
    }
}

/// Identifier of a run of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(u32);

impl Key for RunKey {
    fn from_number(number: u32) -> Self {
        RunKey(number)
    }

    fn number(self) -> u32 {
        self.0
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) upstream: UpstreamKey,
    pub(super) uncached_tokens: u32,
    pub(super) prefill_ahead: u32,
    pub(super) started_at: Time,
    pub(super) had_free_slot: bool,
    /// Runs in progress at its start, itself included.
    concurrency: u32,
    /// Logarithm of the stated pace at its start, relative to the usual one.
    log_pace: f64,
    pub(super) has_first_event: bool,
    pub(super) gate_charge: Option<GateCharge>,
}

impl Run {
    fn observed(&self, end_concurrency: u32, ms: f64, predicted_ms: f64) -> ObservedRun {
        ObservedRun {
            concurrency: self.concurrency,
            end_concurrency,
            ms,
            predicted_ms,
            log_pace: self.log_pace,
            is_complete: true,
        }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send it to the upstream.
    Place(UpstreamKey),
    /// Keep it queued until something changes.
    Wait,
    /// Refuse it; there may be a free slot after this time.
    Refuse(Span),
}

/// Upstreams of a service.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) dc: String,
    pub(super) upstreams: Arena<UpstreamKey, Upstream>,
    pub(super) by_id: IndexMap<String, UpstreamKey>,
    pub(super) by_number: IndexMap<u64, UpstreamKey>,
    pub(super) peer_loads: IndexMap<u64, (Vec<(UpstreamKey, Load)>, Time)>,
    /// True while hosts of other data centres report their loads infrequently.
    pub(super) sparse_remote_reports: bool,
    pub(super) runs: Arena<RunKey, Run>,
    pub(super) prompt_cache: PromptCacheIndex,
    pub(super) latency: LatencyModel,
    pub(super) mean_run_ms: f64,
    pub(super) run_count: u32,
    pub(super) lowest_slowdown: f64,
    pub(super) seed: u64,
    pub(super) waiting: WaitingCounts,
    pub(super) peer_waiting: IndexMap<u64, (WaitingCounts, Time)>,
    pub(super) demand: DecayingRate,
    /// Number of hosts to which slots are allocated; 0 when they are not allocated.
    pub(super) slot_sharers: u32,
    pub(super) limits: UpstreamLimits,
    pub(super) notices: UpstreamNotices,
    pub(super) former_versions: FormerVersions,
    pub(super) list_doubt: ListDoubt,
    /// Lowest target latency of the routes that use the service.
    pub(super) target_latency: Option<Span>,
    pub(super) rollout_gate: Option<RolloutGate>,
    pub(super) room: Room,
}

/// Numbers of waiting requests by precedence.
pub type WaitingCounts = Vec<(Precedence, u16)>;

impl Pool {
    /// Creates a pool without upstreams in the data centre `dc`. `seed` differs between hosts, so
    /// that they do not all choose the same one of two equal upstreams.
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
            mean_run_ms: INITIAL_RUN_MS,
            run_count: 0,
            lowest_slowdown: 1.0,
            seed,
            waiting: WaitingCounts::new(),
            peer_waiting: IndexMap::new(),
            demand: DecayingRate::new(DEMAND_WINDOW),
            slot_sharers: 0,
            limits: UpstreamLimits::new(Time::default()),
            notices: UpstreamNotices::new(seed),
            former_versions: FormerVersions::default(),
            list_doubt: ListDoubt::default(),
            target_latency: None,
            rollout_gate: None,
            room: Room::default(),
        }
    }

    /// Updates the upstreams to the latest list. An entry with another start time, address or version is a
    /// new upstream.
    pub fn set_upstreams<'a, I>(&mut self, listed: I, now: Time)
    where
        I: Iterator<Item = &'a ListedUpstream>,
    {
        let mut seen = IndexSet::new();
        for l in listed {
            seen.insert(l.id.as_str());
            self.set_upstream(l, now);
        }
        let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !seen.contains(id.as_str()))
            .cloned()
            .collect();
        for id in gone {
            self.remove_upstream(&id, now);
        }
        self.update_rollout_gate(now);
    }

    fn set_upstream(&mut self, listed: &ListedUpstream, now: Time) {
        let known = self.by_id.get(&listed.id).copied();
        if let Some(key) = known
            && let Some(upstream) = self.upstreams.get_mut(key)
            && upstream.listed.born == listed.born
            && upstream.listed.addr == listed.addr
            && upstream.listed.version == listed.version
        {
            upstream.listed = listed.clone();
            return;
        }
        self.remove_upstream(&listed.id, now);
        let key = self.upstreams.insert(Upstream::new(listed, now));
        self.by_id.insert(listed.id.clone(), key);
        self.by_number
            .insert(upstream_number(&listed.id, listed.born), key);
    }

    fn remove_upstream(&mut self, id: &str, now: Time) {
        let Some(key) = self.by_id.shift_remove(id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.remove(key) {
            self.by_number.swap_remove(&upstream.number);
            self.former_versions.record(upstream.version, now);
        }
        self.prompt_cache.forget(key);
        for (loads, _) in self.peer_loads.values_mut() {
            loads.retain(|(k, _)| *k != key);
        }
    }

    /// Returns an upstream while it is listed.
    pub fn upstream(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(key)
    }

    /// Returns the key of the upstream with this number.
    pub fn key_by_number(&self, number: u64) -> Option<UpstreamKey> {
        self.by_number.get(&number).copied()
    }

    /// Iterates over all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns the free slots of all usable upstreams.
    pub fn free_slots(&self, now: Time) -> u32 {
        self.usable(now)
            .map(|(_, u)| u.slots().saturating_sub(u.running(now)))
            .sum()
    }

    /// Returns the free slots that are not reserved for other hosts.
    pub(super) fn available_slots(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, u)| u.available_slots(now)).sum()
    }

    /// Returns the slots of all usable upstreams.
    pub fn total_slots(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, u)| u.slots()).sum()
    }

    /// Returns the limits that the upstreams name.
    pub fn limits(&self) -> &UpstreamLimits {
        &self.limits
    }

    /// Returns the limits that the upstreams name, to change them.
    pub fn limits_mut(&mut self) -> &mut UpstreamLimits {
        &mut self.limits
    }

    /// Returns what the upstreams say of themselves that keeps requests away.
    pub fn notices(&self) -> &UpstreamNotices {
        &self.notices
    }

    /// Returns what the upstreams say of themselves that keeps requests away, to change it.
    pub fn notices_mut(&mut self) -> &mut UpstreamNotices {
        &mut self.notices
    }

    /// Iterates over the upstreams that may get a run now.
    pub(super) fn usable(&self, now: Time) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.usable_of(Selection::default(), now)
    }

    /// Iterates over the upstreams of a selection that may get a run now.
    pub(super) fn usable_of(
        &self,
        selection: Selection,
        now: Time,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let is_allowed = move |u: &Upstream| self.delay_exclusion(u, now).is_none();
        self.sound_of(selection, now)
            .filter(move |(_, u)| is_allowed(u))
    }

    /// Returns the time after which this host may send a request to the upstream, by its limit and the
    /// pause that it wants; `None` if this host leaves the upstream to others.
    pub(super) fn delay(&self, upstream: &Upstream, now: Time) -> Option<Span> {
        let by_limit = self.limits.delay(upstream.number, now)?;
        Some(by_limit.max(self.notices.pause_left(upstream.number, now)))
    }

    /// Iterates over the upstreams that may get runs, now or later within their limits. While all
    /// circuits are open, they are ignored: trying an upstream is better than refusing every request.
    pub(super) fn sound(&self, now: Time) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.sound_of(Selection::default(), now)
    }

    /// Iterates over the upstreams that may get runs, now or later, as if those that are not selected did not exist.
    pub(super) fn sound_of(
        &self,
        selection: Selection,
        now: Time,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let stays = move |u: &Upstream| self.standing_exclusion(selection, u, now).is_none();
        let is_healthy = move |u: &Upstream| stays(u) && !u.health.is_circuit_open(now);
        let any_healthy = self.upstreams.iter().any(|(_, u)| is_healthy(u));
        self.upstreams
            .iter()
            .filter(move |(_, u)| stays(u) && (is_healthy(u) || !any_healthy))
    }

    /// Returns whether the upstream leaves, by the platform's list or by its own word.
    pub(super) fn is_leaving(&self, upstream: &Upstream) -> bool {
        upstream.listed.draining || self.notices.is_leaving(upstream.number)
    }

    /// Returns whether the upstream is listed with this number, that of its start, and does not leave.
    pub fn is_staying(&self, key: UpstreamKey, number: u64) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|u| u.number == number && !self.is_leaving(u))
    }

    /// Returns whether a request may be sent to the upstream at this moment: it may have stated since the
    /// placement that it leaves or wants a pause. An upstream that is no longer listed may not.
    pub fn may_send(&self, key: UpstreamKey, now: Time) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|u| {
            !self.is_leaving(u) && self.notices.pause_left(u.number, now) == Span::ZERO
        })
    }

    /// Adds a run whose request is sent now.
    pub(super) fn insert_run(
        &mut self,
        key: UpstreamKey,
        prompt: &[PromptPart],
        now: Time,
    ) -> RunKey {
        let uncached_tokens = self.prompt_cache.uncached_tokens(prompt, key);
        let mut prefill_ahead = 0;
        let mut had_free_slot = false;
        let (mut concurrency, mut log_pace) = (0, 0.0);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let load = upstream.load(now);
            prefill_ahead = load.pending_prefill_tokens;
            had_free_slot = load.running < upstream.listed.slots;
            concurrency = load.running.saturating_add(1);
            log_pace = upstream.capacity.pace.log(now);
            upstream.own_load = upstream.own_load.saturating_add(Load {
                running: 1,
                pending_prefill_tokens: uncached_tokens,
            });
            upstream.borrowed_slots = upstream.borrowed_slots.saturating_sub(1);
            self.limits.charge(upstream.number, now);
        }
        for part in prompt {
            self.prompt_cache.record(part.id, key, now);
        }
        let run = self.runs.insert(Run {
            upstream: key,
            uncached_tokens,
            prefill_ahead,
            started_at: now,
            had_free_slot,
            concurrency,
            log_pace,
            has_first_event: false,
            gate_charge: None,
        });
        if let Some(upstream) = self.upstreams.get_mut(key)
            && self.notices.is_unproven(upstream.number, now)
        {
            upstream.probe = Some(run);
        }
        run
    }

    /// Returns whether the upstream, after a pause, is being probed: it may ask for another pause.
    pub(super) fn is_being_probed(&self, upstream: &Upstream, now: Time) -> bool {
        upstream.probe.is_some() && self.notices.is_unproven(upstream.number, now)
    }

    /// Records that a run has prefilled its prompt, and the latency up to then. Called at the
    /// response head of a stream, or once the whole body of a plain response has arrived.
    pub fn record_first_event(&mut self, run: RunKey, now: Time) {
        let Some(r) = self.runs.get_mut(run) else {
            return;
        };
        if std::mem::replace(&mut r.has_first_event, true) {
            return;
        }
        let r = *r;
        let Some(upstream) = self.upstreams.get_mut(r.upstream) else {
            return;
        };
        upstream.own_load.pending_prefill_tokens = upstream
            .own_load
            .pending_prefill_tokens
            .saturating_sub(r.uncached_tokens);
        if !r.had_free_slot {
            return;
        }
        let ms = now.since(r.started_at).as_secs_f64() * 1e3;
        let tokens = f64::from(r.prefill_ahead) + f64::from(r.uncached_tokens);
        let predicted_ms = self.latency.predict(tokens);
        let (pace, _) = upstream.capacity.pace.run_factors(r.log_pace, now);
        let slowdown = upstream.slowdown.get() * pace;
        upstream.slowdown.observe(ms / predicted_ms / pace);
        self.latency.observe(tokens, ms / slowdown);
        let concurrency = upstream.reported_load().running;
        let known = self.upstreams.iter().filter(|(_, u)| u.slowdown.is_known());
        self.lowest_slowdown = known.map(|(_, u)| u.slowdown.get()).fold(1.0, f64::min);
        self.observe_capacity(r.upstream, r.observed(concurrency, ms, predicted_ms), now);
    }

    /// Records the end of a run whose request was not sent.
    pub fn cancel_run(&mut self, run: RunKey, outcome: Option<RunOutcome>, now: Time) {
        let upstream = self
            .runs
            .get(run)
            .and_then(|r| self.upstreams.get(r.upstream));
        if let Some(number) = upstream.map(|u| u.number) {
            self.limits.refund(number);
        }
        self.refund_gate(run);
        self.end_run(run, outcome, now);
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, run: RunKey, outcome: Option<RunOutcome>, now: Time) {
        let Some(r) = self.runs.remove(run) else {
            return;
        };
        self.room.release(run);
        let Some(upstream) = self.upstreams.get_mut(r.upstream) else {
            return;
        };
        upstream.own_load.running = upstream.own_load.running.saturating_sub(1);
        if upstream.probe == Some(run) {
            upstream.probe = None;
        }
        if !r.has_first_event {
            upstream.own_load.pending_prefill_tokens = upstream
                .own_load
                .pending_prefill_tokens
                .saturating_sub(r.uncached_tokens);
        }
        if outcome == Some(RunOutcome::Success) && r.has_first_event {
            let ms = now.since(r.started_at).as_secs_f64() * 1e3 / upstream.slowdown.get();
            self.run_count = self.run_count.saturating_add(1);
            let weight = MIN_RUN_WEIGHT.max(1.0 / f64::from(self.run_count));
            self.mean_run_ms += (ms - self.mean_run_ms) * weight;
        }
        if let Some(outcome) = outcome {
            upstream.observe(outcome, now);
        }
        if outcome == Some(RunOutcome::Shed) {
            upstream.mark_full(now);
            upstream.capacity.record_shed(r.concurrency);
        }
        if matches!(outcome, Some(RunOutcome::Broken | RunOutcome::Unreachable))
            && !r.has_first_event
        {
            self.prompt_cache.forget(r.upstream);
        }
        if matches!(outcome, None | Some(RunOutcome::TimedOut)) && !r.has_first_event {
            self.observe_given_up(&r, now);
        }
    }

    /// Learns from a run that was given up: that it took at least this long.
    fn observe_given_up(&mut self, run: &Run, now: Time) {
        let ms = now.since(run.started_at).as_secs_f64() * 1e3;
        let tokens = f64::from(run.prefill_ahead) + f64::from(run.uncached_tokens);
        let observed = ObservedRun {
            is_complete: false,
            ..run.observed(0, ms, self.latency.predict(tokens))
        };
        self.observe_capacity(run.upstream, observed, now);
    }

    /// Records an outcome that does not end a run.
    pub fn record_outcome(&mut self, key: UpstreamKey, outcome: RunOutcome, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.observe(outcome, now);
        }
    }

    /// Records that bytes of a response arrived from an upstream.
    pub fn record_bytes(&mut self, key: UpstreamKey, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.last_byte_at = now;
        }
    }

    /// Records what an upstream stated at `stated_at` of the requests a second that it takes from all hosts
    /// together, and returns whether that changes its limit. Unknown upstreams are ignored.
    pub fn record_limit(
        &mut self,
        number: u64,
        rate: Option<f64>,
        stated_at: Time,
        now: Time,
    ) -> bool {
        let key = self.by_number.get(&number);
        let Some(upstream) = key.and_then(|key| self.upstreams.get(*key)) else {
            return false;
        };
        let dc = &upstream.listed.dc;
        self.limits.record(number, dc, rate, stated_at, now)
    }

    /// Records what an upstream says of itself, and returns whether that changes anything. Unknown
    /// upstreams are ignored.
    pub fn record_statement(&mut self, key: UpstreamKey, statement: Statement, now: Time) -> bool {
        let number = self.upstreams.get(key).map(|u| u.number);
        number.is_some_and(|number| self.notices.record(number, statement, now))
    }

    /// Records that an upstream answered a request, which was sent at `sent_at`, without asking for a pause.
    pub fn record_response(&mut self, key: UpstreamKey, sent_at: Time, now: Time) {
        if let Some(number) = self.upstreams.get(key).map(|u| u.number) {
            self.notices.record_response(number, sent_at, now);
        }
    }

    /// Forgets what upstreams stated of themselves that are gone for long.
    pub fn expire_statements(&mut self, now: Time) {
        let by_number = &self.by_number;
        self.limits.expire(|n| by_number.contains_key(&n), now);
        self.notices.expire(|n| by_number.contains_key(&n), now);
    }

    /// Returns the id of the upstream with this number, or `-`.
    pub fn upstream_id(&self, number: u64) -> &str {
        let upstream = self.by_number.get(&number);
        let upstream = upstream.and_then(|key| self.upstreams.get(*key));
        upstream.map_or("-", |u| u.listed.id.as_str())
    }

    /// Records the load that an upstream reported in a response.
    pub fn record_load_report(&mut self, key: UpstreamKey, running: u32, waiting: u32, now: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let known = upstream.reported_load().running;
            let reported = running.saturating_add(waiting).min(MAX_REPORTED_RUNS);
            upstream.unaccounted_running = reported.saturating_sub(known);
            upstream.unaccounted_at = now;
        }
    }
}
