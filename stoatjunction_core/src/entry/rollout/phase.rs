//! Phases of a rollout, and what a host knows of the fleet when it derives them.

use super::evidence::{OldRuns, Side};
use super::order::OrderId;
use crate::hash;
use crate::time::Span;

/// Least ratio of the slots of the target's upstreams to those of the others at which the target carries the load.
const MIN_SLOTS_RATIO: f64 = 0.8;
/// Least number of the target's upstreams that get requests in the canary phase.
const MIN_CANARY_UPSTREAMS: usize = 2;

/// Time for which the other versions still count as listed after their last upstream has left the list: upstreams that
/// crash, or whose entries expire while the store is down, are listed again within it, and the bound on a target that
/// may be bad holds meanwhile.
pub(super) const OTHERS_LOST_TIME: Span = Span::from_millis(10_000);

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// The target gets requests by credit, on a part of its upstreams.
    Canary,
    /// The target gets this share of the requests, on all of its upstreams.
    Ramp(f64),
    /// The target gets all new requests.
    Full,
    /// The target carries the load; the versions that it replaced get nothing.
    Completed,
    /// The target gets nothing.
    Closed,
}

/// What a host knows of one upstream of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamView {
    /// Number of the upstream.
    pub number: u64,
    /// Side that it belongs to.
    pub side: Side,
    /// Listed slots; 0 if it leaves.
    pub slots: u32,
    /// Slowdown relative to the pool, once observed by this host or another one.
    pub slowdown: Option<f64>,
}

/// What a host knows of the fleet and of the service's upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Hosts heard of lately, this one included.
    pub hosts_heard: u32,
    /// Hosts known, this one included.
    pub hosts_known: u32,
    /// Upstreams of the service.
    pub upstreams: Vec<UpstreamView>,
    /// Runs of this host at the old version.
    pub old_runs: OldRuns,
}

impl FleetView {
    /// Returns whether this host hears less than half of the hosts that it knows.
    pub(super) fn is_cut_off(&self) -> bool {
        2 * self.hosts_heard < self.hosts_known
    }

    /// Returns the upstreams of one side that do not leave.
    pub(super) fn staying(&self, side: Side) -> impl Iterator<Item = &UpstreamView> {
        let of_side = self.upstreams.iter().filter(move |u| u.side == side);
        of_side.filter(|u| u.slots > 0)
    }

    /// Returns the slots of one side.
    pub(super) fn slots(&self, side: Side) -> u32 {
        self.staying(side).map(|u| u.slots).sum()
    }

    /// Returns whether the target may carry the load.
    pub(super) fn has_capacity(&self) -> bool {
        let (target, others) = (self.slots(Side::Target), self.slots(Side::Other));
        target > 0 && f64::from(target) >= MIN_SLOTS_RATIO * f64::from(others)
    }

    /// Returns whether no upstream of another version than the target is listed.
    pub(super) fn is_target_alone(&self) -> bool {
        let is_target = |u: &UpstreamView| u.side == Side::Target;
        self.slots(Side::Target) > 0 && self.upstreams.iter().all(is_target)
    }

    /// Returns whether an upstream of another version than the target is listed.
    pub(super) fn has_others(&self) -> bool {
        self.upstreams.iter().any(|u| u.side == Side::Other)
    }

    /// Returns the numbers of the target's upstreams that get requests in the canary phase, the same on all hosts: as
    /// many as the target's share of the requests loads like the upstreams of the others, but at least two.
    pub(super) fn canary_part(&self, order: OrderId, share: f64) -> Vec<u64> {
        let rank = |u: &UpstreamView| hash::mix(order.0 ^ u.number);
        let mut ranked: Vec<&UpstreamView> = self.staying(Side::Target).collect();
        ranked.sort_unstable_by_key(|u| (rank(u), u.number));
        let others = f64::from(self.slots(Side::Other));
        let wanted = others * share / (1.0 - share).max(f64::MIN_POSITIVE);
        let mut slots = 0.0;
        let mut part = Vec::new();
        for upstream in ranked {
            if part.len() >= MIN_CANARY_UPSTREAMS && slots >= wanted {
                break;
            }
            slots += f64::from(upstream.slots);
            part.push(upstream.number);
        }
        part
    }
}
