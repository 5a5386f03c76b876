//! Beats between hosts: what each runs on which upstream, uses of which limit, and knows.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::pool::{Counts, Kept, Load};
use stoatjunction_core::entry::share::Member;
use stoatjunction_core::entry::suspects::Break;
use stoatjunction_core::hash;
use stoatjunction_core::time::Span;
use tokio::net::UdpSocket;

use crate::board::{Board, Context, PEER_SILENT, Peer};
use crate::clock;
use crate::mirror;

/// Least time between two beats.
const FASTEST: Duration = Duration::from_millis(20);
/// Hosts that are told at the fastest; with more the pause grows, since each costs processor time.
const TOLD_AT_FASTEST: f64 = 8.0;
/// Time between beats when nothing changes.
const SLOWEST: Duration = Duration::from_millis(250);
/// Silence after which a host is no longer counted.
const FORGET: Span = Span::from_millis(30_000);
/// Time for which a host waits for its own store before it asks another host.
const OWN_STORE: Duration = Duration::from_millis(500);
/// Largest datagram.
const MAX_BEAT: usize = 60_000;
/// Hosts beyond which those of other data centres get every change no more, only the slow beats.
const MANY_HOSTS: usize = 24;
/// Places left to their owners when there are many hosts, which hear of each other late.
const KEPT_OF_MANY: Kept = Kept { near: 1, far: 2 };
/// Least number of observations of an upstream's speed that is told.
const TOLD_FROM: u32 = 3;

#[derive(Debug, Serialize, Deserialize)]
struct Beat {
    boot: u64,
    dc: String,
    config: u64,
    revision: u64,
    digest: u64,
    loads: Vec<NodeLoad>,
    /// Waiting calls by order, by service.
    waiting: Vec<(String, Counts)>,
    /// Calls a second that callers ask of each service.
    demand: Vec<(String, f32)>,
    usage: Vec<(u64, u64)>,
    levels: Vec<(u64, f32)>,
    breaks: Vec<(u64, u64)>,
    parts: Vec<(u32, u64)>,
    hosts: Vec<IpAddr>,
}

#[derive(Debug, Serialize, Deserialize)]
struct NodeLoad {
    node: u64,
    running: u32,
    unread: u32,
    factor: f32,
    observed: u32,
}

/// Sends and receives beats for as long as the daemon runs.
pub(crate) async fn run(cx: Rc<Context>) -> io::Result<()> {
    let addr = SocketAddr::new(cx.settings.ip, cx.settings.beat_port);
    let socket = Rc::new(UdpSocket::bind(addr).await?);
    tokio::task::spawn_local(hear(cx.clone(), socket.clone()));
    let mut last_full = clock::now();
    loop {
        let _either = tokio::time::timeout(SLOWEST, cx.changed.notified()).await;
        let full = clock::now().since(last_full) >= Span::from(SLOWEST);
        if full {
            last_full = clock::now();
            deal(&cx);
        }
        let told = tell(&cx, &socket, full).await;
        let pause = FASTEST.mul_f64((told as f64 / TOLD_AT_FASTEST).max(1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Tells the others; returns how many.
async fn tell(cx: &Context, socket: &UdpSocket, full: bool) -> usize {
    forget_silent(cx);
    let beat = make(cx, full);
    let Ok(bytes) = bincode::serde::encode_to_vec(&beat, bincode::config::standard()) else {
        return 0;
    };
    let receivers = receivers(cx, full);
    let told = receivers.len();
    for ip in receivers {
        let to = SocketAddr::new(ip, cx.settings.beat_port);
        if let Err(e) = socket.try_send_to(&bytes, to) {
            log::debug!("event=beat_unsent to={ip} reason={e}");
        }
    }
    told
}

fn receivers(cx: &Context, full: bool) -> Vec<IpAddr> {
    let board = cx.board.borrow();
    let many = board.peers.len() > MANY_HOSTS;
    let mut ips: Vec<IpAddr> = board
        .peers
        .iter()
        .filter(|(_, p)| full || !many || p.dc == cx.settings.dc)
        .map(|(ip, _)| *ip)
        .collect();
    if full {
        let seeds = cx.settings.seeds.iter();
        let unknown = seeds.filter(|ip| **ip != cx.settings.ip && !board.peers.contains_key(*ip));
        ips.extend(unknown);
    }
    ips
}

fn make(cx: &Context, full: bool) -> Beat {
    let mut board = cx.board.borrow_mut();
    let board = &mut *board;
    let mut loads = Vec::new();
    for desk in board.desks.values() {
        for (_, node) in desk.pool.nodes() {
            let (own, (factor, observed)) = (node.own(), node.factor());
            if own.running > 0 || (full && observed >= TOLD_FROM) {
                loads.push(NodeLoad {
                    node: node.number,
                    running: own.running,
                    unread: own.unread,
                    factor: factor as f32,
                    observed,
                });
            }
        }
    }
    let waiting = board.desks.iter();
    let waiting = waiting.filter(|(_, d)| !d.pool.waiting().is_empty());
    let waiting = waiting
        .map(|(service, d)| (service.clone(), d.pool.waiting().clone()))
        .collect();
    let now = clock::now();
    let demand = board.desks.iter();
    let demand = demand
        .map(|(service, d)| (service.clone(), d.pool.demand(now) as f32))
        .collect();
    let breaks = board.news.breaks.iter();
    let breaks = breaks.map(|(b, _)| (b.fingerprint, b.sending)).collect();
    for (_, left) in &mut board.news.breaks {
        *left -= 1;
    }
    board.news.breaks.retain(|(_, left)| *left > 0);
    board.news.changed = false;
    let hosts = board.peers.keys().copied().collect();
    Beat {
        boot: cx.boot,
        dc: cx.settings.dc.clone(),
        config: board.routes.as_ref().map_or(0, |r| r.cfg().version),
        revision: board.view.revision(),
        digest: board.view.digest(),
        loads,
        waiting,
        demand,
        usage: board.limits.usage(),
        levels: board.limits.levels(),
        breaks,
        parts: std::mem::take(&mut board.news.parts),
        hosts,
    }
}

fn forget_silent(cx: &Context) {
    let now = clock::now();
    let mut board = cx.board.borrow_mut();
    let board = &mut *board;
    let gone: Vec<IpAddr> = board
        .peers
        .iter()
        .filter(|(_, p)| now.since(p.heard) > FORGET)
        .map(|(ip, _)| *ip)
        .collect();
    for ip in gone {
        if let Some(peer) = board.peers.swap_remove(&ip) {
            log::info!("event=host_forgotten host={ip}");
            board.limits.forget(peer.boot);
        }
    }
    let heard = board.peers.values();
    let heard = heard.filter(|p| now.since(p.heard) < PEER_SILENT).count();
    board
        .limits
        .set_reach(heard + 1, board.peers.len() + 1, now);
    let far_apart = board.peers.len() > MANY_HOSTS;
    for desk in board.desks.values_mut() {
        desk.pool.forget_silent(now);
        desk.pool.set_far_apart(far_apart);
    }
}

/// Deals the places of upstreams out among the hosts of this data centre that are heard.
fn deal(cx: &Context) {
    let now = clock::now();
    let mut board = cx.board.borrow_mut();
    let board = &mut *board;
    let heard = board.peers.iter();
    let near: Vec<(u64, &Peer)> = heard
        .filter(|(_, p)| p.dc == cx.settings.dc && now.since(p.heard) < PEER_SILENT)
        .map(|(ip, p)| (number_of(*ip), p))
        .collect();
    let own = number_of(cx.settings.ip);
    let kept = if board.peers.len() > MANY_HOSTS {
        KEPT_OF_MANY
    } else {
        Kept::default()
    };
    for (service, desk) in &mut board.desks {
        let demand = desk.pool.demand(now);
        let mut members = vec![Member { id: own, demand }];
        members.extend(near.iter().map(|(id, p)| {
            let told = p.demand.iter().find(|(s, _)| s == service);
            let demand = told.map_or(0.0, |(_, d)| f64::from(*d));
            Member { id: *id, demand }
        }));
        desk.pool.deal(&members, own, kept);
    }
}

/// Number of a host for dealing out, the same at all hosts.
fn number_of(ip: IpAddr) -> u64 {
    hash::hash_parts(&[ip.to_string().as_bytes()])
}

async fn hear(cx: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_BEAT];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            tokio::task::yield_now().await;
            continue;
        };
        let decoded = bincode::serde::decode_from_slice(&buf[..len], bincode::config::standard());
        let Ok((beat, _)) = decoded else {
            log::warn!("event=strange_beat from={}", from.ip());
            continue;
        };
        take(&cx, from.ip(), beat);
    }
}

fn take(cx: &Rc<Context>, from: IpAddr, beat: Beat) {
    let now = clock::now();
    let mut guard = cx.board.borrow_mut();
    let board = &mut *guard;
    let peer = Peer {
        boot: beat.boot,
        heard: now,
        dc: beat.dc,
        demand: beat.demand,
    };
    match board.peers.insert(from, peer) {
        None => log::info!("event=host_heard host={from}"),
        Some(before) if before.boot != beat.boot => {
            board.limits.forget(before.boot);
            for desk in board.desks.values_mut() {
                desk.pool.forget_peer(before.boot);
            }
        }
        Some(_) => {}
    }
    for ip in beat.hosts {
        if ip != cx.settings.ip && !board.peers.contains_key(&ip) {
            let dc = String::new();
            let (boot, heard) = (0, now.back(PEER_SILENT));
            let peer = Peer {
                boot,
                heard,
                dc,
                demand: Vec::new(),
            };
            board.peers.insert(ip, peer);
        }
    }
    board.limits.hear(beat.boot, &beat.usage, &beat.levels, now);
    for (fingerprint, sending) in beat.breaks {
        let b = Break {
            fingerprint,
            sending,
        };
        board.suspects.broke(b, now);
    }
    for (service, desk) in &mut board.desks {
        let told = beat.waiting.iter().find(|(s, _)| s == service);
        let counts = told.map(|(_, counts)| counts.clone()).unwrap_or_default();
        desk.pool.heard_waiting(beat.boot, counts, now);
    }
    take_loads(board, beat.boot, &beat.loads, &beat.parts);
    let config = board.routes.as_ref().map_or(0, |r| r.cfg().version);
    let list_differs = beat.revision > board.view.revision() && beat.digest != board.view.digest();
    drop(guard);
    if beat.config > config || list_differs {
        tokio::task::spawn_local(catch_up(cx.clone(), from, beat.config, beat.digest));
    }
    cx.poll();
}

fn take_loads(board: &mut Board, boot: u64, loads: &[NodeLoad], parts: &[(u32, u64)]) {
    let now = clock::now();
    for desk in board.desks.values_mut() {
        let mut running = Vec::new();
        for l in loads {
            let Some(key) = desk.pool.key(l.node) else {
                continue;
            };
            let load = Load {
                running: l.running,
                unread: l.unread,
            };
            running.push((key, load));
            if l.observed >= TOLD_FROM {
                desk.pool.heard_factor(key, f64::from(l.factor), l.observed);
            }
        }
        desk.pool.heard(boot, running, now);
        for (part, node) in parts {
            if let Some(key) = desk.pool.key(*node) {
                desk.pool.heard_part(*part, key, now);
            }
        }
    }
}

/// Asks another host for its view when the store has not told this host of it in time.
async fn catch_up(cx: Rc<Context>, from: IpAddr, config: u64, digest: u64) {
    tokio::time::sleep(OWN_STORE).await;
    let is_behind = {
        let mut board = cx.board.borrow_mut();
        let known = board.routes.as_ref().map_or(0, |r| r.cfg().version);
        let behind = known < config || board.view.digest() != digest;
        let asking = board.asking;
        board.asking = asking || behind;
        behind && !asking
    };
    if !is_behind {
        return;
    }
    if let Err(e) = mirror::fetch(&cx, from).await {
        log::info!("event=view_not_fetched from={from} reason={e}");
    }
    cx.board.borrow_mut().asking = false;
}
