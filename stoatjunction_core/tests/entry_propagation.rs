//! The parts of the way of a configuration together keep the promise.

use stoatjunction_core::entry::propagation::{PropagationBounds, PropagationTimes};
use stoatjunction_core::time::Span;
use yare::parameterized;

/// Time to drain where it is shortest.
const DRAIN_MS: u64 = 2_000;

fn bounds(in_force_ms: u64, stable_ms: u64) -> PropagationBounds {
    PropagationBounds {
        in_force: Span::from_millis(in_force_ms),
        stable: Span::from_millis(stable_ms),
        drain: Span::from_millis(DRAIN_MS),
    }
}

#[parameterized(
    small = { 2_000, 3_000 },
    grown = { 3_000, 4_000 },
    large = { 4_000, 5_000 },
)]
fn a_dead_connection_to_the_store_is_replaced_within_the_stable_window(
    in_force_ms: u64,
    stable_ms: u64,
) {
    let bounds = bounds(in_force_ms, stable_ms);

    let times = PropagationTimes::new(bounds);

    assert!(times.after_dead_connection() < bounds.stable);
    assert!(times.list_after_dead_connection() < bounds.stable + bounds.drain);
}

#[parameterized(
    eleven_hosts = { 2_000, 3_000, 6 },
    twenty_four_hosts = { 2_000, 3_000, 19 },
    grown = { 3_000, 4_000, 15 },
    large = { 4_000, 5_000, 48 },
)]
fn the_last_host_that_steps_in_brings_the_configuration_in_time(
    in_force_ms: u64,
    stable_ms: u64,
    place: u32,
) {
    let bounds = bounds(in_force_ms, stable_ms);

    let times = PropagationTimes::new(bounds);

    assert!(times.past_silent_followers(place) < bounds.in_force);
}

#[parameterized(
    small = { 2_000, 3_000 },
    grown = { 3_000, 4_000 },
    large = { 4_000, 5_000 },
)]
fn a_host_that_asks_a_frozen_host_has_the_configuration_in_time(in_force_ms: u64, stable_ms: u64) {
    let bounds = bounds(in_force_ms, stable_ms);

    let times = PropagationTimes::new(bounds);

    assert!(times.past_frozen_host() < bounds.in_force);
}
