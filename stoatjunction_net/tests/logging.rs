//! The number of log lines per second is limited, and successes are suppressed before failures.

use log::Level;
use stoatjunction_net::logging::LogRateLimiter;

fn allowed(limiter: &LogRateLimiter, level: Level, lines: usize, second: u64) -> usize {
    (0..lines).filter(|_| limiter.allows(level, second)).count()
}

#[test]
fn debug_lines_leave_room_for_info_lines() {
    let limiter = LogRateLimiter::new();

    let debug_lines = allowed(&limiter, Level::Debug, 1_000, 1);
    let info_lines = allowed(&limiter, Level::Info, 1_000, 1);

    assert!(debug_lines > 0);
    assert!(info_lines > debug_lines);
}

#[test]
fn suppressed_lines_are_counted_once() {
    let limiter = LogRateLimiter::new();

    let written = allowed(&limiter, Level::Info, 500, 1);

    assert_eq!(limiter.take_suppressed(), 500 - written as u64);
    assert_eq!(limiter.take_suppressed(), 0);
}

#[test]
fn warnings_are_always_allowed_and_each_second_starts_with_the_full_limit() {
    let limiter = LogRateLimiter::new();
    let first = allowed(&limiter, Level::Info, 500, 1);

    assert_eq!(allowed(&limiter, Level::Warn, 10, 1), 10);
    assert_eq!(allowed(&limiter, Level::Info, 500, 2), first);
}
