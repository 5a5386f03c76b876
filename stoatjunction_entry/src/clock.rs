//! The daemon's clock. It includes time in which the host was suspended, so that requests that
//! timed out meanwhile are not sent afterwards.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use stoatjunction_core::time::Time;
use tokio::time::Instant;

/// Returns the time since the host was booted.
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let since_boot = since_boot.map(Duration::from).unwrap_or_default();
    Time(since_boot.as_micros() as u64)
}

/// Converts `time` to an instant of the runtime's timers.
pub fn instant(time: Time) -> Instant {
    Instant::now() + Duration::from(now().until(time))
}
