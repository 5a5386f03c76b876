//! Asking another host for its view when the store has not told this host of it in time.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::followers;
use crate::heartbeat::{self, StateVersion};
use crate::snapshot;
use crate::state::Context;

/// Time for which a host waits for its own store before it asks another host.
const OWN_STORE: Duration = Duration::from_millis(500);

/// Compares what another host knows with what this one does, and asks it when it knows more.
pub(crate) fn compare(cx: &Rc<Context>, from: IpAddr, theirs: StateVersion) {
    let own = heartbeat::state_version(&cx.state.borrow());
    let list_differs = theirs.revision > own.revision && theirs.digest != own.digest;
    if theirs.config > own.config || list_differs {
        tokio::task::spawn_local(catch_up(cx.clone(), from, theirs));
    }
}

async fn catch_up(cx: Rc<Context>, from: IpAddr, theirs: StateVersion) {
    if followers::must_follow(&cx) {
        tokio::time::sleep(OWN_STORE).await;
    }
    let is_behind = {
        let mut state = cx.state.borrow_mut();
        let own = heartbeat::state_version(&state);
        let behind = own.config < theirs.config || own.digest != theirs.digest;
        let asking = state.is_fetching_snapshot;
        state.is_fetching_snapshot = asking || behind;
        behind && !asking
    };
    if !is_behind {
        return;
    }
    if let Err(e) = snapshot::fetch(&cx, from).await {
        log::info!("event=view_not_fetched from={from} reason={e}");
    }
    cx.state.borrow_mut().is_fetching_snapshot = false;
}
