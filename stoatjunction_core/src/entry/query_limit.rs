//! Bound on the queries that a host answers beside its requests.

use crate::time::{Span, Time};

/// Time between two queries in the long run.
const INTERVAL: Span = Span::from_millis(250);
/// Queries that may come at once.
const BURST: u64 = 4;

/// Limit of queries in a second, as a generic cell rate: the time from which on the next query is on schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueryLimit {
    scheduled_at: Time,
}

impl QueryLimit {
    /// Takes a query.
    ///
    /// # Errors
    ///
    /// The time after which the next query is allowed, when there were too many.
    pub fn try_query(&mut self, now: Time) -> Result<(), Span> {
        let scheduled_at = self.scheduled_at.max(now);
        let tolerance = Span(INTERVAL.0 * (BURST - 1));
        let ahead = now.until(scheduled_at);
        if ahead > tolerance {
            return Err(ahead - tolerance);
        }
        self.scheduled_at = scheduled_at + INTERVAL;
        Ok(())
    }
}
