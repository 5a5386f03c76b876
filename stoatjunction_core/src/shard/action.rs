//! What goes into a shard and what comes out of it.

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id::{TicketId, Tier};
use crate::time::{Span, Time};

/// A request as the shard sees it: everything needed to place it, nothing of its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticket {
    /// Identifier of this enqueueing.
    pub id: TicketId,
    /// Tier of the caller.
    pub tier: Tier,
    /// Organisation of the caller.
    pub organisation: String,
    /// Share of the organisation relative to others of its tier.
    pub share: u32,
    /// Kind of request.
    pub kind: String,
    /// When the request was accepted.
    pub arrival: Time,
    /// When it must be answered.
    pub deadline: Time,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Expected answer length in tokens while nothing is learned.
    pub output_hint: u32,
    /// Hashes of the prompt's prefixes, see [`crate::prefix::prefix_hashes`].
    pub marks: Vec<u32>,
    /// Fingerprint of the whole request.
    pub fingerprint: u64,
    /// True when a run may be cancelled in favour of a higher tier.
    pub cancellable: bool,
    /// Roles of upstreams that may serve the request; empty for all.
    pub roles: Vec<String>,
}

/// A request that runs under a grant of an earlier owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Running {
    /// The request.
    pub ticket: Ticket,
    /// Name of the upstream that runs it.
    pub upstream: String,
    /// Time since its dispatch.
    pub age: Span,
    /// True when it was granted to run alone, as a suspect.
    pub alone: bool,
}

/// What the end of a run says of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashSignal {
    /// Nothing.
    None,
    /// The upstream may have crashed over it.
    SuspectedCrash {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Name of the upstream.
        upstream: String,
        /// True when nothing else ran there.
        alone: bool,
        /// When it was dispatched.
        since: Time,
    },
    /// It ran to its end.
    Completed {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishReport {
    /// True when the answer was whole.
    pub whole: bool,
    /// True when the upstream broke off in a way that a crash would explain.
    pub broken: bool,
    /// True when the upstream said that it did not start the request, or could not be reached.
    pub not_started: bool,
    /// True when the upstream said that it is leaving.
    pub leaving: bool,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Time from dispatch to the first token.
    pub first_token: Span,
    /// Time from dispatch to the end.
    pub total: Span,
}

/// What the owner of the shard has to tell a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The request may be dispatched to the upstream.
    Grant {
        /// The request.
        ticket: TicketId,
        /// Name of the upstream.
        upstream: String,
        /// True when it runs alone, as a suspect.
        alone: bool,
    },
    /// The shard gives the request up.
    Decline {
        /// The request.
        ticket: TicketId,
        /// Reason.
        code: Code,
        /// Lowest tier that the shard still runs on upstreams the request could use.
        floor: Option<Tier>,
        /// Time after which the shard expects to have room.
        retry: Span,
    },
    /// The running request has to be cancelled in favour of a higher tier.
    Revoke {
        /// The request.
        ticket: TicketId,
    },
}
