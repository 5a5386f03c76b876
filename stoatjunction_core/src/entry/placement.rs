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
const FAR_MS: f64 = 6.0;
/// The same while hosts of other data centres tell of their loads only now and then.
const FAR_APART_MS: f64 = 60.0;
/// Milliseconds that a full batch costs against an empty one.
const CROWD_MS: f64 = 30.0;
/// Milliseconds that a token costs in the choice, beyond its reading: it delays the neighbours.
const NEIGHBOUR: f64 = 0.3;
/// Milliseconds that a place of another host has to save.
const AWAY_MS: f64 = 25.0;
/// Milliseconds over which a host's choices are spread by chance, so that not all choose the same.
const SPREAD_MS: f64 = 2.0;
/// The same for places of other hosts, of which it hears late.
const AWAY_SPREAD_MS: f64 = 20.0;
/// Slowdown on forecasts of an upstream that started a moment ago.
const COLD: f64 = 1.7;
/// Time after which another host's word on its queue counts no more.
const RIVAL_AGE: Span = Span::from_millis(400);
/// Time between two draws; the others have heard of the first by then.
const TURN: Span = Span::from_millis(30);
/// Part of all places that late calls leave free.
const LATE_RESERVE: f64 = 0.016;
/// Part of all places that each step of rank leaves free.
const RESERVE: f64 = 0.008;
/// The same in large fleets, where an urgent call finds its own host's places full more often.
const RESERVE_APART: f64 = 0.03;

impl Pool {
    /// Milliseconds until the first event of a prompt of which `unread` tokens are to be read.
    pub fn forecast_ms(&self, upstream: &Upstream, unread: u32, now: Time) -> f64 {
        let load = upstream.load(now);
        let tokens = f64::from(load.pending_prefill_tokens) + f64::from(unread);
        let cold = if now < upstream.cold_until { COLD } else { 1.0 };
        self.wait_ms(upstream, now) + self.latency.predict(tokens) * self.slowdown(upstream) * cold
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
        let has_place = |n: &Upstream| n.running(now) < n.listed.slots;
        self.usable(now)
            .any(|(k, n)| k != key && !tried.contains(&k) && has_place(n))
    }

    /// Milliseconds until the first event of a run that has just begun.
    pub fn run_forecast_ms(&self, run: RunKey, now: Time) -> f64 {
        let upstream = self
            .runs
            .get(run)
            .and_then(|r| self.upstreams.get(r.upstream));
        upstream.map_or(0.0, |n| self.forecast_ms(n, 0, now))
    }

    fn wait_ms(&self, upstream: &Upstream, now: Time) -> f64 {
        let slots = upstream.listed.slots.max(1);
        let over = (upstream.running(now) + 1).saturating_sub(slots);
        f64::from(over) * self.run_ms * upstream.slowdown.get() / f64::from(slots)
    }

    /// Decides on a call. One that can no longer be in time becomes a late one: to come back would
    /// gain it nothing, and it still gets a place when there is room to spare.
    pub fn decide(&mut self, request: &mut PlacementRequest, now: Time) -> Decision {
        let mut best: Option<(f64, f64, UpstreamKey, bool)> = None;
        let mut open = 0;
        self.seed = hash::mix(self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        for (key, upstream) in self.usable(now) {
            if request.tried.contains(&key) {
                continue;
            }
            open += 1;
            let trial = upstream.health.is_half_open();
            if trial
                && (upstream.own.running > 0 || !request.idempotent)
                && self.upstreams.len() > 1
            {
                continue;
            }
            let unread = self.prompt_cache.uncached_tokens(&request.prompt, key);
            let ms = self.forecast_ms(upstream, unread, now);
            let cost = ms + self.extra_cost(upstream, key, unread, now);
            let has_place = upstream.has_available_slot(now);
            let better = best.is_none_or(|(c, _, _, p)| (!has_place, cost) < (!p, c));
            if better {
                best = Some((cost, ms, key, has_place));
            }
        }
        let Some((_, ms, key, has_place)) = best else {
            return self.without_upstream(request, open, now);
        };
        let first_event = now + Span::from_secs_f64(ms / 1e3);
        if !request.late && first_event > request.due_at {
            request.late = true;
            request.wait_until = now + request.late_wait;
        }
        let is_own = self
            .upstreams
            .get(key)
            .is_some_and(Upstream::has_free_owned_slot);
        let has_turn = || is_own || self.has_turn(request, now);
        if has_place && self.has_spare(request, now) && has_turn() {
            return Decision::Place(key);
        }
        if now >= request.wait_until {
            return Decision::Refuse(self.retry_after(now));
        }
        Decision::Wait
    }

    fn without_upstream(&self, request: &PlacementRequest, open: u32, now: Time) -> Decision {
        if open > 0 && now < request.wait_until {
            return Decision::Wait;
        }
        Decision::Refuse(self.retry_after(now))
    }

    fn extra_cost(&self, upstream: &Upstream, key: UpstreamKey, unread: u32, now: Time) -> f64 {
        let slots = f64::from(upstream.listed.slots.max(1));
        let crowd = CROWD_MS * f64::from(upstream.running(now)) / slots;
        let is_far = upstream.listed.dc != self.dc;
        let far = match is_far {
            false => 0.0,
            true if self.sparse_remote_reports => FAR_APART_MS,
            true => FAR_MS,
        };
        let (away, spread) = match upstream.owned_slots {
            Some(_) if !upstream.has_free_owned_slot() => (AWAY_MS, AWAY_SPREAD_MS),
            _ => (0.0, SPREAD_MS),
        };
        let neighbours = self.latency.ms_per_token() * f64::from(unread) * NEIGHBOUR;
        let draw = hash::mix(self.seed ^ u64::from(key.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        crowd + far + away + neighbours + spread * draw
    }

    /// True when the call's rank may take one of the free places: the last ones are kept for the
    /// urgent.
    fn has_spare(&self, request: &PlacementRequest, now: Time) -> bool {
        let places = f64::from(self.total_slots(now));
        let late = if request.late { LATE_RESERVE } else { 0.0 };
        let step = if self.sparse_remote_reports {
            RESERVE_APART
        } else {
            RESERVE
        };
        let kept = step * f64::from(request.rank.1.min(3)) + late;
        f64::from(self.free_slots(now)) > kept * places
    }

    /// Draws for the free places among the waiting calls of all hosts, the more urgent first, so
    /// that places which become free at once are not taken by every host.
    fn has_turn(&self, request: &PlacementRequest, now: Time) -> bool {
        let order = request.precedence();
        let fresh = self.peer_waiting.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < RIVAL_AGE);
        let (mut ahead, mut same) = (0_u32, 0_u32);
        for (counts, _) in fresh {
            for (other, n) in counts {
                match other.cmp(&order) {
                    std::cmp::Ordering::Less => ahead += u32::from(*n),
                    std::cmp::Ordering::Equal => same += u32::from(*n),
                    std::cmp::Ordering::Greater => {}
                }
            }
        }
        if same == 0 && ahead == 0 && self.slot_sharers < 2 {
            return true;
        }
        let own = self.waiting.iter().find(|(o, _)| *o == order);
        let own = own.map_or(1, |(_, n)| u32::from(*n).max(1));
        // Besides those that wait, any host's next caller may find its own places full.
        let own = own + self.slot_sharers / 2;
        let left = f64::from(self.available_slots(now)) + self.turnover(now) - f64::from(ahead);
        let draw = hash::mix(request.salt ^ (now.0 / TURN.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        draw * f64::from(same + own) < left
    }

    /// Places that come free within a turn where calls are so short that others take them unseen.
    /// Load answered: after a burst of plain calls the free places of a moment, drawn for once a
    /// turn, are fewer than what the upstreams run in that time, and queues never drain.
    fn turnover(&self, now: Time) -> f64 {
        if self.slot_sharers > 0 {
            return 0.0;
        }
        let turn_ms = TURN.as_secs_f64() * 1e3;
        f64::from(self.total_slots(now)) * turn_ms / self.run_ms
    }

    /// Time after which a call that is refused now may find room.
    pub fn retry_after(&self, now: Time) -> Span {
        let over: f64 = self
            .usable(now)
            .map(|(_, n)| self.wait_ms(n, now))
            .fold(f64::INFINITY, f64::min);
        let ms = if over.is_finite() { over } else { self.run_ms };
        Span::from_secs_f64((ms + self.run_ms) / 1e3)
    }
}
