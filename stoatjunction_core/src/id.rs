//! Identifiers used by all crates.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::arena::Key;

/// Rank of a priority tier; 0 is the highest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tier(pub u8);

impl Tier {
    /// Returns true when this tier ranks strictly below `other`.
    pub fn is_below(self, other: Tier) -> bool {
        self.0 > other.0
    }
}

impl fmt::Display for Tier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Random number that a gateway process generates at its start, so that a restarted process has
/// another id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct GatewayId(pub u64);

impl fmt::Display for GatewayId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifier of one enqueueing of a request. A request that is enqueued again gets a new ticket,
/// so that a grant for an earlier ticket is recognised as stale.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TicketId {
    /// Gateway that owns the request.
    pub gateway: GatewayId,
    /// Sequence number, unique within the gateway.
    pub seq: u64,
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.gateway, self.seq)
    }
}

/// Identifier of a shard: a subset of the upstreams of one service in one data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Data centre of the upstreams.
    pub dc: String,
    /// Service of the upstreams.
    pub service: String,
    /// Index of the shard, from 0.
    pub index: u16,
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.dc, self.service, self.index)
    }
}

/// Arena key of an upstream within its shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub u32);

impl Key for UpstreamKey {
    fn from_number(number: u32) -> Self {
        UpstreamKey(number)
    }

    fn number(self) -> u32 {
        self.0
    }
}
