//! Points in time and spans, in microseconds of a clock the caller chooses.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in time: microseconds since the start of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// A length of time in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Time passed since `earlier`, or zero when `earlier` lies ahead.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`, or zero when it has passed.
    pub fn until(self, later: Time) -> Span {
        later.since(self)
    }

    /// This time moved back by `span`, not before zero.
    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    /// A span of zero length.
    pub const ZERO: Span = Span(0);

    /// A span of `ms` milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    /// A span of `secs` seconds, rounded down to whole microseconds; negative values give zero.
    pub fn from_secs_f64(secs: f64) -> Span {
        Span((secs.max(0.0) * 1e6) as u64)
    }

    /// The span in whole milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The span in seconds.
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
