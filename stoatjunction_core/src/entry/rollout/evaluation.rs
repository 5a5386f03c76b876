//! Evaluation of the evidence of a rollout: its verdict, and when the ramp and the full phase begin.

use super::allowance::{self, Shares};
use super::comparison;
use super::evidence::Side;
use super::moment::Moment;
use super::phase::{FleetView, OTHERS_LOST_TIME};
use super::state::Rollout;
use super::timing::MIN_RESPONSES;
use super::totals::Totals;
use super::verdict::{self, Evidence, Finding, Verdict, VerdictReason};
use crate::time::{Span, Time};

/// Part of the duration until which the ramp is extended while the target is suspect.
const SUSPECT_RAMP_PART: f64 = 0.88;
/// Part of the duration for which the versions are compared again if something looks wrong in the full phase, and the
/// least length of that time: reports of other data centres have to arrive within it.
const RECHECK: (f64, Span) = (0.06, Span::from_millis(1_000));
/// Logarithm of the e-value above which something looks wrong in the full phase.
const RECHECK_EVIDENCE: f64 = 2.0;
/// Responses of the target while the versions are compared again that clear it if nothing looks wrong by then.
const MIN_RECHECK_RESPONSES: u32 = 30;
/// Time for which the target has been listed after which the rate of the service is known.
const RATE_TIME: Span = Span::from_millis(1_000);
/// Part of the requests that the target should have answered which suffices for a service with few requests.
const MIN_RESPONSES_PART: f64 = 0.3;

impl Rollout {
    /// Sets what this host knows of the fleet and of the upstreams, and evaluates the evidence. Called at least every
    /// 100 ms while an order runs, and after reports were merged.
    pub fn set_fleet(&mut self, fleet: FleetView, now: Time) {
        if fleet.slots(Side::Target) > 0 {
            self.target_seen_at = self.target_seen_at.or(Some(now));
        }
        if fleet.has_others() {
            self.others_listed_at = Some(now);
        }
        let others_listed = self
            .others_listed_at
            .is_some_and(|at| now.since(at) < OTHERS_LOST_TIME);
        self.alone_since = match fleet.is_target_alone() && !others_listed {
            true => self.alone_since.or(Some(now)),
            false => None,
        };
        self.part = fleet.canary_part(self.id(), self.canary_share());
        let is_cut_off = fleet.is_cut_off();
        self.fleet = Some(fleet);
        self.adopt_usual_start(now);
        if self.ended_at.is_none() && !is_cut_off {
            self.evaluate(now);
        }
        self.update_canary_share(now);
        self.is_late = !self.is_before_limit(now) && !self.is_full();
    }

    /// Takes over the age of the order as most hosts have it, if this host has just learned of the order or has its age
    /// from a wall clock.
    pub(super) fn adopt_usual_start(&mut self, now: Time) {
        let (start, count) = self.totals.usual_start(self.started_at, now);
        let is_doubtful = self.restored_at.is_some() && count > 2;
        if start < self.started_at || is_doubtful {
            self.started_at = start;
        }
    }

    pub(super) fn evaluate(&mut self, now: Time) {
        if self.verdict == Verdict::Bad {
            return;
        }
        let totals = self.totals.fleet();
        let assessment = self.assess(&totals, now);
        if let Finding::Bad(reason) = assessment {
            self.set_bad(reason);
            return;
        }
        let age = self.age(now);
        let is_suspect = assessment == Finding::Suspect;
        let is_canary_over = self.is_canary_over(is_suspect, now) && !self.is_age_doubtful(now);
        let has_capacity = self.fleet.as_ref().is_some_and(FleetView::has_capacity);
        if is_canary_over && self.has_enough_responses(&totals) && has_capacity {
            self.verdict = Verdict::Good;
            self.ramp_at = self.ramp_at.or(Some(Moment::from(now)));
        }
        let is_held = is_suspect && age < self.part_of_duration(SUSPECT_RAMP_PART);
        let is_ramp_over = self
            .ramp_at
            .is_some_and(|at| Moment::from(now) >= self.ramp_end(at) && !is_held);
        if is_ramp_over && has_capacity && self.is_before_limit(now) {
            self.full_at = self.full_at.or(Some(now));
        }
        if self.full_at.is_some() {
            self.recheck(&totals, is_suspect, now);
        }
    }

    /// Begins to compare the versions again if the target is worse in the full phase than the others were before,
    /// and for as long as it is suspect or has answered too few requests since.
    pub(super) fn recheck(&mut self, totals: &Totals, is_suspect: bool, now: Time) {
        if self.is_rechecking(now) {
            // What arrives of the full phase meanwhile has the same cause.
            let full = totals.rows();
            let full = full.filter(|row| comparison::is_of_full_period(row.route));
            self.checked = full.map(|row| (row.route, row.target)).collect();
            return;
        }
        let has_evidence =
            comparison::full_evidence(totals.rows(), &self.checked) > RECHECK_EVIDENCE;
        if has_evidence || is_suspect || self.is_recheck_incomplete(totals) {
            let length = self.part_of_duration(RECHECK.0).max(RECHECK.1);
            self.recheck_share = allowance::recheck_share(self.request_rate(totals, now), length);
            self.rechecks.push((now, now + length));
            self.urgent_report = None;
        }
    }

    /// Returns whether the versions were compared again with too few responses of the target to clear it.
    pub(super) fn is_recheck_incomplete(&self, totals: &Totals) -> bool {
        let rows = totals.rows();
        let rows = rows.filter(|row| comparison::is_of_recheck_period(row.route));
        let responses: u32 = rows.map(|row| row.target.responses).sum();
        !self.rechecks.is_empty() && responses < MIN_RECHECK_RESPONSES
    }

    /// Raises the share in the canary phase in a small service, once its rate is known.
    fn update_canary_share(&mut self, now: Time) {
        let seen = self.target_seen_at.map_or(Span::ZERO, |at| now.since(at));
        if seen < RATE_TIME || self.ramp_at.is_some() {
            return;
        }
        let rate = self.request_rate(&self.totals.fleet(), now);
        let (share, duration) = (self.shares().canary, self.order.duration);
        let share = allowance::canary_with_slack(share, &self.bounds, rate, duration);
        self.raised_canary_share = Some(share);
    }

    /// Returns the shares of the target in the phases.
    pub(super) fn shares(&self) -> Shares {
        allowance::shares(self.bounds.share, self.order.duration)
    }

    /// Returns the requests per second that the service has answered since the target was listed.
    fn request_rate(&self, totals: &Totals, now: Time) -> f64 {
        let (target, others) = totals.sums();
        let seen = self.target_seen_at.map_or(Span::ZERO, |at| now.since(at));
        let responses = f64::from(target.responses) + f64::from(others.responses);
        responses / seen.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    pub(super) fn assess(&self, totals: &Totals, now: Time) -> Finding {
        let Some(fleet) = &self.fleet else {
            return Finding::Nothing;
        };
        let slot = self.unanswered_slot().0 as f64;
        let slots_since = |age: Span| age.0 as f64 / slot;
        let seen = self.target_seen_at.map_or(Span::ZERO, |at| now.since(at));
        let ramped = self.ramp_at.map_or(Span::ZERO, |at| at.age(now)).min(seen);
        let targets = fleet.staying(Side::Target).count();
        let canary_times = self.part.len() as f64 * slots_since(seen - ramped);
        let target_times = canary_times + targets as f64 * slots_since(ramped);
        let others = fleet.staying(Side::Other).count();
        let target_upstreams = match self.ramp_at {
            Some(_) => targets,
            None => self.part.len(),
        };
        verdict::assess(&Evidence {
            totals,
            earlier_bad: self.earlier.1,
            upstreams: &fleet.upstreams,
            upstream_times: (target_times, others as f64 * slots_since(seen)),
            is_rechecked: !self.rechecks.is_empty(),
            target_upstreams,
        })
    }

    /// Returns whether the target has answered enough requests to be good, or as many as can be expected of a service
    /// with few requests.
    pub(super) fn has_enough_responses(&self, totals: &Totals) -> bool {
        let (target, others) = totals.sums();
        let expected = self.shares().canary * f64::from(others.responses);
        let answered = f64::from(target.responses) + self.earlier.0 as f64;
        answered >= MIN_RESPONSES.min(MIN_RESPONSES_PART * expected)
    }

    pub(super) fn set_bad(&mut self, reason: VerdictReason) {
        if self.verdict != Verdict::Bad && self.final_state().is_none() {
            self.verdict = Verdict::Bad;
            self.reason = Some(reason);
        }
    }
}
