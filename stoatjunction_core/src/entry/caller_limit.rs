//! How many connections of callers a host keeps open: what all of them may hold, in the process and in the kernel, fits in its
//! memory.

/// Memory for each connection of a caller: the buffers of the HTTP library and of the kernel, its request, and its part of what
/// upstreams send and of everything else.
const BYTES_PER_CALLER: usize = 320 << 10;
/// Connections if the settings name no limit: what a large host takes.
const UNLIMITED_CALLERS: usize = 4_096;

/// Returns how many callers' connections a process may have open whose memory is limited, if the settings name a limit.
pub fn max_callers(memory_limit_mb: Option<u64>) -> usize {
    let limit = memory_limit_mb.map(|mb| (mb as usize).saturating_mul(1 << 20));
    limit.map_or(UNLIMITED_CALLERS, |limit| (limit / BYTES_PER_CALLER).max(1))
}
