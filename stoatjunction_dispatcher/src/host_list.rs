//! Polling of the platform's host list by a few elected hosts of each data centre.

use std::time::Duration;

use stoatjunction_core::membership::is_elected;
use stoatjunction_net::message::LeavingSource;
use stoatjunction_net::platform::{HostListClient, HostState, ListedHost};
use tokio::sync::mpsc;

use crate::daemon::SharedState;
use crate::event::Event;
use crate::state::State;

/// Number of hosts per data centre that read the list.
const READERS_PER_DC: usize = 2;
/// Time between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Sets the leaving statuses of all listed hosts. Listed hosts that are not upstreams have no
    /// effect on any shard.
    pub(crate) fn merge_host_list(&mut self, hosts: Vec<ListedHost>) {
        for host in hosts {
            let leaving = host.state == HostState::Leaving;
            self.set_leaving_status(&host.name, LeavingSource::HostList, leaving);
        }
    }
}

/// Reads the list periodically while this host is an elected reader.
pub(crate) async fn poll_host_list(
    shared: SharedState,
    list: HostListClient,
    tx: mpsc::Sender<Event>,
) {
    let mut ticks = tokio::time::interval(READ_INTERVAL);
    loop {
        ticks.tick().await;
        if !is_reader(&shared) {
            continue;
        }
        let Ok(hosts) = list.read().await else {
            continue;
        };
        if tx.send(Event::HostList(hosts)).await.is_err() {
            return;
        }
    }
}

fn is_reader(shared: &SharedState) -> bool {
    let state = shared.lock();
    let hosts = state.live_hosts();
    is_elected(
        hosts.iter().map(String::as_str),
        &state.own_member.host,
        "host-list",
        READERS_PER_DC,
    )
}
