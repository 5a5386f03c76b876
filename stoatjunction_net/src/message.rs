//! Messages that gateways and dispatchers exchange over links.

use serde::{Deserialize, Serialize};
use stoatjunction_core::code::Code;
use stoatjunction_core::id::{GatewayId, ShardId, TicketId, Tier};
use stoatjunction_core::membership::Member;
use stoatjunction_core::quarantine::Verdict;
use stoatjunction_core::shard::{FinishReport, Running, Ticket};
use stoatjunction_core::spillover::ShardSummary;
use stoatjunction_core::time::{Span, Time};

use crate::bundle::SignedBundle;

/// A [`Ticket`] on the wire. Times are relative, because the monotonic clocks of two hosts are not
/// comparable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketMessage {
    /// Identifier of the ticket.
    pub id: TicketId,
    /// Tier of the caller.
    pub tier: Tier,
    /// Organisation of the caller.
    pub organisation: String,
    /// Fair-share weight of the organisation.
    pub share: u32,
    /// Kind of request.
    pub kind: String,
    /// Time since the request was accepted.
    pub age: Span,
    /// Time left until the deadline.
    pub left: Span,
    /// Prompt length in tokens.
    pub input_tokens: u32,
    /// Answer length in tokens assumed until lengths of this kind have been observed.
    pub output_hint: u32,
    /// Hashes of the prefixes of the prompt.
    pub marks: Vec<u32>,
    /// Fingerprint of the whole request.
    pub fingerprint: u64,
    /// Whether the running request may be cancelled in favour of a higher tier.
    pub cancellable: bool,
    /// Upstream roles that may serve the request; empty for all.
    pub roles: Vec<String>,
}

impl TicketMessage {
    /// Converts `ticket`, with its times relative to `now`.
    pub fn from_ticket(ticket: &Ticket, now: Time) -> TicketMessage {
        let t = ticket.clone();
        TicketMessage {
            id: t.id,
            tier: t.tier,
            organisation: t.organisation,
            share: t.share,
            kind: t.kind,
            age: now.since(t.arrival),
            left: now.until(t.deadline),
            input_tokens: t.input_tokens,
            output_hint: t.output_hint,
            marks: t.marks,
            fingerprint: t.fingerprint,
            cancellable: t.cancellable,
            roles: t.roles,
        }
    }

    /// Converts the message to a ticket, with its times on the clock of the receiver.
    pub fn into_ticket(self, now: Time) -> Ticket {
        Ticket {
            id: self.id,
            tier: self.tier,
            organisation: self.organisation,
            share: self.share,
            kind: self.kind,
            arrival: now.saturating_sub(self.age),
            deadline: now + self.left,
            input_tokens: self.input_tokens,
            output_hint: self.output_hint,
            marks: self.marks,
            fingerprint: self.fingerprint,
            cancellable: self.cancellable,
            roles: self.roles,
        }
    }
}

/// A [`Running`] request on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningMessage {
    /// Ticket of the request.
    pub ticket: TicketMessage,
    /// Upstream that runs the request.
    pub upstream: String,
    /// Time since the request was dispatched.
    pub age: Span,
    /// Whether the request runs alone on the upstream because it is suspected of crashing upstreams.
    pub alone: bool,
}

impl RunningMessage {
    /// Converts the message to a running request on the clock of the receiver.
    pub fn into_running(self, now: Time) -> Running {
        Running {
            ticket: self.ticket.into_ticket(now),
            upstream: self.upstream,
            age: self.age,
            alone: self.alone,
        }
    }
}

/// Identity of the process that opens a link to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// A gateway.
    Gateway {
        /// Identifier of the gateway process.
        id: GatewayId,
        /// Host of the gateway.
        host: String,
    },
    /// Another dispatcher.
    Dispatcher(Member),
}

/// A member and the time since its last heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberAge {
    /// Member.
    pub member: Member,
    /// Time since its last heartbeat, received directly or reported by another member.
    pub age: Span,
}

/// Summary of its state that a dispatcher sends periodically to its peers and gateways.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the bundle in force.
    pub bundle: u64,
    /// Whether the sender is shutting down and accepts no new requests.
    pub stopping: bool,
    /// Timestamp of the hybrid logical clock of the sender.
    pub stamp: u64,
}

/// Source that reports whether an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's host list.
    HostList,
    /// An operator.
    Operator,
}

/// Leaving state of an upstream as reported by one source. The later timestamp wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStatus {
    /// Name of the upstream.
    pub upstream: String,
    /// Source of the report.
    pub source: LeavingSource,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Timestamp of the report, from the hybrid logical clock.
    pub stamp: u64,
}

/// State changes that are gossiped to every member as they occur; the full state is sent when a
/// link opens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Known members.
    pub members: Vec<MemberAge>,
    /// Leaving states of upstreams.
    pub leaving: Vec<LeavingStatus>,
    /// Verdicts on fingerprints suspected of crashing upstreams.
    pub verdicts: Vec<Verdict>,
    /// Summaries of shards.
    pub shards: Vec<ShardSummary>,
}

impl GossipUpdate {
    /// Returns true if there are no changes.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.leaving.is_empty()
            && self.verdicts.is_empty()
            && self.shards.is_empty()
    }
}

/// A message from a gateway or dispatcher to the dispatcher that accepted the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// First message on a link.
    Hello(Hello),
    /// Enqueues a request.
    Enqueue {
        /// Shard that the sender believes the receiver owns.
        shard: ShardId,
        /// Ticket of the request.
        ticket: Box<TicketMessage>,
    },
    /// Withdraws a queued request or an unused grant.
    Withdraw {
        /// Shard of the request.
        shard: ShardId,
        /// Identifier of the ticket.
        ticket: TicketId,
    },
    /// Reports that a granted request was dispatched.
    Dispatched {
        /// Shard of the request.
        shard: ShardId,
        /// Identifier of the ticket.
        ticket: TicketId,
    },
    /// Reports that a dispatched request ended.
    Finished {
        /// Shard of the request.
        shard: ShardId,
        /// Identifier of the ticket.
        ticket: TicketId,
        /// Result of the request.
        report: FinishReport,
    },
    /// Reports a request that runs under a grant of an earlier owner of the shard.
    Running {
        /// Shard of the request.
        shard: ShardId,
        /// Running request.
        running: Box<RunningMessage>,
    },
    /// Asks for digests and update on this link.
    Subscribe,
    /// Asks for a bundle.
    FetchBundle {
        /// Lowest bundle number that is accepted.
        number: u64,
        /// Hashes of the parts that the sender already has.
        have: Vec<String>,
    },
    /// Digest of another dispatcher.
    Digest(Digest),
    /// State that another dispatcher has learned.
    GossipUpdate(Box<GossipUpdate>),
}

/// A message from a dispatcher to the process that opened the link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// First message on a link: the dispatcher that accepted it.
    Welcome(Member),
    /// Allows a request to be dispatched.
    Grant {
        /// Identifier of the ticket.
        ticket: TicketId,
        /// Upstream to dispatch to.
        upstream: String,
        /// Whether the request must run alone on the upstream because it is suspected of crashing
        /// upstreams.
        alone: bool,
    },
    /// Declines a request: the shard will not grant it.
    Decline {
        /// Identifier of the ticket.
        ticket: TicketId,
        /// Reason code.
        code: Code,
        /// Lowest tier below that of the request with runs on upstreams the request could use.
        floor: Option<Tier>,
        /// Estimated time until the shard has capacity.
        retry: Span,
    },
    /// Revokes a grant: the request must be cancelled in favour of a higher tier.
    Revoke {
        /// Identifier of the ticket.
        ticket: TicketId,
    },
    /// Digest of the sender.
    Digest(Digest),
    /// State that the sender has learned.
    GossipUpdate(Box<GossipUpdate>),
    /// The requested bundle, without the parts that the receiver already has.
    Bundle(Box<SignedBundle>),
}
