//! Admission of requests: route, organisation, body, rate limit and requirements for placement.

use std::borrow::Cow;
use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::{Organisation, Route};
use stoatjunction_core::entry::crash::Cause;
use stoatjunction_core::entry::pool::PlacementRequest;
use stoatjunction_core::entry::prompt_cache::PromptPart;
use stoatjunction_core::entry::rate_limiter::LimitStatus;
use stoatjunction_core::entry::route_table::{RouteError, RouteTable, choose_service};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};

use crate::attempt::UpstreamRequest;
use crate::caller_body::CallerBody;
use crate::clock;
use crate::crash_probes;
use crate::event_filter::EventFilter;
use crate::header_names::HeaderNames;
use crate::header_text;
use crate::held_body;
use crate::metrics::{self, RequestLabels};
use crate::refusal::Refusal;
use crate::state::Context;
use crate::stream_buffer::CallerConnection;
use crate::stream_origins;

/// Hop-by-hop headers, which are not forwarded.
pub(crate) const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];
/// Longest wait of a late request for a slot when it is retried, by its caller or by this host.
pub(crate) const MAX_LATE_WAIT: Span = Span::from_millis(250);
/// Retry-after of a request under which upstreams crash.
pub(crate) const BARRED_RETRY_AFTER: Span = Span::from_millis(10_000);
/// Fraction of the target latency for which a request waits once it can no longer meet it.
const LATE_WAIT_FRACTION: f64 = 0.25;
/// Fraction of the target latency that placement plans with; the rest covers the network to the
/// caller and forecast errors.
const PLANNED_LATENCY_FRACTION: f64 = 0.92;
/// Tokens that a request counts at most, so that sums over requests stay in their range.
const MAX_TOKENS: u64 = u32::MAX as u64;

/// Admitted request.
pub(crate) struct AdmittedRequest {
    pub(crate) request: UpstreamRequest,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) organisation: Option<u64>,
    pub(crate) units: u64,
    pub(crate) deadline: Time,
    pub(crate) labels: RequestLabels,
    /// Upstreams that it was sent to, including those that declined it.
    pub(crate) attempts: u32,
    pub(crate) placement_request: PlacementRequest,
    pub(crate) event_filter: EventFilter,
    /// The connection that the response goes to.
    pub(crate) caller: CallerConnection,
}

/// Admits a request: finds its route and organisation, reads its body and charges its units to the
/// organisation's rate limit.
///
/// # Errors
///
/// The refusal of a request that is not admitted.
pub(crate) async fn admit_request(
    cx: &Rc<Context>,
    routes: &Rc<RouteTable>,
    req: Request<CallerBody>,
    arrived: Time,
) -> Result<AdmittedRequest, Refusal> {
    let (head, body) = req.into_parts();
    let host = head
        .uri
        .authority()
        .map(|a| a.as_str())
        .map(Cow::Borrowed)
        .or_else(|| head.headers.get(HOST).map(header_text::decode))
        .unwrap_or_default();
    let key = head.headers.get(&cx.names.key).map(header_text::decode);
    let resolved = routes.resolve(&host, head.uri.path(), key.as_deref());
    let (route, organisation) = resolved.map_err(refuse_route)?;
    let max_bytes = routes.cfg().limits.body_bytes;
    let latest = clock::instant(arrived + route.timeout);
    let read = held_body::read_request(&cx.memory, body, max_bytes);
    let read = tokio::time::timeout_at(latest, read).await;
    let body = read.map_err(|_| Refusal::new(Code::BodyLate))??;
    let (route, organisation) = (route.clone(), organisation.cloned());
    let version = stream_origins::resolve(cx, &route, &head.headers).await?;
    let mut admitted = build_request(cx, &head, body, route, organisation, version, arrived)?;
    let request = &admitted.request;
    let is_probe = crash_probes::acquire(cx, &request.causes, request.id_for_log()).await;
    request.is_probe.set(is_probe);
    if check_limits(cx, &admitted)? == LimitStatus::Beyond {
        let deadline = admitted.deadline;
        mark_beyond_limit(&mut admitted.placement_request, arrived, deadline);
    }
    Ok(admitted)
}

/// Returns what the log says of a key under which no route was found; never the key itself.
pub(crate) fn key_state(key: Option<&HeaderValue>) -> &'static str {
    match key {
        None => " key=absent",
        Some(key) if key.is_empty() => " key=empty",
        Some(_) => " key=unknown",
    }
}

/// Returns the refusal of a request without a route or without access to it.
pub(crate) fn refuse_route(error: RouteError) -> Refusal {
    match error {
        RouteError::NoRoute => Refusal::new(Code::NoRoute),
        RouteError::UnknownKey => Refusal::new(Code::UnknownKey),
    }
}

fn build_request(
    cx: &Rc<Context>,
    head: &http::request::Parts,
    body: Bytes,
    route: Route,
    organisation: Option<Organisation>,
    version: Option<SoftwareVersion>,
    arrived: Time,
) -> Result<AdmittedRequest, Refusal> {
    let names = &cx.names;
    let number = |name: &HeaderName| -> Option<u64> {
        head.headers.get(name)?.to_str().ok()?.trim().parse().ok()
    };
    let requested_timeout = number(&names.deadline).map(Span::from_millis);
    let timeout = requested_timeout.map_or(route.timeout, |d| d.min(route.timeout));
    let service = match version {
        Some(version) => stream_origins::service_of(cx, &route, version),
        None => choose_service(&route, fastrand::f64()),
    };
    let service = service.ok_or_else(refuse_without_service)?.to_owned();
    let tokens = head.headers.get(&names.tokens).and_then(parse_token_counts);
    let units = charged_units(organisation.as_ref(), tokens);
    let held_tokens = check_memory(cx, &service, tokens)?;
    let organisation_id = organisation
        .as_ref()
        .map(|o| hash::hash_parts(&[o.name.as_bytes()]));
    let organisation_name = organisation.as_ref().map_or("", |o| o.name.as_str());
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let fingerprint = hash::hash_parts(&[path.as_bytes(), organisation_name.as_bytes(), &body]);
    let prompt = head.headers.get(&names.prompt);
    let causes = std::iter::once(Cause::Request(fingerprint))
        .chain(prompt.into_iter().flat_map(shared_prompt_parts))
        .collect();
    let prompt = prompt.map(parse_prompt_parts);
    let spent = {
        let mut state = cx.state.borrow_mut();
        let spent = requested_timeout.map_or(Span::ZERO, |d| state.elapsed(&route.name, d));
        // A stream that is taken up counts as a new one: it may go on at few upstreams, and its first event was in time.
        if version.is_some() { Span::ZERO } else { spent }
    };
    let deadline = arrived + timeout;
    cx.stopping.check(deadline)?;
    let placement_request = PlacementRequest {
        version,
        tokens: held_tokens,
        ..placement_request(
            &route,
            organisation.as_ref(),
            prompt,
            arrived,
            spent,
            deadline,
        )
    };
    let request = UpstreamRequest {
        method: head.method.clone(),
        uri: path.parse().map_err(|_| Refusal::new(Code::BadHeader))?,
        headers: forwarded_headers(cx, &head.headers, organisation.as_ref())
            .ok_or_else(refuse_without_service)?,
        body,
        id: head.headers.get(&names.request_id).cloned(),
        causes,
        is_probe: Cell::new(false),
    };
    let admitted = AdmittedRequest {
        request,
        service,
        organisation: organisation_id,
        units,
        deadline,
        labels: RequestLabels {
            kind: metrics::kind_label(route.repeat),
            priority: route.priority.to_string(),
            organisation: organisation_name.to_owned(),
        },
        attempts: 0,
        placement_request,
        event_filter: EventFilter::resume_after(number(&names.last_event)),
        caller: head.extensions.get().cloned().unwrap_or_default(),
        route,
    };
    log_resumption(names, head, &admitted);
    Ok(admitted)
}

/// Marks a request that its organisation's limit only admits to spare capacity.
pub(crate) fn mark_beyond_limit(request: &mut PlacementRequest, arrived: Time, deadline: Time) {
    request.late = true;
    request.wait_until = (arrived + request.late_wait).min(deadline);
}

/// Returns the refusal of a request whose route leads to no service.
pub(crate) fn refuse_without_service() -> Refusal {
    Refusal::with_retry_after(Code::NoUpstream, Span::from_millis(1_000))
}

/// Logs that a caller takes a stream up again.
fn log_resumption(names: &HeaderNames, head: &http::request::Parts, admitted: &AdmittedRequest) {
    let Some(last) = admitted.event_filter.last() else {
        return;
    };
    let first_attempt = head.headers.get(&names.first_attempt);
    let first_attempt = first_attempt.and_then(|v| v.to_str().ok());
    log::info!(
        "event=taken_up request={} first_attempt={} last_event={last}",
        admitted.request.id_for_log(),
        first_attempt.unwrap_or("-")
    );
}

/// Checks the organisation's rate limit and whether the request is barred since upstreams crash under it.
fn check_limits(cx: &Rc<Context>, admitted: &AdmittedRequest) -> Result<LimitStatus, Refusal> {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let causes = &admitted.request.causes;
    let barring = state.crash_causes.barring(causes);
    if let Some(first) = barring.first()
        && !admitted.request.is_probe.get()
    {
        state.crash_causes.record_refusal(causes, now);
        let names: Vec<String> = barring.iter().map(Cause::to_string).collect();
        log::info!(
            "event=barred request={} cause={} crashes={}",
            admitted.request.id_for_log(),
            names.join("+"),
            state.crash_causes.crash_count(*first)
        );
        return Err(Refusal::with_retry_after(Code::Barred, BARRED_RETRY_AFTER));
    }
    let mut status = LimitStatus::Within;
    if let Some(organisation) = admitted.organisation {
        let acquired = state
            .rate_limiter
            .try_acquire(organisation, admitted.units, now);
        status = acquired.map_err(|wait| Refusal::with_retry_after(Code::OverLimit, wait))?;
    }
    state.retry_budget.record_request(&admitted.service, now);
    Ok(status)
}

/// Returns the requirements of a request for its placement, apart from its version and memory.
pub(crate) fn placement_request(
    route: &Route,
    organisation: Option<&Organisation>,
    prompt: Option<Vec<PromptPart>>,
    arrived: Time,
    spent: Span,
    deadline: Time,
) -> PlacementRequest {
    let idempotent = route.repeat.is_idempotent();
    let route_hash = hash::hash_parts(&[route.name.as_bytes()]) as u32;
    let priority = (organisation.map_or(0, |o| o.priority), route.priority);
    if !route.repeat.is_stream() {
        return PlacementRequest {
            priority,
            due_at: deadline,
            wait_until: deadline.saturating_sub(Span(route.aim.0 / 2)),
            // Shifted by what earlier tries have spent, as for streams.
            target_at: Some(arrived + (route.aim - spent)),
            idempotent,
            route: route_hash,
            salt: fastrand::u64(..),
            ..PlacementRequest::default()
        };
    }
    let planned_latency = Span((route.aim.0 as f64 * PLANNED_LATENCY_FRACTION) as u64);
    let late = spent >= planned_latency;
    let due_at = arrived + (planned_latency - spent);
    let wait_until = if late {
        arrived + MAX_LATE_WAIT
    } else {
        due_at
    };
    PlacementRequest {
        priority,
        prompt: prompt.unwrap_or_default(),
        due_at,
        wait_until: wait_until.min(deadline),
        late_wait: Span((route.aim.0 as f64 * LATE_WAIT_FRACTION) as u64),
        late,
        idempotent,
        route: route_hash,
        salt: fastrand::u64(..),
        ..PlacementRequest::default()
    }
}

pub(crate) fn charged_units(
    organisation: Option<&Organisation>,
    tokens: Option<(u64, u64)>,
) -> u64 {
    match organisation {
        Some(o) if o.by_tokens => tokens.map_or(o.plain_tokens, |(i, o)| i.saturating_add(o)),
        _ => 1,
    }
}

/// Returns the tokens that a request holds in the memory of an engine; 0 if it states none.
///
/// # Errors
///
/// The refusal of a request that is larger than the memory of an empty engine.
pub(crate) fn check_memory(
    cx: &Context,
    service: &str,
    tokens: Option<(u64, u64)>,
) -> Result<u64, Refusal> {
    let tokens = tokens.map_or(0, |(input, output)| input.saturating_add(output));
    let state = cx.state.borrow();
    let scheduler = state.schedulers.get(service);
    if scheduler.is_some_and(|s| s.pool.exceeds_memory(tokens)) {
        return Err(Refusal::new(Code::PromptTooLarge));
    }
    Ok(tokens)
}

fn parse_token_counts(value: &HeaderValue) -> Option<(u64, u64)> {
    token_counts(value.to_str().ok()?)
}

/// Reads the numbers of prompt tokens and of maximum output tokens, each up to [`MAX_TOKENS`].
pub(crate) fn token_counts(text: &str) -> Option<(u64, u64)> {
    let tokens = |text: &str| text.trim().parse().ok().map(|n: u64| n.min(MAX_TOKENS));
    let (input, output) = text.split_once(',')?;
    Some((tokens(input)?, tokens(output)?))
}

fn parse_prompt_parts(value: &HeaderValue) -> Vec<PromptPart> {
    let text = value.to_str().unwrap_or_default();
    text.split(',').filter_map(prompt_part).collect()
}

/// Reads a part of a prompt with its tokens.
pub(crate) fn prompt_part(entry: &str) -> Option<PromptPart> {
    let (id, tokens) = entry.trim().split_once(':')?;
    Some(PromptPart {
        id: hash::hash_parts(&[id.as_bytes()]) as u32,
        tokens: tokens.parse().ok()?,
    })
}

/// Returns the parts of a prompt but for the last, which belongs to one request, as causes of crashes.
fn shared_prompt_parts(value: &HeaderValue) -> Vec<Cause> {
    shared_parts(value.to_str().unwrap_or_default())
}

/// Returns the same of the text of a prompt's parts.
pub(crate) fn shared_parts(text: &str) -> Vec<Cause> {
    let ids = text.split(',').filter_map(|entry| entry.split(':').next());
    let mut parts: Vec<Cause> = ids
        .map(|id| Cause::PromptPart(hash::hash_parts(&[id.trim().as_bytes()])))
        .collect();
    parts.pop();
    parts
}

/// Returns the headers to forward to an upstream; `None` if they cannot hold the name of the organisation, without which
/// the upstream takes the request for another one's.
fn forwarded_headers(
    cx: &Rc<Context>,
    headers: &HeaderMap,
    organisation: Option<&Organisation>,
) -> Option<HeaderMap> {
    let names = &cx.names;
    let mut out = headers.clone();
    let named_by_connection: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|t| t.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        out.remove(name);
    }
    let replaced = [
        &names.key,
        &names.organisation,
        &names.expected_upstream,
        &names.deadline,
    ];
    for name in replaced
        .into_iter()
        .chain(&named_by_connection)
        .chain(&names.reserved)
    {
        out.remove(name);
    }
    if let Some(o) = organisation {
        let name = HeaderValue::from_bytes(o.name.as_bytes()).ok()?;
        out.insert(names.organisation.clone(), name);
    }
    Some(out)
}
