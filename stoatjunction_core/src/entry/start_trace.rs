//! The phases of a host's start, each with the time at which it was reached.

use crate::time::{Span, Time};

/// A phase of the start of a host, in the usual order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPhase {
    /// The host has a configuration.
    Configuration,
    /// It has a list of upstreams.
    List,
    /// It hears another host.
    PeerHeard,
    /// It reports to the balancer that it is ready.
    Ready,
    /// It hears nine tenths of the hosts of its data centre that it knows, so that it knows their loads.
    LoadsKnown,
    /// Slots of the upstreams are allocated to it.
    SlotsKnown,
    /// It has sent a request of a caller to an upstream.
    FirstPlacement,
    /// It has sent one after it knew the loads of its data centre.
    InformedPlacement,
}

impl StartPhase {
    /// All phases.
    pub const ALL: [StartPhase; 8] = [
        StartPhase::Configuration,
        StartPhase::List,
        StartPhase::PeerHeard,
        StartPhase::Ready,
        StartPhase::LoadsKnown,
        StartPhase::SlotsKnown,
        StartPhase::FirstPlacement,
        StartPhase::InformedPlacement,
    ];

    /// Returns the name of the phase in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            StartPhase::Configuration => "configuration",
            StartPhase::List => "list",
            StartPhase::PeerHeard => "peer_heard",
            StartPhase::Ready => "ready",
            StartPhase::LoadsKnown => "loads_known",
            StartPhase::SlotsKnown => "slots_known",
            StartPhase::FirstPlacement => "first_placement",
            StartPhase::InformedPlacement => "informed_placement",
        }
    }
}

/// The phases that a host has reached.
#[derive(Clone, Copy, Debug)]
pub struct StartTrace {
    started: Time,
    reached: [Option<Span>; StartPhase::ALL.len()],
}

impl StartTrace {
    /// Creates the trace of a host that started at this time.
    pub fn new(started: Time) -> StartTrace {
        StartTrace {
            started,
            reached: Default::default(),
        }
    }

    /// Records that a phase is reached, and returns the time since the start if it was not before.
    pub fn reach(&mut self, phase: StartPhase, now: Time) -> Option<Span> {
        let reached = &mut self.reached[phase as usize];
        if reached.is_some() {
            return None;
        }
        *reached = Some(now.since(self.started));
        *reached
    }

    /// Returns the time from the start to a phase, if it is reached.
    pub fn reached(&self, phase: StartPhase) -> Option<Span> {
        self.reached[phase as usize]
    }

    /// Returns whether all phases are reached that need no request of a caller.
    pub fn has_started(&self) -> bool {
        let placements = StartPhase::FirstPlacement as usize;
        self.reached[..placements].iter().all(Option::is_some)
    }
}
