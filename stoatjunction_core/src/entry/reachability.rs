//! Whether this host reaches the upstreams of a service over connections of its own.
//!
//! A host may lose its links to all upstreams while callers, the platform and the other hosts still reach it. Upstreams
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
    /// Numbers of the upstreams that could not be reached since one was.
    failed: IndexSet<u64>,
    failed_at: Time,
    cut_off_since: Option<Time>,
}

impl Reachability {
    /// Records that a connection to an upstream was opened. Returns how long the host was cut off, if it was.
    pub fn record_opened(&mut self, now: Time) -> Option<Span> {
        self.failed.clear();
        self.cut_off_since.take().map(|since| now.since(since))
    }

    /// Records that no connection to the upstream with this number, one of `listed`, could be opened. Returns whether
    /// the host takes itself to be cut off from now on.
    pub fn record_failed(&mut self, upstream: u64, listed: usize, now: Time) -> bool {
        if now.since(self.failed_at) >= FAILURE_AGE {
            self.failed.clear();
        }
        self.failed_at = now;
        self.failed.insert(upstream);
        let is_first =
            self.cut_off_since.is_none() && self.failed.len() >= CUT_OFF_AFTER.min(listed);
        if is_first {
            self.cut_off_since = Some(now);
        }
        is_first
    }

    /// Returns whether the host takes itself to be cut off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }
}
