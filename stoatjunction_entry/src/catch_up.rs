//! Fetching the snapshot of another host when this host's state is older and its own store doesn't
//! catch up in time.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::followers;
use crate::heartbeat::{self, StateVersion};
use crate::snapshot;
use crate::state::{Context, SharedState};

/// Time for which a host that follows the store waits for it before it asks another host.
const OWN_STORE_WAIT: Duration = Duration::from_millis(500);

/// Compares the state version of another host with this one's, and fetches a snapshot if that
/// host's is newer.
pub(crate) fn compare(cx: &Rc<Context>, peer: IpAddr, peer_version: StateVersion) {
    let is_behind = {
        let state = cx.state.borrow();
        let own = heartbeat::state_version(&state);
        let list_differs =
            peer_version.revision > own.revision && peer_version.digest != own.digest;
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
    if followers::must_follow(&cx) {
        tokio::time::sleep(OWN_STORE_WAIT).await;
    }
    let must_fetch = {
        let mut state = cx.state.borrow_mut();
        let own = heartbeat::state_version(&state);
        let differs = own.config < peer_version.config
            || own.digest != peer_version.digest
            || lacks_list(&state, peer_version);
        let is_fetching = state.is_fetching_snapshot;
        state.is_fetching_snapshot = is_fetching || differs;
        differs && !is_fetching
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
            log::info!("event=snapshot_fetch_failed from={peer} took_ms={took_ms} reason={e}")
        }
    }
    cx.state.borrow_mut().is_fetching_snapshot = false;
}
