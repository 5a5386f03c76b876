//! How much of something comes in a second, of late.

use crate::time::{Span, Time};

/// A rate that forgets what is old.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecayingRate {
    per_s: f64,
    at: Time,
    memory: Span,
}

impl DecayingRate {
    /// A rate of zero that remembers for about `memory`.
    pub fn new(memory: Span) -> DecayingRate {
        DecayingRate {
            per_s: 0.0,
            at: Time::default(),
            memory,
        }
    }

    /// Takes in that `amount` came just now.
    pub fn add(&mut self, amount: f64, now: Time) {
        self.per_s = self.get(now) + amount / self.memory.as_secs_f64();
        self.at = now;
    }

    /// Amount a second.
    pub fn get(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / self.memory.as_secs_f64();
        self.per_s * (-age).exp()
    }
}
