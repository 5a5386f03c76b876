//! How much the kernel may hold for a connection. What it has received and the process has not read counts as memory of the
//! process, as may what was written and the peer has not taken.

use crate::entry::caller_limit::max_callers;

/// Connections to upstreams whose buffers are full at once. They are as many as requests run.
const FULL_UPSTREAM_CONNECTIONS: usize = 256;
/// Parts of the memory limit that full buffers of one direction may take on either side, as divisors. The kernel takes twice
/// what it is asked for, mostly for its own records.
const RECEIVE_DIVISOR: usize = 8;
const SEND_DIVISOR: usize = 16;
/// The largest buffer in bytes, also if the settings name no limit.
pub const MAX_BYTES: usize = 128 << 10;
/// The smallest receive buffer in bytes: a window of two segments of the loopback device. With a smaller one, each segment
/// waits for a timer of the kernel.
pub const MIN_RECEIVE_BYTES: usize = 64 << 10;
/// The smallest send buffer in bytes.
pub const MIN_SEND_BYTES: usize = 16 << 10;

/// Part of the memory limit that connections may take which wait to be accepted, as a divisor. They wait while the process stands
/// still, and what callers send meanwhile counts as memory of the process.
const WAITING_DIVISOR: usize = 8;
/// The fewest connections that may wait to be accepted: callers come back together after a fault.
pub const MIN_WAITING: usize = 64;
/// The most of them.
pub const MAX_WAITING: usize = 1_024;
/// What the kernel takes for a buffer, as a multiple of what it is asked for.
const KERNEL_FACTOR: usize = 2;

/// Part of the memory limit that the buffers take into which upstreams' responses are read, as a divisor. The HTTP library holds a
/// few of them for a response that waits for its caller.
const READ_DIVISOR: usize = 5;
const READ_COPIES: usize = 5;
/// The smallest of these buffers in bytes. It bounds the head of a response, which may be as large as that of a request.
pub const MIN_READ_BYTES: usize = 16 << 10;
/// The largest of these buffers in bytes.
pub const MAX_READ_BYTES: usize = 64 << 10;

/// Returns the size in bytes of the buffer into which the responses on a connection to an upstream are read.
pub fn upstream_read_bytes(memory_limit_mb: Option<u64>) -> usize {
    let all = limit_bytes(memory_limit_mb) / READ_DIVISOR;
    let each = all / READ_COPIES / FULL_UPSTREAM_CONNECTIONS;
    each.clamp(MIN_READ_BYTES, MAX_READ_BYTES)
}

/// Sizes in bytes to ask the kernel for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBuffers {
    /// Bytes that were received and not read.
    pub receive: usize,
    /// Bytes that were written and not acknowledged.
    pub send: usize,
}

impl SocketBuffers {
    /// Returns the sizes for connections to upstreams of a process whose memory is limited, if the settings name a limit.
    pub fn of_upstreams(memory_limit_mb: Option<u64>) -> SocketBuffers {
        let limit = limit_bytes(memory_limit_mb);
        let share = |divisor| limit / divisor / FULL_UPSTREAM_CONNECTIONS;
        SocketBuffers {
            receive: share(RECEIVE_DIVISOR).clamp(MIN_RECEIVE_BYTES, MAX_BYTES),
            send: share(SEND_DIVISOR).clamp(MIN_SEND_BYTES, MAX_BYTES),
        }
    }

    /// Returns the same for connections of callers, all of which may be full at once.
    pub fn of_callers(memory_limit_mb: Option<u64>) -> SocketBuffers {
        let limit = limit_bytes(memory_limit_mb);
        let share = |divisor| limit / divisor / max_callers(memory_limit_mb);
        SocketBuffers {
            receive: share(RECEIVE_DIVISOR).clamp(MIN_RECEIVE_BYTES, MAX_BYTES),
            send: share(SEND_DIVISOR).clamp(MIN_SEND_BYTES, MAX_BYTES),
        }
    }
}

/// Returns how many connections of callers may wait to be accepted by a process whose memory is limited, if the settings name a
/// limit.
pub fn max_waiting(memory_limit_mb: Option<u64>) -> usize {
    let each = SocketBuffers::of_callers(memory_limit_mb).receive * KERNEL_FACTOR;
    let all = limit_bytes(memory_limit_mb) / WAITING_DIVISOR;
    (all / each).clamp(MIN_WAITING, MAX_WAITING)
}

fn limit_bytes(memory_limit_mb: Option<u64>) -> usize {
    memory_limit_mb.map_or(usize::MAX, |mb| (mb as usize).saturating_mul(1 << 20))
}
