//! Run of a granted request on its upstream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use stoatjunction_core::life::RequestLifecycle;
use stoatjunction_core::shard::FinishReport;
use stoatjunction_net::bundle::{Protocol, Upstream};
use stoatjunction_net::http::{call, connect, ends_with_connection, full};
use stoatjunction_net::prelude::*;

use crate::answer::{AnswerAssembler, ChunkParser};
use crate::caller_request::{CallerRequest, KEY_HEADER};
use crate::context::Context;
use crate::dispatcher_client::TicketEvent;
use crate::grant_search::{Grant, TicketEvents};
use crate::reply::Reply;

/// Maximum wait for a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of attempts to resume a stream without new data.
const MAX_RESUMES: u32 = 6;
/// Initial delay before a broken or refused connection is opened again. It doubles with every
/// attempt to resume.
const RESUME_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to resume.
const MAX_RESUME_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum time without data before a stream is resumed again; the stall timeout doubles up to it.
const MAX_STALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Path at which an upstream reports its load.
const LOAD_PATH: &str = "/v1/load";
/// Time within which an upstream reports its load, which takes no slot.
const LOAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Header with which an upstream reports that it did not start the request.
const NOT_STARTED_HEADER: &str = "x-not-started";
/// Header with which an upstream reports that it is leaving.
const LEAVING_HEADER: &str = "x-leaving";
/// Header with the upstream's uptime in milliseconds.
const UPTIME_HEADER: &str = "x-uptime-ms";
/// Content type of chunked responses.
const CHUNKED_CONTENT_TYPE: &str = "application/x-ndjson";
/// Content type of answers that are assembled from chunks.
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
/// Time after the deadline for which the outcome of a run that cannot be cancelled is awaited.
const UNCANCELLABLE_GRACE: Duration = Duration::from_secs(30);

/// End of a run.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// The answer was complete; its content type and, if it is kept, its body.
    Complete {
        content_type: String,
        body: Option<Bytes>,
    },
    /// The upstream did not start the request, so it may be placed again.
    NotStarted { leaving: bool },
    /// The deadline passed before the dispatch.
    Expired,
    /// The upstream responded with this error status.
    ErrorStatus(u16),
    /// The response was interrupted. `crashed` is set when the upstream seems to have crashed.
    Broken { crashed: bool },
    /// The deadline passed during the run.
    Late,
    /// The run was cancelled for a higher tier.
    Revoked,
    /// The caller disconnected.
    CallerGone,
}

/// One run of a request on an upstream.
pub(crate) struct Run<'a> {
    pub(crate) cx: &'a Context,
    pub(crate) request: &'a CallerRequest,
    pub(crate) grant: &'a Grant,
    pub(crate) upstream: &'a Upstream,
    pub(crate) max_kept_bytes: usize,
    assembler: AnswerAssembler,
    kept_body: Vec<u8>,
    forwarded_bytes: u64,
    content_type: String,
    dispatched_at: Time,
    first_token: Option<Time>,
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        cx: &'a Context,
        request: &'a CallerRequest,
        grant: &'a Grant,
        upstream: &'a Upstream,
        max_kept_bytes: usize,
    ) -> Run<'a> {
        Run {
            cx,
            request,
            grant,
            upstream,
            max_kept_bytes,
            assembler: AnswerAssembler::new(&request.id),
            kept_body: Vec::new(),
            forwarded_bytes: 0,
            content_type: TEXT_CONTENT_TYPE.to_owned(),
            dispatched_at: Time::default(),
            first_token: None,
        }
    }

    /// Dispatches the request and forwards its answer to the caller.
    pub(crate) async fn execute(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> RunEnd {
        let time_left = Duration::from(self.cx.clock.now().until(self.request.deadline));
        let Ok(mut sender) = connect(&self.upstream.addr, CONNECT_TIMEOUT.min(time_left)).await
        else {
            return RunEnd::NotStarted { leaving: false };
        };
        let Some(req) = self.build_request() else {
            return RunEnd::Expired;
        };
        if lifecycle.dispatch(self.cx.clock.now()).is_err() {
            return RunEnd::Expired;
        }
        self.dispatched_at = self.cx.clock.now();
        let grant = self.grant;
        self.cx
            .dispatchers
            .record_dispatched(grant.ticket, &grant.upstream, grant.alone);
        let end = self
            .follow_response(sender.send_request(req), lifecycle, events, reply)
            .await;
        if matches!(end, RunEnd::Late | RunEnd::Revoked | RunEnd::CallerGone) {
            self.cancel();
        }
        end
    }

    /// Returns the report of the run for the dispatcher.
    pub(crate) fn finish_report(&self, end: &RunEnd) -> FinishReport {
        let now = self.cx.clock.now();
        FinishReport {
            whole: matches!(end, RunEnd::Complete { .. }),
            broken: matches!(end, RunEnd::Broken { .. }),
            not_started: matches!(end, RunEnd::NotStarted { .. }),
            leaving: *end == RunEnd::NotStarted { leaving: true },
            output_tokens: self.assembler.tokens(),
            first_token: self.first_token.unwrap_or(now).since(self.dispatched_at),
            total: now.since(self.dispatched_at),
        }
    }

    /// Returns the time from the dispatch to the first data of the answer, if there is any.
    pub(crate) fn first_token_delay(&self) -> Option<Span> {
        self.first_token.map(|at| at.since(self.dispatched_at))
    }

    fn build_request(&self) -> Option<hyper::Request<stoatjunction_net::http::Body>> {
        let mut req = hyper::Request::post("/v1/run")
            .header("host", &self.upstream.addr)
            .header("x-request-id", &self.request.id)
            .header("x-kind", &self.request.kind_name);
        if let Some(key) = &self.request.key {
            req = req.header(KEY_HEADER, key);
        }
        req.body(full(self.request.body.clone())).ok()
    }

    /// Reads the response, and resumes it on a new connection when one breaks or stalls.
    async fn follow_response<F>(
        &mut self,
        first_response: F,
        lifecycle: &mut RequestLifecycle,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> RunEnd
    where
        F: Future<Output = Result<Response<Incoming>, hyper::Error>>,
    {
        let mut timeout = self.cx.cfg.stall_timeout;
        let opened = self
            .wait_unless_ended(first_response, timeout, events, reply)
            .await;
        let mut stream_end = match opened {
            Wait::Done(Ok(res))
                if states_not_started(&res) && lifecycle.record_not_started().is_ok() =>
            {
                let leaving = res.headers().contains_key(LEAVING_HEADER);
                StreamEnd::RunEnded(RunEnd::NotStarted { leaving })
            }
            Wait::Done(Ok(res)) => self.receive(res, lifecycle, timeout, events, reply).await,
            Wait::Done(Err(_)) => StreamEnd::Cut,
            Wait::Stalled => StreamEnd::Stalled,
            Wait::Ended(end) => StreamEnd::RunEnded(end),
        };
        let mut resumes = 0;
        let mut delay = RESUME_DELAY;
        loop {
            match stream_end {
                StreamEnd::RunEnded(end) => return end,
                StreamEnd::Cut | StreamEnd::Stalled
                    if self.upstream.protocol == Protocol::Plain =>
                {
                    // A plain service cannot resume a stream. One that stalls may still run the
                    // request.
                    return RunEnd::Broken { crashed: false };
                }
                StreamEnd::Cut | StreamEnd::Stalled => {}
            }
            if matches!(stream_end, StreamEnd::Stalled) {
                timeout = (timeout * 2).min(MAX_STALL_TIMEOUT);
            }
            if resumes >= MAX_RESUMES {
                return RunEnd::Broken { crashed: false };
            }
            resumes += 1;
            if matches!(stream_end, StreamEnd::Cut) {
                if let Wait::Ended(end) = self.wait_before_resume(delay, events, reply).await {
                    return end;
                }
                delay = (delay * 2).min(MAX_RESUME_DELAY);
            }
            let offset_before = self.assembler.offset();
            stream_end = self.resume(lifecycle, timeout, events, reply).await;
            if self.assembler.offset() > offset_before {
                resumes = 0;
                delay = RESUME_DELAY;
                timeout = self.cx.cfg.stall_timeout;
            }
        }
    }

    /// Waits before the next attempt to resume, unless the run ends meanwhile.
    async fn wait_before_resume(
        &self,
        delay: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Wait<()> {
        self.wait_unless_ended(tokio::time::sleep(delay), delay * 2, events, reply)
            .await
    }

    async fn resume(
        &mut self,
        lifecycle: &mut RequestLifecycle,
        timeout: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> StreamEnd {
        self.cx
            .timeline
            .record("resume", &[("request", &self.request.id)]);
        let mut refused_attempts = 0;
        let mut sender = loop {
            match self
                .wait_unless_ended(
                    connect(&self.upstream.addr, CONNECT_TIMEOUT),
                    CONNECT_TIMEOUT,
                    events,
                    reply,
                )
                .await
            {
                Wait::Done(Ok(sender)) => break sender,
                Wait::Done(Err(e)) if e.kind() == std::io::ErrorKind::ConnectionRefused => {
                    refused_attempts += 1;
                    if refused_attempts > 1 {
                        return StreamEnd::RunEnded(RunEnd::Broken { crashed: true });
                    }
                    tokio::time::sleep(RESUME_DELAY).await;
                }
                Wait::Done(Err(_)) | Wait::Stalled => return StreamEnd::Cut,
                Wait::Ended(end) => return StreamEnd::RunEnded(end),
            }
        };
        let (id, off) = (&self.request.id, self.assembler.offset());
        let req = hyper::Request::get(format!("/v1/resume?id={id}&off={off}"))
            .header("host", &self.upstream.addr)
            .body(full(""));
        let Ok(req) = req else { return StreamEnd::Cut };
        match self
            .wait_unless_ended(sender.send_request(req), timeout, events, reply)
            .await
        {
            Wait::Done(Ok(res)) if res.status() == StatusCode::NOT_FOUND => {
                let crashed = self.restarted_since_dispatch(&res);
                StreamEnd::RunEnded(RunEnd::Broken { crashed })
            }
            Wait::Done(Ok(res)) => self.receive(res, lifecycle, timeout, events, reply).await,
            Wait::Done(Err(_)) => StreamEnd::Cut,
            Wait::Stalled => StreamEnd::Stalled,
            Wait::Ended(end) => StreamEnd::RunEnded(end),
        }
    }

    /// Returns true when the upstream reports an uptime shorter than the run.
    fn restarted_since_dispatch(&self, res: &Response<Incoming>) -> bool {
        let uptime = res
            .headers()
            .get(UPTIME_HEADER)
            .and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        let since_dispatch = self.cx.clock.now().since(self.dispatched_at);
        uptime.is_some_and(|ms| Span::from_millis(ms) < since_dispatch)
    }

    async fn receive(
        &mut self,
        res: Response<Incoming>,
        lifecycle: &mut RequestLifecycle,
        timeout: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> StreamEnd {
        if !res.status().is_success() {
            return StreamEnd::RunEnded(RunEnd::ErrorStatus(res.status().as_u16()));
        }
        if res.headers().contains_key(NOT_STARTED_HEADER) {
            // A success that was not started contradicts itself.
            return StreamEnd::RunEnded(RunEnd::Broken { crashed: false });
        }
        let content_type = res
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|v| v.to_str().ok());
        let chunked = content_type == Some(CHUNKED_CONTENT_TYPE);
        if self.upstream.protocol == Protocol::Engine
            && !(chunked && res.status() == StatusCode::OK)
        {
            // Engines answer in chunks, which say where they belong. Anything else is no part of an answer.
            return StreamEnd::Cut;
        }
        lifecycle.record_answer_started();
        if !chunked {
            self.content_type = content_type
                .unwrap_or("application/octet-stream")
                .to_owned();
        }
        let is_unframed = ends_with_connection(&res);
        let mut body = res.into_body();
        let mut parser = ChunkParser::default();
        loop {
            let frame = match self
                .wait_unless_ended(body.frame(), timeout, events, reply)
                .await
            {
                Wait::Done(Some(Ok(frame))) => frame,
                Wait::Done(Some(Err(_))) => return StreamEnd::Cut,
                Wait::Done(None) if chunked => return StreamEnd::Cut,
                Wait::Done(None) if is_unframed && !self.upstream_runs().await => {
                    return StreamEnd::RunEnded(RunEnd::Broken { crashed: true });
                }
                Wait::Done(None) => return StreamEnd::RunEnded(self.complete(reply)),
                Wait::Stalled => return StreamEnd::Stalled,
                Wait::Ended(end) => return StreamEnd::RunEnded(end),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let parts = if chunked {
                let Ok(chunks) = parser.parse(&data) else {
                    return StreamEnd::Cut;
                };
                chunks
                    .into_iter()
                    .flat_map(|c| self.assembler.add(c))
                    .collect()
            } else {
                vec![data]
            };
            for data in parts {
                if let Some(end) = self.forward(data, reply).await {
                    return StreamEnd::RunEnded(end);
                }
            }
            if chunked && self.assembler.is_complete() {
                return StreamEnd::RunEnded(self.complete(reply));
            }
        }
    }

    /// Returns whether the upstream still runs after an answer that ended with its connection: that of a process that ends
    /// is closed as well. An upstream that takes connections and is late runs.
    async fn upstream_runs(&self) -> bool {
        let addr = &self.upstream.addr;
        let req = hyper::Request::get(LOAD_PATH)
            .header("host", addr)
            .body(full(""));
        let Ok(req) = req else { return false };
        match call(addr, req, LOAD_TIMEOUT).await {
            Ok(_) => true,
            Err(e) => e.kind() == std::io::ErrorKind::TimedOut,
        }
    }

    async fn forward(&mut self, data: Bytes, reply: &mut Reply) -> Option<RunEnd> {
        self.first_token.get_or_insert(self.cx.clock.now());
        self.forwarded_bytes += data.len() as u64;
        if self.kept_body.len() + data.len() <= self.max_kept_bytes {
            self.kept_body.extend_from_slice(&data);
        }
        let sent =
            tokio::time::timeout(self.time_left(), reply.send_data(&self.content_type, data));
        match sent.await {
            Ok(true) => None,
            Ok(false) if self.request.kind.cancellable => Some(RunEnd::CallerGone),
            Ok(false) => None,
            Err(_) => Some(RunEnd::Late),
        }
    }

    fn complete(&mut self, reply: &mut Reply) -> RunEnd {
        reply.finish(&self.content_type);
        let kept_body = std::mem::take(&mut self.kept_body);
        let is_whole = self.max_kept_bytes > 0 && kept_body.len() as u64 == self.forwarded_bytes;
        RunEnd::Complete {
            content_type: self.content_type.clone(),
            body: is_whole.then(|| Bytes::from(kept_body)),
        }
    }

    fn time_left(&self) -> Duration {
        let time_left = Duration::from(self.cx.clock.now().until(self.request.deadline));
        if self.request.kind.cancellable {
            time_left
        } else {
            time_left + UNCANCELLABLE_GRACE
        }
    }

    /// Waits for `future` until `timeout` or the deadline passes, the run is revoked or the caller
    /// disconnects. `timeout` applies to engines only; revocation and disconnects end only
    /// cancellable runs.
    async fn wait_unless_ended<F>(
        &self,
        future: F,
        timeout: Duration,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Wait<F::Output>
    where
        F: Future,
    {
        tokio::pin!(future);
        let deadline = tokio::time::Instant::now() + self.time_left();
        let stall_timer = tokio::time::sleep(timeout);
        tokio::pin!(stall_timer);
        let cancellable = self.request.kind.cancellable;
        loop {
            tokio::select! {
                done = &mut future => return Wait::Done(done),
                () = &mut stall_timer, if self.upstream.protocol == Protocol::Engine => {
                    return Wait::Stalled;
                }
                () = tokio::time::sleep_until(deadline) => return Wait::Ended(RunEnd::Late),
                () = reply.caller_gone(), if cancellable => return Wait::Ended(RunEnd::CallerGone),
                event = events.rx.recv() => {
                    let revoked = Some(TicketEvent::Revoked { ticket: self.grant.ticket });
                    if event == revoked && cancellable {
                        return Wait::Ended(RunEnd::Revoked);
                    }
                }
            }
        }
    }

    /// Asks the upstream to cancel the run if its kind is cancellable.
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
                let _ = call(&addr, req, CONNECT_TIMEOUT).await;
            }
        });
    }
}

/// Returns whether the upstream reports that it did not start the request.
fn states_not_started(res: &Response<Incoming>) -> bool {
    !res.status().is_success() && res.headers().contains_key(NOT_STARTED_HEADER)
}

/// How one connection of a run ended: together with the run, cut, or stalled.
enum StreamEnd {
    RunEnded(RunEnd),
    Cut,
    Stalled,
}

/// Result of a wait during a run.
enum Wait<T> {
    Done(T),
    Stalled,
    Ended(RunEnd),
}
