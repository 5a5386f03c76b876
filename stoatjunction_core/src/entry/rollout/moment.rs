//! Points in time that may lie before the start of this host's clock.

use crate::time::{Span, Time};

/// A point in time in microseconds on this host's clock, negative before its start: an order may be older than the host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(i64);

impl Moment {
    /// Returns the point in time `age` before `now`.
    pub(super) fn before(now: Time, age: Span) -> Moment {
        Moment(signed(now.0).saturating_sub(signed(age.0)))
    }

    /// Returns the time that has passed at `now`.
    pub(super) fn age(self, now: Time) -> Span {
        Span(u64::try_from(signed(now.0).saturating_sub(self.0)).unwrap_or(0))
    }

    /// Returns the point in time `span` later.
    pub(super) fn plus(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(signed(span.0)))
    }
}

impl From<Time> for Moment {
    fn from(time: Time) -> Moment {
        Moment(signed(time.0))
    }
}

fn signed(micros: u64) -> i64 {
    i64::try_from(micros).unwrap_or(i64::MAX)
}
