//! Keeps crashes of upstreams under requests in the platform's store, so that a fleet whose hosts were
//! all killed, and hosts that reach only the store, know of them.

use std::rc::Rc;
use std::time::Duration;

use stoatjunction_core::entry::call_pacing::CallPacing;
use stoatjunction_core::entry::crash::Crash;
use stoatjunction_core::time::Span;

use crate::clock;
use crate::followers;
use crate::state::Context;
use crate::store_watch::{Store, StoreError, StoredCrash, Topic};

/// Longest time until a crash is written whose host did not wake this task.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Calls without a pause, enough for what is new about one request and two parts of its prompt, and for writing a
/// request again when the store has lost it: hosts may be killed right after the crash.
const CALL_BURST: u32 = 8;
/// Interval between two further calls, since all hosts share the store's rate. What becomes due meanwhile is
/// written together.
const CALL_INTERVAL: Span = Span::from_millis(500);
/// Crashes in one object.
const MAX_BATCH: usize = 200;

/// Writes crashes and removes obsolete ones for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    let mut writer = CrashWriter {
        cx,
        store,
        writes: CallPacing::new(CALL_BURST),
        removals: CallPacing::new(CALL_BURST),
    };
    loop {
        let wakeup = writer.cx.crash_wakeup.notified();
        let _either = tokio::time::timeout(CHECK_INTERVAL, wakeup).await;
        if let Err(e) = writer.write_all().await {
            log::info!("event=crash_write_failed reason=\"{e}\"");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Writes this host's crashes, and those of others that are left.
struct CrashWriter<S> {
    cx: Rc<Context>,
    store: Rc<S>,
    writes: CallPacing,
    removals: CallPacing,
}

impl<S> CrashWriter<S>
where
    S: Store,
{
    /// Makes the calls that are due and that the pacing allows; the others follow at one of the next checks.
    async fn write_all(&mut self) -> Result<(), StoreError> {
        // Only hosts that follow the crashes see what others have written.
        let for_others = followers::role_for(&self.cx, Topic::Crashes).follows();
        loop {
            let mut due = self.due(for_others);
            let allowed = self.writes.allowed(CALL_INTERVAL, clock::now()) as usize;
            if due.is_empty() || allowed == 0 {
                break;
            }
            // An operator removes a few crashes one by one, and hosts of earlier versions read these only.
            let is_alone = due.len() <= allowed;
            due.truncate(if is_alone { 1 } else { MAX_BATCH });
            self.writes.try_call(CALL_INTERVAL, clock::now());
            self.write(&due).await?;
        }
        self.remove_obsolete().await
    }

    /// Returns the crashes to write, those that bar requests first.
    fn due(&self, for_others: bool) -> Vec<StoredCrash> {
        let now = clock::now();
        let state = self.cx.state.borrow();
        let causes = &state.crash_causes;
        let due = causes.unstored(for_others, now).into_iter();
        let due = due.filter_map(|crash| {
            let (run, age) = causes.run_and_age(crash, now)?;
            Some(StoredCrash { crash, run, age })
        });
        due.collect()
    }

    /// Writes one crash alone, or several as one object.
    async fn write(&self, stored: &[StoredCrash]) -> Result<(), StoreError> {
        if let [alone] = stored {
            let written = self.store.add_crash(*alone).await;
            self.count("write", &written);
            written?;
            let mut state = self.cx.state.borrow_mut();
            state.crash_causes.set_stored(alone.crash, true);
        } else {
            let batch = fastrand::u64(..);
            let written = self.store.add_crash_batch(batch, stored).await;
            self.count("write_batch", &written);
            written?;
            let crashes: Vec<Crash> = stored.iter().map(|s| s.crash).collect();
            let mut state = self.cx.state.borrow_mut();
            state.crash_causes.set_batch_stored(batch, &crashes);
            log::info!(
                "event=crash_batch_stored batch={batch:016x} crashes={}",
                crashes.len()
            );
        }
        for StoredCrash { crash, .. } in stored {
            log::info!(
                "event=crash_stored cause={} attempt={:016x}",
                crash.cause,
                crash.attempt
            );
        }
        Ok(())
    }

    async fn remove_obsolete(&mut self) -> Result<(), StoreError> {
        while self.removals.allowed(CALL_INTERVAL, clock::now()) > 0 {
            let (alone, batch) = {
                let state = self.cx.state.borrow();
                let causes = &state.crash_causes;
                (causes.next_obsolete(), causes.next_obsolete_batch())
            };
            if alone.is_none() && batch.is_none() {
                break;
            }
            self.removals.try_call(CALL_INTERVAL, clock::now());
            if let Some(crash) = alone {
                let removed = self.store.remove_crash(crash).await;
                self.count("remove", &removed);
                removed?;
                self.cx.state.borrow_mut().crash_causes.set_removed(crash);
            } else if let Some(batch) = batch {
                let removed = self.store.remove_crash_batch(batch).await;
                self.count("remove", &removed);
                removed?;
                let mut state = self.cx.state.borrow_mut();
                state.crash_causes.set_batch_removed(batch);
            }
        }
        Ok(())
    }

    fn count(&self, call: &str, result: &Result<(), StoreError>) {
        let result = if result.is_ok() { "answered" } else { "failed" };
        let tags = [
            ("topic", "crash_writes"),
            ("call", call),
            ("result", result),
        ];
        self.cx.metrics.count("store_calls", &tags);
    }
}
