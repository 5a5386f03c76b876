//! Fetching the snapshot of another host when this host's state is older and its own store doesn't
//! catch up in time.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatjunction_core::entry::propagation::PropagationTimes;

use crate::clock;
use crate::followers;
use crate::heartbeat::{self, StateVersion};
use crate::snapshot;
use crate::state::{Context, SharedState};

/// Time for which a host that follows the store leaves a newer list to its own watch, longer than the pause
/// between two watches on the list.
const OWN_LIST_WAIT: Duration = Duration::from_millis(500);

/// Compares the state version of another host with this one's, and fetches a snapshot if that
/// host's is newer.
pub(crate) fn compare(cx: &Rc<Context>, peer: IpAddr, peer_version: StateVersion) {
    let is_behind = {
        let mut state = cx.state.borrow_mut();
        // A later report of the host tells whether its list is still needed.
        if !state.has_list && state.first_list.is_awaited(clock::now()) {
            return;
        }
        let own = heartbeat::state_version(&state);
        let list_differs =
            peer_version.revision > own.revision && peer_version.digest != own.digest;
        if list_differs {
            state
                .start_checks
                .record_newer_list(peer_version.revision, clock::now());
        }
        peer_version.config > own.config || list_differs || lacks_list(&state, peer_version)
    };
    if is_behind {
        tokio::task::spawn_local(catch_up(cx.clone(), peer, peer_version));
    }
}

/// Returns whether the other host has a list, be it an empty one, and this one has none.
fn lacks_list(state: &SharedState, peer_version: StateVersion) -> bool {
    !state.has_list && peer_version.revision > 0
}

async fn catch_up(cx: Rc<Context>, peer: IpAddr, peer_version: StateVersion) {
    let times = PropagationTimes::new(cx.state.borrow().propagation);
    if followers::must_follow(&cx) {
        tokio::time::sleep(own_watch_wait(&cx, &times, peer_version)).await;
    }
    let must_fetch = {
        let mut state = cx.state.borrow_mut();
        let own = heartbeat::state_version(&state);
        let differs = own.config < peer_version.config
            || own.digest != peer_version.digest
            || lacks_list(&state, peer_version);
        let patience = times.fetch_patience;
        differs
            && state
                .snapshot_fetches
                .try_begin(peer, patience, clock::now())
    };
    if !must_fetch {
        return;
    }
    let began = clock::now();
    let fetched = snapshot::fetch(&cx, peer).await;
    let took_ms = clock::now().since(began).as_millis();
    match fetched {
        Ok(()) => log::info!("event=snapshot_fetched from={peer} took_ms={took_ms}"),
        Err(e) => {
            log::info!("event=snapshot_fetch_failed from={peer} took_ms={took_ms} reason={e}");
        }
    }
    cx.state.borrow_mut().snapshot_fetches.end(peer);
}

/// Returns the time in which this host's own watch should bring what the other host has.
fn own_watch_wait(cx: &Context, times: &PropagationTimes, peer_version: StateVersion) -> Duration {
    let own = heartbeat::state_version(&cx.state.borrow());
    match peer_version.config > own.config {
        true => times.own_watch_wait.into(),
        false => OWN_LIST_WAIT,
    }
}
