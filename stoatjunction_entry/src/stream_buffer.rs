//! Chunks of a stream on their way to its caller. A slow caller holds up its own stream only: beyond its share of the
//! memory nothing more is read from the upstream.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use stoatjunction_core::entry::memory_budget::{MemoryBudget, StreamShare};
use stoatjunction_core::time::Span;
use tokio::sync::{Notify, mpsc};

use crate::body::{Body, StreamPart};
use crate::clock;
use crate::held_body::{CHUNK_OVERHEAD_BYTES, Flow, hold_chunk};

/// Time after which a caller is disconnected that takes nothing while its stream is at its limit. Upstreams abort
/// responses that stay unread for some seconds, and the slot is needed.
const STALL_TIMEOUT: Span = Span::from_millis(3_000);
/// Interval for checking whether other bodies have left room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Largest chunk that is passed on at once, so that a caller that reads slowly is seen to take some.
const MAX_CHUNK_BYTES: usize = 4 * 1024;

/// The connection of a caller, which can be closed from a stream on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerConnection(Arc<Notify>);

impl CallerConnection {
    /// Closes the connection without writing what is left.
    pub(crate) fn close(&self) {
        self.0.notify_one();
    }

    /// Waits until the connection has to be closed.
    pub(crate) async fn closes(&self) {
        self.0.notified().await;
    }
}

/// Why a chunk was not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendError {
    /// The caller has left.
    CallerGone,
    /// The caller takes nothing.
    CallerStalled,
}

/// Sender of the chunks of a stream. If it is dropped before the stream is finished, the caller sees that it is incomplete.
#[derive(Debug)]
pub(crate) struct ChunkSender {
    tx: mpsc::UnboundedSender<StreamPart>,
    budget: MemoryBudget,
    share: StreamShare,
    flow: Arc<Flow>,
    caller: CallerConnection,
    /// Time for which nothing was read from upstreams, since the caller took nothing.
    blocked: Cell<Span>,
}

/// Creates a streamed body and the sender of its chunks.
pub(crate) fn stream(budget: &MemoryBudget, caller: CallerConnection) -> (ChunkSender, Body) {
    let (tx, rx) = mpsc::unbounded_channel();
    let sender = ChunkSender {
        tx,
        budget: budget.clone(),
        share: budget.begin_stream(),
        flow: Arc::default(),
        caller,
        blocked: Cell::default(),
    };
    (sender, Body::Stream(rx))
}

impl ChunkSender {
    /// Passes content on, as soon as there is room for it.
    ///
    /// # Errors
    ///
    /// The caller has left, or takes nothing and was disconnected.
    pub(crate) async fn send(&self, mut content: Bytes) -> Result<(), SendError> {
        let began = clock::now();
        // What waits to be passed on is held as well.
        let mut waiting = self.budget.stream_part();
        if content.len() > MAX_CHUNK_BYTES {
            waiting.add(content.len());
        }
        while !content.is_empty() {
            let chunk = content.split_to(content.len().min(MAX_CHUNK_BYTES));
            self.wait_for_room(chunk.len() + CHUNK_OVERHEAD_BYTES)
                .await?;
            // A copy, so that a small part does not keep a large event in memory.
            let chunk = hold_chunk(Bytes::copy_from_slice(&chunk), &self.budget, &self.flow);
            let sent = self.tx.send(StreamPart::Chunk(chunk));
            sent.map_err(|_| SendError::CallerGone)?;
        }
        self.blocked
            .set(self.blocked.get() + clock::now().since(began));
        Ok(())
    }

    async fn wait_for_room(&self, bytes: usize) -> Result<(), SendError> {
        let mut last_taken_at = clock::now();
        let mut held = self.flow.held();
        while !self.share.has_room(self.flow.held(), bytes) {
            tokio::select! {
                () = self.tx.closed() => return Err(SendError::CallerGone),
                () = self.flow.taken.notified() => {}
                () = tokio::time::sleep(ROOM_CHECK_INTERVAL) => {}
            }
            let now = clock::now();
            if self.flow.held() < held {
                last_taken_at = now;
            }
            held = self.flow.held();
            if now.since(last_taken_at) >= STALL_TIMEOUT {
                self.caller.close();
                return Err(SendError::CallerStalled);
            }
        }
        Ok(())
    }

    /// Returns the time for which nothing was read from upstreams so far, since the caller took nothing.
    pub(crate) fn blocked(&self) -> Span {
        self.blocked.get()
    }

    /// Ends a stream that is whole.
    pub(crate) fn finish(self) {
        let _caller_may_have_left = self.tx.send(StreamPart::End);
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Returns whether the caller has left.
    pub(crate) fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}
