//! What is written to callers. Those that take nothing of it must not keep others out, and a response that ends with its
//! connection must not look whole unless it is.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;

use socket2::SockRef;
use stoatjunction_core::entry::memory_budget::MemoryBudget;
use stoatjunction_core::time::{Span, Time};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::clock;

/// Time without any progress after which a caller is disconnected while memory is scarce.
const STALL_TIMEOUT: Span = Span::from_millis(3_000);
/// Interval of the checks while a write waits.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Memory is scarce once this part of the budget is held.
const SCARCE_DIVISOR: usize = 2;

/// Since when a write to a caller waits.
#[derive(Debug, Default)]
pub(crate) struct WriteProgress {
    waits_since: Cell<Option<Time>>,
    waits: Notify,
    ends_with_connection: Cell<bool>,
}

impl WriteProgress {
    fn record(&self, is_pending: bool) {
        match (is_pending, self.waits_since.get()) {
            (true, None) => {
                self.waits_since.set(Some(clock::now()));
                self.waits.notify_one();
            }
            (true, Some(_)) => {}
            (false, _) => self.waits_since.set(None),
        }
    }

    /// Returns whether a write waits for the caller.
    pub(crate) fn is_waiting(&self) -> bool {
        self.waits_since.get().is_some()
    }

    /// Records that only the end of the connection tells the caller that the next response is whole.
    pub(crate) fn ends_with_connection(&self) {
        self.ends_with_connection.set(true);
    }

    /// Waits until the caller has taken nothing for too long while memory is scarce.
    pub(crate) async fn stalls(&self, budget: &MemoryBudget) {
        loop {
            if self.waits_since.get().is_none() {
                self.waits.notified().await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
            let is_scarce = budget.held() >= budget.limit() / SCARCE_DIVISOR;
            let has_stalled = |at: Time| clock::now().since(at) >= STALL_TIMEOUT;
            if is_scarce && self.waits_since.get().is_some_and(has_stalled) {
                return;
            }
        }
    }
}

/// A caller's connection whose writes are watched. While a response is written whose end is that of the connection, the
/// connection ends with a reset unless it is shut down, also if this process ends.
#[derive(Debug)]
pub(crate) struct WatchedConnection {
    io: TcpStream,
    progress: Rc<WriteProgress>,
    resets: bool,
}

impl WatchedConnection {
    /// Watches the writes of a connection.
    pub(crate) fn new(io: TcpStream, progress: Rc<WriteProgress>) -> WatchedConnection {
        WatchedConnection {
            io,
            progress,
            resets: false,
        }
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if self.progress.ends_with_connection.get() && !self.resets {
            SockRef::from(&self.io).set_linger(Some(Duration::ZERO))?;
            self.resets = true;
        }
        Ok(())
    }
}

impl AsyncRead for WatchedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for WatchedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.progress.record(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.progress.record(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.resets) {
            SockRef::from(&self.io).set_linger(None)?;
        }
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
