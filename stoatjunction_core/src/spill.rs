//! Which shards to ask, in which order, and when a call may be shed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{ShardId, Tier};
use crate::membership::rendezvous_weight;
use crate::time::Span;

/// What a shard said of itself in the latest digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// The shard.
    pub shard: ShardId,
    /// Slots free now.
    pub free: u32,
    /// Requests queued.
    pub queued: u32,
    /// Lowest tier that is queued or running.
    pub floor: Option<Tier>,
}

/// Orders `shards` for a call: its own data centre first unless that is full while another one
/// has free slots, the rest spread by `spread`.
pub fn order(
    mut shards: Vec<ShardId>,
    dc: &str,
    summaries: &IndexMap<ShardId, ShardSummary>,
    spread: u64,
) -> Vec<ShardId> {
    let salt = spread.to_string();
    shards.sort_by_key(|s| {
        let summary = summaries.get(s);
        let full = summary.is_some_and(|s| s.free == 0);
        let idle = summary.is_some_and(|s| s.free > s.queued);
        let local = s.dc == dc;
        let class = match (local, full, idle) {
            (true, false, _) => 0,
            (false, _, true) => 1,
            (true, true, _) => 2,
            (false, _, false) => 3,
        };
        (class, rendezvous_weight(&salt, &s.to_string()))
    });
    shards
}

/// How one shard declined a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// Lowest tier that the shard still queued or ran when it declined.
    pub floor: Option<Tier>,
    /// Time after which the shard expects to have room.
    pub retry: Span,
}

/// Next step for a call of `tier` after some shards declined it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Ask the shard at this position of the order.
    Ask(usize),
    /// No reachable shard serves a lower tier: the call may be shed.
    Shed {
        /// Shortest time after which a shard expects to have room.
        retry: Span,
    },
}

/// Decides the next step from each shard's last decline; `None` marks a shard not asked yet, and
/// shards that cannot be reached are left out by the caller.
pub fn next(tier: Tier, declines: &[Option<Declined>]) -> Next {
    if let Some(unasked) = declines.iter().position(Option::is_none) {
        return Next::Ask(unasked);
    }
    let known = declines.iter().flatten();
    let serves_lower = |d: &Declined| d.floor.is_some_and(|f| f.is_below(tier));
    if let Some(lower) = known.clone().position(serves_lower) {
        return Next::Ask(lower);
    }
    let retry = known.map(|d| d.retry).min().unwrap_or(Span::ZERO);
    Next::Shed { retry }
}

/// A shard where a call of `tier`, which waits in `here`, would be served sooner: one with free
/// slots, or one that serves a lower tier while `here` does not. `draw` is uniform in `0.0..1.0`
/// and keeps the calls that wait together from all moving at once.
pub fn better(
    tier: Tier,
    here: &ShardId,
    shards: &[ShardId],
    summaries: &IndexMap<ShardId, ShardSummary>,
    draw: f64,
) -> Option<usize> {
    let own = summaries.get(here)?;
    if own.free > 0 {
        return None;
    }
    let known = |i: &usize| summaries.get(&shards[*i]).filter(|s| s.shard != *here);
    let indices = || 0..shards.len();
    let chance = |free: u32| f64::from(free) / f64::from(own.queued.max(1));
    let idle = |i: &usize| known(i).is_some_and(|s| s.free > s.queued && draw < chance(s.free));
    if let Some(index) = indices().find(idle) {
        return Some(index);
    }
    let lower = |s: &ShardSummary| s.floor.is_some_and(|f| f.is_below(tier));
    if lower(own) {
        return None;
    }
    indices().find(|i| known(i).is_some_and(lower))
}
