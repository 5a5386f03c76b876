//! ConnectionPool to upstreams, kept for further requests while it is safe to use them again.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use stoatjunction_core::time::{Span, Time};
use tokio::task::AbortHandle;

use crate::clock;
use crate::sockets;

/// Longest wait for a connection. Data centres are a few milliseconds apart, and an upstream that
/// takes longer has a full queue of connections or is gone.
const CONNECT: Duration = Duration::from_millis(150);
/// Time for which an idle connection is used again when the upstream states none.
const UNSTATED: Span = Span::from_millis(3_000);
/// Time before the end of the stated one at which a connection is used no more.
const MARGIN: Span = Span::from_millis(800);

/// A connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<IndexMap<String, Vec<Idle>>>,
}

impl ConnectionPool {
    /// An idle connection to the upstream, the most recently used first.
    pub(crate) fn take_idle(&self, upstream: &str) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(upstream)?;
        let now = clock::now();
        while let Some(last) = idle.pop() {
            if now < last.until && last.connection.sender.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was whole, when fewer than `most` are kept. `stated` is the
    /// upstream's own idle time.
    pub(crate) fn keep_idle(
        &self,
        upstream: &str,
        connection: Connection,
        stated: Option<Span>,
        most: usize,
    ) {
        let idle_time = stated.map_or(UNSTATED, |s| s - MARGIN).min(UNSTATED);
        if idle_time == Span::ZERO {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(upstream.to_owned()).or_default();
        if idle.len() >= most {
            return;
        }
        idle.push(Idle {
            connection,
            until: clock::now() + idle_time,
        });
    }

    /// Closes what is idle for too long, and what leads to upstreams that are not `listed`.
    pub(crate) fn remove_unusable<F>(&self, listed: F)
    where
        F: Fn(&str) -> bool,
    {
        let now = clock::now();
        self.idle.borrow_mut().retain(|upstream, idle| {
            idle.retain(|i| now < i.until && i.connection.sender.is_ready());
            !idle.is_empty() && listed(upstream)
        });
    }
}

/// Opens a connection to `addr`. Nothing of a request has been sent when it fails.
pub(crate) async fn open(addr: &str) -> io::Result<Connection> {
    let stream = sockets::connect(addr, CONNECT).await?;
    let (sender, conn) = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ended_by_either_side = conn.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
    })
}
