//! Times of the phases of a rollout, as parts of its duration.

use super::comparison::RAMP_PERIODS;
use super::moment::Moment;
use super::state::Rollout;
use super::verdict::Verdict;
use crate::time::{Span, Time};

/// Part of the duration after which the canary phase ends.
pub(super) const CANARY_PART: f64 = 0.6;
/// Least part of the duration for which the target gets requests in the canary phase: it may be listed late.
const MIN_CANARY_PART: f64 = 0.25;
/// Part of the duration until which the canary phase is extended while the target is suspect.
const SUSPECT_PART: f64 = 0.75;
/// Part of the duration for which each step of the ramp lasts.
pub(super) const RAMP_STEP_PART: f64 = 0.06;
/// Part of the duration, at its end, in which the order is completed although runs at the old version remain, and the
/// least length of that part.
const LAST_PART: (f64, Span) = (0.08, Span::from_millis(1_000));
/// Time after a restart in which a host that has the order's age from a wall clock decides nothing by age.
const AGE_DOUBT: Span = Span::from_millis(1_000);
/// Responses of the target after which it may be good.
pub(super) const MIN_RESPONSES: f64 = 20.0;

impl Rollout {
    pub(super) fn part_of_duration(&self, part: f64) -> Span {
        Span::from_secs_f64(self.order.duration.as_secs_f64() * part)
    }

    /// Returns whether the versions are being compared again.
    pub(super) fn is_rechecking(&self, now: Time) -> bool {
        self.rechecks.last().is_some_and(|(_, until)| now < *until)
    }

    /// Returns whether the target has had requests for long enough. One that is listed too late is not ramped up.
    pub(super) fn is_canary_over(&self, is_suspect: bool, now: Time) -> bool {
        let end = match is_suspect {
            true => SUSPECT_PART,
            false => CANARY_PART,
        };
        let age = self.age(now);
        let seen = self.target_seen_at.map_or(Span::ZERO, |at| now.since(at));
        let is_known = self.verdict == Verdict::Good || self.earlier.0 as f64 >= MIN_RESPONSES;
        let is_seen = is_known || seen >= self.part_of_duration(MIN_CANARY_PART);
        let is_in_time = age + self.last_part() < self.order.duration;
        age >= self.part_of_duration(end) && is_seen && (is_in_time || is_known)
    }

    /// Returns the time at which a ramp that began at `ramp_at` ends: it is shortened if it began late.
    pub(super) fn ramp_end(&self, ramp_at: Moment) -> Moment {
        let length = self.part_of_duration(RAMP_STEP_PART * f64::from(RAMP_PERIODS));
        let end = ramp_at.plus(length);
        let last = self.started_at.plus(self.order.duration - self.last_part());
        end.min(last.max(ramp_at))
    }

    /// Returns the step of a ramp that began at `ramp_at`.
    pub(super) fn ramp_step(&self, ramp_at: Moment, now: Time) -> usize {
        let length = self.part_of_duration(RAMP_STEP_PART).0.max(1);
        let step = ramp_at.age(now).0 / length;
        let last = RAMP_PERIODS as usize - 1;
        usize::try_from(step).map_or(last, |s| s.min(last))
    }

    pub(super) fn last_part(&self) -> Span {
        let (part, least) = LAST_PART;
        self.part_of_duration(part).max(least)
    }

    pub(super) fn is_before_limit(&self, now: Time) -> bool {
        self.age(now) < self.order.duration
    }

    /// Returns whether the age was read from the store so lately that other hosts may not have confirmed it yet.
    pub(super) fn is_age_doubtful(&self, now: Time) -> bool {
        self.restored_at.is_some_and(|at| now.since(at) < AGE_DOUBT)
    }
}
