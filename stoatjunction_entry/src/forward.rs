//! Forwarding of requests: admission, placement, attempts at upstreams and the response.

use std::cell::Cell;
use std::rc::Rc;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::start_reports::StartReport;
use stoatjunction_core::time::{Span, Time};

use crate::admission::{
    AdmittedRequest, BARRED_RETRY_AFTER, HOP_BY_HOP_HEADERS, MAX_LATE_WAIT, admit_request,
    key_state,
};
use crate::attempt::{
    self, AttemptError, AttemptOptions, BodyEnd, UpstreamResponse, UpstreamTarget,
};
use crate::body::Body;
use crate::buffered::{self, CollectError};
use crate::caller_body::CallerBody;
use crate::clock;
use crate::crash::Break;
use crate::metrics::{CountedRequest, RequestLabels};
use crate::placement::Placement;
use crate::refusal::Refusal;
use crate::start_reports;
use crate::state::{Context, InProgress};
use crate::stopping;
use crate::stream::{MAX_UNREACHABLE, StreamForwarder};
use crate::stream_buffer;
use crate::stream_origins;

/// Largest retry-after as a fraction of the request's remaining time.
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;
/// Smallest retry-after, before jitter, as a fraction of the largest: a refused caller has missed
/// its target latency, and bursts last longer than the queue shows.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.6;
/// Retry-after while there is no configuration.
pub(crate) const NOT_READY_RETRY_AFTER: Span = Span::from_millis(400);

/// Progress of a request's attempts.
#[derive(Default)]
struct Progress {
    /// True once a byte may have been sent to an upstream that has not denied running the request.
    may_have_run: Cell<bool>,
    sent: Cell<bool>,
}

/// Handles a request and always returns a response; a refusal is logged.
pub(crate) async fn handle(cx: Rc<Context>, req: Request<CallerBody>) -> Response<Body> {
    let id = req.headers().get(&cx.names.request_id).cloned();
    let key = key_state(req.headers().get(&cx.names.key));
    let arrived = clock::now();
    let mut counted = CountedRequest::new(&cx.metrics);
    match respond(&cx, req, arrived, &mut counted.labels).await {
        Ok(res) => {
            let taken = clock::now().since(arrived);
            cx.metrics
                .record_duration("head", counted.labels.kind, taken);
            match res.body().is_stream() {
                true => counted.leave_to_stream(),
                false => counted.count("answered", res.status().as_str()),
            }
            res
        }
        Err(refusal) => {
            counted.count("refused", &refusal.code.number().to_string());
            let shown_id = id.as_ref().and_then(|i| i.to_str().ok());
            let (version, version_age) = configuration_in_force(&cx);
            let key = match refusal.code {
                Code::UnknownKey => key,
                _ => "",
            };
            log::info!(
                "event=refused request={} code={} reason={} after_ms={} version={version} version_age_ms={}{}",
                shown_id.unwrap_or("-"),
                refusal.code,
                refusal.code.slug(),
                clock::now().since(arrived).as_millis(),
                version_age.as_millis(),
                key
            );
            refusal.response(&cx.names, id.as_ref())
        }
    }
}

/// Returns the version of the configuration, 0 for none, and how long it has been in force here.
fn configuration_in_force(cx: &Context) -> (u64, Span) {
    let state = cx.state.borrow();
    let version = state.routes.as_ref().map_or(0, |r| r.cfg().version);
    (version, clock::now().since(state.configured_at))
}

async fn respond(
    cx: &Rc<Context>,
    req: Request<CallerBody>,
    arrived: Time,
    labels: &mut RequestLabels,
) -> Result<Response<Body>, Refusal> {
    let routes = cx.state.borrow().routes.clone();
    let Some(routes) = routes else {
        return Err(Refusal::with_retry_after(
            Code::NotReady,
            NOT_READY_RETRY_AFTER,
        ));
    };
    let admitted = tokio::select! {
        admitted = admit_request(cx, &routes, req, arrived) => admitted?,
        () = cx.stopping.aborts() => return Err(stopping::refusal()),
    };
    *labels = admitted.labels.clone();
    let progress = Progress::default();
    let timeout = tokio::time::sleep_until(clock::instant(admitted.deadline));
    let (organisation, units, deadline) =
        (admitted.organisation, admitted.units, admitted.deadline);
    let result = tokio::select! {
        result = forward(cx, admitted, &progress) => result,
        () = timeout => Err(too_late(&progress)),
        () = cx.stopping.aborts() => Err(stopped(&progress)),
    };
    if result.is_err()
        && !progress.sent.get()
        && let Some(organisation) = organisation
    {
        let mut state = cx.state.borrow_mut();
        state.rate_limiter.refund(organisation, units);
    }
    result.map_err(|refusal| bound_retry_after(refusal, deadline))
}

fn too_late(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::Late);
    }
    Refusal::with_retry_after(Code::NotBegun, Span::from_millis(1_000))
}

fn stopped(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::Stopped);
    }
    stopping::refusal()
}

/// Bounds the retry-after by the caller's remaining time and adds jitter.
fn bound_retry_after(refusal: Refusal, deadline: Time) -> Refusal {
    let Some(retry_after) = refusal.retry_after else {
        return refusal;
    };
    let (base, largest) = retry_after_bounds(retry_after, clock::now().until(deadline));
    let jittered = Span::from_secs_f64(base.as_secs_f64() * (1.0 + fastrand::f64()));
    Refusal::with_retry_after(refusal.code, jittered.min(largest))
}

/// Returns the retry-after before jitter, which at most doubles it, and the largest one, for a caller that has this time
/// left.
pub(crate) fn retry_after_bounds(retry_after: Span, left: Span) -> (Span, Span) {
    let left = left.as_secs_f64();
    let smallest = left * MAX_RETRY_AFTER_FRACTION * MIN_RETRY_AFTER_FRACTION;
    let base = Span::from_secs_f64(retry_after.as_secs_f64().max(smallest));
    (base, Span::from_secs_f64(left * MAX_RETRY_AFTER_FRACTION))
}

/// Sends the request to upstreams until one has answered or no retry is allowed.
async fn forward(
    cx: &Rc<Context>,
    mut admitted: AdmittedRequest,
    progress: &Progress,
) -> Result<Response<Body>, Refusal> {
    let mut unreachable = 0;
    let mut unconfirmed = 0;
    // An upstream's error response, returned when no other upstream gives a better one.
    let mut error: Option<Response<Body>> = None;
    loop {
        let queued_at = clock::now();
        let placed = cx.place(&admitted.service, admitted.placement_request.clone());
        let placed = tokio::select! {
            placed = placed => placed,
            () = cx.stopping.ends_sending(admitted.deadline), if !progress.sent.get() => {
                return Err(stopping::refusal());
            }
        };
        let waited = clock::now().since(queued_at);
        cx.metrics
            .record_duration("queue", admitted.labels.kind, waited);
        let placement = match placed {
            Ok(placement) => placement,
            Err(_) if unconfirmed > 0 => return error.ok_or_else(|| version_gone(progress)),
            Err(retry_after) => return error.ok_or_else(|| overloaded(progress, retry_after)),
        };
        let Some(target) = placement.target() else {
            continue;
        };
        if admitted.attempts > 0 && !may_retry(cx, &admitted) {
            return error.ok_or_else(|| no_response(progress));
        }
        let may_have_run_before = progress.may_have_run.get();
        let before_send = || {
            progress.sent.set(true);
            progress.may_have_run.set(true);
        };
        report_prompt_part(cx, &admitted, &placement);
        log_placement(cx, &admitted, &placement, &target);
        let options = AttemptOptions {
            kind: admitted.route.repeat,
            deadline: admitted.deadline,
            response_timeout: placement.response_timeout(admitted.route.aim),
            silence_limit: admitted.route.aim,
            may_retry: admitted.attempts + 1 < admitted.route.attempts
                && placement.has_alternative(&admitted.placement_request),
            is_bound: admitted.placement_request.version.is_some(),
        };
        let result = attempt::send(
            cx,
            &admitted.request,
            &target,
            &options,
            &placement,
            &before_send,
        )
        .await;
        let key = placement.key;
        match result {
            Ok(response) => {
                admitted.attempts += 1;
                match finish(cx, &mut admitted, response, placement, &target).await {
                    Ok(res) if is_retryable_error(&admitted, &res) => error = Some(res),
                    Ok(res) => return Ok(res),
                    Err(()) => {}
                }
            }
            Err(AttemptError::DeadlineExceeded) => return error.ok_or_else(|| too_late(progress)),
            Err(AttemptError::Barred) => return error.ok_or_else(|| barred(progress)),
            // The placement leaves the upstream out from now on.
            Err(AttemptError::Withdrawn) => continue,
            Err(AttemptError::Unconfirmed(report)) => {
                unconfirmed += 1;
                unreachable += u32::from(report == StartReport::Missing);
                if unreachable >= MAX_UNREACHABLE {
                    return error.ok_or_else(|| version_gone(progress));
                }
                admitted.placement_request.tried.push(key);
                continue;
            }
            Err(AttemptError::NotSent) => {
                progress.may_have_run.set(may_have_run_before);
                unreachable += 1;
                if unreachable >= MAX_UNREACHABLE {
                    return error.ok_or_else(|| no_response(progress));
                }
            }
            Err(AttemptError::NotRun { status }) => {
                progress.may_have_run.set(may_have_run_before);
                admitted.attempts += 1;
                let shed = status != StatusCode::MISDIRECTED_REQUEST.as_u16();
                placement.end(if shed {
                    RunOutcome::Shed
                } else {
                    RunOutcome::Unreachable
                });
            }
            Err(AttemptError::Broken(how)) => {
                placement.end_broken(how).await;
                admitted.attempts += 1;
            }
            Err(AttemptError::TimedOut) => admitted.attempts += 1,
        }
        if progress.may_have_run.get() && !admitted.route.repeat.is_idempotent() {
            return Err(Refusal::new(Code::UpstreamBroken));
        }
        if admitted.attempts >= admitted.route.attempts {
            return error.ok_or_else(|| no_response(progress));
        }
        admitted.placement_request.tried.push(key);
        let now = clock::now();
        admitted.placement_request.wait_until = admitted
            .placement_request
            .wait_until
            .max(now + MAX_LATE_WAIT)
            .min(admitted.deadline);
        admitted.placement_request.late |= now > admitted.placement_request.due_at;
    }
}

/// Returns whether the response is an upstream error to a request that may run again on another
/// upstream.
fn is_retryable_error(admitted: &AdmittedRequest, res: &Response<Body>) -> bool {
    let is_safe = admitted.route.repeat == RouteKind::Safe;
    is_safe && res.status().is_server_error() && admitted.attempts < admitted.route.attempts
}

fn overloaded(progress: &Progress, retry_after: Span) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::with_retry_after(Code::Overloaded, retry_after)
}

fn no_response(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::with_retry_after(Code::Declined, Span::from_millis(200))
}

fn version_gone(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    stream_origins::version_gone()
}

fn barred(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::with_retry_after(Code::Barred, BARRED_RETRY_AFTER)
}

fn may_retry(cx: &Rc<Context>, admitted: &AdmittedRequest) -> bool {
    if admitted.attempts >= admitted.route.attempts {
        return false;
    }
    let (_, known_hosts) = cx.reachable_hosts();
    cx.try_retry(&admitted.service, known_hosts)
}

/// Logs a placement with the load on which it was decided.
fn log_placement(
    cx: &Rc<Context>,
    admitted: &AdmittedRequest,
    placement: &Placement,
    target: &UpstreamTarget,
) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let state = cx.state.borrow();
    let Some(scheduler) = state.schedulers.get(placement.service()) else {
        return;
    };
    let now = clock::now();
    let running = scheduler
        .pool
        .upstream(placement.key)
        .map_or(0, |u| u.running(now));
    log::debug!(
        "event=placed request={} upstream={} version={} service={} running={running} free={} late={} left_ms={}",
        admitted.request.id_for_log(),
        target.id,
        target.version_name,
        placement.service(),
        scheduler.pool.free_slots(now),
        admitted.placement_request.late,
        now.until(admitted.deadline).as_millis()
    );
}

/// Reports to the other hosts which upstream will have the prompt in its cache.
fn report_prompt_part(cx: &Rc<Context>, admitted: &AdmittedRequest, placement: &Placement) {
    let Some(part) = admitted.placement_request.prompt.last() else {
        return;
    };
    let mut state = cx.state.borrow_mut();
    let upstream = state
        .schedulers
        .get(placement.service())
        .and_then(|s| s.pool.upstream(placement.key));
    let Some(number) = upstream.map(|u| u.number) else {
        return;
    };
    state.pending_updates.prompt_parts.push((part.id, number));
}

/// Turns an upstream's response into the caller's. An error means that the upstream aborted the
/// response before any of it was forwarded.
async fn finish(
    cx: &Rc<Context>,
    admitted: &mut AdmittedRequest,
    response: UpstreamResponse,
    placement: Placement,
    target: &UpstreamTarget,
) -> Result<Response<Body>, ()> {
    let status = response.head.status;
    if status.is_success() && admitted.route.repeat.is_stream() {
        placement.record_first_event();
        return Ok(start_stream(cx, admitted, response, placement, target));
    }
    let UpstreamResponse {
        head,
        body,
        body_end,
        connection,
        idle_timeout,
    } = response;
    let collected = buffered::collect(&cx.memory, body);
    let silence_limit = placement.response_timeout(admitted.route.aim);
    let collected = placement.watch_silence(silence_limit, collected).await;
    let collected = match collected {
        Ok(collected) => collected,
        Err(e) => {
            log::info!(
                "event=broken request={} upstream={} reason=\"{e}\"",
                admitted.request.id_for_log(),
                target.id
            );
            // The upstream is not at fault if this host could not read on.
            if !matches!(e, CollectError::NoMemory) {
                placement.end_broken(Break::InResponse).await;
            }
            return Err(());
        }
    };
    if body_end == BodyEnd::Connection && !start_reports::still_runs(cx, &placement, target).await {
        placement.end_unconfirmed().await;
        return Err(());
    }
    placement.record_first_event();
    let is_error = status.is_server_error();
    placement.end(if is_error {
        RunOutcome::Error
    } else {
        RunOutcome::Success
    });
    cx.keep_connection(&admitted.service, &target.id, connection, idle_timeout);
    log::debug!(
        "event=answered request={} upstream={} status={} ended_by={}",
        admitted.request.id_for_log(),
        target.id,
        status.as_u16(),
        body_end.label()
    );
    if status.is_success() {
        cx.clear_crashes(&admitted.request);
    }
    if implies_not_run(status) && !admitted.route.repeat.is_idempotent() {
        return Ok(
            Refusal::new(Code::UpstreamError).response(&cx.names, admitted.request.id.as_ref())
        );
    }
    let mut res = Response::new(Body::Full(collected));
    *res.status_mut() = status;
    *res.headers_mut() = response_headers(&head.headers);
    Ok(res)
}

/// Returns whether callers conclude from a status that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        out.remove(name);
    }
    out
}

fn start_stream(
    cx: &Rc<Context>,
    admitted: &mut AdmittedRequest,
    response: UpstreamResponse,
    placement: Placement,
    target: &UpstreamTarget,
) -> Response<Body> {
    let (tx, body) = stream_buffer::stream(&cx.memory, admitted.caller.clone());
    let mut res = Response::new(body);
    *res.status_mut() = response.head.status;
    *res.headers_mut() = response_headers(&response.head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res.headers_mut().remove(TRANSFER_ENCODING);
    let stream = StreamForwarder {
        cx: cx.clone(),
        request: admitted.request.clone(),
        service: admitted.service.clone(),
        kind: admitted.route.repeat,
        attempts: admitted.attempts,
        max_attempts: admitted.route.attempts,
        target_latency: admitted.route.aim,
        target_gap: admitted.route.pause,
        deadline: admitted.deadline,
        placement_request: admitted.placement_request.clone(),
        labels: admitted.labels.clone(),
        begun_at: clock::now(),
        event_filter: std::mem::take(&mut admitted.event_filter),
        tx,
        has_stalled: false,
        _in_progress: InProgress::new(cx),
    };
    let target = target.clone();
    tokio::task::spawn_local(stream.run(response, placement, target));
    res
}
