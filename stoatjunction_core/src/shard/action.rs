//! Inputs and outputs of a shard.

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id::{TicketId, Tier};
use crate::time::{Span, Time};

/// Scheduling data of a request, without its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier, new each time the request is enqueued.
    pub id: TicketId,
    /// Tier of the caller.
    pub tier: Tier,
    /// Organisation of the caller.
    pub organisation: String,
    /// Weight of the organisation relative to others of its tier.
    pub share: u32,
    /// Kind of request.
    pub kind: String,
    /// Time at which the gateway accepted the request.
    pub arrival: Time,
    /// Time by which the request must be answered.
    pub deadline: Time,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Answer length in tokens assumed until lengths of this kind have been observed.
    pub output_hint: u32,
    /// Hashes of the prompt's prefixes as returned by [`crate::prefix::prefix_hashes`].
    pub marks: Vec<u32>,
    /// Fingerprint of the whole request, equal for identical requests.
    pub fingerprint: u64,
    /// Whether the run may be cancelled in favour of a higher tier.
    pub cancellable: bool,
    /// Roles of the upstreams that may serve the request; empty means all.
    pub roles: Vec<String>,
}

/// A request that runs under a grant by the shard's previous owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// Scheduling data of the request.
    pub ticket: Ticket,
    /// Name of the upstream that runs it.
    pub upstream: String,
    /// Time since its dispatch.
    pub age: Span,
    /// Whether it was granted an upstream of its own as a suspected crasher.
    pub alone: bool,
}

/// Evidence that the end of a run gives on whether its request crashes upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashSignal {
    /// No evidence either way.
    None,
    /// The upstream broke off in a way that a crash would explain.
    SuspectedCrash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Name of the upstream.
        upstream: String,
        /// Whether the request had the upstream to itself.
        alone: bool,
        /// Time of the dispatch, or of the grant when no dispatch was confirmed.
        since: Time,
    },
    /// The request completed.
    Completed {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// Result of a dispatched request, as its gateway reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishReport {
    /// Whether the answer was complete.
    pub whole: bool,
    /// Whether the upstream broke off in a way that a crash would explain.
    pub broken: bool,
    /// Whether the upstream reported that it did not start the request, or was unreachable.
    pub not_started: bool,
    /// Whether the upstream reported that it is leaving.
    pub leaving: bool,
    /// Length of the answer in tokens.
    pub output_tokens: u32,
    /// Time from dispatch to the first token.
    pub first_token: Span,
    /// Time from dispatch to the end.
    pub total: Span,
}

/// An instruction from the owner of the shard to a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be dispatched to the upstream.
    Grant {
        /// Identifier of the request.
        ticket: TicketId,
        /// Name of the upstream.
        upstream: String,
        /// Whether it gets an upstream of its own as a suspected crasher.
        alone: bool,
    },
    /// The shard will not serve the request.
    Decline {
        /// Identifier of the request.
        ticket: TicketId,
        /// Reason.
        code: Code,
        /// Lowest tier below that of the request with runs on upstreams the request could use.
        floor: Option<Tier>,
        /// Estimated time until the shard has capacity.
        retry: Span,
    },
    /// The running request must be cancelled in favour of a higher tier.
    Revoke {
        /// Identifier of the request.
        ticket: TicketId,
    },
}
