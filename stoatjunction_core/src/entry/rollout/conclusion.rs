//! What follows from the state of a rollout: its phase, and what the store should say of it.

use super::comparison;
use super::evidence::Side;
use super::moment::Moment;
use super::order::RolloutState;
use super::phase::{FleetView, Phase};
use super::state::Rollout;
use super::timing::MIN_RESPONSES;
use super::verdict::Verdict;
use crate::time::{Span, Time};

/// Time for which the target carries the load before the order is completed: the other hosts follow within a report.
const SETTLE_TIME: Span = Span::from_millis(700);
/// Logarithm of the e-value in the full phase above which the order is not completed yet.
const DOUBT_EVIDENCE: f64 = 1.0;
/// Time before the limit at which the order is completed even if something looks wrong but is not proven.
const LAST_MOMENT: Span = Span::from_millis(400);
/// Time for which no other version has to be listed before the order is completed.
const ALONE_TIME: Span = Span::from_millis(2_000);
/// Time after the end of the order for which its reports go on.
const ENDED_TIME: Span = Span::from_millis(10_000);

impl Rollout {
    /// Returns whether the target gets all new requests.
    pub(super) fn is_full(&self) -> bool {
        self.full_at.is_some() || self.alone_since.is_some()
    }

    /// Returns the phase, for the gate.
    pub fn phase(&self, now: Time) -> Phase {
        match self.final_state() {
            Some(RolloutState::Completed) => return Phase::Completed,
            Some(_) => return Phase::Closed,
            None if self.is_withdrawn => return Phase::Closed,
            None => {}
        }
        let knows_fleet = self.fleet.as_ref().is_some_and(|f| !f.is_cut_off());
        if self.verdict == Verdict::Bad || !knows_fleet || self.order.duration == Span::ZERO {
            return Phase::Closed;
        }
        if self.alone_since.is_none() && self.is_rechecking(now) {
            return Phase::Ramp(self.recheck_share);
        }
        if self.is_full() {
            return Phase::Full;
        }
        if !self.is_before_limit(now) {
            return Phase::Closed;
        }
        let Some(ramp_at) = self.ramp_at else {
            return Phase::Canary;
        };
        // A ramp that is extended, as the target is suspect, must not use up what the full phase needs.
        match Moment::from(now) < self.ramp_end(ramp_at) {
            true => Phase::Ramp(self.shares().ramp[self.ramp_step(ramp_at, now)]),
            false => Phase::Ramp(self.shares().canary),
        }
    }

    /// Returns the state that the store should have, if it has another one.
    pub fn wanted_status(&self, now: Time) -> Option<RolloutState> {
        let fleet = self.fleet.as_ref()?;
        if self.is_withdrawn || self.final_state().is_some() || fleet.is_cut_off() {
            return None;
        }
        if self.verdict == Verdict::Bad || self.order.duration == Span::ZERO {
            return Some(RolloutState::RolledBack);
        }
        if self.is_complete(fleet, now) {
            return Some(RolloutState::Completed);
        }
        if !self.is_before_limit(now) && !self.is_full() && !self.is_age_doubtful(now) {
            return Some(RolloutState::RolledBack);
        }
        match self.order.state() {
            None => Some(RolloutState::Running),
            Some(_) => None,
        }
    }

    /// Returns whether the target carries the load and nothing that must not be lost runs at the old version.
    pub(super) fn is_complete(&self, fleet: &FleetView, now: Time) -> bool {
        if let Some(since) = self.alone_since {
            return now.since(since) >= ALONE_TIME;
        }
        let Some(full_at) = self.full_at else {
            return false;
        };
        let old_runs = self.totals.old_runs(fleet.old_runs, now);
        let age = self.age(now);
        let duration = self.order.duration;
        let is_settled = now.since(full_at) >= SETTLE_TIME && !self.is_rechecking(now);
        let hears_all = fleet.hosts_heard >= fleet.hosts_known;
        if is_settled && self.carries_the_load_well() && hears_all && old_runs.all == 0 {
            return true;
        }
        let is_last_part = age + self.last_part() >= duration;
        let is_last_moment = age + LAST_MOMENT >= duration;
        let is_clear = is_last_moment || (is_settled && !self.is_doubtful());
        (is_last_part && is_clear && old_runs.non_idempotent == 0) || age >= duration
    }

    /// Returns whether the target has answered enough requests since it has the whole load, and nothing looks wrong.
    fn carries_the_load_well(&self) -> bool {
        let totals = self.totals.fleet();
        let late = totals.rows();
        let late = late.filter(|row| comparison::is_of_late_period(row.route));
        let responses: u32 = late.map(|row| row.target.responses).sum();
        f64::from(responses) >= MIN_RESPONSES && !self.is_doubtful()
    }

    /// Returns whether something looks wrong in the full phase.
    fn is_doubtful(&self) -> bool {
        let totals = self.totals.fleet();
        self.is_recheck_incomplete(&totals)
            || comparison::full_evidence(totals.rows(), &self.checked) > DOUBT_EVIDENCE
    }

    /// Returns whether reports have to be sent: the order runs, or the hosts may not all know how it ended.
    pub fn is_active(&self, now: Time) -> bool {
        self.ended_at.is_none_or(|at| now.since(at) < ENDED_TIME)
    }

    /// Returns whether the gate may be removed: the order was completed a while ago, or it was rolled back or withdrawn
    /// and its target is not listed any more.
    pub fn is_over(&self, now: Time) -> bool {
        if self.is_active(now) {
            return false;
        }
        let is_target = |u: &super::UpstreamView| u.side == Side::Target;
        let fleet = self.fleet.as_ref();
        let is_listed = fleet.is_none_or(|f| f.upstreams.iter().any(is_target));
        self.phase(now) == Phase::Completed || !is_listed
    }
}
