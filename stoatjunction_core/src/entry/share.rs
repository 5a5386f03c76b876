//! Which places of which upstreams are a host's own.
//!
//! Load answered: bursts at many hosts that hear of each other's placings tens of milliseconds late.
//! If all of them choose among the same free places, they choose the same ones, and upstreams queue
//! what their neighbours could run. So the places of a data centre are dealt out among its hosts by
//! what callers ask of each, and a host fills its own before it looks for free ones elsewhere.

use super::pool::NodeKey;

/// Least part of the mean demand that every host counts with, so that one which has had no callers
/// yet finds some places.
const LEAST_DEMAND: f64 = 0.25;

/// A host among which places are dealt out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostDemand {
    /// Number of the host, the same wherever it is named.
    pub id: u64,
    /// Calls a second that its callers ask of it.
    pub demand: f64,
    /// True while it is not heard, so that nobody knows what it runs.
    pub silent: bool,
}

/// Places that an upstream offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamSlots {
    /// The upstream.
    pub key: NodeKey,
    /// Number of the upstream, the same at all hosts.
    pub number: u64,
    /// Its places.
    pub slots: u32,
}

/// What a host is dealt of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotAllocation {
    /// The upstream.
    pub key: NodeKey,
    /// Places that are the host's own.
    pub own: u32,
    /// Places of hosts that are not heard: they may be in use unseen.
    pub silent: u32,
}

/// Deals out the places of `offers` among `members` and returns what `own` gets. All hosts that know
/// of the same members and upstreams deal out alike, and every place is dealt out once. Nothing is
/// dealt to a host that is no member.
pub fn allocate_slots(
    members: &[HostDemand],
    own: u64,
    offers: &[UpstreamSlots],
) -> Vec<SlotAllocation> {
    let places: u32 = offers.iter().map(|o| o.slots).sum();
    let ranges = ranges(members, f64::from(places));
    let mut sorted = offers.to_vec();
    sorted.sort_by_key(|o| o.number);
    let mut at = 0;
    let mut dealt = Vec::new();
    for offer in sorted {
        let end = at + offer.slots;
        let here = |(from, to): (u32, u32)| to.min(end).saturating_sub(from.max(at));
        let of_own = ranges.iter().filter(|(m, _)| m.id == own);
        let of_silent = ranges.iter().filter(|(m, _)| m.id != own && m.silent);
        dealt.push(SlotAllocation {
            key: offer.key,
            own: of_own.map(|(_, r)| here(*r)).sum(),
            silent: of_silent.map(|(_, r)| here(*r)).sum(),
        });
        at = end;
    }
    dealt
}

/// The run of places that is each member's when all are put in a row.
fn ranges(members: &[HostDemand], places: f64) -> Vec<(HostDemand, (u32, u32))> {
    let mut sorted = members.to_vec();
    sorted.sort_by_key(|m| m.id);
    let mean = sorted.iter().map(|m| m.demand).sum::<f64>() / sorted.len() as f64;
    let least = (mean * LEAST_DEMAND).max(f64::MIN_POSITIVE);
    let weight = |m: &HostDemand| m.demand.max(least);
    let all: f64 = sorted.iter().map(weight).sum();
    let place = |sum: f64| (places * sum / all).round() as u32;
    let mut before = 0.0;
    let mut ranges = Vec::new();
    for member in sorted {
        let until = before + weight(&member);
        ranges.push((member, (place(before), place(until))));
        before = until;
    }
    ranges
}
