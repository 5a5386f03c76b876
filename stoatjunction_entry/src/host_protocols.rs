//! Which protocols the other hosts have, and what follows from it: who gets a message, which hosts cannot be read, and
//! what is logged while hosts of several builds run.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Instant;

use bincode::error::DecodeError;
use stoatjunction_core::time::Time;

use crate::clock;
use crate::host_message::HostMessage;
use crate::protocol::{FIRST, HostProtocol};
use crate::state::{Context, Peer, SharedState};

/// Protocols of other hosts that differ from this host's, as last logged.
#[derive(Debug, Default)]
pub(crate) struct HeardProtocols {
    others: BTreeSet<u16>,
}

/// Numbers of other hosts by what they speak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProtocolCounts {
    /// Reachable hosts that speak another version than this one.
    pub(crate) of_other_protocol: usize,
    /// Hosts of which no heartbeat can be read.
    pub(crate) unreadable: usize,
}

/// Returns those of the receivers that read what a version of the protocol brought. Messages of the first version go to
/// all, since every build reads them. A host that is silent or leaves is taken to read no others: another build may
/// start in its place.
pub(crate) fn readers(state: &SharedState, since: u16, receivers: &[IpAddr]) -> Vec<IpAddr> {
    let now = clock::now();
    let reads = |ip: &IpAddr| {
        let peer = state.peers.get(ip);
        let staying = peer.filter(|p| !p.leaving && !state.is_unreachable(p, now));
        staying.is_some_and(|p| p.protocol.reads(since))
    };
    let receivers = receivers.iter().copied();
    receivers.filter(|ip| since == FIRST || reads(ip)).collect()
}

/// Returns the newest version of the protocol that this host and all reachable others read; a feature that needs all
/// hosts works from its version on. Without a readable host among them it is `None`.
pub(crate) fn common(state: &SharedState, own: HostProtocol, now: Time) -> Option<u16> {
    let peers = || state.peers.values();
    if peers().any(|p| p.unreadable_at.is_some()) {
        return None;
    }
    let heard = peers().filter(|p| !state.is_unreachable(p, now));
    heard
        .map(|p| p.protocol.newest_read)
        .chain([own.newest_read])
        .min()
}

/// Counts other hosts by what they speak.
pub(crate) fn counts(state: &SharedState, own: HostProtocol, now: Time) -> ProtocolCounts {
    let is_other = |p: &&Peer| !state.is_unreachable(p, now) && p.protocol.spoken != own.spoken;
    let peers = || state.peers.values();
    ProtocolCounts {
        of_other_protocol: peers().filter(is_other).count(),
        unreadable: peers().filter(|p| p.unreadable_at.is_some()).count(),
    }
}

/// Records that a datagram of the host at `sender` cannot be decoded. A host whose heartbeats cannot be read counts as
/// known and unreachable, as one that is cut off: this host leaves it its share of every limit.
pub(crate) fn record_unreadable(cx: &Context, sender: IpAddr, bytes: &[u8], error: &DecodeError) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let known = state.peers.get(&sender);
    let is_read = known.is_some_and(|p| !state.is_unreachable(p, now));
    if is_read || !HostMessage::is_heartbeat(bytes) {
        if let Some(count) = cx.undecodable.borrow_mut().record(Instant::now()) {
            log::warn!("event=message_decode_failed from={sender} count={count} reason={error}");
        }
        cx.metrics.count("messages_undecodable", &[]);
        return;
    }
    let peer = state.peers.entry(sender);
    let peer = peer.or_insert_with(|| Peer::never_seen(now));
    // The slots of this data centre are the ones that it may use.
    if peer.dc.is_empty() {
        peer.dc = cx.settings.dc.clone();
    }
    if peer.unreadable_at.replace(now).is_none() {
        log::warn!("event=host_unreadable host={sender} reason={error}");
        cx.metrics.count("hosts_found_unreadable", &[]);
    }
}

/// Logs which protocols other than this host's the reachable hosts speak, whenever that changes.
pub(crate) fn log_changes(state: &mut SharedState, own: HostProtocol, now: Time) {
    let heard = state.peers.iter();
    let heard = heard.filter(|(_, p)| !state.is_unreachable(p, now));
    let of_other: Vec<(IpAddr, HostProtocol)> = heard
        .map(|(ip, p)| (*ip, p.protocol))
        .filter(|(_, p)| p.spoken != own.spoken)
        .collect();
    let others: BTreeSet<u16> = of_other.iter().map(|(_, p)| p.spoken).collect();
    let before = std::mem::replace(&mut state.heard_protocols.others, others.clone());
    for version in others.difference(&before) {
        let Some((ip, protocol)) = of_other.iter().find(|(_, p)| p.spoken == *version) else {
            continue;
        };
        log::info!(
            "event=host_of_other_protocol host={ip} protocol={version} reads={}-{} own={}",
            protocol.oldest_read,
            protocol.newest_read,
            own.spoken
        );
    }
    if others.is_empty() && !before.is_empty() {
        log::info!("event=hosts_of_one_protocol protocol={}", own.spoken);
    }
}
