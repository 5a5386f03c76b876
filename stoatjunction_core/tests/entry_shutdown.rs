//! Which requests a stopping host still takes.

use stoatjunction_core::entry::shutdown::Shutdown;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const SIGNAL: Time = Time(60_000_000);

fn after(ms: u64) -> Time {
    SIGNAL + Span::from_millis(ms)
}

#[parameterized(
    stream_at_once = { 0, 15_000, true },
    stream_while_the_balancer_sends = { 2_700, 15_000, true },
    stream_that_would_be_cut = { 3_000, 15_000, false },
    call_that_ends_in_time = { 3_000, 3_000, true },
    call_that_might_not = { 5_000, 3_000, false },
)]
fn a_stopping_host_takes_no_request_late_that_it_might_abort(
    arrives_ms: u64,
    time_limit_ms: u64,
    taken: bool,
) {
    let shutdown = Shutdown {
        began_at: SIGNAL,
        aborts_at: after(7_600),
    };

    let takes = shutdown.takes(after(arrives_ms + time_limit_ms), after(arrives_ms));

    assert_eq!(takes, taken);
}

#[parameterized(
    usual = { 8_000, 2_800, 3_000, 3_750, 7_500 },
    short = { 3_000, 1_500, 1_500, 1_500, 2_500 },
    shorter_than_the_balancer_takes = { 1_000, 300, 300, 300, 500 },
)]
fn a_stopping_host_leaves_time_for_answers_before_it_is_killed(
    grace_ms: u64,
    takes_until: u64,
    accepts_until: u64,
    sends_until: u64,
    aborts_at: u64,
) {
    let shutdown = Shutdown::new(SIGNAL, Span::from_millis(grace_ms));

    let long = after(20_000);
    assert!(shutdown.takes(long, after(takes_until - 1)));
    assert!(!shutdown.takes(long, after(takes_until)));
    assert_eq!(shutdown.accepts_until(), after(accepts_until));
    assert_eq!(shutdown.sends_until(long), Some(after(sends_until)));
    assert_eq!(shutdown.sends_until(after(aborts_at)), None);
    assert_eq!(shutdown.aborts_at, after(aborts_at));
    assert!(shutdown.ends_at() > shutdown.aborts_at);
    assert!(shutdown.ends_at() < after(grace_ms));
}
