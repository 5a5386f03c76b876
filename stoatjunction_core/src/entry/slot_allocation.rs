//! Allocation of upstream slots to the hosts of a data centre.
//!
//! In a burst at many hosts, each learns of the others' placements tens of milliseconds late. If
//! all of them choose among the same free slots, they choose the same ones, and some upstreams
//! queue requests that others could run. So the slots of a data centre are allocated to its hosts
//! in proportion to their demand, and a host fills its own slots before it looks for free ones
//! elsewhere.

use super::pool::UpstreamKey;

/// Least weight of a host, as a part of the mean demand, so that a host without callers so far is
/// allocated some slots.
const MIN_DEMAND_PART: f64 = 0.25;

/// A host to which slots are allocated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostDemand {
    /// Number of the host, the same on all hosts.
    pub id: u64,
    /// Requests a second that it receives from callers.
    pub demand: f64,
    /// True while no reports arrive from it, so that what it runs is unknown.
    pub unreachable: bool,
}

/// Slots of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamSlots {
    /// The upstream.
    pub key: UpstreamKey,
    /// Number of the upstream, the same on all hosts.
    pub number: u64,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// A host's allocation of an upstream's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAllocation {
    /// The upstream.
    pub key: UpstreamKey,
    /// Slots allocated to the host.
    pub own: u32,
    /// Slots allocated to unreachable hosts, which may be using them.
    pub unreachable: u32,
}

/// Allocates the slots of `upstreams` to `hosts` and returns the allocation of the host `own`.
/// Hosts that know the same hosts and upstreams compute the same allocation, in which each slot has
/// one host. A host that is not among `hosts` is allocated nothing.
pub fn allocate_slots(
    hosts: &[HostDemand],
    own: u64,
    upstreams: &[UpstreamSlots],
) -> Vec<SlotAllocation> {
    let slots: u32 = upstreams.iter().map(|u| u.slots).sum();
    let ranges = slot_ranges(hosts, f64::from(slots));
    let mut sorted = upstreams.to_vec();
    sorted.sort_by_key(|u| u.number);
    let mut start = 0;
    let mut allocations = Vec::new();
    for upstream in sorted {
        let end = start + upstream.slots;
        let overlap = |(from, to): (u32, u32)| to.min(end).saturating_sub(from.max(start));
        let of_own = ranges.iter().filter(|(h, _)| h.id == own);
        let of_unreachable = ranges.iter().filter(|(h, _)| h.id != own && h.unreachable);
        allocations.push(SlotAllocation {
            key: upstream.key,
            own: of_own.map(|(_, r)| overlap(*r)).sum(),
            unreachable: of_unreachable.map(|(_, r)| overlap(*r)).sum(),
        });
        start = end;
    }
    allocations
}

/// Returns each host's contiguous range in the sequence of all slots.
fn slot_ranges(hosts: &[HostDemand], slots: f64) -> Vec<(HostDemand, (u32, u32))> {
    let mut sorted = hosts.to_vec();
    sorted.sort_by_key(|h| h.id);
    let mean = sorted.iter().map(|h| h.demand).sum::<f64>() / sorted.len() as f64;
    let min_demand = (mean * MIN_DEMAND_PART).max(f64::MIN_POSITIVE);
    let weight = |h: &HostDemand| h.demand.max(min_demand);
    let total: f64 = sorted.iter().map(weight).sum();
    let slot_at = |sum: f64| (slots * sum / total).round() as u32;
    let mut before = 0.0;
    let mut ranges = Vec::new();
    for host in sorted {
        let until = before + weight(&host);
        ranges.push((host, (slot_at(before), slot_at(until))));
        before = until;
    }
    ranges
}
