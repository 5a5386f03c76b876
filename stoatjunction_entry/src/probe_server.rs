//! HTTP for the balancer and for monitoring, which send small requests on few connections. Whatever else connects takes a
//! bounded part of the memory and of the file descriptors.

use std::convert::Infallible;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use stoatjunction_net::socket_errors::SocketErrors;
use tokio::net::{TcpListener, TcpStream};

use crate::body::Body;
use crate::recent_connections::RecentConnections;

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time within which the head of the next request arrives on an open connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers the requests on `listener` with `respond` for as long as the daemon runs. Of the connections, the `max_open` most
/// recent ones stay open.
pub(crate) async fn serve<F>(
    listener: &TcpListener,
    purpose: &'static str,
    max_open: usize,
    respond: F,
) where
    F: Fn(&Request<Incoming>) -> Response<Body> + Clone + 'static,
{
    let mut errors = SocketErrors::new(purpose);
    let mut connections = RecentConnections::new(max_open);
    loop {
        let (stream, _) = errors.accept(listener).await;
        connections.serve(serve_connection(stream, purpose, respond.clone()));
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
