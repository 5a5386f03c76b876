//! Events that may happen thousands of times a second and of which only some are logged.

use std::time::{Duration, Instant};

/// Interval between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Counts occurrences of one event, of which one line a second may be logged.
#[derive(Debug, Default)]
pub struct Occurrences {
    logged_at: Option<Instant>,
    unlogged: u64,
}

impl Occurrences {
    /// Counts an occurrence at `now`. Returns the number of occurrences since the last line if a line is due.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.unlogged += 1;
        let is_due = self
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LINE_INTERVAL);
        is_due.then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.unlogged)
        })
    }
}
