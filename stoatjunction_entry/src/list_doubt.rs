//! Whether this host's list of upstreams may be old.

use stoatjunction_core::time::{Span, Time};

use crate::followers;
use crate::state::SharedState;

/// Longest time between two calls of a host that the store does not answer, with a margin.
const MAX_STORE_PAUSE: Span = Span::from_millis(16_000);
/// Time between two checks of the list from which on the host stood still: each of its full reports checks it.
const STANDSTILL: Span = Span::from_millis(600);

impl SharedState {
    /// Returns whether the list of upstreams is up to date: the store answers this host on every topic, or one that
    /// follows it, or nobody asks it in vain.
    pub(crate) fn is_list_current(&self, now: Time) -> bool {
        let is_answered = followers::follows(self);
        let mut reachable = self.peers.values().filter(|p| !self.is_unreachable(p, now));
        let failed_lately = |at: Time| now.since(at) < MAX_STORE_PAUSE;
        is_answered
            || reachable.any(|p| p.follows)
            || !self.store_failed_at.is_some_and(failed_lately)
    }

    /// Returns whether this host has just stood still, so that it knows nothing of what changed meanwhile.
    pub(crate) fn has_stood_still(&self, now: Time) -> bool {
        now.since(self.list_checked_at) >= STANDSTILL
    }

    /// Updates whether the list of upstreams may be old.
    pub(crate) fn update_list_doubt(&mut self, now: Time) {
        let is_current = !self.has_stood_still(now) && self.is_list_current(now);
        self.list_checked_at = now;
        if self.list_doubt.update(is_current, now) {
            log::info!("event=list_doubt current={is_current}");
            self.start_checks.forget_reports();
        }
        for scheduler in self.schedulers.values_mut() {
            scheduler.pool.set_list_doubt(self.list_doubt);
        }
    }
}
