//! Reports between hosts on orders for rollouts, sent beside heartbeats and only while an order runs.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::rollout::{EvidenceReport, RolloutOrder};

use crate::clock;
use crate::rollouts::{self, ServiceRollout};
use crate::state::{Context, SharedState};

/// What a host knows of an order. Encoded by position: the order of the fields is part of the protocol.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RolloutReport {
    order: RolloutOrder,
    /// Revision at which the order was removed.
    removed_at: Option<u64>,
    evidence: EvidenceReport,
}

impl RolloutReport {
    /// Returns whether it comes from another data centre, whose relay sent it.
    pub(crate) fn is_relayed(&self) -> bool {
        self.evidence.is_sum
    }
}

/// Returns this host's reports for the hosts that it sends heartbeats to, if one of them is an update, or if the
/// reports are `full` ones.
pub(crate) fn build_own(cx: &Context, full: bool) -> Vec<RolloutReport> {
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let has_update = std::mem::take(&mut state.rollouts.has_update);
    if !full && !has_update {
        return Vec::new();
    }
    let services = state.rollouts.services.values();
    let active = services.filter(|s| s.rollout.is_active(now));
    active.map(|s| report(s, s.rollout.report(now))).collect()
}

/// Returns the relay's reports for other data centres.
pub(crate) fn build_relayed(state: &SharedState) -> Vec<RolloutReport> {
    let now = clock::now();
    let services = state.rollouts.services.values();
    let active = services.filter(|s| s.rollout.is_active(now));
    active
        .map(|s| report(s, s.rollout.relayed_report(now)))
        .collect()
}

/// Returns reports on all orders, for snapshots.
pub(crate) fn build_all(state: &SharedState) -> Vec<RolloutReport> {
    let now = clock::now();
    let services = state.rollouts.services.values();
    services.map(|s| report(s, s.rollout.report(now))).collect()
}

fn report(s: &ServiceRollout, evidence: EvidenceReport) -> RolloutReport {
    RolloutReport {
        order: s.rollout.order().clone(),
        removed_at: s.removed_at,
        evidence,
    }
}

/// Applies the report of the host at `sender`. Returns this host's own report if that host's order is out of date:
/// it may have been cut off while the order ended or changed.
pub(crate) fn receive(
    cx: &Context,
    sender: IpAddr,
    report: &RolloutReport,
) -> Option<RolloutReport> {
    let service = &report.order.service;
    let source = sender.to_string();
    rollouts::learn(cx, report.order.clone(), report.evidence.age, &source);
    if let Some(removed_at) = report.removed_at {
        rollouts::learn_removal(cx, service, removed_at, &source);
    }
    let now = clock::now();
    let mut state = cx.state.borrow_mut();
    let known = state.rollouts.services.get_mut(service)?;
    if known.rollout.id() == report.evidence.order {
        known.rollout.merge(&report.evidence, now);
    }
    let order = known.rollout.order();
    let is_outdated = known.rollout.id() != report.order.id()
        || order.state() != report.order.state()
        || known.removed_at != report.removed_at;
    let is_older = known.revision() > report.order.revision.max(report.removed_at.unwrap_or(0));
    (is_outdated && is_older && !report.is_relayed())
        .then(|| self::report(known, known.rollout.report(now)))
}
