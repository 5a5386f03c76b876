//! How many of the files that the process may open each use may take, so that callers leave enough for what their
//! requests need.

/// Files for other uses than callers' connections: upstreams, tunnels, the store, other hosts.
const RESERVED_FILES: usize = 1_200;
/// The least part of the limit for callers' connections, as a divisor: a request may need a file for its caller, one for
/// its upstream, and one for a second attempt or a check.
const MIN_CALLERS_DIVISOR: usize = 3;
/// Connections to upstreams that are open for other hosts at once.
const MAX_TUNNELS: usize = 400;
/// The largest part of the limit for these, as a divisor.
const MAX_TUNNELS_DIVISOR: usize = 8;
/// Connections to a port of which only the most recent ones stay open.
const MAX_CHECKS: usize = 64;
/// The largest part of the limit for these, as a divisor.
const MAX_CHECKS_DIVISOR: usize = 16;

/// Files by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileShares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to upstreams that are open for other hosts.
    pub tunnels: usize,
    /// Connections to each of the ports for readiness checks and for metrics.
    pub checks: usize,
}

impl FileShares {
    /// Divides the files that the process may open.
    pub fn of(limit: usize) -> FileShares {
        let callers = limit.saturating_sub(RESERVED_FILES);
        FileShares {
            callers: callers.max(limit / MIN_CALLERS_DIVISOR),
            tunnels: MAX_TUNNELS.min(limit / MAX_TUNNELS_DIVISOR),
            checks: MAX_CHECKS.min(limit / MAX_CHECKS_DIVISOR),
        }
    }
}
