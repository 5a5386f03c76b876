//! What hosts tell each other of a rollout, and what survives the loss of all of them.

use super::evidence::EvidenceReport;
use super::moment::Moment;
use super::order::Progress;
use super::state::Rollout;
use super::timing::CANARY_PART;
use super::verdict::{Verdict, VerdictReason};
use crate::time::Time;

impl Rollout {
    /// Merges a report of another host or of a data centre's relay. One of another order is ignored.
    pub fn merge(&mut self, report: &EvidenceReport, now: Time) {
        if report.order != self.id() || report.reporter == self.totals.reporter() {
            return;
        }
        self.totals.merge(report, now);
        if report.verdict == Verdict::Bad {
            self.set_bad(VerdictReason::Reported);
        }
        // A host with a wrong age may report a ramp that has not begun.
        let is_canary_over = self.age(now) >= self.part_of_duration(0.9 * CANARY_PART);
        if self.verdict != Verdict::Bad
            && is_canary_over
            && let Some(ramp_age) = report.ramp_age
        {
            let ramp_at = Moment::before(now, ramp_age);
            self.verdict = Verdict::Good;
            self.ramp_at = Some(self.ramp_at.map_or(ramp_at, |at| at.min(ramp_at)));
        }
    }

    /// Returns whether a report has to be sent before the next full heartbeat: this host has seen the first bad response
    /// of the full phase, in which the target has the whole load until the hosts know of enough of them.
    pub fn take_urgent_report(&mut self) -> bool {
        let is_urgent = self.urgent_report == Some(true);
        self.urgent_report = self.urgent_report.map(|_| false);
        is_urgent
    }

    /// Returns the report of this host.
    pub fn report(&self, now: Time) -> EvidenceReport {
        self.report_of(false, now)
    }

    /// Returns the report of this host for its whole data centre. It is sent to the other data centres, and may be
    /// sent to the hosts of its own, so that a later relay goes on from its totals.
    pub fn relayed_report(&self, now: Time) -> EvidenceReport {
        self.report_of(true, now)
    }

    pub(super) fn report_of(&self, is_sum: bool, now: Time) -> EvidenceReport {
        let own_runs = self.fleet.as_ref().map(|f| f.old_runs);
        let (counts, unanswered, old_runs) =
            self.totals
                .reported(is_sum, own_runs.unwrap_or_default(), now);
        EvidenceReport {
            reporter: self.totals.reporter(),
            is_sum,
            sequence: now.0,
            order: self.id(),
            age: self.age(now),
            verdict: self.verdict,
            ramp_age: self.ramp_at.map(|at| at.age(now)),
            old_runs,
            counts,
            unanswered,
        }
    }

    /// Returns what must survive the loss of all hosts.
    pub fn progress(&self, now: Time) -> Progress {
        let (target, _) = self.totals();
        let bad = u64::from(target.failures) + u64::from(target.slow);
        Progress {
            created: self.order.created,
            target: self.order.target.clone(),
            age: self.age(now),
            answers: u64::from(target.responses) + self.earlier.0,
            bad: bad + self.earlier.1,
            verdict: self.verdict,
        }
    }

    /// Restores what was stored before all hosts were lost. Progress of another order is ignored.
    pub fn restore(&mut self, progress: &Progress, now: Time) {
        if (progress.created, &progress.target) != (self.order.created, &self.order.target) {
            return;
        }
        let start = Moment::before(now, progress.age.min(self.order.duration));
        if start < self.started_at {
            self.started_at = start;
            self.restored_at = Some(now);
        }
        let (target, _) = self.totals();
        let bad = u64::from(target.failures) + u64::from(target.slow);
        let answers = u64::from(target.responses);
        self.earlier = (
            self.earlier.0.max(progress.answers.saturating_sub(answers)),
            self.earlier.1.max(progress.bad.saturating_sub(bad)),
        );
        match progress.verdict {
            Verdict::Bad => self.set_bad(VerdictReason::Reported),
            Verdict::Good if self.verdict == Verdict::Open => self.verdict = Verdict::Good,
            Verdict::Good | Verdict::Open => {}
        }
    }
}
