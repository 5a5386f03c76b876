//! Links to dispatchers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use stoatjunction_net::link::{self, LinkSettings};
use stoatjunction_net::message::{Hello, Notice, Request};
use tokio::sync::mpsc;

use crate::dispatcher_client::DispatcherClient;

/// Interval between checks for addresses that have no link.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Connects to the wanted addresses that have no link, and again after a link is lost.
pub(crate) async fn maintain_links(
    dispatchers: Arc<DispatcherClient>,
    host: String,
    cfg: LinkSettings,
) {
    let (done_tx, mut done_rx) = mpsc::unbounded_channel::<String>();
    let mut active: HashSet<String> = HashSet::new();
    let mut ticks = tokio::time::interval(DIAL_INTERVAL);
    loop {
        ticks.tick().await;
        while let Ok(addr) = done_rx.try_recv() {
            active.remove(&addr);
        }
        for addr in dispatchers.wanted_addrs() {
            if active.insert(addr.clone()) {
                let (dispatchers, host, cfg) = (dispatchers.clone(), host.clone(), cfg.clone());
                let done = done_tx.clone();
                tokio::spawn(async move {
                    run_link(&dispatchers, &host, &addr, cfg).await;
                    let _ = done.send(addr);
                });
            }
        }
    }
}

/// Opens a link to `addr` and handles its messages until it is closed.
async fn run_link(dispatchers: &DispatcherClient, host: &str, addr: &str, cfg: LinkSettings) {
    let opened = link::connect::<Request, Notice>(addr, cfg).await;
    let Ok((tx, mut rx)) = opened else { return };

    let Some(Notice::Welcome(member)) = rx.recv().await else {
        return;
    };
    let peer_host = member.host.clone();
    let hello = Hello::Gateway {
        id: dispatchers.id,
        host: host.to_owned(),
    };
    if !dispatchers.link_up(member, tx, hello) {
        drop(rx);
        dispatchers.wait_link_down(&peer_host).await;
        return;
    }
    while let Some(notice) = rx.recv().await {
        dispatchers.handle_notice(&peer_host, notice);
    }
    dispatchers.link_down(&peer_host);
}
