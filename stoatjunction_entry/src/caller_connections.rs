//! Open connections of callers. There is room for so many; one that is idle gives way to a new one, or else one whose caller has
//! begun to send a request and not ended it.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context as TaskContext, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use indexmap::IndexMap;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::read_limit::ReadCounter;
use tokio::sync::Notify;

use crate::body::{Body, StreamAborted};
use crate::caller_body::Discards;
use crate::clock;
use crate::state::{Context, InProgress};
use crate::write_watch::WriteProgress;

/// Time within which the first request on a new connection arrives: callers are a few milliseconds away.
pub(crate) const FIRST_REQUEST_TIME: Span = Span::from_millis(300);
/// Time in which a caller may send a request before its connection gives way to others.
const SENDING_TIME: Span = Span::from_millis(50);
/// Connections that close at the moment to give way, at most.
const MAX_LEAVING: usize = 32;

/// Connections of callers by number.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    max: usize,
    open: RefCell<IndexMap<u64, Rc<Activity>>>,
    next: Cell<u64>,
}

impl CallerConnections {
    /// Creates room for `max` connections.
    pub(crate) fn new(max: usize) -> CallerConnections {
        CallerConnections {
            max,
            open: RefCell::default(),
            next: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the number of connections for which there is room.
    pub(crate) fn max(&self) -> usize {
        self.max
    }

    /// Returns whether a new connection would be taken.
    pub(crate) fn has_room(&self) -> bool {
        self.count() < self.max || self.first_to_leave().is_some()
    }

    /// Takes a new connection, for which one that is idle may have to leave. Returns its number and activity; `None` if
    /// there is no room.
    fn add(&self) -> Option<(u64, Rc<Activity>)> {
        if self.count() >= self.max {
            let leaving = self.first_to_leave()?;
            leaving.is_leaving.set(true);
            leaving.leaves.notify_one();
        }
        let (number, activity) = (self.next.get(), Rc::<Activity>::default());
        self.next.set(number + 1);
        self.open.borrow_mut().insert(number, activity.clone());
        Some((number, activity))
    }

    /// Returns the connection that has been idle for longest, or else the one whose request has not ended for longest; none
    /// if many are leaving already.
    fn first_to_leave(&self) -> Option<Rc<Activity>> {
        let open = self.open.borrow();
        if open.len() >= self.max + MAX_LEAVING {
            return None;
        }
        let staying = || open.values().filter(|a| !a.is_leaving.get());
        let idle = staying().filter(|a| a.is_idle());
        let idle = idle.min_by_key(|a| a.last_used_at.get());
        let unfinished = || {
            let unfinished = staying().filter(|a| a.is_unfinished() && a.has_had_time());
            unfinished.min_by_key(|a| a.last_used_at.get())
        };
        idle.or_else(unfinished).cloned()
    }
}

/// A connection that counts as open until this is dropped.
pub(crate) struct OpenConnection {
    cx: Rc<Context>,
    number: u64,
    pub(crate) activity: Rc<Activity>,
}

impl OpenConnection {
    /// Takes a new connection, if there is room.
    pub(crate) fn open(cx: &Rc<Context>) -> Option<OpenConnection> {
        let (number, activity) = cx.callers.add()?;
        Some(OpenConnection {
            cx: cx.clone(),
            number,
            activity,
        })
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut open = self.cx.callers.open.borrow_mut();
        open.swap_remove(&self.number);
    }
}

/// Activity on a connection.
#[derive(Debug)]
pub(crate) struct Activity {
    pub(crate) opened_at: Time,
    /// True once a request has begun.
    pub(crate) has_begun: Cell<bool>,
    pub(crate) last_used_at: Cell<Time>,
    /// Requests without a response.
    pub(crate) in_progress: Cell<usize>,
    /// Responses that are not written yet.
    writing: Cell<usize>,
    pub(crate) discards: Rc<Discards>,
    /// Bytes read of a request whose head is not whole yet.
    pub(crate) counter: ReadCounter,
    pub(crate) progress: Rc<WriteProgress>,
    is_leaving: Cell<bool>,
    /// Tells the connection to give way to another one.
    pub(crate) leaves: Notify,
}

impl Default for Activity {
    fn default() -> Activity {
        Activity {
            opened_at: clock::now(),
            has_begun: Cell::new(false),
            last_used_at: Cell::new(clock::now()),
            in_progress: Cell::new(0),
            writing: Cell::new(0),
            discards: Rc::default(),
            counter: ReadCounter::default(),
            progress: Rc::default(),
            is_leaving: Cell::new(false),
            leaves: Notify::new(),
        }
    }
}

impl Activity {
    /// Returns whether the connection can be closed without a loss: no request has begun and no response is being written.
    fn is_idle(&self) -> bool {
        let may_begin =
            !self.has_begun.get() && clock::now().since(self.opened_at) < FIRST_REQUEST_TIME;
        let is_busy = self.in_progress.get() > 0 || self.counter.has_read() || self.is_writing();
        !may_begin && !is_busy && !self.discards.are_in_progress()
    }

    /// Returns whether the caller has begun to send a request and not ended it, so that it has not run.
    pub(crate) fn is_unfinished(&self) -> bool {
        let is_head = self.in_progress.get() == 0 && self.counter.has_read();
        (is_head || self.discards.is_body_unread()) && !self.is_writing()
    }

    fn is_writing(&self) -> bool {
        self.writing.get() > 0 || self.progress.is_waiting()
    }

    fn has_had_time(&self) -> bool {
        clock::now().since(self.last_used_at.get()) >= SENDING_TIME
    }
}

/// Request in progress on a connection. Dropping it ends the request.
pub(crate) struct ActiveRequest {
    activity: Rc<Activity>,
    _in_progress: InProgress,
}

impl ActiveRequest {
    /// Counts a request as in progress.
    pub(crate) fn new(cx: &Rc<Context>, activity: &Rc<Activity>) -> ActiveRequest {
        activity.has_begun.set(true);
        activity.last_used_at.set(clock::now());
        activity.in_progress.set(activity.in_progress.get() + 1);
        ActiveRequest {
            activity: activity.clone(),
            _in_progress: InProgress::new(cx),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let in_progress = &self.activity.in_progress;
        in_progress.set(in_progress.get() - 1);
        self.activity.last_used_at.set(clock::now());
    }
}

/// A response body whose connection is not idle until it is written or dropped.
#[derive(Debug)]
pub(crate) struct WrittenBody {
    body: Body,
    activity: Rc<Activity>,
}

impl WrittenBody {
    /// Has a body keep its connection from being idle.
    pub(crate) fn new(body: Body, activity: &Rc<Activity>) -> WrittenBody {
        activity.writing.set(activity.writing.get() + 1);
        WrittenBody {
            body,
            activity: activity.clone(),
        }
    }
}

impl Drop for WrittenBody {
    fn drop(&mut self) {
        let writing = &self.activity.writing;
        writing.set(writing.get() - 1);
        self.activity.last_used_at.set(clock::now());
    }
}

impl HttpBody for WrittenBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
