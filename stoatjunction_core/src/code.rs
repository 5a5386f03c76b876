//! Numbered result codes of all refusals, with outcome class, HTTP status and retry advice.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about whether an upstream ran a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream started the request.
    NotRun,
    /// An upstream started the request.
    Ran,
    /// An upstream may have started the request.
    Unknown,
}

impl Outcome {
    /// Returns the class as it is reported to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Retry advice to the caller of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Sending the same request again cannot help.
    Never,
    /// The request may be sent again after the time in Retry-After.
    Later,
    /// The request may be sent again with the same idempotency key to learn its outcome.
    AskAgain,
}

impl Retry {
    /// Returns the advice as the documentation gives it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Retry::Never => "never",
            Retry::Later => "later",
            Retry::AskAgain => "ask again",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $slug:literal, $status:literal, $outcome:ident, $retry:ident;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// All codes in the order of their numbers.
            pub const ALL: &[Code] = &[$(Code::$name,)*];

            /// Returns the number of the code. The meaning of a number never changes.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the short name of the code.
            pub const fn slug(self) -> &'static str {
                match self { $(Code::$name => $slug,)* }
            }

            /// Returns the HTTP status of the refusal.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the outcome class to report unless the request's state tells a better one.
            pub const fn outcome(self) -> Outcome {
                match self { $(Code::$name => Outcome::$outcome,)* }
            }

            /// Returns the retry advice to the caller.
            pub const fn retry(self) -> Retry {
                match self { $(Code::$name => Retry::$retry,)* }
            }
        }
    };
}

codes! {
    /// The request carries no bearer credential, or an unknown one.
    Unauthenticated = 1001, "unauthenticated", 401, NotRun, Never;
    /// The bundle has no such service.
    UnknownService = 1002, "unknown-service", 404, NotRun, Never;
    /// The service has no such kind of request.
    UnknownKind = 1003, "unknown-kind", 404, NotRun, Never;
    /// The body exceeds the limit in the bundle.
    BodyTooLarge = 1004, "body-too-large", 413, NotRun, Never;
    /// The deadline header is not a positive number of milliseconds within the kind's limit.
    BadDeadline = 1005, "bad-deadline", 400, NotRun, Never;
    /// A header is malformed.
    BadHeader = 1006, "bad-header", 400, NotRun, Never;
    /// A request of a non-idempotent kind has no idempotency key.
    KeyRequired = 1007, "key-required", 400, NotRun, Never;
    /// The body ended early or could not be read.
    BodyIncomplete = 1008, "body-incomplete", 400, NotRun, Later;
    /// The interface has no such path or method.
    NoSuchPath = 1009, "no-such-path", 404, NotRun, Never;
    /// No route of the requested host has a prefix of the path.
    NoRoute = 1010, "no-route", 404, NotRun, Never;
    /// The API key is missing or belongs to no organisation.
    UnknownKey = 1011, "unknown-key", 401, NotRun, Never;
    /// The caller had not sent the whole body when the route's timeout passed.
    BodyLate = 1012, "body-late", 408, NotRun, Later;
    /// The prompt and the maximum output are larger than the memory of an empty engine.
    PromptTooLarge = 1013, "prompt-too-large", 413, NotRun, Never;
    /// Every reachable shard is full with requests of the same or higher tiers.
    Overloaded = 2001, "overloaded", 503, NotRun, Later;
    /// The deadline could not be met even on an idle upstream.
    Infeasible = 2002, "infeasible", 422, NotRun, Never;
    /// The deadline passed before the request was dispatched to an upstream.
    Expired = 2003, "expired", 504, NotRun, Later;
    /// The run was cancelled in favour of a higher tier.
    Preempted = 2004, "preempted", 503, Ran, Later;
    /// No upstream that may serve the request is up, or no dispatcher for its service is reachable.
    NoUpstream = 2005, "no-upstream", 503, NotRun, Later;
    /// The host is shutting down and accepts no new requests.
    Stopping = 2006, "stopping", 503, NotRun, Later;
    /// The host has no configuration bundle in force yet.
    NotReady = 2007, "not-ready", 503, NotRun, Later;
    /// The queued request was dropped in favour of a higher tier.
    Shed = 2008, "shed", 503, NotRun, Later;
    /// The organisation is over its limit.
    OverLimit = 2009, "over-limit", 429, NotRun, Later;
    /// The route's timeout passed before the request was sent to an upstream.
    NotBegun = 2010, "not-begun", 503, NotRun, Later;
    /// Three upstreams failed while running the request; it is blocked until a probe ends well, or it has
    /// not come for ten minutes.
    Barred = 2011, "barred", 503, NotRun, Later;
    /// Every upstream that received the request reported that it did not run it.
    Declined = 2012, "declined", 503, NotRun, Later;
    /// Several versions may have begun the stream that the caller takes up, and no host that answers knows which did.
    OriginUnknown = 2013, "origin-unknown", 503, NotRun, Later;
    /// No upstream is left of the version that began the stream that the caller takes up.
    VersionGone = 2014, "version-gone", 503, NotRun, Later;
    /// The upstream's response was interrupted before it was complete.
    UpstreamBroken = 3001, "upstream-broken", 502, Unknown, Later;
    /// The upstream responded with an error status.
    UpstreamError = 3002, "upstream-error", 502, Unknown, Later;
    /// The deadline passed while the request was running.
    Late = 3003, "late", 504, Ran, Later;
    /// The request crashed two upstreams and is not run again.
    Quarantined = 3004, "quarantined", 422, NotRun, Never;
    /// The host stopped while the request was running.
    Stopped = 3005, "stopped", 504, Unknown, Later;
    /// Another request with the same idempotency key is running.
    InProgress = 4001, "in-progress", 409, Unknown, AskAgain;
    /// An earlier request with the key may or may not have taken effect; an operator has to resolve
    /// it.
    OutcomeUnknown = 4002, "outcome-unknown", 409, Unknown, AskAgain;
    /// The key was used before with another body.
    KeyConflict = 4003, "key-conflict", 422, NotRun, Never;
    /// The key could not be claimed in the platform, so the request was not run.
    ClaimUnavailable = 4004, "claim-unavailable", 503, NotRun, Later;
    /// The request was answered before, but its answer was not kept, such as when it is too large.
    AnswerNotKept = 4005, "answer-not-kept", 409, Ran, Never;
    /// An internal error of stoatjunction.
    Internal = 9001, "internal", 500, Unknown, Later;
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}
