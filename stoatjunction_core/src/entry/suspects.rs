//! Requests that break each upstream that runs them, known by a fingerprint of path, organisation
//! and body. Hosts tell each other of breaks; after the third nothing is sent any more.

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Breaks after which a request is sent no more.
pub const MAX_CRASHES: usize = 3;
/// Time for which a break is remembered.
const REMEMBER: Span = Span::from_millis(60_000);
/// Most fingerprints remembered.
const MAX_KNOWN: usize = 4_096;

/// A break of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: u64,
    /// The sending, so that one that is heard of twice counts once.
    pub attempt: u64,
}

/// Fingerprints with their breaks.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    known: IndexMap<u64, (Vec<u64>, Time)>,
}

impl PoisonRequests {
    /// Takes in a break, of this host or another; true when it was news.
    pub fn record_crash(&mut self, b: Crash, now: Time) -> bool {
        self.known.retain(|_, (_, at)| now.since(*at) <= REMEMBER);
        if self.known.len() >= MAX_KNOWN {
            self.known.shift_remove_index(0);
        }
        let (sendings, at) = self.known.entry(b.fingerprint).or_insert((Vec::new(), now));
        if sendings.contains(&b.attempt) {
            return false;
        }
        sendings.push(b.attempt);
        *at = now;
        true
    }

    /// Clears a request that ran to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.known.shift_remove(&fingerprint);
    }

    /// True when the request must not be sent again.
    pub fn is_barred(&self, fingerprint: u64) -> bool {
        let known = self.known.get(&fingerprint);
        known.is_some_and(|(sendings, _)| sendings.len() >= MAX_CRASHES)
    }
}
