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
/// Places a host must have on average for dealing them out to pay.
const LEAST_PLACES: f64 = 3.0;

/// A host among which places are dealt out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Number of the host, the same wherever it is named.
    pub id: u64,
    /// Calls a second that its callers ask of it.
    pub demand: f64,
}

/// Places that an upstream offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The upstream.
    pub key: NodeKey,
    /// Number of the upstream, the same at all hosts.
    pub number: u64,
    /// Its places.
    pub slots: u32,
}

/// Deals out the places of `offers` among `members` and returns how many of each upstream are
/// `own`'s. All hosts that know of the same members and upstreams deal out alike, and every place is
/// dealt out once. `None` when there are too few places to deal out.
pub fn deal(members: &[Member], own: u64, offers: &[Offer]) -> Option<Vec<(NodeKey, u32)>> {
    let places: u32 = offers.iter().map(|o| o.slots).sum();
    let many = f64::from(places) >= LEAST_PLACES * members.len() as f64;
    if members.len() < 2 || !many {
        return None;
    }
    let (from, to) = range(members, own, f64::from(places))?;
    let mut sorted = offers.to_vec();
    sorted.sort_by_key(|o| o.number);
    let mut at = 0;
    let mut dealt = Vec::new();
    for offer in sorted {
        let end = at + offer.slots;
        let overlap = to.min(end).saturating_sub(from.max(at));
        dealt.push((offer.key, overlap));
        at = end;
    }
    Some(dealt)
}

/// The run of places that is `own`'s when all are put in a row.
fn range(members: &[Member], own: u64, places: f64) -> Option<(u32, u32)> {
    let mut sorted = members.to_vec();
    sorted.sort_by_key(|m| m.id);
    let mean = sorted.iter().map(|m| m.demand).sum::<f64>() / sorted.len() as f64;
    let least = (mean * LEAST_DEMAND).max(f64::MIN_POSITIVE);
    let weight = |m: &Member| m.demand.max(least);
    let all: f64 = sorted.iter().map(weight).sum();
    let index = sorted.iter().position(|m| m.id == own)?;
    let before: f64 = sorted[..index].iter().map(weight).sum();
    let until = before + weight(&sorted[index]);
    let place = |sum: f64| (places * sum / all).round() as u32;
    Some((place(before), place(until)))
}
