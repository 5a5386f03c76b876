//! Record of what an engine ran, for checking answers against it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// One start of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Request id, as sent by the gateway.
    pub id: String,
    /// Tag in the request body.
    pub tag: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Wall-clock time in milliseconds since 1970.
    pub at_ms: u64,
}

/// What an engine or plain service did since the process started. It survives simulated crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// All starts in order.
    pub starts: Vec<Start>,
    /// Number of starts by idempotency key.
    pub by_key: IndexMap<String, u32>,
    /// Ids of cancelled requests.
    pub cancelled: Vec<String>,
    /// Ids of finished requests.
    pub finished: Vec<String>,
    /// Number of crashes.
    pub crashes: u32,
    /// Prompt tokens processed, excluding those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

impl EngineRecord {
    /// Records the start of a request.
    pub fn record_start(&mut self, start: Start) {
        if let Some(key) = &start.key {
            *self.by_key.entry(key.clone()).or_default() += 1;
        }
        self.starts.push(start);
    }

    /// Returns the number of starts of requests with `tag`.
    pub fn start_count(&self, tag: &str) -> usize {
        self.starts.iter().filter(|s| s.tag == tag).count()
    }
}
