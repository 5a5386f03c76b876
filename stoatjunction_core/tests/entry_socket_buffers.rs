//! Buffers of connections fit in the memory of a host.

use stoatjunction_core::entry::socket_buffers::{MAX_BUFFER_BYTES, MIN_BUFFER_BYTES, buffer_bytes};
use yare::parameterized;

#[parameterized(
    unlimited = { None, MAX_BUFFER_BYTES },
    tiny = { Some(16), MIN_BUFFER_BYTES },
    small = { Some(88), 45_056 },
    large = { Some(260), MAX_BUFFER_BYTES },
    out_of_range = { Some(u64::MAX), MAX_BUFFER_BYTES },
)]
fn a_buffer_follows_the_memory_of_the_process(limit_mb: Option<u64>, expected: usize) {
    assert_eq!(buffer_bytes(limit_mb), expected);
}

#[parameterized(small = { 88 }, of_a_platform = { 110 }, large = { 260 })]
fn full_buffers_of_many_connections_take_half_of_the_memory_at_most(limit_mb: u64) {
    let limit = limit_mb as usize * (1 << 20);

    // The kernel takes twice what it is asked for, for 256 upstreams and as many callers.
    let taken = 2 * 256 * 2 * buffer_bytes(Some(limit_mb));

    assert!(taken <= limit / 2, "{taken}");
}
