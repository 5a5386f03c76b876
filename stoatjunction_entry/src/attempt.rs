//! One attempt to send a request to an upstream, up to the head of the response.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_ENCODING, CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::crash::Cause;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::Upstream;
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::entry::start_reports::StartReport;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::http::ends_with_connection;
use stoatjunction_net::read_limit::CountedBody;
use stoatjunction_net::socket_errors::lacks_resources;

use crate::clock;
use crate::connection_pool::Connection;
use crate::crash::{self, Break, UsedConnection};
use crate::header_names::HeaderNames;
use crate::header_text;
use crate::placement::Placement;
use crate::start_reports;
use crate::state::Context;
use crate::statements;
use crate::upstream_connections;

/// Request as it is sent to upstreams, the same at every attempt.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: Option<HeaderValue>,
    /// What upstreams may crash under: the request itself, the same when it comes again at any host, and the
    /// parts of its prompt.
    pub(crate) causes: Rc<[Cause]>,
    /// True until it is sent, if it may be sent once although it is barred.
    pub(crate) is_probe: Cell<bool>,
}

impl UpstreamRequest {
    /// Returns the request's id for log lines, or `-`.
    pub(crate) fn id_for_log(&self) -> &str {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }
}

/// Upstream that an attempt is sent to.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamTarget {
    pub(crate) id: String,
    /// Number that identifies it in messages between hosts.
    pub(crate) number: u64,
    pub(crate) service: String,
    pub(crate) addr: String,
    /// Version of its software.
    pub(crate) version: SoftwareVersion,
    /// Name of that version, for log lines.
    pub(crate) version_name: String,
}

impl UpstreamTarget {
    /// Returns the target of attempts at a listed upstream.
    pub(crate) fn new(upstream: &Upstream) -> UpstreamTarget {
        let listed = &upstream.listed;
        UpstreamTarget {
            id: listed.id.clone(),
            number: upstream.number,
            service: listed.service.clone(),
            addr: listed.addr.clone(),
            version: SoftwareVersion::new(&listed.service, &listed.version),
            version_name: listed.version.clone(),
        }
    }
}

/// Options of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptOptions {
    pub(crate) kind: RouteKind,
    pub(crate) deadline: Time,
    /// Time after which an upstream that has sent no response head counts as timed out.
    pub(crate) response_timeout: Span,
    /// Silence from which on an end without a response head is suspicious.
    pub(crate) silence_limit: Span,
    /// True when the request may still be sent to another upstream.
    pub(crate) may_retry: bool,
    /// True when only upstreams of the version that began the stream may run the request.
    pub(crate) is_bound: bool,
}

/// What ends the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// Its length or its last chunk.
    Framed,
    /// The end of the connection, which an upstream whose process ends closes as well.
    Connection,
}

impl BodyEnd {
    /// Returns what ends the body of a response.
    fn of(res: &Response<Incoming>) -> BodyEnd {
        match ends_with_connection(res) {
            true => BodyEnd::Connection,
            false => BodyEnd::Framed,
        }
    }

    /// Returns the name in log lines.
    pub(crate) fn label(self) -> &'static str {
        match self {
            BodyEnd::Framed => "framed",
            BodyEnd::Connection => "connection",
        }
    }
}

/// Head of a response, with its body and the connection that carries it.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: http::response::Parts,
    pub(crate) body: CountedBody,
    pub(crate) body_end: BodyEnd,
    pub(crate) connection: Connection,
    pub(crate) idle_timeout: Option<Span>,
}

/// Reason why an attempt got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptError {
    /// Nothing was sent.
    NotSent,
    /// Too little time was left to send the request; nothing was sent.
    DeadlineExceeded,
    /// Upstreams crash under the request; nothing was sent.
    Barred,
    /// The upstream has stated since the placement that it leaves or wants a pause; nothing was sent.
    Withdrawn,
    /// The upstream is not known to be of the version that began the stream; nothing was sent.
    Unconfirmed(StartReport),
    /// The upstream states that it did not run the request.
    NotRun { status: u16 },
    /// The connection broke or the response was invalid; the upstream may have run the request.
    Broken(Break),
    /// The upstream sent no response head for much longer than forecast.
    TimedOut,
}

/// Sends `request` and waits for the head of the response. Calls `before_send` before the first
/// byte may be written.
pub(crate) async fn send(
    cx: &Rc<Context>,
    request: &UpstreamRequest,
    target: &UpstreamTarget,
    options: &AttemptOptions,
    placement: &Placement,
    before_send: &dyn Fn(),
) -> Result<UpstreamResponse, AttemptError> {
    let deadline = options.deadline;
    if options.is_bound {
        let report = start_reports::check(cx, placement, target).await;
        if report != StartReport::Listed {
            log::info!(
                "event=unconfirmed request={} upstream={} report={}",
                request.id_for_log(),
                target.id,
                report.label()
            );
            return Err(AttemptError::Unconfirmed(report));
        }
    }
    // Without an id, the response could not be told from a late copy of an earlier one.
    let may_use_kept = options.kind.is_idempotent() && request.id.is_some();
    let idle = may_use_kept
        .then(|| cx.connections.take_idle(&target.id))
        .flatten();
    let is_kept = idle.is_some();
    let source = if is_kept { "kept" } else { "opened" };
    let mut connection = match idle {
        Some(idle) => idle,
        None => open(cx, target, options).await.map_err(|e| {
            log::info!(
                "event=unreachable request={} upstream={} reason=\"{e}\"",
                request.id_for_log(),
                target.id
            );
            if !lacks_resources(&e) {
                placement.record_outcome(RunOutcome::Unreachable);
            }
            AttemptError::NotSent
        })?,
    };
    let left = clock::now().until(deadline);
    if left < MIN_TIME_LEFT {
        return Err(AttemptError::DeadlineExceeded);
    }
    if is_barred(cx, request, target) {
        return Err(AttemptError::Barred);
    }
    if !placement.may_send() {
        log::info!(
            "event=withdrawn request={} upstream={}",
            request.id_for_log(),
            target.id
        );
        return Err(AttemptError::Withdrawn);
    }
    let req = build_request(request, target, left, &cx.names);
    before_send();
    cx.metrics.count(
        "attempts",
        &[("connection", source), ("service", placement.service())],
    );
    let used = UsedConnection {
        is_new: !is_kept,
        is_own: !connection.is_tunnelled,
    };
    placement.mark_sent(request, used, deadline);
    placement.set_silence_limit(options.silence_limit);
    connection.counter.reset();
    let response = connection.sender.try_send_request(req);
    let response = wait_for_response(cx, response, options, placement, request, target).await?;
    let res = response.map_err(|mut e| {
        if e.take_message().is_some() {
            placement.mark_unsent();
            return AttemptError::NotSent;
        }
        log::info!(
            "event=broken request={} upstream={} reason=\"{}\"",
            request.id_for_log(),
            target.id,
            e.error()
        );
        if e.error().is_parse() {
            placement.record.mark_invalid();
        }
        AttemptError::Broken(Break::of(e.error(), &connection.counter))
    })?;
    if !connection.is_tunnelled {
        upstream_connections::record_answered(cx, &target.service);
    }
    if !belongs_to(request, &res, is_kept, &cx.names) {
        log::info!(
            "event=request_id_mismatch request={} upstream={} connection={source}",
            request.id_for_log(),
            target.id
        );
        placement.record.mark_invalid();
        return Err(AttemptError::Broken(Break::InResponse));
    }
    check_response(
        &cx.names, request, target, options, res, connection, placement,
    )
}

/// Opens a connection for a request. One that may run once is sent only where the upstream is surely reached.
async fn open(
    cx: &Rc<Context>,
    target: &UpstreamTarget,
    options: &AttemptOptions,
) -> io::Result<Connection> {
    let connection = upstream_connections::open(cx, target).await?;
    match options.kind.is_idempotent() {
        true => Ok(connection),
        false => upstream_connections::confirm(cx, target, connection).await,
    }
}

/// Returns whether upstreams crash under the request. Every attempt asks right before it is sent,
/// since crashes may have become known while the request waited.
fn is_barred(cx: &Context, request: &UpstreamRequest, target: &UpstreamTarget) -> bool {
    let state = cx.state.borrow();
    let is_probe = request.is_probe.take();
    let is_barred = !is_probe && state.crash_causes.is_barred(&request.causes);
    for cause in &*request.causes {
        let crashes = state.crash_causes.crash_count(*cause);
        if crashes > 0 {
            log::log!(
                crash::level(*cause, crashes),
                "event=suspect request={} cause={cause} upstream={} crashes={crashes} sent={}",
                request.id_for_log(),
                target.id,
                !is_barred
            );
        }
    }
    is_barred
}

/// Waits for a response. A timeout is recorded for the upstream, but ends the wait only when the
/// request may be retried.
async fn wait_for_response<F, T>(
    cx: &Rc<Context>,
    response: F,
    options: &AttemptOptions,
    placement: &Placement,
    request: &UpstreamRequest,
    target: &UpstreamTarget,
) -> Result<T, AttemptError>
where
    F: Future<Output = T>,
{
    tokio::pin!(response);
    let timeout = options.response_timeout.into();
    if let Ok(response) = tokio::time::timeout(timeout, &mut response).await {
        return Ok(response);
    }
    placement.record_outcome(RunOutcome::TimedOut);
    placement.check_silence();
    if placement.is_unanswered() {
        upstream_connections::record_silent(cx, target);
    }
    log::info!(
        "event=response_timeout request={} upstream={} after_ms={}",
        request.id_for_log(),
        target.id,
        options.response_timeout.as_millis()
    );
    if options.kind.is_idempotent() && options.may_retry {
        placement.silence_checked().await;
        return Err(AttemptError::TimedOut);
    }
    Ok(response.await)
}

/// Least time left for which a request is still sent.
const MIN_TIME_LEFT: Span = Span::from_millis(5);

fn build_request(
    request: &UpstreamRequest,
    target: &UpstreamTarget,
    left: Span,
    names: &HeaderNames,
) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(request.body.clone()));
    *req.method_mut() = request.method.clone();
    *req.uri_mut() = request.uri.clone();
    *req.headers_mut() = request.headers.clone();
    let headers = req.headers_mut();
    headers.insert(names.deadline.clone(), HeaderValue::from(left.as_millis()));
    if let Some(id) = header_text::encode(&target.id) {
        headers.insert(names.expected_upstream.clone(), id);
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&target.addr)
    {
        headers.insert(HOST, host);
    }
    req
}

/// Largest status of a class that HTTP defines.
const MAX_STATUS: u16 = 599;
/// Beginning of a status line; 0 stands for any digit.
const STATUS_LINE: &[u8] = b"HTTP/0.0 000";

/// Returns whether a response is the one to the request, by the id that it echoes. On a connection that
/// was used before, a response without any id may be a late copy of an earlier one. A head with several ids was put
/// together from two.
fn belongs_to(
    request: &UpstreamRequest,
    res: &Response<Incoming>,
    is_kept: bool,
    names: &HeaderNames,
) -> bool {
    let mut echoed = res.headers().get_all(&names.request_id).iter().peekable();
    match echoed.peek() {
        Some(_) => echoed.all(|id| Some(id) == request.id.as_ref()),
        None => !is_kept,
    }
}

/// Checks the head of a response and reads what the upstream says of itself in it.
fn check_response(
    names: &HeaderNames,
    request: &UpstreamRequest,
    target: &UpstreamTarget,
    options: &AttemptOptions,
    res: Response<Incoming>,
    connection: Connection,
    placement: &Placement,
) -> Result<UpstreamResponse, AttemptError> {
    placement.record_bytes();
    let body_end = BodyEnd::of(&res);
    let (head, body) = res.into_parts();
    if let Some(reason) = find_violation(&head, options.kind, names) {
        log::info!(
            "event=invalid_response request={} upstream={} status={} reason=\"{reason}\"",
            request.id_for_log(),
            target.id,
            head.status.as_u16()
        );
        placement.record.mark_invalid();
        return Err(AttemptError::Broken(Break::InResponse));
    }
    let body = CountedBody::new(body, &connection.counter);
    statements::read(&head, names, placement);
    if states_not_run(&head, names) {
        let status = head.status.as_u16();
        log::info!(
            "event=not_run request={} upstream={} status={status}",
            request.id_for_log(),
            target.id,
        );
        return Err(AttemptError::NotRun { status });
    }
    let idle_timeout = parse_idle_timeout(&head.headers);
    Ok(UpstreamResponse {
        head,
        body,
        body_end,
        connection,
        idle_timeout,
    })
}

/// Returns what makes a response unusable, if anything does.
fn find_violation(
    head: &http::response::Parts,
    kind: RouteKind,
    names: &HeaderNames,
) -> Option<&'static str> {
    let (status, headers) = (head.status, &head.headers);
    if status.is_informational() {
        return Some("not a final response");
    }
    if status.as_u16() > MAX_STATUS {
        return Some("a status of no class");
    }
    if headers.values().any(holds_status_line) {
        return Some("a head that goes on with another one");
    }
    if !status.is_success() {
        return None;
    }
    if headers.contains_key(&names.not_run) {
        return Some("a success that was not run");
    }
    if !headers.contains_key(&names.signature) {
        return Some("no signature");
    }
    if headers
        .get(CONTENT_ENCODING)
        .is_some_and(|e| e != "identity")
    {
        return Some("encoded");
    }
    (kind.is_stream() && !is_event_stream(head)).then_some("no event stream")
}

/// Returns whether a header's value holds the status line of another response, as after a head that stopped in it.
fn holds_status_line(value: &HeaderValue) -> bool {
    let mut windows = value.as_bytes().windows(STATUS_LINE.len());
    windows.any(|w| {
        let mut bytes = w.iter().zip(STATUS_LINE);
        bytes.all(|(b, expected)| match expected {
            b'0' => b.is_ascii_digit(),
            _ => b == expected,
        })
    })
}

/// Returns whether the upstream states that it did not run the request.
fn states_not_run(head: &http::response::Parts, names: &HeaderNames) -> bool {
    match head.status.as_u16() {
        421 => true,
        400 | 408 | 429 | 503 => head.headers.contains_key(&names.not_run),
        _ => false,
    }
}

fn is_event_stream(head: &http::response::Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type
        .and_then(|t| t.to_str().ok())
        .unwrap_or_default();
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    head.status == StatusCode::OK && media_type.eq_ignore_ascii_case("text/event-stream")
}

/// Parses the idle timeout that the upstream states for the connection; zero when it closes the
/// connection.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Span> {
    let closes = headers.get_all(CONNECTION).iter().any(|v| {
        let text = v.to_str().unwrap_or_default();
        text.split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return Some(Span::ZERO);
    }
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: u64 = value.trim().parse().ok()?;
    Some(Span::from_millis(seconds.saturating_mul(1_000)))
}
