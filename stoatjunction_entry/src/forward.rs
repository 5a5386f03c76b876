//! One request's life: let in, counted, placed, sent, answered.

use std::cell::Cell;
use std::rc::Rc;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::suspects::Crash;
use stoatjunction_core::time::{Span, Time};

use crate::admission::{AdmittedRequest, HOP_BY_HOP_HEADERS, MAX_LATE_WAIT, admit_request};
use crate::attempt::{self, AttemptError, AttemptOptions, UpstreamResponse, UpstreamTarget};
use crate::board::{Context, InProgress};
use crate::body::Body;
use crate::clock;
use crate::placement::Placement;
use crate::refusal::Refusal;
use crate::stream::{MAX_UNREACHABLE, StreamForwarder};

/// Part of the time left that an advice to come back may take at most.
const MOST_ADVICE: f64 = 1.0 / 3.0;
/// Part of the longest advice that an advice takes at least: a refused caller has missed its aim, and
/// bursts outlast what the queue shows.
const LEAST_PART: f64 = 0.6;
/// Advice to callers while there is no configuration.
const NOT_READY: Span = Span::from_millis(400);
/// Largest plain answer that is held in memory.
const MAX_ANSWER: usize = 8 << 20;

/// What happened to a call so far.
#[derive(Default)]
struct Progress {
    /// True once a byte may have gone to an upstream which has not denied that it ran the request.
    may_have_run: Cell<bool>,
    sent: Cell<bool>,
}

/// Answers a request.
pub(crate) async fn handle(cx: Rc<Context>, req: Request<Incoming>) -> Response<Body> {
    let id = req.headers().get(&cx.names.request_id).cloned();
    let arrived = clock::now();
    match answer(&cx, req, arrived).await {
        Ok(res) => res,
        Err(refusal) => {
            let shown = id.as_ref().and_then(|i| i.to_str().ok());
            log::info!(
                "event=refused request={} code={} reason={} after_ms={}",
                shown.unwrap_or("-"),
                refusal.code,
                refusal.code.slug(),
                clock::now().since(arrived).as_millis()
            );
            refusal.response(&cx.names, id.as_ref())
        }
    }
}

async fn answer(
    cx: &Rc<Context>,
    req: Request<Incoming>,
    arrived: Time,
) -> Result<Response<Body>, Refusal> {
    let routes = cx.board.borrow().routes.clone();
    let Some(routes) = routes else {
        return Err(Refusal::with_retry_after(Code::NotReady, NOT_READY));
    };
    let admitted = admit_request(cx, &routes, req, arrived).await?;
    let progress = Progress::default();
    let limit = tokio::time::sleep_until(clock::instant(admitted.deadline));
    let (organisation, units, until) = (admitted.organisation, admitted.units, admitted.deadline);
    let result = tokio::select! {
        result = serve(cx, admitted, &progress) => result,
        () = limit => Err(timed_out(&progress)),
    };
    if result.is_err()
        && !progress.sent.get()
        && let Some(organisation) = organisation
    {
        let mut board = cx.board.borrow_mut();
        board.limits.refund(organisation, units);
    }
    result.map_err(|refusal| advise(refusal, until))
}

fn timed_out(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::Late);
    }
    Refusal::with_retry_after(Code::NotBegun, Span::from_millis(1_000))
}

/// Bounds the advice to come back by what the caller has time for.
fn advise(refusal: Refusal, until: Time) -> Refusal {
    let Some(retry_after) = refusal.retry_after else {
        return refusal;
    };
    let left = clock::now().until(until).as_secs_f64();
    let most = Span::from_secs_f64(left * MOST_ADVICE);
    let least = left * MOST_ADVICE * LEAST_PART;
    let base = retry_after.as_secs_f64().max(least);
    let spread = Span::from_secs_f64(base * (1.0 + fastrand::f64()));
    Refusal::with_retry_after(refusal.code, spread.min(most))
}

/// Brings the call to upstreams until one has answered or nothing more may be tried.
async fn serve(
    cx: &Rc<Context>,
    mut admitted: AdmittedRequest,
    progress: &Progress,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = 0;
    let mut unreachable = 0;
    // An upstream's own error, to be passed on when no other upstream does better.
    let mut error: Option<Response<Body>> = None;
    loop {
        let placement = match cx
            .place(&admitted.service, admitted.placement_request.clone())
            .await
        {
            Ok(placement) => placement,
            Err(retry_after) => return error.ok_or_else(|| refuse_unplaced(progress, retry_after)),
        };
        let Some(target) = placement.target() else {
            continue;
        };
        if attempts > 0 && !may_repeat(cx, &admitted, attempts) {
            return error.ok_or_else(|| give_up(progress));
        }
        let before = progress.may_have_run.get();
        let sent = || {
            progress.sent.set(true);
            progress.may_have_run.set(true);
        };
        tell_parts(cx, &admitted, &placement);
        log_placed(cx, &admitted, &placement, &target);
        let options = AttemptOptions {
            kind: admitted.route.repeat,
            deadline: admitted.deadline,
            response_timeout: placement.response_timeout(admitted.route.aim),
            may_retry: attempts + 1 < admitted.route.attempts
                && placement.has_alternative(&admitted.placement_request.tried),
        };
        let result =
            attempt::send(cx, &admitted.request, &target, &options, &placement, &sent).await;
        let key = placement.key;
        match result {
            Ok(answer) => match finish(cx, &mut admitted, answer, placement, &target).await {
                Ok(res) if is_worth_another(&admitted, &res, attempts) => {
                    attempts += 1;
                    error = Some(res);
                }
                Ok(res) => return Ok(res),
                Err(()) => {
                    note_break(cx, &admitted);
                    attempts += 1;
                }
            },
            Err(AttemptError::DeadlineExceeded) => return error.ok_or_else(|| timed_out(progress)),
            Err(AttemptError::NotSent) => {
                progress.may_have_run.set(before);
                unreachable += 1;
                if unreachable >= MAX_UNREACHABLE {
                    return error.ok_or_else(|| give_up(progress));
                }
            }
            Err(AttemptError::NotRun { status }) => {
                progress.may_have_run.set(before);
                attempts += 1;
                let shed = status != StatusCode::MISDIRECTED_REQUEST.as_u16();
                placement.end(if shed {
                    RunOutcome::Shed
                } else {
                    RunOutcome::Unreachable
                });
            }
            Err(AttemptError::Broken) => {
                placement.end(RunOutcome::Broken);
                note_break(cx, &admitted);
                attempts += 1;
            }
            Err(AttemptError::TimedOut) => attempts += 1,
        }
        if progress.may_have_run.get() && !admitted.route.repeat.is_idempotent() {
            return Err(Refusal::new(Code::UpstreamBroken));
        }
        if attempts >= admitted.route.attempts {
            return error.ok_or_else(|| give_up(progress));
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

/// True for an upstream's own error on a call that may run once more elsewhere.
fn is_worth_another(admitted: &AdmittedRequest, res: &Response<Body>, attempts: u32) -> bool {
    let repeats = admitted.route.repeat == RouteKind::Safe;
    repeats && res.status().is_server_error() && attempts + 1 < admitted.route.attempts
}

fn refuse_unplaced(progress: &Progress, retry_after: Span) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::with_retry_after(Code::Overloaded, retry_after)
}

fn give_up(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::with_retry_after(Code::Declined, Span::from_millis(200))
}

fn may_repeat(cx: &Rc<Context>, admitted: &AdmittedRequest, attempts: u32) -> bool {
    if attempts >= admitted.route.attempts {
        return false;
    }
    let (_, known) = cx.reach();
    let mut board = cx.board.borrow_mut();
    if board.suspects.is_barred(admitted.fingerprint) {
        return false;
    }
    board
        .budget
        .try_retry(&admitted.service, known, clock::now())
}

fn note_break(cx: &Rc<Context>, admitted: &AdmittedRequest) {
    let b = Crash {
        fingerprint: admitted.fingerprint,
        attempt: fastrand::u64(..),
    };
    let mut board = cx.board.borrow_mut();
    board.suspects.record_crash(b, clock::now());
    board.news.breaks.push((b, BREAK_TELLS));
}

/// Beats in which a break is told.
const BREAK_TELLS: u8 = 3;

/// Logs a placing with what it was decided on.
fn log_placed(
    cx: &Rc<Context>,
    admitted: &AdmittedRequest,
    placement: &Placement,
    target: &UpstreamTarget,
) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let board = cx.board.borrow();
    let Some(desk) = board.desks.get(placement.service()) else {
        return;
    };
    let now = clock::now();
    let running = desk
        .pool
        .upstream(placement.key)
        .map_or(0, |n| n.running(now));
    log::debug!(
        "event=placed request={} upstream={} service={} running={running} free={} late={} left_ms={}",
        admitted.request.id_for_log(),
        target.id,
        placement.service(),
        desk.pool.free_slots(now),
        admitted.placement_request.late,
        now.until(admitted.deadline).as_millis()
    );
}

/// Lets the other hosts know which upstream reads the prompt.
fn tell_parts(cx: &Rc<Context>, admitted: &AdmittedRequest, placement: &Placement) {
    let Some(part) = admitted.placement_request.prompt.last() else {
        return;
    };
    let mut board = cx.board.borrow_mut();
    let node = board
        .desks
        .get(placement.service())
        .and_then(|d| d.pool.upstream(placement.key));
    let Some(number) = node.map(|n| n.number) else {
        return;
    };
    board.news.parts.push((part.id, number));
}

/// Brings an answer to the caller. An error means that the upstream broke off before anything was
/// passed on.
async fn finish(
    cx: &Rc<Context>,
    admitted: &mut AdmittedRequest,
    answer: UpstreamResponse,
    placement: Placement,
    target: &UpstreamTarget,
) -> Result<Response<Body>, ()> {
    let status = answer.head.status;
    if status.is_success() && admitted.route.repeat.is_stream() {
        placement.record_first_event();
        return Ok(begin_stream(cx, admitted, answer, placement, target));
    }
    let UpstreamResponse {
        head,
        body,
        connection,
        idle_timeout,
    } = answer;
    let collected = Limited::new(body, MAX_ANSWER).collect().await;
    let Ok(collected) = collected else {
        placement.end(RunOutcome::Broken);
        return Err(());
    };
    placement.record_first_event();
    let is_error = status.is_server_error();
    placement.end(if is_error {
        RunOutcome::Error
    } else {
        RunOutcome::Success
    });
    cx.keep(&admitted.service, &target.id, connection, idle_timeout);
    log::debug!(
        "event=answered request={} upstream={} status={}",
        admitted.request.id_for_log(),
        target.id,
        status.as_u16()
    );
    if status.is_success() {
        cx.board.borrow_mut().suspects.clear(admitted.fingerprint);
    }
    if promises_not_run(status) && !admitted.route.repeat.is_idempotent() {
        return Ok(
            Refusal::new(Code::UpstreamError).response(&cx.names, admitted.request.id.as_ref())
        );
    }
    let mut res = Response::new(Body::whole(collected.to_bytes()));
    *res.status_mut() = status;
    *res.headers_mut() = returned(&head.headers);
    Ok(res)
}

/// True for statuses by which callers conclude that a request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut out = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        out.remove(name);
    }
    out
}

fn begin_stream(
    cx: &Rc<Context>,
    admitted: &mut AdmittedRequest,
    answer: UpstreamResponse,
    placement: Placement,
    target: &UpstreamTarget,
) -> Response<Body> {
    let (tx, body) = Body::stream();
    let mut res = Response::new(body);
    *res.status_mut() = answer.head.status;
    *res.headers_mut() = returned(&answer.head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res.headers_mut().remove(TRANSFER_ENCODING);
    let stream = StreamForwarder {
        cx: cx.clone(),
        request: admitted.request.clone(),
        service: admitted.service.clone(),
        kind: admitted.route.repeat,
        max_attempts: admitted.route.attempts,
        target_latency: admitted.route.aim,
        target_gap: admitted.route.pause,
        deadline: admitted.deadline,
        placement_request: admitted.placement_request.clone(),
        event_filter: std::mem::take(&mut admitted.event_filter),
        fingerprint: admitted.fingerprint,
        tx,
        _in_progress: InProgress::new(cx),
    };
    let target = target.clone();
    tokio::task::spawn_local(stream.run(answer, placement, target));
    res
}
