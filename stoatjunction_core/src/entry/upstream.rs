//! One upstream of a pool: what runs there, how sound and how fast it is.

use super::health::Health;
use super::latency::Slowdown;
use super::view::Listed;
use crate::hash;
use crate::time::{Span, Time};

/// Time for which a report of more load than is known counts.
const UNACCOUNTED_AGE: Span = Span::from_millis(500);

/// What one host runs on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub running: u32,
    /// Prompt tokens still to be read.
    pub pending_prefill_tokens: u32,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As the platform lists it.
    pub listed: Listed,
    /// Number by which hosts name it among themselves.
    pub number: u64,
    pub(super) own: Load,
    pub(super) others: Load,
    /// Places here that are this host's own, where places are dealt out.
    pub(super) owned_slots: Option<u32>,
    /// Places here that are left to hosts that are heard late or not at all.
    pub(super) reserved_slots: u32,
    pub(super) unaccounted_running: u32,
    pub(super) unaccounted_at: Time,
    pub(super) cold_until: Time,
    pub(super) health: Health,
    pub(super) slowdown: Slowdown,
}

impl Upstream {
    /// An upstream on which nothing is known to run.
    pub(super) fn new(l: &Listed, now: Time) -> Upstream {
        Upstream {
            listed: l.clone(),
            number: upstream_number(&l.id, l.born),
            own: Load::default(),
            others: Load::default(),
            owned_slots: None,
            reserved_slots: 0,
            unaccounted_running: 0,
            unaccounted_at: Time::default(),
            cold_until: now + Span::from_millis(l.cold_ms),
            health: Health::default(),
            slowdown: Slowdown::default(),
        }
    }

    /// What this host runs here.
    pub fn own(&self) -> Load {
        self.own
    }

    /// How much slower than the pool, and from how many observations.
    pub fn slowdown(&self) -> (f64, u32) {
        (self.slowdown.get(), self.slowdown.count())
    }

    /// True while the upstream is better left alone.
    pub fn is_circuit_open(&self, now: Time) -> bool {
        self.health.is_circuit_open(now)
    }

    /// Requests that run here, of all hosts.
    pub fn running(&self, now: Time) -> u32 {
        self.load(now).running
    }

    /// Places here that are this host's own, where places are dealt out.
    pub fn owned_slots(&self) -> Option<u32> {
        self.owned_slots
    }

    /// True when one of the places that are this host's own is free.
    pub(super) fn has_free_owned_slot(&self) -> bool {
        self.owned_slots.is_some_and(|n| self.own.running < n)
    }

    /// True when a place is free that this host may take.
    pub(super) fn has_available_slot(&self, now: Time) -> bool {
        self.available_slots(now) > 0
    }

    /// Free places that this host may take.
    pub(super) fn available_slots(&self, now: Time) -> u32 {
        let kept = if self.has_free_owned_slot() {
            0
        } else {
            self.reserved_slots
        };
        self.listed.slots.saturating_sub(self.running(now) + kept)
    }

    /// Takes in that the upstream has no place although some seemed free.
    pub(super) fn mark_full(&mut self, now: Time) {
        let known = self.own.running + self.others.running;
        self.unaccounted_running = self.listed.slots.saturating_sub(known);
        self.unaccounted_at = now;
    }

    /// Everything that is known to run here.
    pub(super) fn load(&self, now: Time) -> Load {
        let fresh = now.since(self.unaccounted_at) < UNACCOUNTED_AGE;
        let excess = if fresh { self.unaccounted_running } else { 0 };
        Load {
            running: self.own.running + self.others.running + excess,
            pending_prefill_tokens: self.own.pending_prefill_tokens
                + self.others.pending_prefill_tokens,
        }
    }
}

/// A number for an upstream that hosts use among themselves.
pub(super) fn upstream_number(id: &str, born: u64) -> u64 {
    hash::hash_parts(&[id.as_bytes(), &born.to_le_bytes()])
}
