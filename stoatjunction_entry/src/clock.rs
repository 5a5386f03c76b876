//! The daemon's clock. It includes time in which the host was suspended, so that requests that
//! timed out meanwhile are not sent afterwards.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use stoatjunction_core::time::Time;
use tokio::time::Instant;

/// Time before the host was booted at which the clock begins. Other hosts and the store report what happened
/// before then, up to a day ago, and the order of it matters.
const BEFORE_BOOT: Duration = Duration::from_secs(2 * 24 * 3_600);

/// Returns the time since the clock's beginning.
pub fn now() -> Time {
    let since_boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let since_boot = since_boot.map(Duration::from).unwrap_or_default();
    Time((BEFORE_BOOT + since_boot).as_micros() as u64)
}

/// Converts `time` to an instant of the runtime's timers.
pub fn instant(time: Time) -> Instant {
    Instant::now() + Duration::from(now().until(time))
}
