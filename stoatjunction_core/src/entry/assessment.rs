//! Assessment of one upstream for one request: its rank, or the one reason for which it is excluded. Real requests are
//! decided by it, and explanations of placements report it, so that the two cannot disagree.

use super::placement_request::PlacementRequest;
use super::pool::{Pool, UpstreamKey};
use super::pool_rollout::Selection;
use super::upstream::Upstream;
use crate::time::{Span, Time};

/// Reason for which an upstream cannot get a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Exclusion {
    /// The platform's list says that it drains.
    Draining,
    /// It stated that it leaves.
    Leaving,
    /// The request continues a stream that another version began.
    OtherVersion,
    /// It is listed as of the version that began the stream, but may have started again as another one.
    VersionInDoubt,
    /// The gate of the service's rollout lets no request of the route through to its version.
    RolloutGate,
    /// Its circuit is open after failures.
    CircuitOpen,
    /// It names a limit so low that this host leaves it to others.
    LeftToOthers,
    /// The limit that it names is used up for this time.
    OverLimit(Span),
    /// It asked for a pause, of which this time is left.
    Paused(Span),
    /// The request was already sent there.
    Tried,
    /// Its pause is over, and a run that is in progress finds out whether it takes requests again.
    BeingProbed,
    /// Its circuit is half open, and this request may not be the trial: one is running, or it may run only once.
    HalfOpen,
    /// Its memory has no room for the request, whose first event would otherwise come after these milliseconds.
    NoRoom(f64),
}

impl Exclusion {
    /// Returns the name of the reason in explanations.
    pub const fn label(self) -> &'static str {
        match self {
            Exclusion::Draining => "draining",
            Exclusion::Leaving => "leaving",
            Exclusion::OtherVersion => "other_version",
            Exclusion::VersionInDoubt => "version_in_doubt",
            Exclusion::RolloutGate => "rollout_gate",
            Exclusion::CircuitOpen => "circuit_open",
            Exclusion::LeftToOthers => "left_to_others",
            Exclusion::OverLimit(_) => "over_limit",
            Exclusion::Paused(_) => "paused",
            Exclusion::Tried => "tried",
            Exclusion::BeingProbed => "being_probed",
            Exclusion::HalfOpen => "half_open",
            Exclusion::NoRoom(_) => "no_room",
        }
    }

    /// Returns the time after which the reason ends, if it is known.
    pub const fn ends_after(self) -> Option<Span> {
        match self {
            Exclusion::OverLimit(span) | Exclusion::Paused(span) => Some(span),
            _ => None,
        }
    }

    /// Returns whether the upstream takes requests now, only not this one at this moment: waiting for it may help.
    pub(super) const fn is_worth_waiting(self) -> bool {
        matches!(
            self,
            Exclusion::BeingProbed | Exclusion::HalfOpen | Exclusion::NoRoom(_)
        )
    }
}

/// Costs of an upstream in milliseconds beyond its forecast, without those of a rollout; the bonus is subtracted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Penalties {
    /// For the part of its slots that is in use.
    pub batch: f64,
    /// For being in another data centre.
    pub remote: f64,
    /// For having no free slot that is allocated to this host.
    pub unowned: f64,
    /// For the delay of the other requests of the batch by the prefill of this one.
    pub interference: f64,
    /// For the part of its memory that is held.
    pub memory: f64,
    /// Random part that keeps hosts from all choosing the same upstream.
    pub jitter: f64,
    /// For a limit that may have ended.
    pub limit_bonus: f64,
}

impl Penalties {
    /// Returns the sum.
    pub fn total(self) -> f64 {
        let costs = self.batch + self.remote + self.unowned + self.interference + self.memory;
        costs + self.jitter - self.limit_bonus
    }
}

/// Rank of an upstream that may get a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rank {
    /// False while it has no free slot that this host may use.
    pub has_slot: bool,
    /// Milliseconds until the first event.
    pub forecast_ms: f64,
    /// Cost in milliseconds, the forecast and the penalties: the lower the better among upstreams with a slot.
    pub cost_ms: f64,
}

impl Rank {
    /// Returns whether the upstream is preferred to another one.
    pub(super) fn is_better_than(&self, other: &Rank) -> bool {
        (!self.has_slot, self.cost_ms) < (!other.has_slot, other.cost_ms)
    }
}

/// What an upstream is to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Assessment {
    /// It may get the request, now or when a slot is free.
    Ranked(Rank),
    /// It may not.
    Excluded(Exclusion),
}

/// State of all upstreams of a selection, on which the assessment of each of them depends.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Survey {
    any_healthy: bool,
    /// Number of upstreams that may get runs, now or later.
    sound: usize,
    all_half_open: bool,
}

impl Pool {
    /// Returns why the upstream is not among those that may get runs now or later, whatever its health.
    pub(super) fn standing_exclusion(
        &self,
        selection: Selection,
        upstream: &Upstream,
        now: Time,
    ) -> Option<Exclusion> {
        if upstream.listed.draining {
            return Some(Exclusion::Draining);
        }
        if self.notices.is_leaving(upstream.number) {
            return Some(Exclusion::Leaving);
        }
        self.selection_exclusion(selection, upstream, now)
    }

    /// Returns why this host may not send to the upstream at this moment, by its limit and its pause.
    pub(super) fn delay_exclusion(&self, upstream: &Upstream, now: Time) -> Option<Exclusion> {
        let Some(by_limit) = self.limits.delay(upstream.number, now) else {
            return Some(Exclusion::LeftToOthers);
        };
        let by_pause = self.notices.pause_left(upstream.number, now);
        match by_limit.max(by_pause) {
            Span::ZERO => None,
            delay if by_pause >= by_limit => Some(Exclusion::Paused(delay)),
            delay => Some(Exclusion::OverLimit(delay)),
        }
    }

    /// Returns the state of all upstreams of a selection.
    pub(super) fn survey(&self, selection: Selection, now: Time) -> Survey {
        let (mut healthy, mut healthy_half_open) = (0, 0);
        let (mut staying, mut staying_half_open) = (0, 0);
        for (_, u) in self.upstreams.iter() {
            if self.standing_exclusion(selection, u, now).is_some() {
                continue;
            }
            let half_open = usize::from(u.health.is_half_open());
            staying += 1;
            staying_half_open += half_open;
            if !u.health.is_circuit_open(now) {
                healthy += 1;
                healthy_half_open += half_open;
            }
        }
        let any_healthy = healthy > 0;
        let (sound, half_open) = match any_healthy {
            true => (healthy, healthy_half_open),
            false => (staying, staying_half_open),
        };
        Survey {
            any_healthy,
            sound,
            all_half_open: sound == half_open,
        }
    }

    /// Assesses all upstreams for a request. `seed` is that of the random part of the costs.
    pub(super) fn assessments<'a>(
        &'a self,
        seed: u64,
        request: &'a PlacementRequest,
        now: Time,
    ) -> impl Iterator<Item = (UpstreamKey, &'a Upstream, Assessment)> {
        let survey = self.survey(request.selection(), now);
        self.upstreams.iter().map(move |(key, upstream)| {
            let assessment = match self.exclusion(&survey, request, key, upstream, now) {
                Some(exclusion) => Assessment::Excluded(exclusion),
                None => self.rank(seed, request, key, upstream, now),
            };
            (key, upstream, assessment)
        })
    }

    /// Returns why the upstream cannot get the request now, apart from its memory.
    fn exclusion(
        &self,
        survey: &Survey,
        request: &PlacementRequest,
        key: UpstreamKey,
        upstream: &Upstream,
        now: Time,
    ) -> Option<Exclusion> {
        let standing = self.standing_exclusion(request.selection(), upstream, now);
        if standing.is_some() {
            return standing;
        }
        if survey.any_healthy && upstream.health.is_circuit_open(now) {
            return Some(Exclusion::CircuitOpen);
        }
        let delay = self.delay_exclusion(upstream, now);
        if delay.is_some() {
            return delay;
        }
        if request.tried.contains(&key) {
            return Some(Exclusion::Tried);
        }
        if self.is_being_probed(upstream, now) {
            return Some(Exclusion::BeingProbed);
        }
        let may_probe = request.idempotent || survey.all_half_open;
        let is_no_trial = upstream.own_load.running > 0 || !may_probe;
        let is_half_open = upstream.health.is_half_open() && is_no_trial && survey.sound > 1;
        is_half_open.then_some(Exclusion::HalfOpen)
    }

    fn rank(
        &self,
        seed: u64,
        request: &PlacementRequest,
        key: UpstreamKey,
        upstream: &Upstream,
        now: Time,
    ) -> Assessment {
        let uncached_tokens = self.prompt_cache.uncached_tokens(&request.prompt, key);
        let forecast_ms = self.forecast_ms(upstream, uncached_tokens, now);
        if !self.has_room(key, request, now) {
            return Assessment::Excluded(Exclusion::NoRoom(forecast_ms));
        }
        let penalties = self.penalties(seed, upstream, key, uncached_tokens, now);
        let rollout_bonus = self.rollout_bonus_ms(request, upstream, forecast_ms, now);
        Assessment::Ranked(Rank {
            has_slot: upstream.has_available_slot(now),
            forecast_ms,
            cost_ms: forecast_ms + penalties.total() - rollout_bonus,
        })
    }
}
