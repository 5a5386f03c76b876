//! Gossip between hosts over UDP: who gets which message, and how often.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use stoatjunction_core::entry::pool::DataCentreHosts;
use stoatjunction_core::entry::propagation::REPORT_INTERVAL;
use stoatjunction_core::entry::report_pacing::report_interval;
use stoatjunction_core::entry::report_receivers::{Contacts, HostPlace, ReportPlan, Spread};
use stoatjunction_core::entry::slot_allocation::HostDemand;
use stoatjunction_core::entry::stream_origins::Place;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::socket_errors::SocketErrors;
use stoatjunction_net::supervised::supervise;

use crate::capacity_reports;
use crate::clock;
use crate::crash_reports::{self, CrashReporter};
use crate::fleet_identity;
use crate::heartbeat;
use crate::host_message::{HostMessage, MAX_DATAGRAM_BYTES};
use crate::host_protocols;
use crate::introduction;
use crate::limit_reports;
use crate::notice_reports;
use crate::protocol::Extension;
use crate::relay::{self, host_number};
use crate::rollout_reports;
use crate::sockets;
use crate::state::{Context, Peer, SharedState};
use crate::stream_origins::{self, OriginQuery};
use crate::trial_protocol;

/// Time after the start in which a host that knows no other contacts the seeds at the shortest
/// interval.
const SEED_CONTACT_TIME: Span = Span::from_millis(3_000);
/// Time since a host was last seen after which it is removed.
const PEER_EXPIRY: Span = Span::from_millis(30_000);
/// Slots of a local upstream that a host leaves to the others in a large fleet, where their reports
/// arrive late.
const RESERVED_SLOTS_LOCAL: u32 = 2;
/// The same for an upstream of another data centre.
const RESERVED_SLOTS_REMOTE: u32 = 3;
/// Time since a host was last seen after which its slots are allocated to others. Until then it may
/// be partitioned from them and still use its slots.
const SLOT_EXPIRY: Span = Span::from_millis(15_000);

/// Sends and receives messages for as long as the daemon runs.
pub(crate) async fn run(cx: Rc<Context>) -> io::Result<()> {
    let addr = SocketAddr::new(cx.settings.ip, cx.settings.heartbeat_port);
    let socket = sockets::bind_when_possible(addr, "heartbeats").await?;
    let was_set = cx.gossip_socket.set(socket);
    was_set.map_err(|_| io::Error::from(io::ErrorKind::AlreadyExists))?;
    cx.fleet.decided().await;
    let receiver = cx.clone();
    tokio::task::spawn_local(async move {
        supervise("heartbeats_received", || receive(receiver.clone())).await;
    });
    supervise("heartbeats", || send_reports(cx.clone())).await;
    Ok(())
}

/// Sends heartbeats for as long as the daemon runs.
async fn send_reports(cx: Rc<Context>) {
    let mut last_full = clock::now();
    let mut crash_reporter = CrashReporter::default();
    let mut contacts = Contacts::default();
    loop {
        let wait = if is_alone(&cx) {
            report_interval(0).into()
        } else {
            REPORT_INTERVAL.into()
        };
        let _either = tokio::time::timeout(wait, cx.gossip_wakeup.notified()).await;
        let has_new_host = std::mem::take(&mut cx.state.borrow_mut().pending_updates.has_new_host);
        let is_due = clock::now().since(last_full) >= REPORT_INTERVAL;
        let full = is_due || has_new_host || is_alone(&cx);
        update_rate_limits(&cx);
        if full {
            last_full = clock::now();
            update_peers(&cx);
            send_summary(&cx);
            if let Some((message, receivers)) = trial_protocol::message(&cx) {
                send_bytes(&cx, message, &receivers);
            }
        } else {
            send_urgent_rollouts(&cx);
        }
        cx.state.borrow_mut().trace_start(clock::now());
        let plan = plan_report(&cx, &mut contacts, full);
        send_heartbeat(&cx, &plan.receivers, full);
        if let Some((reports, to)) = crash_reporter.next(&cx, plan.receivers, has_new_host) {
            send(&cx, &HostMessage::Crashes(reports), &to);
        }
        tokio::time::sleep(plan.interval.into()).await;
    }
}

/// Asks other hosts at which version a stream began.
pub(crate) fn send_query(cx: &Context, query: &OriginQuery, hosts: &[IpAddr]) {
    send(cx, &HostMessage::OriginQuery(query.clone()), hosts);
}

/// Returns whether this host has started recently and knows no other.
fn is_alone(cx: &Context) -> bool {
    let state = cx.state.borrow();
    state.peers.is_empty() && clock::now().since(state.started) < SEED_CONTACT_TIME
}

fn send_heartbeat(cx: &Context, receivers: &[IpAddr], full: bool) {
    let message = HostMessage::Own(Box::new(heartbeat::build(cx, full)));
    send(cx, &message, receivers);
    if let Some(limits) = limit_reports::build_own(cx, full) {
        send(cx, &HostMessage::Limits(limits), receivers);
    }
    if let Some(notices) = notice_reports::build_own(cx, full) {
        send(cx, &HostMessage::Notices(notices), receivers);
    }
    for report in rollout_reports::build_own(cx, full) {
        send(cx, &HostMessage::Rollout(Box::new(report)), receivers);
    }
}

/// Sends the summary of this data centre to the others, if this host is its relay in a large fleet.
fn send_summary(cx: &Context) {
    let state = cx.state.borrow();
    if !state.has_many_hosts() || !relay::is_relay(cx, &state) {
        return;
    }
    let (summary, extension) = relay::summarise(cx, &state);
    let message = HostMessage::DataCentre(summary);
    let limits = limit_reports::build_relayed(cx, &state);
    let notices = notice_reports::build_relayed(&state);
    let rollouts = rollout_reports::build_relayed(&state);
    let receivers = relay::receivers(cx, &state);
    let begun_streams = stream_origins::build_relayed(&state, clock::now());
    let keepers = relay::keepers(cx, &state);
    drop(state);
    for streams in begun_streams {
        send(cx, &HostMessage::BegunStreams(streams), &keepers);
    }
    send_extended(cx, &message, &extension, &receivers);
    if let Some(limits) = limits {
        send(cx, &HostMessage::Limits(limits), &receivers);
    }
    if let Some(notices) = notices {
        send(cx, &HostMessage::Notices(notices), &receivers);
    }
    for report in rollouts {
        send(cx, &HostMessage::Rollout(Box::new(report)), &receivers);
    }
}

/// Sends this data centre's reports on rollouts to the others before the next summary, if there is an update and this
/// host is its relay in a large fleet.
fn send_urgent_rollouts(cx: &Context) {
    let state = cx.state.borrow();
    let is_relay = state.has_many_hosts() && relay::is_relay(cx, &state);
    if !is_relay || !state.rollouts.has_update {
        return;
    }
    let reports = rollout_reports::build_relayed(&state);
    let receivers = relay::receivers(cx, &state);
    drop(state);
    for report in reports {
        send(cx, &HostMessage::Rollout(Box::new(report)), &receivers);
    }
}

fn send(cx: &Context, message: &HostMessage, receivers: &[IpAddr]) {
    let extension = Extension::new(cx.settings.protocol()).of_fleet(cx.fleet.id());
    send_extended(cx, message, &extension, receivers);
}

fn send_extended(cx: &Context, message: &HostMessage, extension: &Extension, receivers: &[IpAddr]) {
    let receivers = host_protocols::readers(&cx.state.borrow(), message.since(), receivers);
    match message.encode(extension) {
        Ok(bytes) => send_bytes(cx, &bytes, &receivers),
        Err(e) => log::warn!("event=message_encode_failed reason={e}"),
    }
}

fn send_bytes(cx: &Context, bytes: &[u8], receivers: &[IpAddr]) {
    let Some(socket) = cx.gossip_socket.get() else {
        return;
    };
    for ip in receivers {
        let to = SocketAddr::new(*ip, cx.settings.heartbeat_port);
        if let Err(e) = socket.try_send_to(bytes, to) {
            log::debug!("event=message_send_failed to={ip} reason={e}");
        }
    }
}

/// Returns the receivers of heartbeats: all known hosts, or in a large fleet those of the same data centre. A full
/// heartbeat also goes to some of the seeds that are not known, and of the hosts whose data centre is not known.
fn plan_report(cx: &Context, contacts: &mut Contacts, full: bool) -> ReportPlan {
    let state = cx.state.borrow();
    let spread = match state.has_many_hosts() {
        true => Spread::DataCentre,
        false => Spread::All,
    };
    let place = |p: &Peer| match spread {
        _ if state.is_local(p) => HostPlace::Here,
        Spread::DataCentre if p.dc.is_empty() => HostPlace::Unknown,
        Spread::All | Spread::DataCentre => HostPlace::Elsewhere,
    };
    let known = state.peers.iter().map(|(ip, p)| (*ip, place(p)));
    let named = state.rendezvous.contacts(clock::now()).iter();
    let named = named.filter(|ip| !cx.settings.seeds.contains(ip));
    let seeds = cx.settings.seeds.iter().chain(named);
    let unknown = seeds.filter(|ip| **ip != cx.settings.ip && !state.peers.contains_key(*ip));
    let unknown = unknown.map(|ip| (*ip, HostPlace::Unknown));
    let hosts: Vec<(IpAddr, HostPlace)> = known.chain(unknown).collect();
    contacts.plan(&hosts, spread, full, clock::now())
}

/// Adjusts the rate limits to the number of reachable hosts.
fn update_rate_limits(cx: &Context) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let (reachable, known) = state.reachable_hosts(now);
    let before = state.rate_limiter.share();
    for limiter in state.rate_limiters() {
        limiter.set_reachable(reachable, known, now);
    }
    let share = state.rate_limiter.share();
    if share != before {
        log::info!("event=reachable_hosts reachable={reachable} known={known} share={share:.3}");
    }
}

/// Removes hosts that are gone and allocates slots to the remaining ones.
fn update_peers(cx: &Context) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let state = &mut *state;
    remove_expired_peers(state, now);
    host_protocols::log_changes(state, cx.settings.protocol(), now);
    state.update_list_doubt(now);
    for limiter in state.rate_limiters() {
        limiter.remove_stale_reporters(now);
    }
    limit_reports::update_hosts(cx, state, now);
    let is_sparse = state.has_many_hosts();
    for scheduler in state.schedulers.values_mut() {
        scheduler.pool.set_sparse_remote_reports(is_sparse);
    }
    allocate_slots(cx, state, now);
    capacity_reports::log_changes(state, now);
}

fn remove_expired_peers(state: &mut SharedState, now: Time) {
    let peers = state.peers.iter();
    let gone = peers.filter(|(_, p)| now.since(p.last_heard()) > PEER_EXPIRY);
    let gone: Vec<IpAddr> = gone.map(|(ip, _)| *ip).collect();
    for ip in gone {
        state.remove_peer(ip);
    }
}

/// Allocates the slots of upstreams among the hosts of this data centre.
fn allocate_slots(cx: &Context, state: &mut SharedState, now: Time) {
    let hosts_by_dc = hosts_by_dc(cx, state, now);
    state.data_centres = hosts_by_dc.len();
    let local_peers = state.peers.iter();
    let local_peers = local_peers.filter(|(_, p)| p.dc == cx.settings.dc && !p.leaving);
    let local_peers: Vec<(u64, bool, &Peer)> = local_peers
        .filter(|(_, p)| now.since(p.last_heard()) < SLOT_EXPIRY)
        .map(|(ip, p)| (host_number(*ip), state.is_unreachable(p, now), p))
        .collect();
    let own = host_number(cx.settings.ip);
    let has_many_hosts = state.has_many_hosts();
    for (service, scheduler) in &mut state.schedulers {
        let mut local_hosts = vec![HostDemand {
            id: own,
            demand: scheduler.pool.demand(now),
            unreachable: false,
        }];
        local_hosts.extend(local_peers.iter().map(|(id, unreachable, p)| {
            let reported = p.demand.iter().find(|(s, _)| s == service);
            HostDemand {
                id: *id,
                demand: reported.map_or(0.0, |(_, d)| f64::from(*d)),
                unreachable: *unreachable,
            }
        }));
        scheduler
            .pool
            .allocate_slots(&local_hosts, own, &hosts_by_dc);
        if has_many_hosts {
            scheduler.pool.borrow_slots(&local_hosts, own, now);
        }
    }
}

/// Returns the known hosts by data centre, this host included.
fn hosts_by_dc(cx: &Context, state: &SharedState, now: Time) -> Vec<DataCentreHosts> {
    let has_many_hosts = state.has_many_hosts();
    let reserved = |dc: &str| match has_many_hosts {
        false => 0,
        true if dc == cx.settings.dc => RESERVED_SLOTS_LOCAL,
        true => RESERVED_SLOTS_REMOTE,
    };
    let dc = cx.settings.dc.clone();
    let own = DataCentreHosts {
        known: 1,
        reserved_slots: reserved(&dc),
        dc,
        ..DataCentreHosts::default()
    };
    let mut all = vec![own];
    for peer in state.peers.values().filter(|p| !p.leaving) {
        let index = all.iter().position(|h| h.dc == peer.dc);
        let index = index.unwrap_or_else(|| {
            all.push(DataCentreHosts {
                dc: peer.dc.clone(),
                reserved_slots: reserved(&peer.dc),
                ..DataCentreHosts::default()
            });
            all.len() - 1
        });
        all[index].known += 1;
        all[index].unreachable += u32::from(state.is_unreachable(peer, now));
    }
    all
}

async fn receive(cx: Rc<Context>) {
    let Some(socket) = cx.gossip_socket.get() else {
        return;
    };
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut errors = SocketErrors::new("heartbeats");
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, sender)) => handle(&cx, sender.ip(), &buf[..len]),
            Err(e) => errors.handle(&e).await,
        }
    }
}

/// Applies a datagram of the host at `sender`.
fn handle(cx: &Rc<Context>, sender: IpAddr, bytes: &[u8]) {
    if trial_protocol::is_message(cx, bytes) {
        return cx.metrics.count("trial_messages", &[]);
    }
    let (message, extension) = match HostMessage::decode(bytes) {
        Ok(decoded) => decoded,
        Err(e) => return host_protocols::record_unreadable(cx, sender, bytes, &e),
    };
    if !cx.fleet.is_own(extension.fleet()) {
        return fleet_identity::record_foreign(cx, sender);
    }
    match message {
        HostMessage::Own(report) => {
            let dc = report.dc.clone();
            if heartbeat::receive(cx, sender, *report, extension.protocol()) {
                introduce(cx, sender, &dc);
            }
        }
        HostMessage::Introduction(introduction) => introduction::receive(cx, sender, introduction),
        HostMessage::DataCentre(summary) => {
            forward_relayed(cx, sender, bytes);
            relay::receive(cx, sender, summary, &extension);
        }
        HostMessage::Limits(limits) => {
            if limits.is_relayed() {
                forward_relayed(cx, sender, bytes);
            }
            limit_reports::receive(cx, sender, &limits);
        }
        HostMessage::Notices(notices) => {
            if notices.is_relayed {
                forward_relayed(cx, sender, bytes);
            }
            notice_reports::receive(cx, sender, &notices);
        }
        HostMessage::Crashes(reports) => crash_reports::receive(cx, sender, &reports),
        HostMessage::BegunStreams(streams) => {
            let state = &mut cx.state.borrow_mut();
            stream_origins::receive_begun(state, &streams, Place::Elsewhere);
        }
        HostMessage::OriginQuery(query) => {
            let answer = stream_origins::answer(cx, &query);
            send(cx, &HostMessage::OriginAnswer(answer), &[sender]);
        }
        HostMessage::OriginAnswer(answer) => stream_origins::receive_answer(cx, sender, answer),
        HostMessage::Rollout(report) => {
            if report.is_relayed() {
                forward_relayed(cx, sender, bytes);
            }
            if let Some(newer) = rollout_reports::receive(cx, sender, &report) {
                send(cx, &HostMessage::Rollout(Box::new(newer)), &[sender]);
            }
        }
    }
}

/// Tells a host that has just started which other hosts to contact, if one heartbeat cannot name them all.
fn introduce(cx: &Context, host: IpAddr, dc: &str) {
    let introduction = introduction::build(cx, host, dc);
    if let Some(introduction) = introduction {
        send(cx, &HostMessage::Introduction(introduction), &[host]);
    }
}

/// Forwards a relay's message from another data centre to the hosts of this one, if this host is the
/// relay here.
fn forward_relayed(cx: &Context, sender: IpAddr, bytes: &[u8]) {
    let state = cx.state.borrow();
    let is_local = |p: &Peer| p.dc == cx.settings.dc;
    if state.peers.get(&sender).is_some_and(is_local) || !relay::is_relay(cx, &state) {
        return;
    }
    let local_peers = state.peers.iter().filter(|(_, p)| is_local(p));
    let local_peers: Vec<IpAddr> = local_peers.map(|(ip, _)| *ip).collect();
    drop(state);
    send_bytes(cx, bytes, &local_peers);
}
