//! Reports between hosts on upstreams that leave or want a pause, sent beside heartbeats and only while
//! there are any.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::upstream_notices::{NoticeReport, Statement};
use stoatjunction_core::time::Time;

use crate::clock;
use crate::state::{Context, SharedState};

/// The notices that a host knows. Encoded by position: the order of the fields is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct NoticesMessage {
    /// True if it comes from another data centre, whose relay sent it.
    pub(crate) is_relayed: bool,
    notices: Vec<NoticeReport>,
}

/// Returns this host's report for the hosts that it sends heartbeats to, if it is an update, or if the report
/// is a `full` one and there is something to report at all.
pub(crate) fn build_own(cx: &Context, full: bool) -> Option<NoticesMessage> {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let mut has_update = false;
    for scheduler in state.schedulers.values_mut() {
        has_update |= scheduler.pool.notices_mut().take_update();
    }
    let message = build(&state, false, now);
    message.filter(|_| full || has_update)
}

/// Returns the relay's report for other data centres.
pub(crate) fn build_relayed(state: &SharedState) -> Option<NoticesMessage> {
    build(state, true, clock::now())
}

fn build(state: &SharedState, is_relayed: bool, now: Time) -> Option<NoticesMessage> {
    let pools = state.schedulers.values().map(|s| &s.pool);
    let notices = pools.flat_map(|p| p.notices().reports(now, || fastrand::u64(..)));
    let notices: Vec<NoticeReport> = notices.collect();
    (!notices.is_empty()).then_some(NoticesMessage {
        is_relayed,
        notices,
    })
}

/// Applies the report of the host at `sender`.
pub(crate) fn receive(cx: &Context, sender: IpAddr, message: &NoticesMessage) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let state = &mut *state;
    for report in &message.notices {
        let pools = state.schedulers.values_mut().map(|s| &mut s.pool);
        let mut of_pool = pools.filter(|p| p.key_by_number(report.upstream).is_some());
        let Some(pool) = of_pool.next() else {
            state.early_notices.keep(*report, now);
            continue;
        };
        if pool.notices_mut().record_report(report, now) {
            log::info!(
                "event=upstream_notice upstream={} from={sender} leaving={} pause={:?}",
                pool.upstream_id(report.upstream),
                report.leaving_age.is_some(),
                report.pause
            );
        }
    }
}

/// Logs what an upstream stated to this host.
pub(crate) fn log_statement(upstream: &str, statement: Statement) {
    match statement {
        Statement::Leaving => log::info!("event=upstream_leaving upstream={upstream}"),
        Statement::Pause(length) => log::info!(
            "event=upstream_pause upstream={upstream} ms={}",
            length.as_millis()
        ),
    }
}
