//! What callers have begun to send and do not end: a head, or the size of a chunk. All such parts together take a bounded part
//! of the memory, and a head takes a bounded time.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use stoatjunction_core::entry::memory_budget::HeldBytes;
use stoatjunction_net::read_limit::ReadCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Limits of what a caller has not ended.
pub(crate) struct InputLimits {
    /// Counts what was read since the last head or data.
    pub(crate) counter: ReadCounter,
    /// What that takes of the budget.
    pub(crate) held: HeldBytes,
    /// Time within which a head that has begun is whole.
    pub(crate) head_timeout: Duration,
    /// Returns whether the next head is read, and nothing else is in progress.
    pub(crate) reads_head: Rc<dyn Fn() -> bool>,
}

/// A caller's connection whose input is limited. Reads fail beyond the limits.
pub(crate) struct CallerInput<T> {
    io: T,
    limits: InputLimits,
    /// Ends the time of a head that has begun.
    timeout: Option<Pin<Box<Sleep>>>,
}

impl<T> CallerInput<T> {
    pub(crate) fn new(io: T, limits: InputLimits) -> CallerInput<T> {
        CallerInput {
            io,
            limits,
            timeout: None,
        }
    }

    /// Counts what is not ended, if it fits.
    fn count(&mut self) -> io::Result<()> {
        let bytes = self.limits.counter.bytes();
        if bytes == 0 {
            self.timeout = None;
        }
        match self.limits.held.try_set(bytes, false) {
            true => Ok(()),
            false => {
                log::info!("event=unfinished_input_refused bytes={bytes}");
                Err(io::ErrorKind::OutOfMemory.into())
            }
        }
    }

    /// Waits for more of what is not ended, up to its time.
    fn poll_timeout(&mut self, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        if self.limits.counter.bytes() == 0 {
            return Poll::Pending;
        }
        let head_timeout = self.limits.head_timeout;
        let timeout = self
            .timeout
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(head_timeout)));
        if timeout.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        self.timeout = None;
        match (self.limits.reads_head)() {
            true => {
                log::info!("event=head_late");
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
            // The end of what is in progress has this polled again.
            false => Poll::Pending,
        }
    }
}

impl<T> AsyncRead for CallerInput<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        self.count()?;
        match read {
            Poll::Pending => self.poll_timeout(cx),
            read => read,
        }
    }
}

impl<T> AsyncWrite for CallerInput<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
