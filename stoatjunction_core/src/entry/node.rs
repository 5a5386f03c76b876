//! One upstream of a pool: what runs there, how sound and how fast it is.

use super::engine::Factor;
use super::health::Health;
use super::upstream_list::ListedUpstream;
use crate::hash;
use crate::time::{Span, Time};

/// Time for which a report of more load than is known counts.
const EXCESS_AGE: Span = Span::from_millis(500);

/// What one host runs on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens still to be read.
    pub unread: u32,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Node {
    /// As the platform lists it.
    pub listed: ListedUpstream,
    /// Number by which hosts name it among themselves.
    pub number: u64,
    pub(super) own: Load,
    pub(super) others: Load,
    /// Places here that are this host's own, where places are dealt out.
    pub(super) dealt: Option<u32>,
    /// Places here that are left to hosts that are heard late or not at all.
    pub(super) kept: u32,
    pub(super) excess: u32,
    pub(super) excess_at: Time,
    pub(super) cold_until: Time,
    pub(super) health: Health,
    pub(super) factor: Factor,
}

impl Node {
    /// An upstream on which nothing is known to run.
    pub(super) fn new(l: &ListedUpstream, now: Time) -> Node {
        Node {
            listed: l.clone(),
            number: number_of(&l.id, l.born),
            own: Load::default(),
            others: Load::default(),
            dealt: None,
            kept: 0,
            excess: 0,
            excess_at: Time::default(),
            cold_until: now + Span::from_millis(l.cold_ms),
            health: Health::default(),
            factor: Factor::default(),
        }
    }

    /// What this host runs here.
    pub fn own(&self) -> Load {
        self.own
    }

    /// How much slower than the pool, and from how many observations.
    pub fn factor(&self) -> (f64, u32) {
        (self.factor.get(), self.factor.count())
    }

    /// True while the upstream is better left alone.
    pub fn is_avoided(&self, now: Time) -> bool {
        self.health.is_avoided(now)
    }

    /// Requests that run here, of all hosts.
    pub fn running(&self, now: Time) -> u32 {
        self.load(now).running
    }

    /// Places here that are this host's own, where places are dealt out.
    pub fn dealt(&self) -> Option<u32> {
        self.dealt
    }

    /// True when one of the places that are this host's own is free.
    pub(super) fn has_own_place(&self) -> bool {
        self.dealt.is_some_and(|n| self.own.running < n)
    }

    /// True when a place is free that this host may take.
    pub(super) fn has_place(&self, now: Time) -> bool {
        self.room(now) > 0
    }

    /// Free places that this host may take.
    pub(super) fn room(&self, now: Time) -> u32 {
        let kept = if self.has_own_place() { 0 } else { self.kept };
        self.listed.slots.saturating_sub(self.running(now) + kept)
    }

    /// Takes in that the upstream has no place although some seemed free.
    pub(super) fn found_full(&mut self, now: Time) {
        let known = self.own.running + self.others.running;
        self.excess = self.listed.slots.saturating_sub(known);
        self.excess_at = now;
    }

    /// Everything that is known to run here.
    pub(super) fn load(&self, now: Time) -> Load {
        let fresh = now.since(self.excess_at) < EXCESS_AGE;
        let excess = if fresh { self.excess } else { 0 };
        Load {
            running: self.own.running + self.others.running + excess,
            unread: self.own.unread + self.others.unread,
        }
    }
}

/// A number for an upstream that hosts use among themselves.
pub(super) fn number_of(id: &str, born: u64) -> u64 {
    hash::hash_parts(&[id.as_bytes(), &born.to_le_bytes()])
}
