//! Points in time and durations in microseconds, on a clock that the caller provides.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time: microseconds since the start of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Returns the time since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time until `later`, or zero if it has passed.
    pub fn until(self, later: Time) -> Span {
        later.since(self)
    }

    /// Returns this time minus `span`, or zero if it would be negative.
    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// The zero duration.
    pub const ZERO: Span = Span(0);

    /// Returns a span of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms.saturating_mul(1_000))
    }

    /// Returns a span of `secs` seconds, rounded down to microseconds. Negative values give zero.
    pub fn from_secs_f64(secs: f64) -> Span {
        Span((secs.max(0.0) * 1e6) as u64)
    }

    /// Returns the span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl From<Duration> for Span {
    fn from(d: Duration) -> Span {
        Span(d.as_micros() as u64)
    }
}

impl From<Span> for Duration {
    fn from(s: Span) -> Duration {
        Duration::from_micros(s.0)
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub for Span {
    type Output = Span;

    fn sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}
