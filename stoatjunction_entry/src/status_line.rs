//! A log line at fixed times with what this host holds and has served. Nothing can be logged when a process is killed, so that
//! the last such line has to tell a host that was about to exceed its memory, or served nothing, from a healthy one.

use std::rc::Rc;
use std::time::Duration;

use crate::metrics::EndedRequests;
use crate::state::Context;

/// Interval between two lines.
const INTERVAL: Duration = Duration::from_secs(5);

/// Logs the status for as long as the daemon runs.
pub(crate) async fn run(cx: Rc<Context>) {
    let mut before = cx.metrics.ended();
    loop {
        tokio::time::sleep(INTERVAL).await;
        let now = cx.metrics.ended();
        log_status(&cx, now.since(before));
        before = now;
    }
}

fn log_status(cx: &Context, ended: EndedRequests) {
    let state = cx.state.borrow();
    log::info!(
        "event=status answered={} refused={} other={} in_progress={} callers_open={} bodies_held_bytes={} resident_kb={} \
         version={} upstreams={} is_listed={}",
        ended.answered,
        ended.refused,
        ended.other,
        cx.in_progress.get(),
        cx.callers.count(),
        cx.memory.held(),
        resident_kb().map_or_else(|| "-".to_owned(), |kb| kb.to_string()),
        state.routes.as_ref().map_or(0, |r| r.cfg().version),
        state.upstream_list.upstreams().count(),
        state.has_list,
    );
}

/// Returns the resident memory of the process in kilobytes, if the system tells it.
fn resident_kb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
