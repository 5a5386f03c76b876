//! Calls of one host that wait for a place, by rank and then by the time left to be in time.

use super::pool::{Counts, Need, Order, Pool, Verdict};
use crate::time::Time;

/// Names a waiting call.
pub type CallId = u64;

#[derive(Clone, Debug)]
struct Waiting {
    id: CallId,
    need: Need,
}

/// The waiting calls of a pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a call.
    pub fn push(&mut self, id: CallId, need: Need) {
        let key = order(&need);
        let at = self.waiting.partition_point(|w| order(&w.need) <= key);
        self.waiting.insert(at, Waiting { id, need });
    }

    /// Takes a call out.
    pub fn remove(&mut self, id: CallId) {
        self.waiting.retain(|w| w.id != id);
    }

    /// True when a call at least as urgent as `need` waits.
    pub fn is_ahead(&self, need: &Need) -> bool {
        let key = order(need);
        self.waiting.first().is_some_and(|w| order(&w.need) <= key)
    }

    /// Calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Numbers of waiting calls by order.
    fn counts(&self) -> Counts {
        let mut counts = Counts::new();
        for w in &self.waiting {
            let order = w.need.order();
            match counts.last_mut() {
                Some((o, n)) if *o == order => *n = n.saturating_add(1),
                _ => counts.push((order, 1)),
            }
        }
        counts
    }

    /// Takes out the most urgent call on which something is decided, with the decision. The caller
    /// records a placing in `pool` before it asks again.
    pub fn next(&mut self, pool: &mut Pool, now: Time) -> Option<(CallId, Need, Verdict)> {
        pool.set_waiting(self.counts());
        if self.waiting.is_empty() {
            return None;
        }
        let no_place = pool.free(now) == 0;
        let mut index = 0;
        while index < self.waiting.len() {
            let waiting = &mut self.waiting[index];
            let need = &waiting.need;
            let due = now >= need.wait_until || (!need.late && now >= need.in_time);
            if no_place && !due {
                index += 1;
                continue;
            }
            let was_late = need.late;
            let verdict = pool.decide(&mut waiting.need, now);
            if waiting.need.late != was_late {
                // It has lost its turn to all that can still be in time.
                let waiting = self.waiting.remove(index);
                self.push(waiting.id, waiting.need);
                continue;
            }
            if verdict != Verdict::Wait {
                let waiting = self.waiting.remove(index);
                return Some((waiting.id, waiting.need, verdict));
            }
            index += 1;
        }
        None
    }
}

fn order(need: &Need) -> (Order, Time) {
    (need.order(), need.in_time)
}
