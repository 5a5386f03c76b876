//! Connections to upstreams that this host opens for hosts which are cut off from them.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Request, Response, StatusCode};
use stoatjunction_net::admin::query_value;
use stoatjunction_net::frame_limit::limit_frames;
use stoatjunction_net::read_limit::ReadCounter;
use stoatjunction_net::socket_errors::SocketErrors;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::attempt::UpstreamTarget;
use crate::connection_pool::CONNECT_TIMEOUT;
use crate::sockets::{self, MAX_HEADER_LIST_BYTES};
use crate::state::{Context, InProgress, Phase};
use crate::tunnel_stream::{TunnelReader, TunnelStream, TunnelWriter};
use crate::tunnels::{REFUSED, TIMED_OUT, UNAVAILABLE, WINDOW_BYTES};
use crate::upstream_connections;

/// Time in which another host begins to use its connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 8 * 1024;
/// Streams that one other host may open at once.
const MAX_STREAMS: u32 = 400;

/// Serves other hosts.
pub(crate) async fn serve(cx: Rc<Context>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    let mut errors = SocketErrors::new("tunnels");
    loop {
        let (stream, _) = errors.accept(&listener).await;
        let (cx, open) = (cx.clone(), open.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_host(&cx, stream, &open).await {
                log::debug!("event=tunnels_ended reason=\"{e}\"");
            }
        });
    }
}

async fn serve_host(cx: &Rc<Context>, stream: TcpStream, open: &Rc<Cell<usize>>) -> io::Result<()> {
    sockets::set_options(&stream)?;
    let counter = ReadCounter::default();
    let stream = limit_frames(stream, counter.clone());
    let handshake = h2::server::Builder::new()
        .initial_connection_window_size(WINDOW_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(stream);
    let shaken = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    let shaken = shaken.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    let mut conn = shaken.map_err(io::Error::other)?;
    while let Some(accepted) = conn.accept().await {
        let (req, respond) = accepted.map_err(io::Error::other)?;
        counter.reset();
        let (cx, open, counter) = (cx.clone(), open.clone(), counter.clone());
        tokio::task::spawn_local(async move {
            if let Err(e) = serve_tunnel(&cx, req, respond, &open, &counter).await {
                log::debug!("event=tunnel_ended reason=\"{e}\"");
            }
        });
    }
    Ok(())
}

/// A tunnel that counts as open until it is dropped.
struct OpenTunnel<'a> {
    open: &'a Cell<usize>,
    _in_progress: InProgress,
}

impl<'a> OpenTunnel<'a> {
    fn new(cx: &Rc<Context>, open: &'a Cell<usize>) -> Option<OpenTunnel<'a>> {
        let may_open =
            open.get() < cx.file_shares.tunnels && cx.state.borrow().phase != Phase::Closing;
        may_open.then(|| {
            open.set(open.get() + 1);
            OpenTunnel {
                open,
                _in_progress: InProgress::new(cx),
            }
        })
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

async fn serve_tunnel(
    cx: &Rc<Context>,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    open: &Cell<usize>,
    counter: &ReadCounter,
) -> io::Result<()> {
    let tunnel = OpenTunnel::new(cx, open);
    let connected = match &tunnel {
        Some(_) => connect(cx, &req).await,
        None => Err(UNAVAILABLE),
    };
    let result = connected
        .as_ref()
        .map_or_else(StatusCode::as_str, |_| "200");
    cx.metrics.count("tunnels_served", &[("result", result)]);
    let mut res = Response::new(());
    let upstream = match connected {
        Ok(upstream) => upstream,
        Err(status) => {
            *res.status_mut() = status;
            let sent = respond.send_response(res, true);
            return sent.map(|_| ()).map_err(io::Error::other);
        }
    };
    let tx = respond
        .send_response(res, false)
        .map_err(io::Error::other)?;
    let reads_trailers = reads_trailers(&req);
    let progress = Progress {
        counter,
        is_broken: Cell::new(false),
    };
    let (reader, writer) = TunnelStream::new(tx, req.into_body()).into_split();
    let (from_upstream, to_upstream) = upstream.into_split();
    tokio::try_join!(
        pass_responses(from_upstream, writer, &progress, reads_trailers),
        pass_requests(reader, to_upstream, &progress),
    )?;
    Ok(())
}

/// Returns whether the other host knows trailers of broken connections.
fn reads_trailers(req: &Request<RecvStream>) -> bool {
    let query = req.uri().query().unwrap_or_default();
    query_value(query, "broken-as") == Some("trailers")
}

/// What the two directions of a tunnel tell each other and the connection that they are on.
struct Progress<'a> {
    counter: &'a ReadCounter,
    /// True once the upstream has broken its connection.
    is_broken: Cell<bool>,
}

/// Passes on what the upstream sends, to the last byte, and then how its connection ended.
async fn pass_responses(
    mut from: OwnedReadHalf,
    mut to: TunnelWriter,
    progress: &Progress<'_>,
    reads_trailers: bool,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let end = loop {
        match from.read(&mut buf).await {
            Ok(0) => break Ok(()),
            Ok(len) => to.write_all(&buf[..len]).await?,
            Err(e) => break Err(e),
        }
        progress.counter.reset();
    };
    match end {
        // The kernel tells a reset only once: to the reader or to the writer.
        Ok(()) if !progress.is_broken.get() => to.shutdown().await,
        _ if reads_trailers => to.end_broken(),
        Ok(()) => Err(io::ErrorKind::ConnectionReset.into()),
        Err(e) => Err(e),
    }
}

/// Passes on what the other host sends, until it has all that it wants. What an upstream does not take is dropped: its
/// response may be whole all the same.
async fn pass_requests(
    mut from: TunnelReader,
    mut to: OwnedWriteHalf,
    progress: &Progress<'_>,
) -> io::Result<()> {
    let is_broken = &progress.is_broken;
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let written = match from.read(&mut buf).await? {
            0 if is_broken.get() => return Ok(()),
            0 => {
                is_broken.set(to.shutdown().await.is_err());
                return Ok(());
            }
            _ if is_broken.get() => Ok(()),
            len => to.write_all(&buf[..len]).await,
        };
        progress.counter.reset();
        is_broken.set(is_broken.get() || written.is_err());
    }
}

/// Connects to the listed upstream that a request names, over a connection of this host's own.
async fn connect(cx: &Rc<Context>, req: &Request<RecvStream>) -> Result<TcpStream, StatusCode> {
    let query = req.uri().query().unwrap_or_default();
    let number = query_value(query, "upstream").and_then(|n| n.parse().ok());
    let target = number.and_then(|number| target_of(cx, number));
    let target = target.ok_or(UNAVAILABLE)?;
    let service = &target.service;
    if upstream_connections::is_cut_off(cx, service) {
        return Err(UNAVAILABLE);
    }
    let connected =
        sockets::connect_to_upstream(&target.addr, CONNECT_TIMEOUT, cx.upstream_buffers).await;
    let e = match connected {
        Ok(stream) => return Ok(stream),
        Err(e) => e,
    };
    upstream_connections::record_unreached(cx, service, target.number).await;
    let concerns_upstream = upstream_connections::concerns_upstream(cx, service, &e).await;
    Err(match e.kind() {
        _ if !concerns_upstream || upstream_connections::is_cut_off(cx, service) => UNAVAILABLE,
        io::ErrorKind::ConnectionRefused => REFUSED,
        _ => TIMED_OUT,
    })
}

fn target_of(cx: &Context, number: u64) -> Option<UpstreamTarget> {
    let state = cx.state.borrow();
    let mut pools = state.schedulers.values().map(|s| &s.pool);
    let upstream = pools.find_map(|p| p.upstream(p.key_by_number(number)?));
    upstream.map(UpstreamTarget::new)
}
