//! The engine's own record of what it started, against which answers are checked.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// One start of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Request number, as the gateway sent it.
    pub id: String,
    /// Tag from the request's body.
    pub tag: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Wall-clock time in milliseconds since 1970.
    pub at_ms: u64,
}

/// What an engine or plain service did since the process was started, crashes included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Every start, in order.
    pub starts: Vec<Start>,
    /// Number of starts by idempotency key.
    pub by_key: IndexMap<String, u32>,
    /// Requests that were cancelled.
    pub cancelled: Vec<String>,
    /// Requests that ended.
    pub finished: Vec<String>,
    /// Crashes.
    pub crashes: u32,
    /// Prompt tokens processed, without those found in the cache.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
}

impl EngineRecord {
    /// Records a start.
    pub fn record_start(&mut self, start: Start) {
        if let Some(key) = &start.key {
            *self.by_key.entry(key.clone()).or_default() += 1;
        }
        self.starts.push(start);
    }

    /// Number of starts of requests with `tag`.
    pub fn starts_of(&self, tag: &str) -> usize {
        self.starts.iter().filter(|s| s.tag == tag).count()
    }
}
