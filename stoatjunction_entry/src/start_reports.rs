//! Whether upstreams still have the start that the list names. Asked of them while the list is in doubt, for streams that
//! are bound to a version, and after a response that ended with its connection.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use indexmap::IndexMap;
use serde_json::Value;
use stoatjunction_core::entry::pool::Pool;
use stoatjunction_core::entry::start_reports::{ListKnowledge, StartReport, StartReports};
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::read_limit::CountedBody;
use tokio::sync::Mutex;

use crate::attempt::UpstreamTarget;
use crate::clock;
use crate::connection_pool::Connection;
use crate::placement::Placement;
use crate::state::{Context, SharedState};
use crate::upstream_connections;

/// Time within which an upstream must send its report. It needs no slot and answers at once.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after a heartbeat of a host with a newer list for which that counts: this host may fetch it meanwhile, or find
/// out that the lists are the same by now.
const NEWER_LIST_TIME: Span = Span::from_millis(1_000);
/// Maximum size of a report in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Reports of upstreams and the requests for them.
#[derive(Debug, Default)]
pub(crate) struct StartChecks {
    reports: StartReports,
    /// Locks by the number of the upstream, so that requests at the same time cost one report.
    in_progress: IndexMap<u64, Rc<Mutex<()>>>,
    pub(crate) list: ListKnowledge,
    /// Revision of a newer list that another host has, and when it was last heard of.
    newer_list: Option<(u64, Time)>,
}

impl StartChecks {
    /// Creates the checks of a host that has just started.
    pub(crate) fn new(is_first_start: bool) -> StartChecks {
        StartChecks {
            list: ListKnowledge {
                is_first_start,
                is_followed: false,
            },
            ..StartChecks::default()
        }
    }

    /// Drops the reports of an earlier doubt.
    pub(crate) fn forget_reports(&mut self) {
        self.reports = StartReports::default();
    }

    /// Records that another host has a list of this revision, which differs from the one here.
    pub(crate) fn record_newer_list(&mut self, revision: u64, now: Time) {
        self.newer_list = Some((revision, now));
    }

    /// Returns whether another host has a newer list than that of `revision`, which this one has.
    fn knows_of_newer_list(&self, revision: u64, now: Time) -> bool {
        self.newer_list
            .is_some_and(|(newer, at)| newer > revision && now.since(at) < NEWER_LIST_TIME)
    }

    /// Returns the lock of an upstream, and drops those that nobody holds.
    fn lock_of(&mut self, number: u64) -> Rc<Mutex<()>> {
        self.in_progress
            .retain(|_, lock| Rc::strong_count(lock) > 1);
        self.in_progress.entry(number).or_default().clone()
    }
}

impl SharedState {
    /// Returns whether an upstream may have started again, unseen by any host, without the list naming it.
    fn may_list_be_old(&self, now: Time) -> bool {
        let age = now.since(self.started);
        self.list_doubt.is_in_doubt()
            || self
                .start_checks
                .knows_of_newer_list(self.upstream_list.revision(), now)
            || !self.is_list_current(now)
            || self.has_stood_still(now)
            || self.start_checks.list.may_be_old(age)
    }

    /// Returns when a run at the upstream of a placement broke off lately.
    fn broke_lately(&self, placement: &Placement, now: Time) -> Option<Time> {
        let scheduler = self.schedulers.get(placement.service())?;
        scheduler.pool.broke_lately(placement.key, now)
    }

    /// Returns whether a service has, or had lately, upstreams of several versions. Each report is billed and
    /// delays the first event, and an upstream of a service with one version comes back as that one.
    pub(crate) fn has_versions(&self, service: &str, now: Time) -> bool {
        let scheduler = self.schedulers.get(service);
        scheduler.is_some_and(|s| s.pool.recent_versions(now).len() > 1)
    }
}

/// Finds out whether the upstream of a placement still has the start that the list names. Costs nothing unless the service
/// has several versions, and the list is in doubt or a run at the upstream broke off lately.
pub(crate) async fn check(
    cx: &Rc<Context>,
    placement: &Placement,
    target: &UpstreamTarget,
) -> StartReport {
    let asked_at = clock::now();
    let number = placement.number();
    let lock = {
        let mut state = cx.state.borrow_mut();
        let broke_at = state.broke_lately(placement, asked_at);
        let may_have_restarted = broke_at.is_some() || state.may_list_be_old(asked_at);
        if !may_have_restarted || !state.has_versions(placement.service(), asked_at) {
            return StartReport::Listed;
        }
        let checks = &mut state.start_checks;
        if let Some(broke_at) = broke_at {
            checks.reports.forget_before(number, broke_at);
        }
        if let Some(report) = checks.reports.get(number, asked_at, asked_at) {
            return report;
        }
        checks.lock_of(number)
    };
    let _guard = lock.lock().await;
    let requested_at = clock::now();
    let report = {
        let state = cx.state.borrow();
        state
            .start_checks
            .reports
            .get(number, asked_at, requested_at)
    };
    if let Some(report) = report {
        return report;
    }
    let report = request_report(cx, placement, target).await;
    let mut state = cx.state.borrow_mut();
    let reports = &mut state.start_checks.reports;
    reports.record(number, report, requested_at);
    if report == StartReport::Listed
        && let Some(scheduler) = state.schedulers.get_mut(placement.service())
    {
        scheduler
            .pool
            .record_start_confirmed(placement.key, requested_at);
    }
    report
}

/// Returns whether the upstream of a placement still runs after a response whose end is that of its connection. Only then
/// is the response whole: the connections of a process that ends are closed as well.
pub(crate) async fn still_runs(
    cx: &Rc<Context>,
    placement: &Placement,
    target: &UpstreamTarget,
) -> bool {
    let is_same = |born| Pool::is_number_of(placement.number(), &target.id, born);
    let still_runs = match upstream_connections::open(cx, target).await {
        Err(_) => false,
        Ok(connection) => {
            let read = read_born_on(cx, connection, target);
            match tokio::time::timeout(REPORT_TIMEOUT, read).await {
                // An upstream that reports no start runs all the same.
                Ok(read) => read.is_ok_and(|born| born.is_none_or(is_same)),
                // So does one that takes connections and is late.
                Err(_) => true,
            }
        }
    };
    let result = if still_runs { "runs" } else { "ended" };
    let tags = [("service", placement.service()), ("result", result)];
    cx.metrics.count("end_checks", &tags);
    if !still_runs {
        log::info!("event=upstream_ended_with_response upstream={}", target.id);
    }
    still_runs
}

async fn request_report(
    cx: &Rc<Context>,
    placement: &Placement,
    target: &UpstreamTarget,
) -> StartReport {
    let read = read_in_time(cx, target).await;
    let report = match &read {
        Ok(Some(born)) if Pool::is_number_of(placement.number(), &target.id, *born) => {
            StartReport::Listed
        }
        Ok(_) => StartReport::Other,
        Err(_) => StartReport::Missing,
    };
    let tags = [("service", placement.service()), ("result", report.label())];
    cx.metrics.count("start_reports", &tags);
    match read {
        Ok(born) => log::info!(
            "event=start_report upstream={} result={} born={}",
            target.id,
            report.label(),
            born.unwrap_or(0)
        ),
        Err(e) => log::info!(
            "event=start_report upstream={} result={} reason=\"{e}\"",
            target.id,
            report.label()
        ),
    }
    report
}

/// Reads the start as [`read_born`] does, within the time for a report.
async fn read_in_time(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<Option<u64>> {
    let read = tokio::time::timeout(REPORT_TIMEOUT, read_born(cx, target)).await;
    read.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads the start that an upstream reports over a new connection; `None` if it reports none.
async fn read_born(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<Option<u64>> {
    let connection = upstream_connections::open(cx, target).await?;
    read_born_on(cx, connection, target).await
}

async fn read_born_on(
    cx: &Context,
    mut connection: Connection,
    target: &UpstreamTarget,
) -> io::Result<Option<u64>> {
    let req = Request::get(&cx.names.report_path)
        .header(HOST, &target.addr)
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let res = connection.sender.send_request(req).await;
    let res = res.map_err(io::Error::other)?;
    if res.status() != StatusCode::OK {
        return Ok(None);
    }
    let body = CountedBody::new(res.into_body(), &connection.counter);
    let body = Limited::new(body, MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(io::Error::other)?.to_bytes();
    // A report that is not JSON names no start, like one without the field.
    let report: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(report.get(&cx.names.report_born).and_then(Value::as_u64))
}
