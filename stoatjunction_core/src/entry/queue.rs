//! Queue of the requests of one host that wait for a slot, by precedence and then by due time.

use super::pool::{Decision, PlacementRequest, Pool, Precedence, WaitingCounts};
use super::pressure::{Pressure, Standing};
use crate::time::{Span, Time};

/// Identifier of a waiting request.
pub type RequestId = u64;

#[derive(Clone, Debug)]
struct QueuedRequest {
    id: RequestId,
    request: PlacementRequest,
}

/// The waiting requests of a pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedRequest>,
    pressure: Pressure,
}

impl Queue {
    /// Records a request that arrives, whether it has to wait or not, and returns whether pressure has begun or ended.
    pub fn record_arrival(&mut self, now: Time) -> bool {
        self.pressure.record_arrival(now)
    }

    /// Records a run that was completed.
    pub fn record_completion(&mut self, now: Time) {
        self.pressure.record_completion(now);
    }

    /// Returns whether callers ask for more than the upstreams complete.
    pub fn is_under_pressure(&self) -> bool {
        self.pressure.is_on()
    }

    /// Adds a request.
    pub fn push(&mut self, id: RequestId, request: PlacementRequest) {
        let key = sort_key(&request);
        let index = self
            .waiting
            .partition_point(|w| sort_key(&w.request) <= key);
        self.waiting.insert(index, QueuedRequest { id, request });
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) {
        self.waiting.retain(|w| w.id != id);
    }

    /// Returns whether a request at least as urgent as `request` waits. Those that wait for room in the memory of upstreams
    /// are overtaken.
    pub fn has_request_ahead_of(&self, request: &PlacementRequest) -> bool {
        let key = sort_key(request);
        let mut contending = self.waiting.iter().filter(|w| !w.request.waits_for_room);
        contending
            .next()
            .is_some_and(|w| sort_key(&w.request) <= key)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts the requests that wait for a slot by precedence.
    fn waiting_counts(&self) -> WaitingCounts {
        let mut counts = WaitingCounts::new();
        for w in self.waiting.iter().filter(|w| !w.request.waits_for_room) {
            let precedence = w.request.precedence();
            match counts.last_mut() {
                Some((last, count)) if *last == precedence => *count = count.saturating_add(1),
                _ => counts.push((precedence, 1)),
            }
        }
        counts
    }

    /// Removes and returns the most urgent request that can be placed or has to be refused, with
    /// the decision. The caller records a placement in `pool` before the next call of this
    /// function.
    pub fn next_decided(
        &mut self,
        pool: &mut Pool,
        now: Time,
    ) -> Option<(RequestId, PlacementRequest, Decision)> {
        pool.set_waiting(self.waiting_counts());
        let own = self.waiting.len();
        let all = pool.peer_waiting_count(now) + own as u32;
        self.pressure
            .record_waiting(own, all, pool.total_slots(now), now);
        pool.clear_claims();
        if self.waiting.is_empty() {
            return None;
        }
        if self.pressure.is_on() {
            self.move_late_back(now + Span::from_secs_f64(pool.mean_run_ms / 1e3));
        }
        let no_free_slot = pool.free_slots(now) == 0;
        let is_beyond_possible = no_free_slot && pool.has_slot_beyond_learned(now);
        let mut index = 0;
        while index < self.waiting.len() {
            let queued = &mut self.waiting[index];
            let request = &queued.request;
            let due = now >= request.wait_until || (!request.late && now >= request.due_at);
            let may_exceed = is_beyond_possible && pool.is_urgent(request, now);
            if no_free_slot && !due && !may_exceed {
                index += 1;
                continue;
            }
            let was_late = request.late;
            let decision = pool.decide(&mut queued.request, now);
            if queued.request.late != was_late {
                // The request is late now and goes behind all requests that can still be on time.
                let queued = self.waiting.remove(index);
                self.push(queued.id, queued.request);
                continue;
            }
            if decision != Decision::Wait {
                let queued = self.waiting.remove(index);
                return Some((queued.id, queued.request, decision));
            }
            index += 1;
        }
        None
    }

    /// Moves plain requests behind the others of their precedence that miss their targets if they complete at
    /// `completed_at`.
    fn move_late_back(&mut self, completed_at: Time) {
        for queued in &mut self.waiting {
            let target_at = queued.request.target_at;
            if target_at.is_some_and(|at| at < completed_at) {
                queued.request.standing = Standing::Late;
            }
        }
        self.waiting.sort_by_key(|w| sort_key(&w.request));
    }
}

fn sort_key(request: &PlacementRequest) -> (Precedence, Standing, Time) {
    (request.precedence(), request.standing, request.due_at)
}
