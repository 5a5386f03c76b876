//! The phases of this host's start, as log lines and for the metrics.

use stoatjunction_core::entry::start_trace::StartPhase;
use stoatjunction_core::time::Time;

use crate::state::{Phase, SharedState};

/// Part of the known hosts of the data centre that must be heard for their loads to count as known.
const KNOWN_PART: f64 = 0.9;

impl SharedState {
    /// Records the phases of the start that this host has reached by now.
    pub(crate) fn trace_start(&mut self, now: Time) {
        if self.start_trace.has_started() {
            return;
        }
        let has_slots = || {
            self.schedulers
                .values()
                .any(|s| s.pool.has_allocated_slots())
        };
        let phases = [
            (StartPhase::Configuration, self.routes.is_some()),
            (StartPhase::List, self.has_list),
            (StartPhase::PeerHeard, self.hears_any(now)),
            (StartPhase::Ready, self.is_ready(now)),
            (StartPhase::LoadsKnown, self.knows_loads(now)),
            (StartPhase::SlotsKnown, has_slots()),
        ];
        for (phase, _) in phases.into_iter().filter(|(_, is_reached)| *is_reached) {
            self.reach_phase(phase, now);
        }
    }

    /// Records that this host sends a request to an upstream.
    pub(crate) fn trace_placement(&mut self, now: Time) {
        self.reach_phase(StartPhase::FirstPlacement, now);
        let loads_known = self.start_trace.reached(StartPhase::LoadsKnown);
        if loads_known.is_some() {
            self.reach_phase(StartPhase::InformedPlacement, now);
        }
    }

    /// Returns whether this host can serve callers well. One that does not know yet whether there are
    /// others has to assume many, and uses a small part of the limits and of the retry budget.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        let knows_state = self.routes.is_some() && self.has_list;
        self.phase == Phase::Serving && knows_state && self.has_discovered_hosts(now)
    }

    fn reach_phase(&mut self, phase: StartPhase, now: Time) {
        if let Some(after) = self.start_trace.reach(phase, now) {
            log::info!(
                "event=start_phase phase={} ms={} hosts_known={}",
                phase.label(),
                after.as_millis(),
                self.peers.len() + 1
            );
        }
    }

    fn hears_any(&self, now: Time) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| !self.is_unreachable(p, now))
    }

    /// Returns whether this host hears most of the hosts of its data centre, so that it knows their loads.
    fn knows_loads(&self, now: Time) -> bool {
        let local = || self.peers.values().filter(|p| self.is_local(p));
        let heard = local().filter(|p| !self.is_unreachable(p, now)).count();
        heard > 0 && heard as f64 >= KNOWN_PART * local().count() as f64
    }
}
