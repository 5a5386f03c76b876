//! Rate limit for calls to the platform's store, since hundreds of changes a second may each cause one.

use crate::time::{Span, Time};

/// Allows a number of calls at once, and one more for each interval since.
#[derive(Clone, Copy, Debug)]
pub struct CallPacing {
    burst: u32,
    allowed: u32,
    /// Time up to which intervals are counted.
    counted_to: Time,
}

impl CallPacing {
    /// Creates a pacing that allows `burst` calls at once.
    pub fn new(burst: u32) -> CallPacing {
        CallPacing {
            burst,
            allowed: burst,
            counted_to: Time::default(),
        }
    }

    /// Returns the number of calls that are allowed now, with one more for each `interval`.
    pub fn allowed(&mut self, interval: Span, now: Time) -> u32 {
        let intervals = now.since(self.counted_to).0 / interval.0.max(1);
        if u64::from(self.burst - self.allowed) <= intervals {
            self.allowed = self.burst;
            self.counted_to = now;
        } else {
            self.allowed += intervals as u32;
            self.counted_to = self.counted_to + Span(interval.0 * intervals);
        }
        self.allowed
    }

    /// Records a call, and returns whether it was allowed.
    pub fn try_call(&mut self, interval: Span, now: Time) -> bool {
        if self.allowed(interval, now) == 0 {
            return false;
        }
        self.allowed -= 1;
        true
    }

    /// Returns the time until the next call is allowed.
    pub fn wait(&mut self, interval: Span, now: Time) -> Span {
        match self.allowed(interval, now) {
            0 => interval - now.since(self.counted_to),
            _ => Span::ZERO,
        }
    }
}
