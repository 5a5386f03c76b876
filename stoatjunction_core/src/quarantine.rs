//! Requests that crash upstreams.
//!
//! A request in flight on an upstream that crashes becomes a suspect. A suspect is run alone on an
//! upstream; when that upstream crashes as well the request is quarantined, and when it succeeds
//! it is cleared. One request therefore takes down two upstreams at most.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash::hash_parts;
use crate::time::{Span, Time};

/// How long a suspect or a quarantine is kept without a new crash.
pub const RETENTION: Span = Span::from_millis(3_600_000);
/// Most fingerprints kept.
const MAX_FINGERPRINTS: usize = 4_096;

/// QuarantineState of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineState {
    /// It was in flight on one upstream that crashed.
    Suspect,
    /// It succeeded after it was suspected.
    Cleared,
    /// It crashed an upstream while running alone.
    Quarantined,
}

/// Fingerprint of a request: the same bytes sent again give the same number.
pub fn fingerprint(organisation: &str, kind: &str, body: &[u8]) -> u64 {
    hash_parts(&[organisation.as_bytes(), kind.as_bytes(), body])
}

/// One fingerprint as members tell each other of it. Of two verdicts the one with the later round
/// holds, and within a round the one with the later state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Verdict {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// Counts how often it was cleared and suspected again.
    pub round: u32,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: QuarantineState,
}

impl Verdict {
    fn rank(&self) -> (u32, QuarantineState) {
        (self.round, self.state)
    }
}

/// Standings of all fingerprints that are not plain.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    known: IndexMap<u64, (Verdict, Time)>,
}

impl Quarantine {
    /// QuarantineState of `fingerprint`, or `None` for a plain request.
    pub fn state(&self, fingerprint: u64) -> Option<QuarantineState> {
        self.known.get(&fingerprint).map(|(v, _)| v.state)
    }

    /// True when the request must run alone.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.state(fingerprint) == Some(QuarantineState::Suspect)
    }

    /// True when any request must run alone.
    pub fn has_suspects(&self) -> bool {
        self.known
            .values()
            .any(|(v, _)| v.state == QuarantineState::Suspect)
    }

    /// True when the request must be refused.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.state(fingerprint) == Some(QuarantineState::Quarantined)
    }

    /// Records that an upstream crashed while it ran the request; `alone` tells whether nothing
    /// else ran on it. Returns the verdict to spread.
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

    /// Records that the request ran to its end. Returns the verdict to spread when it was a
    /// suspect.
    pub fn record_success(&mut self, fingerprint: u64, now: Time) -> Option<Verdict> {
        let (known, _) = self.known.get(&fingerprint)?;
        let cleared = Verdict {
            state: QuarantineState::Cleared,
            ..*known
        };
        (known.state == QuarantineState::Suspect).then(|| self.set(cleared, now))
    }

    /// Takes in what another member says. Returns true when it was news.
    pub fn merge(&mut self, verdict: Verdict, now: Time) -> bool {
        let known = self.known.get(&verdict.fingerprint);
        let newer = known.is_none_or(|(v, _)| v.rank() < verdict.rank());
        if newer {
            self.set(verdict, now);
        }
        newer
    }

    /// Releases a fingerprint at an operator's word. Returns the verdict to spread when it was
    /// known.
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

    /// Forgets what is older than [`RETENTION`].
    pub fn expire(&mut self, now: Time) {
        self.known.retain(|_, (_, at)| now.since(*at) <= RETENTION);
    }

    /// All known fingerprints.
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
