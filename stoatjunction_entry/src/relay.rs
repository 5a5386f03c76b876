//! Summaries between data centres in large fleets: one host of each data centre, the relay, sums up
//! the reports of its hosts and sends them to the relays of the others, which forward them locally.
//!
//! Traffic between data centres is billed. With heartbeats from every host to every host, 64 hosts
//! caused most of the 0.71 GB that crossed data centres on a quiet day.

use std::net::IpAddr;
use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::pool::{Precedence, WaitingCounts};
use stoatjunction_core::entry::rate_limiter::{Reporter, UsageReport};
use stoatjunction_core::hash;
use stoatjunction_core::time::Span;

use crate::capacity_reports::{self, RelayedCapacity};
use crate::catch_up;
use crate::clock;
use crate::heartbeat::{self, StateVersion, UpstreamLoad};
use crate::protocol::{Extension, HostProtocol};
use crate::state::{Context, Peer, SharedState};

/// Hosts of another data centre that get a summary, in case one of them is gone.
const RECEIVERS_PER_DC: usize = 2;

/// The combined report of the hosts of a data centre. Encoded by position: the order of the fields
/// is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DataCentreSummary {
    /// Id of the relay as reporter for all hosts: the complement of its boot number.
    #[serde(rename = "teller")]
    reporter: u64,
    dc: String,
    known: StateVersion,
    hosts: Vec<Member>,
    #[serde(rename = "told")]
    usage: Vec<UsageReport>,
    loads: Vec<UpstreamLoad>,
    waiting: Vec<(String, WaitingCounts)>,
    capacity: RelayedCapacity,
}

/// One of the hosts in a summary.
#[derive(Debug, Serialize, Deserialize)]
struct Member {
    ip: IpAddr,
    boot: u64,
    /// Milliseconds since the relay last received a heartbeat from it.
    age: u64,
    /// Services whose upstreams it does not reach.
    cut_off: Vec<String>,
}

/// Returns the number of a host, which is the same on all hosts.
pub(crate) fn host_number(ip: IpAddr) -> u64 {
    hash::hash_parts(&[ip.to_string().as_bytes()])
}

/// Returns whether this host is the relay of its data centre: it has the lowest number of the
/// reachable ones.
pub(crate) fn is_relay(cx: &Context, state: &SharedState) -> bool {
    let now = clock::now();
    let own = host_number(cx.settings.ip);
    let local_peers = state.peers.iter().filter(|(_, p)| p.dc == cx.settings.dc);
    let mut reachable = local_peers.filter(|(_, p)| !state.is_unreachable(p, now));
    reachable.all(|(ip, _)| host_number(*ip) > own)
}

/// Returns the hosts of other data centres that get this one's summary.
pub(crate) fn receivers(cx: &Context, state: &SharedState) -> Vec<IpAddr> {
    let mut by_dc = first_hosts(state);
    by_dc.shift_remove(cx.settings.dc.as_str());
    by_dc.into_values().flatten().collect()
}

/// Returns the hosts of one other data centre that keep which streams began in this one, in case this one is lost.
pub(crate) fn keepers(cx: &Context, state: &SharedState) -> Vec<IpAddr> {
    let mut by_dc = first_hosts(state);
    by_dc.shift_remove(cx.settings.dc.as_str());
    let rank = |dc: &str| hash::hash_parts(&[cx.settings.dc.as_bytes(), dc.as_bytes()]);
    let (_, keepers) = by_dc
        .into_iter()
        .max_by_key(|(dc, _)| rank(dc))
        .unwrap_or_default();
    keepers
}

/// Returns the first few other hosts of each data centre in the order in which hosts become the relay.
pub(crate) fn first_hosts(state: &SharedState) -> IndexMap<&str, Vec<IpAddr>> {
    let now = clock::now();
    let mut by_dc: IndexMap<&str, Vec<(bool, u64, IpAddr)>> = IndexMap::new();
    for (ip, peer) in state.peers.iter().filter(|(_, p)| !p.dc.is_empty()) {
        let known = by_dc.entry(&peer.dc).or_default();
        known.push((state.is_unreachable(peer, now), host_number(*ip), *ip));
    }
    let first = |mut hosts: Vec<(bool, u64, IpAddr)>| {
        hosts.sort_unstable();
        let first = hosts.into_iter().take(RECEIVERS_PER_DC);
        first.map(|(_, _, ip)| ip).collect()
    };
    let by_dc = by_dc.into_iter();
    by_dc.map(|(dc, hosts)| (dc, first(hosts))).collect()
}

/// Returns the number of reachable hosts of this data centre, this one included.
pub(crate) fn reachable_local_hosts(cx: &Context, state: &SharedState) -> u32 {
    let now = clock::now();
    let local_peers = state.peers.values().filter(|p| p.dc == cx.settings.dc);
    let reachable = local_peers.filter(|p| !state.is_unreachable(p, now));
    reachable.count() as u32 + 1
}

/// Sums up this host and the reachable ones of its data centre; their protocols, and the upstreams that were down lately,
/// are in the extension.
pub(crate) fn summarise(cx: &Context, state: &SharedState) -> (DataCentreSummary, Extension) {
    let now = clock::now();
    let local_peers = state.peers.iter().filter(|(_, p)| p.dc == cx.settings.dc);
    let reachable: Vec<(&IpAddr, &Peer)> = local_peers
        .filter(|(_, p)| !state.is_unreachable(p, now))
        .collect();
    let mut hosts = vec![Member {
        ip: cx.settings.ip,
        boot: cx.boot,
        age: 0,
        cut_off: heartbeat::cut_off_services(state),
    }];
    hosts.extend(reachable.iter().map(|(ip, p)| Member {
        ip: **ip,
        boot: p.boot,
        age: now.since(p.last_seen).as_millis(),
        cut_off: p.cut_off.clone(),
    }));
    let own = heartbeat::own_loads(state);
    let loads = own
        .iter()
        .chain(reachable.iter().flat_map(|(_, p)| &p.loads));
    let own = heartbeat::own_waiting(state);
    let waiting = own
        .iter()
        .chain(reachable.iter().flat_map(|(_, p)| &p.waiting));
    let own = cx.settings.protocol();
    let protocols = reachable.iter().map(|(_, p)| p.protocol);
    let protocols: Vec<HostProtocol> = std::iter::once(own).chain(protocols).collect();
    let summary = DataCentreSummary {
        reporter: !cx.boot,
        dc: cx.settings.dc.clone(),
        known: heartbeat::state_version(state),
        hosts,
        usage: state.rate_limiter.nearby_usage(now),
        loads: sum_loads(loads),
        waiting: sum_waiting(waiting),
        capacity: capacity_reports::build_relayed(state, now),
    };
    let mut extension = Extension::of_summary(own, &protocols).of_fleet(cx.fleet.id());
    extension.set_down(&heartbeat::lately_down(state, now));
    (summary, extension)
}

fn sum_loads<'a, I>(loads: I) -> Vec<UpstreamLoad>
where
    I: Iterator<Item = &'a UpstreamLoad>,
{
    let mut sums: IndexMap<u64, UpstreamLoad> = IndexMap::new();
    for l in loads {
        let sum = sums.entry(l.upstream).or_insert(UpstreamLoad {
            running: 0,
            pending_prefill_tokens: 0,
            held_tokens: 0,
            ..*l
        });
        sum.running = sum.running.saturating_add(l.running);
        sum.pending_prefill_tokens = sum
            .pending_prefill_tokens
            .saturating_add(l.pending_prefill_tokens);
        sum.held_tokens = sum.held_tokens.saturating_add(l.held_tokens);
    }
    sums.into_values().collect()
}

fn sum_waiting<'a, I>(waiting: I) -> Vec<(String, WaitingCounts)>
where
    I: Iterator<Item = &'a (String, WaitingCounts)>,
{
    let mut sums: IndexMap<&str, IndexMap<Precedence, u16>> = IndexMap::new();
    for (service, counts) in waiting {
        let sum = sums.entry(service).or_default();
        for (precedence, count) in counts {
            let total = sum.entry(*precedence).or_default();
            *total = total.saturating_add(*count);
        }
    }
    let sums = sums.into_iter();
    sums.map(|(service, counts)| (service.to_owned(), counts.into_iter().collect()))
        .collect()
}

/// Applies the summary of another data centre. Its hosts count as seen when the relay received
/// their last heartbeats.
pub(crate) fn receive(
    cx: &Rc<Context>,
    sender: IpAddr,
    summary: DataCentreSummary,
    extension: &Extension,
) {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let reporter = Reporter {
        id: summary.reporter,
        hosts: summary.hosts.len() as u32,
        reported_at: now,
    };
    state
        .rate_limiter
        .record_relayed_usage(reporter, &summary.usage, now);
    for (index, member) in summary.hosts.into_iter().enumerate() {
        if member.ip == cx.settings.ip {
            continue;
        }
        let last_seen = now.saturating_sub(Span::from_millis(member.age));
        let known = state.peers.get(&member.ip);
        if known.is_none_or(|p| p.last_seen <= last_seen) {
            let peer = Peer {
                boot: member.boot,
                last_seen,
                dc: summary.dc.clone(),
                cut_off: member.cut_off,
                protocol: extension.protocol_of_member(index),
                ..Peer::default()
            };
            state.record_peer(member.ip, peer);
        }
    }
    let reporter = hash::hash_parts(&[summary.dc.as_bytes()]);
    heartbeat::record_waiting(state, reporter, &summary.waiting);
    heartbeat::record_loads(state, reporter, &summary.loads);
    capacity_reports::receive_relayed(state, &summary.capacity, now);
    heartbeat::record_down(state, &extension.down(), now);
    let is_relay = is_relay(cx, state);
    drop(guard);
    // Only the relay fetches newer state from other data centres; the hosts of this one get it from
    // the relay.
    if is_relay {
        catch_up::compare(cx, sender, summary.known);
    }
    cx.decide_waiting();
}
