//! The choice of an upstream for a call, and when a call goes, waits or is refused.
//!
//! Load answered: bursts that a pool cannot take whole. An upstream's own queue knows no ranks and
//! keeps what can no longer be in time, so a call goes out only when a place is free, to the
//! upstream with the earliest first event, and is refused at once when none can be in time.

use super::placement_request::PlacementRequest;
use super::pool::{Decision, Pool, RunKey, UpstreamKey};
use super::upstream::Upstream;
use crate::hash;
use crate::time::{Span, Time};

/// Milliseconds that a run in another data centre has to save, for the bytes between them.
const REMOTE_PENALTY_MS: f64 = 6.0;
/// The same while hosts of other data centres tell of their loads only now and then.
const SPARSE_REMOTE_PENALTY_MS: f64 = 60.0;
/// Milliseconds that a full batch costs against an empty one.
const FULL_BATCH_PENALTY_MS: f64 = 30.0;
/// Milliseconds that a token costs in the choice, beyond its reading: it delays the interference.
const PREFILL_INTERFERENCE: f64 = 0.3;
/// Milliseconds that a place of another host has to save.
const UNOWNED_PENALTY_MS: f64 = 25.0;
/// Milliseconds shortest which a host's choices are jitter by chance, so that not all choose the same.
const JITTER_MS: f64 = 2.0;
/// The same for slots of other hosts, of which it hears late.
const UNOWNED_JITTER_MS: f64 = 20.0;
/// Slowdown on forecasts of an upstream that started a moment ago.
const COLD_START_FACTOR: f64 = 1.7;
/// Time after which another host's word on its queue counts no more.
const MAX_PEER_WAITING_AGE: Span = Span::from_millis(400);
/// Time between two draws; the others have heard of the first by then.
const DRAW_INTERVAL: Span = Span::from_millis(30);
/// Part of all slots that late calls leave free.
const LATE_RESERVE: f64 = 0.016;
/// Part of all slots that each step of rank leaves free.
const RESERVE_PER_PRIORITY: f64 = 0.008;
/// The same in large fleets, where an urgent call finds its own host's slots full more often.
const SPARSE_RESERVE_PER_PRIORITY: f64 = 0.03;

impl Pool {
    /// Milliseconds until the first event of a prompt of which `uncached_tokens` tokens are to be read.
    pub fn forecast_ms(&self, upstream: &Upstream, uncached_tokens: u32, now: Time) -> f64 {
        let load = upstream.load(now);
        let tokens = f64::from(load.pending_prefill_tokens) + f64::from(uncached_tokens);
        let cold = if now < upstream.cold_until {
            COLD_START_FACTOR
        } else {
            1.0
        };
        self.queue_delay_ms(upstream, now)
            + self.latency.predict(tokens) * self.slowdown(upstream) * cold
    }

    /// An upstream's factor. One of which nothing is known is taken for as good as the best, so
    /// that it is tried.
    fn slowdown(&self, upstream: &Upstream) -> f64 {
        let own = upstream.slowdown.get();
        if upstream.slowdown.is_known() {
            own
        } else {
            own.min(self.lowest_slowdown)
        }
    }

    /// True when another upstream than `key` and those in `tried` has a free place.
    pub fn has_alternative(&self, key: UpstreamKey, tried: &[UpstreamKey], now: Time) -> bool {
        let has_slot = |u: &Upstream| u.running(now) < u.listed.slots;
        self.usable(now)
            .any(|(k, u)| k != key && !tried.contains(&k) && has_slot(u))
    }

    /// Milliseconds until the first event of a run that has just begun.
    pub fn run_forecast_ms(&self, run: RunKey, now: Time) -> f64 {
        let upstream = self
            .runs
            .get(run)
            .and_then(|r| self.upstreams.get(r.upstream));
        upstream.map_or(0.0, |u| self.forecast_ms(u, 0, now))
    }

    fn queue_delay_ms(&self, upstream: &Upstream, now: Time) -> f64 {
        let slots = upstream.listed.slots.max(1);
        let over = (upstream.running(now) + 1).saturating_sub(slots);
        f64::from(over) * self.mean_run_ms * upstream.slowdown.get() / f64::from(slots)
    }

    /// Decides on a call. One that can no longer be in time becomes a late one: to come back would
    /// gain it nothing, and it still gets a place when there is room to spare.
    pub fn decide(&mut self, request: &mut PlacementRequest, now: Time) -> Decision {
        let mut best: Option<(f64, f64, UpstreamKey, bool)> = None;
        let mut untried = 0;
        self.seed = hash::mix(self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        for (key, upstream) in self.usable(now) {
            if request.tried.contains(&key) {
                continue;
            }
            untried += 1;
            let half_open = upstream.health.is_half_open();
            if half_open
                && (upstream.own.running > 0 || !request.idempotent)
                && self.upstreams.len() > 1
            {
                continue;
            }
            let uncached_tokens = self.prompt_cache.uncached_tokens(&request.prompt, key);
            let ms = self.forecast_ms(upstream, uncached_tokens, now);
            let cost = ms + self.penalty_ms(upstream, key, uncached_tokens, now);
            let has_slot = upstream.has_available_slot(now);
            let better = best.is_none_or(|(c, _, _, p)| (!has_slot, cost) < (!p, c));
            if better {
                best = Some((cost, ms, key, has_slot));
            }
        }
        let Some((_, ms, key, has_slot)) = best else {
            return self.decide_without_upstream(request, untried, now);
        };
        let first_event = now + Span::from_secs_f64(ms / 1e3);
        if !request.late && first_event > request.due_at {
            request.late = true;
            request.wait_until = now + request.late_wait;
        }
        let is_owned = self
            .upstreams
            .get(key)
            .is_some_and(Upstream::has_free_owned_slot);
        let wins_draw = || is_owned || self.wins_draw(request, now);
        if has_slot && self.leaves_reserve(request, now) && wins_draw() {
            return Decision::Place(key);
        }
        if now >= request.wait_until {
            return Decision::Refuse(self.retry_after(now));
        }
        Decision::Wait
    }

    fn decide_without_upstream(
        &self,
        request: &PlacementRequest,
        untried: u32,
        now: Time,
    ) -> Decision {
        if untried > 0 && now < request.wait_until {
            return Decision::Wait;
        }
        Decision::Refuse(self.retry_after(now))
    }

    fn penalty_ms(
        &self,
        upstream: &Upstream,
        key: UpstreamKey,
        uncached_tokens: u32,
        now: Time,
    ) -> f64 {
        let slots = f64::from(upstream.listed.slots.max(1));
        let batch = FULL_BATCH_PENALTY_MS * f64::from(upstream.running(now)) / slots;
        let is_remote = upstream.listed.dc != self.dc;
        let remote = match is_remote {
            false => 0.0,
            true if self.sparse_remote_reports => SPARSE_REMOTE_PENALTY_MS,
            true => REMOTE_PENALTY_MS,
        };
        let (unowned, jitter) = match upstream.owned_slots {
            Some(_) if !upstream.has_free_owned_slot() => (UNOWNED_PENALTY_MS, UNOWNED_JITTER_MS),
            _ => (0.0, JITTER_MS),
        };
        let interference =
            self.latency.ms_per_token() * f64::from(uncached_tokens) * PREFILL_INTERFERENCE;
        let draw = hash::mix(self.seed ^ u64::from(key.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        batch + remote + unowned + interference + jitter * draw
    }

    /// True when the call's rank may take one of the free slots: the last ones are reserved for the
    /// urgent.
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

    /// Draws for the free slots among the waiting calls of all hosts, the more urgent first, so
    /// that slots which become free at once are not taken by every host.
    fn wins_draw(&self, request: &PlacementRequest, now: Time) -> bool {
        let precedence = request.precedence();
        let fresh = self.peer_waiting.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < MAX_PEER_WAITING_AGE);
        let (mut ahead, mut same) = (0_u32, 0_u32);
        for (counts, _) in fresh {
            for (other, n) in counts {
                match other.cmp(&precedence) {
                    std::cmp::Ordering::Less => ahead += u32::from(*n),
                    std::cmp::Ordering::Equal => same += u32::from(*n),
                    std::cmp::Ordering::Greater => {}
                }
            }
        }
        if same == 0 && ahead == 0 && self.slot_sharers < 2 {
            return true;
        }
        let own = self.waiting.iter().find(|(o, _)| *o == precedence);
        let own = own.map_or(1, |(_, n)| u32::from(*n).max(1));
        // Besides those that wait, any host's next caller may find its own slots full.
        let own = own + self.slot_sharers / 2;
        let available = f64::from(self.available_slots(now)) + self.slots_freed_per_draw(now)
            - f64::from(ahead);
        let draw = hash::mix(request.salt ^ (now.0 / DRAW_INTERVAL.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        draw * f64::from(same + own) < available
    }

    /// Places that come free within a turn where calls are so short that others take them unseen.
    /// Load answered: after a burst of plain calls the free slots of a moment, drawn for once a
    /// turn, are fewer than what the upstreams run in that time, and queues never drain.
    fn slots_freed_per_draw(&self, now: Time) -> f64 {
        if self.slot_sharers > 0 {
            return 0.0;
        }
        let interval_ms = DRAW_INTERVAL.as_secs_f64() * 1e3;
        f64::from(self.total_slots(now)) * interval_ms / self.mean_run_ms
    }

    /// Time after which a call that is refused now may find room.
    pub fn retry_after(&self, now: Time) -> Span {
        let shortest: f64 = self
            .usable(now)
            .map(|(_, u)| self.queue_delay_ms(u, now))
            .fold(f64::INFINITY, f64::min);
        let ms = if shortest.is_finite() {
            shortest
        } else {
            self.mean_run_ms
        };
        Span::from_secs_f64((ms + self.mean_run_ms) / 1e3)
    }
}
