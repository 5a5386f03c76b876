//! Which fleet this host belongs to. Seeds and names of hosts may be stale, and their addresses may belong to hosts of another
//! fleet by now, whose configuration and upstreams would replace this one's wherever they have the higher number. A fleet is
//! the hosts of one store, so that the store keeps the number that identifies it, and messages carry it.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use stoatjunction_net::occurrences::Occurrences;
use tokio::sync::Notify;

use crate::state::Context;
use crate::store_watch::{Store, StoreError};

/// Time at the start for which messages wait for the number. Without the store a host hears all others.
const DECISION_TIME: Duration = Duration::from_millis(150);
/// Time that a fleet's first hosts get to write the number, before others do.
const WRITE_PATIENCE: Duration = Duration::from_millis(250);
/// Time after a failed call to the store, which doubles with each further one, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Shortest time between two reads while messages of another fleet come: each call to the store is billed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// The number of this host's fleet, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct FleetIdentity {
    id: Cell<Option<u64>>,
    /// True once the number is known or could not be read in time.
    is_decided: Cell<bool>,
    decision: Notify,
    /// Messages of other fleets.
    foreign: RefCell<Occurrences>,
    /// Wakes the task that reads the number: it may have been lost and written anew.
    foreign_heard: Notify,
}

impl FleetIdentity {
    /// Returns the number.
    pub(crate) fn id(&self) -> Option<u64> {
        self.id.get()
    }

    /// Returns whether a message with this number may be of this host's fleet. Builds that know no number send none, as do
    /// hosts that have not reached the store.
    pub(crate) fn is_own(&self, id: Option<u64>) -> bool {
        match (self.id.get(), id) {
            (Some(own), Some(id)) => own == id,
            _ => true,
        }
    }

    /// Waits until messages can be told apart, or have to be heard all the same.
    pub(crate) async fn decided(&self) {
        while !self.is_decided.get() {
            self.decision.notified().await;
        }
    }

    fn decide(&self) {
        self.is_decided.set(true);
        self.decision.notify_waiters();
    }
}

/// Reads the number at the start, and again when other fleets are heard, for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    let first = identify(&cx, &*store);
    tokio::pin!(first);
    let mut identified = match tokio::time::timeout(DECISION_TIME, &mut first).await {
        Ok(identified) => identified,
        Err(_) => {
            cx.fleet.decide();
            first.await
        }
    };
    let mut backoff = MIN_BACKOFF;
    loop {
        match identified {
            Ok(id) => {
                backoff = MIN_BACKOFF;
                if cx.fleet.id.replace(Some(id)) != Some(id) {
                    log::info!("event=fleet_identified fleet={id:016x}");
                    cx.gossip_wakeup.notify_one();
                }
                cx.fleet.decide();
                let read_at = tokio::time::Instant::now();
                cx.fleet.foreign_heard.notified().await;
                tokio::time::sleep_until(read_at + REREAD_INTERVAL).await;
            }
            Err(e) => {
                log::info!("event=fleet_unidentified reason=\"{e}\"");
                cx.fleet.decide();
                tokio::time::sleep(backoff.mul_f64(0.5 + fastrand::f64())).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
        identified = identify(&cx, &*store).await;
    }
}

/// Returns the number that the store has, which this host writes if nobody else does.
async fn identify<S>(cx: &Context, store: &S) -> Result<u64, StoreError>
where
    S: Store,
{
    if let Some(id) = read(cx, store).await? {
        return Ok(id);
    }
    let is_seed = cx.settings.seeds.contains(&cx.settings.ip);
    if !is_seed {
        tokio::time::sleep(WRITE_PATIENCE.mul_f64(0.5 + fastrand::f64())).await;
        if let Some(id) = read(cx, store).await? {
            return Ok(id);
        }
    }
    let written = store.create_fleet_id(fastrand::u64(1..)).await;
    count(cx, "write", written.is_ok());
    written?;
    let id = read(cx, store).await?;
    id.ok_or_else(|| StoreError::Failed("the number is not there".to_owned()))
}

async fn read<S>(cx: &Context, store: &S) -> Result<Option<u64>, StoreError>
where
    S: Store,
{
    let read = store.read_fleet_id().await;
    count(cx, "read", read.is_ok());
    read
}

fn count(cx: &Context, call: &str, is_ok: bool) {
    let result = if is_ok { "answered" } else { "failed" };
    let tags = [("topic", "fleet"), ("call", call), ("result", result)];
    cx.metrics.count("store_calls", &tags);
}

/// Records a message of another fleet, and forgets the host at `sender` if it was taken for one of this fleet.
pub(crate) fn record_foreign(cx: &Context, sender: IpAddr) {
    cx.metrics.count("foreign_messages", &[]);
    if let Some(count) = cx.fleet.foreign.borrow_mut().record(Instant::now()) {
        log::warn!("event=foreign_host host={sender} count={count}");
    }
    cx.fleet.foreign_heard.notify_one();
    cx.state.borrow_mut().remove_peer(sender);
}
