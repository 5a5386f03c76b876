//! Links to other dispatchers: to all in the own data centre, and a few to each other data centre.

use std::collections::HashSet;
use std::time::Duration;

use stoatjunction_core::membership::{Member, is_elected};
use stoatjunction_net::link::{self, LinkTx};
use stoatjunction_net::message::{Hello, Notice, Request};
use tokio::sync::mpsc;

use crate::daemon::SharedState;
use crate::event::Event;
use crate::state::State;

/// Fleet size up to which all dispatchers form a full mesh.
const FULL_MESH_HOSTS: usize = 32;
/// Number of hosts per data centre that link to other data centres in a larger fleet.
const BRIDGES_PER_DC: usize = 2;
/// Time between checks for missing links.
const DIAL_INTERVAL: Duration = Duration::from_millis(250);

impl State {
    /// Returns the addresses to which this dispatcher keeps a link.
    fn wanted_addrs(&self) -> Vec<String> {
        let known: Vec<&Member> = self.members.iter().map(|r| &r.member).collect();
        let full_mesh = known.len() < FULL_MESH_HOSTS;
        let bridge = self.is_bridge(&self.own_member);
        let is_wanted =
            |m: &&&Member| full_mesh || m.dc == self.own_member.dc || (bridge && self.is_bridge(m));
        let mut wanted: Vec<String> = known
            .iter()
            .filter(is_wanted)
            .map(|m| m.addr.clone())
            .collect();
        wanted.extend(self.cfg.seeds.iter().cloned());
        wanted.retain(|addr| *addr != self.own_member.addr);
        wanted.sort();
        wanted.dedup();
        wanted
    }

    fn is_bridge(&self, member: &Member) -> bool {
        let members = self
            .members
            .iter()
            .map(|r| &r.member)
            .chain([&self.own_member]);
        let hosts = members
            .filter(|m| m.dc == member.dc)
            .map(|m| m.host.as_str());
        is_elected(hosts, &member.host, "bridge", BRIDGES_PER_DC)
    }
}

/// Keeps a link to every wanted address, and reconnects closed links.
pub(crate) async fn maintain_links(shared: SharedState, tx: mpsc::Sender<Event>) {
    let (done_tx, mut done_rx) = mpsc::unbounded_channel::<String>();
    let mut linking: HashSet<String> = HashSet::new();
    let mut ticks = tokio::time::interval(DIAL_INTERVAL);
    loop {
        ticks.tick().await;
        while let Ok(addr) = done_rx.try_recv() {
            linking.remove(&addr);
        }
        let wanted = shared.lock().wanted_addrs();
        for addr in wanted {
            if linking.insert(addr.clone()) {
                let (shared, tx, done) = (shared.clone(), tx.clone(), done_tx.clone());
                tokio::spawn(async move {
                    run_link(&shared, &addr, &tx).await;
                    let _ = done.send(addr);
                });
            }
        }
    }
}

/// Opens a link and forwards its messages to the event loop until it closes.
async fn run_link(shared: &SharedState, addr: &str, tx: &mpsc::Sender<Event>) {
    let (cfg, own_member) = {
        let state = shared.lock();
        (state.cfg.link.clone(), state.own_member.clone())
    };
    let opened = link::connect::<Request, Notice>(addr, cfg).await;
    let Ok((link, mut rx)) = opened else { return };

    let Some(Notice::Welcome(member)) = rx.recv().await else {
        return;
    };
    if member.host == own_member.host {
        // A seed may be another address of this dispatcher. The unused link is kept open, so that
        // the address is not dialled again.
        while rx.recv().await.is_some() {}
        return;
    }
    let host = member.host.clone();
    if shared.lock().outgoing_peers.contains_key(&host) {
        // The dispatcher is already linked through another of its addresses.
        drop((link, rx));
        while shared.lock().outgoing_peers.contains_key(&host) {
            tokio::time::sleep(DIAL_INTERVAL).await;
        }
        return;
    }
    link.send(Request::Hello(Hello::Dispatcher(own_member)));
    forward_notices(member, link, &mut rx, tx).await;
    let _ = tx.send(Event::PeerDisconnected { host }).await;
}

async fn forward_notices(
    member: Member,
    link: LinkTx<Request>,
    rx: &mut link::LinkRx<Notice>,
    tx: &mpsc::Sender<Event>,
) {
    let host = member.host.clone();
    if tx
        .send(Event::PeerConnected { member, tx: link })
        .await
        .is_err()
    {
        return;
    }
    while let Some(notice) = rx.recv().await {
        let event = Event::PeerNotice {
            host: host.clone(),
            notice,
        };
        if tx.send(event).await.is_err() {
            return;
        }
    }
}
