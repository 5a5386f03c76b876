//! Hosts give each other their whole view, for times in which the platform's store turns one away.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::config::Configuration;
use stoatjunction_core::entry::upstream_list::UpstreamEntry;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::sockets;
use crate::state::Context;

/// Longest time for fetching a view.
const LIMIT: Duration = Duration::from_millis(1_500);
/// Largest view.
const MAX_VIEW: usize = 16 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    cfg: Option<Configuration>,
    entries: IndexMap<String, UpstreamEntry>,
    revision: u64,
    has_list: bool,
}

/// Serves this host's view.
pub(crate) async fn serve(cx: Rc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let cx = cx.clone();
        tokio::task::spawn_local(async move {
            if let Err(e) = tokio::time::timeout(LIMIT, give(&cx, stream)).await {
                log::debug!("event=view_not_given reason={e}");
            }
        });
    }
}

async fn give(cx: &Context, stream: TcpStream) -> io::Result<()> {
    let mut conn = h2::server::handshake(stream)
        .await
        .map_err(io::Error::other)?;
    while let Some(accepted) = conn.accept().await {
        let (_, mut respond) = accepted.map_err(io::Error::other)?;
        let mirrored = {
            let state = cx.state.borrow();
            Snapshot {
                cfg: state.routes.as_ref().map(|r| r.cfg().clone()),
                entries: state.upstream_list.stable_entries(),
                revision: state.upstream_list.revision(),
                has_list: state.has_list,
            }
        };
        let bytes = bincode::serde::encode_to_vec(&mirrored, bincode::config::standard());
        let bytes = bytes.map_err(io::Error::other)?;
        let mut tx = respond
            .send_response(Response::new(()), false)
            .map_err(io::Error::other)?;
        tx.send_data(Bytes::from(bytes), true)
            .map_err(io::Error::other)?;
    }
    Ok(())
}

/// Fetches the view of `from` and takes over what is newer in it.
///
/// # Errors
///
/// An I/O error when the host does not give its view in time.
pub(crate) async fn fetch(cx: &Context, from: IpAddr) -> io::Result<()> {
    let addr = SocketAddr::new(from, cx.settings.snapshot_port).to_string();
    let exchange = tokio::time::timeout(LIMIT, ask(&addr)).await;
    let mirrored = exchange.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    if let Some(cfg) = mirrored.cfg {
        cx.apply_configuration(cfg);
    }
    if !mirrored.has_list {
        return Ok(());
    }
    let news = {
        let mut state = cx.state.borrow_mut();
        state.has_list = true;
        let now = clock::now();
        state
            .upstream_list
            .replace(mirrored.entries, mirrored.revision, None, now)
    };
    if news {
        cx.sync_pools();
    }
    Ok(())
}

async fn ask(addr: &str) -> io::Result<Snapshot> {
    let stream = sockets::connect(addr, LIMIT).await?;
    let handshake = h2::client::Builder::new()
        .initial_window_size(MAX_VIEW as u32)
        .initial_connection_window_size(MAX_VIEW as u32)
        .handshake::<_, Bytes>(stream)
        .await;
    let (sender, conn) = handshake.map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        let _ended_by_either_side = conn.await;
    });
    let mut sender = sender.ready().await.map_err(io::Error::other)?;
    let req = Request::get("http://host/view")
        .body(())
        .map_err(io::Error::other)?;
    let (res, _) = sender.send_request(req, true).map_err(io::Error::other)?;
    let mut body = res.await.map_err(io::Error::other)?.into_body();
    let mut bytes = Vec::new();
    while let Some(piece) = body.data().await {
        bytes.extend_from_slice(&piece.map_err(io::Error::other)?);
        if bytes.len() > MAX_VIEW {
            return Err(io::Error::other("view too large"));
        }
    }
    task.abort();
    let decoded = bincode::serde::decode_from_slice(&bytes, bincode::config::standard());
    decoded.map(|(m, _)| m).map_err(io::Error::other)
}
