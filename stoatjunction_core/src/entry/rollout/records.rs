//! What the runs of this host say of the versions of a rollout, counted by route and period.

use super::comparison::{self, FULL_PERIOD, RAMP_PERIOD, RECHECK_PERIOD};
use super::evidence::{RouteCounts, RunEvidence, Side};
use super::moment::Moment;
use super::state::Rollout;
use super::timing::RAMP_STEP_PART;
use crate::time::{Span, Time};

/// Routes that are counted separately; more share one count, so that reports fit into a datagram.
const MAX_ROUTES: usize = 24;
/// Length of the time slots in which unanswered runs at one upstream count once, and most of them in an order.
const UNANSWERED_SLOT: (Span, u64) = (Span::from_millis(1_000), 60);

impl Rollout {
    /// Like [`Rollout::record_run`], for a run that started and ended at `now`.
    pub fn record(&mut self, route: u32, side: Side, outcome: RunEvidence, now: Time) {
        self.record_run(route, side, outcome, now, now);
    }

    /// Records what a run of this host, which was sent at `started_at`, says of the version that it ran at. Responses are
    /// compared with those to requests of the same period.
    pub fn record_run(
        &mut self,
        route: u32,
        side: Side,
        outcome: RunEvidence,
        started_at: Time,
        now: Time,
    ) {
        let period = self.period(started_at);
        // Without the target at the same time there is nothing to compare the others with.
        let is_compared = self.target_seen_at.is_some() && period != FULL_PERIOD;
        if side == Side::Other && !is_compared {
            return;
        }
        if let RunEvidence::NoResponse(upstream) = outcome {
            let slot = self.age(now).0 / self.unanswered_slot().0;
            let slot = u32::try_from(slot).unwrap_or(u32::MAX);
            self.totals.record_unanswered(side, upstream as u32, slot);
            return;
        }
        let route = self.counted_route(route);
        let key = comparison::row_key(route, period);
        let response = RouteCounts {
            responses: 1,
            failures: u32::from(outcome == RunEvidence::Failed),
            slow: u32::from(outcome == RunEvidence::Slow),
        };
        self.totals.record(key, side, response);
        let is_bad = response.failures + response.slow > 0;
        if side == Side::Target && period == FULL_PERIOD && is_bad {
            self.urgent_report = self.urgent_report.or(Some(true));
        }
    }

    /// Returns the route under which responses of `route` are counted.
    pub(super) fn counted_route(&mut self, route: u32) -> u32 {
        let route = comparison::row_key(route, 0);
        if self.routes.contains(&route) {
            return route;
        }
        if self.routes.len() >= MAX_ROUTES {
            return 0;
        }
        self.routes.push(route);
        route
    }

    /// Returns the period in which responses to requests that were sent at this time are counted.
    pub(super) fn period(&self, sent_at: Time) -> u32 {
        let mut rechecks = self.rechecks.iter();
        if rechecks.any(|(from, until)| (*from..*until).contains(&sent_at)) {
            return RECHECK_PERIOD;
        }
        let full_at = self.full_at.or(self.alone_since);
        if full_at.is_some_and(|at| at <= sent_at) {
            return FULL_PERIOD;
        }
        if let Some(at) = self.ramp_at.filter(|at| *at <= Moment::from(sent_at)) {
            return RAMP_PERIOD + self.ramp_step(at, sent_at) as u32;
        }
        let length = self.part_of_duration(2.0 * RAMP_STEP_PART).0.max(1);
        let period = self.age(sent_at).0 / length;
        u32::try_from(period).map_or(RAMP_PERIOD - 1, |p| p.min(RAMP_PERIOD - 1))
    }

    pub(super) fn unanswered_slot(&self) -> Span {
        Span(self.order.duration.0 / UNANSWERED_SLOT.1).max(UNANSWERED_SLOT.0)
    }
}
