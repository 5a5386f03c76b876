//! Where streams began, as hosts keep it in the platform's store for the case that none of them is left that knows.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use stoatjunction_core::entry::origin_log::SegmentWrite;
use stoatjunction_core::entry::software_version::{MAX_STREAM_AGE, SoftwareVersion};
use stoatjunction_core::entry::stream_origins::{BegunStream, Place};
use stoatjunction_core::time::{Span, Time};
use tokio::sync::{Notify, watch};

use crate::clock;
use crate::followers;
use crate::state::{Context, SharedState};
use crate::store_watch::{self, Store, StoreError, StoredOrigins};

/// Interval between two writes. What began since the last one is lost if all hosts lose power.
const WRITE_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time until a version that has appeared is noticed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between two reads, which all requests that wait for one share.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a read is waited for.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Age from which on any host removes an object: the host that wrote it did not come back.
const ABANDONED_AGE: Span = Span::from_millis(180_000);
/// Objects that are removed after one read.
const MAX_REMOVED: usize = 4;

/// Times at which the latest complete reads began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadTimes {
    /// Of where streams began.
    pub(crate) origins: Time,
    /// Of the list of upstreams.
    pub(crate) list: Time,
}

impl ReadTimes {
    /// Returns whether the reads are as late as those that are needed.
    fn reach(self, needed: ReadTimes) -> bool {
        self.origins >= needed.origins && self.list >= needed.list
    }
}

/// Reads of the store that requests wait for.
#[derive(Debug)]
pub(crate) struct OriginReads {
    wanted: Notify,
    wants_list: Cell<bool>,
    done: watch::Sender<ReadTimes>,
}

impl Default for OriginReads {
    fn default() -> OriginReads {
        OriginReads {
            wanted: Notify::new(),
            wants_list: Cell::default(),
            done: watch::Sender::new(ReadTimes::default()),
        }
    }
}

impl OriginReads {
    /// Waits for reads that began at these times or later, and returns whether they were complete in time.
    pub(crate) async fn wait(&self, needed: ReadTimes) -> bool {
        let mut done = self.done.subscribe();
        if done.borrow().reach(needed) {
            return true;
        }
        if done.borrow().list < needed.list {
            self.wants_list.set(true);
        }
        self.wanted.notify_one();
        let reached = done.wait_for(|done| done.reach(needed));
        let reached = tokio::time::timeout(READ_TIMEOUT, reached).await;
        reached.is_ok_and(|done| done.is_ok())
    }
}

/// Versions that other hosts have written to the store, by service, with the time at which they were seen.
#[derive(Debug, Default)]
pub(crate) struct StoredVersions(IndexMap<(String, SoftwareVersion), Time>);

impl StoredVersions {
    fn record(&mut self, service: &str, version: SoftwareVersion, seen_at: Time) {
        let known = self.0.entry((service.to_owned(), version)).or_default();
        *known = seen_at.max(*known);
    }

    /// Iterates over the versions of a service that may have begun streams which go on.
    pub(crate) fn recent(&self, service: &str, now: Time) -> impl Iterator<Item = SoftwareVersion> {
        let of_service = self
            .0
            .iter()
            .filter(move |((s, _), at)| s == service && now.since(**at) < MAX_STREAM_AGE);
        of_service.map(|((_, version), _)| *version)
    }
}

/// Returns the services of which several versions may have begun streams, with these versions.
fn services_with_versions(state: &SharedState, now: Time) -> Vec<(String, Vec<SoftwareVersion>)> {
    let services = state.schedulers.iter();
    let versions = services.map(|(name, s)| (name.clone(), s.pool.recent_versions(now)));
    versions.filter(|(_, v)| v.len() > 1).collect()
}

/// Writes the streams that begin here, while several versions serve, for as long as the daemon runs.
pub(crate) async fn write<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    loop {
        let wakeup = cx.origin_wakeup.notified();
        let _either = tokio::time::timeout(CHECK_INTERVAL, wakeup).await;
        if let Err(e) = write_next(&cx, &*store).await {
            log::info!("event=origins_write_failed reason=\"{e}\"");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn write_next<S>(cx: &Context, store: &S) -> Result<(), StoreError>
where
    S: Store,
{
    let now = clock::now();
    let (expired, versions, next) = {
        let state = cx.state.borrow();
        let versions = services_with_versions(&state, now);
        let next = state.origin_log.next_write(now);
        (state.origin_log.next_expired(now), versions, next)
    };
    if let Some(number) = expired {
        let removed = store.remove_origins(&segment_name(cx, number)).await;
        count(cx, "remove", &removed);
        removed?;
        cx.state.borrow_mut().origin_log.remove(number);
    }
    let Some(segment) = next.filter(|_| !versions.is_empty()) else {
        return Ok(());
    };
    let origins = StoredOrigins {
        name: segment_name(cx, segment.number),
        age: Span::ZERO,
        versions,
        streams: segment.streams.clone(),
    };
    let written = write_segment(store, &segment, &origins).await;
    count(cx, "write", &written);
    written?;
    cx.state.borrow_mut().origin_log.set_written(&segment);
    tokio::time::sleep(WRITE_INTERVAL).await;
    cx.origin_wakeup.notify_one();
    Ok(())
}

async fn write_segment<S>(
    store: &S,
    segment: &SegmentWrite,
    origins: &StoredOrigins,
) -> Result<(), StoreError>
where
    S: Store,
{
    match segment.is_new {
        true => store.create_origins(origins).await,
        false => store.replace_origins(origins).await,
    }
}

fn segment_name(cx: &Context, number: u64) -> String {
    format!("{:016x}-{number}", cx.boot)
}

fn count(cx: &Context, call: &str, result: &Result<(), StoreError>) {
    let result = if result.is_ok() { "answered" } else { "failed" };
    let tags = [("topic", "origins"), ("call", call), ("result", result)];
    cx.metrics.count("store_calls", &tags);
}

/// Reads what requests wait for, for as long as the daemon runs.
pub(crate) async fn read<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    loop {
        cx.origin_reads.wanted.notified().await;
        let began = clock::now();
        let wants_list = cx.origin_reads.wants_list.replace(false);
        let mut done = *cx.origin_reads.done.borrow();
        if wants_list && read_list(&cx, &*store).await.is_ok() {
            done.list = began;
        }
        match read_origins(&cx, &*store).await {
            Ok(()) => done.origins = began,
            Err(e) => log::info!("event=origins_read_failed reason=\"{e}\""),
        }
        cx.origin_reads.done.send_replace(done);
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn read_list<S>(cx: &Context, store: &S) -> Result<(), StoreError>
where
    S: Store,
{
    let role = followers::role(cx);
    store_watch::list_upstreams_anew(cx, store, role).await
}

async fn read_origins<S>(cx: &Context, store: &S) -> Result<(), StoreError>
where
    S: Store,
{
    let listed = store.list_origins().await;
    count(
        cx,
        "list",
        &listed.as_ref().map(|_| ()).map_err(Clone::clone),
    );
    let listed = listed?;
    log::info!("event=origins_read objects={}", listed.len());
    let abandoned = listed.iter().filter(|o| o.age >= ABANDONED_AGE);
    let abandoned: Vec<String> = abandoned.map(|o| o.name.clone()).collect();
    record(&mut cx.state.borrow_mut(), &listed);
    for name in abandoned.iter().take(MAX_REMOVED) {
        count(cx, "remove", &store.remove_origins(name).await);
    }
    Ok(())
}

fn record(state: &mut SharedState, listed: &[StoredOrigins]) {
    let now = clock::now();
    for origins in listed.iter().filter(|o| o.age < MAX_STREAM_AGE) {
        let seen_at = now.saturating_sub(origins.age);
        for (service, versions) in &origins.versions {
            for version in versions {
                state.stored_versions.record(service, *version, seen_at);
            }
        }
        for begun in &origins.streams {
            record_stream(state, *begun, now);
        }
    }
}

fn record_stream(state: &mut SharedState, begun: BegunStream, now: Time) {
    let _was_unknown = state.stream_origins.record(begun, Place::Elsewhere, now);
}
