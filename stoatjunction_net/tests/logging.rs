//! The number of log lines a second is bounded, failures before successes.

use log::Level;
use stoatjunction_net::logging::LogRateLimiter;

fn admitted(budget: &LogRateLimiter, level: Level, lines: usize, second: u64) -> usize {
    (0..lines).filter(|_| budget.allows(level, second)).count()
}

#[test]
fn details_leave_room_for_failures() {
    let budget = LogRateLimiter::new();

    let details = admitted(&budget, Level::Debug, 1_000, 1);
    let failures = admitted(&budget, Level::Info, 1_000, 1);

    assert!(details > 0);
    assert!(failures > details);
}

#[test]
fn what_is_left_out_is_counted_once() {
    let budget = LogRateLimiter::new();

    let written = admitted(&budget, Level::Info, 500, 1);

    assert_eq!(budget.take_suppressed(), 500 - written as u64);
    assert_eq!(budget.take_suppressed(), 0);
}

#[test]
fn warnings_are_always_written_and_each_second_begins_anew() {
    let budget = LogRateLimiter::new();
    let first = admitted(&budget, Level::Info, 500, 1);

    assert_eq!(admitted(&budget, Level::Warn, 10, 1), 10);
    assert_eq!(admitted(&budget, Level::Info, 500, 2), first);
}
