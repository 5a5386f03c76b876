//! Probes of barred requests: one is sent after a while, by one host, so that a wrong blame ends.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stoatjunction_core::entry::crash::Cause;
use stoatjunction_core::entry::crash_probes::{self, ProbeRefusal};
use stoatjunction_core::hash;
use stoatjunction_core::time::Span;
use tokio::sync::{Notify, oneshot};

use crate::clock;
use crate::state::Context;
use crate::store_watch::{Store, StoreError};

/// Time within which a request waits for the grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest delay by which hosts differ, so that the result of one probe is known before another host asks.
const MAX_DELAY_MS: u64 = 10_000;
/// Pause before this host asks again, unless it learns of a longer one.
const RETRY_INTERVAL: Span = Span::from_millis(5_000);
/// The same once no further probe is granted, or one was.
const LONG_INTERVAL: Span = Span::from_millis(120_000);

/// A request that waits for the grant.
#[derive(Debug)]
struct Waiting {
    causes: Vec<Cause>,
    tx: oneshot::Sender<bool>,
}

/// Requests that wait to be granted a probe.
#[derive(Debug, Default)]
pub(crate) struct ProbeRequests {
    waiting: RefCell<Vec<Waiting>>,
    wanted: Notify,
}

/// Returns whether a request is barred and may be sent all the same, as the probe of what bars it. Costs nothing unless
/// one may be due.
pub(crate) async fn acquire(cx: &Context, causes: &[Cause], request_id: &str) -> bool {
    let now = clock::now();
    let due = {
        let mut state = cx.state.borrow_mut();
        let due = state.crash_causes.probes_due(causes, delay(cx), now);
        state
            .crash_causes
            .postpone_probes(&due, now + RETRY_INTERVAL);
        due
    };
    if due.is_empty() {
        return false;
    }
    let names: Vec<String> = due.iter().map(Cause::to_string).collect();
    let (tx, rx) = oneshot::channel();
    cx.probes
        .waiting
        .borrow_mut()
        .push(Waiting { causes: due, tx });
    cx.probes.wanted.notify_one();
    let granted = tokio::time::timeout(GRANT_TIMEOUT, rx).await;
    let is_granted = matches!(granted, Ok(Ok(true)));
    log::info!(
        "event=crash_probe request={request_id} causes={} granted={is_granted}",
        names.join("+")
    );
    is_granted
}

/// Returns the delay of this host.
fn delay(cx: &Context) -> Span {
    Span::from_millis(hash::hash_parts(&[&cx.boot.to_be_bytes()]) % MAX_DELAY_MS)
}

/// Asks the store for the probes that requests wait for, for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    loop {
        cx.probes.wanted.notified().await;
        let waiting = cx.probes.waiting.take();
        for Waiting { causes, tx } in waiting {
            let granted = ask(&cx, &*store, &causes).await;
            let result = match &granted {
                Ok(true) => "granted",
                Ok(false) => "refused",
                Err(_) => "failed",
            };
            cx.metrics.count("crash_probes", &[("result", result)]);
            match granted {
                Ok(is_granted) => {
                    let _request_may_have_ended = tx.send(is_granted);
                }
                Err(e) => log::info!("event=crash_probe_failed reason=\"{e}\""),
            }
        }
    }
}

/// Asks for one probe. All hosts replace one object, each the revision that it has read, so that one of them gets it.
async fn ask<S>(cx: &Context, store: &S, causes: &[Cause]) -> Result<bool, StoreError>
where
    S: Store,
{
    let stored = store.read_probes().await?;
    let now = clock::now();
    let granted = {
        let state = cx.state.borrow();
        crash_probes::grant(&stored.records, causes, |r| {
            let granted_at = now.saturating_sub(r.age);
            state.crash_causes.is_refuted_since(r.cause, granted_at)
        })
    };
    let (next, pause) = match granted {
        Ok(records) => (Some(records), LONG_INTERVAL),
        Err(ProbeRefusal::After(span)) => (None, span),
        Err(ProbeRefusal::Exhausted) => (None, LONG_INTERVAL),
    };
    cx.state
        .borrow_mut()
        .crash_causes
        .postpone_probes(causes, now + pause);
    match next {
        Some(records) => store.write_probes(&records, stored.revision).await,
        None => Ok(false),
    }
}
