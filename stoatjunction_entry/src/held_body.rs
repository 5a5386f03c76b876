//! Bodies that count towards this host's memory budget until their last byte is written or dropped.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::memory_budget::{HeldBytes, MemoryBudget};
use stoatjunction_core::time::Span;
use tokio::sync::Notify;

use crate::caller_body::CallerBody;
use crate::refusal::Refusal;

/// Memory of a chunk beside its content.
pub(crate) const CHUNK_OVERHEAD_BYTES: usize = 128;
/// Largest content that waits for memory; what is larger is given up at once.
const MAX_WAITING_BYTES: usize = 64 << 10;
/// Checks for memory that other bodies have left before content is given up, and the time between them.
const MAX_ROOM_CHECKS: u32 = 40;
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Retry-after of a request whose body does not fit in the memory of this host.
const NO_MEMORY_RETRY_AFTER: Span = Span::from_millis(500);

/// Bytes that a stream holds, and a signal when its caller takes some of them.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    held: AtomicUsize,
    pub(crate) taken: Notify,
}

impl Flow {
    /// Returns the bytes that the stream holds.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// Content that counts as held until it is dropped, which the HTTP library does once it is written.
#[derive(Debug)]
struct HeldContent {
    content: Bytes,
    _held: HeldBytes,
    flow: Option<Arc<Flow>>,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for HeldContent {
    fn drop(&mut self) {
        if let Some(flow) = &self.flow {
            let bytes = self.content.len() + CHUNK_OVERHEAD_BYTES;
            flow.held.fetch_sub(bytes, Ordering::Relaxed);
            flow.taken.notify_one();
        }
    }
}

/// Calls `try_hold` until there is memory, and returns whether there is. Large content gives way to small content at once.
pub(crate) async fn wait_for_memory<F>(len: usize, mut try_hold: F) -> bool
where
    F: FnMut() -> bool,
{
    let mut checks = 0;
    while !try_hold() {
        checks += 1;
        if checks > MAX_ROOM_CHECKS || len > MAX_WAITING_BYTES {
            return false;
        }
        tokio::time::sleep(ROOM_CHECK_INTERVAL).await;
    }
    true
}

/// Returns the content, which is held in `held` from now on.
pub(crate) fn hold(content: Bytes, held: HeldBytes) -> Bytes {
    Bytes::from_owner(HeldContent {
        content,
        _held: held,
        flow: None,
    })
}

/// Returns a chunk of a stream, whether it fits or not.
pub(crate) fn hold_chunk(content: Bytes, budget: &MemoryBudget, flow: &Arc<Flow>) -> Bytes {
    let bytes = content.len() + CHUNK_OVERHEAD_BYTES;
    let mut held = budget.stream_part();
    held.add(bytes);
    flow.held.fetch_add(bytes, Ordering::Relaxed);
    Bytes::from_owner(HeldContent {
        content,
        _held: held,
        flow: Some(flow.clone()),
    })
}

/// Reads the body of a request.
///
/// # Errors
///
/// The refusal of a request whose body is too large, incomplete, or does not fit in the memory of this host now.
pub(crate) async fn read_request(
    budget: &MemoryBudget,
    mut body: CallerBody,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    let mut held = budget.request();
    let exact = body.size_hint().exact();
    let exact = exact.and_then(|n| usize::try_from(n).ok());
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(Code::BodyIncomplete))?;
        let data = frame.into_data().unwrap_or_default();
        if content.len() + data.len() > max_bytes {
            return Err(Refusal::new(Code::BodyTooLarge));
        }
        let free = content.capacity() - content.len();
        if free < data.len() {
            // The buffer doubles when it grows, up to the length of the body if that is known.
            let doubled = content.capacity().max(data.len());
            let growth = match exact {
                Some(exact) => doubled.min(exact.saturating_sub(content.capacity())),
                None => doubled,
            };
            let growth = growth.max(data.len() - free);
            if !held.try_add(growth) {
                log::info!(
                    "event=memory_full held={} limit={}",
                    budget.held(),
                    budget.limit()
                );
                return Err(Refusal::with_retry_after(
                    Code::Overloaded,
                    NO_MEMORY_RETRY_AFTER,
                ));
            }
            content.reserve_exact(free + growth);
        }
        content.extend_from_slice(&data);
    }
    Ok(hold(Bytes::from(content), held))
}
