//! Connections to upstreams through other hosts, while this one is cut off from them.

use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use indexmap::IndexMap;
use stoatjunction_core::time::{Span, Time};

use crate::attempt::UpstreamTarget;
use crate::clock;
use crate::connection_pool::CONNECT_TIMEOUT;
use crate::sockets::{self, MAX_HEADER_LIST_BYTES};
use crate::state::Context;
use crate::tunnel_stream::TunnelStream;

/// Answer of a host to which the upstream refused the connection.
pub(crate) const REFUSED: StatusCode = StatusCode::BAD_GATEWAY;
/// Answer of a host to which the upstream did not answer in time.
pub(crate) const TIMED_OUT: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// Answer of a host that opens no connection to the upstream, as when it is cut off as well.
pub(crate) const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Bytes that may be under way on the connection between two hosts, so that a caller who reads slowly holds up no
/// other one.
pub(crate) const WINDOW_BYTES: u32 = 8 << 20;

/// Time within which another host opens a connection to an upstream.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Hosts that are asked for one connection.
const MAX_HOSTS: usize = 3;
/// Time for which a host that opened no connection is asked last.
const FAILURE_AGE: Span = Span::from_millis(1_000);

/// Connections to other hosts.
#[derive(Debug, Default)]
pub(crate) struct Tunnels {
    hosts: RefCell<IndexMap<IpAddr, SendRequest<Bytes>>>,
    failed: RefCell<IndexMap<IpAddr, Time>>,
}

impl Tunnels {
    /// Forgets the connections to other hosts; each ends with the last tunnel on it.
    pub(crate) fn clear(&self) {
        self.hosts.borrow_mut().clear();
    }

    fn record_failed(&self, host: IpAddr) {
        self.hosts.borrow_mut().swap_remove(&host);
        self.failed.borrow_mut().insert(host, clock::now());
    }

    fn failed_lately(&self, host: IpAddr, now: Time) -> bool {
        let failed = self.failed.borrow();
        failed
            .get(&host)
            .is_some_and(|at| now.since(*at) < FAILURE_AGE)
    }
}

/// Opens a connection to an upstream through another host that reaches it.
///
/// # Errors
///
/// An error of the kind `ConnectionRefused` or `TimedOut` if the upstream took no connection from that host, another
/// one if no host could try it.
pub(crate) async fn open(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<TunnelStream> {
    for host in hosts_to_ask(cx, &target.service) {
        let opened = tokio::time::timeout(OPEN_TIMEOUT, open_through(cx, host, target)).await;
        let reason = match opened {
            Ok(Ok(Answer::Opened(stream))) => {
                count(cx, "opened");
                return Ok(*stream);
            }
            Ok(Ok(Answer::Failed(kind))) => {
                count(cx, "failed");
                return Err(kind.into());
            }
            Ok(Ok(Answer::Unavailable)) => "the host is cut off as well".to_owned(),
            Ok(Err(e)) => e.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::info!(
            "event=tunnel_failed host={host} upstream={} reason=\"{reason}\"",
            target.id
        );
        count(cx, "unavailable");
        cx.tunnels.record_failed(host);
    }
    Err(io::ErrorKind::HostUnreachable.into())
}

fn count(cx: &Context, result: &str) {
    cx.metrics.count("tunnels", &[("result", result)]);
}

/// Returns the hosts that may reach the upstreams of a service, in the order in which they are asked: those of this
/// data centre first, since traffic between data centres is billed, and otherwise at random.
fn hosts_to_ask(cx: &Context, service: &str) -> Vec<IpAddr> {
    let now = clock::now();
    let state = cx.state.borrow();
    let peers = state.peers.iter().filter(|(_, p)| {
        !p.leaving && !state.is_unreachable(p, now) && !p.cut_off.iter().any(|s| s == service)
    });
    let mut hosts: Vec<(bool, bool, u32, IpAddr)> = peers
        .map(|(ip, p)| {
            let has_failed = cx.tunnels.failed_lately(*ip, now);
            (has_failed, !state.is_local(p), fastrand::u32(..), *ip)
        })
        .collect();
    hosts.sort_unstable();
    let hosts = hosts.into_iter().take(MAX_HOSTS);
    hosts.map(|(_, _, _, ip)| ip).collect()
}

/// What another host answered.
enum Answer {
    Opened(Box<TunnelStream>),
    /// The upstream took no connection.
    Failed(io::ErrorKind),
    /// The host opens no connection to the upstream.
    Unavailable,
}

async fn open_through(
    cx: &Rc<Context>,
    host: IpAddr,
    target: &UpstreamTarget,
) -> io::Result<Answer> {
    let mut sender = sender_to(cx, host).await?;
    let uri = format!(
        "http://host/tunnel?upstream={}&broken-as=trailers",
        target.number
    );
    let req = Request::post(uri);
    let req = req.body(()).map_err(io::Error::other)?;
    let (res, tx) = sender.send_request(req, false).map_err(io::Error::other)?;
    let res = res.await.map_err(io::Error::other)?;
    Ok(match res.status() {
        StatusCode::OK => {
            let stream = TunnelStream::new(tx, res.into_body());
            Answer::Opened(Box::new(stream))
        }
        REFUSED => Answer::Failed(io::ErrorKind::ConnectionRefused),
        TIMED_OUT => Answer::Failed(io::ErrorKind::TimedOut),
        _ => Answer::Unavailable,
    })
}

/// Returns the connection to another host, opened if there is none.
async fn sender_to(cx: &Rc<Context>, host: IpAddr) -> io::Result<SendRequest<Bytes>> {
    let kept = cx.tunnels.hosts.borrow().get(&host).cloned();
    if let Some(kept) = kept
        && let Ok(ready) = kept.ready().await
    {
        return Ok(ready);
    }
    let addr = SocketAddr::new(host, cx.settings.tunnel_port).to_string();
    let stream = sockets::connect(&addr, CONNECT_TIMEOUT).await?;
    let handshake = h2::client::Builder::new()
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .enable_push(false)
        .handshake(stream);
    let (sender, conn) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        let _ended_by_either_side = conn.await;
    });
    let sender = sender.ready().await.map_err(io::Error::other)?;
    cx.tunnels.hosts.borrow_mut().insert(host, sender.clone());
    Ok(sender)
}
