//! Learned capacity of the upstreams of a pool: what upstreams and other hosts state, and what is told to others.

use super::capacity::{LearnedNumber, LoadStatement, ObservedRun};
use super::placement::MAX_PEER_WAITING_AGE;
use super::placement_request::{LATE_PRECEDENCE, PlacementRequest, Precedence};
use super::pool::{Pool, UpstreamKey};
use super::upstream::Upstream;
use crate::time::{Span, Time};

/// Time for which a changed learned number is reported in every heartbeat.
const CHANGE_REPORT_TIME: Span = Span::from_millis(600);
/// Time before its due time at which an urgent request may use slots beyond the learned number.
const URGENT_MARGIN: Span = Span::from_millis(50);

/// Learned number of an upstream in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityReport {
    /// Number of the upstream.
    pub upstream: u64,
    /// What was learned.
    pub learned: LearnedNumber,
}

/// Stated pace of an upstream in messages between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// Number of the upstream.
    pub upstream: u64,
    /// The pace.
    pub pace: u32,
    /// Time since it was stated.
    pub age: Span,
}

/// Learned capacity of all upstreams of a pool that state a pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Number of these upstreams.
    pub upstreams: u32,
    /// Sum of their learned numbers.
    pub runs: u32,
    /// Lowest learned number.
    pub lowest_runs: u32,
    /// Sum of the paces that apply to them.
    pub pace: f64,
    /// Lowest pace.
    pub lowest_pace: f64,
    /// Highest pace.
    pub highest_pace: f64,
}

/// A change of a learned number.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityChange {
    /// Id of the upstream.
    pub id: String,
    /// Number before.
    pub before: u32,
    /// Number now.
    pub number: u32,
    /// Listed slots.
    pub listed: u32,
    /// Pace that applies.
    pub pace: f64,
    /// Trust in the stated pace.
    pub trust: f64,
}

impl Pool {
    /// Sets the target latency of the routes that use the service, the lowest of them.
    pub fn set_target_latency(&mut self, target: Option<Span>) {
        self.target_latency = target;
    }

    /// Records what an upstream stated of its load in a response.
    pub fn record_load_statement(
        &mut self,
        key: UpstreamKey,
        statement: &LoadStatement,
        now: Time,
    ) {
        self.record_load_report(key, statement.running, statement.waiting, now);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.capacity.state(statement, now);
        }
    }

    /// Learns from how long a run took.
    pub(super) fn observe_capacity(&mut self, key: UpstreamKey, run: ObservedRun, now: Time) {
        let target_ms = self.target_latency.map(|t| t.as_secs_f64() * 1e3);
        if let Some(upstream) = self.upstreams.get_mut(key) {
            let listed = upstream.listed.slots;
            upstream.capacity.observe(run, listed, target_ms, now);
        }
    }

    /// Returns the learned numbers of upstreams for hosts of the same data centre: those that changed lately, and, for
    /// a `full` report, all that are below the listed slots. The latest changes come first.
    pub fn capacity_reports(&self, full: bool, now: Time) -> Vec<CapacityReport> {
        let local = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.listed.dc == self.dc);
        let reports = local.filter_map(|(_, u)| {
            let learned = u.capacity.report(now)?;
            let is_below = learned.runs < f64::from(u.listed.slots);
            let is_reported = learned.age < CHANGE_REPORT_TIME || (full && is_below);
            is_reported.then_some(CapacityReport {
                upstream: u.number,
                learned,
            })
        });
        let mut reports: Vec<CapacityReport> = reports.collect();
        reports.sort_by_key(|r| r.learned.age);
        reports
    }

    /// Returns the fresh paces of upstreams of the same data centre, the latest first.
    pub fn pace_reports(&self, now: Time) -> Vec<PaceReport> {
        let local = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.listed.dc == self.dc);
        let reports = local.filter_map(|(_, u)| {
            let (pace, age) = u.capacity.pace.fresh(now)?;
            Some(PaceReport {
                upstream: u.number,
                pace,
                age,
            })
        });
        let mut reports: Vec<PaceReport> = reports.collect();
        reports.sort_by_key(|r| r.age);
        reports
    }

    /// Applies what another host has learned. Unknown upstreams are ignored.
    pub fn record_peer_capacity(&mut self, report: &CapacityReport, now: Time) {
        if let Some(upstream) = self.upstream_mut(report.upstream) {
            let listed = upstream.listed.slots;
            upstream.capacity.record_peer(&report.learned, listed, now);
        }
    }

    /// Applies a pace that an upstream stated to another host. Unknown upstreams are ignored.
    pub fn record_peer_pace(&mut self, report: &PaceReport, now: Time) {
        let at = now.saturating_sub(report.age);
        if let Some(upstream) = self.upstream_mut(report.upstream) {
            upstream.capacity.record_peer_pace(report.pace, at);
        }
    }

    fn upstream_mut(&mut self, number: u64) -> Option<&mut Upstream> {
        let key = self.by_number.get(&number)?;
        self.upstreams.get_mut(*key)
    }

    /// Returns the learned capacity of the upstreams that state a pace; `None` if there are none.
    pub fn capacity_summary(&self, now: Time) -> Option<CapacitySummary> {
        let stated = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.capacity.is_stated());
        let mut summary: Option<CapacitySummary> = None;
        for (_, upstream) in stated {
            let (runs, pace) = (upstream.slots(), upstream.capacity.current_pace(now));
            let so_far = summary.unwrap_or(CapacitySummary {
                lowest_runs: u32::MAX,
                lowest_pace: f64::INFINITY,
                ..CapacitySummary::default()
            });
            summary = Some(CapacitySummary {
                upstreams: so_far.upstreams + 1,
                runs: so_far.runs + runs,
                lowest_runs: so_far.lowest_runs.min(runs),
                pace: so_far.pace + pace,
                lowest_pace: so_far.lowest_pace.min(pace),
                highest_pace: so_far.highest_pace.max(pace),
            });
        }
        summary
    }

    /// Returns at most `max` changes of learned numbers that were not returned yet, each upstream at most once a
    /// second.
    pub fn take_capacity_changes(&mut self, max: usize, now: Time) -> Vec<CapacityChange> {
        let stated = self.upstreams.iter_mut();
        let stated = stated.filter(|(_, u)| u.capacity.is_stated());
        let changes = stated.filter_map(|(_, u)| {
            let listed = u.listed.slots;
            let (before, number) = u.capacity.take_change(listed, now)?;
            Some(CapacityChange {
                id: u.listed.id.clone(),
                before,
                number,
                listed,
                pace: u.capacity.current_pace(now),
                trust: u.capacity.pace.trust(),
            })
        });
        changes.take(max).collect()
    }

    /// Returns whether any upstream has a free listed slot beyond its learned number.
    pub(super) fn has_slot_beyond_learned(&self, now: Time) -> bool {
        let mut usable = self.usable(now);
        usable.any(|(_, u)| u.has_slot_beyond_learned(now))
    }

    /// Returns the upstream with a free listed slot beyond its learned number that has the lowest forecast.
    pub(super) fn slot_beyond_learned(
        &self,
        request: &PlacementRequest,
        now: Time,
    ) -> Option<UpstreamKey> {
        let usable = self.usable_of(request.selection(), now);
        let untried = usable.filter(|(key, u)| {
            let is_free = u.has_slot_beyond_learned(now);
            is_free && !request.tried.contains(key) && !u.health.is_half_open()
        });
        let untried = untried
            .filter(|(key, u)| !self.is_being_probed(u, now) && self.has_room(*key, request, now));
        let cost = |key: UpstreamKey, u: &Upstream| {
            let uncached_tokens = self.prompt_cache.uncached_tokens(&request.prompt, key);
            self.forecast_ms(u, uncached_tokens, now)
        };
        let costs = untried.map(|(key, u)| (cost(key, u), key));
        let lowest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        lowest.map(|(_, key)| key)
    }

    /// Returns whether a request may use a listed slot beyond the learned number of its upstream, where its first event
    /// is expected at `first_event`: it is about to miss its target latency and less urgent requests wait.
    pub(super) fn may_exceed_learned(
        &self,
        request: &PlacementRequest,
        first_event: Time,
        now: Time,
    ) -> bool {
        first_event + URGENT_MARGIN >= request.due_at && self.is_urgent(request, now)
    }

    /// Returns whether a request can be in time and less urgent ones wait, here or at other hosts.
    pub(super) fn is_urgent(&self, request: &PlacementRequest, now: Time) -> bool {
        if request.late {
            return false;
        }
        let precedence = request.precedence();
        let is_less_urgent = |p: Precedence| p % LATE_PRECEDENCE > precedence;
        let is_fresh = |at: Time| now.since(at) < MAX_PEER_WAITING_AGE;
        let mut own = self.waiting.iter();
        let mut others = self.peer_waiting.values();
        own.any(|(p, _)| is_less_urgent(*p))
            || others
                .any(|(counts, at)| is_fresh(*at) && counts.iter().any(|(p, _)| is_less_urgent(*p)))
    }
}
