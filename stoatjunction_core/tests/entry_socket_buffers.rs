//! Buffers of connections follow the memory of a host.

use stoatjunction_core::entry::socket_buffers::{
    MAX_BYTES, MIN_RECEIVE_BYTES, MIN_SEND_BYTES, SocketBuffers,
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
    assert_eq!(SocketBuffers::of(limit_mb), SocketBuffers { receive, send });
}
