//! When a host takes itself to be cut off from the upstreams of a service.

use stoatjunction_core::entry::reachability::Reachability;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::default() + Span::from_millis(ms)
}

#[parameterized(
    one_upstream_again_and_again = { &[1, 1, 1, 1], 12, false },
    two_upstreams = { &[1, 2], 12, true },
    the_only_upstream = { &[1], 1, true },
)]
fn a_host_is_cut_off_when_several_upstreams_in_a_row_cannot_be_reached(
    failed: &[u64],
    listed: usize,
    is_cut_off: bool,
) {
    let mut reachability = Reachability::default();

    for upstream in failed {
        reachability.record_failed(*upstream, listed, at(0));
    }

    assert_eq!(reachability.is_cut_off(), is_cut_off);
}

#[test]
fn an_upstream_that_was_reached_in_between_ends_the_row() {
    let mut reachability = Reachability::default();

    reachability.record_failed(1, 12, at(0));
    reachability.record_opened(at(1));
    reachability.record_failed(2, 12, at(2));

    assert!(!reachability.is_cut_off());
}

#[test]
fn failures_that_are_far_apart_are_no_row() {
    let mut reachability = Reachability::default();

    reachability.record_failed(1, 12, at(0));
    reachability.record_failed(2, 12, at(60_000));

    assert!(!reachability.is_cut_off());
}

#[test]
fn the_begin_and_the_end_are_told_once() {
    let mut reachability = Reachability::default();

    let begins = [1, 2, 3].map(|upstream| reachability.record_failed(upstream, 12, at(100)));
    let ends = [300, 400].map(|ms| reachability.record_opened(at(ms)));

    assert_eq!(begins, [false, true, false]);
    assert_eq!(ends, [Some(Span::from_millis(200)), None]);
}
