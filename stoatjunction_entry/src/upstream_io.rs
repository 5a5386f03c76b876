//! Connections to upstreams whose responses are read to their end, also after the request can't be written any more.
//!
//! An upstream may answer before it has read the request, and close its connection, which resets it. What has arrived of
//! the response by then is still read: it may be whole. The end of such a connection is an error, so that a response that
//! has no other end is not taken for whole.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whether a part of a request waits to be written to an upstream. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unwritten(Rc<Cell<bool>>);

impl Unwritten {
    pub(crate) fn is_waiting(&self) -> bool {
        self.0.get()
    }
}

/// A connection to an upstream. A write fails only once nothing more can be read.
#[derive(Debug)]
pub(crate) struct UpstreamIo<T> {
    io: T,
    unwritten: Unwritten,
    /// Why nothing can be written any more.
    write_error: Option<io::ErrorKind>,
    /// True once an end or an error was read.
    has_read_all: bool,
}

impl<T> UpstreamIo<T> {
    pub(crate) fn new(io: T, unwritten: Unwritten) -> UpstreamIo<T> {
        UpstreamIo {
            io,
            unwritten,
            write_error: None,
            has_read_all: false,
        }
    }

    /// Returns the result of a write, which waits for the reader after a failure.
    fn after_write(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let written = match written {
            Poll::Ready(Err(e)) if !self.has_read_all => {
                self.write_error.get_or_insert(e.kind());
                Poll::Pending
            }
            written => written,
        };
        self.unwritten.0.set(written.is_pending());
        written
    }

    /// Returns the result of a read that got this many bytes.
    fn after_read(&mut self, read: io::Result<usize>) -> io::Result<()> {
        self.has_read_all |= !matches!(read, Ok(1..));
        match (read, self.write_error) {
            (Ok(1..), _) => Ok(()),
            // The first error says how the connection broke.
            (_, Some(kind)) => Err(kind.into()),
            (read, None) => read.map(|_| ()),
        }
    }
}

impl<T> AsyncRead for UpstreamIo<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buf.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        let read = ready!(Pin::new(&mut self.io).poll_read(cx, buf));
        let read = read.map(|()| buf.filled().len() - before);
        Poll::Ready(self.after_read(read))
    }
}

impl<T> AsyncWrite for UpstreamIo<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.after_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.after_write(written)
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
