//! Introductions: a host that was not known before learns at once which hosts are in its data centre, and two of each
//! other one.
//!
//! Hosts of a large fleet send heartbeats within their data centre only. A host that starts and contacts one of another
//! data centre would learn nothing from it, and a heartbeat names few hosts without their data centres.

use std::net::IpAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock;
use crate::heartbeat::MAX_HOSTS;
use crate::relay;
use crate::state::{Context, Peer, SharedState};

/// Hosts named of one data centre, so that an introduction fits a datagram.
const MAX_NAMED: usize = 120;

/// Hosts by data centre. Encoded by position: the order of the fields is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Introduction {
    /// Data centre of the sender.
    dc: String,
    hosts: Vec<(String, Vec<IpAddr>)>,
}

/// Returns the hosts that `host` of the data centre `dc` should know, if this host knows more than a heartbeat names.
pub(crate) fn build(cx: &Context, host: IpAddr, dc: &str) -> Option<Introduction> {
    let state = cx.state.borrow();
    if state.peers.len() <= MAX_HOSTS {
        return None;
    }
    let mut hosts: IndexMap<&str, Vec<IpAddr>> = relay::first_hosts(&state);
    hosts.insert(dc, reachable_of(&state, host, dc));
    let hosts = hosts.into_iter().map(|(dc, ips)| (dc.to_owned(), ips));
    Some(Introduction {
        dc: cx.settings.dc.clone(),
        hosts: hosts.collect(),
    })
}

/// Returns the reachable hosts of a data centre but `host`.
fn reachable_of(state: &SharedState, host: IpAddr, dc: &str) -> Vec<IpAddr> {
    let now = clock::now();
    let peers = state.peers.iter();
    let peers = peers.filter(|(ip, p)| **ip != host && p.dc == dc && !state.is_unreachable(p, now));
    peers.map(|(ip, _)| *ip).take(MAX_NAMED).collect()
}

/// Records the hosts that an introduction names.
pub(crate) fn receive(cx: &Context, sender: IpAddr, introduction: Introduction) {
    let mut state = cx.state.borrow_mut();
    let mut names_new = state.place_peer(sender, &introduction.dc);
    for (dc, hosts) in &introduction.hosts {
        for ip in hosts.iter().filter(|ip| **ip != cx.settings.ip) {
            names_new |= state.place_peer(*ip, dc);
        }
    }
    state.pending_updates.has_new_host |= names_new;
    drop(state);
    if names_new {
        cx.gossip_wakeup.notify_one();
    }
}

impl SharedState {
    /// Records the data centre of a host if it was not known, and returns whether it was not.
    fn place_peer(&mut self, ip: IpAddr, dc: &str) -> bool {
        let never_seen = || Peer::never_seen(clock::now());
        let peer = self.peers.entry(ip).or_insert_with(never_seen);
        let is_new = peer.dc.is_empty();
        if is_new {
            peer.dc = dc.to_owned();
        }
        is_new
    }
}
