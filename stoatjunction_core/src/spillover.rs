//! Spillover between shards: which ones to ask, in which order, and when a request may be shed.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::id::{ShardId, Tier};
use crate::membership::rendezvous_weight;
use crate::time::Span;

/// Load of a shard as of the latest gossip digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardSummary {
    /// Identifier of the shard.
    pub shard: ShardId,
    /// Number of free slots.
    pub free: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Lowest tier that is queued or running.
    pub floor: Option<Tier>,
}

/// Sorts `shards` in the order to ask them: the local data centre first, unless it is full and
/// another one has free slots. Ties are broken by a hash with `spread`, which spreads requests
/// over the shards.
pub fn probe_order(
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

/// Answer of a shard that declined a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Declined {
    /// Lowest tier below that of the request with runs on upstreams the request could use.
    pub floor: Option<Tier>,
    /// Estimated time until the shard has capacity.
    pub retry: Span,
}

/// Next step for a request after some shards declined it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the shard at this position of the probe order.
    Ask(usize),
    /// No reachable shard serves a lower tier, so the request may be shed.
    Shed {
        /// Shortest estimated time until a shard has capacity.
        retry: Span,
    },
}

/// Decides the next step for a request of `tier` from the latest answer of each shard; `None` stands
/// for a shard not asked yet. Unreachable shards must be left out of `declines`.
pub fn next_step(tier: Tier, declines: &[Option<Declined>]) -> NextStep {
    if let Some(unasked) = declines.iter().position(Option::is_none) {
        return NextStep::Ask(unasked);
    }
    let answers = declines.iter().flatten();
    let serves_lower = |d: &Declined| d.floor.is_some_and(|f| f.is_below(tier));
    if let Some(lower) = answers.clone().position(serves_lower) {
        return NextStep::Ask(lower);
    }
    let retry = answers.map(|d| d.retry).min().unwrap_or(Span::ZERO);
    NextStep::Shed { retry }
}

/// Returns the position of a shard that would serve a request of `tier` sooner than `current`, which
/// has it queued: one with free slots, or one that serves a lower tier while `current` does not.
/// `draw` is uniform in `0.0..1.0`; it keeps requests queued together from all moving at once.
pub fn better_shard(
    tier: Tier,
    current: &ShardId,
    shards: &[ShardId],
    summaries: &IndexMap<ShardId, ShardSummary>,
    draw: f64,
) -> Option<usize> {
    let current_summary = summaries.get(current)?;
    if current_summary.free > 0 {
        return None;
    }
    let other = |i: &usize| summaries.get(&shards[*i]).filter(|s| s.shard != *current);
    let indices = || 0..shards.len();
    let move_probability = |free: u32| f64::from(free) / f64::from(current_summary.queued.max(1));
    let idle =
        |i: &usize| other(i).is_some_and(|s| s.free > s.queued && draw < move_probability(s.free));
    if let Some(index) = indices().find(idle) {
        return Some(index);
    }
    let serves_lower = |s: &ShardSummary| s.floor.is_some_and(|f| f.is_below(tier));
    if serves_lower(current_summary) {
        return None;
    }
    indices().find(|i| other(i).is_some_and(serves_lower))
}
