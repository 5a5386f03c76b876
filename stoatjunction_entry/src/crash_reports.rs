//! Reports between hosts on what crashes upstreams.
//!
//! A new crash travels with the next heartbeats. These reports repeat what is known, so that a host that
//! missed them, since it was starting, frozen, cut off or in another data centre, learns it from any host
//! that knows: in a large fleet relays exchange reports, and whoever receives one passes it on.

use std::net::IpAddr;

use stoatjunction_core::entry::crash::CrashReport;
use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::heartbeat;
use crate::relay;
use crate::state::{Context, SharedState};

/// Interval at which hosts repeat what they know.
const REPEAT_INTERVAL: Span = Span::from_millis(1_000);
/// Hosts to which it is repeated each time, chosen at random. A report reaches all of a data centre of
/// 100 hosts in about four intervals, and mostly in one, since all hosts repeat it.
const REPEAT_RECEIVERS: usize = 3;
/// Causes in one message, which has to fit a datagram.
const MAX_REPORTS: usize = 16;
/// Crashes in one message, for the same reason.
const MAX_REPORTED_CRASHES: usize = 64;

/// When reports were last sent.
#[derive(Debug, Default)]
pub(crate) struct CrashReporter {
    repeated_at: Time,
}

impl CrashReporter {
    /// Returns the reports to send now and their receivers out of `known`, the hosts that get this
    /// host's heartbeats. Updates, and anything while a host is new, go to all of them.
    pub(crate) fn next(
        &mut self,
        cx: &Context,
        mut known: Vec<IpAddr>,
        has_new_host: bool,
    ) -> Option<(Vec<CrashReport>, Vec<IpAddr>)> {
        let now = clock::now();
        let mut state = cx.state.borrow_mut();
        let has_update = state.crash_causes.take_update();
        let is_due = now.since(self.repeated_at) >= REPEAT_INTERVAL;
        if !has_update && !has_new_host && !is_due {
            return None;
        }
        if is_due {
            self.repeated_at = now;
            state.crash_causes.expire(now);
        }
        if !has_update && !has_new_host {
            fastrand::shuffle(&mut known);
            known.truncate(REPEAT_RECEIVERS);
        }
        let draw = || fastrand::u64(..);
        let mut reports = state.crash_causes.reports(MAX_REPORTS, now, draw);
        let mut crashes = 0;
        reports.retain(|r| {
            crashes += r.crashes.len();
            crashes <= MAX_REPORTED_CRASHES
        });
        known.extend(remote_receivers(cx, &state));
        (!reports.is_empty()).then_some((reports, known))
    }
}

/// Returns the hosts of other data centres that this host reports to as the relay of a large fleet.
fn remote_receivers(cx: &Context, state: &SharedState) -> Vec<IpAddr> {
    if !state.has_many_hosts() || !relay::is_relay(cx, state) {
        return Vec::new();
    }
    relay::receivers(cx, state)
}

/// Merges the reports of the host at `sender`.
pub(crate) fn receive(cx: &Context, sender: IpAddr, reports: &[CrashReport]) {
    let mut state = cx.state.borrow_mut();
    for report in reports {
        heartbeat::merge_crashes(&mut state, sender, report);
    }
}
