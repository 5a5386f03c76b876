//! Bodies of callers' requests.
//!
//! A request may be answered before its body was read. Closing a connection with unread bytes resets it, and the
//! caller loses the response. The rest of such a body is therefore read and discarded before the connection is
//! closed, for a limited time and up to a limited size.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use stoatjunction_net::read_limit::CountedBody;
use tokio::sync::Notify;

use crate::state::Context;

/// Longest time for which the rest of a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bodies that a host discards at the same time, so that refused callers do not use up its
/// connections.
const MAX_DISCARDS: usize = 256;

/// Largest rest of a body that is certain to be read before the next request. It has mostly arrived already.
const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Bodies that are being discarded on a connection.
#[derive(Debug, Default)]
pub(crate) struct Discards {
    in_progress: Cell<usize>,
    /// True while the body of the request in progress is not read to its end.
    is_unread: Cell<bool>,
    /// True once a body was discarded that may not end in time.
    has_large: Cell<bool>,
    ended: Notify,
}

impl Discards {
    pub(crate) fn are_in_progress(&self) -> bool {
        self.in_progress.get() > 0
    }

    /// Returns whether the body of a request is being read, so that the request has not run.
    pub(crate) fn is_body_unread(&self) -> bool {
        self.is_unread.get()
    }

    /// Returns whether the connection may have to be closed before the next request on it is read.
    pub(crate) fn may_not_end(&self) -> bool {
        self.has_large.get()
    }

    /// Waits until no body is being discarded.
    pub(crate) async fn end(&self) {
        while self.are_in_progress() {
            self.ended.notified().await;
        }
    }
}

/// A body that is being discarded.
struct Discard {
    cx: Rc<Context>,
    connection: Rc<Discards>,
}

impl Discard {
    fn new(cx: &Rc<Context>, connection: &Rc<Discards>) -> Discard {
        cx.discards.set(cx.discards.get() + 1);
        connection.in_progress.set(connection.in_progress.get() + 1);
        Discard {
            cx: cx.clone(),
            connection: connection.clone(),
        }
    }
}

impl Drop for Discard {
    fn drop(&mut self) {
        self.cx.discards.set(self.cx.discards.get() - 1);
        let in_progress = &self.connection.in_progress;
        in_progress.set(in_progress.get() - 1);
        self.connection.ended.notify_one();
    }
}

/// The body of a caller's request. If it is dropped before its end, the rest is read and discarded.
pub(crate) struct CallerBody {
    /// `None` once it has ended or failed.
    body: Option<CountedBody>,
    /// True once data was requested, on which a caller that expects it gets `100 Continue`.
    is_requested: bool,
    /// True for a caller that sends the body only when it is requested.
    expects_continue: bool,
    /// Size up to which the rest is discarded, in bytes.
    max_discarded: usize,
    cx: Rc<Context>,
    discards: Rc<Discards>,
}

impl CallerBody {
    /// Creates the body of a request on a connection.
    pub(crate) fn new(
        body: CountedBody,
        expects_continue: bool,
        max_discarded: usize,
        cx: &Rc<Context>,
        discards: &Rc<Discards>,
    ) -> CallerBody {
        discards.is_unread.set(!body.is_end_stream());
        CallerBody {
            body: Some(body),
            is_requested: false,
            expects_continue,
            max_discarded,
            cx: cx.clone(),
            discards: discards.clone(),
        }
    }
}

impl HttpBody for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        self.is_requested = true;
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(body).poll_frame(cx));
        if !matches!(frame, Some(Ok(_))) {
            self.body = None;
            self.discards.is_unread.set(false);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let body = self.body.as_ref();
        body.map_or_else(|| SizeHint::with_exact(0), HttpBody::size_hint)
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.discards.is_unread.set(false);
        let is_sent = self.is_requested || !self.expects_continue;
        let may_discard = is_sent && self.cx.discards.get() < MAX_DISCARDS;
        if self.is_end_stream() || !may_discard {
            return;
        }
        if let Some(body) = self.body.take() {
            let is_small = body
                .size_hint()
                .upper()
                .is_some_and(|n| n <= SMALL_BODY_BYTES);
            if !is_small {
                self.discards.has_large.set(true);
            }
            let discard = Discard::new(&self.cx, &self.discards);
            let max_bytes = self.max_discarded;
            tokio::task::spawn_local(async move {
                let outcome =
                    tokio::time::timeout(DISCARD_TIMEOUT, read_rest(body, max_bytes)).await;
                log::debug!("event=body_discarded complete={}", outcome == Ok(true));
                drop(discard);
            });
        }
    }
}

/// Reads a body up to the given number of bytes, and returns whether it has ended by then.
async fn read_rest(mut body: CountedBody, max_bytes: usize) -> bool {
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        read += frame.data_ref().map_or(0, Bytes::len);
        if read > max_bytes {
            return false;
        }
    }
    true
}
