//! Callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use stoatjunction_core::time::{Span, Time};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::board::{Context, InProgress, Phase};
use crate::body::Body;
use crate::clock;
use crate::forward;
use crate::sockets;

/// Open files that are kept for other than callers' connections.
const RESERVED_FILES: usize = 1_200;
/// Least size of a buffer for heads that the HTTP library takes.
const MIN_HEAD_BUFFER: usize = 16 * 1024;

/// Accepts callers' connections until the daemon closes.
pub(crate) async fn accept(cx: Rc<Context>, listener: TcpListener, phase: watch::Receiver<Phase>) {
    let open = Rc::new(Cell::new(0_usize));
    let most = cx.settings.files.saturating_sub(RESERVED_FILES).max(64);
    let mut closing = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|p| *p == Phase::Closing) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("event=accept_failed reason={e}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        if open.get() >= most {
            log::warn!("event=too_many_connections open={}", open.get());
            continue;
        }
        let open = open.clone();
        open.set(open.get() + 1);
        let (cx, phase) = (cx.clone(), phase.clone());
        tokio::task::spawn_local(async move {
            serve(cx, stream, phase).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve(cx: Rc<Context>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    if let Err(e) = sockets::set_options(&stream) {
        log::debug!("event=socket_option reason={e}");
    }
    let used = Rc::new(Use::default());
    let service = {
        let (cx, used) = (cx.clone(), used.clone());
        service_fn(move |req| answer(cx.clone(), used.clone(), req))
    };
    let limits = cx.board.borrow().routes.as_ref().map(|r| r.cfg().limits);
    let head = limits.unwrap_or_default().header_bytes.max(MIN_HEAD_BUFFER);
    let conn = http1::Builder::new()
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    loop {
        let idle_at = used.last.get() + idle_limit(&cx);
        tokio::select! {
            _ = conn.as_mut() => return,
            _ = phase.wait_for(|p| *p == Phase::Closing) => break,
            () = tokio::time::sleep_until(clock::instant(idle_at)) => {
                let idle = used.running.get() == 0;
                if idle && clock::now() >= used.last.get() + idle_limit(&cx) {
                    break;
                }
                if !idle {
                    used.last.set(clock::now());
                }
            }
        }
    }
    conn.as_mut().graceful_shutdown();
    let _ended_by_either_side = conn.await;
}

fn idle_limit(cx: &Context) -> Span {
    let board = cx.board.borrow();
    let limits = board.routes.as_ref().map(|r| r.cfg().limits);
    limits.unwrap_or_default().idle_timeout
}

/// Use of a connection.
struct Use {
    last: Cell<Time>,
    running: Cell<usize>,
}

impl Default for Use {
    fn default() -> Use {
        Use {
            last: Cell::new(clock::now()),
            running: Cell::new(0),
        }
    }
}

/// Marks a connection as busy.
struct Busy {
    used: Rc<Use>,
    _in_progress: InProgress,
}

impl Busy {
    fn new(cx: &Rc<Context>, used: &Rc<Use>) -> Busy {
        used.running.set(used.running.get() + 1);
        Busy {
            used: used.clone(),
            _in_progress: InProgress::new(cx),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.used.running.set(self.used.running.get() - 1);
        self.used.last.set(clock::now());
    }
}

async fn answer(
    cx: Rc<Context>,
    used: Rc<Use>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let _busy = Busy::new(&cx, &used);
    let mut res = forward::handle(cx.clone(), req).await;
    if cx.board.borrow().phase != Phase::Serving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(CONNECTION, close);
    }
    Ok(res)
}

/// Answers the balancer until the process ends.
pub(crate) async fn tell_readiness(cx: Rc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let cx = cx.clone();
        let service = service_fn(move |_| {
            let ready = is_ready(&cx);
            async move { Ok::<_, Infallible>(readiness(ready)) }
        });
        tokio::task::spawn_local(async move {
            let conn = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ended_by_either_side = conn.await;
        });
    }
}

fn is_ready(cx: &Context) -> bool {
    let board = cx.board.borrow();
    board.phase == Phase::Serving && board.routes.is_some() && board.has_list
}

fn readiness(ready: bool) -> Response<Body> {
    let mut res = Response::new(Body::whole(Bytes::from_static(b"{}")));
    if !ready {
        *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    res
}

/// Listens for callers and the balancer.
pub(crate) fn listeners(
    callers: SocketAddr,
    ready: SocketAddr,
) -> std::io::Result<(TcpListener, TcpListener)> {
    Ok((sockets::listen(callers)?, sockets::listen(ready)?))
}
