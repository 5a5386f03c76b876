//! What each run of this host says as evidence in a rollout, and how many runs each version has.

use std::cell::Cell;

use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::PlacementRequest;
use stoatjunction_core::entry::rollout::{RunEvidence, Side};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::time::Time;

use crate::clock;
use crate::rollouts::{Rollouts, target_version};
use crate::state::Context;

/// What the rollout of its service has to know of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunRequest {
    route: u32,
    idempotent: bool,
}

impl RunRequest {
    pub(crate) fn new(request: &PlacementRequest) -> RunRequest {
        RunRequest {
            route: request.route,
            idempotent: request.idempotent,
        }
    }
}

/// What is known of a run before its end.
#[derive(Debug)]
pub(crate) struct RunRecord {
    request: RunRequest,
    /// Version of the upstream as it was listed; `None` if the run is not counted.
    version: Option<SoftwareVersion>,
    is_slow: Cell<bool>,
    is_overdue: Cell<bool>,
    is_invalid: Cell<bool>,
}

impl RunRecord {
    /// Begins the record of a run, and counts the run, if orders for rollouts are handled.
    pub(crate) fn begin(
        rollouts: &mut Rollouts,
        service: &str,
        request: RunRequest,
        version: Option<SoftwareVersion>,
    ) -> RunRecord {
        let version = version.filter(|_| rollouts.is_enabled());
        if let Some(version) = version {
            let runs = rollouts.runs.entry((service.to_owned(), version));
            let runs = runs.or_default();
            runs.all += 1;
            runs.non_idempotent += u32::from(!request.idempotent);
        }
        RunRecord {
            request,
            version,
            is_slow: Cell::new(false),
            is_overdue: Cell::new(false),
            is_invalid: Cell::new(false),
        }
    }

    /// Records that the first event, or the whole plain response, took much longer than forecast.
    pub(crate) fn mark_slow(&self) {
        self.is_slow.set(true);
    }

    /// Records that nothing arrived for too long.
    pub(crate) fn mark_overdue(&self) {
        self.is_overdue.set(true);
    }

    /// Records that the upstream sent a response that is wrong, rather than none.
    pub(crate) fn mark_invalid(&self) {
        self.is_invalid.set(true);
    }

    /// Returns what the run says of the version, given its outcome; `None` if nothing.
    fn evidence(&self, outcome: Option<RunOutcome>, upstream: u64) -> Option<RunEvidence> {
        match outcome {
            Some(RunOutcome::Success) if self.is_slow.get() || self.is_overdue.get() => {
                Some(RunEvidence::Slow)
            }
            Some(RunOutcome::Success) => Some(RunEvidence::Good),
            Some(RunOutcome::Error) => Some(RunEvidence::Failed),
            Some(RunOutcome::Broken) if self.is_invalid.get() => Some(RunEvidence::Failed),
            Some(RunOutcome::Broken | RunOutcome::TimedOut) => {
                Some(RunEvidence::NoResponse(upstream))
            }
            // The upstream did not run it, or is none of this service.
            Some(RunOutcome::Shed | RunOutcome::Unreachable) => None,
            None => self
                .is_overdue
                .get()
                .then_some(RunEvidence::NoResponse(upstream)),
        }
    }

    /// Ends the record: counts what the run says, if its request was sent to `upstream`, and when.
    pub(crate) fn end(
        &self,
        cx: &Context,
        service: &str,
        upstream: u64,
        outcome: Option<RunOutcome>,
        sent_at: Option<Time>,
    ) {
        let Some(version) = self.version else {
            return;
        };
        let mut state = cx.state.borrow_mut();
        let rollouts = &mut state.rollouts;
        let key = (service.to_owned(), version);
        if let Some(runs) = rollouts.runs.get_mut(&key) {
            runs.all -= 1;
            runs.non_idempotent -= u32::from(!self.request.idempotent);
            if runs.all == 0 {
                rollouts.runs.swap_remove(&key);
            }
        }
        let Some(known) = rollouts.services.get_mut(service) else {
            return;
        };
        let side = match version == target_version(known.rollout.order()) {
            true => Side::Target,
            false => Side::Other,
        };
        let evidence = self.evidence(outcome, upstream);
        let (Some(evidence), Some(sent_at)) = (evidence, sent_at) else {
            return;
        };
        let rollout = &mut known.rollout;
        rollout.record_run(self.request.route, side, evidence, sent_at, clock::now());
        let tags = [
            ("service", service),
            ("side", side_label(side)),
            ("evidence", evidence_label(evidence)),
        ];
        cx.metrics.count("rollout_runs", &tags);
    }
}

fn side_label(side: Side) -> &'static str {
    match side {
        Side::Target => "target",
        Side::Other => "other",
    }
}

fn evidence_label(evidence: RunEvidence) -> &'static str {
    match evidence {
        RunEvidence::Good => "good",
        RunEvidence::Slow => "slow",
        RunEvidence::Failed => "failed",
        RunEvidence::NoResponse(_) => "no_response",
    }
}
