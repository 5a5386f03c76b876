//! Claims on idempotency keys, and the decision on an existing claim.
//!
//! A claim is created before a non-idempotent request is dispatched, and only the gateway whose
//! token it contains may dispatch. A key never runs again when the outcome of an earlier holder's
//! run is unknown.

use serde::{Deserialize, Serialize};

use crate::code::Code;

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may be running the request.
    Running,
    /// The request was answered.
    Done {
        /// The answer, if it was small enough to store.
        answer: Option<StoredAnswer>,
    },
    /// The holder knows that no upstream started the request.
    Released,
    /// The holder found that the outcome of its run cannot be determined.
    Unknown,
}

/// An answer stored with a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// Content type of the body.
    pub content_type: String,
    /// The whole body, in hexadecimal.
    pub body_hex: String,
}

/// The claim object stored under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Random token of the holder's attempt.
    pub token: String,
    /// Host of the holder.
    pub host: String,
    /// Incarnation of the holder, in hexadecimal.
    pub incarnation: String,
    /// SHA-256 of the request body, in hexadecimal.
    pub body_hash: String,
    /// Wall-clock time in milliseconds since 1970 after which the holder no longer runs the request.
    pub holds_until_ms: u64,
    /// State of the claim.
    pub state: ClaimState,
}

/// Tolerated difference between the clocks of two hosts, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 2_000;

/// Decision of an attempt about an existing claim on its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim belongs to this attempt: the request may run.
    OwnClaim,
    /// The earlier holder did not run the request: replace the claim conditionally, then run.
    TakeOver,
    /// Return the stored answer.
    Answer(StoredAnswer),
    /// Refuse with this code.
    Refuse(Code),
}

/// An attempt to claim a key for a request.
#[derive(Clone, Copy, Debug)]
pub struct ClaimAttempt<'a> {
    /// Random token of this attempt.
    pub token: &'a str,
    /// Host of the attempt.
    pub host: &'a str,
    /// Incarnation of the attempt, in hexadecimal.
    pub incarnation: &'a str,
    /// SHA-256 of the request body, in hexadecimal.
    pub body_hash: &'a str,
    /// Wall-clock time in milliseconds since 1970.
    pub now_ms: u64,
}

/// Decides what `attempt` does about the claim `found` on its key.
pub fn decide(found: &Claim, attempt: ClaimAttempt<'_>) -> Decision {
    if found.token == attempt.token {
        return Decision::OwnClaim;
    }
    if found.body_hash != attempt.body_hash {
        return Decision::Refuse(Code::KeyConflict);
    }
    match &found.state {
        ClaimState::Released => Decision::TakeOver,
        ClaimState::Done {
            answer: Some(answer),
        } => Decision::Answer(answer.clone()),
        ClaimState::Done { answer: None } => Decision::Refuse(Code::AnswerNotKept),
        ClaimState::Unknown => Decision::Refuse(Code::OutcomeUnknown),
        ClaimState::Running if is_stale(found, attempt) => Decision::Refuse(Code::OutcomeUnknown),
        ClaimState::Running => Decision::Refuse(Code::InProgress),
    }
}

/// Returns true when the holder's process was restarted or its time has passed, so that nobody is
/// running the request any more.
fn is_stale(found: &Claim, attempt: ClaimAttempt<'_>) -> bool {
    let restarted = found.host == attempt.host && found.incarnation != attempt.incarnation;
    let expired = attempt.now_ms > found.holds_until_ms + CLOCK_SKEW_MS;
    restarted || expired
}
