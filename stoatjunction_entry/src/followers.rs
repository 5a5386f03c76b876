//! This host's part in following the platform's store, for itself and for other hosts.
//!
//! In a large fleet hosts of other data centres report through relays only, so that each data centre
//! has its own followers. What they read reaches the other hosts as snapshots, and the relays compare
//! versions between data centres.

use std::time::Duration;

use stoatjunction_core::entry::follower_election::{Candidate, Role, wanted_followers};
use stoatjunction_core::time::Span;

use crate::clock;
use crate::relay::host_number;
use crate::state::{Context, SharedState};

/// Time for which a host waits for the state of others when the whole fleet starts for the first time,
/// which is long before callers come.
const FIRST_START_WAIT: Span = Span::from_millis(1_000);
/// Time after the start at which a host without state asks the store, whatever others do.
const MAX_WAIT_FOR_STATE: Span = Span::from_millis(3_000);
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
    let role = election.role(host_number(cx.settings.ip), others, wanted, now);
    state.follower_election = election;
    role
}

/// Returns the backoff of a host in this role: those that step in ask more rarely the more of them there
/// are, so that a store in trouble is not asked by the whole fleet.
pub(crate) fn backoff(role: Role, backoff: Duration) -> Duration {
    match role {
        Role::StandIn(place) => (backoff * place).clamp(backoff, MAX_STAND_IN_BACKOFF),
        Role::Independent | Role::Follower | Role::Reader => backoff,
    }
}
