//! This host's part in following the platform's store, for itself and for other hosts.
//!
//! In a large fleet hosts of other data centres report through relays only, so that each data centre
//! has its own followers. What they read reaches the other hosts as snapshots, and the relays compare
//! versions between data centres.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;
use stoatjunction_core::entry::follower_election::{Candidate, Role, wanted_followers};
use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::relay::host_number;
use crate::state::{Context, Peer, SharedState};
use crate::store_watch::Topic;

/// Time for which a host waits for the state of others when the whole fleet starts for the first time,
/// which is long before callers come.
const FIRST_START_WAIT: Span = Span::from_millis(1_000);
/// Time after the start at which a host without state asks the store, whatever others do.
const MAX_WAIT_FOR_STATE: Span = Span::from_millis(3_000);
/// Hosts of the whole fleet that follow the crashes for it, which hosts report to each other.
const CRASH_FOLLOWERS: usize = 2;
/// Longest backoff of a host that steps in for others: all of them may get no response.
const MAX_STAND_IN_BACKOFF: Duration = Duration::from_secs(15);

/// Returns whether the store answers this host on every topic: no response has failed or is overdue.
pub(crate) fn follows(state: &SharedState) -> bool {
    state.store_answered_at.iter().all(Option::is_some)
}

/// Returns whether this host follows the store itself.
pub(crate) fn must_follow(cx: &Context) -> bool {
    role(cx).follows()
}

/// Returns whether this host follows the store itself, and for whom.
pub(crate) fn role(cx: &Context) -> Role {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let age = now.since(state.started);
    let has_state = state.routes.is_some() && state.has_list;
    if !has_state && age >= MAX_WAIT_FOR_STATE {
        return Role::Follower;
    }
    let is_seed = cx.settings.seeds.contains(&cx.settings.ip);
    if cx.settings.first_start && !is_seed && !has_state && age < FIRST_START_WAIT {
        return Role::Reader;
    }
    let is_large = state.has_many_hosts();
    let groups = if is_large { state.data_centres } else { 1 };
    let wanted = wanted_followers(groups);
    let in_group = |dc: &str| !is_large || dc == cx.settings.dc;
    let peers = state.peers.iter();
    let peers = peers.filter(|(_, p)| in_group(&p.dc) && !p.leaving);
    let others = peers
        .filter(|(_, p)| !state.is_unreachable(p, now))
        .map(|(ip, p)| Candidate {
            number: host_number(*ip),
            follows: p.follows,
        });
    let mut election = state.follower_election;
    let own = host_number(cx.settings.ip);
    // A data centre of a large fleet may have few hosts, and the fleet many such data centres.
    let role = match is_large {
        true => election.role_of_few(own, others, wanted, now),
        false => election.role(own, others, wanted, now),
    };
    state.follower_election = election;
    role
}

/// Returns whether this host follows a topic itself, and for whom.
pub(crate) fn role_for(cx: &Context, topic: Topic) -> Role {
    match (topic, role(cx)) {
        (Topic::Crashes, role) if role.follows() => crash_role(cx),
        (_, role) => role,
    }
}

/// Returns the role for crashes of a host that follows the other topics. In a large fleet these are followed in
/// the first data centres: a host doesn't know which hosts of another one follow the store.
fn crash_role(cx: &Context) -> Role {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let own = host_number(cx.settings.ip);
    let reachable: Vec<(&IpAddr, &Peer)> = reachable_peers(state, now).collect();
    let is_large = state.has_many_hosts();
    let mut first_hosts = IndexMap::from([(cx.settings.dc.as_str(), own)]);
    for (ip, peer) in reachable.iter().filter(|_| is_large) {
        let first = first_hosts.entry(&peer.dc).or_insert(u64::MAX);
        *first = host_number(**ip).min(*first);
    }
    let own_first = first_hosts.get(cx.settings.dc.as_str()).copied();
    let before = first_hosts.values().filter(|n| Some(**n) < own_first);
    if before.count() >= CRASH_FOLLOWERS {
        return Role::Reader;
    }
    let wanted = CRASH_FOLLOWERS / first_hosts.len().clamp(1, CRASH_FOLLOWERS);
    let in_group = |dc: &str| !is_large || dc == cx.settings.dc;
    let others = reachable.into_iter().filter(|(_, p)| in_group(&p.dc));
    let others = others.map(|(ip, p)| Candidate {
        number: host_number(*ip),
        follows: p.follows,
    });
    let mut election = state.crash_follower_election;
    let role = election.role_of_few(own, others, wanted, now);
    state.crash_follower_election = election;
    role
}

fn reachable_peers(state: &SharedState, now: Time) -> impl Iterator<Item = (&IpAddr, &Peer)> {
    let peers = state.peers.iter();
    peers.filter(move |(_, p)| !p.leaving && !state.is_unreachable(p, now))
}

/// Returns the backoff of a host in this role: those that step in ask more rarely the more of them there
/// are, so that a store in trouble is not asked by the whole fleet.
pub(crate) fn backoff(role: Role, backoff: Duration) -> Duration {
    match role {
        Role::StandIn(place) => (backoff * place).clamp(backoff, MAX_STAND_IN_BACKOFF),
        Role::Independent | Role::Follower | Role::Reader => backoff,
    }
}
