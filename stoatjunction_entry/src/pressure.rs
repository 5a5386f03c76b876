//! Measures whether callers of a service ask for more than its upstreams complete.

use stoatjunction_core::entry::queue::Queue;

use crate::clock;
use crate::state::Context;

/// Records a run that was completed.
pub(crate) fn record_completion(cx: &Context, service: &str) {
    let mut state = cx.state.borrow_mut();
    if let Some(scheduler) = state.schedulers.get_mut(service) {
        scheduler.queue.record_completion(clock::now());
    }
}

/// Logs and counts that pressure has begun or ended.
pub(crate) fn log_change(cx: &Context, service: &str, queue: &Queue) {
    let change = if queue.is_under_pressure() {
        "began"
    } else {
        "ended"
    };
    log::info!(
        "event=pressure_{change} service={service} waiting={}",
        queue.len()
    );
    let tags = [("service", service), ("change", change)];
    cx.metrics.count("pressure", &tags);
}
