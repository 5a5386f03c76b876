//! What callers have begun to send and do not end: a head, or the size of a chunk. All such parts together take a bounded part
//! of the memory, and a head takes a bounded time.

use std::io;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use stoatjunction_core::entry::memory_budget::HeldBytes;
use stoatjunction_net::checked_reads::{CheckRead, CheckedReads};
use stoatjunction_net::read_limit::ReadCounter;
use tokio::time::Sleep;

/// Limits of what a caller has not ended.
#[derive(Debug)]
pub(crate) struct InputLimits {
    /// Counts what was read since the last head or data.
    pub(crate) counter: ReadCounter,
    /// What that takes of the budget.
    pub(crate) held: HeldBytes,
    /// Time within which a head that has begun is whole.
    pub(crate) head_timeout: Duration,
}

impl InputLimits {
    /// Has the reads of a caller's connection fail beyond the limits. `reads_head` returns whether the next head is read, and
    /// nothing else is in progress.
    pub(crate) fn apply<T, F>(mut self, io: T, reads_head: F) -> CheckedReads<T, impl CheckRead>
    where
        F: Fn() -> bool + Unpin,
    {
        // Ends the time of a head that has begun.
        let mut timeout = None;
        CheckedReads::new(io, move |read: Poll<&[u8]>, cx: &mut TaskContext<'_>| {
            self.hold()?;
            if self.counter.bytes() == 0 {
                timeout = None;
            } else if read.is_pending() && self.has_passed(&mut timeout, cx) && reads_head() {
                log::info!("event=head_late");
                return Err(io::ErrorKind::TimedOut.into());
            }
            Ok(())
        })
    }

    /// Counts what is not ended, if it fits.
    fn hold(&mut self) -> io::Result<()> {
        let bytes = self.counter.bytes();
        if self.held.try_set(bytes, false) {
            return Ok(());
        }
        log::info!("event=unfinished_input_refused bytes={bytes}");
        Err(io::ErrorKind::OutOfMemory.into())
    }

    /// Returns whether the time of a head has passed. It begins anew after that: the end of what else is in progress has the
    /// connection read again.
    fn has_passed(&self, timeout: &mut Option<Pin<Box<Sleep>>>, cx: &mut TaskContext<'_>) -> bool {
        let sleep = timeout.get_or_insert_with(|| Box::pin(tokio::time::sleep(self.head_timeout)));
        let has_passed = sleep.as_mut().poll(cx).is_ready();
        if has_passed {
            *timeout = None;
        }
        has_passed
    }
}
