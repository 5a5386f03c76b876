//! A stream on its way to its caller, over as many upstreams as it may take.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderValue;
use http_body_util::BodyExt;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{PlacementRequest, UpstreamKey};
use stoatjunction_core::time::{Span, Time};
use tokio::sync::mpsc;

use crate::admission::MAX_LATE_WAIT;
use crate::attempt::{
    self, AttemptError, AttemptOptions, UpstreamRequest, UpstreamResponse, UpstreamTarget,
};
use crate::board::{Context, InProgress};
use crate::body::StreamAborted;
use crate::clock;
use crate::event_filter::EventFilter;
use crate::placement::Placement;

/// Upstreams that one request may find unreachable.
pub(crate) const MAX_UNREACHABLE: u32 = 4;

/// A stream on its way to the caller.
pub(crate) struct StreamForwarder {
    pub(crate) cx: Rc<Context>,
    pub(crate) request: UpstreamRequest,
    pub(crate) service: String,
    pub(crate) kind: RouteKind,
    pub(crate) max_attempts: u32,
    pub(crate) target_latency: Span,
    /// Longest pause between events that is still in time.
    pub(crate) target_gap: Option<Span>,
    pub(crate) deadline: Time,
    pub(crate) placement_request: PlacementRequest,
    pub(crate) event_filter: EventFilter,
    pub(crate) fingerprint: u64,
    pub(crate) tx: mpsc::Sender<Result<Bytes, StreamAborted>>,
    /// Counts from the answer's head on, so that a stop in that moment waits for the stream.
    pub(crate) _in_progress: InProgress,
}

/// How one upstream's part of a stream ended.
enum PartEnd {
    Whole,
    Broken,
    /// Silent for long; another place is taken.
    Silent(Placement),
    CallerGone,
    Late,
}

/// Longest pauses after which a stream that may go on elsewhere does. Its answer is late by then, and
/// callers bear about eight.
const SILENT_PAUSES: u64 = 4;
/// Time after which a stream counts as silent where no longest pause is stated.
const SILENT_UNSTATED: Span = Span::from_millis(1_500);

impl StreamForwarder {
    /// Passes the stream on to its end.
    pub(crate) async fn run(
        mut self,
        answer: UpstreamResponse,
        placed: Placement,
        target: UpstreamTarget,
    ) {
        let whole = self.follow(answer, placed, target).await;
        if !whole {
            let _caller_may_have_left = self.tx.send(Err(StreamAborted)).await;
        }
    }

    /// Passes the stream on, over as many upstreams as it may take; true when it is whole.
    async fn follow(
        &mut self,
        mut answer: UpstreamResponse,
        mut placed: Placement,
        mut target: UpstreamTarget,
    ) -> bool {
        let mut sent = 1;
        loop {
            let key = placed.key;
            let mut next = None;
            let may_move = self.kind == RouteKind::Resumable && sent < self.max_attempts;
            match self.pass(&mut answer, &placed, may_move).await {
                PartEnd::Whole => {
                    placed.end(RunOutcome::Success);
                    self.log_end("answered", &target);
                    let idle = answer.idle_timeout;
                    let service = &self.service;
                    self.cx.keep(service, &target.id, answer.connection, idle);
                    self.cx.board.borrow_mut().suspects.clear(self.fingerprint);
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
                    placed.end(RunOutcome::Broken);
                    self.log_end("cut_in_stream", &target);
                }
                PartEnd::Silent(other) => {
                    next = Some(other);
                    placed.end(RunOutcome::TimedOut);
                    self.log_end("silent_in_stream", &target);
                }
            }
            drop(answer);
            self.placement_request.tried.push(key);
            match self.resume(&mut sent, next).await {
                Some(resumed) => (answer, placed, target) = resumed,
                None => return false,
            }
        }
    }

    fn log_end(&self, event: &str, target: &UpstreamTarget) {
        let level = if event == "answered" {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level,
            "event={event} request={} upstream={} last_event={}",
            self.request.id_for_log(),
            target.id,
            self.event_filter.last().unwrap_or(0)
        );
    }

    /// Passes on what one upstream sends. A stream that `may_move` to another upstream ends when
    /// this one falls silent and a place on another could be taken.
    async fn pass(
        &mut self,
        answer: &mut UpstreamResponse,
        placed: &Placement,
        may_move: bool,
    ) -> PartEnd {
        let limit = tokio::time::sleep_until(clock::instant(self.deadline));
        let patience = self.patience();
        let mut heard = clock::now();
        let silence = tokio::time::sleep_until(clock::instant(heard + patience));
        tokio::pin!(limit, silence);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return PartEnd::CallerGone,
                frame = answer.body.frame() => frame,
                () = &mut limit => return PartEnd::Late,
                () = &mut silence, if may_move => {
                    if clock::now() >= heard + patience {
                        if let Some(other) = self.other_place(placed.key).await {
                            return PartEnd::Silent(other);
                        }
                        heard = clock::now();
                    }
                    silence.as_mut().reset(clock::instant(heard + patience));
                    continue;
                }
            };
            heard = clock::now();
            let data = match frame {
                None if self.event_filter.check_end().is_ok() => return PartEnd::Whole,
                None | Some(Err(_)) => return PartEnd::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Ok(piece) = self.event_filter.push_bytes(&data) else {
                return PartEnd::Broken;
            };
            if !piece.is_empty() && self.tx.send(Ok(piece)).await.is_err() {
                return PartEnd::CallerGone;
            }
        }
    }

    fn patience(&self) -> Span {
        self.target_gap
            .map_or(SILENT_UNSTATED, |p| Span(p.0 * SILENT_PAUSES))
    }

    /// A place on another upstream than `key`, when one is free at once and the budget allows it.
    async fn other_place(&self, key: UpstreamKey) -> Option<Placement> {
        let mut need = PlacementRequest {
            late: true,
            wait_until: clock::now(),
            ..self.placement_request.clone()
        };
        need.tried.push(key);
        self.allowed_place(need).await
    }

    /// Lets another upstream go on with the stream, first the one on which a place is taken.
    async fn resume(
        &mut self,
        sent: &mut u32,
        mut taken: Option<Placement>,
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
        while *sent < self.max_attempts && unreachable < MAX_UNREACHABLE {
            self.placement_request.late = true;
            self.placement_request.wait_until = (clock::now() + MAX_LATE_WAIT).min(self.deadline);
            let placed = match taken.take() {
                Some(placed) => placed,
                None => self.allowed_place(self.placement_request.clone()).await?,
            };
            let target = placed.target()?;
            let key = placed.key;
            let left = clock::instant(self.deadline);
            let options = AttemptOptions {
                kind: self.kind,
                deadline: self.deadline,
                response_timeout: placed.response_timeout(self.target_latency),
                may_retry: *sent + 1 < self.max_attempts
                    && placed.has_alternative(&self.placement_request.tried),
            };
            let exchange =
                attempt::send(&self.cx, &self.request, &target, &options, &placed, &|| {});
            let result = tokio::select! {
                result = exchange => result,
                () = self.tx.closed() => return None,
                () = tokio::time::sleep_until(left) => return None,
            };
            match result {
                Ok(answer) if answer.head.status.is_success() => {
                    placed.record_first_event();
                    self.log_end("resumed", &target);
                    return Some((answer, placed, target));
                }
                Err(AttemptError::NotSent) => unreachable += 1,
                Err(AttemptError::DeadlineExceeded) => return None,
                Ok(_) => {
                    placed.end(RunOutcome::Error);
                    *sent += 1;
                }
                Err(_) => {
                    placed.end(RunOutcome::Broken);
                    *sent += 1;
                }
            }
            self.placement_request.tried.push(key);
        }
        None
    }

    /// A place for a further sending, when the budget allows one.
    async fn allowed_place(&self, need: PlacementRequest) -> Option<Placement> {
        let wait = self.cx.place(&self.service, need);
        let placed = tokio::select! {
            placed = wait => placed.ok()?,
            () = self.tx.closed() => return None,
        };
        let (_, known) = self.cx.reach();
        let mut board = self.cx.board.borrow_mut();
        let now = clock::now();
        let allowed = board.budget.try_retry(&self.service, known, now);
        drop(board);
        allowed.then_some(placed)
    }
}
