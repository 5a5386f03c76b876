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
/// Time for which messages wait after that if the store has no number yet: what is taken over meanwhile would be forgotten.
const WRITING_TIME: Duration = Duration::from_millis(1_000);
/// Time after a failed call to the store, which doubles with each further one, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Shortest time between two reads while messages of another fleet come: each call to the store is billed.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// The number of this host's fleet, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct FleetIdentity {
    id: Cell<Option<u64>>,
    /// Number of the fleet whose state this host took over before it knew its own: it counts as one of it until then.
    assumed: Cell<Option<u64>>,
    /// How often state was forgotten that was taken over from another fleet.
    resets: Cell<u64>,
    has_reset: Notify,
    /// True once the store has said that there is no number.
    is_unwritten: Cell<bool>,
    /// True once the number is known or could not be read in time.
    is_decided: Cell<bool>,
    decision: Notify,
    /// Messages of other fleets.
    foreign: RefCell<Occurrences>,
    /// Wakes the task that reads the number: it may have been lost and written anew.
    foreign_heard: Notify,
}

impl FleetIdentity {
    /// Returns the number, or the one that is assumed.
    pub(crate) fn id(&self) -> Option<u64> {
        self.id.get().or(self.assumed.get())
    }

    /// Returns whether a message with this number may be of this host's fleet. Builds that know no number send none, as do
    /// hosts that have not reached the store.
    pub(crate) fn is_own(&self, id: Option<u64>) -> bool {
        match (self.id(), id) {
            (Some(own), Some(id)) => own == id,
            _ => true,
        }
    }

    /// Assumes that this host is of the fleet with this number, whose state it takes over from `peer`, unless it knows better.
    pub(crate) fn assume(&self, id: Option<u64>, peer: IpAddr) {
        if let (None, Some(id)) = (self.id(), id) {
            log::info!("event=fleet_assumed fleet={id:016x} from={peer}");
            self.assumed.set(Some(id));
        }
    }

    /// Returns how often this host has forgotten its state.
    pub(crate) fn resets(&self) -> u64 {
        self.resets.get()
    }

    /// Waits until this host has forgotten its state more often than `resets`.
    pub(crate) async fn reset_after(&self, resets: u64) {
        while self.resets.get() <= resets {
            self.has_reset.notified().await;
        }
    }

    /// Sets the number, and returns whether another one was assumed.
    fn identify(&self, id: u64) -> bool {
        self.id.set(Some(id));
        self.assumed.take().is_some_and(|a| a != id)
    }

    /// Has the tasks that follow the store list it again.
    fn record_reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.has_reset.notify_waiters();
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
    let mut identified = identify_in_time(&cx, &*store).await;
    let mut backoff = MIN_BACKOFF;
    loop {
        match identified {
            Ok(id) => {
                backoff = MIN_BACKOFF;
                set_identity(&cx, id);
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

/// Returns the number, and has messages heard without it if it does not come in time.
async fn identify_in_time<S>(cx: &Context, store: &S) -> Result<u64, StoreError>
where
    S: Store,
{
    let identified = identify(cx, store);
    tokio::pin!(identified);
    if let Ok(identified) = tokio::time::timeout(DECISION_TIME, &mut identified).await {
        return identified;
    }
    if cx.fleet.is_unwritten.get()
        && let Ok(identified) = tokio::time::timeout(WRITING_TIME, &mut identified).await
    {
        return identified;
    }
    cx.fleet.decide();
    identified.await
}

fn set_identity(cx: &Context, id: u64) {
    if cx.fleet.id.get() == Some(id) {
        return;
    }
    log::info!("event=fleet_identified fleet={id:016x}");
    if cx.fleet.identify(id) {
        log::warn!("event=foreign_state_forgotten");
        cx.forget_state();
        cx.fleet.record_reset();
    }
    cx.gossip_wakeup.notify_one();
}

/// Returns the number that the store has, which this host writes if nobody else does.
async fn identify<S>(cx: &Context, store: &S) -> Result<u64, StoreError>
where
    S: Store,
{
    if let Some(id) = read(cx, store).await? {
        return Ok(id);
    }
    cx.fleet.is_unwritten.set(true);
    let is_seed = cx.settings.seeds.contains(&cx.settings.ip);
    if !is_seed {
        tokio::time::sleep(WRITE_PATIENCE.mul_f64(0.5 + fastrand::f64())).await;
        if let Some(id) = read(cx, store).await? {
            return Ok(id);
        }
    }
    let known = cx.fleet.id.get();
    let id = known.unwrap_or_else(|| fastrand::u64(1..));
    let written = store.create_fleet_id(id).await;
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
