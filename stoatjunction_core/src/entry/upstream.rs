//! State of one upstream in a pool: its load, health and speed as known to this host.

use super::capacity::UpstreamCapacity;
use super::health::{Health, RunOutcome};
use super::latency::Slowdown;
use super::pool::RunKey;
use super::software_version::SoftwareVersion;
use super::upstream_list::ListedUpstream;
use crate::hash;
use crate::time::{Span, Time};

/// Time for which load that no known run accounts for is assumed to last.
const UNACCOUNTED_AGE: Span = Span::from_millis(500);

/// Time after which an upstream that was down is known to have kept its start, if the list says so: it is tried at least
/// every 3 s while it is down, a list that grows old is noticed within 4 s, and refused connections within half a second
/// count as one.
pub(super) const RESTART_TIME: Span = Span::from_millis(7_500);

/// Load that runs put on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Prompt tokens that still have to be prefilled.
    pub pending_prefill_tokens: u32,
}

impl Load {
    /// Returns the sum, at most the largest numbers: callers and other hosts name them.
    pub fn saturating_add(self, other: Load) -> Load {
        Load {
            running: self.running.saturating_add(other.running),
            pending_prefill_tokens: self
                .pending_prefill_tokens
                .saturating_add(other.pending_prefill_tokens),
        }
    }
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Entry in the platform's list.
    pub listed: ListedUpstream,
    /// Number that identifies the upstream in messages between hosts.
    pub number: u64,
    /// Version of its software.
    pub version: SoftwareVersion,
    pub(super) own_load: Load,
    /// The run that finds out whether the upstream takes requests again after a pause.
    pub(super) probe: Option<RunKey>,
    pub(super) peer_load: Load,
    /// Slots allocated to this host; none while slots are not allocated to hosts.
    pub(super) owned_slots: Option<u32>,
    /// Slots reserved for hosts whose reports are late or missing.
    pub(super) reserved_slots: u32,
    /// Idle slots of another data centre that this host may still use until the next allocation.
    pub(super) borrowed_slots: u32,
    /// Idle slots that this host leaves to another data centre until the next allocation.
    pub(super) lent_slots: u32,
    /// Running requests that the upstream reported beyond those known to the hosts.
    pub(super) unaccounted_running: u32,
    pub(super) unaccounted_at: Time,
    /// Time at which this host last received bytes of a response.
    pub(super) last_byte_at: Time,
    /// Time at which a run broke off, or a connection failed, at any host.
    pub(super) broke_at: Option<Time>,
    /// Time at which it last refused a connection.
    pub(super) down_at: Option<Time>,
    pub(super) cold_until: Time,
    pub(super) health: Health,
    pub(super) slowdown: Slowdown,
    pub(super) capacity: UpstreamCapacity,
}

impl Upstream {
    /// Creates an upstream without any known runs.
    pub(super) fn new(listed: &ListedUpstream, now: Time) -> Upstream {
        Upstream {
            listed: listed.clone(),
            number: upstream_number(&listed.id, listed.born),
            version: SoftwareVersion::new(&listed.service, &listed.version),
            own_load: Load::default(),
            probe: None,
            peer_load: Load::default(),
            owned_slots: None,
            reserved_slots: 0,
            borrowed_slots: 0,
            lent_slots: 0,
            unaccounted_running: 0,
            unaccounted_at: Time::default(),
            last_byte_at: Time::default(),
            broke_at: None,
            down_at: None,
            cold_until: now + Span::from_millis(listed.cold_ms),
            health: Health::default(),
            slowdown: Slowdown::default(),
            capacity: UpstreamCapacity::default(),
        }
    }

    /// Returns the load of this host.
    pub fn own_load(&self) -> Load {
        self.own_load
    }

    /// Returns when this host last received bytes of a response.
    pub fn last_byte_at(&self) -> Time {
        self.last_byte_at
    }

    /// Returns the slowdown relative to the pool and the number of observations behind it.
    pub fn slowdown(&self) -> (f64, u32) {
        (self.slowdown.get(), self.slowdown.count())
    }

    /// Returns the learned capacity.
    pub fn capacity(&self) -> &UpstreamCapacity {
        &self.capacity
    }

    /// Returns the concurrent runs that it should get: the listed slots, or the learned number.
    pub fn slots(&self) -> u32 {
        self.capacity.number(self.listed.slots)
    }

    /// Returns whether it has a free listed slot, but none of its learned number need be free.
    pub(super) fn has_slot_beyond_learned(&self, now: Time) -> bool {
        self.capacity.is_stated() && self.running(now) < self.listed.slots
    }

    /// Returns the part of `slots` that corresponds to the learned number.
    fn scaled(&self, slots: u32) -> u32 {
        match (self.slots(), self.listed.slots) {
            (learned, listed) if learned == listed => slots,
            (learned, listed) => {
                let part = f64::from(learned) / f64::from(listed.max(1));
                (f64::from(slots) * part).round() as u32
            }
        }
    }

    /// Returns whether the upstream should get no runs.
    pub fn is_circuit_open(&self, now: Time) -> bool {
        self.health.is_circuit_open(now)
    }

    /// Returns the running requests of all hosts.
    pub fn running(&self, now: Time) -> u32 {
        self.load(now).running
    }

    /// Returns the slots allocated to this host, if slots are allocated to hosts.
    pub fn owned_slots(&self) -> Option<u32> {
        self.owned_slots
    }

    /// Returns whether a slot allocated to this host is free.
    pub(super) fn has_free_owned_slot(&self) -> bool {
        self.owned_slots
            .is_some_and(|owned| self.own_load.running < self.scaled(owned))
    }

    /// Returns whether this host may use a free slot.
    pub(super) fn has_available_slot(&self, now: Time) -> bool {
        self.available_slots(now) > 0
    }

    /// Returns the free slots that this host may use. Reserved ones only count while this host has
    /// a free slot of its own.
    pub(super) fn available_slots(&self, now: Time) -> u32 {
        let reserved = if self.has_free_owned_slot() {
            0
        } else {
            self.scaled(self.reserved_slots)
        };
        let free = self.slots().saturating_sub(self.running(now));
        free.saturating_sub(reserved + self.lent_slots)
            .max(self.borrowed_slots.min(free))
    }

    /// Records how a run, or the attempt to start one, ended.
    pub(super) fn observe(&mut self, outcome: RunOutcome, now: Time) {
        self.health.observe(outcome, now);
        if matches!(outcome, RunOutcome::Broken | RunOutcome::Unreachable) {
            self.broke_at = Some(now);
        }
    }

    /// Returns whether it was down so lately that it may have started again without an entry that says so.
    pub(super) fn was_down_lately(&self, now: Time) -> bool {
        self.down_for(now).is_some()
    }

    /// Returns the number of an upstream that was down lately, and how long ago.
    pub(super) fn down_for(&self, now: Time) -> Option<(u64, Span)> {
        let age = now.since(self.down_at?);
        (age < RESTART_TIME).then_some((self.number, age))
    }

    /// Records that the upstream turned out to be full although slots seemed free.
    pub(super) fn mark_full(&mut self, now: Time) {
        let known = self.reported_load().running;
        self.unaccounted_running = self.listed.slots.saturating_sub(known);
        self.unaccounted_at = now;
    }

    /// Returns the load of this host's runs and of those that others report.
    pub(super) fn reported_load(&self) -> Load {
        self.own_load.saturating_add(self.peer_load)
    }

    /// Returns the known load of all hosts.
    pub(super) fn load(&self, now: Time) -> Load {
        let fresh = now.since(self.unaccounted_at) < UNACCOUNTED_AGE;
        let unaccounted = Load {
            running: if fresh { self.unaccounted_running } else { 0 },
            ..Load::default()
        };
        self.reported_load().saturating_add(unaccounted)
    }
}

/// Derives the number that identifies an upstream in messages between hosts.
pub(super) fn upstream_number(id: &str, born: u64) -> u64 {
    hash::hash_parts(&[id.as_bytes(), &born.to_le_bytes()])
}
