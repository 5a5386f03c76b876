//! State of one service's order on one host.

use indexmap::IndexMap;

use super::evidence::{Reporter, RouteCounts};
use super::moment::Moment;
use super::order::{OrderChange, OrderId, RolloutBounds, RolloutOrder, RolloutState};
use super::phase::FleetView;
use super::totals::FleetTotals;
use super::verdict::{Verdict, VerdictReason};
use crate::time::{Span, Time};

/// Most former targets that are remembered.
const MAX_FORMER_TARGETS: usize = 8;

/// State of one service's order on one host.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub(super) order: RolloutOrder,
    pub(super) bounds: RolloutBounds,
    pub(super) started_at: Moment,
    /// Time at which the age was read from the store, where it depends on wall clocks.
    pub(super) restored_at: Option<Time>,
    pub(super) totals: FleetTotals,
    pub(super) routes: Vec<u32>,
    /// Responses and bad ones of the target before all hosts were lost.
    pub(super) earlier: (u64, u64),
    pub(super) fleet: Option<FleetView>,
    pub(super) part: Vec<u64>,
    pub(super) verdict: Verdict,
    pub(super) reason: Option<VerdictReason>,
    /// True when the time limit has passed before the target carried the load.
    pub(super) is_late: bool,
    /// Time at which an upstream of the target was listed first.
    pub(super) target_seen_at: Option<Time>,
    /// Time at which an upstream of another version was listed last.
    pub(super) others_listed_at: Option<Time>,
    /// Time since which only the target is listed.
    pub(super) alone_since: Option<Time>,
    pub(super) ramp_at: Option<Moment>,
    pub(super) full_at: Option<Time>,
    /// Times from and until which the versions were compared again.
    pub(super) rechecks: Vec<(Time, Time)>,
    /// Whether the first bad response since the last comparison has still to be reported before the next full
    /// heartbeat; `None` while there is no such response.
    pub(super) urgent_report: Option<bool>,
    /// Share of the target in the canary phase, once the rate of the service is known.
    pub(super) raised_canary_share: Option<f64>,
    /// Share of the target while the versions are compared again.
    pub(super) recheck_share: f64,
    /// Counts of the full phase that have been checked.
    pub(super) checked: IndexMap<u32, RouteCounts>,
    /// Time at which the order ended or was withdrawn, as far as this host knows.
    pub(super) ended_at: Option<Time>,
    pub(super) is_withdrawn: bool,
    pub(super) former_targets: Vec<String>,
}

impl Rollout {
    /// Creates the state of an order that was given `age` ago.
    pub fn new(
        order: RolloutOrder,
        bounds: RolloutBounds,
        reporter: Reporter,
        age: Span,
        now: Time,
    ) -> Rollout {
        let mut rollout = Rollout {
            order,
            bounds,
            started_at: Moment::before(now, age),
            restored_at: None,
            totals: FleetTotals::new(reporter),
            routes: Vec::new(),
            earlier: (0, 0),
            fleet: None,
            part: Vec::new(),
            verdict: Verdict::Open,
            reason: None,
            is_late: false,
            target_seen_at: None,
            others_listed_at: None,
            alone_since: None,
            ramp_at: None,
            full_at: None,
            rechecks: Vec::new(),
            urgent_report: None,
            raised_canary_share: None,
            recheck_share: 0.0,
            checked: IndexMap::new(),
            ended_at: None,
            is_withdrawn: false,
            former_targets: Vec::new(),
        };
        rollout.update_end(now);
        rollout
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the identity of the order.
    pub fn id(&self) -> OrderId {
        self.order.id()
    }

    /// Returns the age of the order.
    pub fn age(&self, now: Time) -> Span {
        self.started_at.age(now)
    }

    /// Returns the share of the requests that the target gets in the canary phase, for
    /// [`super::RolloutGate::set_canary_share`].
    pub fn canary_share(&self) -> f64 {
        self.raised_canary_share.unwrap_or(self.shares().canary)
    }

    /// Returns the targets of earlier orders that were not completed, for [`super::RolloutGate::set_barred`].
    pub fn former_targets(&self) -> &[String] {
        &self.former_targets
    }

    /// Updates the order to a newer revision of its object, and returns what that means. An older one is ignored.
    pub fn set_order(&mut self, order: RolloutOrder, now: Time) -> OrderChange {
        let known = (self.order.created, self.order.revision);
        if (order.created, order.revision) <= known {
            return OrderChange::None;
        }
        if order.id() != self.id() {
            return self.replace_order(order, now);
        }
        let former = std::mem::replace(&mut self.order, order);
        self.is_withdrawn = false;
        self.update_end(now);
        if former.state() != self.order.state() {
            return OrderChange::State(self.order.state());
        }
        if former.duration != self.order.duration {
            return OrderChange::Duration {
                from: former.duration,
                to: self.order.duration,
            };
        }
        OrderChange::None
    }

    /// Begins another order. The former target stays closed unless it carries the load.
    pub(super) fn replace_order(&mut self, order: RolloutOrder, now: Time) -> OrderChange {
        let former_target = self.order.target.clone();
        let is_completed = self.order.state() == Some(RolloutState::Completed);
        let mut former_targets = std::mem::take(&mut self.former_targets);
        if !is_completed {
            former_targets.push(former_target.clone());
        }
        former_targets.retain(|t| *t != order.target);
        former_targets.dedup();
        let extra = former_targets.len().saturating_sub(MAX_FORMER_TARGETS);
        former_targets.drain(..extra);
        let reporter = self.totals.reporter();
        *self = Rollout {
            former_targets,
            ..Rollout::new(order, self.bounds, reporter, Span::ZERO, now)
        };
        OrderChange::Replaced { former_target }
    }

    /// Records that the object was removed: the target is closed as after a rollback.
    pub fn withdraw(&mut self, now: Time) -> OrderChange {
        if std::mem::replace(&mut self.is_withdrawn, true) {
            return OrderChange::None;
        }
        self.update_end(now);
        OrderChange::Withdrawn
    }

    /// Returns the state with which the order ended.
    pub(super) fn final_state(&self) -> Option<RolloutState> {
        let state = self.order.state();
        state.filter(|state| *state != RolloutState::Running)
    }

    pub(super) fn update_end(&mut self, now: Time) {
        match self.is_withdrawn || self.final_state().is_some() {
            true => self.ended_at = self.ended_at.or(Some(now)),
            false => self.ended_at = None,
        }
    }

    /// Returns the verdict.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns why the version is bad or the order is rolled back, for the log.
    pub fn reason(&self) -> Option<VerdictReason> {
        if self.is_withdrawn {
            return Some(VerdictReason::Withdrawn);
        }
        if self.order.duration == Span::ZERO {
            return Some(VerdictReason::InvalidDuration);
        }
        self.reason
            .or(self.is_late.then_some(VerdictReason::TimeLimit))
    }

    /// Returns the totals of all hosts over all routes: of the target version, and of the others.
    pub fn totals(&self) -> (RouteCounts, RouteCounts) {
        self.totals.fleet().sums()
    }

    /// Returns the numbers of the target's upstreams that get requests in the canary phase.
    pub fn part(&self) -> &[u64] {
        &self.part
    }
}
