//! What a request requires of its placement, and its precedence in the queue.

use super::pool::UpstreamKey;
use super::pressure::Standing;
use super::prompt_cache::PromptPart;
use super::software_version::SoftwareVersion;
use crate::time::{Span, Time};

/// Requirements of a request for its placement.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest {
    /// Priorities of the organisation and of the route; 0 is the most urgent.
    pub priority: (u8, u8),
    /// Parts of the prompt; empty for plain requests.
    pub prompt: Vec<PromptPart>,
    /// Time until which the response, or the first event of a stream, meets the target latency.
    pub due_at: Time,
    /// Time until which the request may wait for a slot.
    pub wait_until: Time,
    /// Time the request may keep waiting once it is late.
    pub late_wait: Span,
    /// True when the request misses its target latency: it runs only on spare capacity.
    pub late: bool,
    /// True when the request may be sent again.
    pub idempotent: bool,
    /// The only version whose upstreams may run the request, once it holds events of it.
    pub version: Option<SoftwareVersion>,
    /// Hash of the route's name.
    pub route: u32,
    /// Upstreams to which the request was already sent.
    pub tried: Vec<UpstreamKey>,
    /// Prompt tokens and maximum output tokens, which it holds in the memory of an engine; 0 if not known.
    pub tokens: u64,
    /// True while it waits because it fits in the memory of no upstream; set by the decision.
    pub waits_for_room: bool,
    /// Random number of the request, for draws among requests of equal precedence.
    pub salt: u64,
    /// Time until which a plain response meets the target latency; `None` for streams, whose `due_at` it is.
    pub target_at: Option<Time>,
    /// Its place among requests of its precedence.
    pub standing: Standing,
}

/// Position of a request among all waiting requests; lower goes first.
pub type Precedence = u8;

impl PlacementRequest {
    /// Returns the precedence of the request: late requests last, then by the priority of the
    /// organisation, then of the route.
    pub fn precedence(&self) -> Precedence {
        let late = if self.late { LATE_PRECEDENCE } else { 0 };
        late + self.priority.0.min(MAX_PRIORITY) * (MAX_PRIORITY + 1)
            + self.priority.1.min(MAX_PRIORITY)
    }
}

/// Lowest priority with a precedence of its own; any lower ones share it.
const MAX_PRIORITY: u8 = 7;
/// Precedence of the most urgent late request.
pub(super) const LATE_PRECEDENCE: Precedence = 128;
