//! The requirements of a call for its placement, and its precedence in the queue.

use super::pool::UpstreamKey;
use super::prompt_cache::PromptPart;
use crate::time::{Span, Time};

/// Requirements of a call for its placement.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Priorities of the organisation and of the route; 0 is the most urgent.
    pub priority: (u8, u8),
    /// Parts of the prompt; empty for plain calls.
    pub prompt: Vec<PromptPart>,
    /// Time until which the first answer meets the target latency.
    pub due_at: Time,
    /// Time until which the call may wait for a slot.
    pub wait_until: Time,
    /// Time the call may keep waiting once it is late.
    pub late_wait: Span,
    /// True when the call misses its target latency: it runs only on spare capacity.
    pub late: bool,
    /// True when the call may be sent again.
    pub idempotent: bool,
    /// Upstreams to which the call was already sent.
    pub tried: Vec<UpstreamKey>,
    /// Random number of the call, for draws among calls of equal precedence.
    pub salt: u64,
}

/// Position of a call among all waiting calls; lower goes first.
pub type Precedence = u8;

impl PlacementRequest {
    /// Returns the precedence of the call: late calls last, then by the priority of the
    /// organisation, then of the route.
    pub fn precedence(&self) -> Precedence {
        let late = if self.late { LATE_PRECEDENCE } else { 0 };
        late + self.priority.0.min(MAX_PRIORITY) * (MAX_PRIORITY + 1)
            + self.priority.1.min(MAX_PRIORITY)
    }
}

/// Least urgent priority that is told apart.
const MAX_PRIORITY: u8 = 7;
/// Precedence of the most urgent late call.
const LATE_PRECEDENCE: Precedence = 128;
