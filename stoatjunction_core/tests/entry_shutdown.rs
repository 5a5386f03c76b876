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
