//! Poison requests, which crash each upstream that runs them. They are identified by a fingerprint
//! of path, organisation and body. Hosts report crashes to each other; after the third one the
//! request is no longer sent to any upstream.

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Number of crashes after which a request is no longer sent.
pub const MAX_CRASHES: usize = 3;
/// Time after its last crash in which a request is remembered.
const CRASH_TTL: Span = Span::from_millis(60_000);
/// Limit on the remembered fingerprints.
const MAX_FINGERPRINTS: usize = 4_096;

/// Crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of the attempt, so that a crash that is reported twice counts once.
    pub attempt: u64,
}

/// Crashes by the fingerprint of the request that caused them.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    /// Attempts at which an upstream crashed, and the time of the last new report.
    crashes: IndexMap<u64, (Vec<u64>, Time)>,
}

impl PoisonRequests {
    /// Records a crash that this host or another observed, and returns whether it was new.
    pub fn record_crash(&mut self, crash: Crash, now: Time) -> bool {
        self.crashes
            .retain(|_, (_, last_report_at)| now.since(*last_report_at) <= CRASH_TTL);
        if self.crashes.len() >= MAX_FINGERPRINTS {
            self.crashes.shift_remove_index(0);
        }
        let (attempts, last_report_at) = self
            .crashes
            .entry(crash.fingerprint)
            .or_insert((Vec::new(), now));
        if attempts.contains(&crash.attempt) {
            return false;
        }
        attempts.push(crash.attempt);
        *last_report_at = now;
        true
    }

    /// Forgets the crashes of a request that ran to its end, and returns their number.
    pub fn clear(&mut self, fingerprint: u64) -> usize {
        let crashes = self.crashes.shift_remove(&fingerprint);
        crashes.map_or(0, |(attempts, _)| attempts.len())
    }

    /// Returns the number of known crashes of a request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        let crashes = self.crashes.get(&fingerprint);
        crashes.map_or(0, |(attempts, _)| attempts.len())
    }

    /// Returns whether the request must not be sent again.
    pub fn is_barred(&self, fingerprint: u64) -> bool {
        self.crash_count(fingerprint) >= MAX_CRASHES
    }
}
