//! Lending of idle slots between data centres.
//!
//! When callers shift to one data centre, its hosts find all local slots taken while upstreams
//! elsewhere idle. They learn of remote load four times a second only. If each of them took what
//! seems free there, many would choose the same upstreams; if all of them left a reserve on each
//! upstream, most of the idle slots would stay unused. So the idle slots of a data centre are
//! divided among the hosts of those that are short of slots, by the same rule on all hosts.

use indexmap::IndexMap;

use super::pool::{Pool, UpstreamKey};
use super::slot_allocation::{self, HostDemand, UpstreamSlots};
use super::upstream::Upstream;
use crate::hash;
use crate::time::Time;

/// Share of a data centre's slots in use from which on it borrows slots.
const BORROWING_UTILISATION: f64 = 0.85;
/// Share of a data centre's slots in use up to which it lends slots.
const LENDING_UTILISATION: f64 = 0.8;
/// One in this many of an upstream's idle slots is lent. The hosts of its own data centre leave
/// those free and use the rest.
const LENT_DIVISOR: u32 = 2;

/// Slots of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Utilisation {
    slots: u32,
    running: u32,
}

impl Utilisation {
    fn share(self) -> f64 {
        f64::from(self.running) / f64::from(self.slots.max(1))
    }
}

impl Pool {
    /// Divides the idle slots of remote upstreams among the hosts of the data centres that are short
    /// of slots. `local_hosts` are the hosts of this data centre, of which `own` is this one.
    pub fn borrow_slots(&mut self, local_hosts: &[HostDemand], own: u64, now: Time) {
        for (_, upstream) in self.upstreams.iter_mut() {
            upstream.borrowed_slots = 0;
            upstream.lent_slots = 0;
        }
        if self.slot_sharers == 0 {
            return;
        }
        let by_dc = self.utilisation_by_dc(now);
        let borrowers: Vec<&str> = by_dc
            .iter()
            .filter(|(_, u)| u.share() >= BORROWING_UTILISATION)
            .map(|(dc, _)| dc.as_str())
            .collect();
        if borrowers.is_empty() {
            return;
        }
        let lends = |u: &Upstream| {
            let lender = by_dc.get(&u.listed.dc);
            lender.is_some_and(|l| l.share() <= LENDING_UTILISATION)
                && !self.is_leaving(u)
                && !u.health.is_circuit_open(now)
                && !self.limits.is_limited(u.number)
        };
        let lent = self.upstreams.iter().filter(|(_, u)| lends(u));
        let (local, remote): (Vec<_>, Vec<_>) = lent
            .map(|(key, u)| {
                let slots = UpstreamSlots {
                    key,
                    number: u.number,
                    slots: idle_slots(u, now) / LENT_DIVISOR,
                };
                (u.listed.dc.as_str(), slots)
            })
            .partition(|(dc, _)| *dc == self.dc);
        let local: Vec<UpstreamSlots> = local.into_iter().map(|(_, slots)| slots).collect();
        let borrowed: Vec<UpstreamSlots> = remote
            .into_iter()
            .map(|(_, slots)| slots)
            .filter(|s| borrower_of(s.number, &borrowers) == Some(self.dc.as_str()))
            .collect();
        for slots in local {
            if let Some(upstream) = self.upstreams.get_mut(slots.key) {
                upstream.lent_slots = slots.slots;
            }
        }
        for allocation in slot_allocation::allocate_slots(local_hosts, own, &borrowed) {
            if let Some(upstream) = self.upstreams.get_mut(allocation.key) {
                upstream.borrowed_slots = allocation.own;
            }
        }
    }

    /// Returns the slots of other data centres that this host may still use until the next allocation.
    pub fn borrowed_slots(&self) -> u32 {
        self.upstreams.iter().map(|(_, u)| u.borrowed_slots).sum()
    }

    fn utilisation_by_dc(&self, now: Time) -> IndexMap<String, Utilisation> {
        let mut by_dc: IndexMap<String, Utilisation> = IndexMap::new();
        let usable = |(_, u): &(UpstreamKey, &Upstream)| !self.is_leaving(u);
        for (_, u) in self.upstreams.iter().filter(usable) {
            let sums = by_dc.entry(u.listed.dc.clone()).or_default();
            sums.slots += u.slots();
            sums.running += u.running(now).min(u.slots());
        }
        by_dc
    }
}

fn idle_slots(upstream: &Upstream, now: Time) -> u32 {
    upstream.slots().saturating_sub(upstream.running(now))
}

/// Returns the data centre that an upstream lends its idle slots to, the same on all hosts that know
/// the same borrowers.
fn borrower_of<'a>(upstream: u64, borrowers: &[&'a str]) -> Option<&'a str> {
    let rank = |dc: &&str| hash::hash_parts(&[&upstream.to_le_bytes(), dc.as_bytes()]);
    borrowers.iter().copied().max_by_key(rank)
}
