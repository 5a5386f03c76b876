//! Whether the list of upstreams may be old, so that an upstream that broke off may have started again as another
//! software version under its name.

use crate::time::{Span, Time};

/// Time for which the list is still in doubt once it is up to date: upstreams that restarted meanwhile write their
/// entries within about two seconds.
const RETURN_TIME: Span = Span::from_millis(2_000);
/// Longest time for which the list may be old before this is noticed.
const NOTICE_TIME: Span = Span::from_millis(4_000);

/// Since when the list may be old.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListDoubt {
    since: Option<Time>,
    current_since: Option<Time>,
}

impl ListDoubt {
    /// Updates it by whether the list is up to date at this moment, and returns whether the doubt begins or ends.
    pub fn update(&mut self, is_current: bool, now: Time) -> bool {
        if !is_current {
            self.current_since = None;
            let begins = self.since.is_none();
            self.since = self.since.or(Some(now));
            return begins;
        }
        let current_since = *self.current_since.get_or_insert(now);
        now.since(current_since) >= RETURN_TIME && self.since.take().is_some()
    }

    /// Returns whether the list may be old.
    pub fn is_in_doubt(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether an upstream that broke off at this time may have started again without the list naming it.
    pub fn may_have_restarted(&self, broke_at: Time) -> bool {
        self.since
            .is_some_and(|since| broke_at + NOTICE_TIME >= since)
    }
}
