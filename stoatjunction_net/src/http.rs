//! HTTP helpers over `hyper`: a client that opens one connection per request, and a server loop.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body as HttpBody, Frame, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::TRANSFER_ENCODING;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::outgoing;
use crate::read_limit::{CountedBody, ReadCounter, limit_reads};
use crate::socket_errors::SocketErrors;

/// Largest response to a call in bytes. Lists come in pages of about one megabyte.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Buffer of a connection in bytes, which bounds the head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// A body that is either in memory or streamed.
pub type Body = BoxBody<Bytes, BodyError>;

/// Creates a body from `content` in memory.
pub fn full<T>(content: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A frame of a streamed body. An error aborts the body, so that the receiver sees that it is
/// incomplete.
pub type BodyFrame = Result<Frame<Bytes>, BodyError>;

/// Creates a body from the frames of a channel; it ends when the sender is dropped.
pub fn channel_body(rx: mpsc::Receiver<BodyFrame>) -> Body {
    ChannelBody { rx }.boxed()
}

struct ChannelBody {
    rx: mpsc::Receiver<BodyFrame>,
}

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<BodyFrame>> {
        self.rx.poll_recv(cx)
    }
}

/// Opens a connection to `addr` and makes it ready for one request.
///
/// # Errors
///
/// An I/O error if the connection is refused or not open within `timeout`. No part of a request has
/// been written in that case.
pub async fn connect(addr: &str, timeout: Duration) -> io::Result<SendRequest<Body>> {
    let stream = open(addr, timeout).await?;
    handshake(stream).await
}

async fn open(addr: &str, timeout: Duration) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(timeout, outgoing::connect(addr)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn handshake<T>(stream: T) -> io::Result<SendRequest<Body>>
where
    T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        let _result = conn.await;
    });
    Ok(sender)
}

/// Sends one request on a new connection and reads the whole response within `timeout`.
///
/// # Errors
///
/// An I/O error if the connection fails, the response is incomplete or too large, or `timeout` expires.
pub async fn call(
    addr: &str,
    req: Request<Body>,
    timeout: Duration,
) -> io::Result<Response<Bytes>> {
    let exchange = async {
        let counter = ReadCounter::default();
        let stream = limit_reads(open(addr, timeout).await?, counter.clone());
        let mut sender = handshake(stream).await?;
        let res = sender.send_request(req).await.map_err(io::Error::other)?;
        let (head, body) = res.into_parts();
        let body = Limited::new(CountedBody::new(body, &counter), MAX_RESPONSE_BYTES);
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok(Response::from_parts(head, body))
    };
    let finished = tokio::time::timeout(timeout, exchange).await;
    finished.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Returns whether only the end of the connection ends the body of a response. An upstream whose process ends closes its
/// connections as well.
pub fn ends_with_connection(res: &Response<Incoming>) -> bool {
    let has_length = res.body().size_hint().exact().is_some();
    let encodings = res.headers().get_all(TRANSFER_ENCODING);
    let last = encodings.iter().next_back().and_then(|e| e.to_str().ok());
    let last = last.and_then(|e| e.rsplit(',').next());
    let is_chunked = last.is_some_and(|e| e.trim().eq_ignore_ascii_case("chunked"));
    !has_length && !is_chunked
}

/// Serves HTTP/1.1 on `listener` with `handle` until `closed` becomes true, and returns once the
/// responses in progress are finished.
pub async fn serve<F, Fut>(listener: TcpListener, closed: watch::Receiver<bool>, handle: F)
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let mut stop = closed.clone();
    let mut connections = JoinSet::new();
    let mut errors = SocketErrors::new("callers");
    loop {
        let (stream, peer) = tokio::select! {
            accepted = errors.accept(&listener) => accepted,
            Some(_) = connections.join_next() => continue,
            _ = stop.wait_for(|closed| *closed) => break,
        };
        let _ = stream.set_nodelay(true);
        connections.spawn(serve_connection(
            stream,
            peer,
            closed.clone(),
            handle.clone(),
        ));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<F, Fut>(
    stream: TcpStream,
    peer: SocketAddr,
    mut closed: watch::Receiver<bool>,
    handle: F,
) where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(move |req| {
        let response = handle(req, peer);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let conn =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = closed.wait_for(|closed| *closed) => conn.as_mut().graceful_shutdown(),
    }
    let _result = conn.await;
}
