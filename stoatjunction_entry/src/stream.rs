//! Forwarding of a stream to its caller, resumed on other upstreams when one fails.

use std::rc::Rc;

use http::HeaderValue;
use http_body_util::BodyExt;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::memory_budget::HeldBytes;
use stoatjunction_core::entry::pool::{PlacementRequest, UpstreamKey};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::entry::start_reports::StartReport;
use stoatjunction_core::time::{Span, Time};

use crate::admission::MAX_LATE_WAIT;
use crate::attempt::{
    self, AttemptError, AttemptOptions, BodyEnd, UpstreamRequest, UpstreamResponse, UpstreamTarget,
};
use crate::clock;
use crate::crash::Break;
use crate::event_filter::EventFilter;
use crate::held_body::wait_for_memory;
use crate::metrics::RequestLabels;
use crate::placement::Placement;
use crate::start_reports;
use crate::state::{Context, InProgress};
use crate::stream_buffer::{ChunkSender, SendError};
use crate::stream_origins;

/// Number of unreachable upstreams after which a request is given up.
pub(crate) const MAX_UNREACHABLE: u32 = 4;

/// Forwards a stream to its caller.
pub(crate) struct StreamForwarder {
    pub(crate) cx: Rc<Context>,
    pub(crate) request: UpstreamRequest,
    pub(crate) service: String,
    pub(crate) kind: RouteKind,
    /// Upstreams that the request was sent to, before the head of the response and since.
    pub(crate) attempts: u32,
    pub(crate) max_attempts: u32,
    pub(crate) target_latency: Span,
    /// Target for the gap between two events.
    pub(crate) target_gap: Option<Span>,
    pub(crate) deadline: Time,
    pub(crate) placement_request: PlacementRequest,
    pub(crate) labels: RequestLabels,
    /// Time of the response head.
    pub(crate) begun_at: Time,
    pub(crate) event_filter: EventFilter,
    pub(crate) tx: ChunkSender,
    /// True once the caller was disconnected because it took nothing.
    pub(crate) has_stalled: bool,
    /// Held from the response head on, so that a shutdown at that moment waits for the stream.
    pub(crate) _in_progress: InProgress,
}

/// How the segment of a stream that one upstream sent ended.
enum SegmentEnd {
    Complete,
    /// The upstream that takes the stream up ended its response without any event.
    Empty,
    Broken,
    /// The end of the connection may be that of the upstream's process.
    Unconfirmed,
    /// The upstream ended a response that was not read for a while, since the caller took nothing.
    Unread,
    /// There was no memory for an event of the upstream.
    NoMemory,
    /// No events for too long; a slot on another upstream is taken.
    TimedOut(Box<Placement>),
    CallerGone,
    /// The caller took nothing for long and was disconnected.
    CallerStalled,
    TooLate,
}

/// Time for which nothing was read from an upstream after which it may break its response off for that reason.
const UNREAD_TIME: Span = Span::from_millis(500);
/// Multiple of the target gap without an event after which a resumable stream moves to another
/// upstream. The response is late by then, and callers tolerate about eight times the gap.
const EVENT_TIMEOUT_GAPS: u64 = 4;
/// Time without an event after which a stream times out when its route has no target gap.
const DEFAULT_EVENT_TIMEOUT: Span = Span::from_millis(1_500);

/// Memory in bytes that an incomplete event always gets, so that common events are never given up for large ones.
const SMALL_EVENT_BYTES: usize = 16 * 1024;

impl StreamForwarder {
    /// Forwards the stream to its end.
    pub(crate) async fn run(
        mut self,
        response: UpstreamResponse,
        placement: Placement,
        target: UpstreamTarget,
    ) {
        let complete = self.forward(response, placement, target).await;
        let kind = self.labels.kind;
        let taken = clock::now().since(self.begun_at);
        self.cx.metrics.record_duration("stream", kind, taken);
        let outcome = match (complete, self.tx.is_closed()) {
            _ if self.has_stalled => "caller_stalled",
            (true, false) => "answered",
            (true, true) => "caller_left",
            (false, _) => "cut",
        };
        self.cx.metrics.count_request(&self.labels, outcome, "200");
        if complete {
            self.tx.finish();
        }
    }

    /// Forwards the stream, resuming it on other upstreams; returns whether nothing is left to
    /// send, because it is complete or its caller has left.
    async fn forward(
        &mut self,
        mut response: UpstreamResponse,
        mut placement: Placement,
        mut target: UpstreamTarget,
    ) -> bool {
        loop {
            let key = placement.key;
            let body_end = response.body_end;
            let mut next = None;
            let may_resume = self.kind == RouteKind::Resumable && self.attempts < self.max_attempts;
            let end = self
                .forward_segment(&mut response, &placement, may_resume)
                .await;
            match self.confirm(end, body_end, &placement, &target).await {
                SegmentEnd::Complete => {
                    placement.end(RunOutcome::Success);
                    self.log_end("answered", &target, body_end);
                    let idle_timeout = response.idle_timeout;
                    let service = &self.service;
                    self.cx
                        .keep_connection(service, &target.id, response.connection, idle_timeout);
                    self.cx.clear_crashes(&self.request);
                    return true;
                }
                SegmentEnd::CallerGone => {
                    self.log_end("caller_left", &target, body_end);
                    return true;
                }
                SegmentEnd::CallerStalled => {
                    self.has_stalled = true;
                    self.log_end("caller_stalled", &target, body_end);
                    return false;
                }
                SegmentEnd::TooLate => {
                    self.log_end("late_in_stream", &target, body_end);
                    return false;
                }
                SegmentEnd::Broken => {
                    placement.end_broken(Break::InResponse).await;
                    self.log_end("cut_in_stream", &target, body_end);
                }
                SegmentEnd::Unconfirmed => {
                    placement.end_unconfirmed().await;
                    self.log_end("cut_in_stream", &target, body_end);
                }
                SegmentEnd::Empty => {
                    placement.end(RunOutcome::Error);
                    self.log_end("empty_rest", &target, body_end);
                }
                SegmentEnd::Unread => {
                    drop(placement);
                    self.log_end("unread_in_stream", &target, body_end);
                }
                SegmentEnd::NoMemory => {
                    drop(placement);
                    self.log_end("no_memory_in_stream", &target, body_end);
                }
                SegmentEnd::TimedOut(other) => {
                    next = Some(*other);
                    placement.end(RunOutcome::TimedOut);
                    self.log_end("silent_in_stream", &target, body_end);
                }
            }
            drop(response);
            self.placement_request.tried.push(key);
            match self.resume(next).await {
                Some(resumed) => (response, placement, target) = resumed,
                None => return false,
            }
        }
    }

    /// Returns how a segment ended, as far as the upstream confirms an end that only its connection tells.
    async fn confirm(
        &self,
        end: SegmentEnd,
        body_end: BodyEnd,
        placement: &Placement,
        target: &UpstreamTarget,
    ) -> SegmentEnd {
        if !matches!(end, SegmentEnd::Complete) || body_end == BodyEnd::Framed {
            return end;
        }
        match start_reports::still_runs(&self.cx, placement, target).await {
            true => SegmentEnd::Complete,
            false => SegmentEnd::Unconfirmed,
        }
    }

    fn log_end(&self, event: &str, target: &UpstreamTarget, body_end: BodyEnd) {
        let level = if event == "answered" {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "event={event} request={} upstream={} version={} last_event={} ended_by={}",
            self.request.id_for_log(),
            target.id,
            target.version_name,
            self.event_filter.last().unwrap_or(0),
            body_end.label()
        );
    }

    /// Forwards what one upstream sends. A segment that another upstream `may_resume` ends when no
    /// event arrives in time and a slot on another upstream could be taken.
    async fn forward_segment(
        &mut self,
        response: &mut UpstreamResponse,
        placement: &Placement,
        may_resume: bool,
    ) -> SegmentEnd {
        let deadline = tokio::time::sleep_until(clock::instant(self.deadline));
        let event_timeout = self.event_timeout();
        placement.set_silence_limit(self.target_gap.unwrap_or(DEFAULT_EVENT_TIMEOUT));
        let blocked_before = self.tx.blocked();
        let mut has_events = false;
        let mut incomplete_event = self.cx.memory.event();
        let mut last_event_at = clock::now();
        let event_timer = tokio::time::sleep_until(clock::instant(last_event_at + event_timeout));
        tokio::pin!(deadline, event_timer);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return SegmentEnd::CallerGone,
                frame = response.body.frame() => frame,
                () = &mut deadline => {
                    placement.record.mark_overdue();
                    return SegmentEnd::TooLate;
                }
                () = &mut event_timer => {
                    if clock::now() >= last_event_at + event_timeout {
                        placement.check_silence();
                        if may_resume
                            && let Some(other) = self.place_on_other(placement.key).await
                        {
                            placement.silence_checked().await;
                            return SegmentEnd::TimedOut(Box::new(other));
                        }
                        last_event_at = clock::now();
                    }
                    event_timer.as_mut().reset(clock::instant(last_event_at + event_timeout));
                    continue;
                }
            };
            placement.record_bytes();
            let data = match frame {
                None if self.event_filter.check_end().is_ok() => {
                    // Without an event, nothing says that the caller has the last one.
                    return match self.event_filter.has_gone_on() {
                        true => SegmentEnd::Complete,
                        false => SegmentEnd::Empty,
                    };
                }
                None => {
                    let end = self.broken(blocked_before);
                    if matches!(end, SegmentEnd::Broken) {
                        placement.record.mark_invalid();
                    }
                    return end;
                }
                Some(Err(_)) => return self.broken(blocked_before),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            if !has_events && !self.may_forward(placement) {
                return SegmentEnd::Broken;
            }
            let received = self.event_filter.received();
            let events = self.event_filter.push_bytes(&data);
            if self.event_filter.received() > received {
                last_event_at = clock::now();
            }
            if !events.bytes.is_empty() {
                if !std::mem::replace(&mut has_events, true) {
                    self.bind_version(placement).await;
                }
                let blocked = self.tx.blocked();
                match self.tx.send(events.bytes).await {
                    Ok(()) => {}
                    Err(SendError::CallerGone) => return SegmentEnd::CallerGone,
                    Err(SendError::CallerStalled) => return SegmentEnd::CallerStalled,
                }
                // The upstream is not silent while nothing is read from it.
                last_event_at = last_event_at + (self.tx.blocked() - blocked);
            }
            if let Some(e) = events.error {
                log::info!(
                    "event=invalid_stream request={} reason=\"{e}\"",
                    self.request.id_for_log()
                );
                placement.record.mark_invalid();
                return SegmentEnd::Broken;
            }
            if let Err(end) = self.hold_event(&mut incomplete_event).await {
                return end;
            }
        }
    }

    /// Holds memory for the event that is not complete yet. While there is none, nothing is read from the upstream.
    async fn hold_event(&self, held: &mut HeldBytes) -> Result<(), SegmentEnd> {
        let bytes = self.event_filter.buffered_bytes();
        let is_small = bytes <= SMALL_EVENT_BYTES;
        let has_memory = wait_for_memory(bytes, || held.try_set(bytes, is_small));
        tokio::select! {
            biased;
            has_memory = has_memory => has_memory.then_some(()).ok_or(SegmentEnd::NoMemory),
            () = self.tx.closed() => Err(SegmentEnd::CallerGone),
            () = tokio::time::sleep_until(clock::instant(self.deadline)) => Err(SegmentEnd::TooLate),
        }
    }

    /// Returns how a segment ended that its upstream broke off: it is not at fault if nothing was read from it for a while.
    fn broken(&self, blocked_before: Span) -> SegmentEnd {
        match self.tx.blocked() - blocked_before >= UNREAD_TIME {
            true => SegmentEnd::Unread,
            false => SegmentEnd::Broken,
        }
    }

    /// Returns whether events of the upstream may be forwarded: not if the stream is bound to another version than it
    /// surely has. Asked before any of them is read, since what was read counts as forwarded.
    fn may_forward(&self, placement: &Placement) -> bool {
        let bound = self.placement_request.version;
        bound.is_none() || bound == placement.version()
    }

    /// Binds the stream to the version of the upstream that sends its first event.
    async fn bind_version(&mut self, placement: &Placement) {
        if self.kind != RouteKind::Resumable {
            return;
        }
        // A stream of an unsure version goes on nowhere else.
        let version = match self.placement_request.version {
            Some(bound) => bound,
            None => self.confirmed_version(placement).await.unwrap_or_default(),
        };
        let version = *self.placement_request.version.get_or_insert(version);
        stream_origins::record_begun(&self.cx, &self.request, version);
    }

    /// Returns the version of the upstream, if it is known to have it.
    async fn confirmed_version(&self, placement: &Placement) -> Option<SoftwareVersion> {
        let target = placement.target()?;
        let report = start_reports::check(&self.cx, placement, &target).await;
        placement
            .version()
            .filter(|_| report == StartReport::Listed)
    }

    fn event_timeout(&self) -> Span {
        self.target_gap
            .map_or(DEFAULT_EVENT_TIMEOUT, |g| Span(g.0 * EVENT_TIMEOUT_GAPS))
    }

    /// Takes a slot on another upstream than `key`, if one is free at once and the retry budget
    /// allows it.
    async fn place_on_other(&self, key: UpstreamKey) -> Option<Placement> {
        let mut request = PlacementRequest {
            late: true,
            wait_until: clock::now(),
            ..self.placement_request.clone()
        };
        request.tried.push(key);
        self.place_retry(request).await
    }

    /// Resumes the stream on another upstream, first on the one whose slot is `held`.
    async fn resume(
        &mut self,
        mut held: Option<Placement>,
    ) -> Option<(UpstreamResponse, Placement, UpstreamTarget)> {
        if self.kind != RouteKind::Resumable {
            return None;
        }
        self.event_filter.restart();
        if let Some(last) = self.event_filter.last() {
            let name = self.cx.names.last_event.clone();
            self.request.headers.insert(name, HeaderValue::from(last));
        }
        let mut unreachable = 0;
        while self.attempts < self.max_attempts && unreachable < MAX_UNREACHABLE {
            self.placement_request.late = true;
            self.placement_request.wait_until = (clock::now() + MAX_LATE_WAIT).min(self.deadline);
            let placement = match held.take() {
                Some(placement) => placement,
                None => self.place_retry(self.placement_request.clone()).await?,
            };
            let target = placement.target()?;
            let key = placement.key;
            let deadline = clock::instant(self.deadline);
            let options = AttemptOptions {
                kind: self.kind,
                deadline: self.deadline,
                response_timeout: placement.response_timeout(self.target_latency),
                silence_limit: self.target_latency,
                may_retry: self.attempts + 1 < self.max_attempts
                    && placement.has_alternative(&self.placement_request),
                is_bound: self.placement_request.version.is_some(),
            };
            let attempt = attempt::send(
                &self.cx,
                &self.request,
                &target,
                &options,
                &placement,
                &|| {},
            );
            let result = tokio::select! {
                result = attempt => result,
                () = self.tx.closed() => return None,
                () = tokio::time::sleep_until(deadline) => return None,
            };
            match result {
                Ok(response) if response.head.status.is_success() => {
                    self.attempts += 1;
                    placement.record_first_event();
                    self.log_end("resumed", &target, response.body_end);
                    return Some((response, placement, target));
                }
                // The placement leaves the upstream out from now on.
                Err(AttemptError::Withdrawn) => continue,
                Err(AttemptError::NotSent) => unreachable += 1,
                Err(AttemptError::Unconfirmed(report)) => {
                    unreachable += u32::from(report == StartReport::Missing);
                }
                Err(AttemptError::DeadlineExceeded | AttemptError::Barred) => return None,
                Ok(_) => {
                    placement.end(RunOutcome::Error);
                    self.attempts += 1;
                }
                Err(AttemptError::NotRun { .. }) => {
                    placement.end(RunOutcome::Shed);
                    self.attempts += 1;
                }
                Err(AttemptError::Broken(how)) => {
                    placement.end_broken(how).await;
                    self.attempts += 1;
                }
                Err(AttemptError::TimedOut) => self.attempts += 1,
            }
            self.placement_request.tried.push(key);
        }
        None
    }

    /// Places a retry, if the retry budget allows one.
    async fn place_retry(&self, request: PlacementRequest) -> Option<Placement> {
        let placement = self.cx.place(&self.service, request);
        let placement = tokio::select! {
            placement = placement => placement.ok()?,
            () = self.tx.closed() => return None,
        };
        let (_, known_hosts) = self.cx.reachable_hosts();
        let allowed = self.cx.try_retry(&self.service, known_hosts);
        allowed.then_some(placement)
    }
}
