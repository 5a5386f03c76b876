//! A stream of bytes in both directions over one exchange of HTTP/2.

use std::io;
use std::pin::Pin;
use std::task::{Context as TaskContext, Poll, ready};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// One end of a tunnel. When it is dropped before it was shut down, the other end sees a reset and no end: the end of
/// the bytes may be what completes a response.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    tx: SendStream<Bytes>,
    rx: RecvStream,
    unread: Bytes,
}

impl TunnelStream {
    pub(crate) fn new(tx: SendStream<Bytes>, rx: RecvStream) -> TunnelStream {
        TunnelStream {
            tx,
            rx,
            unread: Bytes::new(),
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.rx.poll_data(cx)) {
                None => return Poll::Ready(Ok(())),
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

impl AsyncWrite for TunnelStream {
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
