//! Keeps crashes of upstreams under requests in the platform's store, so that a fleet whose hosts were
//! all killed, and hosts that reach only the store, know of them.

use std::rc::Rc;
use std::time::Duration;

use stoatjunction_core::entry::crash::Crash;

use crate::clock;
use crate::followers;
use crate::state::Context;
use crate::store_watch::{Store, StoreError, StoredCrash};

/// Longest time until a crash is written whose host did not wake this task.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Requests without a pause, enough for what is new about one request: hosts may be killed right after
/// the crash.
const REQUEST_BURST: usize = 4;
/// Pause between further requests, since all hosts share the store's rate.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Writes crashes and removes obsolete ones for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    loop {
        let _either = tokio::time::timeout(CHECK_INTERVAL, cx.crash_wakeup.notified()).await;
        if let Err(e) = write_all(&cx, &*store).await {
            cx.metrics.count(
                "store_calls",
                &[
                    ("topic", "crash_writes"),
                    ("call", "write"),
                    ("result", "failed"),
                ],
            );
            log::info!("event=crash_write_failed reason=\"{e}\"");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn write_all<S>(cx: &Context, store: &S) -> Result<(), StoreError>
where
    S: Store,
{
    // Only hosts that follow the store see what others have written.
    let for_others = followers::must_follow(cx);
    let unstored = {
        let state = cx.state.borrow();
        state.crash_causes.unstored(for_others, clock::now())
    };
    for (n, crash) in unstored.into_iter().enumerate() {
        if n >= REQUEST_BURST {
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        write(cx, store, crash).await?;
    }
    loop {
        let obsolete = cx.state.borrow().crash_causes.next_obsolete();
        let Some(crash) = obsolete else {
            return Ok(());
        };
        store.remove_crash(crash).await?;
        cx.state.borrow_mut().crash_causes.set_removed(crash);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn write<S>(cx: &Context, store: &S, crash: Crash) -> Result<(), StoreError>
where
    S: Store,
{
    let known = {
        let state = cx.state.borrow();
        state.crash_causes.run_and_age(crash, clock::now())
    };
    // It may have been refuted while others were written.
    let Some((run, age)) = known else {
        return Ok(());
    };
    store.add_crash(StoredCrash { crash, run, age }).await?;
    cx.metrics.count(
        "store_calls",
        &[
            ("topic", "crash_writes"),
            ("call", "write"),
            ("result", "answered"),
        ],
    );
    let mut state = cx.state.borrow_mut();
    state.crash_causes.set_stored(crash, true);
    log::info!(
        "event=crash_stored cause={} attempt={:016x}",
        crash.cause,
        crash.attempt
    );
    Ok(())
}
