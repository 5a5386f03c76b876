//! Placement: which upstream runs a request, and whether the request is sent, queued or refused.
//!
//! This guards against bursts that exceed the capacity of a pool. The queue inside an upstream
//! ignores priorities and keeps requests that can no longer meet their deadline. Requests are
//! therefore sent only when a slot is free, to the upstream with the lowest cost, and requests that
//! cannot be placed in time are refused rather than queued upstream.

use super::assessment::{Assessment, Exclusion, Penalties, Rank};
use super::placement_request::PlacementRequest;
use super::pool::{Decision, Pool, RunKey, UpstreamKey};
use super::queue::Queue;
use super::room::FullUpstream;
use super::upstream::Upstream;
use crate::hash;
use crate::time::{Span, Time};

/// Milliseconds by which an upstream in another data centre has to be faster, since its traffic
/// crosses data centres.
const REMOTE_PENALTY_MS: f64 = 6.0;
/// Remote penalty while hosts of other data centres report their loads infrequently.
const SPARSE_REMOTE_PENALTY_MS: f64 = 60.0;
/// Milliseconds added to the cost of an upstream whose slots are all in use, in proportion below
/// that.
const FULL_BATCH_PENALTY_MS: f64 = 30.0;
/// Part of the prefill time of a prompt that is added to the cost, since prefill delays the other
/// requests of the batch.
const PREFILL_INTERFERENCE: f64 = 0.3;
/// Milliseconds by which a slot allocated to another host has to be better.
const UNOWNED_PENALTY_MS: f64 = 25.0;
/// Range in milliseconds of the random cost that keeps hosts from all choosing the same upstream.
const JITTER_MS: f64 = 2.0;
/// Jitter for slots allocated to other hosts, whose placements are reported late.
const UNOWNED_JITTER_MS: f64 = 20.0;
/// Milliseconds by which an upstream is preferred whose limit may have ended, so that its capacity is
/// known when it is needed.
const UNCERTAIN_LIMIT_BONUS_MS: f64 = 50.0;
/// Factor on the forecasts of an upstream that is still warming up.
pub(super) const COLD_START_FACTOR: f64 = 1.7;
/// Age at which the queue report of another host is ignored.
pub(super) const MAX_PEER_WAITING_AGE: Span = Span::from_millis(400);
/// Interval between two draws of a waiting request, long enough for the other hosts to learn the
/// outcome of the first.
const DRAW_INTERVAL: Span = Span::from_millis(30);
/// Share of all slots that late requests leave free.
const LATE_RESERVE: f64 = 0.016;
/// Share of all slots that requests leave free for each priority level below the most urgent.
const RESERVE_PER_PRIORITY: f64 = 0.008;
/// Reserve per priority level in large fleets, where an urgent request finds its host's own slots
/// taken more often.
const SPARSE_RESERVE_PER_PRIORITY: f64 = 0.03;

/// Why a request is placed, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The upstream costs the least and has a slot.
    LowestCost,
    /// The request is urgent and gets a slot beyond the learned number of an upstream.
    BeyondLearned,
    /// Requests at least as urgent wait already.
    BehindOthers,
    /// No upstream that may run it has a free slot.
    NoFreeSlot,
    /// The free slots are reserved for more urgent requests.
    Reserved,
    /// Other hosts have waiting requests, and this one lost the draw for the free slots.
    LostDraw,
    /// It fits in the memory of no upstream.
    NoRoom,
    /// It continues a stream of the target version of a rollout, for which there is no credit.
    NoCredit,
    /// Limits or pauses keep it from every upstream.
    Limited,
    /// Every upstream is excluded.
    NoUpstream,
}

impl Reason {
    /// Returns the name of the reason in explanations.
    pub const fn label(self) -> &'static str {
        match self {
            Reason::LowestCost => "lowest_cost",
            Reason::BeyondLearned => "beyond_learned",
            Reason::BehindOthers => "behind_others",
            Reason::NoFreeSlot => "no_free_slot",
            Reason::Reserved => "reserved",
            Reason::LostDraw => "lost_draw",
            Reason::NoRoom => "no_room",
            Reason::NoCredit => "no_credit",
            Reason::Limited => "limited",
            Reason::NoUpstream => "no_upstream",
        }
    }
}

/// A decision before it is applied to the pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Judgement {
    pub(super) decision: Decision,
    pub(super) reason: Reason,
    /// The upstream at which the request keeps room free for itself while it waits.
    claimed: Option<FullUpstream>,
}

impl Judgement {
    fn new(decision: Decision, reason: Reason) -> Judgement {
        Judgement {
            decision,
            reason,
            claimed: None,
        }
    }

    /// Returns whether the request is placed at the upstream.
    pub(super) fn places_at(&self, key: UpstreamKey) -> bool {
        self.decision == Decision::Place(key)
    }
}

impl Pool {
    /// Returns the milliseconds until the first event of a prompt with `uncached_tokens` tokens to
    /// prefill.
    pub fn forecast_ms(&self, upstream: &Upstream, uncached_tokens: u32, now: Time) -> f64 {
        let load = upstream.load(now);
        let tokens = f64::from(load.pending_prefill_tokens) + f64::from(uncached_tokens);
        let cold = if now < upstream.cold_until {
            COLD_START_FACTOR
        } else {
            1.0
        };
        self.queue_delay_ms(upstream, now)
            + self.latency.predict(tokens)
                * self.slowdown(upstream)
                * upstream.capacity.pace_factor(now)
                * cold
    }

    /// Returns the slowdown of an upstream. One without observations is assumed to be as fast as
    /// the fastest known one, so that it gets tried.
    fn slowdown(&self, upstream: &Upstream) -> f64 {
        let own = upstream.slowdown.get();
        if upstream.slowdown.is_known() {
            own
        } else {
            own.min(self.lowest_slowdown)
        }
    }

    /// Returns whether an upstream other than `key` and those that were tried has a free slot.
    pub fn has_alternative(&self, key: UpstreamKey, request: &PlacementRequest, now: Time) -> bool {
        let has_slot = |u: &Upstream| u.running(now) < u.slots();
        self.usable_of(request.selection(), now).any(|(k, u)| {
            k != key && !request.tried.contains(&k) && has_slot(u) && self.has_room(k, request, now)
        })
    }

    /// Returns the milliseconds until the first event of a run that has just started.
    pub fn run_forecast_ms(&self, run: RunKey, now: Time) -> f64 {
        let upstream = self
            .runs
            .get(run)
            .and_then(|r| self.upstreams.get(r.upstream));
        upstream.map_or(0.0, |u| self.forecast_ms(u, 0, now))
    }

    /// Returns the milliseconds that a request sent now would wait inside the upstream for a slot.
    fn queue_delay_ms(&self, upstream: &Upstream, now: Time) -> f64 {
        let slots = upstream.slots().max(1);
        let over = upstream
            .running(now)
            .saturating_add(1)
            .saturating_sub(slots);
        f64::from(over) * self.mean_run_ms * upstream.slowdown.get() / f64::from(slots)
    }

    /// Decides on a request. A request that can no longer meet its target latency is marked late
    /// instead of being refused: a retry would not gain it anything, and it still runs when there
    /// is spare capacity.
    pub fn decide(&mut self, request: &mut PlacementRequest, now: Time) -> Decision {
        self.seed = self.next_seed();
        let judgement = self.judge(self.seed, request, now);
        self.apply(&judgement, request, now)
    }

    /// Decides on a request that arrives, while others may wait in `queue`.
    pub fn decide_arrival(
        &mut self,
        queue: &Queue,
        request: &mut PlacementRequest,
        now: Time,
    ) -> Decision {
        self.seed = self.next_seed();
        let judgement = self.judge_arrival(queue, self.seed, request, now);
        self.apply(&judgement, request, now)
    }

    /// Decides on a request that others wait ahead of.
    pub fn decide_behind_others(&self, request: &mut PlacementRequest, now: Time) -> Decision {
        self.judge_behind_others(request, now).decision
    }

    /// Returns the seed of the next decision.
    pub(super) fn next_seed(&self) -> u64 {
        hash::mix(self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15))
    }

    /// Records what a judgement changes in the pool, and returns its decision.
    fn apply(&mut self, judgement: &Judgement, request: &PlacementRequest, now: Time) -> Decision {
        if request.waits_for_room {
            self.record_wait_for_room(request, judgement.claimed, now);
        }
        judgement.decision
    }

    /// Judges a request that arrives, while others may wait in `queue`.
    pub(super) fn judge_arrival(
        &self,
        queue: &Queue,
        seed: u64,
        request: &mut PlacementRequest,
        now: Time,
    ) -> Judgement {
        if queue.has_request_ahead_of(request) {
            return self.judge_behind_others(request, now);
        }
        let judgement = self.judge(seed, request, now);
        // The judgement may have marked the request late, which can put others ahead of it.
        match request.late && queue.has_request_ahead_of(request) {
            true => Judgement {
                decision: Decision::Wait,
                reason: Reason::BehindOthers,
                ..judgement
            },
            false => judgement,
        }
    }

    /// Judges a request. Nothing changes but its lateness and the time until which it waits.
    fn judge(&self, seed: u64, request: &mut PlacementRequest, now: Time) -> Judgement {
        request.waits_for_room = false;
        let mut best: Option<(Rank, UpstreamKey)> = None;
        let (mut is_worth_waiting, mut full) = (false, None);
        for (key, _, assessment) in self.assessments(seed, request, now) {
            match assessment {
                Assessment::Ranked(rank) => {
                    is_worth_waiting = true;
                    if best.is_none_or(|(b, _)| rank.is_better_than(&b)) {
                        best = Some((rank, key));
                    }
                }
                Assessment::Excluded(exclusion) => {
                    is_worth_waiting |= exclusion.is_worth_waiting();
                    if let Exclusion::NoRoom(ms) = exclusion {
                        full = self.less_full(full, key, ms);
                    }
                }
            }
        }
        match (best, full) {
            (Some((rank, key)), _) => self.judge_at(request, key, &rank, now),
            (None, Some(full)) => self.judge_full(request, full, now),
            (None, None) => self.judge_without_upstream(request, is_worth_waiting, now),
        }
    }

    /// Judges a request whose best upstream is `key`.
    fn judge_at(
        &self,
        request: &mut PlacementRequest,
        key: UpstreamKey,
        rank: &Rank,
        now: Time,
    ) -> Judgement {
        let first_event = now + Span::from_secs_f64(rank.forecast_ms / 1e3);
        if !request.late && first_event > request.due_at {
            request.late = true;
            request.wait_until = now + request.late_wait;
        }
        if !rank.has_slot
            && self.may_exceed_learned(request, first_event, now)
            && let Some(key) = self.slot_beyond_learned(request, now)
        {
            return Judgement::new(Decision::Place(key), Reason::BeyondLearned);
        }
        let is_owned = self
            .upstreams
            .get(key)
            .is_some_and(|u| u.has_free_owned_slot() || u.borrowed_slots > 0);
        let reason = if !rank.has_slot {
            Reason::NoFreeSlot
        } else if !self.leaves_reserve(request, now) {
            Reason::Reserved
        } else if !is_owned && !self.wins_draw(request, now) {
            Reason::LostDraw
        } else {
            return Judgement::new(Decision::Place(key), Reason::LowestCost);
        };
        if now >= request.wait_until {
            return Judgement::new(Decision::Refuse(self.retry_after(now)), reason);
        }
        Judgement::new(Decision::Wait, reason)
    }

    /// Judges a request that fits in the memory of no upstream now.
    fn judge_full(
        &self,
        request: &mut PlacementRequest,
        full: FullUpstream,
        now: Time,
    ) -> Judgement {
        let claimed = self.wait_for_room(request, full, now);
        let decision = match request.waits_for_room {
            true => Decision::Wait,
            false => Decision::Refuse(self.retry_after(now)),
        };
        Judgement {
            claimed,
            ..Judgement::new(decision, Reason::NoRoom)
        }
    }

    /// Judges a request that others wait ahead of: it is refused at once if only limits keep it
    /// waiting and do so for too long.
    fn judge_behind_others(&self, request: &mut PlacementRequest, now: Time) -> Judgement {
        let is_limited = self.usable_of(request.selection(), now).next().is_none();
        if is_limited && self.limit_delay(request, now).is_some() {
            return self.judge_without_upstream(request, false, now);
        }
        Judgement::new(Decision::Wait, Reason::BehindOthers)
    }

    fn judge_without_upstream(
        &self,
        request: &mut PlacementRequest,
        is_worth_waiting: bool,
        now: Time,
    ) -> Judgement {
        let lacks_credit = self.lacks_credit(request);
        let reason = match lacks_credit {
            true => Reason::NoCredit,
            false => Reason::NoUpstream,
        };
        if (is_worth_waiting || lacks_credit) && now < request.wait_until {
            return Judgement::new(Decision::Wait, reason);
        }
        let Some(delay) = self.limit_delay(request, now) else {
            return Judgement::new(Decision::Refuse(self.retry_after(now)), reason);
        };
        let sent_at = now + delay;
        if !request.late && sent_at > request.due_at {
            request.late = true;
            request.wait_until = now + request.late_wait;
        }
        let decision = match sent_at < request.wait_until {
            true => Decision::Wait,
            false => Decision::Refuse(delay.max(self.retry_after(now))),
        };
        Judgement::new(decision, Reason::Limited)
    }

    /// Returns the time after which this host may send the request to an upstream that it leaves alone
    /// now because of its limit or its pause, behind those that wait already; `None` if there is no such upstream.
    fn limit_delay(&self, request: &PlacementRequest, now: Time) -> Option<Span> {
        let (mut first, mut rate) = (None, 0.0);
        for (key, upstream) in self.sound_of(request.selection(), now) {
            let delay = self.delay(upstream, now);
            let Some(delay) = delay.filter(|d| *d > Span::ZERO && !request.tried.contains(&key))
            else {
                continue;
            };
            first = Some(first.map_or(delay, |f: Span| f.min(delay)));
            rate += self.limits.own_rate(upstream.number);
        }
        let precedence = request.precedence();
        let ahead = self.waiting.iter().filter(|(p, _)| *p <= precedence);
        let ahead: u32 = ahead.map(|(_, count)| u32::from(*count)).sum();
        first.map(|first| first + Span::from_secs_f64(f64::from(ahead) / rate))
    }

    /// Returns the costs of an upstream beyond its forecast, without those of a rollout.
    pub(super) fn penalties(
        &self,
        seed: u64,
        upstream: &Upstream,
        key: UpstreamKey,
        uncached_tokens: u32,
        now: Time,
    ) -> Penalties {
        let slots = f64::from(upstream.slots().max(1));
        let is_remote = upstream.listed.dc != self.dc;
        let remote = match is_remote {
            false => 0.0,
            true if self.sparse_remote_reports && upstream.borrowed_slots == 0 => {
                SPARSE_REMOTE_PENALTY_MS
            }
            true => REMOTE_PENALTY_MS,
        };
        let (unowned, jitter) = match upstream.owned_slots {
            Some(_) if !upstream.has_free_owned_slot() => (UNOWNED_PENALTY_MS, UNOWNED_JITTER_MS),
            _ => (0.0, JITTER_MS),
        };
        let draw = hash::mix(seed ^ u64::from(key.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        let limit_bonus = match self.limits.is_uncertain(upstream.number, now) {
            true => UNCERTAIN_LIMIT_BONUS_MS,
            false => 0.0,
        };
        Penalties {
            batch: FULL_BATCH_PENALTY_MS * f64::from(upstream.running(now)) / slots,
            remote,
            unowned,
            interference: self.latency.ms_per_token()
                * f64::from(uncached_tokens)
                * PREFILL_INTERFERENCE,
            memory: self.memory_penalty_ms(key),
            jitter: jitter * draw,
            limit_bonus,
        }
    }

    /// Returns whether the request may take one of the free slots. The last ones are reserved for
    /// more urgent requests.
    fn leaves_reserve(&self, request: &PlacementRequest, now: Time) -> bool {
        let slots = f64::from(self.total_slots(now));
        let late = if request.late { LATE_RESERVE } else { 0.0 };
        let step = if self.sparse_remote_reports {
            SPARSE_RESERVE_PER_PRIORITY
        } else {
            RESERVE_PER_PRIORITY
        };
        let reserved = step * f64::from(request.priority.1.min(3)) + late;
        f64::from(self.free_slots(now)) > reserved * slots
    }

    /// Returns the number of requests that wait at other hosts, as these reported lately.
    pub(super) fn peer_waiting_count(&self, now: Time) -> u32 {
        let fresh = self.peer_waiting.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < MAX_PEER_WAITING_AGE);
        let counts = fresh.flat_map(|(counts, _)| counts);
        counts.map(|(_, count)| u32::from(*count)).sum()
    }

    /// Draws for the free slots among the waiting requests of all hosts, more urgent requests
    /// first, so that slots that become free are not claimed by every host at once.
    fn wins_draw(&self, request: &PlacementRequest, now: Time) -> bool {
        let precedence = request.precedence();
        let fresh = self.peer_waiting.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < MAX_PEER_WAITING_AGE);
        let (mut ahead, mut same) = (0_u32, 0_u32);
        for (counts, _) in fresh {
            for (other, count) in counts {
                match other.cmp(&precedence) {
                    std::cmp::Ordering::Less => ahead += u32::from(*count),
                    std::cmp::Ordering::Equal => same += u32::from(*count),
                    std::cmp::Ordering::Greater => {}
                }
            }
        }
        if same == 0 && ahead == 0 && self.slot_sharers < 2 {
            return true;
        }
        let own = self.waiting.iter().find(|(o, _)| *o == precedence);
        let own = own.map_or(1, |(_, count)| u32::from(*count).max(1));
        // Any host may also receive a request and find all slots allocated to it taken.
        let own = own + self.slot_sharers / 2;
        let available = f64::from(self.available_slots(now)) + self.slots_freed_per_draw(now)
            - f64::from(ahead);
        let draw = hash::mix(request.salt ^ (now.0 / DRAW_INTERVAL.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        draw * f64::from(same + own) < available
    }

    /// Returns the slots that become free within a draw interval when slots are not allocated to
    /// hosts and runs are too short for reports to show them.
    ///
    /// After a burst of plain requests, the slots that are free at the moment of a draw are far
    /// fewer than the requests that upstreams complete in an interval. Without this term the queues
    /// never drain.
    fn slots_freed_per_draw(&self, now: Time) -> f64 {
        if self.slot_sharers > 0 {
            return 0.0;
        }
        let interval_ms = DRAW_INTERVAL.as_secs_f64() * 1e3;
        f64::from(self.total_slots(now)) * interval_ms / self.mean_run_ms
    }

    /// Returns the time after which a request that is refused now may find a free slot.
    pub fn retry_after(&self, now: Time) -> Span {
        let shortest: f64 = self
            .usable(now)
            .map(|(_, u)| self.queue_delay_ms(u, now))
            .fold(f64::INFINITY, f64::min);
        if shortest.is_finite() {
            return Span::from_secs_f64((shortest + self.mean_run_ms) / 1e3);
        }
        // Other hosts send to the upstreams that this one leaves alone.
        let limits = self
            .sound(now)
            .filter_map(|(_, u)| self.limits.rate(u.number));
        let rate: f64 = limits.sum();
        if rate > 0.0 {
            return Span::from_secs_f64(1.0 / rate);
        }
        Span::from_secs_f64(2.0 * self.mean_run_ms / 1e3)
    }
}
