//! The gate of a rollout in a pool: which upstreams requests may go to, by version and by credit.
//!
//! Each host may send to the target version what its own requests have earned, so that the share over all hosts is
//! bounded without any coordination.

use indexmap::IndexMap;

use super::evidence::Side;
use super::order::OrderId;
use super::phase::{OTHERS_LOST_TIME, Phase};
use crate::entry::software_version::SoftwareVersion;
use crate::entry::upstream::Upstream;
use crate::hash;
use crate::time::{Span, Time};

/// Part of the share that requests earn in the canary phase until that phase's own share is set.
const SAFETY_FACTOR: f64 = 0.8;
/// Most requests to the target that a route saves up, so that a target that becomes usable gets no burst.
const MAX_CREDIT: f64 = 2.0;
/// Time after `completed` for which the replaced versions get nothing: they are stopped, and lists may be old.
const REPLACED_TIME: Span = Span::from_millis(10_000);

/// What the start of a run did to the credit, to be undone if the request is not sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateCharge {
    order: OrderId,
    route: u32,
    earned: f64,
    /// Route whose credit was spent.
    spent_on: Option<u32>,
}

/// Which versions of the service are listed.
#[derive(Clone, Copy, Debug, Default)]
struct ListedVersions {
    /// An upstream of the target that does not leave.
    target: bool,
    /// Any upstream of a version that is neither the target nor barred, now or lately.
    other: bool,
}

/// Gate of a rollout.
#[derive(Clone, Debug)]
pub struct RolloutGate {
    order: OrderId,
    canary_share: f64,
    seed: u64,
    target: SoftwareVersion,
    phase: Phase,
    part: Vec<u64>,
    /// Targets of earlier orders that were not completed.
    barred: Vec<SoftwareVersion>,
    /// Versions that were listed when the order was completed, and the time; none if not known.
    replaced: Option<(Vec<SoftwareVersion>, Time)>,
    listed: ListedVersions,
    /// Time at which an upstream of another version was listed last.
    others_listed_at: Option<Time>,
    /// Requests to the target that each route may send.
    credit: IndexMap<u32, f64>,
    /// Time of the latest run.
    latest_start: Time,
}

impl RolloutGate {
    /// Creates the gate of an order, closed for `target`. `share` is the one of the bounds; `seed` differs between
    /// hosts and their starts.
    pub fn new(order: OrderId, target: SoftwareVersion, share: f64, seed: u64) -> RolloutGate {
        RolloutGate {
            order,
            canary_share: SAFETY_FACTOR * share,
            seed,
            target,
            phase: Phase::Closed,
            part: Vec::new(),
            barred: Vec::new(),
            replaced: None,
            listed: ListedVersions::default(),
            others_listed_at: None,
            credit: IndexMap::new(),
            latest_start: Time::default(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> OrderId {
        self.order
    }

    /// Returns the target version.
    pub fn target(&self) -> SoftwareVersion {
        self.target
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Sets the phase, and the numbers of the target's upstreams that get requests in the canary phase. A pool calls
    /// it by [`crate::entry::pool::Pool::set_rollout_phase`], which also knows the versions that are replaced.
    pub fn set_phase(&mut self, target: SoftwareVersion, phase: Phase, part: &[u64]) {
        self.target = target;
        self.phase = phase;
        self.part = part.to_vec();
        if phase != Phase::Completed {
            self.replaced = None;
        }
    }

    /// Sets the share of the requests that the target gets in the canary phase.
    pub fn set_canary_share(&mut self, share: f64) {
        self.canary_share = share;
    }

    /// Sets the targets of earlier orders that were not completed. They get nothing while another version is listed.
    pub fn set_barred(&mut self, mut barred: Vec<SoftwareVersion>) {
        barred.retain(|v| *v != self.target);
        self.barred = barred;
    }

    /// Returns the side that a version is on.
    pub fn side(&self, version: SoftwareVersion) -> Side {
        match version == self.target {
            true => Side::Target,
            false => Side::Other,
        }
    }

    /// Updates which versions are listed: the version of each upstream, and whether it leaves.
    pub(in crate::entry) fn set_listed(
        &mut self,
        upstreams: &[(SoftwareVersion, bool)],
        now: Time,
    ) {
        let is_other = |v: SoftwareVersion| v != self.target && !self.barred.contains(&v);
        if upstreams.iter().any(|(v, _)| is_other(*v)) {
            self.others_listed_at = Some(now);
        }
        let others_listed = self
            .others_listed_at
            .is_some_and(|at| now.since(at) < OTHERS_LOST_TIME);
        self.listed = ListedVersions {
            target: upstreams
                .iter()
                .any(|(v, leaves)| *v == self.target && !leaves),
            other: others_listed,
        };
        if self.phase == Phase::Completed && self.replaced.is_none() {
            let versions = upstreams.iter().map(|(v, _)| *v);
            let versions = versions.filter(|v| *v != self.target);
            self.replaced = Some((versions.collect(), now));
        }
    }

    /// Returns whether a request of the route, which no stream binds to a version, may be sent to the upstream at this
    /// time.
    pub(in crate::entry) fn admits_at(&self, route: u32, upstream: &Upstream, now: Time) -> bool {
        self.admits_any(upstream, now)
            && (self.is_free(upstream.version) || self.credit(route) >= 1.0)
    }

    /// Returns whether requests of some route, which no stream binds to a version, may be sent to the upstream.
    pub(in crate::entry) fn admits_any(&self, upstream: &Upstream, now: Time) -> bool {
        let version = upstream.version;
        if version == self.target {
            return match self.phase {
                Phase::Canary => !self.listed.other || self.part.contains(&upstream.number),
                Phase::Closed => !self.listed.other,
                Phase::Ramp(_) | Phase::Full | Phase::Completed => true,
            };
        }
        if self.barred.contains(&version) {
            return !self.listed.other && !self.listed.target;
        }
        match self.phase {
            Phase::Canary | Phase::Ramp(_) | Phase::Closed => true,
            Phase::Full => !self.listed.target,
            Phase::Completed => !self.listed.target || !self.is_replaced(version, now),
        }
    }

    /// Returns whether a request that continues a stream of the upstream's version may be sent to it. It may use the
    /// credit of other routes, and any upstream of the target.
    pub(in crate::entry) fn admits_bound(&self, upstream: &Upstream, now: Time) -> bool {
        let version = upstream.version;
        if version == self.target {
            return match self.phase {
                Phase::Closed => !self.listed.other,
                _ => self.is_free(version) || self.route_with_credit().is_some(),
            };
        }
        if self.barred.contains(&version) {
            return !self.listed.other && !self.listed.target;
        }
        self.phase != Phase::Completed || !self.is_replaced(version, now)
    }

    /// Returns whether a request that is bound to this version only lacks the credit to go there.
    pub(in crate::entry) fn lacks_credit(&self, version: SoftwareVersion) -> bool {
        let by_credit = matches!(self.phase, Phase::Canary | Phase::Ramp(_));
        version == self.target
            && by_credit
            && self.listed.target
            && !self.is_free(version)
            && self.route_with_credit().is_none()
    }

    /// Returns whether the upstream is preferred for requests that have credit: it is of the target, which has to be
    /// observed.
    pub(in crate::entry) fn prefers(&self, upstream: &Upstream) -> bool {
        let by_credit = matches!(self.phase, Phase::Canary | Phase::Ramp(_));
        by_credit && upstream.version == self.target && !self.is_free(upstream.version)
    }

    /// Returns whether requests go to this version without credit.
    fn is_free(&self, version: SoftwareVersion) -> bool {
        let needs_credit = matches!(self.phase, Phase::Canary | Phase::Ramp(_));
        version != self.target || !needs_credit || !self.listed.other
    }

    fn is_replaced(&self, version: SoftwareVersion, now: Time) -> bool {
        let Some((versions, at)) = &self.replaced else {
            return true;
        };
        now.since(*at) < REPLACED_TIME && versions.contains(&version)
    }

    /// Returns the requests to the target that a route may send.
    pub(in crate::entry) fn credit(&self, route: u32) -> f64 {
        let drawn = || self.drawn_credit(route);
        self.credit.get(&route).copied().unwrap_or_else(drawn)
    }

    fn route_with_credit(&self) -> Option<u32> {
        let mut routes = self.credit.iter();
        routes.find(|(_, c)| **c >= 1.0).map(|(route, _)| *route)
    }

    /// Returns the credit of a route whose requests have not earned any: drawn so that the expected number of requests
    /// to the target is exactly what is earned. With credit from 0, 300 hosts with 1,000 requests a second on 5 routes
    /// would send nothing within 12 s.
    fn drawn_credit(&self, route: u32) -> f64 {
        let draw = hash::mix(self.seed ^ hash::mix(self.order.0 ^ u64::from(route))) >> 11;
        self.earned() + draw as f64 / (1_u64 << 53) as f64
    }

    /// Returns what a request earns.
    fn earned(&self) -> f64 {
        match self.phase {
            Phase::Ramp(share) => share,
            _ => self.canary_share,
        }
    }

    /// Records the time of a run.
    pub(in crate::entry) fn record_time(&mut self, now: Time) {
        self.latest_start = now;
    }

    /// Returns the time of the latest run.
    pub(in crate::entry) fn latest_start(&self) -> Time {
        self.latest_start
    }

    /// Records the start of a run: every request earns credit while the target can be used, and one that goes there
    /// spends credit, that of another route if its own lacks it.
    pub fn record_start(&mut self, route: u32, side: Side) -> GateCharge {
        let by_credit = matches!(self.phase, Phase::Canary | Phase::Ramp(_));
        let is_counted = by_credit && self.listed.target && self.listed.other;
        if !is_counted {
            return GateCharge {
                order: self.order,
                route,
                earned: 0.0,
                spent_on: None,
            };
        }
        let own = self.credit(route);
        let spent_on = (side == Side::Target).then(|| match own >= 1.0 {
            true => route,
            false => self.route_with_credit().unwrap_or(route),
        });
        let earned = self.earned();
        self.credit.insert(route, (own + earned).min(MAX_CREDIT));
        if let Some(credit) = spent_on.and_then(|route| self.credit.get_mut(&route)) {
            *credit -= 1.0;
        }
        GateCharge {
            order: self.order,
            route,
            earned,
            spent_on,
        }
    }

    /// Undoes the start of a run whose request was not sent.
    pub fn refund(&mut self, charge: GateCharge) {
        if charge.order != self.order {
            return;
        }
        if let Some(credit) = self.credit.get_mut(&charge.route) {
            *credit -= charge.earned;
        }
        if let Some(route) = charge.spent_on
            && let Some(credit) = self.credit.get_mut(&route)
        {
            *credit = (*credit + 1.0).min(MAX_CREDIT);
        }
    }

    /// Takes over the credit of the gate that this one replaces, if that is of the same order.
    pub(in crate::entry) fn take_over(&mut self, former: RolloutGate) {
        if former.order == self.order {
            self.credit = former.credit;
            self.replaced = former.replaced;
            self.latest_start = former.latest_start;
            self.others_listed_at = self.others_listed_at.max(former.others_listed_at);
        }
    }
}
