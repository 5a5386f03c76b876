//! A limit of what may be read from a connection of HTTP/2 beside data.
//!
//! The HTTP/2 library reads and answers frames in a loop, so that a peer in trouble that sends settings or pings without end
//! would keep the only thread busy. Requests and data are progress; what comes beyond the limit without either breaks the
//! connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context as TaskContext, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of frames other than data that may be read without progress. The requests that may begin at once are smaller, and so are
/// the frames by which a peer confirms what it was sent.
const MAX_BYTES: usize = 64 * 1024;
/// Length of what a client sends before its first frame.
const PREFACE_LEN: usize = 24;
/// Length of a frame's header: three bytes of length, type, flags, and four bytes of the stream's number.
const HEADER_LEN: usize = 9;
/// Type of a frame with data.
const DATA: u8 = 0;

/// Bytes of frames other than data since the last progress.
#[derive(Clone, Debug, Default)]
pub struct FrameCounter(Arc<AtomicUsize>);

impl FrameCounter {
    /// Records progress.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Place in the frames that are read.
#[derive(Debug)]
struct FrameScanner {
    header: [u8; HEADER_LEN],
    header_len: usize,
    /// Bytes until the next header.
    skipped: usize,
}

impl FrameScanner {
    /// Starts at the beginning of what a client sends.
    fn new() -> FrameScanner {
        FrameScanner {
            header: [0; HEADER_LEN],
            header_len: 0,
            skipped: PREFACE_LEN,
        }
    }

    /// Reads on, and returns the size of the frames other than data that begin in `bytes`.
    fn scan(&mut self, mut bytes: &[u8]) -> usize {
        let mut counted = 0;
        loop {
            let skipped = self.skipped.min(bytes.len());
            self.skipped -= skipped;
            bytes = &bytes[skipped..];
            let len = (HEADER_LEN - self.header_len).min(bytes.len());
            self.header[self.header_len..][..len].copy_from_slice(&bytes[..len]);
            self.header_len += len;
            bytes = &bytes[len..];
            if self.header_len < HEADER_LEN {
                return counted;
            }
            counted += self.begin_frame();
        }
    }

    /// Begins the frame whose header was read, and returns its size unless it has data.
    fn begin_frame(&mut self) -> usize {
        let [a, b, c, kind, ..] = self.header;
        let payload = u32::from_be_bytes([0, a, b, c]) as usize;
        self.header_len = 0;
        self.skipped = payload;
        match kind {
            DATA if payload > 0 => 0,
            _ => HEADER_LEN + payload,
        }
    }
}

/// A connection of a client whose frames are limited.
#[derive(Debug)]
pub struct FrameLimitedConnection<T> {
    io: T,
    scanner: FrameScanner,
    counter: FrameCounter,
}

impl<T> FrameLimitedConnection<T> {
    /// Limits the frames on a connection on which nothing was read yet. The counter has to be reset with each progress.
    pub fn new(io: T, counter: FrameCounter) -> FrameLimitedConnection<T> {
        FrameLimitedConnection {
            io,
            scanner: FrameScanner::new(),
            counter,
        }
    }
}

impl<T> AsyncRead for FrameLimitedConnection<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        let read = self.scanner.scan(&buf.filled()[before..]);
        let total = self.counter.0.fetch_add(read, Ordering::Relaxed) + read;
        if total > MAX_BYTES {
            log::info!("event=endless_frames bytes={total}");
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for FrameLimitedConnection<T>
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
