//! The daemon's clock. It counts the time in which the host was suspended, so that what timed out
//! meanwhile is not sent afterwards.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use stoatjunction_core::time::Time;
use tokio::time::Instant;

/// Time since the host started.
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let since_boot = since_boot.map(Duration::from).unwrap_or_default();
    Time(since_boot.as_micros() as u64)
}

/// The moment of the runtime's timers that `at` stands for.
pub fn instant(at: Time) -> Instant {
    Instant::now() + Duration::from(now().until(at))
}
