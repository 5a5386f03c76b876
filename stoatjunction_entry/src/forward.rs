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

use crate::admission::{Call, LATE_WAIT, OF_CONNECTION, let_in};
use crate::attempt::{self, AttemptError, AttemptOptions, UpstreamResponse, UpstreamTarget};
use crate::board::{Context, InProgress};
use crate::body::Body;
use crate::clock;
use crate::placement::Placement;
use crate::refusal::Refusal;
use crate::stream::{MOST_UNREACHABLE, Stream};

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
        return Err(Refusal::later(Code::NotReady, NOT_READY));
    };
    let call = let_in(cx, &routes, req, arrived).await?;
    let progress = Progress::default();
    let limit = tokio::time::sleep_until(clock::instant(call.until));
    let (organisation, units, until) = (call.organisation, call.units, call.until);
    let result = tokio::select! {
        result = serve(cx, call, &progress) => result,
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
    Refusal::later(Code::NotBegun, Span::from_millis(1_000))
}

/// Bounds the advice to come back by what the caller has time for.
fn advise(refusal: Refusal, until: Time) -> Refusal {
    let Some(retry) = refusal.retry else {
        return refusal;
    };
    let left = clock::now().until(until).as_secs_f64();
    let most = Span::from_secs_f64(left * MOST_ADVICE);
    let least = left * MOST_ADVICE * LEAST_PART;
    let base = retry.as_secs_f64().max(least);
    let spread = Span::from_secs_f64(base * (1.0 + fastrand::f64()));
    Refusal::later(refusal.code, spread.min(most))
}

/// Brings the call to upstreams until one has answered or nothing more may be tried.
async fn serve(
    cx: &Rc<Context>,
    mut call: Call,
    progress: &Progress,
) -> Result<Response<Body>, Refusal> {
    let mut attempts = 0;
    let mut unreachable = 0;
    // An upstream's own error, to be passed on when no other upstream does better.
    let mut error: Option<Response<Body>> = None;
    loop {
        let placed = match cx.place(&call.service, call.need.clone()).await {
            Ok(placed) => placed,
            Err(retry) => return error.ok_or_else(|| refuse_unplaced(progress, retry)),
        };
        let Some(target) = placed.target() else {
            continue;
        };
        if attempts > 0 && !may_repeat(cx, &call, attempts) {
            return error.ok_or_else(|| give_up(progress));
        }
        let before = progress.may_have_run.get();
        let sent = || {
            progress.sent.set(true);
            progress.may_have_run.set(true);
        };
        tell_parts(cx, &call, &placed);
        log_placed(cx, &call, &placed, &target);
        let options = AttemptOptions {
            kind: call.route.repeat,
            deadline: call.until,
            response_timeout: placed.response_timeout(call.route.aim),
            may_retry: attempts + 1 < call.route.attempts
                && placed.has_alternative(&call.need.tried),
        };
        let result = attempt::send(cx, &call.message, &target, &options, &placed, &sent).await;
        let key = placed.key;
        match result {
            Ok(answer) => match finish(cx, &mut call, answer, placed, &target).await {
                Ok(res) if is_worth_another(&call, &res, attempts) => {
                    attempts += 1;
                    error = Some(res);
                }
                Ok(res) => return Ok(res),
                Err(()) => {
                    note_break(cx, &call);
                    attempts += 1;
                }
            },
            Err(AttemptError::DeadlineExceeded) => return error.ok_or_else(|| timed_out(progress)),
            Err(AttemptError::NotSent) => {
                progress.may_have_run.set(before);
                unreachable += 1;
                if unreachable >= MOST_UNREACHABLE {
                    return error.ok_or_else(|| give_up(progress));
                }
            }
            Err(AttemptError::NotRun { status }) => {
                progress.may_have_run.set(before);
                attempts += 1;
                let shed = status != StatusCode::MISDIRECTED_REQUEST.as_u16();
                placed.end(if shed {
                    RunOutcome::Shed
                } else {
                    RunOutcome::Unreachable
                });
            }
            Err(AttemptError::Broken) => {
                placed.end(RunOutcome::Broken);
                note_break(cx, &call);
                attempts += 1;
            }
            Err(AttemptError::TimedOut) => attempts += 1,
        }
        if progress.may_have_run.get() && !call.route.repeat.is_idempotent() {
            return Err(Refusal::new(Code::UpstreamBroken));
        }
        if attempts >= call.route.attempts {
            return error.ok_or_else(|| give_up(progress));
        }
        call.need.tried.push(key);
        let now = clock::now();
        call.need.wait_until = call.need.wait_until.max(now + LATE_WAIT).min(call.until);
        call.need.late |= now > call.need.due_at;
    }
}

/// True for an upstream's own error on a call that may run once more elsewhere.
fn is_worth_another(call: &Call, res: &Response<Body>, attempts: u32) -> bool {
    let repeats = call.route.repeat == RouteKind::Safe;
    repeats && res.status().is_server_error() && attempts + 1 < call.route.attempts
}

fn refuse_unplaced(progress: &Progress, retry: Span) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::later(Code::Overloaded, retry)
}

fn give_up(progress: &Progress) -> Refusal {
    if progress.may_have_run.get() {
        return Refusal::new(Code::UpstreamBroken);
    }
    Refusal::later(Code::Declined, Span::from_millis(200))
}

fn may_repeat(cx: &Rc<Context>, call: &Call, attempts: u32) -> bool {
    if attempts >= call.route.attempts {
        return false;
    }
    let (_, known) = cx.reach();
    let mut board = cx.board.borrow_mut();
    if board.suspects.is_barred(call.fingerprint) {
        return false;
    }
    board.budget.try_retry(&call.service, known, clock::now())
}

fn note_break(cx: &Rc<Context>, call: &Call) {
    let b = Crash {
        fingerprint: call.fingerprint,
        attempt: fastrand::u64(..),
    };
    let mut board = cx.board.borrow_mut();
    board.suspects.record_crash(b, clock::now());
    board.news.breaks.push((b, BREAK_TELLS));
}

/// Beats in which a break is told.
const BREAK_TELLS: u8 = 3;

/// Logs a placing with what it was decided on.
fn log_placed(cx: &Rc<Context>, call: &Call, placed: &Placement, target: &UpstreamTarget) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let board = cx.board.borrow();
    let Some(desk) = board.desks.get(placed.service()) else {
        return;
    };
    let now = clock::now();
    let running = desk.pool.upstream(placed.key).map_or(0, |n| n.running(now));
    log::debug!(
        "event=placed request={} upstream={} service={} running={running} free={} late={} left_ms={}",
        call.message.id_for_log(),
        target.id,
        placed.service(),
        desk.pool.free_slots(now),
        call.need.late,
        now.until(call.until).as_millis()
    );
}

/// Lets the other hosts know which upstream reads the prompt.
fn tell_parts(cx: &Rc<Context>, call: &Call, placed: &Placement) {
    let Some(part) = call.need.prompt.last() else {
        return;
    };
    let mut board = cx.board.borrow_mut();
    let node = board
        .desks
        .get(placed.service())
        .and_then(|d| d.pool.upstream(placed.key));
    let Some(number) = node.map(|n| n.number) else {
        return;
    };
    board.news.parts.push((part.id, number));
}

/// Brings an answer to the caller. An error means that the upstream broke off before anything was
/// passed on.
async fn finish(
    cx: &Rc<Context>,
    call: &mut Call,
    answer: UpstreamResponse,
    placed: Placement,
    target: &UpstreamTarget,
) -> Result<Response<Body>, ()> {
    let status = answer.head.status;
    if status.is_success() && call.route.repeat.is_stream() {
        placed.record_first_event();
        return Ok(begin_stream(cx, call, answer, placed, target));
    }
    let UpstreamResponse {
        head,
        body,
        connection,
        idle_timeout,
    } = answer;
    let collected = Limited::new(body, MAX_ANSWER).collect().await;
    let Ok(collected) = collected else {
        placed.end(RunOutcome::Broken);
        return Err(());
    };
    placed.record_first_event();
    let is_error = status.is_server_error();
    placed.end(if is_error {
        RunOutcome::Error
    } else {
        RunOutcome::Success
    });
    cx.keep(&call.service, &target.id, connection, idle_timeout);
    log::debug!(
        "event=answered request={} upstream={} status={}",
        call.message.id_for_log(),
        target.id,
        status.as_u16()
    );
    if status.is_success() {
        cx.board.borrow_mut().suspects.clear(call.fingerprint);
    }
    if promises_not_run(status) && !call.route.repeat.is_idempotent() {
        return Ok(Refusal::new(Code::UpstreamError).response(&cx.names, call.message.id.as_ref()));
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
    for name in OF_CONNECTION {
        out.remove(name);
    }
    out
}

fn begin_stream(
    cx: &Rc<Context>,
    call: &mut Call,
    answer: UpstreamResponse,
    placed: Placement,
    target: &UpstreamTarget,
) -> Response<Body> {
    let (tx, body) = Body::stream();
    let mut res = Response::new(body);
    *res.status_mut() = answer.head.status;
    *res.headers_mut() = returned(&answer.head.headers);
    res.headers_mut().remove(CONTENT_LENGTH);
    res.headers_mut().remove(TRANSFER_ENCODING);
    let stream = Stream {
        cx: cx.clone(),
        message: call.message.clone(),
        service: call.service.clone(),
        repeat: call.route.repeat,
        attempts: call.route.attempts,
        aim: call.route.aim,
        pause: call.route.pause,
        until: call.until,
        need: call.need.clone(),
        events: std::mem::take(&mut call.events),
        fingerprint: call.fingerprint,
        tx,
        _in_progress: InProgress::new(cx),
    };
    let target = target.clone();
    tokio::task::spawn_local(stream.run(answer, placed, target));
    res
}
