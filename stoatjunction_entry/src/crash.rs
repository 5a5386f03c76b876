//! Crashes of upstreams while they run a request, as this host sees them.

use std::error::Error;
use std::io;
use std::rc::Rc;

use stoatjunction_core::entry::crash::{Cause, Crash, CrashedRun};
use stoatjunction_core::time::Time;
use stoatjunction_net::read_limit::ReadCounter;

use crate::attempt::{UpstreamRequest, UpstreamTarget};
use crate::clock;
use crate::connection_pool::CONNECT_TIMEOUT;
use crate::left_runs;
use crate::state::Context;
use crate::upstream_connections;

/// Number of heartbeats that report a crash.
const CRASH_REPORT_COUNT: u8 = 3;

/// A request that an upstream may be running: what it would have crashed under if it ended.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    causes: Rc<[Cause]>,
    /// Id of the request for log lines.
    request_id: String,
    attempt: u64,
    /// Number of the upstream.
    upstream: u64,
    sent_at: Time,
    connection: UsedConnection,
}

/// The connection over which a request was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsedConnection {
    /// True if it was opened for the request. One that was kept may have been dropped while it was idle, which the
    /// upstream shows by a reset of whatever comes next.
    pub(crate) is_new: bool,
    /// True if it does not lead through another host.
    pub(crate) is_own: bool,
}

/// How a connection broke over which a request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Break {
    /// It was closed before any byte of a response, as when the process ends that has read the request.
    Closed,
    /// It was reset before any byte of a response, as beyond the upstream's connection limit.
    Reset,
    /// It ended within a response, or carried bytes that are not the response to the request.
    InResponse,
}

impl Break {
    /// Returns how a connection broke that failed before the whole head of the response was read.
    pub(crate) fn of(e: &hyper::Error, counter: &ReadCounter) -> Break {
        if e.is_parse() || counter.has_read() {
            return Break::InResponse;
        }
        let source = e.source().and_then(|s| s.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe,
            ) => Break::Reset,
            _ => Break::Closed,
        }
    }

    /// Returns the name in log lines.
    fn label(self) -> &'static str {
        match self {
            Break::Closed => "closed",
            Break::Reset => "reset",
            Break::InResponse => "in_response",
        }
    }
}

impl SentRequest {
    /// Creates the record of a request that is sent to the upstream with this number now.
    pub(crate) fn new(
        request: &UpstreamRequest,
        upstream: u64,
        connection: UsedConnection,
    ) -> SentRequest {
        SentRequest {
            causes: request.causes.clone(),
            request_id: request.id_for_log().to_owned(),
            attempt: fastrand::u64(..),
            upstream,
            sent_at: clock::now(),
            connection,
        }
    }

    /// Returns the connection over which it was sent.
    pub(crate) fn connection(&self) -> UsedConnection {
        self.connection
    }

    /// Returns the record with some of the causes only.
    fn with_causes<F>(&self, is_kept: F) -> SentRequest
    where
        F: Fn(&Cause) -> bool,
    {
        SentRequest {
            causes: self.causes.iter().copied().filter(is_kept).collect(),
            ..self.clone()
        }
    }

    /// Returns the crashes that it is if the upstream has ended: one under each cause.
    fn crashes(&self) -> impl Iterator<Item = Crash> {
        self.causes.iter().map(|cause| Crash {
            cause: *cause,
            attempt: match cause {
                Cause::Request(_) => self.attempt,
                Cause::PromptPart(_) => self.upstream,
            },
        })
    }
}

/// Records a crash and has it reported to the other hosts and stored.
pub(crate) fn record(cx: &Context, sent: &SentRequest, target: &UpstreamTarget, end: &str) {
    let now = clock::now();
    let run = CrashedRun {
        upstream: sent.upstream,
        lasted: now.since(sent.sent_at),
    };
    let mut state = cx.state.borrow_mut();
    for crash in sent.crashes() {
        let is_new = state.crash_causes.record_crash(crash, run, now);
        let crashes = state.crash_causes.crash_count(crash.cause);
        log::log!(
            level(crash.cause, crashes),
            "event=crash_recorded request={} cause={} upstream={} end={end} new={is_new} crashes={crashes}",
            sent.request_id,
            crash.cause,
            target.id
        );
        if is_new {
            let report = (crash, CRASH_REPORT_COUNT);
            state.pending_updates.crashes.push(report);
        }
    }
    drop(state);
    cx.metrics.count("crashes", &[("end", end)]);
    cx.gossip_wakeup.notify_one();
    cx.crash_wakeup.notify_one();
}

/// Returns the level of a log line on a cause with this many crashes. A crash ends all runs of its upstream, so
/// that most parts of prompts see some that they did not cause.
pub(crate) fn level(cause: Cause, crashes: usize) -> log::Level {
    match (cause, crashes) {
        (Cause::PromptPart(_), 0 | 1) => log::Level::Debug,
        (Cause::Request(_) | Cause::PromptPart(_), _) => log::Level::Info,
    }
}

/// Records the crash that a broken connection may be. The request itself is blamed at once if the connection was opened
/// for it and closed without a byte of a response. Otherwise, and for the parts of its prompt, which many requests share,
/// the upstream must have ended. A host that reaches no upstream sees breaks that are no crashes.
pub(crate) async fn record_break(
    cx: &Rc<Context>,
    sent: &SentRequest,
    target: &UpstreamTarget,
    how: Break,
) {
    let is_own = sent.connection.is_own;
    if is_own && !upstream_connections::may_blame(cx, target, sent.sent_at).await {
        log::info!(
            "event=break_not_blamed request={} upstream={} reason=\"no upstream is reached\"",
            sent.request_id,
            target.id
        );
        return;
    }
    let is_request = |cause: &Cause| matches!(cause, Cause::Request(_));
    let doubted = match sent.connection.is_new && how == Break::Closed {
        true => {
            record(cx, &sent.with_causes(is_request), target, "broken");
            sent.with_causes(|cause| !is_request(cause))
        }
        false => sent.clone(),
    };
    // An upstream that has ended may start again as another version, which the check tells all hosts.
    let may_change = {
        let state = cx.state.borrow();
        state.has_versions(&target.service, clock::now())
    };
    if doubted.causes.is_empty() && !may_change {
        return;
    }
    let (cx, target) = (cx.clone(), target.clone());
    let mut check = tokio::task::spawn_local(async move {
        if has_ended(&cx, &target).await {
            left_runs::blame(&cx, &target);
            if !doubted.causes.is_empty() {
                record(&cx, &doubted, &target, "broken");
            }
        } else if !doubted.causes.is_empty() {
            log::info!(
                "event=break_not_blamed request={} upstream={} how={} reason=\"the upstream takes connections\"",
                doubted.request_id,
                target.id,
                how.label()
            );
        }
    });
    // An upstream that ended refuses at once; what takes longer must not hold the request up.
    let _may_go_on = tokio::time::timeout(CONNECT_TIMEOUT, &mut check).await;
}

/// Records a crash if the upstream, which has fallen silent, has ended. One that accepts connections is slow or hangs,
/// which says nothing about the request.
pub(crate) async fn check_upstream(cx: &Rc<Context>, sent: &SentRequest, target: &UpstreamTarget) {
    if has_ended(cx, target).await {
        left_runs::blame(cx, target);
        record(cx, sent, target, "silent");
    }
}

/// Returns whether an upstream accepts no connection, of this host or, while this one is cut off, of another one.
pub(crate) async fn has_ended(cx: &Rc<Context>, target: &UpstreamTarget) -> bool {
    let opened = upstream_connections::open(cx, target).await;
    upstream_connections::is_unaccepted(&opened)
}
