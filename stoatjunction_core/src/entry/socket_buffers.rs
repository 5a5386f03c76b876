//! How much the kernel may hold for a connection in one direction. What it has received and the process has not read counts
//! as memory of the process, as may what was written and the peer has not taken.

/// Connections to upstreams, and as many of callers, whose buffers are full at once in the worst case.
const FULL_CONNECTIONS: usize = 256;
/// Part of the memory limit that the buffers of one direction may take, as a divisor: a quarter of what bodies may, since the kernel
/// takes twice what it is asked for.
const LIMIT_DIVISOR: usize = 16;
/// Buffer in bytes if the settings name no limit, and the largest one.
pub const MAX_BUFFER_BYTES: usize = 128 << 10;
/// The smallest buffer in bytes.
pub const MIN_BUFFER_BYTES: usize = 16 << 10;

/// Returns the size in bytes to ask the kernel for, for a process whose memory is limited if the settings name a limit.
pub fn buffer_bytes(memory_limit_mb: Option<u64>) -> usize {
    let Some(mb) = memory_limit_mb else {
        return MAX_BUFFER_BYTES;
    };
    let limit = (mb as usize).saturating_mul(1 << 20);
    let bytes = limit / LIMIT_DIVISOR / FULL_CONNECTIONS;
    bytes.clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES)
}
