//! Beats between hosts: who is told what, and how often.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::pool::DataCentreHosts;
use stoatjunction_core::entry::share::HostDemand;
use stoatjunction_core::time::{Span, Time};
use tokio::net::UdpSocket;

use crate::clock;
use crate::heartbeat::{self, Heartbeat};
use crate::relay::{self, DataCentreSummary, host_number};
use crate::state::{Context, Peer, SharedState};

/// Least time between two beats.
const FASTEST: Duration = Duration::from_millis(20);
/// Hosts that are told at the fastest; with more the pause grows, since each costs processor time.
const TOLD_AT_FASTEST: f64 = 8.0;
/// Time between beats when nothing changes.
const SLOWEST: Duration = Duration::from_millis(250);
/// Time after its start in which a host that hears nobody asks the seeds at the fastest.
const ASKS_FAST: Span = Span::from_millis(3_000);
/// Silence after which a host is no longer counted.
const FORGET: Span = Span::from_millis(30_000);
/// Largest datagram.
const MAX_BEAT: usize = 60_000;
/// Places of an upstream that are left to their owners when there are many hosts, which hear of each
/// other late.
const KEPT_NEAR: u32 = 2;
/// The same in other data centres.
const KEPT_FAR: u32 = 3;
/// Silence of a host after which its places are dealt to others: until then it may be cut off from
/// them and use its places unheard.
const DEALT_FOR: Span = Span::from_millis(15_000);

/// What hosts say to each other.
#[derive(Debug, Serialize, Deserialize)]
enum HostMessage {
    Own(Box<Heartbeat>),
    DataCentre(DataCentreSummary),
}

/// Sends and receives beats for as long as the daemon runs.
pub(crate) async fn run(cx: Rc<Context>) -> io::Result<()> {
    let addr = SocketAddr::new(cx.settings.ip, cx.settings.heartbeat_port);
    let socket = Rc::new(UdpSocket::bind(addr).await?);
    tokio::task::spawn_local(hear(cx.clone(), socket.clone()));
    let mut last_full = clock::now();
    loop {
        let wait = if is_alone(&cx) { FASTEST } else { SLOWEST };
        let _either = tokio::time::timeout(wait, cx.changed.notified()).await;
        let greets = std::mem::take(&mut cx.state.borrow_mut().pending_updates.has_new_host);
        let is_due = clock::now().since(last_full) >= Span::from(SLOWEST);
        let full = is_due || greets || is_alone(&cx);
        follow_reach(&cx);
        if full {
            last_full = clock::now();
            tend(&cx);
            speak_for_all(&cx, &socket);
        }
        let told = tell(&cx, &socket, full);
        let pause = FASTEST.mul_f64((told as f64 / TOLD_AT_FASTEST).max(1.0));
        tokio::time::sleep(pause).await;
    }
}

/// True when no other host has been heard yet: the seeds are then asked at the fastest, for a short
/// while.
fn is_alone(cx: &Context) -> bool {
    let state = cx.state.borrow();
    state.peers.is_empty() && clock::now().since(state.started) < ASKS_FAST
}

/// Tells the others what this host does; returns how many were told.
fn tell(cx: &Context, socket: &UdpSocket, full: bool) -> usize {
    let word = HostMessage::Own(Box::new(heartbeat::build(cx, full)));
    let receivers = receivers(cx, full);
    send(cx, socket, &word, &receivers);
    receivers.len()
}

/// Tells other data centres what this one does, when this host speaks for it.
fn speak_for_all(cx: &Context, socket: &UdpSocket) {
    let state = cx.state.borrow();
    if !state.has_many_hosts() || !relay::is_relay(cx, &state) {
        return;
    }
    let word = HostMessage::DataCentre(relay::summarise(cx, &state));
    let receivers = relay::receivers(cx, &state);
    drop(state);
    send(cx, socket, &word, &receivers);
}

fn send(cx: &Context, socket: &UdpSocket, word: &HostMessage, receivers: &[IpAddr]) {
    match bincode::serde::encode_to_vec(word, bincode::config::standard()) {
        Ok(bytes) => send_bytes(cx, socket, &bytes, receivers),
        Err(e) => log::warn!("event=beat_unmade reason={e}"),
    }
}

fn send_bytes(cx: &Context, socket: &UdpSocket, bytes: &[u8], receivers: &[IpAddr]) {
    for ip in receivers {
        let to = SocketAddr::new(*ip, cx.settings.heartbeat_port);
        if let Err(e) = socket.try_send_to(bytes, to) {
            log::debug!("event=beat_unsent to={ip} reason={e}");
        }
    }
}

/// Who is told of this host: all, or in a large fleet those of its data centre and those of which
/// nothing is known yet.
fn receivers(cx: &Context, full: bool) -> Vec<IpAddr> {
    let state = cx.state.borrow();
    let many = state.has_many_hosts();
    let is_told = |p: &Peer| !many || p.dc == cx.settings.dc || (full && p.dc.is_empty());
    let told = state.peers.iter().filter(|(_, p)| is_told(p));
    let mut ips: Vec<IpAddr> = told.map(|(ip, _)| *ip).collect();
    if full {
        let seeds = cx.settings.seeds.iter();
        let unknown = seeds.filter(|ip| **ip != cx.settings.ip && !state.peers.contains_key(*ip));
        ips.extend(unknown);
    }
    ips
}

/// Lets limits follow the hosts that are heard.
fn follow_reach(cx: &Context) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let (heard, known) = state.reachable_hosts(now);
    let before = state.limits.share();
    state.limits.set_reachable(heard, known, now);
    let share = state.limits.share();
    if share != before {
        log::info!("event=reach heard={heard} known={known} share={share:.3}");
    }
}

/// Forgets hosts that are gone, and lets pools follow those that are heard.
fn tend(cx: &Context) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let state = &mut *state;
    forget_gone(state, now);
    state.limits.remove_stale_reporters(now);
    let far_apart = state.has_many_hosts();
    for desk in state.desks.values_mut() {
        desk.pool.set_sparse_remote_reports(far_apart);
    }
    deal(cx, state, now);
}

fn forget_gone(state: &mut SharedState, now: Time) {
    let peers = state.peers.iter();
    let gone = peers.filter(|(_, p)| now.since(p.last_heard) > FORGET);
    let gone: Vec<IpAddr> = gone.map(|(ip, _)| *ip).collect();
    for ip in gone {
        if let Some(peer) = state.peers.swap_remove(&ip) {
            log::info!("event=host_forgotten host={ip}");
            state.limits.remove_reporter(peer.boot);
        }
    }
}

/// Deals the places of upstreams out among the hosts of this data centre.
fn deal(cx: &Context, state: &mut SharedState, now: Time) {
    let others = hosts_by_dc(cx, state, now);
    let near = state.peers.iter();
    let near = near.filter(|(_, p)| p.dc == cx.settings.dc && !p.leaving);
    let near: Vec<(u64, bool, &Peer)> = near
        .filter(|(_, p)| now.since(p.last_heard) < DEALT_FOR)
        .map(|(ip, p)| (host_number(*ip), state.is_unreachable(p, now), p))
        .collect();
    let own = host_number(cx.settings.ip);
    for (service, desk) in &mut state.desks {
        let mut members = vec![HostDemand {
            id: own,
            demand: desk.pool.demand(now),
            silent: false,
        }];
        members.extend(near.iter().map(|(id, silent, p)| {
            let told = p.demand.iter().find(|(s, _)| s == service);
            HostDemand {
                id: *id,
                demand: told.map_or(0.0, |(_, d)| f64::from(*d)),
                silent: *silent,
            }
        }));
        desk.pool.partition_slots(&members, own, &others);
    }
}

/// The known hosts by data centre, this one included.
fn hosts_by_dc(cx: &Context, state: &SharedState, now: Time) -> Vec<DataCentreHosts> {
    let many = state.has_many_hosts();
    let kept = |dc: &str| match many {
        false => 0,
        true if dc == cx.settings.dc => KEPT_NEAR,
        true => KEPT_FAR,
    };
    let dc = cx.settings.dc.clone();
    let own = DataCentreHosts {
        known: 1,
        reserved_slots: kept(&dc),
        dc,
        ..DataCentreHosts::default()
    };
    let mut all = vec![own];
    for peer in state.peers.values().filter(|p| !p.leaving) {
        let index = all.iter().position(|h| h.dc == peer.dc);
        let index = index.unwrap_or_else(|| {
            all.push(DataCentreHosts {
                dc: peer.dc.clone(),
                reserved_slots: kept(&peer.dc),
                ..DataCentreHosts::default()
            });
            all.len() - 1
        });
        all[index].known += 1;
        all[index].silent += u32::from(state.is_unreachable(peer, now));
    }
    all
}

async fn hear(cx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_BEAT];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let bytes = &buf[..len];
        match bincode::serde::decode_from_slice(bytes, bincode::config::standard()) {
            Ok((HostMessage::Own(beat), _)) => heartbeat::receive(&cx, from.ip(), *beat),
            Ok((HostMessage::DataCentre(summary), _)) => {
                pass_on(&cx, &socket, from.ip(), bytes);
                relay::receive(&cx, from.ip(), summary);
            }
            Err(e) => log::warn!("event=strange_beat from={} reason={e}", from.ip()),
        }
    }
}

/// Passes what another data centre says on to the hosts of this one.
fn pass_on(cx: &Context, socket: &UdpSocket, from: IpAddr, bytes: &[u8]) {
    let state = cx.state.borrow();
    let is_near = |p: &Peer| p.dc == cx.settings.dc;
    if state.peers.get(&from).is_some_and(is_near) || !relay::is_relay(cx, &state) {
        return;
    }
    let near = state.peers.iter().filter(|(_, p)| is_near(p));
    let near: Vec<IpAddr> = near.map(|(ip, _)| *ip).collect();
    drop(state);
    send_bytes(cx, socket, bytes, &near);
}
