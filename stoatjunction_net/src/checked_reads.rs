//! Connections of which each read is checked.

use std::io;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A check of reads. It gets the bytes of each read, or that none came yet, in which case it may register itself to be called
/// again.
pub trait CheckRead: FnMut(Poll<&[u8]>, &mut TaskContext<'_>) -> io::Result<()> + Unpin {}

impl<F> CheckRead for F where F: FnMut(Poll<&[u8]>, &mut TaskContext<'_>) -> io::Result<()> + Unpin {}

/// A connection whose reads fail if a check of them does.
#[derive(Debug)]
pub struct CheckedReads<T, F> {
    io: T,
    check: F,
}

impl<T, F> CheckedReads<T, F>
where
    F: FnMut(Poll<&[u8]>, &mut TaskContext<'_>) -> io::Result<()>,
{
    /// Has the reads of a connection checked.
    pub fn new(io: T, check: F) -> CheckedReads<T, F> {
        CheckedReads { io, check }
    }
}

impl<T, F> AsyncRead for CheckedReads<T, F>
where
    T: AsyncRead + Unpin,
    F: CheckRead,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf)?;
        (self.check)(read.map(|()| &buf.filled()[before..]), cx)?;
        read.map(Ok)
    }
}

impl<T, F> AsyncWrite for CheckedReads<T, F>
where
    T: AsyncWrite + Unpin,
    F: Unpin,
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
