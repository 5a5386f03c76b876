//! Listener for links from gateways and other dispatchers.

use std::sync::atomic::{AtomicU64, Ordering};

use stoatjunction_core::membership::Member;
use stoatjunction_net::link::{self, LinkSettings};
use stoatjunction_net::message::{Hello, Notice, Request};
use stoatjunction_net::socket_errors::SocketErrors;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::event::Event;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Accepts links on `listener` and forwards their messages to the event loop.
pub(crate) async fn accept_links(
    listener: TcpListener,
    cfg: LinkSettings,
    own_member: Member,
    tx: mpsc::Sender<Event>,
) {
    let mut errors = SocketErrors::new("links");
    loop {
        let (stream, _) = errors.accept(&listener).await;
        tokio::spawn(serve_link(
            stream,
            cfg.clone(),
            own_member.clone(),
            tx.clone(),
        ));
    }
}

async fn serve_link(
    stream: TcpStream,
    cfg: LinkSettings,
    own_member: Member,
    tx: mpsc::Sender<Event>,
) {
    let Ok((link_tx, mut rx)) = link::accept::<Notice, Request>(stream, cfg).await else {
        return;
    };
    let link = NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed);
    link_tx.send(Notice::Welcome(own_member));
    let connected = match rx.recv().await {
        Some(Request::Hello(Hello::Gateway { id, host })) => Event::GatewayConnected {
            link,
            id,
            host,
            tx: link_tx,
        },
        Some(Request::Hello(Hello::Dispatcher(member))) => Event::PeerAccepted {
            link,
            member,
            tx: link_tx,
        },
        _ => return,
    };
    if tx.send(connected).await.is_err() {
        return;
    }
    while let Some(request) = rx.recv().await {
        if tx.send(Event::Request { link, request }).await.is_err() {
            return;
        }
    }
    let _ = tx.send(Event::AcceptedLinkClosed { link }).await;
}
