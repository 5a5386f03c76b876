//! The pace that an upstream states: how long work takes on its machine at this moment, and how far the statements
//! are trusted, as learned from the runs that completed under them.

use crate::time::{Span, Time};

/// The usual pace; twice the number means that work takes twice as long.
pub const USUAL_PACE: u32 = 100;
/// Bounds to which a stated pace is clamped.
const PACE_BOUNDS: (u32, u32) = (25, 800);
/// Stated values above this are ignored: they are errors, not slow machines.
const MAX_PLAUSIBLE_PACE: u32 = 10_000;
/// Time for which a stated pace applies in full.
const FRESH_TIME: Span = Span::from_millis(300);
/// Time after that in which it decays to the usual pace.
const DECAY_TIME: Span = Span::from_millis(1_000);
/// Trust in an upstream whose statements have not been compared with any run.
const INITIAL_TRUST: f64 = 0.8;
/// Weight of the initial trust, in units of the squared logarithm of a pace: about one run at pace 270.
const INITIAL_WEIGHT: f64 = 1.0;
/// Weight that past comparisons keep with each new one.
const KEPT_WEIGHT: f64 = 0.9;
/// Least distance from the usual pace, as a logarithm, at which a run shows whether the statement was right.
const MIN_LOG_PACE: f64 = 0.2;
/// Weight of one run in the time that runs take at the usual pace.
const USUAL_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of own comparisons below which the trust that another host has learned is used.
const MIN_OWN_WEIGHT: f64 = 1.5;

/// Pace of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedPace {
    /// Logarithm of the last stated pace relative to the usual one, and when it was stated.
    last: Option<(f64, Time)>,
    /// Sums of a regression through the origin of how much longer runs took (y) over the stated pace (x), as logarithms.
    xx: f64,
    xy: f64,
    /// Mean logarithm of the time of runs, relative to the forecast of the pool, at the usual pace.
    usual: Option<f64>,
    /// Trust that another host has learned.
    peer_trust: Option<f64>,
}

/// Returns the pace that applies for a stated one; `None` if it cannot be meant.
pub(super) fn plausible_pace(pace: u32) -> Option<u32> {
    let is_plausible = (1..=MAX_PLAUSIBLE_PACE).contains(&pace);
    is_plausible.then(|| pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1))
}

impl StatedPace {
    /// Records a pace stated at `at`, unless a later one is known.
    pub(super) fn state(&mut self, pace: u32, at: Time) {
        let Some(pace) = plausible_pace(pace) else {
            return;
        };
        if self.last.is_none_or(|(_, last)| at >= last) {
            let log = (f64::from(pace) / f64::from(USUAL_PACE)).ln();
            self.last = Some((log, at));
        }
    }

    /// Returns the stated pace while it is fresh, and its age.
    pub(super) fn fresh(&self, now: Time) -> Option<(u32, Span)> {
        let (log, at) = self.last?;
        let age = now.since(at);
        let pace = (log.exp() * f64::from(USUAL_PACE)).round() as u32;
        (age <= FRESH_TIME).then_some((pace, age))
    }

    /// Returns the factor on the time of a run that starts now.
    pub(super) fn factor(&self, now: Time) -> f64 {
        (self.trust() * self.log(now)).exp()
    }

    /// Returns how far the statements are trusted, from 0 to 1.
    pub(super) fn trust(&self) -> f64 {
        if self.xx < MIN_OWN_WEIGHT
            && let Some(trust) = self.peer_trust
        {
            return trust;
        }
        let trust = (self.xy + INITIAL_TRUST * INITIAL_WEIGHT) / (self.xx + INITIAL_WEIGHT);
        trust.clamp(0.0, 1.0)
    }

    /// Returns the trust that this host has learned from runs of its own, if there were enough of them.
    pub(super) fn own_trust(&self) -> Option<f64> {
        (self.xx >= MIN_OWN_WEIGHT).then(|| self.trust())
    }

    /// Records the trust that another host has learned.
    pub(super) fn set_peer_trust(&mut self, trust: f64) {
        self.peer_trust = Some(trust.clamp(0.0, 1.0));
    }

    /// Returns the logarithm of the pace that applies now relative to the usual one, before trust.
    pub(super) fn log(&self, now: Time) -> f64 {
        let Some((log, at)) = self.last else {
            return 0.0;
        };
        let stale = now.since(at + FRESH_TIME).as_secs_f64() / DECAY_TIME.as_secs_f64();
        log * (1.0 - stale).max(0.0)
    }

    /// Returns the factors on the time of a run that began at the pace `log`, as returned by [`StatedPace::log`], and
    /// ends now: the mean and the highest.
    pub(super) fn run_factors(&self, log: f64, now: Time) -> (f64, f64) {
        let end = self.log(now);
        let factor = |log: f64| (self.trust() * log).exp();
        (factor((log + end) / 2.0), factor(log.max(end)))
    }

    /// Compares the stated pace with the time of a run that began at the pace `log` and completed now: `ratio` is that
    /// time relative to the forecast of the pool. The mean of both paces is compared also where the first one had
    /// decayed: else an upstream that gets runs only once its last statement has decayed would never be found out.
    pub(super) fn observe(&mut self, ratio: f64, log: f64, now: Time) {
        let x = (self.log(now) + log) / 2.0;
        let took = ratio.max(f64::MIN_POSITIVE).ln();
        if x.abs() < MIN_LOG_PACE {
            let usual = self.usual.get_or_insert(took);
            *usual += (took - *usual) * USUAL_SAMPLE_WEIGHT;
            return;
        }
        // An upstream that never states the usual pace is compared with the rest of its pool.
        let y = took - self.usual.unwrap_or(0.0);
        self.xx = self.xx * KEPT_WEIGHT + x * x;
        self.xy = self.xy * KEPT_WEIGHT + x * y;
    }
}
