//! What a call needs of its pool, and its place among all waiting calls.

use super::pool::UpstreamKey;
use super::prompt_cache::PromptPart;
use crate::time::{Span, Time};

/// What a call needs of its pool.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Rank of the organisation and of the route.
    pub priority: (u8, u8),
    /// PromptCacheIndex of the prompt; empty for plain calls.
    pub prompt: Vec<PromptPart>,
    /// Moment until which the first answer is in time.
    pub due_at: Time,
    /// Moment until which the call may wait for a place.
    pub wait_until: Time,
    /// Time it may wait once it can no longer be in time.
    pub late_wait: Span,
    /// True for a call that comes back after its time: it runs when there is room to spare.
    pub late: bool,
    /// True when the call may be sent again.
    pub idempotent: bool,
    /// Upstreams it was already sent to.
    pub tried: Vec<UpstreamKey>,
    /// Random number of the call, for draws among calls of equal rank.
    pub salt: u64,
}

/// Place of a call in the order of all waiting calls; lower goes first.
pub type Precedence = u8;

impl PlacementRequest {
    /// Place of the call in the order of all waiting calls.
    pub fn precedence(&self) -> Precedence {
        let late = if self.late { LATE_PRECEDENCE } else { 0 };
        late + self.priority.0.min(MAX_PRIORITY) * (MAX_PRIORITY + 1)
            + self.priority.1.min(MAX_PRIORITY)
    }
}

/// Highest rank that is told apart.
const MAX_PRIORITY: u8 = 7;
/// Precedence of the most urgent late call.
const LATE_PRECEDENCE: Precedence = 128;
