//! Writes the status of orders for rollouts, and what must survive the loss of all hosts, to the platform's store.
//!
//! All hosts come to the same decision. The relay of each data centre may write, one after the other, so that a host
//! that is killed or refused by the store needs no handover; writes are conditional, so that two that write at the
//! same time do no harm.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use stoatjunction_core::entry::rollout::{OrderId, RolloutOrder, RolloutState, Verdict};
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::relay::{self, host_number};
use crate::rollouts;
use crate::state::{Context, SharedState};
use crate::store_watch::{ProgressWrite, StatusWrite, Store, StoreError};

/// Interval for checking what has to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of a write for each host that comes before this one in the order of writers.
const TURN_DELAY: Span = Span::from_millis(400);
/// Pause of the first host that may write after a failed request; the others make longer ones, so that a store in
/// trouble is not asked by the whole fleet.
const RETRY_DELAY: Span = Span::from_millis(500);
/// Interval between two writes of the progress of an order while its counts change.
const PROGRESS_INTERVAL: Span = Span::from_millis(2_000);

/// What this host has to write, or has written, for a service.
#[derive(Debug, Default)]
struct ServiceWrites {
    order: OrderId,
    /// State that the store should have, and since when.
    wanted: Option<(RolloutState, Time)>,
    /// True after a request without a response, until the order was read.
    must_read: bool,
    not_before: Time,
    /// Revision of the object with the progress.
    progress_revision: Option<u64>,
    /// Responses and verdict as they were last written, and when.
    progress_written: Option<(u64, Verdict, Time)>,
}

/// Writes for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    let mut writes_by_service: IndexMap<String, ServiceWrites> = IndexMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let services: Vec<String> = {
            let state = cx.state.borrow();
            state.rollouts.services.keys().cloned().collect()
        };
        writes_by_service.retain(|service, _| services.contains(service));
        for service in services {
            let writes = writes_by_service.entry(service.clone()).or_default();
            if let Err(e) = write(&cx, &*store, &service, writes).await {
                log::info!("event=rollout_write_failed service={service} reason=\"{e}\"");
                count(&cx, "status", "failed");
                writes.must_read = true;
                let now = clock::now();
                let position = position(&cx, &cx.state.borrow(), now);
                writes.not_before = now + Span(RETRY_DELAY.0 * (position + 1));
            }
        }
    }
}

/// Writes the status of an order if it is this host's turn, and its progress if it is the first one to write.
async fn write<S>(
    cx: &Context,
    store: &S,
    service: &str,
    writes: &mut ServiceWrites,
) -> Result<(), StoreError>
where
    S: Store,
{
    let now = clock::now();
    let Some((order, wanted)) = wanted(cx, service, writes, now) else {
        return Ok(());
    };
    let position = position(cx, &cx.state.borrow(), now);
    if now < writes.not_before {
        return Ok(());
    }
    let is_due = |since: Time| now.since(since) >= Span(TURN_DELAY.0 * position);
    let due = wanted.filter(|(_, since)| is_due(*since));
    if let Some((state, _)) = due {
        if std::mem::take(&mut writes.must_read) {
            return read(cx, store, &order).await;
        }
        write_status(cx, store, &order, state).await?;
    }
    if position == 0 {
        write_progress(cx, store, service, writes).await;
    }
    Ok(())
}

/// Returns the order for a service, and the state that the store should have, with the time since when.
fn wanted(
    cx: &Context,
    service: &str,
    writes: &mut ServiceWrites,
    now: Time,
) -> Option<(RolloutOrder, Option<(RolloutState, Time)>)> {
    let state = cx.state.borrow();
    let known = state.rollouts.services.get(service)?;
    if known.removed_at.is_some() {
        return None;
    }
    let id = known.rollout.id();
    if writes.order != id {
        *writes = ServiceWrites {
            order: id,
            ..ServiceWrites::default()
        };
    }
    let wanted = known.rollout.wanted_status(now);
    writes.wanted = match (wanted, writes.wanted) {
        (Some(wanted), Some((before, since))) if wanted == before => Some((wanted, since)),
        (wanted, _) => wanted.map(|wanted| (wanted, now)),
    };
    Some((known.rollout.order().clone(), writes.wanted))
}

/// Returns this host's position among those that may write: first the relays by a hash of their data centres' names,
/// then the other hosts, for the case that the store refuses the relays.
fn position(cx: &Context, state: &SharedState, now: Time) -> u64 {
    let rank = |dc: &str| hash::hash_parts(&[dc.as_bytes()]);
    let own_rank = rank(&cx.settings.dc);
    let reachable = || {
        let peers = state.peers.iter();
        peers.filter(|(_, p)| !state.is_unreachable(p, now) && !p.dc.is_empty())
    };
    let mut dcs: Vec<&str> = reachable().map(|(_, p)| p.dc.as_str()).collect();
    dcs.push(&cx.settings.dc);
    dcs.sort_unstable();
    dcs.dedup();
    if relay::is_relay(cx, state) {
        return dcs.iter().filter(|dc| rank(dc) < own_rank).count() as u64;
    }
    let own = host_number(cx.settings.ip);
    let before = reachable().filter(|(ip, _)| host_number(**ip) < own);
    (dcs.len() + before.count()) as u64
}

/// Reads the order after a request whose outcome is not known.
async fn read<S>(cx: &Context, store: &S, order: &RolloutOrder) -> Result<(), StoreError>
where
    S: Store,
{
    let service = &order.service;
    let stored = store.read_rollout(service).await?;
    count(cx, "read", "answered");
    log::info!(
        "event=rollout_status_read service={service} state={}",
        rollouts::state_label(stored.as_ref().and_then(RolloutOrder::state))
    );
    match stored {
        Some(stored) => rollouts::learn(cx, stored, Span::ZERO, "store"),
        None => rollouts::learn_removal(cx, service, order.revision + 1, "store"),
    }
    Ok(())
}

async fn write_status<S>(
    cx: &Context,
    store: &S,
    order: &RolloutOrder,
    state: RolloutState,
) -> Result<(), StoreError>
where
    S: Store,
{
    let (service, target) = (&order.service, &order.target);
    match store.write_rollout_status(order, state).await? {
        StatusWrite::Written(revision) => {
            count(cx, "status", "written");
            log::info!(
                "event=rollout_status_written service={service} target={target} state={} revision={revision}",
                rollouts::state_label(Some(state))
            );
            let order = RolloutOrder {
                revision,
                status: Some((state, target.clone())),
                ..order.clone()
            };
            rollouts::learn(cx, order, Span::ZERO, "store");
        }
        StatusWrite::Conflict(stored) => {
            count(cx, "status", "conflict");
            log::info!(
                "event=rollout_conflict service={service} target={target} state={} stored_target={} stored_state={} revision={}",
                rollouts::state_label(Some(state)),
                stored.target,
                rollouts::state_label(stored.state()),
                stored.revision
            );
            rollouts::learn(cx, stored, Span::ZERO, "store");
        }
        StatusWrite::Gone => {
            count(cx, "status", "gone");
            let revision = order.revision + 1;
            rollouts::learn_removal(cx, service, revision, "store");
        }
    }
    Ok(())
}

/// Writes the progress of an order at its start, when the verdict changes, and from time to time while the counts
/// change. A failure is logged and repeated later: nothing waits for it.
async fn write_progress<S>(cx: &Context, store: &S, service: &str, writes: &mut ServiceWrites)
where
    S: Store,
{
    let now = clock::now();
    let progress = {
        let state = cx.state.borrow();
        let known = state.rollouts.services.get(service);
        let running = known.filter(|s| s.rollout.order().state() == Some(RolloutState::Running));
        running.map(|s| s.rollout.progress(now))
    };
    let Some(progress) = progress else {
        return;
    };
    let is_due = writes
        .progress_written
        .is_none_or(|(answers, verdict, at)| {
            let has_counts = answers != progress.answers && now.since(at) >= PROGRESS_INTERVAL;
            verdict != progress.verdict || has_counts
        });
    if !is_due {
        return;
    }
    let replaces = writes.progress_revision;
    let written = store
        .put_rollout_progress(service, &progress, replaces)
        .await;
    match written {
        Ok(ProgressWrite::Written(revision)) => {
            count(cx, "progress", "written");
            writes.progress_revision = Some(revision);
            writes.progress_written = Some((progress.answers, progress.verdict, now));
        }
        Ok(ProgressWrite::Conflict(stored)) => {
            count(cx, "progress", "conflict");
            writes.progress_revision = stored.map(|s| s.revision);
        }
        Err(e) => {
            count(cx, "progress", "failed");
            log::info!("event=rollout_progress_failed service={service} reason=\"{e}\"");
            writes.not_before = clock::now() + RETRY_DELAY;
        }
    }
}

fn count(cx: &Context, call: &str, result: &str) {
    let tags = [("call", call), ("result", result)];
    cx.metrics.count("rollout_writes", &tags);
}
