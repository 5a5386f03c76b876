//! Whether this host reaches the upstreams of a service over connections of its own.
//!
//! A host may lose its links to all upstreams while callers, the platform and the other hosts still reach it. Something
//! between the ends may open connections by itself, so that only an answer shows that an upstream is reached. Upstreams
//! that are down look the same one by one, so that only several of them in a row count.

use indexmap::IndexSet;

use crate::time::{Span, Time};

/// Upstreams in a row that could not be reached after which the host takes itself to be cut off.
const CUT_OFF_AFTER: usize = 2;
/// Time after which a failure is no longer one of the same row.
const FAILURE_AGE: Span = Span::from_millis(10_000);

/// Interval at which a host that is cut off tries connections of its own again.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);

/// Whether this host reaches the upstreams of a service.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Numbers of the upstreams that could not be reached since one answered.
    failed: IndexSet<u64>,
    failed_at: Time,
    answered_at: Option<Time>,
    cut_off_since: Option<Time>,
}

impl Reachability {
    /// Records that an upstream answered something. Returns how long the host was cut off, if it was.
    pub fn record_answered(&mut self, now: Time) -> Option<Span> {
        self.failed.clear();
        self.answered_at = Some(now);
        self.cut_off_since.take().map(|since| now.since(since))
    }

    /// Records that the upstream with this number, one of `listed`, took no connection, or answered nothing to what was
    /// sent to it. Returns whether the host may be cut off, so that it has to ask other upstreams: those that were not
    /// reached may just be down.
    pub fn record_failed(&mut self, upstream: u64, listed: usize, now: Time) -> bool {
        if now.since(self.failed_at) >= FAILURE_AGE {
            self.failed.clear();
        }
        self.failed_at = now;
        self.failed.insert(upstream);
        self.may_be_cut_off(listed)
    }

    /// Returns whether several of `listed` upstreams in a row were not reached, and the host does not take itself to be cut
    /// off yet.
    pub fn may_be_cut_off(&self, listed: usize) -> bool {
        self.cut_off_since.is_none() && self.failed.len() >= CUT_OFF_AFTER.min(listed)
    }

    /// Records that the host takes itself to be cut off: no other upstream answered either.
    pub fn begin_cut_off(&mut self, now: Time) {
        self.cut_off_since.get_or_insert(now);
    }

    /// Returns whether an upstream has answered at or after a time.
    pub fn has_answered_since(&self, time: Time) -> bool {
        self.answered_at.is_some_and(|at| at >= time)
    }

    /// Returns whether an upstream could not be reached lately and none has answered since. What may run once is not sent
    /// then before the upstream has answered something else.
    pub fn is_in_doubt(&self, now: Time) -> bool {
        !self.failed.is_empty() && now.since(self.failed_at) < FAILURE_AGE
    }

    /// Returns whether the host takes itself to be cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }
}
