//! Reports between hosts on the limits that upstreams name, and on what was sent to these upstreams.
//! They are sent beside heartbeats, and only while an upstream names a limit.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::rate_limiter::{Reporter, UsageReport};
use stoatjunction_core::entry::upstream_limits::{LimitReport, SendingHost};
use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::relay::{self, host_number};
use crate::state::{Context, SharedState};

/// What a host, or the relay of a data centre for all of its hosts, reports. Encoded by position: the
/// order of the fields is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LimitsMessage {
    /// Number of the host's boot; its complement when it reports as a relay.
    reporter: u64,
    /// Hosts that the usage is that of.
    hosts: u32,
    is_relayed: bool,
    limits: Vec<LimitReport>,
    usage: Vec<UsageReport>,
}

/// Returns this host's own report if it is an update, or if the report is a `full` one and there is something
/// to report at all.
pub(crate) fn build_own(cx: &Context, full: bool) -> Option<LimitsMessage> {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let mut has_update = false;
    for scheduler in state.schedulers.values_mut() {
        has_update |= scheduler.pool.limits_mut().take_update();
    }
    if !full && !has_update {
        return None;
    }
    let pools = state.schedulers.values().map(|s| &s.pool);
    let usage = pools.flat_map(|p| p.limits().own_usage(now)).collect();
    let limits = limit_reports(&state, now);
    let message = LimitsMessage {
        reporter: cx.boot,
        hosts: 1,
        is_relayed: false,
        limits,
        usage,
    };
    (!message.is_empty()).then_some(message)
}

/// Returns the report of this data centre's hosts for the other data centres, unless there is nothing
/// to report.
pub(crate) fn build_relayed(cx: &Context, state: &SharedState) -> Option<LimitsMessage> {
    let now = clock::now();
    let pools = state.schedulers.values().map(|s| &s.pool);
    let message = LimitsMessage {
        reporter: !cx.boot,
        hosts: relay::reachable_local_hosts(cx, state),
        is_relayed: true,
        limits: limit_reports(state, now),
        usage: pools.flat_map(|p| p.limits().nearby_usage(now)).collect(),
    };
    (!message.is_empty()).then_some(message)
}

impl LimitsMessage {
    fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.usage.is_empty()
    }

    /// Returns whether the relay of a data centre passes the message on there.
    pub(crate) fn is_relayed(&self) -> bool {
        self.is_relayed
    }
}

fn limit_reports(state: &SharedState, now: Time) -> Vec<LimitReport> {
    let pools = state.schedulers.values().map(|s| &s.pool);
    let reports = pools.flat_map(|p| p.limits().reports(now, || fastrand::u64(..)));
    reports.collect()
}

/// Applies the report of the host at `sender`.
pub(crate) fn receive(cx: &Context, sender: IpAddr, message: &LimitsMessage) {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let reporter = Reporter {
        id: message.reporter,
        hosts: message.hosts,
        reported_at: now,
    };
    for scheduler in state.schedulers.values_mut() {
        let pool = &mut scheduler.pool;
        for report in &message.limits {
            let stated_at = now.saturating_sub(Span::from_millis(report.age));
            if pool.record_limit(report.upstream, report.rate, stated_at, now) {
                log_limit(pool.upstream_id(report.upstream), report.rate, Some(sender));
            }
        }
        let is_of_pool = |u: &&UsageReport| pool.key_by_number(u.subject).is_some();
        let usage: Vec<UsageReport> = message.usage.iter().filter(is_of_pool).copied().collect();
        // A report without usage shows that the host is reachable and used nothing.
        if usage.is_empty() && pool.limits().count() == 0 {
            continue;
        }
        if message.is_relayed {
            pool.limits_mut()
                .record_relayed_usage(reporter, &usage, now);
        } else {
            pool.limits_mut().record_usage(reporter, &usage, now);
        }
    }
}

/// Logs that the limit of an upstream has changed, as stated to this host or to the one at `reported_by`.
pub(crate) fn log_limit(upstream: &str, rate: Option<f64>, reported_by: Option<IpAddr>) {
    let rate = rate.map_or("none".to_owned(), |r| format!("{r:.2}"));
    let from = reported_by.map_or("upstream".to_owned(), |ip| ip.to_string());
    log::info!("event=upstream_limit upstream={upstream} per_s={rate} from={from}");
}

/// Tells all pools which hosts are reachable, since these share the limits of upstreams.
pub(crate) fn update_hosts(cx: &Context, state: &mut SharedState, now: Time) {
    let own = SendingHost {
        number: host_number(cx.settings.ip),
        dc: cx.settings.dc.clone(),
    };
    let peers = state.peers.iter().filter(|(_, p)| !p.leaving);
    let mut others: Vec<SendingHost> = peers
        .filter(|(_, p)| !state.is_unreachable(p, now))
        .map(|(ip, p)| SendingHost {
            number: host_number(*ip),
            dc: p.dc.clone(),
        })
        .collect();
    others.sort_unstable_by_key(|h| h.number);
    for scheduler in state.schedulers.values_mut() {
        let pool = &mut scheduler.pool;
        pool.limits_mut().set_hosts(own.clone(), others.clone());
        pool.expire_statements(now);
    }
}
