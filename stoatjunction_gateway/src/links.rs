//! Keeping links to dispatchers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use stoatjunction_net::link::{self, LinkSettings};
use stoatjunction_net::message::{Hello, Notice, Request};
use tokio::sync::mpsc;

use crate::dispatcher_client::Hub;

/// Pause between rounds of dialling.
const PAUSE: Duration = Duration::from_millis(100);

/// Keeps dialling the wanted addresses that have no link.
pub(crate) async fn dial(hub: Arc<Hub>, host: String, cfg: LinkSettings) {
    let (done_tx, mut done_rx) = mpsc::unbounded_channel::<String>();
    let mut dialled: HashSet<String> = HashSet::new();
    let mut ticks = tokio::time::interval(PAUSE);
    loop {
        ticks.tick().await;
        while let Ok(addr) = done_rx.try_recv() {
            dialled.remove(&addr);
        }
        for addr in hub.wanted() {
            if dialled.insert(addr.clone()) {
                let (hub, host, cfg) = (hub.clone(), host.clone(), cfg.clone());
                let done = done_tx.clone();
                tokio::spawn(async move {
                    keep(&hub, &host, &addr, cfg).await;
                    let _ = done.send(addr);
                });
            }
        }
    }
}

async fn keep(hub: &Hub, host: &str, addr: &str, cfg: LinkSettings) {
    let opened = link::connect::<Request, Notice>(addr, cfg).await;
    let Ok((tx, mut rx)) = opened else { return };

    let Some(Notice::Welcome(member)) = rx.recv().await else {
        return;
    };
    let peer = member.host.clone();
    let hello = Hello::Gateway {
        id: hub.id,
        host: host.to_owned(),
    };
    if !hub.peer_up(member, tx, hello) {
        drop(rx);
        hub.until_gone(&peer).await;
        return;
    }
    while let Some(notice) = rx.recv().await {
        hub.take(&peer, notice);
    }
    hub.peer_gone(&peer);
}
