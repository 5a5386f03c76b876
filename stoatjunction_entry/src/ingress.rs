//! Connections of callers, and the readiness endpoint for the balancer.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONNECTION, EXPECT};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stoatjunction_core::time::Span;
use stoatjunction_net::occurrences::Occurrences;
use stoatjunction_net::read_limit::{CountedBody, limit_reads};
use stoatjunction_net::socket_errors::{SocketErrors, concerns_one_peer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::body::Body;
use crate::caller_body::CallerBody;
use crate::caller_connections::{
    ActiveRequest, Activity, FIRST_REQUEST_TIME, OpenConnection, WrittenBody,
};
use crate::caller_input::InputLimits;
use crate::clock;
use crate::forward;
use crate::probe_server;
use crate::sockets;
use crate::state::{Context, InProgress, Phase};
use crate::stream_buffer::CallerConnection;
use crate::write_watch::WatchedConnection;

/// Time within which a connection that is being opened is open.
const OPENING_TIME: Duration = Duration::from_millis(20);
/// Time for other connections before one is refused for which there is no room.
const ROOM_PAUSE: Duration = Duration::from_millis(2);
/// Smallest buffer for request heads that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 16 * 1024;

/// Accepts callers' connections until the daemon is closing, and then those that wait to be accepted:
/// their callers count on an answer.
pub(crate) async fn accept(
    cx: Rc<Context>,
    listener: Rc<TcpListener>,
    phase: watch::Receiver<Phase>,
) {
    let callers = Callers {
        refused: RefCell::default(),
        phase: phase.clone(),
        cx,
    };
    let mut closing = phase;
    let mut errors = SocketErrors::new("callers");
    loop {
        let stream = tokio::select! {
            (stream, _) = errors.accept(&listener) => stream,
            _ = closing.wait_for(|p| *p == Phase::Closing) => break,
        };
        if !callers.cx.callers.has_room() {
            // Those accepted just now may be read, and those that leave may end.
            tokio::time::sleep(ROOM_PAUSE).await;
        }
        callers.admit(stream);
    }
    if let Err(e) = callers.admit_last(&listener).await {
        log::warn!("event=accept_failed reason={e}");
    }
}

/// Takes connections of callers.
struct Callers {
    cx: Rc<Context>,
    /// Connections that were closed because there was no room.
    refused: RefCell<Occurrences>,
    phase: watch::Receiver<Phase>,
}

impl Callers {
    /// Serves a connection, if there is room for it.
    fn admit(&self, stream: TcpStream) {
        let Some(connection) = OpenConnection::open(&self.cx) else {
            return self.log_refused();
        };
        let (cx, phase) = (self.cx.clone(), self.phase.clone());
        if *phase.borrow() != Phase::Serving {
            expect_request(&cx);
        }
        tokio::task::spawn_local(serve(cx, stream, connection, phase));
    }

    fn log_refused(&self) {
        self.cx.metrics.count("callers_without_room", &[]);
        if let Some(count) = self.refused.borrow_mut().record(Instant::now()) {
            let open = self.cx.callers.count();
            log::warn!("event=too_many_connections open={open} count={count}");
        }
    }

    /// Serves the last connections, after which the listener may be closed.
    async fn admit_last(&self, listener: &TcpListener) -> io::Result<()> {
        match sockets::stop_opening(listener) {
            Ok(()) => tokio::time::sleep(OPENING_TIME).await,
            Err(e) => log::info!("event=listener_filter_failed reason={e}"),
        }
        self.admit_waiting(listener)
    }

    /// Serves the connections that wait to be accepted. Asks the socket itself: the runtime may not know of
    /// the latest ones yet.
    fn admit_waiting(&self, listener: &TcpListener) -> io::Result<()> {
        let socket = SockRef::from(listener);
        loop {
            match socket.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    self.admit(TcpStream::from_std(stream.into())?);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if concerns_one_peer(&e) => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// Keeps a stopping daemon from ending before the first request on a new connection can have arrived.
fn expect_request(cx: &Rc<Context>) {
    let expected = InProgress::new(cx);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(FIRST_REQUEST_TIME.into()).await;
        drop(expected);
    });
}

async fn serve(
    cx: Rc<Context>,
    stream: TcpStream,
    connection: OpenConnection,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(e) = sockets::set_caller_options(&stream, cx.caller_buffers) {
        log::debug!("event=socket_options_failed reason={e}");
    }
    let activity = connection.activity.clone();
    let (counter, progress) = (activity.counter.clone(), activity.progress.clone());
    let caller = CallerConnection::default();
    let service = {
        let (cx, activity, counter) = (cx.clone(), activity.clone(), counter.clone());
        let caller = caller.clone();
        service_fn(move |req: Request<Incoming>| {
            let expects_continue = req.headers().contains_key(EXPECT);
            let max_discarded = max_body_bytes(&cx);
            let mut req = req.map(|body| {
                let body = CountedBody::new(body, &counter);
                CallerBody::new(
                    body,
                    expects_continue,
                    max_discarded,
                    &cx,
                    &activity.discards,
                )
            });
            req.extensions_mut().insert(caller.clone());
            handle(cx.clone(), activity.clone(), req)
        })
    };
    let limits = cx.state.borrow().routes.as_ref().map(|r| r.cfg().limits);
    let head_bytes = limits
        .unwrap_or_default()
        .header_bytes
        .max(MIN_HEAD_BUFFER_BYTES);
    let stream = WatchedConnection::new(stream, progress.clone());
    let stream = limit_reads(stream, counter.clone());
    let input_limits = InputLimits {
        counter,
        held: cx.memory.input(),
        head_timeout: limits.unwrap_or_default().header_timeout.into(),
    };
    let reads_head = {
        let activity = activity.clone();
        move || activity.in_progress.get() == 0
    };
    let conn = http1::Builder::new()
        .max_buf_size(head_bytes)
        .serve_connection(
            TokioIo::new(input_limits.apply(stream, reads_head)),
            service,
        );
    tokio::pin!(conn);
    loop {
        let idle_at = activity.last_used_at.get() + idle_timeout(&cx);
        tokio::select! {
            _ = conn.as_mut() => return,
            () = caller.closes() => return,
            () = progress.stalls(&cx.memory) => {
                log::info!("event=caller_disconnected held={}", cx.memory.held());
                cx.metrics.count("callers_disconnected", &[]);
                return;
            }
            () = closes(&mut phase, &activity) => break,
            () = activity.leaves.notified() => {
                cx.metrics.count("callers_gave_way", &[]);
                // Nothing of its request has run.
                if activity.is_unfinished() {
                    return;
                }
                break;
            }
            () = tokio::time::sleep_until(clock::instant(idle_at)) => {
                let idle = activity.in_progress.get() == 0 && !activity.discards.are_in_progress();
                if idle && clock::now() >= activity.last_used_at.get() + idle_timeout(&cx) {
                    break;
                }
                if !idle {
                    activity.last_used_at.set(clock::now());
                }
            }
        }
    }
    // The HTTP library would close a connection on which a response has ended, and the rest of its request's body is
    // still being read.
    tokio::select! {
        _ = conn.as_mut() => return,
        () = activity.discards.end() => {}
    }
    conn.as_mut().graceful_shutdown();
    let _ended_by_either_side = conn.await;
}

/// Waits until the daemon is closing and the first request on the connection has begun or can no longer be
/// expected.
async fn closes(phase: &mut watch::Receiver<Phase>, activity: &Activity) {
    let _sender_is_held = phase.wait_for(|p| *p == Phase::Closing).await;
    if !activity.has_begun.get() {
        tokio::time::sleep_until(clock::instant(activity.opened_at + FIRST_REQUEST_TIME)).await;
    }
}

/// Returns the largest body that callers may send, in bytes.
fn max_body_bytes(cx: &Context) -> usize {
    let state = cx.state.borrow();
    let limits = state.routes.as_ref().map(|r| r.cfg().limits);
    limits.unwrap_or_default().body_bytes
}

fn idle_timeout(cx: &Context) -> Span {
    let state = cx.state.borrow();
    let limits = state.routes.as_ref().map(|r| r.cfg().limits);
    limits.unwrap_or_default().idle_timeout
}

async fn handle(
    cx: Rc<Context>,
    activity: Rc<Activity>,
    req: Request<CallerBody>,
) -> Result<Response<WrittenBody>, Infallible> {
    let _active = ActiveRequest::new(&cx, &activity);
    let takes_chunks = req.version() >= Version::HTTP_11;
    let mut res = forward::handle(cx.clone(), req).await;
    if cx.state.borrow().phase != Phase::Serving || activity.discards.may_not_end() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    if res.body().is_stream() && !takes_chunks {
        activity.progress.ends_with_connection();
    }
    Ok(res.map(|body| WrittenBody::new(body, &activity)))
}

/// Answers the balancer's readiness checks until the process ends.
pub(crate) async fn serve_readiness(cx: Rc<Context>, listener: Rc<TcpListener>) {
    let max_open = cx.file_shares.checks;
    let respond = move |_: &Request<Incoming>| {
        // Without its port for heartbeats the host would take itself for the only one.
        let hears_hosts = cx.gossip_socket.get().is_some();
        // The balancer sends new connections to hosts that are ready.
        let takes_callers = cx.callers.has_room();
        readiness_response(hears_hosts && takes_callers && cx.state.borrow().is_ready(clock::now()))
    };
    probe_server::serve(&listener, "readiness", max_open, respond).await;
}

fn readiness_response(ready: bool) -> Response<Body> {
    let mut res = Response::new(Body::full(Bytes::from_static(b"{}")));
    if !ready {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}

/// Opens the listeners for callers and the balancer, that for callers last: once it is open, callers wait there.
pub(crate) async fn bind(
    callers: SocketAddr,
    ready: SocketAddr,
    memory_limit_mb: Option<u64>,
) -> io::Result<(TcpListener, TcpListener)> {
    let ready = sockets::listen_when_possible(ready, "readiness").await?;
    let callers = sockets::listen_for_callers(callers, memory_limit_mb).await?;
    Ok((callers, ready))
}
