//! Snapshots of the configuration, the list of upstreams and the orders for rollouts, which hosts fetch from each other
//! while the platform's store refuses one of them.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bincode::config::{Limit, LittleEndian, Varint};
use bincode::error::DecodeError;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::config::Configuration;
use stoatjunction_core::entry::list_update::ListUpdate;
use stoatjunction_net::admin::query_value;
use stoatjunction_net::frame_limit::limit_frames;
use stoatjunction_net::read_limit::ReadCounter;
use stoatjunction_net::socket_errors::SocketErrors;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::fleet_identity;
use crate::protocol::Extension;
use crate::rollout_reports::{self, RolloutReport};
use crate::rollouts;
use crate::sockets::{self, MAX_HEADER_LIST_BYTES};
use crate::state::{ConfigurationSource, Context, SharedState};

#[cfg(test)]
mod tests;

/// Timeout for transferring a snapshot.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Least size of an entry of the list in a snapshot: its revision, name, address and start.
const MIN_ENTRY_BYTES: usize = 40;
/// Maximum size of a snapshot.
const MAX_SNAPSHOT_BYTES: usize = 16 << 20;

/// Memory that the decoder may claim for a snapshot.
const MAX_DECODED_BYTES: usize = 4 * MAX_SNAPSHOT_BYTES;

const CONFIG: bincode::config::Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();

/// What a host knows of the state of another one that it asks. Sent in the query of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    /// Version of its configuration; 0 for none.
    config: u64,
    /// Revision of its list of upstreams, if it has one.
    list: Option<u64>,
}

impl Known {
    fn of(state: &SharedState) -> Known {
        Known {
            config: state.routes.as_ref().map_or(0, |r| r.cfg().version),
            list: state.has_list.then(|| state.upstream_list.revision()),
        }
    }

    fn query(self) -> String {
        let list = self.list.map(|revision| format!("&list={revision}"));
        format!("config={}{}", self.config, list.unwrap_or_default())
    }

    fn parse(query: &str) -> Known {
        let number = |name| query_value(query, name).and_then(|v| v.parse().ok());
        Known {
            config: number("config").unwrap_or(0),
            list: number("list"),
        }
    }
}

/// A host's configuration and list of upstreams, as far as they are newer than what the other host
/// knows. Encoded by position and followed by an [`Extension`], as messages between hosts are.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    cfg: Option<Configuration>,
    list: Option<ListUpdate>,
    /// Orders for rollouts, so that no host learns the list without them.
    rollouts: Vec<RolloutReport>,
}

impl Snapshot {
    fn since(known: Known, state: &SharedState) -> Snapshot {
        let cfg = state.routes.as_ref().map(|r| r.cfg());
        Snapshot {
            cfg: cfg.filter(|c| c.version > known.config).cloned(),
            list: state
                .has_list
                .then(|| state.upstream_list.update_since(known.list)),
            rollouts: rollout_reports::build_all(state),
        }
    }
}

impl Snapshot {
    fn encode(&self, extension: &Extension) -> io::Result<Vec<u8>> {
        let encoded = bincode::serde::encode_to_vec(self, CONFIG);
        let mut bytes = encoded.map_err(io::Error::other)?;
        extension.append_to(&mut bytes);
        Ok(bytes)
    }

    /// Decodes a snapshot and what follows it.
    fn decode(bytes: &[u8]) -> Result<(Snapshot, Extension), DecodeError> {
        let (snapshot, len) = bincode::serde::decode_from_slice(bytes, CONFIG)?;
        let extension = bytes.get(len..).and_then(Extension::read);
        Ok((snapshot, extension.unwrap_or_default()))
    }
}

/// Serves this host's snapshot.
pub(crate) async fn serve(cx: Rc<Context>, listener: TcpListener) {
    let mut errors = SocketErrors::new("snapshots");
    loop {
        let (stream, _) = errors.accept(&listener).await;
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = tokio::time::timeout(TRANSFER_TIMEOUT, send(&cx, stream)).await {
                log::debug!("event=snapshot_send_failed reason={e}");
            }
        });
    }
}

async fn send(cx: &Context, stream: TcpStream) -> io::Result<()> {
    let counter = ReadCounter::default();
    let stream = limit_frames(stream, counter.clone());
    let handshake = h2::server::Builder::new()
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .handshake(stream);
    let mut conn = handshake.await.map_err(io::Error::other)?;
    // A transfer lasts until the other host closes the connection.
    let mut transfers = Vec::new();
    while let Some(accepted) = conn.accept().await {
        let (req, mut respond) = accepted.map_err(io::Error::other)?;
        counter.reset();
        let known = Known::parse(req.uri().query().unwrap_or_default());
        let Some((bytes, transfer)) = begin_transfer(cx, known)? else {
            log::debug!("event=snapshot_declined");
            cx.metrics
                .count("snapshots_sent", &[("result", "declined")]);
            let mut res = Response::new(());
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            respond.send_response(res, true).map_err(io::Error::other)?;
            continue;
        };
        transfers.push(transfer);
        cx.metrics.count("snapshots_sent", &[("result", "begun")]);
        let mut tx = respond
            .send_response(Response::new(()), false)
            .map_err(io::Error::other)?;
        tx.send_data(Bytes::from(bytes), true)
            .map_err(io::Error::other)?;
    }
    Ok(())
}

/// Encodes what is newer here than the other host knows. Returns `None` if too many large snapshots are being sent; most
/// requests of a fleet that starts are declined, so that this is decided before anything is encoded.
fn begin_transfer(cx: &Context, known: Known) -> io::Result<Option<(Vec<u8>, Transfer<'_>)>> {
    let snapshot = {
        let state = cx.state.borrow();
        let entries = match state.has_list {
            true => state.upstream_list.changed_since(known.list),
            false => 0,
        };
        if !state
            .snapshot_transfers
            .may_begin(entries * MIN_ENTRY_BYTES)
        {
            return Ok(None);
        }
        Snapshot::since(known, &state)
    };
    let extension = Extension::new(cx.settings.protocol()).of_fleet(cx.fleet.id());
    let bytes = snapshot.encode(&extension)?;
    let transfer = Transfer::try_begin(cx, bytes.len());
    Ok(transfer.map(|transfer| (bytes, transfer)))
}

/// A snapshot that is being sent, until it is dropped.
struct Transfer<'a> {
    cx: &'a Context,
    bytes: usize,
}

impl<'a> Transfer<'a> {
    fn try_begin(cx: &'a Context, bytes: usize) -> Option<Transfer<'a>> {
        let mut state = cx.state.borrow_mut();
        let may_begin = state.snapshot_transfers.try_begin(bytes);
        // A transfer ends when it is dropped, so none is created while the state is borrowed.
        may_begin.then(|| Transfer { cx, bytes })
    }
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        state.snapshot_transfers.end(self.bytes);
    }
}

/// Fetches from the host at `peer` what is newer there, and applies it.
///
/// # Errors
///
/// An I/O error if the host doesn't send a valid snapshot in time.
pub(crate) async fn fetch(cx: &Context, peer: IpAddr) -> io::Result<()> {
    let known = Known::of(&cx.state.borrow());
    if fetch_since(cx, peer, known).await? == ListState::Complete {
        return Ok(());
    }
    log::info!("event=list_incomplete from={peer}");
    let known = Known {
        list: None,
        ..Known::of(&cx.state.borrow())
    };
    fetch_since(cx, peer, known).await.map(|_| ())
}

/// Whether an update of the list brought all that the other host has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    Complete,
    Incomplete,
}

async fn fetch_since(cx: &Context, peer: IpAddr, known: Known) -> io::Result<ListState> {
    let addr = SocketAddr::new(peer, cx.settings.snapshot_port).to_string();
    let exchange = tokio::time::timeout(TRANSFER_TIMEOUT, request(&addr, known)).await;
    let (snapshot, extension) =
        exchange.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if !cx.fleet.is_own(extension.fleet()) {
        fleet_identity::record_foreign(cx, peer);
        return Err(io::Error::other("the host is of another fleet"));
    }
    cx.fleet.assume(extension.fleet(), peer);
    if let Some(cfg) = snapshot.cfg {
        cx.apply_configuration(cfg, ConfigurationSource::Host(peer));
    }
    for report in &snapshot.rollouts {
        let _own_is_newer = rollout_reports::receive(cx, peer, report);
    }
    rollouts::set_orders_read(cx);
    let Some(list) = snapshot.list else {
        return Ok(ListState::Complete);
    };
    let (digest, revision, is_whole) = (list.digest, list.revision, list.is_whole);
    let (has_changed, differs) = {
        let mut state = cx.state.borrow_mut();
        state.has_list = true;
        let has_changed = state.upstream_list.apply_update(list, clock::now());
        (
            has_changed,
            state.upstream_list.differs_from(digest, revision),
        )
    };
    if has_changed {
        cx.sync_pools();
    }
    Ok(match differs && !is_whole {
        true => ListState::Incomplete,
        false => ListState::Complete,
    })
}

async fn request(addr: &str, known: Known) -> io::Result<(Snapshot, Extension)> {
    let stream = sockets::connect(addr, TRANSFER_TIMEOUT).await?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(MAX_SNAPSHOT_BYTES as u32)
        .initial_connection_window_size(MAX_SNAPSHOT_BYTES as u32)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .handshake::<_, Bytes>(stream)
        .await;
    let (sender, conn) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ended_by_either_side = conn.await;
    });
    let mut sender = sender.ready().await.map_err(io::Error::other)?;
    let req = Request::get(format!("http://host/view?{}", known.query()))
        .body(())
        .map_err(io::Error::other)?;
    let (res, _) = sender.send_request(req, true).map_err(io::Error::other)?;
    let res = res.await.map_err(io::Error::other)?;
    if res.status() != StatusCode::OK {
        return Err(io::Error::other("the host sends other snapshots"));
    }
    let mut body = res.into_body();
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        bytes.extend_from_slice(&chunk.map_err(io::Error::other)?);
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(io::Error::other("snapshot exceeds the maximum size"));
        }
    }
    task.abort();
    Snapshot::decode(&bytes).map_err(io::Error::other)
}
