//! Buffers of connections follow the memory of a host.

use stoatjunction_core::entry::caller_limit::max_callers;
use stoatjunction_core::entry::socket_buffers::{
    MAX_BYTES, MAX_READ_BYTES, MAX_WAITING, MIN_READ_BYTES, MIN_RECEIVE_BYTES, MIN_SEND_BYTES,
    MIN_WAITING, SocketBuffers, max_waiting, upstream_read_bytes,
};
use yare::parameterized;

#[parameterized(
    unlimited = { None, MAX_BYTES, MAX_BYTES },
    tiny = { Some(16), MIN_RECEIVE_BYTES, MIN_SEND_BYTES },
    small = { Some(88), MIN_RECEIVE_BYTES, 22_528 },
    larger = { Some(160), 81_920, 40_960 },
    large = { Some(512), MAX_BYTES, MAX_BYTES },
    out_of_range = { Some(u64::MAX), MAX_BYTES, MAX_BYTES },
)]
fn buffers_follow_the_memory_of_the_process(limit_mb: Option<u64>, receive: usize, send: usize) {
    let buffers = SocketBuffers::of_upstreams(limit_mb);

    assert_eq!(buffers, SocketBuffers { receive, send });
}

#[parameterized(
    unlimited = { None },
    tiny = { Some(16) },
    small = { Some(88) },
    large = { Some(512) },
)]
fn buffers_of_all_callers_fit_in_the_memory_of_the_process(limit_mb: Option<u64>) {
    let buffers = SocketBuffers::of_callers(limit_mb);

    let all = max_callers(limit_mb) * (buffers.receive + buffers.send);
    let limit = limit_mb.map_or(usize::MAX, |mb| mb as usize * (1 << 20));
    assert!(all <= limit / 2, "{all} of {limit}");
}

/// Guards against callers that fill a host before it accepts their connections.
#[parameterized(
    unlimited = { None, MAX_WAITING },
    tiny = { Some(16), MIN_WAITING },
    small = { Some(88), 88 },
    large = { Some(512), 512 },
    out_of_range = { Some(u64::MAX), MAX_WAITING },
)]
fn connections_that_wait_follow_the_memory_of_the_process(limit_mb: Option<u64>, expected: usize) {
    assert_eq!(max_waiting(limit_mb), expected);
}

#[parameterized(
    unlimited = { None, MAX_READ_BYTES },
    tiny = { Some(16), MIN_READ_BYTES },
    small = { Some(88), MIN_READ_BYTES },
    larger = { Some(160), 26_214 },
    large = { Some(512), MAX_READ_BYTES },
)]
fn buffers_for_responses_follow_the_memory_of_the_process(limit_mb: Option<u64>, expected: usize) {
    assert_eq!(upstream_read_bytes(limit_mb), expected);
}
