//! Totals of all hosts during a rollout. They are merged by maximum, so that reports may be lost, duplicated or
//! reordered, and those of hosts that are gone stay.

use indexmap::IndexMap;

use super::evidence::{
    EvidenceReport, OldRuns, Reporter, RouteCounts, RouteEvidence, Side, UnansweredRuns,
};
use super::moment::Moment;
use crate::time::{Span, Time};

/// Age at which a report says nothing of the present any more.
const REPORT_TTL: Span = Span::from_millis(2_000);
/// Most rows of a report, so that it fits into a datagram.
const MAX_ROWS: usize = 240;
/// Most upstreams without responses in a report.
const MAX_UNANSWERED: usize = 64;

/// Totals of one host or of one data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct Totals {
    counts: IndexMap<u32, RouteEvidence>,
    unanswered: IndexMap<(Side, u32), u64>,
}

/// What another host or a relay reported last.
#[derive(Clone, Debug, Default)]
struct Reported {
    totals: Totals,
    sequence: u64,
    heard_at: Time,
    old_runs: OldRuns,
    started_at: Moment,
}

/// Totals of this host and of all others.
#[derive(Clone, Debug)]
pub(super) struct FleetTotals {
    own: Reporter,
    own_totals: Totals,
    hosts: IndexMap<Reporter, Reported>,
    /// Sums of data centres, as their relays reported them.
    sums: IndexMap<u64, Reported>,
    /// Sums of the totals of the hosts by data centre, this host included.
    hosts_by_dc: IndexMap<u64, Totals>,
}

impl Totals {
    /// Returns the counts of one side under this key, to change them.
    pub(super) fn counts_mut(&mut self, key: u32, side: Side) -> &mut RouteCounts {
        let row = self.counts.entry(key).or_insert(RouteEvidence {
            route: key,
            ..RouteEvidence::default()
        });
        match side {
            Side::Target => &mut row.target,
            Side::Other => &mut row.other,
        }
    }

    /// Iterates over the counts.
    pub(super) fn rows(&self) -> impl Iterator<Item = &RouteEvidence> {
        self.counts.values()
    }

    /// Iterates over the upstreams with runs without a response.
    pub(super) fn unanswered(&self) -> impl Iterator<Item = UnansweredRuns> {
        let all = self.unanswered.iter();
        all.map(|((side, upstream), times)| UnansweredRuns {
            side: *side,
            upstream: *upstream,
            times: *times,
        })
    }

    /// Records that a run at an upstream had no response in the time slot `slot`.
    pub(super) fn record_unanswered(&mut self, side: Side, upstream: u32, slot: u32) {
        *self.unanswered.entry((side, upstream)).or_default() |= 1 << slot.min(u64::BITS - 1);
    }

    /// Returns the sums over all rows, of the target version and of the others.
    pub(super) fn sums(&self) -> (RouteCounts, RouteCounts) {
        let mut sums = (RouteCounts::default(), RouteCounts::default());
        for row in self.rows() {
            add(&mut sums.0, &row.target);
            add(&mut sums.1, &row.other);
        }
        sums
    }

    fn combine(&mut self, other: &Totals, combine: fn(&mut RouteCounts, &RouteCounts)) {
        for row in other.rows() {
            combine(self.counts_mut(row.route, Side::Target), &row.target);
            combine(self.counts_mut(row.route, Side::Other), &row.other);
        }
        for (key, times) in &other.unanswered {
            *self.unanswered.entry(*key).or_default() |= times;
        }
    }
}

impl FleetTotals {
    /// Creates empty totals of the host `own`.
    pub(super) fn new(own: Reporter) -> FleetTotals {
        FleetTotals {
            own,
            own_totals: Totals::default(),
            hosts: IndexMap::new(),
            sums: IndexMap::new(),
            hosts_by_dc: IndexMap::new(),
        }
    }

    /// Returns the reporter of this host.
    pub(super) fn reporter(&self) -> Reporter {
        self.own
    }

    /// Records a response at this host.
    pub(super) fn record(&mut self, key: u32, side: Side, response: RouteCounts) {
        let sum = self.hosts_by_dc.entry(self.own.dc).or_default();
        for totals in [&mut self.own_totals, sum] {
            add(totals.counts_mut(key, side), &response);
        }
    }

    /// Records that a run of this host had no response in the time slot `slot`.
    pub(super) fn record_unanswered(&mut self, side: Side, upstream: u32, slot: u32) {
        let sum = self.hosts_by_dc.entry(self.own.dc).or_default();
        for totals in [&mut self.own_totals, sum] {
            totals.record_unanswered(side, upstream, slot);
        }
    }

    /// Merges a report of another host or of a relay. The sum of this host's own data centre is merged as well, so
    /// that a later relay goes on from it.
    pub(super) fn merge(&mut self, report: &EvidenceReport, now: Time) {
        if report.reporter == self.own {
            return;
        }
        let reported = match report.is_sum {
            true => self.sums.entry(report.reporter.dc).or_default(),
            false => self.hosts.entry(report.reporter).or_default(),
        };
        let hosts_sum = self.hosts_by_dc.entry(report.reporter.dc).or_default();
        for row in &report.counts {
            for (side, counts) in [(Side::Target, &row.target), (Side::Other, &row.other)] {
                let known = reported.totals.counts_mut(row.route, side);
                if !report.is_sum {
                    add(
                        hosts_sum.counts_mut(row.route, side),
                        &increase(known, counts),
                    );
                }
                max(known, counts);
            }
        }
        for u in &report.unanswered {
            let key = (u.side, u.upstream);
            *reported.totals.unanswered.entry(key).or_default() |= u.times;
            if !report.is_sum {
                *hosts_sum.unanswered.entry(key).or_default() |= u.times;
            }
        }
        // A later relay of the same data centre may have another clock.
        let is_late = report.sequence < reported.sequence && !report.is_sum;
        if !is_late {
            reported.sequence = report.sequence;
            reported.heard_at = now;
            reported.old_runs = report.old_runs;
            reported.started_at = Moment::before(now, report.age);
        }
    }

    /// Returns the totals of a data centre: the sum of its hosts, or that of its relay where it is higher.
    fn data_centre(&self, dc: u64) -> Totals {
        let mut totals = self.hosts_by_dc.get(&dc).cloned().unwrap_or_default();
        if let Some(sum) = self.sums.get(&dc) {
            totals.combine(&sum.totals, max);
        }
        totals
    }

    /// Returns the totals of all hosts.
    pub(super) fn fleet(&self) -> Totals {
        let mut totals = Totals::default();
        for dc in self.hosts_by_dc.keys() {
            totals.combine(&self.data_centre(*dc), add);
        }
        totals
    }

    /// Returns the runs at the old version at the other hosts that were heard of lately. Where both a relay and hosts
    /// of a data centre report, the higher number counts.
    pub(super) fn old_runs(&self, own: OldRuns, now: Time) -> OldRuns {
        let mut by_dc: IndexMap<u64, OldRuns> = IndexMap::new();
        by_dc.insert(self.own.dc, own);
        for (reporter, host) in self.hosts.iter().filter(|(_, h)| h.is_fresh(now)) {
            let runs = by_dc.entry(reporter.dc).or_default();
            runs.all = runs.all.saturating_add(host.old_runs.all);
            let calls = host.old_runs.non_idempotent;
            runs.non_idempotent = runs.non_idempotent.saturating_add(calls);
        }
        let others = self.sums.iter().filter(|(dc, _)| **dc != self.own.dc);
        for (dc, sum) in others.filter(|(_, s)| s.is_fresh(now)) {
            let runs = by_dc.entry(*dc).or_default();
            runs.all = runs.all.max(sum.old_runs.all);
            runs.non_idempotent = runs.non_idempotent.max(sum.old_runs.non_idempotent);
        }
        let mut all = OldRuns::default();
        for runs in by_dc.values() {
            all.all = all.all.saturating_add(runs.all);
            all.non_idempotent = all.non_idempotent.saturating_add(runs.non_idempotent);
        }
        all
    }

    /// Returns the runs at the old version at the hosts of this host's data centre.
    fn old_runs_here(&self, own: OldRuns, now: Time) -> OldRuns {
        let mut all = own;
        let hosts = self.hosts.iter();
        let hosts = hosts.filter(|(r, h)| r.dc == self.own.dc && h.is_fresh(now));
        for (_, host) in hosts {
            all.all = all.all.saturating_add(host.old_runs.all);
            all.non_idempotent = all
                .non_idempotent
                .saturating_add(host.old_runs.non_idempotent);
        }
        all
    }

    /// Returns the start of the order as most of the hosts that were heard of lately have it, this one included. Of two
    /// starts the earlier one is taken: a host that has just started may not know the age.
    pub(super) fn usual_start(&self, own: Moment, now: Time) -> (Moment, usize) {
        let reported = self.hosts.values().chain(self.sums.values());
        let reported = reported.filter(|h| h.is_fresh(now)).map(|h| h.started_at);
        let mut starts: Vec<Moment> = reported.chain([own]).collect();
        starts.sort_unstable();
        (starts[(starts.len() - 1) / 2], starts.len())
    }

    /// Returns the rows and upstreams to report: of this host, or of its whole data centre.
    pub(super) fn reported(
        &self,
        is_sum: bool,
        own_runs: OldRuns,
        now: Time,
    ) -> (Vec<RouteEvidence>, Vec<UnansweredRuns>, OldRuns) {
        let summed = is_sum.then(|| self.data_centre(self.own.dc));
        let totals = summed.as_ref().unwrap_or(&self.own_totals);
        let old_runs = match is_sum {
            true => self.old_runs_here(own_runs, now),
            false => own_runs,
        };
        // Others keep the earliest rows of former reports.
        let earliest = totals.counts.len().saturating_sub(MAX_ROWS);
        let rows = totals.rows().copied().skip(earliest).collect();
        let mut unanswered: Vec<UnansweredRuns> = totals.unanswered().collect();
        unanswered.sort_by_key(|u| u.side != Side::Target);
        unanswered.truncate(MAX_UNANSWERED);
        (rows, unanswered, old_runs)
    }
}

impl Reported {
    fn is_fresh(&self, now: Time) -> bool {
        now.since(self.heard_at) < REPORT_TTL
    }
}

fn add(to: &mut RouteCounts, counts: &RouteCounts) {
    to.responses = to.responses.saturating_add(counts.responses);
    to.failures = to.failures.saturating_add(counts.failures);
    to.slow = to.slow.saturating_add(counts.slow);
}

fn increase(from: &RouteCounts, to: &RouteCounts) -> RouteCounts {
    RouteCounts {
        responses: to.responses.saturating_sub(from.responses),
        failures: to.failures.saturating_sub(from.failures),
        slow: to.slow.saturating_sub(from.slow),
    }
}

fn max(to: &mut RouteCounts, counts: &RouteCounts) {
    to.responses = to.responses.max(counts.responses);
    to.failures = to.failures.max(counts.failures);
    to.slow = to.slow.max(counts.slow);
}
