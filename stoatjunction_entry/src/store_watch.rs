//! Following the platform's store: the configuration and the list of upstreams.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use stoatjunction_core::entry::config::Configuration;
use stoatjunction_core::entry::upstream_list::UpstreamEntry;
use stoatjunction_core::time::Span;
use thiserror::Error;

use crate::clock;
use crate::followers;
use crate::state::Context;

/// Longest time that a watch waits; an answer that is lost is noticed soon after.
const WAIT: Duration = Duration::from_secs(4);
/// First pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Time after a failed call in which entries that are missing may still come back.
const UNSURE: Span = Span::from_millis(3_000);
/// Pause after news of upstreams, in which more may gather: each call is paid for, and many upstreams
/// write at about the same time. It takes part of the time to drain.
const GATHER: Duration = Duration::from_millis(350);
/// Part of the time to drain by which removals are put off at most.
const PUT_OFF_PART: f64 = 0.55;
/// Pause between two looks at whether this host has to follow the store itself.
const LOOK: Duration = Duration::from_millis(100);
/// Pause between two looks at removals that are put off.
const SETTLE: Duration = Duration::from_millis(100);

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// A change of what is followed.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration was accepted.
    Configuration(Configuration),
    /// An upstream's entry was written.
    Upstream {
        /// Name of the upstream.
        id: String,
        /// The entry.
        entry: UpstreamEntry,
    },
    /// An upstream's entry was removed.
    Removed {
        /// Name of the upstream.
        id: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// Changes up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The revision from which to go on.
    pub revision: u64,
    /// The changes in order, or everything there is.
    pub changes: Vec<Change>,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The history since the revision is gone.
    #[error("history is gone")]
    HistoryGone,
    /// The store did not answer, or not with what was asked for.
    #[error("{0}")]
    Failed(String),
}

/// Where changes come from.
pub trait WatchedStore {
    /// Everything there is of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Changes of a topic since a revision, as soon as there are any or after `wait`.
    fn watch(
        &self,
        topic: Topic,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;
}

/// Follows one topic for as long as the daemon runs.
pub(crate) async fn follow<S>(cx: Rc<Context>, source: Rc<S>, topic: Topic)
where
    S: WatchedStore,
{
    let mut pause = PAUSE;
    loop {
        if !followers::must_follow(&cx) {
            cx.state.borrow_mut().store_answered_at[topic as usize] = None;
            tokio::time::sleep(LOOK).await;
            continue;
        }
        match source.list(topic).await {
            Ok(all) => {
                pause = PAUSE;
                heard(&cx, topic);
                let at = all.revision;
                replace(&cx, topic, all);
                watch_from(&cx, &*source, topic, at).await;
            }
            Err(e) => {
                failed(&cx, topic, &e);
                tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

fn heard(cx: &Context, topic: Topic) {
    cx.state.borrow_mut().store_answered_at[topic as usize] = Some(clock::now());
}

/// Takes changes in until a call fails or others follow the store for this host.
async fn watch_from<S>(cx: &Context, source: &S, topic: Topic, mut at: u64)
where
    S: WatchedStore,
{
    while followers::must_follow(cx) {
        match source.watch(topic, at, WAIT).await {
            Ok(some) => {
                heard(cx, topic);
                at = at.max(some.revision);
                let had_news = !some.changes.is_empty();
                apply(cx, some);
                if had_news && topic == Topic::Upstreams {
                    tokio::time::sleep(GATHER).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                log::info!("event=history_gone topic={topic:?} since={at}");
                return;
            }
            Err(e) => {
                failed(cx, topic, &e);
                return;
            }
        }
    }
}

fn failed(cx: &Context, topic: Topic, e: &StoreError) {
    log::info!("event=store_failed topic={topic:?} reason={e}");
    let mut state = cx.state.borrow_mut();
    state.store_failed_at = Some(clock::now());
    state.store_answered_at[topic as usize] = None;
}

/// Time by which removals are put off, right after the store could not be reached: entries that
/// expired meanwhile may come back. What is gone for good must still get no work in time.
fn put_off(cx: &Context) -> Option<Span> {
    let state = cx.state.borrow();
    let failed = state.store_failed_at;
    let unsure = failed.is_some_and(|at| clock::now().since(at) < UNSURE);
    let drain = state.drain.0 as f64;
    unsure.then_some(Span((drain * PUT_OFF_PART) as u64))
}

fn replace(cx: &Context, topic: Topic, all: Changes) {
    if topic == Topic::Configuration {
        apply(cx, all);
        return;
    }
    let put_off = put_off(cx);
    let mut items = IndexMap::new();
    for change in all.changes {
        if let Change::Upstream { id, entry } = change {
            items.insert(id, entry);
        }
    }
    let news = {
        let mut state = cx.state.borrow_mut();
        state.has_list = true;
        state
            .upstream_list
            .replace(items, all.revision, put_off, clock::now())
    };
    if news {
        cx.sync_pools();
    }
}

/// Takes changes in.
pub(crate) fn apply(cx: &Context, some: Changes) {
    let put_off = put_off(cx);
    let mut news = false;
    for change in some.changes {
        match change {
            Change::Configuration(cfg) => {
                cx.apply_configuration(cfg);
            }
            Change::Upstream { id, entry } => {
                news |= cx.state.borrow_mut().upstream_list.upsert(&id, entry);
            }
            Change::Removed { id, revision } => {
                let now = clock::now();
                let mut state = cx.state.borrow_mut();
                news |= state.upstream_list.remove(&id, revision, put_off, now);
            }
        }
    }
    if news {
        cx.sync_pools();
    }
}

/// Carries out removals that were put off.
pub(crate) async fn apply_removals(cx: Rc<Context>) {
    loop {
        tokio::time::sleep(SETTLE).await;
        let news = cx
            .state
            .borrow_mut()
            .upstream_list
            .apply_due_removals(clock::now());
        if news {
            cx.sync_pools();
        }
    }
}
