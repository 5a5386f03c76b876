//! One request's life: let in, counted, placed, sent, answered.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::{Organisation, Repeat, Route};
use stoatjunction_core::entry::health::Outcome;
use stoatjunction_core::entry::limit::Standing;
use stoatjunction_core::entry::parts::Part;
use stoatjunction_core::entry::pool::Need;
use stoatjunction_core::entry::route::{Denied, Routes, split};
use stoatjunction_core::entry::suspects::Break;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};
use tokio::sync::mpsc;

use crate::board::{Context, Placed};
use crate::clock;
use crate::events::Events;
use crate::exchange::{self, Answer, Message, NoAnswer, Target, Terms};
use crate::pump::{Body, BrokenOff};
use crate::refusal::Refusal;

/// Headers that concern one connection only.
const OF_CONNECTION: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// Part of the time left that an advice to come back may take at most.
const MOST_ADVICE: f64 = 1.0 / 3.0;
/// Part of the longest advice that an advice takes at least: a refused caller has missed its aim, and
/// bursts outlast what the queue shows.
const LEAST_PART: f64 = 0.6;
/// Upstreams that one request may find unreachable.
const MOST_UNREACHABLE: u32 = 4;
/// Advice to callers while there is no configuration.
const NOT_READY: Span = Span::from_millis(400);
/// Longest wait of a call that comes back late.
const LATE_WAIT: Span = Span::from_millis(250);
/// Part of the aim for which a call waits once it can no longer be in time.
const MISSED_WAIT: f64 = 0.25;
/// Part of the aim that is planned with; the rest is for the way to the caller and for errors of
/// the forecast.
const PLANNED: f64 = 0.92;
/// Largest plain answer that is held in memory.
const MAX_ANSWER: usize = 8 << 20;

/// A request that was let in.
struct Call {
    message: Message,
    route: Route,
    service: String,
    organisation: Option<u64>,
    units: u64,
    fingerprint: u64,
    until: Time,
    need: Need,
    events: Events,
}

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
        board.limits.give_back(organisation, units);
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

async fn let_in(
    cx: &Rc<Context>,
    routes: &Rc<Routes>,
    req: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Refusal> {
    let (head, body) = req.into_parts();
    let host = head
        .uri
        .authority()
        .map(|a| a.as_str())
        .or_else(|| head.headers.get(HOST).and_then(|h| h.to_str().ok()))
        .unwrap_or_default();
    let key = head.headers.get(&cx.names.key);
    let key = key.map(|k| k.to_str().unwrap_or_default());
    let admitted = routes.admit(host, head.uri.path(), key);
    let (route, organisation) = admitted.map_err(|denied| match denied {
        Denied::NoRoute => Refusal::new(Code::NoRoute),
        Denied::NoKey => Refusal::new(Code::UnknownKey),
    })?;
    let limited = Limited::new(body, routes.cfg().limits.body_bytes);
    let body = limited.collect().await.map_err(|e| {
        let too_long = e.is::<http_body_util::LengthLimitError>();
        Refusal::new(if too_long {
            Code::BodyTooLarge
        } else {
            Code::BodyIncomplete
        })
    })?;
    let body = body.to_bytes();
    let (route, organisation) = (route.clone(), organisation.cloned());
    build_call(cx, &head, body, route, organisation, arrived)
}

fn build_call(
    cx: &Rc<Context>,
    head: &http::request::Parts,
    body: Bytes,
    route: Route,
    organisation: Option<Organisation>,
    arrived: Time,
) -> Result<Call, Refusal> {
    let names = &cx.names;
    let number = |name: &HeaderName| -> Option<u64> {
        head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
    };
    let deadline = number(&names.deadline).map(Span::from_millis);
    let left = deadline.map_or(route.timeout, |d| d.min(route.timeout));
    let service = split(&route, fastrand::f64())
        .ok_or(Refusal::later(Code::NoUpstream, Span::from_millis(1_000)))?;
    let service = service.to_owned();
    let tokens = head.headers.get(&names.tokens).and_then(token_counts);
    let units = units_of(organisation.as_ref(), tokens);
    let organisation_id = organisation
        .as_ref()
        .map(|o| hash::hash_parts(&[o.name.as_bytes()]));
    let holder = organisation.as_ref().map_or("", |o| o.name.as_str());
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = hash::hash_parts(&[path.as_bytes(), holder.as_bytes(), &body]);
    let prompt = head.headers.get(&names.prompt).map(parts_of);
    let spent = {
        let mut board = cx.board.borrow_mut();
        deadline.map_or(Span::ZERO, |d| board.elapsed(&route.name, d))
    };
    let until = arrived + left;
    let need = need_of(&route, organisation.as_ref(), prompt, arrived, spent, until);
    let message = Message {
        method: head.method.clone(),
        uri: path.parse().map_err(|_| Refusal::new(Code::BadHeader))?,
        headers: forwarded(cx, &head.headers, organisation.as_ref()),
        body,
        id: head.headers.get(&names.request_id).cloned(),
    };
    let mut call = Call {
        message,
        service,
        organisation: organisation_id,
        units,
        fingerprint,
        until,
        need,
        events: Events::after(number(&names.last_event)),
        route,
    };
    if admit(cx, &call)? == Standing::Beyond {
        call.need.late = true;
        call.need.wait_until = (arrived + call.need.late_wait).min(until);
    }
    Ok(call)
}

/// Checks the organisation's limit and whether the request is known to break upstreams.
fn admit(cx: &Rc<Context>, call: &Call) -> Result<Standing, Refusal> {
    let now = clock::now();
    let mut board = cx.board.borrow_mut();
    if board.suspects.is_barred(call.fingerprint) {
        return Err(Refusal::later(Code::Barred, Span::from_millis(10_000)));
    }
    let mut standing = Standing::Within;
    if let Some(organisation) = call.organisation {
        let taken = board.limits.take(organisation, call.units, now);
        standing = taken.map_err(|wait| Refusal::later(Code::OverLimit, wait))?;
    }
    board.budget.request(&call.service, now);
    Ok(standing)
}

fn need_of(
    route: &Route,
    organisation: Option<&Organisation>,
    prompt: Option<Vec<Part>>,
    arrived: Time,
    spent: Span,
    until: Time,
) -> Need {
    let idempotent = route.repeat.is_idempotent();
    let rank = (organisation.map_or(0, |o| o.priority), route.priority);
    if !route.repeat.is_stream() {
        return Need {
            rank,
            in_time: until,
            wait_until: until.back(Span(route.aim.0 / 2)),
            idempotent,
            salt: fastrand::u64(..),
            ..Need::default()
        };
    }
    let planned = Span((route.aim.0 as f64 * PLANNED) as u64);
    let late = spent >= planned;
    let in_time = arrived + (planned - spent);
    let wait_until = if late { arrived + LATE_WAIT } else { in_time };
    Need {
        rank,
        prompt: prompt.unwrap_or_default(),
        in_time,
        wait_until: wait_until.min(until),
        late_wait: Span((route.aim.0 as f64 * MISSED_WAIT) as u64),
        late,
        idempotent,
        tried: Vec::new(),
        salt: fastrand::u64(..),
    }
}

fn units_of(organisation: Option<&Organisation>, tokens: Option<(u64, u64)>) -> u64 {
    match organisation {
        Some(o) if o.by_tokens => tokens.map_or(o.plain_tokens, |(i, o)| i + o),
        _ => 1,
    }
}

fn token_counts(value: &HeaderValue) -> Option<(u64, u64)> {
    let (input, output) = value.to_str().ok()?.split_once(',')?;
    Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
}

fn parts_of(value: &HeaderValue) -> Vec<Part> {
    let text = value.to_str().unwrap_or_default();
    let part = |entry: &str| {
        let (id, tokens) = entry.trim().split_once(':')?;
        Some(Part {
            id: hash::hash_parts(&[id.as_bytes()]) as u32,
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').filter_map(part).collect()
}

/// The caller's headers as an upstream may see them.
fn forwarded(
    cx: &Rc<Context>,
    headers: &HeaderMap,
    organisation: Option<&Organisation>,
) -> HeaderMap {
    let names = &cx.names;
    let mut out = headers.clone();
    let listed: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|t| t.trim().parse().ok())
        .collect();
    for name in OF_CONNECTION {
        out.remove(name);
    }
    let own = [
        &names.key,
        &names.organisation,
        &names.expected_upstream,
        &names.deadline,
    ];
    for name in own.into_iter().chain(&listed).chain(&names.reserved) {
        out.remove(name);
    }
    if let Some(o) = organisation
        && let Ok(name) = HeaderValue::from_str(&o.name)
    {
        out.insert(names.organisation.clone(), name);
    }
    out
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
        let Some(target) = target_of(cx, &placed) else {
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
        let terms = Terms {
            repeat: call.route.repeat,
            until: call.until,
            silence: placed.silence(call.route.aim),
            has_another: attempts + 1 < call.route.attempts && placed.has_other(&call.need.tried),
        };
        let result = exchange::send(cx, &call.message, &target, &terms, &placed, &sent).await;
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
            Err(NoAnswer::TooLate) => return error.ok_or_else(|| timed_out(progress)),
            Err(NoAnswer::NotSent) => {
                progress.may_have_run.set(before);
                unreachable += 1;
                if unreachable >= MOST_UNREACHABLE {
                    return error.ok_or_else(|| give_up(progress));
                }
            }
            Err(NoAnswer::NotRun { status }) => {
                progress.may_have_run.set(before);
                attempts += 1;
                let shed = status != StatusCode::MISDIRECTED_REQUEST.as_u16();
                placed.end(if shed {
                    Outcome::Shed
                } else {
                    Outcome::Unreachable
                });
            }
            Err(NoAnswer::Broken) => {
                placed.end(Outcome::Broken);
                note_break(cx, &call);
                attempts += 1;
            }
            Err(NoAnswer::Silent) => attempts += 1,
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
        call.need.late |= now > call.need.in_time;
    }
}

/// True for an upstream's own error on a call that may run once more elsewhere.
fn is_worth_another(call: &Call, res: &Response<Body>, attempts: u32) -> bool {
    let repeats = call.route.repeat == Repeat::Safe;
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
    board.budget.repeat(&call.service, known, clock::now())
}

fn note_break(cx: &Rc<Context>, call: &Call) {
    let b = Break {
        fingerprint: call.fingerprint,
        sending: fastrand::u64(..),
    };
    let mut board = cx.board.borrow_mut();
    board.suspects.broke(b, clock::now());
    board.news.breaks.push((b, BREAK_TELLS));
}

/// Beats in which a break is told.
const BREAK_TELLS: u8 = 3;

fn target_of(cx: &Rc<Context>, placed: &Placed) -> Option<Target> {
    let board = cx.board.borrow();
    let node = board.desks.get(placed.service())?.pool.node(placed.key)?;
    Some(Target {
        id: node.listed.id.clone(),
        addr: node.listed.addr.clone(),
    })
}

/// Logs a placing with what it was decided on.
fn log_placed(cx: &Rc<Context>, call: &Call, placed: &Placed, target: &Target) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let board = cx.board.borrow();
    let Some(desk) = board.desks.get(placed.service()) else {
        return;
    };
    let now = clock::now();
    let running = desk.pool.node(placed.key).map_or(0, |n| n.running(now));
    log::debug!(
        "event=placed request={} upstream={} service={} running={running} free={} late={} left_ms={}",
        call.message.shown_id(),
        target.id,
        placed.service(),
        desk.pool.free(now),
        call.need.late,
        now.until(call.until).as_millis()
    );
}

/// Lets the other hosts know which upstream reads the prompt.
fn tell_parts(cx: &Rc<Context>, call: &Call, placed: &Placed) {
    let Some(part) = call.need.prompt.last() else {
        return;
    };
    let mut board = cx.board.borrow_mut();
    let node = board
        .desks
        .get(placed.service())
        .and_then(|d| d.pool.node(placed.key));
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
    answer: Answer,
    placed: Placed,
    target: &Target,
) -> Result<Response<Body>, ()> {
    let status = answer.head.status;
    if status.is_success() && call.route.repeat.is_stream() {
        placed.first();
        return Ok(begin_stream(cx, call, answer, placed, target));
    }
    let Answer {
        head,
        body,
        connection,
        stated_idle,
    } = answer;
    let collected = Limited::new(body, MAX_ANSWER).collect().await;
    let Ok(collected) = collected else {
        placed.end(Outcome::Broken);
        return Err(());
    };
    placed.first();
    let is_error = status.is_server_error();
    placed.end(if is_error {
        Outcome::Error
    } else {
        Outcome::Good
    });
    cx.keep(&call.service, &target.id, connection, stated_idle);
    log::debug!(
        "event=answered request={} upstream={} status={}",
        call.message.shown_id(),
        target.id,
        status.as_u16()
    );
    if status.is_success() {
        cx.board.borrow_mut().suspects.ended(call.fingerprint);
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
    answer: Answer,
    placed: Placed,
    target: &Target,
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
        until: call.until,
        need: call.need.clone(),
        events: std::mem::take(&mut call.events),
        fingerprint: call.fingerprint,
        tx,
    };
    let target = target.clone();
    tokio::task::spawn_local(stream.run(answer, placed, target));
    res
}

/// A stream on its way to the caller.
struct Stream {
    cx: Rc<Context>,
    message: Message,
    service: String,
    repeat: Repeat,
    attempts: u32,
    aim: Span,
    until: Time,
    need: Need,
    events: Events,
    fingerprint: u64,
    tx: mpsc::Sender<Result<Bytes, BrokenOff>>,
}

/// How one upstream's part of a stream ended.
enum PartEnd {
    Whole,
    Broken,
    CallerGone,
    Late,
}

impl Stream {
    async fn run(mut self, answer: Answer, placed: Placed, target: Target) {
        self.cx.in_progress.set(self.cx.in_progress.get() + 1);
        let whole = self.follow(answer, placed, target).await;
        if !whole {
            let _caller_may_have_left = self.tx.send(Err(BrokenOff)).await;
        }
        self.cx.in_progress.set(self.cx.in_progress.get() - 1);
    }

    /// Passes the stream on, over as many upstreams as it may take; true when it is whole.
    async fn follow(&mut self, mut answer: Answer, mut placed: Placed, mut target: Target) -> bool {
        let mut sent = 1;
        loop {
            let key = placed.key;
            match self.pass(&mut answer).await {
                PartEnd::Whole => {
                    placed.end(Outcome::Good);
                    self.log_end("answered", &target);
                    let idle = answer.stated_idle;
                    let service = &self.service;
                    self.cx.keep(service, &target.id, answer.connection, idle);
                    self.cx.board.borrow_mut().suspects.ended(self.fingerprint);
                    return true;
                }
                PartEnd::CallerGone => {
                    self.log_end("caller_left", &target);
                    return true;
                }
                PartEnd::Late => {
                    self.log_end("late_in_stream", &target);
                    return false;
                }
                PartEnd::Broken => {
                    placed.end(Outcome::Broken);
                    self.log_end("cut_in_stream", &target);
                }
            }
            drop(answer);
            self.need.tried.push(key);
            match self.resume(&mut sent).await {
                Some(next) => (answer, placed, target) = next,
                None => return false,
            }
        }
    }

    fn log_end(&self, event: &str, target: &Target) {
        let level = if event == "answered" {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "event={event} request={} upstream={} last_event={}",
            self.message.shown_id(),
            target.id,
            self.events.last().unwrap_or(0)
        );
    }

    async fn pass(&mut self, answer: &mut Answer) -> PartEnd {
        let limit = tokio::time::sleep_until(clock::instant(self.until));
        tokio::pin!(limit);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return PartEnd::CallerGone,
                frame = answer.body.frame() => frame,
                () = &mut limit => return PartEnd::Late,
            };
            let data = match frame {
                None if self.events.end().is_ok() => return PartEnd::Whole,
                None | Some(Err(_)) => return PartEnd::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Ok(piece) = self.events.take(&data) else {
                return PartEnd::Broken;
            };
            if !piece.is_empty() && self.tx.send(Ok(piece)).await.is_err() {
                return PartEnd::CallerGone;
            }
        }
    }

    /// Lets another upstream go on with the stream.
    async fn resume(&mut self, sent: &mut u32) -> Option<(Answer, Placed, Target)> {
        if self.repeat != Repeat::Resumable {
            return None;
        }
        self.events.restart();
        if let Some(last) = self.events.last() {
            let name = self.cx.names.last_event.clone();
            self.message.headers.insert(name, HeaderValue::from(last));
        }
        let mut unreachable = 0;
        while *sent < self.attempts && unreachable < MOST_UNREACHABLE {
            let now = clock::now();
            self.need.late = true;
            self.need.wait_until = (now + LATE_WAIT).min(self.until);
            let placed = self.place().await?;
            let target = target_of(&self.cx, &placed)?;
            let (_, known) = self.cx.reach();
            let allowed = self
                .cx
                .board
                .borrow_mut()
                .budget
                .repeat(&self.service, known, now);
            if !allowed {
                return None;
            }
            let key = placed.key;
            let left = clock::instant(self.until);
            let terms = Terms {
                repeat: self.repeat,
                until: self.until,
                silence: placed.silence(self.aim),
                has_another: *sent + 1 < self.attempts && placed.has_other(&self.need.tried),
            };
            let exchange =
                exchange::send(&self.cx, &self.message, &target, &terms, &placed, &|| {});
            let result = tokio::select! {
                result = exchange => result,
                () = self.tx.closed() => return None,
                () = tokio::time::sleep_until(left) => return None,
            };
            match result {
                Ok(answer) if answer.head.status.is_success() => {
                    placed.first();
                    self.log_end("resumed", &target);
                    return Some((answer, placed, target));
                }
                Err(NoAnswer::NotSent) => unreachable += 1,
                Err(NoAnswer::TooLate) => return None,
                Ok(_) => {
                    placed.end(Outcome::Error);
                    *sent += 1;
                }
                Err(_) => {
                    placed.end(Outcome::Broken);
                    *sent += 1;
                }
            }
            self.need.tried.push(key);
        }
        None
    }

    async fn place(&self) -> Option<Placed> {
        let wait = self.cx.place(&self.service, self.need.clone());
        tokio::select! {
            placed = wait => placed.ok(),
            () = self.tx.closed() => None,
        }
    }
}
