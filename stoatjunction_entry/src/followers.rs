//! Which hosts follow the platform's store.
//!
//! Load answered: each call is paid for, and each change of a list wakes every watch. In a large fleet
//! two hosts of each data centre follow the store and the others hear from them; a host that hears no
//! two follows it itself, so that none depends on another that is gone, cut off or turned away.

use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::relay::host_number;
use crate::state::{Context, SharedState};

/// Hosts of a data centre that follow the store.
const FOLLOWERS: usize = 2;
/// Time since the store's last answer after which a host no longer counts as following it: a watch
/// that waits is answered well before.
const STALE: Span = Span::from_millis(6_000);

/// True when the store has answered this host of late on everything it follows.
pub(crate) fn follows(state: &SharedState, now: Time) -> bool {
    let is_fresh = |at: Option<Time>| at.is_some_and(|at| now.since(at) < STALE);
    state.store_answered_at.into_iter().all(is_fresh)
}

/// True when this host has to follow the store itself.
pub(crate) fn must_follow(cx: &Context) -> bool {
    let now = clock::now();
    let state = cx.state.borrow();
    if !state.has_many_hosts() || state.routes.is_none() || !state.has_list {
        return true;
    }
    let own = host_number(cx.settings.ip);
    let near = state.peers.iter().filter(|(_, p)| p.dc == cx.settings.dc);
    let following = near.filter(|(_, p)| p.follows && !p.leaving && !state.is_unreachable(p, now));
    let before = following.filter(|(ip, _)| host_number(**ip) < own);
    before.count() < FOLLOWERS
}
