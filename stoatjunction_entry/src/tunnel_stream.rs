//! A stream of bytes in both directions over one exchange of HTTP/2.
//!
//! A connection of an upstream that breaks off ends its direction of the stream with trailers that say so: a reset of the
//! stream would overtake the bytes before it, which may be a whole response.

use std::io;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll, ready};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use http::HeaderMap;
use http::header::{HeaderName, HeaderValue};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Trailer of a stream whose connection broke off.
const BROKEN: HeaderName = HeaderName::from_static("x-broken");

/// One end of a tunnel. When it is dropped before it was shut down, the other end sees a reset and no end: the end of
/// the bytes may be what completes a response.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    reader: TunnelReader,
    writer: TunnelWriter,
}

impl TunnelStream {
    pub(crate) fn new(tx: SendStream<Bytes>, rx: RecvStream) -> TunnelStream {
        TunnelStream {
            reader: TunnelReader {
                rx,
                unread: Bytes::new(),
            },
            writer: TunnelWriter { tx },
        }
    }

    pub(crate) fn into_split(self) -> (TunnelReader, TunnelWriter) {
        (self.reader, self.writer)
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(cx, buf)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }
}

/// Bytes that come out of a tunnel.
#[derive(Debug)]
pub(crate) struct TunnelReader {
    rx: RecvStream,
    unread: Bytes,
}

impl TunnelReader {
    /// Returns the end of the bytes: an error if the connection at the other end broke off.
    fn poll_end(&mut self, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        let trailers = ready!(self.rx.poll_trailers(cx)).map_err(reset)?;
        let is_broken = trailers.is_some_and(|t| t.contains_key(BROKEN));
        Poll::Ready(match is_broken {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        })
    }
}

impl AsyncRead for TunnelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.rx.poll_data(cx)) {
                None => return self.poll_end(cx),
                Some(Err(e)) => return Poll::Ready(Err(reset(e))),
                Some(Ok(data)) => {
                    let released = self.rx.flow_control().release_capacity(data.len());
                    released.map_err(reset)?;
                    self.unread = data;
                }
            }
        }
        let len = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..len]);
        self.unread.advance(len);
        Poll::Ready(Ok(()))
    }
}

/// Bytes that go into a tunnel.
#[derive(Debug)]
pub(crate) struct TunnelWriter {
    tx: SendStream<Bytes>,
}

impl TunnelWriter {
    /// Ends the bytes of a connection that broke off.
    pub(crate) fn end_broken(&mut self) -> io::Result<()> {
        let mut trailers = HeaderMap::new();
        trailers.insert(BROKEN, HeaderValue::from_static("1"));
        self.tx.send_trailers(trailers).map_err(reset)
    }
}

impl AsyncWrite for TunnelWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            self.tx.reserve_capacity(buf.len());
            let len = self.tx.capacity().min(buf.len());
            if len > 0 || buf.is_empty() {
                let data = Bytes::copy_from_slice(&buf[..len]);
                self.tx.send_data(data, false).map_err(reset)?;
                return Poll::Ready(Ok(len));
            }
            match ready!(self.tx.poll_capacity(cx)) {
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
                Some(assigned) => assigned.map_err(reset)?,
            };
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.tx.send_data(Bytes::new(), true).map_err(reset))
    }
}

fn reset(e: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, e)
}
