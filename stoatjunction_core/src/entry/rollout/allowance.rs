//! How the share of the requests that a bad version may receive is divided between the phases of a rollout.

use super::comparison::RAMP_PERIODS;
use super::order::RolloutBounds;
use super::timing::{CANARY_PART, RAMP_STEP_PART};
use crate::time::Span;

/// Time from the first request of the full phase until all hosts hold the target back if it fails: the responses, the
/// reports between hosts and data centres, and an evaluation. The target has the whole load meanwhile.
const DETECTION_TIME: Span = Span::from_millis(500);
/// Part of the share that is divided; the rest covers the random initial credit of each route.
const DIVIDED_PART: f64 = 0.95;
/// Least part of the share for the canary phase and the ramp, without which they would show nothing. With the
/// time to detection it exceeds a share of 0.1 for durations below 6.7 s.
const MIN_EARLY_PART: f64 = 0.25;
/// Part of what the canary phase and the ramp may use that is for the canary phase.
const CANARY_USE: f64 = 0.6;
/// Shares of the target in the steps of the ramp, in relation to each other.
const RAMP_WEIGHTS: [f64; RAMP_PERIODS as usize] = [1.0, 2.0];
/// Most that the target gets in a step of the ramp.
const MAX_RAMP_SHARE: f64 = 0.5;
/// Requests to the target that a comparison in the full phase needs, and the bounds of the target's share in it.
const RECHECK_REQUESTS: f64 = 40.0;
const RECHECK_SHARES: (f64, f64) = (0.05, 0.5);

/// Part of the slack that the canary phase may use.
const CANARY_SLACK_PART: f64 = 0.3;
/// Part of the bound up to which the share in the canary phase rises for that.
const MAX_CANARY_PART: f64 = 0.8;

/// Shares of the target in the phases of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Shares {
    /// Share in the canary phase.
    pub(super) canary: f64,
    /// Shares in the steps of the ramp.
    pub(super) ramp: [f64; RAMP_PERIODS as usize],
}

/// Returns the shares for an order of this duration, of which a bad version may receive `share` of the requests. What the
/// target receives in the time to detection of the full phase is set aside.
pub(super) fn shares(share: f64, duration: Span) -> Shares {
    let reserved = DETECTION_TIME.as_secs_f64() / duration.as_secs_f64().max(f64::MIN_POSITIVE);
    let early = (DIVIDED_PART * share - reserved).max(MIN_EARLY_PART * share);
    let weights: f64 = RAMP_WEIGHTS.iter().sum();
    let unit = (1.0 - CANARY_USE) * early / (RAMP_STEP_PART * weights);
    Shares {
        canary: CANARY_USE * early / CANARY_PART,
        ramp: RAMP_WEIGHTS.map(|weight| (weight * unit).min(MAX_RAMP_SHARE)),
    }
}

/// Returns the share in the canary phase to which `share` rises in a service with `rate` requests per second: where the
/// slack is many of its requests, a part of it is used for evidence that would be too thin otherwise.
pub(super) fn canary_with_slack(
    share: f64,
    bounds: &RolloutBounds,
    rate: f64,
    duration: Span,
) -> f64 {
    let requests = rate * duration.as_secs_f64() * CANARY_PART;
    let extra = CANARY_SLACK_PART * bounds.slack / requests.max(f64::MIN_POSITIVE);
    (share + extra)
        .min(MAX_CANARY_PART * bounds.share)
        .max(share)
}

/// Returns the share of the target while the versions are compared again for `length`, in a service with `rate` requests
/// per second.
pub(super) fn recheck_share(rate: f64, length: Span) -> f64 {
    let requests = rate * length.as_secs_f64();
    let (least, most) = RECHECK_SHARES;
    (RECHECK_REQUESTS / requests.max(f64::MIN_POSITIVE)).clamp(least, most)
}
