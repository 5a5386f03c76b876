//! Plain responses that are held in memory until they are complete. They count towards the budget of this host for
//! bodies, since upstreams in trouble may send without end and callers may not read.

use std::collections::VecDeque;

use bytes::Bytes;
use http_body_util::BodyExt;
use stoatjunction_core::entry::memory_budget::MemoryBudget;
use stoatjunction_net::read_limit::CountedBody;
use thiserror::Error;

use crate::held_body::{CHUNK_OVERHEAD_BYTES, hold, wait_for_memory};

/// Largest response that is held.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a response was not held to its end.
#[derive(Debug, Error)]
pub(crate) enum CollectError {
    /// It is too large.
    #[error("response exceeds the maximum size")]
    TooLarge,
    /// All bodies together are too large, which is not the fault of the upstream.
    #[error("bodies exceed the memory for them")]
    NoMemory,
    /// The upstream broke it off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Content of a response, in parts that count as held until they are written.
#[derive(Debug, Default)]
pub(crate) struct Buffered {
    parts: VecDeque<Bytes>,
    len: u64,
}

impl Buffered {
    /// Takes the next part to write it.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        let part = self.parts.pop_front()?;
        self.len -= part.len() as u64;
        Some(part)
    }

    /// Returns whether nothing is left to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the bytes left to write.
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.len += part.len() as u64;
            self.parts.push_back(part);
        }
    }
}

impl From<Bytes> for Buffered {
    /// Creates content of this host's own, which is small and not counted.
    fn from(content: Bytes) -> Buffered {
        let mut buffered = Buffered::default();
        buffered.push(content);
        buffered
    }
}

/// Reads a response to its end. While there is no memory for it, nothing is read from the upstream.
///
/// # Errors
///
/// The reason why it is not complete.
pub(crate) async fn collect(
    budget: &MemoryBudget,
    mut body: CountedBody,
) -> Result<Buffered, CollectError> {
    let mut content = Buffered::default();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if content.len() as usize + data.len() > MAX_RESPONSE_BYTES {
            return Err(CollectError::TooLarge);
        }
        let mut held = budget.plain_response();
        let try_hold = || held.try_add(data.len() + CHUNK_OVERHEAD_BYTES);
        if !wait_for_memory(content.len() as usize, try_hold).await {
            return Err(CollectError::NoMemory);
        }
        // A copy, so that a small part does not keep the buffer of the connection in memory.
        content.push(hold(Bytes::copy_from_slice(&data), held));
    }
    Ok(content)
}
