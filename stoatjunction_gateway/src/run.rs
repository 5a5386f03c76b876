//! Running a granted request on its upstream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use stoatjunction_core::life::RequestLifecycle;
use stoatjunction_core::shard::FinishReport;
use stoatjunction_net::bundle::{Protocol, Upstream};
use stoatjunction_net::http::{connect, full};
use stoatjunction_net::prelude::*;

use crate::answer::{AnswerAssembler, ChunkParser};
use crate::caller_request::{CallerRequest, KEY_HEADER};
use crate::context::Context;
use crate::dispatcher_client::TicketEvent;
use crate::grant_search::{Grant, TicketEvents};
use crate::reply::Reply;

/// Longest wait for a connection to an upstream.
const CONNECT: Duration = Duration::from_millis(1_000);
/// Attempts to resume one stream.
const RESUMES: u32 = 6;
/// Pause before a cut or refused connection is tried again; it doubles each time.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to resume.
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest silence before a stream is resumed once more.
const MAX_STALL: Duration = Duration::from_secs(8);
/// Header by which an upstream says that it did not start the request.
const NOT_STARTED: &str = "x-not-started";
/// Header by which an upstream says that it is leaving.
const LEAVING: &str = "x-leaving";
/// Header with the milliseconds since the upstream's start.
const UPTIME: &str = "x-uptime-ms";
/// Content type of chunked answers.
const CHUNKED: &str = "application/x-ndjson";
/// Content type of answers put together from chunks.
const TEXT: &str = "text/plain; charset=utf-8";
/// Time that a run which cannot be cancelled gets beyond its deadline to become known.
const OVERTIME: Duration = Duration::from_secs(30);

/// How a run ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The answer was whole; its content type and, where it is kept, the whole body.
    Whole {
        content_type: String,
        body: Option<Bytes>,
    },
    /// The upstream did not start the request: it may be placed again.
    NotStarted { leaving: bool },
    /// The deadline passed right before the dispatch.
    TooLate,
    /// The upstream answered with an error.
    Error(u16),
    /// The answer broke off; the upstream is believed to have crashed when the flag is set.
    Broken { crashed: bool },
    /// The deadline passed in the midst of the run.
    Late,
    /// The run was cancelled for a higher tier.
    Revoked,
    /// The caller is gone.
    CallerGone,
}

/// One run of a request on an upstream.
pub(crate) struct Run<'a> {
    pub(crate) cx: &'a Context,
    pub(crate) request: &'a CallerRequest,
    pub(crate) grant: &'a Grant,
    pub(crate) upstream: &'a Upstream,
    pub(crate) keep_body: usize,
    assembly: AnswerAssembler,
    kept: Vec<u8>,
    passed: u64,
    content_type: String,
    dispatched: Time,
    first_token: Option<Time>,
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        cx: &'a Context,
        request: &'a CallerRequest,
        grant: &'a Grant,
        upstream: &'a Upstream,
        keep_body: usize,
    ) -> Run<'a> {
        Run {
            cx,
            request,
            grant,
            upstream,
            keep_body,
            assembly: AnswerAssembler::new(&request.id),
            kept: Vec::new(),
            passed: 0,
            content_type: TEXT.to_owned(),
            dispatched: Time::default(),
            first_token: None,
        }
    }

    /// Dispatches the request and brings its answer to the caller.
    pub(crate) async fn go(
        &mut self,
        life: &mut RequestLifecycle,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> RunEnd {
        let left = Duration::from(self.cx.clock.now().until(self.request.deadline));
        let Ok(mut sender) = connect(&self.upstream.addr, CONNECT.min(left)).await else {
            return RunEnd::NotStarted { leaving: false };
        };
        let Some(req) = self.run_request() else {
            return RunEnd::TooLate;
        };
        if life.dispatch(self.cx.clock.now()).is_err() {
            return RunEnd::TooLate;
        }
        self.dispatched = self.cx.clock.now();
        let grant = self.grant;
        self.cx
            .dispatchers
            .record_dispatched(grant.ticket, &grant.upstream, grant.alone);
        let end = self
            .run(sender.send_request(req), life, events, reply)
            .await;
        if matches!(end, RunEnd::Late | RunEnd::Revoked | RunEnd::CallerGone) {
            self.cancel();
        }
        end
    }

    /// What the dispatcher has to know of the run.
    pub(crate) fn report(&self, end: &RunEnd) -> FinishReport {
        let now = self.cx.clock.now();
        FinishReport {
            whole: matches!(end, RunEnd::Whole { .. }),
            broken: matches!(end, RunEnd::Broken { .. }),
            not_started: matches!(end, RunEnd::NotStarted { .. }),
            leaving: *end == RunEnd::NotStarted { leaving: true },
            output_tokens: self.assembly.tokens(),
            first_token: self.first_token.unwrap_or(now).since(self.dispatched),
            total: now.since(self.dispatched),
        }
    }

    /// Time from dispatch to the first piece of the answer, once there is one.
    pub(crate) fn first_token_delay(&self) -> Option<Span> {
        self.first_token.map(|at| at.since(self.dispatched))
    }

    fn run_request(&self) -> Option<hyper::Request<stoatjunction_net::http::Body>> {
        let mut req = hyper::Request::post("/v1/run")
            .header("host", &self.upstream.addr)
            .header("x-request-id", &self.request.id)
            .header("x-kind", &self.request.kind_name);
        if let Some(key) = &self.request.key {
            req = req.header(KEY_HEADER, key);
        }
        req.body(full(self.request.body.clone())).ok()
    }

    /// Follows the answer over as many connections as it takes.
    async fn run<F>(
        &mut self,
        first: F,
        life: &mut RequestLifecycle,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> RunEnd
    where
        F: Future<Output = Result<Response<Incoming>, hyper::Error>>,
    {
        let mut stall = self.cx.cfg.stall_timeout;
        let opened = self.guard(first, stall, events, reply).await;
        let mut step = match opened {
            Guarded::Done(Ok(res)) => self.take_response(res, life, stall, events, reply).await,
            Guarded::Done(Err(_)) => Step::Cut,
            Guarded::Stalled => Step::Stalled,
            Guarded::Ended(end) => Step::End(end),
        };
        let mut resumes = 0;
        let mut pause = RESUME_PAUSE;
        loop {
            match step {
                Step::End(end) => return end,
                Step::Cut | Step::Stalled if self.upstream.protocol == Protocol::Plain => {
                    // A plain service has no resume; a silent one may still be at work.
                    return RunEnd::Broken { crashed: false };
                }
                Step::Cut | Step::Stalled => {}
            }
            if matches!(step, Step::Stalled) {
                stall = (stall * 2).min(MAX_STALL);
            }
            if resumes >= RESUMES {
                return RunEnd::Broken { crashed: false };
            }
            resumes += 1;
            if matches!(step, Step::Cut) {
                if let Guarded::Ended(end) = self.rest(pause, events, reply).await {
                    return end;
                }
                pause = (pause * 2).min(MAX_RESUME_PAUSE);
            }
            let before = self.assembly.offset();
            step = self.resume(life, stall, events, reply).await;
            if self.assembly.offset() > before {
                resumes = 0;
                pause = RESUME_PAUSE;
                stall = self.cx.cfg.stall_timeout;
            }
        }
    }

    /// Waits before the next attempt to resume.
    async fn rest(
        &self,
        pause: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Guarded<()> {
        self.guard(tokio::time::sleep(pause), pause * 2, events, reply)
            .await
    }

    async fn resume(
        &mut self,
        life: &mut RequestLifecycle,
        stall: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Step {
        self.cx
            .timeline
            .record("resume", &[("request", &self.request.id)]);
        let mut refused = 0;
        let mut sender = loop {
            match self
                .guard(
                    connect(&self.upstream.addr, CONNECT),
                    CONNECT,
                    events,
                    reply,
                )
                .await
            {
                Guarded::Done(Ok(sender)) => break sender,
                Guarded::Done(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    refused += 1;
                    if refused > 1 {
                        return Step::End(RunEnd::Broken { crashed: true });
                    }
                    tokio::time::sleep(RESUME_PAUSE).await;
                }
                Guarded::Done(Err(_)) | Guarded::Stalled => return Step::Cut,
                Guarded::Ended(end) => return Step::End(end),
            }
        };
        let (id, off) = (&self.request.id, self.assembly.offset());
        let req = hyper::Request::get(format!("/v1/resume?id={id}&off={off}"))
            .header("host", &self.upstream.addr)
            .body(full(""));
        let Ok(req) = req else { return Step::Cut };
        match self
            .guard(sender.send_request(req), stall, events, reply)
            .await
        {
            Guarded::Done(Ok(res)) if res.status() == StatusCode::NOT_FOUND => {
                let crashed = self.restarted_since(&res);
                Step::End(RunEnd::Broken { crashed })
            }
            Guarded::Done(Ok(res)) => self.take_response(res, life, stall, events, reply).await,
            Guarded::Done(Err(_)) => Step::Cut,
            Guarded::Stalled => Step::Stalled,
            Guarded::Ended(end) => Step::End(end),
        }
    }

    fn restarted_since(&self, res: &Response<Incoming>) -> bool {
        let uptime = res
            .headers()
            .get(UPTIME)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let running = self.cx.clock.now().since(self.dispatched);
        uptime.is_some_and(|ms| Span::from_millis(ms) < running)
    }

    async fn take_response(
        &mut self,
        res: Response<Incoming>,
        life: &mut RequestLifecycle,
        stall: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Step {
        if res.headers().contains_key(NOT_STARTED) && life.record_not_started().is_ok() {
            let leaving = res.headers().contains_key(LEAVING);
            return Step::End(RunEnd::NotStarted { leaving });
        }
        if !res.status().is_success() {
            return Step::End(RunEnd::Error(res.status().as_u16()));
        }
        life.record_answer_started();
        let content_type = res
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let chunked = content_type == Some(CHUNKED);
        if !chunked {
            self.content_type = content_type
                .unwrap_or("application/octet-stream")
                .to_owned();
        }
        let mut body = res.into_body();
        let mut lines = ChunkParser::default();
        loop {
            let frame = match self.guard(body.frame(), stall, events, reply).await {
                Guarded::Done(Some(Ok(frame))) => frame,
                Guarded::Done(Some(Err(_))) => return Step::Cut,
                Guarded::Done(None) if chunked => return Step::Cut,
                Guarded::Done(None) => return Step::End(self.whole(reply)),
                Guarded::Stalled => return Step::Stalled,
                Guarded::Ended(end) => return Step::End(end),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let pieces = if chunked {
                lines
                    .parse(&data)
                    .into_iter()
                    .flat_map(|c| self.assembly.add(c))
                    .collect()
            } else {
                vec![data]
            };
            for piece in pieces {
                if let Some(end) = self.pass_on(piece, reply).await {
                    return Step::End(end);
                }
            }
            if chunked && self.assembly.is_complete() {
                return Step::End(self.whole(reply));
            }
        }
    }

    async fn pass_on(&mut self, piece: Bytes, reply: &mut Reply) -> Option<RunEnd> {
        self.first_token.get_or_insert(self.cx.clock.now());
        self.passed += piece.len() as u64;
        if self.kept.len() + piece.len() <= self.keep_body {
            self.kept.extend_from_slice(&piece);
        }
        let sent =
            tokio::time::timeout(self.time_left(), reply.send_data(&self.content_type, piece));
        match sent.await {
            Ok(true) => None,
            Ok(false) if self.request.kind.cancellable => Some(RunEnd::CallerGone),
            Ok(false) => None,
            Err(_) => Some(RunEnd::Late),
        }
    }

    fn whole(&mut self, reply: &mut Reply) -> RunEnd {
        reply.finish(&self.content_type);
        let kept = std::mem::take(&mut self.kept);
        let all = self.keep_body > 0 && kept.len() as u64 == self.passed;
        RunEnd::Whole {
            content_type: self.content_type.clone(),
            body: all.then(|| Bytes::from(kept)),
        }
    }

    fn time_left(&self) -> Duration {
        let left = Duration::from(self.cx.clock.now().until(self.request.deadline));
        if self.request.kind.cancellable {
            left
        } else {
            left + OVERTIME
        }
    }

    /// Waits for `step`, but not past the stall time, the deadline, a revocation, or the caller.
    async fn guard<F>(
        &self,
        step: F,
        stall: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Guarded<F::Output>
    where
        F: Future,
    {
        tokio::pin!(step);
        let until = tokio::time::Instant::now() + self.time_left();
        let quiet = tokio::time::sleep(stall);
        tokio::pin!(quiet);
        let cancellable = self.request.kind.cancellable;
        loop {
            tokio::select! {
                done = &mut step => return Guarded::Done(done),
                () = &mut quiet, if self.upstream.protocol == Protocol::Engine => {
                    return Guarded::Stalled;
                }
                () = tokio::time::sleep_until(until) => return Guarded::Ended(RunEnd::Late),
                () = reply.caller_gone(), if cancellable => return Guarded::Ended(RunEnd::CallerGone),
                turn = events.rx.recv() => {
                    let revoked = Some(TicketEvent::Revoked { ticket: self.grant.ticket });
                    if turn == revoked && cancellable {
                        return Guarded::Ended(RunEnd::Revoked);
                    }
                }
            }
        }
    }

    /// Tells the upstream to stop the run, where the kind allows it.
    fn cancel(&self) {
        if !self.request.kind.cancellable {
            return;
        }
        let addr = self.upstream.addr.clone();
        let path = format!("/v1/cancel?id={}", self.request.id);
        tokio::spawn(async move {
            let req = hyper::Request::post(path)
                .header("host", &addr)
                .body(full(""));
            if let Ok(req) = req {
                let _ = stoatjunction_net::http::call(&addr, req, CONNECT).await;
            }
        });
    }
}

enum Step {
    End(RunEnd),
    Cut,
    Stalled,
}

enum Guarded<T> {
    Done(T),
    Stalled,
    Ended(RunEnd),
}
