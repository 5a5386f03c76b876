//! Messages between the processes of stoatjunction.

use serde::{Deserialize, Serialize};
use stoatjunction_core::code::Code;
use stoatjunction_core::id::{GatewayId, ShardId, TicketId, Tier};
use stoatjunction_core::membership::Member;
use stoatjunction_core::quarantine::Verdict;
use stoatjunction_core::shard::{FinishReport, Running, Ticket};
use stoatjunction_core::spill::ShardSummary;
use stoatjunction_core::time::{Span, Time};

use crate::bundle::SignedBundle;

/// A ticket on the wire: times are spans, since clocks of two hosts are not comparable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TicketMessage {
    /// Identifier of this enqueueing.
    pub id: TicketId,
    /// Tier of the caller.
    pub tier: Tier,
    /// Organisation of the caller.
    pub organisation: String,
    /// Share of the organisation.
    pub share: u32,
    /// Kind of request.
    pub kind: String,
    /// Time since the request was accepted.
    pub age: Span,
    /// Time left until the deadline.
    pub left: Span,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Expected answer length in tokens while nothing is learned.
    pub output_hint: u32,
    /// Hashes of the prompt's prefixes.
    pub marks: Vec<u32>,
    /// Fingerprint of the whole request.
    pub fingerprint: u64,
    /// True when a run may be cancelled in favour of a higher tier.
    pub cancellable: bool,
    /// Roles of upstreams that may serve the request; empty for all.
    pub roles: Vec<String>,
}

impl TicketMessage {
    /// The message for `ticket` as of `now`.
    pub fn of(ticket: &Ticket, now: Time) -> TicketMessage {
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

    /// The ticket on the receiver's clock.
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

/// A running request on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningMessage {
    /// The request.
    pub ticket: TicketMessage,
    /// Upstream that runs it.
    pub upstream: String,
    /// Time since its dispatch.
    pub age: Span,
    /// True when it was granted to run alone, as a suspect.
    pub alone: bool,
}

impl RunningMessage {
    /// The running request on the receiver's clock.
    pub fn into_running(self, now: Time) -> Running {
        Running {
            ticket: self.ticket.into_ticket(now),
            upstream: self.upstream,
            age: self.age,
            alone: self.alone,
        }
    }
}

/// Who opens a link to a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// A gateway.
    Gateway {
        /// Its run.
        id: GatewayId,
        /// Its host.
        host: String,
    },
    /// Another dispatcher.
    Dispatcher(Member),
}

/// A known member and the time since it was last heard of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberAge {
    /// The member.
    pub member: Member,
    /// Time since it was last heard of.
    pub age: Span,
}

/// Short state that every dispatcher repeats to its peers and gateways.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Number of the bundle in force.
    pub bundle: u64,
    /// True once the sender takes no new work.
    pub stopping: bool,
    /// Stamp of the sender's hybrid logical clock.
    pub stamp: u64,
}

/// Who says that an upstream is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeavingSource {
    /// The platform's host list.
    HostList,
    /// An operator.
    Operator,
}

/// What one source says of an upstream. The word with the later stamp holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingMark {
    /// Name of the upstream.
    pub upstream: String,
    /// Who says so.
    pub source: LeavingSource,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Stamp of the hybrid logical clock when it was said.
    pub stamp: u64,
}

/// News that is spread to every member as it comes up, and whole at the start of a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Members heard of.
    pub members: Vec<MemberAge>,
    /// What is said of leaving upstreams.
    pub leaving: Vec<LeavingMark>,
    /// Fingerprints that crashed upstreams.
    pub verdicts: Vec<Verdict>,
    /// States of shards.
    pub shards: Vec<ShardSummary>,
}

impl News {
    /// True when there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.leaving.is_empty()
            && self.verdicts.is_empty()
            && self.shards.is_empty()
    }
}

/// A message to a dispatcher, from a gateway or another dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// First message of a link.
    Hello(Hello),
    /// Queue a request.
    Enqueue {
        /// Shard whose owner the receiver should be.
        shard: ShardId,
        /// The request.
        ticket: Box<TicketMessage>,
    },
    /// Drop a queued request or an unused grant.
    Withdraw {
        /// Shard of the request.
        shard: ShardId,
        /// The request.
        ticket: TicketId,
    },
    /// A granted request was dispatched.
    Dispatched {
        /// Shard of the request.
        shard: ShardId,
        /// The request.
        ticket: TicketId,
    },
    /// A dispatched request ended.
    Finished {
        /// Shard of the request.
        shard: ShardId,
        /// The request.
        ticket: TicketId,
        /// How it ended.
        report: FinishReport,
    },
    /// A request runs under a grant of an earlier owner.
    Running {
        /// Shard of the request.
        shard: ShardId,
        /// The request.
        running: Box<RunningMessage>,
    },
    /// Send digests and news on this link.
    Subscribe,
    /// Send the bundle with at least this number.
    FetchBundle {
        /// Lowest number of use.
        number: u64,
        /// Hashes of the parts that the asker holds.
        have: Vec<String>,
    },
    /// State of another dispatcher.
    Digest(Digest),
    /// News from another dispatcher.
    News(Box<News>),
}

/// A message from a dispatcher back along a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    /// First message of a link: who answers.
    Welcome(Member),
    /// The request may be dispatched.
    Grant {
        /// The request.
        ticket: TicketId,
        /// Upstream to use.
        upstream: String,
        /// True when it runs alone, as a suspect.
        alone: bool,
    },
    /// The shard gave the request up.
    Decline {
        /// The request.
        ticket: TicketId,
        /// Reason.
        code: Code,
        /// Lowest tier the shard still serves where the request could run.
        floor: Option<Tier>,
        /// Time after which the shard expects to have room.
        retry: Span,
    },
    /// The request has to be cancelled in favour of a higher tier.
    Revoke {
        /// The request.
        ticket: TicketId,
    },
    /// State of the dispatcher.
    Digest(Digest),
    /// News from the dispatcher.
    News(Box<News>),
    /// A bundle, with the parts that the asker lacks.
    Bundle(Box<SignedBundle>),
}
