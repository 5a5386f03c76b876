//! Which hosts follow the platform's store.
//!
//! Each request to the store is billed, and each change of a list wakes every watch. In a large
//! fleet two hosts of each data centre follow the store and the others get its state from them. A
//! host that doesn't reach two followers follows the store itself, so that none depends on a host
//! that is gone, partitioned or refused by the store.

use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::relay::host_number;
use crate::state::{Context, SharedState};

/// Number of hosts in a data centre that follow the store.
const FOLLOWERS_PER_DC: usize = 2;
/// Time since the store's last response after which a host no longer counts as following it. A
/// watch returns well before, even without changes.
const RESPONSE_MAX_AGE: Span = Span::from_millis(6_000);

/// Returns whether this host has a recent response from the store on every topic.
pub(crate) fn follows(state: &SharedState, now: Time) -> bool {
    let is_fresh = |at: Option<Time>| at.is_some_and(|at| now.since(at) < RESPONSE_MAX_AGE);
    state.store_answered_at.into_iter().all(is_fresh)
}

/// Returns whether this host has to follow the store itself.
pub(crate) fn must_follow(cx: &Context) -> bool {
    let now = clock::now();
    let state = cx.state.borrow();
    if !state.has_many_hosts() || state.routes.is_none() || !state.has_list {
        return true;
    }
    let own = host_number(cx.settings.ip);
    let local_peers = state.peers.iter().filter(|(_, p)| p.dc == cx.settings.dc);
    let following =
        local_peers.filter(|(_, p)| p.follows && !p.leaving && !state.is_unreachable(p, now));
    let before = following.filter(|(ip, _)| host_number(**ip) < own);
    before.count() < FOLLOWERS_PER_DC
}
