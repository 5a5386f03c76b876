//! Pool of idle connections to upstreams, reused while that is safe.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::read_limit::{ReadCounter, limit_reads};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::AbortHandle;

use crate::clock;
use crate::sockets;
use crate::state::Context;
use crate::tunnel_stream::TunnelStream;
use crate::upstream_io::{Unwritten, UpstreamIo};

/// Connect timeout. Data centres are a few milliseconds apart, and an upstream that takes longer
/// has a full accept queue or is gone.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle timeout when the upstream states none, and the longest one used.
const DEFAULT_IDLE_TIMEOUT: Span = Span::from_millis(3_000);
/// Margin before the upstream's own idle timeout after which a connection is no longer reused.
const IDLE_TIMEOUT_MARGIN: Span = Span::from_millis(800);

/// Connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Bytes read without progress.
    pub(crate) counter: ReadCounter,
    unwritten: Unwritten,
    /// True if it leads through another host, which must not be held up by idle connections when it stops.
    pub(crate) is_tunnelled: bool,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<IndexMap<String, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection to the upstream, the most recently used first.
    pub(crate) fn take_idle(&self, upstream: &str) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(upstream)?;
        let now = clock::now();
        while let Some(last) = idle.pop() {
            if now < last.expires_at && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last response was complete, when fewer than `max_idle` are kept.
    /// `upstream_timeout` is the idle timeout that the upstream states. A connection on which a part of the request waits to
    /// be written is closed, as that part takes memory of this host.
    pub(crate) fn keep_idle(
        &self,
        upstream: &str,
        connection: Connection,
        upstream_timeout: Option<Span>,
        max_idle: usize,
    ) {
        let idle_timeout = upstream_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |t| t - IDLE_TIMEOUT_MARGIN)
            .min(DEFAULT_IDLE_TIMEOUT);
        if idle_timeout == Span::ZERO || connection.unwritten.is_waiting() {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(upstream.to_owned()).or_default();
        if idle.len() >= max_idle {
            return;
        }
        idle.push(IdleConnection {
            connection,
            expires_at: clock::now() + idle_timeout,
        });
    }

    /// Closes connections that have expired and those to upstreams that are no longer listed.
    pub(crate) fn remove_unusable<F>(&self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        let now = clock::now();
        self.idle.borrow_mut().retain(|upstream, idle| {
            idle.retain(|i| now < i.expires_at && i.connection.sender.is_ready());
            !idle.is_empty() && is_listed(upstream)
        });
    }
}

/// Opens a connection to the upstream at `addr`. When it fails, nothing of a request has been sent.
pub(crate) async fn open(cx: &Context, addr: &str) -> io::Result<Connection> {
    let buffers = cx.upstream_buffers;
    let stream = sockets::connect_to_upstream(addr, CONNECT_TIMEOUT, buffers).await?;
    handshake(cx, stream, false).await
}

/// Opens a connection on a stream to an upstream through another host.
pub(crate) async fn open_on(cx: &Context, stream: TunnelStream) -> io::Result<Connection> {
    handshake(cx, stream, true).await
}

async fn handshake<T>(cx: &Context, stream: T, is_tunnelled: bool) -> io::Result<Connection>
where
    T: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let (counter, unwritten) = (ReadCounter::default(), Unwritten::default());
    let stream = UpstreamIo::new(stream, unwritten.clone());
    let stream = limit_reads(stream, counter.clone());
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(cx.upstream_read_bytes)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ended_by_either_side = conn.await;
    });
    Ok(Connection {
        sender,
        counter,
        unwritten,
        is_tunnelled,
        task: task.abort_handle(),
    })
}
