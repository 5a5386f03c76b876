//! Verdict on the target version of a rollout, from the counts of all hosts.

use serde::{Deserialize, Serialize};

use super::comparison::{self, Cell, Measure};
use super::evidence::Side;
use super::phase::UpstreamView;
use super::totals::Totals;

/// Logarithm of the e-value above which a version is bad: 1 in 5,000 for each of the measures.
const BAD_EVIDENCE: f64 = 8.5;
/// The same once [`MANY_BAD`] responses of the target are bad, as the rollback must follow soon, and once something looked
/// wrong in the full phase: that is evidence too, and hardly any requests are left to the target.
const LOW_BAD_EVIDENCE: f64 = 6.0;
/// Bad responses of the target from which on the lower threshold applies.
const MANY_BAD: u64 = 30;
/// Logarithm of the e-value above which a version is suspect: the canary phase is extended then.
const SUSPECT_EVIDENCE: f64 = 3.0;
/// Time slots with unanswered runs that an upstream of a bad version has at least; a crash or a pause has fewer.
const MIN_UNANSWERED_TIMES: u32 = 3;
/// Least sum of such time slots over the upstreams.
const MIN_UNANSWERED: u32 = 6;
/// Least ratio of the mean speeds of the versions' upstreams at which the target is too slow.
const MIN_SLOWDOWN_RATIO: f64 = 1.8;
/// Standard errors by which the mean slowdown of the target's upstreams is above that of the others.
const SLOWDOWN_ERRORS: f64 = 3.4;
/// Least standard deviation of the logarithms of the slowdowns of upstreams of one version: their speeds are between
/// 0.55 and 2.8.
const MIN_SLOWDOWN_DEVIATION: f64 = 0.5;

/// Verdict on a target version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Not known yet.
    #[default]
    Open,
    /// Nothing speaks against the version after the canary phase.
    Good,
    /// The version is worse than the others.
    Bad,
}

impl Verdict {
    /// Returns the name of the verdict in logs and in the store.
    pub const fn label(self) -> &'static str {
        match self {
            Verdict::Open => "open",
            Verdict::Good => "good",
            Verdict::Bad => "bad",
        }
    }
}

/// Why a version is bad, or why the order is rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictReason {
    /// More failures than the other versions.
    Failures,
    /// More slow responses than the other versions.
    SlowResponses,
    /// Slower upstreams than those of the other versions.
    SlowUpstreams,
    /// Runs without a response at most of its upstreams.
    NoResponses,
    /// Another host, or the store, says so.
    Reported,
    /// The order has no valid duration.
    InvalidDuration,
    /// The time limit passed before the target carried the load.
    TimeLimit,
    /// The order was withdrawn.
    Withdrawn,
}

impl VerdictReason {
    /// Returns the name of the reason in logs.
    pub const fn label(self) -> &'static str {
        match self {
            VerdictReason::Failures => "failures",
            VerdictReason::SlowResponses => "slow_responses",
            VerdictReason::SlowUpstreams => "slow_upstreams",
            VerdictReason::NoResponses => "no_responses",
            VerdictReason::Reported => "reported",
            VerdictReason::InvalidDuration => "invalid_duration",
            VerdictReason::TimeLimit => "time_limit",
            VerdictReason::Withdrawn => "withdrawn",
        }
    }
}

/// What the evidence says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The version is bad.
    Bad(VerdictReason),
    /// More evidence may show that it is bad.
    Suspect,
    /// The evidence does not show that it is worse.
    Nothing,
}

/// Evidence to assess.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence<'a> {
    /// Totals of the fleet.
    pub(super) totals: &'a Totals,
    /// Bad responses of the target before all hosts were lost.
    pub(super) earlier_bad: u64,
    /// Upstreams of the service.
    pub(super) upstreams: &'a [UpstreamView],
    /// Upstreams of the target and of the others that got requests, times the number of time slots.
    pub(super) upstream_times: (f64, f64),
    /// True once the versions were compared again in the full phase.
    pub(super) is_rechecked: bool,
    /// Upstreams of the target that get requests.
    pub(super) target_upstreams: usize,
}

/// Assesses the target version.
pub(super) fn assess(evidence: &Evidence<'_>) -> Finding {
    let (target, _) = evidence.totals.sums();
    let bad = u64::from(target.failures) + u64::from(target.slow) + evidence.earlier_bad;
    let threshold = match bad >= MANY_BAD || evidence.is_rechecked {
        true => LOW_BAD_EVIDENCE,
        false => BAD_EVIDENCE,
    };
    let failures = comparison::evidence(evidence.totals.rows(), Measure::Failures);
    if failures > threshold {
        return Finding::Bad(VerdictReason::Failures);
    }
    let slow = comparison::evidence(evidence.totals.rows(), Measure::SlowResponses);
    if slow > threshold {
        return Finding::Bad(VerdictReason::SlowResponses);
    }
    if has_no_responses(evidence) {
        return Finding::Bad(VerdictReason::NoResponses);
    }
    if has_slow_upstreams(evidence.upstreams) {
        return Finding::Bad(VerdictReason::SlowUpstreams);
    }
    match failures.max(slow) > SUSPECT_EVIDENCE {
        true => Finding::Suspect,
        false => Finding::Nothing,
    }
}

/// Returns whether runs get no response at most of the target's upstreams, again and again, and more often than at the
/// others.
fn has_no_responses(evidence: &Evidence<'_>) -> bool {
    let (mut affected, mut times, mut other_times) = (0, 0, 0);
    for upstream in evidence.totals.unanswered() {
        let count = upstream.times.count_ones();
        match upstream.side {
            Side::Target => {
                affected += usize::from(count >= MIN_UNANSWERED_TIMES);
                times += count;
            }
            Side::Other => other_times += count,
        }
    }
    let most = evidence.target_upstreams.div_ceil(2).max(2);
    if affected < most || times < MIN_UNANSWERED {
        return false;
    }
    let (times, other_times) = (f64::from(times), f64::from(other_times));
    let cell = Cell {
        target: (evidence.upstream_times.0.max(times), times),
        others: (evidence.upstream_times.1.max(other_times), other_times),
    };
    comparison::cell_evidence(&cell, 2.0, 0.0) > BAD_EVIDENCE
}

/// Returns whether the target's upstreams are slower than the others by more than the speeds of machines differ.
fn has_slow_upstreams(upstreams: &[UpstreamView]) -> bool {
    let logs = |side: Side| -> Vec<f64> {
        let of_side = upstreams.iter().filter(|u| u.side == side);
        of_side.filter_map(|u| u.slowdown).map(f64::ln).collect()
    };
    let (target, others) = (logs(Side::Target), logs(Side::Other));
    if target.len() < 2 || others.len() < 2 {
        return false;
    }
    let mean = |logs: &[f64]| logs.iter().sum::<f64>() / logs.len() as f64;
    let squares = |logs: &[f64]| {
        let mean = mean(logs);
        logs.iter().map(|l| (l - mean).powi(2)).sum::<f64>()
    };
    let (n, m) = (target.len() as f64, others.len() as f64);
    let deviation = ((squares(&target) + squares(&others)) / (n + m - 2.0)).sqrt();
    let error = deviation.max(MIN_SLOWDOWN_DEVIATION) * (1.0 / n + 1.0 / m).sqrt();
    let difference = mean(&target) - mean(&others);
    difference > MIN_SLOWDOWN_RATIO.ln() && difference > SLOWDOWN_ERRORS * error
}
