//! Explanation of a placement: where a request would go now, and why, without any change of state. It is derived from
//! the judgement and the assessments by which real requests are decided.

use std::cmp::Ordering;

use indexmap::IndexMap;
use serde::Serialize;

use super::assessment::{Assessment, Penalties, Rank};
use super::placement::{MAX_PEER_WAITING_AGE, Reason};
use super::placement_request::PlacementRequest;
use super::pool::{Decision, Pool, UpstreamKey};
use super::queue::Queue;
use super::rollout::Phase;
use super::upstream::Upstream;
use crate::time::{Span, Time};

/// Explanation of where a request would go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// What would be done with the request.
    #[serde(skip)]
    pub decision: Decision,
    /// Why.
    #[serde(skip)]
    pub reason: Reason,
    /// Time until which it may wait for a slot.
    #[serde(skip)]
    pub wait_until: Time,
    /// Whether it misses its target latency.
    pub late: bool,
    /// Its precedence in the queue; lower goes first.
    pub precedence: u8,
    /// Requests that wait at this host.
    pub waiting: usize,
    /// Requests that wait at other hosts, as these reported.
    pub waiting_elsewhere: u32,
    /// Free slots of the upstreams that requests may go to.
    pub free_slots: u32,
    /// Slots of the same upstreams.
    pub slots: u32,
    /// The gate of the service's rollout.
    pub gate: Option<GateExplanation>,
    /// Milliseconds since the oldest and the newest load report of another host.
    pub load_report_ages_ms: Option<(u64, u64)>,
    /// Milliseconds since the oldest and the newest queue report of another host that counts.
    pub queue_report_ages_ms: Option<(u64, u64)>,
    /// Numbers of all upstreams: those with a rank under `free` and `full`, the others by the reason.
    pub counts: IndexMap<&'static str, usize>,
    /// The upstream that the request is placed at, then the others by rank, then those that are excluded.
    pub upstreams: Vec<UpstreamExplanation>,
    /// Upstreams that are only counted.
    pub unnamed_upstreams: usize,
}

/// What the gate of a rollout lets through.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GateExplanation {
    /// Phase of the rollout.
    pub phase: &'static str,
    /// Names of the listed versions that are the target.
    pub target: Option<String>,
    /// Requests to the target that the route has earned.
    pub credit: f64,
}

/// What an upstream is to the request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamExplanation {
    /// Its key in the pool.
    #[serde(skip)]
    pub key: UpstreamKey,
    /// Rank or reason of exclusion.
    #[serde(skip)]
    pub assessment: Assessment,
    /// Its name.
    pub id: String,
    /// `free`, `full`, or the reason of exclusion.
    pub state: &'static str,
    /// Milliseconds after which the reason of exclusion ends, if known.
    pub ends_after_ms: Option<u64>,
    /// Data centre.
    pub dc: String,
    /// Version of its software.
    pub version: String,
    /// Runs of this host.
    pub own_runs: u32,
    /// Runs of all hosts.
    pub runs: u32,
    /// Listed slots.
    pub listed_slots: u32,
    /// Slots by the learned capacity.
    pub slots: u32,
    /// Slots allocated to this host; `None` if they are not allocated.
    pub allocated_slots: Option<u32>,
    /// Milliseconds until the first event.
    pub forecast_ms: f64,
    /// Cost in milliseconds; `None` if it is excluded.
    pub cost_ms: Option<f64>,
    /// Costs beyond the forecast that are not zero.
    pub penalties_ms: IndexMap<&'static str, f64>,
    /// Tokens that runs hold in its memory.
    pub held_tokens: u64,
    /// Prompt tokens that it need not prefill.
    pub cached_tokens: u32,
    /// Requests a second that it takes by its own word.
    pub limit: Option<f64>,
    /// Milliseconds since this host last received bytes from it; `None` if it never did.
    pub last_byte_age_ms: Option<u64>,
}

impl UpstreamExplanation {
    fn rank(&self) -> Option<Rank> {
        match self.assessment {
            Assessment::Ranked(rank) => Some(rank),
            Assessment::Excluded(_) => None,
        }
    }

    /// Returns whether the upstream is preferred to all others.
    pub fn is_better_than(&self, other: &UpstreamExplanation) -> bool {
        let ranks = self.rank().zip(other.rank());
        ranks.is_some_and(|(own, other)| own.is_better_than(&other))
    }
}

impl Assessment {
    /// Returns the name of the assessment in explanations.
    pub const fn label(&self) -> &'static str {
        match self {
            Assessment::Ranked(rank) if rank.has_slot => "free",
            Assessment::Ranked(_) => "full",
            Assessment::Excluded(exclusion) => exclusion.label(),
        }
    }

    /// Compares by rank; excluded upstreams are last.
    fn cmp_by_rank(&self, other: &Assessment) -> Ordering {
        let (a, b) = match (self, other) {
            (Assessment::Ranked(a), Assessment::Ranked(b)) => (a, b),
            (Assessment::Ranked(_), Assessment::Excluded(_)) => return Ordering::Less,
            (Assessment::Excluded(_), Assessment::Ranked(_)) => return Ordering::Greater,
            (Assessment::Excluded(_), Assessment::Excluded(_)) => return Ordering::Equal,
        };
        let free_first = b.has_slot.cmp(&a.has_slot);
        free_first.then_with(|| a.cost_ms.total_cmp(&b.cost_ms))
    }
}

impl Pool {
    /// Explains where a request that arrives now would go, while others may wait in `queue`. At most `max_named`
    /// upstreams are named.
    pub fn explain(
        &self,
        queue: &Queue,
        request: &PlacementRequest,
        max_named: usize,
        now: Time,
    ) -> Explanation {
        if self.expired_peer_loads(now).is_empty() {
            return self.explain_current(queue, request, max_named, now);
        }
        // A real request expires them first.
        let mut pool = self.clone();
        pool.expire_peer_loads(now);
        pool.explain_current(queue, request, max_named, now)
    }

    fn explain_current(
        &self,
        queue: &Queue,
        request: &PlacementRequest,
        max_named: usize,
        now: Time,
    ) -> Explanation {
        let seed = self.next_seed();
        let mut counts: IndexMap<&'static str, usize> = IndexMap::new();
        let mut all: Vec<(UpstreamKey, &Upstream, Assessment)> =
            self.assessments(seed, request, now).collect();
        for (_, _, assessment) in &all {
            *counts.entry(assessment.label()).or_default() += 1;
        }
        let mut judged = request.clone();
        let judgement = self.judge_arrival(queue, seed, &mut judged, now);
        all.sort_by(|(a_key, _, a), (b_key, _, b)| {
            let is_placed = |key| judgement.places_at(key);
            let placed_first = is_placed(*b_key).cmp(&is_placed(*a_key));
            placed_first.then_with(|| a.cmp_by_rank(b))
        });
        let named = all.iter().take(max_named);
        let named = named.map(|(key, u, a)| self.explain_upstream(request, *key, u, *a, now));
        let upstreams: Vec<UpstreamExplanation> = named.collect();
        let load_reports = self.peer_loads.values().map(|(_, at)| *at);
        let queue_reports = self.peer_waiting.values().map(|(_, at)| *at);
        let queue_reports = queue_reports.filter(|at| now.since(*at) < MAX_PEER_WAITING_AGE);
        Explanation {
            decision: judgement.decision,
            reason: judgement.reason,
            wait_until: judged.wait_until,
            late: judged.late,
            precedence: judged.precedence(),
            waiting: queue.len(),
            waiting_elsewhere: self.peer_waiting_count(now),
            free_slots: self.free_slots(now),
            slots: self.total_slots(now),
            gate: self.explain_gate(request.route),
            load_report_ages_ms: ages_ms(load_reports, now),
            queue_report_ages_ms: ages_ms(queue_reports, now),
            counts,
            unnamed_upstreams: all.len() - upstreams.len(),
            upstreams,
        }
    }

    fn explain_gate(&self, route: u32) -> Option<GateExplanation> {
        let gate = self.rollout_gate.as_ref()?;
        let mut upstreams = self.upstreams.iter();
        let target = upstreams.find(|(_, u)| u.version == gate.target());
        Some(GateExplanation {
            phase: phase_label(gate.phase()),
            target: target.map(|(_, u)| u.listed.version.clone()),
            credit: gate.credit(route),
        })
    }

    fn explain_upstream(
        &self,
        request: &PlacementRequest,
        key: UpstreamKey,
        upstream: &Upstream,
        assessment: Assessment,
        now: Time,
    ) -> UpstreamExplanation {
        let uncached_tokens = self.prompt_cache.uncached_tokens(&request.prompt, key);
        let prompt_tokens = request.prompt.iter().map(|p| p.tokens);
        let prompt_tokens = prompt_tokens.fold(0, u32::saturating_add);
        let ends_after = match assessment {
            Assessment::Excluded(exclusion) => exclusion.ends_after(),
            Assessment::Ranked(_) => None,
        };
        let cost_ms = match assessment {
            Assessment::Ranked(rank) => Some(rank.cost_ms),
            Assessment::Excluded(_) => None,
        };
        let forecast_ms = self.forecast_ms(upstream, uncached_tokens, now);
        let penalties_ms = cost_ms.map(|_| {
            let penalties = self.penalties(self.next_seed(), upstream, key, uncached_tokens, now);
            let rollout_bonus = self.rollout_bonus_ms(request, upstream, forecast_ms, now);
            nonzero_ms(penalties, rollout_bonus)
        });
        let last_byte_at = upstream.last_byte_at;
        let was_heard = last_byte_at > Time::default();
        UpstreamExplanation {
            key,
            assessment,
            id: upstream.listed.id.clone(),
            state: assessment.label(),
            ends_after_ms: ends_after.map(Span::as_millis),
            dc: upstream.listed.dc.clone(),
            version: upstream.listed.version.clone(),
            own_runs: upstream.own_load.running,
            runs: upstream.running(now),
            listed_slots: upstream.listed.slots,
            slots: upstream.slots(),
            allocated_slots: upstream.owned_slots,
            forecast_ms,
            cost_ms,
            penalties_ms: penalties_ms.unwrap_or_default(),
            held_tokens: self.held_tokens(key),
            cached_tokens: prompt_tokens - uncached_tokens,
            limit: self.limits.rate(upstream.number),
            last_byte_age_ms: was_heard.then(|| now.since(last_byte_at).as_millis()),
        }
    }
}

fn nonzero_ms(penalties: Penalties, rollout_bonus: f64) -> IndexMap<&'static str, f64> {
    let all = [
        ("batch", penalties.batch),
        ("remote", penalties.remote),
        ("unowned", penalties.unowned),
        ("interference", penalties.interference),
        ("memory", penalties.memory),
        ("jitter", penalties.jitter),
        ("limit_bonus", -penalties.limit_bonus),
        ("rollout_bonus", -rollout_bonus),
    ];
    all.into_iter().filter(|(_, ms)| *ms != 0.0).collect()
}

/// Returns the milliseconds since the oldest and since the newest of the times.
fn ages_ms<I>(times: I, now: Time) -> Option<(u64, u64)>
where
    I: Iterator<Item = Time> + Clone,
{
    let age = |at: Time| now.since(at).as_millis();
    let oldest = times.clone().min()?;
    Some((age(oldest), age(times.max()?)))
}

const fn phase_label(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "canary",
        Phase::Ramp(_) => "ramp",
        Phase::Full => "full",
        Phase::Completed => "completed",
        Phase::Closed => "closed",
    }
}
