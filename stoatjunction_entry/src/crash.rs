//! Crashes of upstreams while they run a request, as this host sees them.

use stoatjunction_core::entry::poison_requests::Crash;

use crate::attempt::UpstreamTarget;
use crate::clock;
use crate::connection_pool;
use crate::state::Context;

/// Number of heartbeats that report a crash.
const CRASH_REPORT_COUNT: u8 = 3;

/// Records a crash and has it reported to the other hosts and stored.
pub(crate) fn record(
    cx: &Context,
    crash: Crash,
    target: &UpstreamTarget,
    request_id: &str,
    end: &str,
) {
    let mut state = cx.state.borrow_mut();
    let is_new = state.poison_requests.record_crash(crash, clock::now());
    let crashes = state.poison_requests.crash_count(crash.fingerprint);
    log::info!(
        "event=crash_recorded request={request_id} fingerprint={:016x} upstream={} end={end} new={is_new} crashes={crashes}",
        crash.fingerprint,
        target.id
    );
    if is_new {
        let report = (crash, CRASH_REPORT_COUNT);
        state.pending_updates.crashes.push(report);
    }
    drop(state);
    cx.metrics.count("crashes", &[("end", end)]);
    cx.gossip_wakeup.notify_one();
    cx.crash_wakeup.notify_one();
}

/// Records a crash if the upstream, which has fallen silent, accepts no connection either. One that
/// does is slow or hangs, which says nothing about the request.
pub(crate) async fn check_upstream(
    cx: &Context,
    crash: Crash,
    target: &UpstreamTarget,
    request_id: &str,
) {
    if connection_pool::open(&target.addr).await.is_err() {
        record(cx, crash, target, request_id, "silent");
    }
}
