//! Crashes of upstreams while they run a request, as this host sees them.

use std::rc::Rc;

use stoatjunction_core::entry::crash::{Cause, Crash, CrashedRun};
use stoatjunction_core::time::Time;

use crate::attempt::{UpstreamRequest, UpstreamTarget};
use crate::clock;
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
}

impl SentRequest {
    /// Creates the record of a request that is sent to the upstream with this number now.
    pub(crate) fn new(request: &UpstreamRequest, upstream: u64) -> SentRequest {
        SentRequest {
            causes: request.causes.clone(),
            request_id: request.id_for_log().to_owned(),
            attempt: fastrand::u64(..),
            upstream,
            sent_at: clock::now(),
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

/// Records a crash if the upstream, which has fallen silent, accepts no connection either. One that
/// does is slow or hangs, which says nothing about the request.
pub(crate) async fn check_upstream(cx: &Rc<Context>, sent: &SentRequest, target: &UpstreamTarget) {
    if upstream_connections::open(cx, target).await.is_err() {
        record(cx, sent, target, "silent");
    }
}
