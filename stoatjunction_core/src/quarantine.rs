//! Quarantine of requests that crash upstreams.
//!
//! A request in flight on an upstream that crashes becomes a suspect. A suspect runs alone on an
//! upstream: if that upstream crashes too, the request is quarantined; if the request succeeds, it
//! is cleared. One request therefore crashes two upstreams at most.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash::hash_parts;
use crate::time::{Span, Time};

/// Time for which a fingerprint is kept after its last crash or change of state.
pub const RETENTION: Span = Span::from_millis(3_600_000);
/// Maximum number of fingerprints kept.
const MAX_FINGERPRINTS: usize = 4_096;

/// State of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineState {
    /// The request was in flight on an upstream that crashed.
    Suspect,
    /// The request succeeded as a suspect, or it was released.
    Cleared,
    /// The request crashed an upstream while running alone.
    Quarantined,
}

/// Returns the fingerprint of a request. Equal requests have equal fingerprints.
pub fn fingerprint(organisation: &str, kind: &str, body: &[u8]) -> u64 {
    hash_parts(&[organisation.as_bytes(), kind.as_bytes(), body])
}

/// Verdict of the quarantine on one fingerprint, as members exchange it. Of two verdicts the one with
/// the higher round wins, and within a round the one with the higher state, so that merging is
/// independent of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of times that the request became a suspect again after it was cleared, or was released.
    pub round: u32,
    /// State of the fingerprint.
    #[serde(rename = "standing")]
    pub state: QuarantineState,
}

impl Verdict {
    fn precedence(&self) -> (u32, QuarantineState) {
        (self.round, self.state)
    }
}

/// Known fingerprints with their verdicts and the times of their last update.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    known: IndexMap<u64, (Verdict, Time)>,
}

impl Quarantine {
    /// Returns the state of `fingerprint`, or `None` if it is not known.
    pub fn state(&self, fingerprint: u64) -> Option<QuarantineState> {
        self.known.get(&fingerprint).map(|(v, _)| v.state)
    }

    /// Returns true when the request must run alone on its upstream.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.state(fingerprint) == Some(QuarantineState::Suspect)
    }

    /// Returns true when any known request must run alone on its upstream.
    pub fn has_suspects(&self) -> bool {
        self.known
            .values()
            .any(|(v, _)| v.state == QuarantineState::Suspect)
    }

    /// Returns true when the request must be refused.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.state(fingerprint) == Some(QuarantineState::Quarantined)
    }

    /// Records that an upstream crashed while it ran the request. `alone` is true when nothing else
    /// ran on the upstream. Returns the verdict to send to the other members.
    pub fn record_crash(&mut self, fingerprint: u64, alone: bool, now: Time) -> Verdict {
        let known = self.known.get(&fingerprint).map(|(v, _)| *v);
        let round = known.map_or(0, |v| v.round);
        let (round, state) = match known.map(|v| v.state) {
            Some(QuarantineState::Quarantined) => (round, QuarantineState::Quarantined),
            Some(QuarantineState::Suspect) if alone => (round, QuarantineState::Quarantined),
            Some(QuarantineState::Cleared) => (round + 1, QuarantineState::Suspect),
            Some(QuarantineState::Suspect) | None => (round, QuarantineState::Suspect),
        };
        self.set(
            Verdict {
                fingerprint,
                round,
                state,
            },
            now,
        )
    }

    /// Records that the request succeeded. Returns the verdict to send to the other members if it
    /// was a suspect.
    pub fn record_success(&mut self, fingerprint: u64, now: Time) -> Option<Verdict> {
        let (known, _) = self.known.get(&fingerprint)?;
        let cleared = Verdict {
            state: QuarantineState::Cleared,
            ..*known
        };
        (known.state == QuarantineState::Suspect).then(|| self.set(cleared, now))
    }

    /// Merges a verdict from another member. Returns true when it replaced the known one.
    pub fn merge(&mut self, verdict: Verdict, now: Time) -> bool {
        let known = self.known.get(&verdict.fingerprint);
        let newer = known.is_none_or(|(v, _)| v.precedence() < verdict.precedence());
        if newer {
            self.set(verdict, now);
        }
        newer
    }

    /// Clears a fingerprint whatever its state, for an operator or when its upstream turns out not
    /// to have crashed. Returns the verdict to send to the other members if it was known.
    pub fn release(&mut self, fingerprint: u64, now: Time) -> Option<Verdict> {
        let round = self.known.get(&fingerprint)?.0.round + 1;
        Some(self.set(
            Verdict {
                fingerprint,
                round,
                state: QuarantineState::Cleared,
            },
            now,
        ))
    }

    /// Removes fingerprints older than [`RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.known
            .retain(|_, (_, updated)| now.since(*updated) <= RETENTION);
    }

    /// Iterates over the verdicts on all known fingerprints.
    pub fn verdicts(&self) -> impl Iterator<Item = Verdict> {
        self.known.values().map(|(v, _)| *v)
    }

    fn set(&mut self, verdict: Verdict, now: Time) -> Verdict {
        self.known.insert(verdict.fingerprint, (verdict, now));
        if self.known.len() > MAX_FINGERPRINTS {
            self.known.shift_remove_index(0);
        }
        verdict
    }
}
