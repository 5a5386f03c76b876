//! An exponentially decaying rate.

use crate::time::{Span, Time};

/// Rate of recent amounts, which decays exponentially.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecayingRate {
    per_s: f64,
    updated_at: Time,
    time_constant: Span,
}

impl DecayingRate {
    /// Creates a rate of zero that decays with `time_constant`.
    pub fn new(time_constant: Span) -> DecayingRate {
        DecayingRate {
            per_s: 0.0,
            updated_at: Time::default(),
            time_constant,
        }
    }

    /// Records that `amount` arrived at `now`.
    pub fn add(&mut self, amount: f64, now: Time) {
        self.per_s = self.get(now) + amount / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the amount a second, decayed to `now`.
    pub fn get(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.per_s * (-age).exp()
    }
}
