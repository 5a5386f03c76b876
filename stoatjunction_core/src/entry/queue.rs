//! Queue of the calls of one host that wait for a slot, by precedence and then by due time.

use super::pool::{Decision, PlacementRequest, Pool, Precedence, WaitingCounts};
use crate::time::Time;

/// Identifier of a waiting call.
pub type CallId = u64;

#[derive(Clone, Debug)]
struct QueuedCall {
    id: CallId,
    request: PlacementRequest,
}

/// The waiting calls of a pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<QueuedCall>,
}

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, id: CallId, request: PlacementRequest) {
        let key = sort_key(&request);
        let at = self
            .waiting
            .partition_point(|w| sort_key(&w.request) <= key);
        self.waiting.insert(at, QueuedCall { id, request });
    }

    /// Removes a call.
    pub fn remove(&mut self, id: CallId) {
        self.waiting.retain(|w| w.id != id);
    }

    /// Returns whether a call at least as urgent as `request` waits.
    pub fn has_call_ahead_of(&self, request: &PlacementRequest) -> bool {
        let key = sort_key(request);
        self.waiting
            .first()
            .is_some_and(|w| sort_key(&w.request) <= key)
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts the waiting calls by precedence.
    fn waiting_counts(&self) -> WaitingCounts {
        let mut counts = WaitingCounts::new();
        for w in &self.waiting {
            let order = w.request.precedence();
            match counts.last_mut() {
                Some((o, n)) if *o == order => *n = n.saturating_add(1),
                _ => counts.push((order, 1)),
            }
        }
        counts
    }

    /// Removes and returns the most urgent call that can be placed or has to be refused, with the
    /// decision. The caller records a placement in `pool` before the next call of this function.
    pub fn next_decided(
        &mut self,
        pool: &mut Pool,
        now: Time,
    ) -> Option<(CallId, PlacementRequest, Decision)> {
        pool.set_waiting(self.waiting_counts());
        if self.waiting.is_empty() {
            return None;
        }
        let no_free_slot = pool.free_slots(now) == 0;
        let mut index = 0;
        while index < self.waiting.len() {
            let call = &mut self.waiting[index];
            let request = &call.request;
            let due = now >= request.wait_until || (!request.late && now >= request.due_at);
            if no_free_slot && !due {
                index += 1;
                continue;
            }
            let was_late = request.late;
            let decision = pool.decide(&mut call.request, now);
            if call.request.late != was_late {
                // The call is late now and goes behind all calls that can still be on time.
                let call = self.waiting.remove(index);
                self.push(call.id, call.request);
                continue;
            }
            if decision != Decision::Wait {
                let call = self.waiting.remove(index);
                return Some((call.id, call.request, decision));
            }
            index += 1;
        }
        None
    }
}

fn sort_key(request: &PlacementRequest) -> (Precedence, Time) {
    (request.precedence(), request.due_at)
}
