//! HTTP for the balancer and for monitoring, which send small requests on few connections. Whatever else connects takes a
//! bounded part of the memory and of the file descriptors.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::body::Body;

/// Connections that are open at once; the one that was opened first gives way to a further one.
const MAX_CONNECTIONS: usize = 64;
/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time within which the head of the next request arrives on an open connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers the requests on `listener` with `respond` for as long as the daemon runs.
pub(crate) async fn serve<F>(listener: TcpListener, purpose: &'static str, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
{
    let mut connections = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("event=probe_accept_failed purpose={purpose} reason={e}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        make_room(&mut connections);
        let task = tokio::task::spawn_local(serve_connection(stream, purpose, respond.clone()));
        connections.push_back(task.abort_handle());
    }
}

/// Closes the connection that was opened first, if too many are open.
fn make_room(connections: &mut VecDeque<AbortHandle>) {
    if connections.len() < MAX_CONNECTIONS {
        return;
    }
    connections.retain(|c| !c.is_finished());
    if connections.len() >= MAX_CONNECTIONS
        && let Some(first) = connections.pop_front()
    {
        first.abort();
    }
}

async fn serve_connection<F>(stream: TcpStream, purpose: &'static str, respond: F)
where
    F: Fn(&Request<Incoming>) -> Response<Body> + 'static,
{
    let service = service_fn(move |req: Request<Incoming>| {
        let res = respond(&req);
        async move { Ok::<_, Infallible>(res) }
    });
    let conn = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = conn.await {
        log::debug!("event=probe_connection_failed purpose={purpose} reason=\"{e}\"");
    }
}
