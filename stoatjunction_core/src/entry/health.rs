//! Circuit breaker of an upstream, driven by how its runs end. Health reports of the upstream
//! itself are not used.

use crate::time::{Span, Time};

/// Weight of one outcome in the moving failure rate.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Failure rate above which the circuit opens.
const OPEN_THRESHOLD: f64 = 0.55;
/// First interval for which the circuit stays open.
const MIN_OPEN_INTERVAL: Span = Span::from_millis(400);
/// Longest interval for which the circuit stays open; it doubles with each failure in a row.
const MAX_OPEN_INTERVAL: Span = Span::from_millis(3_000);

/// How a run, or the attempt to start one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream responded.
    Success,
    /// The upstream responded with an error.
    Error,
    /// The upstream refused the run although it seemed to have a free slot.
    Shed,
    /// The connection broke, or the bytes were not a valid response.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// Nothing arrived for much longer than forecast.
    TimedOut,
}

impl RunOutcome {
    /// Returns the name of the outcome in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            RunOutcome::Success => "success",
            RunOutcome::Error => "error",
            RunOutcome::Shed => "shed",
            RunOutcome::Broken => "broken",
            RunOutcome::Unreachable => "unreachable",
            RunOutcome::TimedOut => "timed_out",
        }
    }
}

/// Health of an upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    open_until: Time,
    open_interval: Span,
    half_open: bool,
}

impl Health {
    /// Records an outcome.
    pub fn observe(&mut self, outcome: RunOutcome, now: Time) {
        let sample = match outcome {
            RunOutcome::Success => 0.0,
            RunOutcome::Error | RunOutcome::Shed => 1.0,
            RunOutcome::Broken | RunOutcome::TimedOut => 1.6,
            RunOutcome::Unreachable => 3.0,
        };
        self.failure_rate += (sample - self.failure_rate) * SAMPLE_WEIGHT;
        if outcome == RunOutcome::Success {
            self.half_open = false;
            self.open_interval = Span::ZERO;
            return;
        }
        if self.failure_rate > OPEN_THRESHOLD || self.half_open {
            self.open_interval = Span(self.open_interval.0 * 2)
                .max(MIN_OPEN_INTERVAL)
                .min(MAX_OPEN_INTERVAL);
            self.open_until = now + self.open_interval;
            self.half_open = true;
            self.failure_rate = self.failure_rate.min(OPEN_THRESHOLD);
        }
    }

    /// Returns whether the upstream should get no runs.
    pub fn is_circuit_open(&self, now: Time) -> bool {
        now < self.open_until
    }

    /// Returns whether the outcome of the next run decides if the circuit closes.
    pub fn is_half_open(&self) -> bool {
        self.half_open
    }

    /// Returns the recent failure rate.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
