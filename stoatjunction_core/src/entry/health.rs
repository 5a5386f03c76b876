//! Judging an upstream by how its runs end. Its own word on its health is not asked.

use crate::time::{Span, Time};

/// Weight of one outcome in the share of failures.
const WEIGHT: f64 = 0.2;
/// Share of failures from which an upstream is avoided.
const BAD: f64 = 0.55;
/// First pause before an avoided upstream is tried again.
const PAUSE: Span = Span::from_millis(400);
/// Longest pause.
const MAX_PAUSE: Span = Span::from_millis(3_000);

/// How a run, or the attempt at one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With an answer of the upstream's own.
    Success,
    /// With an error of the upstream's own.
    Error,
    /// Refused though it had room.
    Shed,
    /// Broken off, or with bytes that are no answer.
    Broken,
    /// No connection.
    Unreachable,
    /// Nothing came for much longer than forecast.
    Silent,
}

/// What is known of an upstream's soundness.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: f64,
    open_until: Time,
    pause: Span,
    half_open: bool,
}

impl Health {
    /// Takes in an outcome.
    pub fn observe(&mut self, outcome: RunOutcome, now: Time) {
        let sample = match outcome {
            RunOutcome::Success => 0.0,
            RunOutcome::Error | RunOutcome::Shed => 1.0,
            RunOutcome::Broken | RunOutcome::Silent => 1.6,
            RunOutcome::Unreachable => 3.0,
        };
        self.failures += (sample - self.failures) * WEIGHT;
        if outcome == RunOutcome::Success {
            self.half_open = false;
            self.pause = Span::ZERO;
            return;
        }
        if self.failures > BAD || self.half_open {
            self.pause = Span(self.pause.0 * 2).max(PAUSE).min(MAX_PAUSE);
            self.open_until = now + self.pause;
            self.half_open = true;
            self.failures = self.failures.min(BAD);
        }
    }

    /// True while the upstream is better left alone.
    pub fn is_circuit_open(&self, now: Time) -> bool {
        now < self.open_until
    }

    /// True when the next run decides whether the upstream is sound again.
    pub fn is_half_open(&self) -> bool {
        self.half_open
    }

    /// Share of failures of late.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
