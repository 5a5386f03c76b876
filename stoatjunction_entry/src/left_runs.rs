//! Watches upstreams under runs that nobody waits for any more: an upstream that ends under one has crashed under its request.

use std::rc::Rc;

use stoatjunction_core::entry::left_runs::{LeftRun, Look};
use stoatjunction_core::entry::pool::UpstreamKey;

use crate::attempt::UpstreamTarget;
use crate::clock;
use crate::crash::{self, SentRequest};
use crate::state::Context;

/// Watches the upstream until the run's time is up.
pub(crate) fn watch(
    cx: &Rc<Context>,
    run: LeftRun<SentRequest>,
    target: UpstreamTarget,
    key: UpstreamKey,
) {
    let (is_watched, dropped) = {
        let runs = &mut cx.state.borrow_mut().left_runs;
        (runs.has(target.number), runs.add(target.number, run))
    };
    if dropped.is_some() {
        cx.metrics.count("left_runs_unwatched", &[]);
    }
    if is_watched {
        cx.left_runs_wakeup.notify_waiters();
    } else {
        let cx = cx.clone();
        tokio::task::spawn_local(async move { watch_upstream(&cx, &target, key).await });
    }
}

/// Blames the runs that nobody waits for on an upstream that has ended.
pub(crate) fn blame(cx: &Context, target: &UpstreamTarget) {
    let runs = cx.state.borrow_mut().left_runs.take(target.number);
    for left in runs {
        crash::record(cx, &left.run, target, "left");
    }
}

async fn watch_upstream(cx: &Rc<Context>, target: &UpstreamTarget, key: UpstreamKey) {
    let number = target.number;
    loop {
        wait_for_look(cx, number).await;
        if !is_expected_to_stay(cx, target, key) {
            cx.state.borrow_mut().left_runs.take(number);
            return;
        }
        let asked_at = clock::now();
        let last_byte_at = cx.last_byte_at(&target.service, key);
        let look = {
            let runs = &mut cx.state.borrow_mut().left_runs;
            runs.look(number, last_byte_at, asked_at)
        };
        match look {
            Look::Done => return,
            Look::Later => {}
            Look::Ask if crash::has_ended(cx, target).await => return blame(cx, target),
            Look::Ask => cx.state.borrow_mut().left_runs.confirm(number, asked_at),
        }
    }
}

/// Waits until the next look at an upstream is due.
async fn wait_for_look(cx: &Context, upstream: u64) {
    let looked_at = clock::now();
    loop {
        let next = cx.state.borrow().left_runs.next_look(upstream, looked_at);
        tokio::select! {
            () = tokio::time::sleep_until(clock::instant(next)) => return,
            () = cx.left_runs_wakeup.notified() => {}
        }
    }
}

/// Returns whether the same start of the upstream is listed, and does not leave: one that does ends as planned.
fn is_expected_to_stay(cx: &Context, target: &UpstreamTarget, key: UpstreamKey) -> bool {
    let state = cx.state.borrow();
    let scheduler = state.schedulers.get(&target.service);
    scheduler.is_some_and(|s| s.pool.is_staying(key, target.number))
}
