//! Rollouts of software versions: the orders that this host knows, and the gates of the pools that follow from them.
//!
//! Orders come from the store, from messages of other hosts and from snapshots; the newest revision counts. Nothing
//! here happens unless the settings have bounds on rollouts.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use stoatjunction_core::entry::rollout::{
    FleetView, OldRuns, OrderChange, OrderId, Phase, Progress, Reporter, Rollout, RolloutBounds,
    RolloutGate, RolloutOrder, RolloutState, RouteCounts, Verdict,
};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};

use crate::clock;
use crate::followers;
use crate::metrics::label_value;
use crate::state::{Context, SharedState};
use crate::store_watch::{Change, Changes};

/// Interval for evaluating the evidence while an order runs.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// Interval for checking whether any order runs; a new one wakes the task.
const IDLE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The order for a service as this host knows it.
#[derive(Debug)]
pub(crate) struct ServiceRollout {
    pub(crate) rollout: Rollout,
    /// Revision at which the order was removed.
    pub(crate) removed_at: Option<u64>,
    /// Phase and verdict as of the last evaluation.
    phase: Phase,
    pub(crate) verdict: Verdict,
}

impl ServiceRollout {
    /// Returns the revision of the last change of the order, including its removal.
    pub(crate) fn revision(&self) -> u64 {
        self.removed_at
            .unwrap_or_default()
            .max(self.rollout.order().revision)
    }

    fn target(&self) -> SoftwareVersion {
        target_version(self.rollout.order())
    }

    /// Returns the targets of earlier orders that were not completed.
    fn former_targets(&self) -> Vec<SoftwareVersion> {
        let service = &self.rollout.order().service;
        let former = self.rollout.former_targets().iter();
        former
            .map(|target| SoftwareVersion::new(service, target))
            .collect()
    }
}

/// All orders that this host knows.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    bounds: Option<RolloutBounds>,
    reporter: Reporter,
    /// Orders by service.
    pub(crate) services: IndexMap<String, ServiceRollout>,
    /// Revisions of orders that were dropped long after their end, by service.
    dropped: IndexMap<String, u64>,
    /// Versions that were listed while the orders could not be read, by service.
    unread: IndexMap<String, SoftwareVersion>,
    /// This host's runs by service and version.
    pub(crate) runs: IndexMap<(String, SoftwareVersion), OldRuns>,
    /// True if other hosts have to be told before the next full heartbeat.
    pub(crate) has_update: bool,
}

impl Rollouts {
    /// Creates the state of a host that knows no order. Without bounds, it never learns one.
    pub(crate) fn new(bounds: Option<RolloutBounds>, host: &str, dc: &str, boot: u64) -> Rollouts {
        Rollouts {
            bounds,
            reporter: Reporter {
                host: hash::hash_parts(&[host.as_bytes(), &boot.to_le_bytes()]),
                dc: hash::hash_parts(&[dc.as_bytes()]),
            },
            ..Rollouts::default()
        }
    }

    /// Returns whether orders for rollouts are handled at all.
    pub(crate) fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns whether no order runs or has ended lately.
    fn is_idle(&self, now: Time) -> bool {
        let mut services = self.services.values();
        services.all(|s| !s.rollout.is_active(now))
    }

    fn known_revision(&self, service: &str) -> Option<u64> {
        let known = self.services.get(service).map(ServiceRollout::revision);
        known.max(self.dropped.get(service).copied())
    }

    /// Returns this host's runs at other versions than the target.
    fn old_runs(&self, service: &str, target: SoftwareVersion) -> OldRuns {
        let runs = self.runs.iter();
        let old = runs.filter(|((s, version), _)| s == service && *version != target);
        old.fold(OldRuns::default(), |sum, (_, runs)| OldRuns {
            all: sum.all + runs.all,
            non_idempotent: sum.non_idempotent + runs.non_idempotent,
        })
    }
}

/// Returns the target version of an order.
pub(crate) fn target_version(order: &RolloutOrder) -> SoftwareVersion {
    SoftwareVersion::new(&order.service, &order.target)
}

/// Learns a revision of an order that was given `age` ago, as far as the source knows.
pub(crate) fn learn(cx: &Context, order: RolloutOrder, age: Span, source: &str) {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    if learn_order(&mut state.rollouts, order, age, source, now) {
        evaluate(cx, state, now);
        drop(guard);
        announce(cx);
    }
}

/// Applies a revision of an order, and returns whether it is new to this host.
fn learn_order(
    rollouts: &mut Rollouts,
    order: RolloutOrder,
    age: Span,
    source: &str,
    now: Time,
) -> bool {
    let Some(bounds) = rollouts.bounds else {
        return false;
    };
    let service = order.service.clone();
    if rollouts.known_revision(&service) >= Some(order.revision) {
        return false;
    }
    let known = rollouts.services.get_mut(&service);
    // An order that was removed and given again is another one.
    if let Some(known) = known.filter(|k| k.removed_at.is_none()) {
        let change = known.rollout.set_order(order, now);
        log_change(&known.rollout, &change, source);
        if matches!(change, OrderChange::Replaced { .. }) {
            known.verdict = Verdict::Open;
            log_start(&known.rollout, source, now);
        }
        return true;
    }
    let age = age.min(order.duration);
    let rollout = Rollout::new(order, bounds, rollouts.reporter, age, now);
    log_start(&rollout, source, now);
    let service_rollout = ServiceRollout {
        rollout,
        removed_at: None,
        phase: Phase::Closed,
        verdict: Verdict::Open,
    };
    rollouts.services.insert(service, service_rollout);
    true
}

/// Learns that the order for a service was removed at a revision.
pub(crate) fn learn_removal(cx: &Context, service: &str, revision: u64, source: &str) {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    if remove_order(&mut state.rollouts, service, revision, source, now) {
        evaluate(cx, state, now);
        drop(guard);
        announce(cx);
    }
}

fn remove_order(
    rollouts: &mut Rollouts,
    service: &str,
    revision: u64,
    source: &str,
    now: Time,
) -> bool {
    let known = rollouts.services.get_mut(service);
    let Some(known) = known.filter(|k| k.removed_at.is_none() && k.revision() < revision) else {
        return false;
    };
    known.removed_at = Some(revision);
    let change = known.rollout.withdraw(now);
    log_change(&known.rollout, &change, source);
    true
}

/// Replaces the orders by all those in the store, and restores what it has of their progress.
pub(crate) fn replace(cx: &Context, all: Changes) {
    let now = clock::now();
    let mut guard = cx.state.borrow_mut();
    let state = &mut *guard;
    let rollouts = &mut state.rollouts;
    let mut listed = Vec::new();
    let mut fresh = Vec::new();
    let mut has_changed = false;
    for change in all.changes {
        match change {
            Change::Rollout(order) => {
                let service = order.service.clone();
                let before = rollouts.services.get(&service).map(|s| s.rollout.id());
                if learn_order(rollouts, order, Span::ZERO, "store", now) {
                    has_changed = true;
                    let after = rollouts.services.get(&service).map(|s| s.rollout.id());
                    if before != after {
                        fresh.push(service.clone());
                    }
                }
                listed.push(service);
            }
            Change::RolloutProgress(stored) if fresh.contains(&stored.service) => {
                restore(rollouts, &stored.service, &stored.progress, now);
            }
            _ => {}
        }
    }
    let known: Vec<String> = rollouts.services.keys().cloned().collect();
    for service in known.iter().filter(|s| !listed.contains(s)) {
        has_changed |= remove_order(rollouts, service, all.revision, "store", now);
    }
    has_changed |= !rollouts.unread.is_empty();
    rollouts.unread.clear();
    if has_changed {
        evaluate(cx, state, now);
        drop(guard);
        announce(cx);
    }
}

fn restore(rollouts: &mut Rollouts, service: &str, progress: &Progress, now: Time) {
    let Some(known) = rollouts.services.get_mut(service) else {
        return;
    };
    let order = known.rollout.order();
    if order.created != progress.created || order.target != progress.target {
        return;
    }
    let age = progress.age.min(order.duration);
    let progress = Progress {
        age,
        ..progress.clone()
    };
    known.rollout.restore(&progress, now);
    log::info!(
        "event=rollout_restored service={service} target={} age_ms={} responses={} bad={} verdict={}",
        progress.target,
        age.as_millis(),
        progress.answers,
        progress.bad,
        progress.verdict.label()
    );
}

/// Wakes the tasks that evaluate, write and report orders.
fn announce(cx: &Context) {
    cx.state.borrow_mut().rollouts.has_update = true;
    cx.rollout_wakeup.notify_one();
    cx.gossip_wakeup.notify_one();
    cx.decide_waiting();
}

/// Returns the versions among changes of the list of upstreams that their services do not have yet.
pub(crate) fn new_versions(cx: &Context, changes: &Changes) -> Vec<(String, SoftwareVersion)> {
    let state = cx.state.borrow();
    if !state.rollouts.is_enabled() {
        return Vec::new();
    }
    let listed = changes.changes.iter().filter_map(|change| match change {
        Change::Upstream { entry, .. } => entry.listed.as_ref(),
        _ => None,
    });
    let mut versions = Vec::new();
    for l in listed {
        let mut known = state.upstream_list.upstreams();
        let is_known = known.any(|k| k.service == l.service && k.version == l.version);
        let version = (
            l.service.clone(),
            SoftwareVersion::new(&l.service, &l.version),
        );
        if !is_known && !versions.contains(&version) {
            versions.push(version);
        }
    }
    versions
}

/// Records that the orders could not be read before these versions were listed. They get no requests until the
/// orders are known, unless their service has no other version.
pub(crate) fn set_orders_unread(cx: &Context, versions: Vec<(String, SoftwareVersion)>) {
    log::info!(
        "event=rollout_orders_unread services={}",
        versions
            .iter()
            .map(|(service, _)| service.as_str())
            .collect::<Vec<_>>()
            .join("+")
    );
    cx.state.borrow_mut().rollouts.unread.extend(versions);
}

/// Records that the orders are known.
pub(crate) fn set_orders_read(cx: &Context) {
    let mut state = cx.state.borrow_mut();
    if !state.rollouts.unread.is_empty() {
        state.rollouts.unread.clear();
        sync_gates(&mut state, cx.boot);
    }
}

/// Evaluates the evidence of all orders for as long as the daemon runs.
pub(crate) async fn run(cx: Rc<Context>) {
    loop {
        let is_idle = cx.state.borrow().rollouts.is_idle(clock::now());
        match is_idle {
            true => {
                let wakeup = cx.rollout_wakeup.notified();
                let _either = tokio::time::timeout(IDLE_INTERVAL, wakeup).await;
            }
            false => tokio::time::sleep(EVALUATION_INTERVAL).await,
        }
        // Hosts that do not follow the store learn orders from those that do.
        if !cx.state.borrow().rollouts.unread.is_empty() && !followers::must_follow(&cx) {
            set_orders_read(&cx);
        }
        let has_changed = {
            let now = clock::now();
            let mut state = cx.state.borrow_mut();
            drop_ended(&mut state, now);
            evaluate(&cx, &mut state, now)
        };
        if has_changed {
            announce(&cx);
        }
    }
}

/// Drops orders that ended long ago. One that was rolled back stays until it is removed: upstreams of its target may
/// be listed later.
fn drop_ended(state: &mut SharedState, now: Time) {
    let services = state.rollouts.services.iter();
    let ended = services.filter(|(_, s)| {
        let is_completed = s.rollout.order().state() == Some(RolloutState::Completed);
        s.rollout.is_over(now) && (is_completed || s.removed_at.is_some())
    });
    let ended: Vec<(String, u64)> = ended.map(|(n, s)| (n.clone(), s.revision())).collect();
    for (service, revision) in ended {
        log::info!("event=rollout_dropped service={service}");
        state.rollouts.services.shift_remove(&service);
        state.rollouts.dropped.insert(service, revision);
    }
}

/// Evaluates the evidence of all orders, sets the gates, and returns whether other hosts have to be told at once: a
/// phase or a verdict has changed, or something looks wrong in the full phase.
fn evaluate(cx: &Context, state: &mut SharedState, now: Time) -> bool {
    let (heard, known) = match state.has_discovered_hosts(now) {
        true => state.heard_hosts(now),
        false => (0, 1),
    };
    let (mut has_changed, mut has_urgent_report) = (false, false);
    let services: Vec<String> = state.rollouts.services.keys().cloned().collect();
    for service in services {
        let Some(known_rollout) = state.rollouts.services.get(&service) else {
            continue;
        };
        let target = known_rollout.target();
        let pool = state.schedulers.get(&service).map(|s| &s.pool);
        let fleet = FleetView {
            hosts_heard: heard as u32,
            hosts_known: known as u32,
            upstreams: pool.map_or_else(Vec::new, |p| p.rollout_upstreams(target)),
            old_runs: state.rollouts.old_runs(&service, target),
        };
        if let Some(s) = state.rollouts.services.get_mut(&service) {
            s.rollout.set_fleet(fleet, now);
            has_changed |= log_progress(s, now);
            has_urgent_report |= s.rollout.take_urgent_report();
        }
    }
    sync_gates(state, cx.boot);
    has_changed || has_urgent_report
}

/// Sets the gates of the pools to the phases of the orders.
pub(crate) fn sync_gates(state: &mut SharedState, seed: u64) {
    let Some(bounds) = state.rollouts.bounds else {
        return;
    };
    let now = clock::now();
    for (service, scheduler) in &mut state.schedulers {
        let pool = &mut scheduler.pool;
        let known = state.rollouts.services.get(service);
        let unread = state.rollouts.unread.get(service);
        let (order, target, phase, part, barred, canary_share) = match (known, unread) {
            (Some(s), _) => {
                let rollout = &s.rollout;
                (
                    rollout.id(),
                    s.target(),
                    rollout.phase(now),
                    rollout.part().to_vec(),
                    s.former_targets(),
                    rollout.canary_share(),
                )
            }
            (None, Some(version)) => (
                OrderId::default(),
                *version,
                Phase::Closed,
                Vec::new(),
                Vec::new(),
                0.0,
            ),
            (None, _) => {
                pool.set_rollout_gate(None);
                continue;
            }
        };
        if pool.rollout_gate().map(RolloutGate::order) != Some(order) {
            pool.set_rollout_gate(Some(RolloutGate::new(order, target, bounds.share, seed)));
        }
        if let Some(gate) = pool.rollout_gate_mut() {
            gate.set_barred(barred);
            gate.set_canary_share(canary_share);
        }
        pool.set_rollout_phase(phase, &part, now);
    }
}

fn log_start(rollout: &Rollout, source: &str, now: Time) {
    let order = rollout.order();
    log::info!(
        "event=rollout_started service={} target={} duration_ms={} age_ms={} state={} revision={} from={source}",
        order.service,
        order.target,
        order.duration.as_millis(),
        rollout.age(now).as_millis(),
        state_label(order.state()),
        order.revision
    );
}

fn log_change(rollout: &Rollout, change: &OrderChange, source: &str) {
    let order = rollout.order();
    match change {
        OrderChange::None => {}
        OrderChange::Duration { from, to } => log::info!(
            "event=rollout_changed service={} target={} change=duration from_ms={} to_ms={} source={source}",
            order.service,
            order.target,
            from.as_millis(),
            to.as_millis()
        ),
        OrderChange::State(state) => log::info!(
            "event=rollout_changed service={} target={} change=state state={} source={source}",
            order.service,
            order.target,
            state_label(*state)
        ),
        OrderChange::Replaced { former_target } => log::info!(
            "event=rollout_changed service={} target={} change=replaced former_target={former_target} source={source}",
            order.service,
            order.target
        ),
        OrderChange::Withdrawn => log::info!(
            "event=rollout_withdrawn service={} target={} source={source}",
            order.service,
            order.target
        ),
    }
}

/// Logs a new phase and a new verdict with its evidence, and returns whether there is any.
fn log_progress(s: &mut ServiceRollout, now: Time) -> bool {
    let rollout = &s.rollout;
    let order = rollout.order();
    let (phase, verdict) = (rollout.phase(now), rollout.verdict());
    let age_ms = rollout.age(now).as_millis();
    let former_phase = std::mem::replace(&mut s.phase, phase);
    let former_verdict = std::mem::replace(&mut s.verdict, verdict);
    if phase != former_phase {
        log::info!(
            "event=rollout_phase service={} target={} phase={} from={} part={} age_ms={age_ms} reason={}",
            order.service,
            order.target,
            phase_label(phase),
            phase_label(former_phase),
            rollout.part().len(),
            rollout.reason().map_or("-", |r| r.label())
        );
    }
    if verdict != former_verdict {
        let (target, other) = rollout.totals();
        log::info!(
            "event=rollout_verdict service={} target={} verdict={} reason={} age_ms={age_ms} {} {}",
            order.service,
            order.target,
            verdict.label(),
            rollout.reason().map_or("-", |r| r.label()),
            counts_for_log("target", target),
            counts_for_log("other", other)
        );
    }
    phase != former_phase || verdict != former_verdict
}

fn counts_for_log(side: &str, counts: RouteCounts) -> String {
    let RouteCounts {
        responses,
        failures,
        slow,
    } = counts;
    format!("{side}_responses={responses} {side}_failures={failures} {side}_slow={slow}")
}

/// Returns the name of a stored state in logs.
pub(crate) fn state_label(state: Option<RolloutState>) -> &'static str {
    match state {
        None => "none",
        Some(RolloutState::Running) => "running",
        Some(RolloutState::Completed) => "completed",
        Some(RolloutState::RolledBack) => "rolled_back",
    }
}

/// Returns the name of a phase in logs and metrics.
pub(crate) fn phase_label(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "canary",
        Phase::Ramp(_) => "ramp",
        Phase::Full => "full",
        Phase::Completed => "completed",
        Phase::Closed => "closed",
    }
}

/// Returns the present state of all orders for the metrics.
pub(crate) fn gauges(state: &SharedState, now: Time) -> Vec<(String, String)> {
    let services = state.rollouts.services.iter();
    let of_service = |(service, s): (&String, &ServiceRollout)| {
        let phase = phase_label(s.rollout.phase(now));
        let (target, other) = s.rollout.totals();
        let sides = [("target", target), ("other", other)];
        let service = label_value(service);
        let mut all = vec![(
            format!("rollout_phase{{service=\"{service}\",phase=\"{phase}\"}}"),
            "1".to_owned(),
        )];
        for (side, counts) in sides {
            let labels = format!("{{service=\"{service}\",side=\"{side}\"}}");
            let values = [
                ("responses", counts.responses),
                ("failures", counts.failures),
                ("slow", counts.slow),
            ];
            all.extend(
                values.map(|(name, value)| (format!("rollout_{name}{labels}"), value.to_string())),
            );
        }
        all
    };
    services.flat_map(of_service).collect()
}
