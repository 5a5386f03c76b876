//! The first list of upstreams that a host reads from the platform's store, and for how long it waits for that before
//! it fetches one from another host.
//!
//! When all hosts start at once, the first that has a list is heard by all others, which are still reading theirs.
//! A list of thousands of upstreams takes much of a second on a small host's link, so that a list that is fetched beside
//! the one from the store delays both.

use crate::time::{Span, Time};

/// Shortest time for which a host leaves the list to the store: longer than a whole list takes on a slow link.
const MIN_WAIT: Span = Span::from_millis(1_000);
/// Further time at most, so that hosts whose store is silent do not ask each other all at once.
const MAX_JITTER: Span = Span::from_millis(500);

/// The first list that this host reads from the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstList {
    awaited_until: Option<Time>,
}

impl FirstList {
    /// Records that the list is requested. `jitter` is a random number from 0 to 1.
    pub fn begin(&mut self, jitter: f64, now: Time) {
        let jitter = Span::from_secs_f64(MAX_JITTER.as_secs_f64() * jitter);
        self.awaited_until = Some(now + MIN_WAIT + jitter);
    }

    /// Records that the request has failed.
    pub fn end(&mut self) {
        self.awaited_until = None;
    }

    /// Returns whether the list may still arrive in time.
    pub fn is_awaited(&self, now: Time) -> bool {
        self.awaited_until.is_some_and(|until| now < until)
    }
}
