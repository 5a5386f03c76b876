//! Monotonic and wall clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stoatjunction_core::time::Time;

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Value of [`Clock::now`] when the clock starts. Not zero, so that earlier times can be represented.
const START_OFFSET: Duration = Duration::from_secs(3_600);

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the current time of the clock.
    pub fn now(&self) -> Time {
        Time((START_OFFSET + self.start.elapsed()).as_micros() as u64)
    }

    /// Converts `time` to an [`Instant`].
    pub fn instant(&self, time: Time) -> Instant {
        let since_start = Duration::from_micros(time.0).saturating_sub(START_OFFSET);
        self.start + since_start
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
