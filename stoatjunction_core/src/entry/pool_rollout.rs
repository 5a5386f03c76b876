//! The rollout of a pool's service: which upstreams its gate lets requests through to, and what it counts.

use super::assessment::Exclusion;
use super::placement::COLD_START_FACTOR;
use super::placement_request::PlacementRequest;
use super::pool::{Pool, RunKey, UpstreamKey};
use super::prompt_cache::PromptPart;
use super::rollout::{Phase, RolloutGate, Side, UpstreamView};
use super::software_version::SoftwareVersion;
use super::upstream::Upstream;
use crate::time::{Span, Time};

/// Milliseconds by which the target is preferred for requests that have credit, more than any other cost.
const TARGET_BONUS_MS: f64 = 1e6;
/// Multiple of the forecast above which a run is slow.
const SLOW_FACTOR: f64 = 2.5;
/// Time after an upstream was listed, or after its cold start, in which too little is known of its speed.
const LEARNING_TIME: Span = Span::from_millis(1_000);
/// Time after its cold start for which what an upstream's runs then took still shows in its slowdown.
const COLD_START_EFFECT_TIME: Span = Span::from_millis(3_000);

/// Which upstreams a request may go to, apart from their state.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Selection {
    /// The only version that it may run at.
    pub(super) version: Option<SoftwareVersion>,
    /// Its route; none to select the upstreams that requests of any route may go to.
    pub(super) route: Option<u32>,
}

impl PlacementRequest {
    /// Returns which upstreams the request may go to.
    pub(super) fn selection(&self) -> Selection {
        Selection {
            version: self.version,
            route: Some(self.route),
        }
    }
}

impl Pool {
    /// Returns why the upstream is not selected; `None` if it is.
    pub(super) fn selection_exclusion(
        &self,
        selection: Selection,
        upstream: &Upstream,
        now: Time,
    ) -> Option<Exclusion> {
        let version = selection.version;
        if version.is_some_and(|version| upstream.version != version) {
            return Some(Exclusion::OtherVersion);
        }
        let gate = self.rollout_gate.as_ref();
        let is_admitted = gate.is_none_or(|gate| match selection {
            Selection {
                version: Some(_), ..
            } => gate.admits_bound(upstream, now),
            Selection {
                route: Some(route), ..
            } => gate.admits_at(route, upstream, now),
            _ => gate.admits_any(upstream, now),
        });
        if !is_admitted {
            return Some(Exclusion::RolloutGate);
        }
        let is_sure = version.is_none_or(|version| self.is_surely(upstream, version, now));
        (!is_sure).then_some(Exclusion::VersionInDoubt)
    }

    /// Sets or removes the gate of the service's rollout. The credit of a gate of the same order is kept.
    pub fn set_rollout_gate(&mut self, gate: Option<RolloutGate>) {
        let former = std::mem::replace(&mut self.rollout_gate, gate);
        let now = former.as_ref().map(RolloutGate::latest_start);
        if let (Some(gate), Some(former)) = (&mut self.rollout_gate, former) {
            gate.take_over(former);
        }
        self.update_rollout_gate(now.unwrap_or_default());
    }

    /// Sets the phase of the gate, and the numbers of the target's upstreams that get requests in the canary phase.
    /// Called whenever they may have changed, and at least every 100 ms while there is a gate.
    pub fn set_rollout_phase(&mut self, phase: Phase, part: &[u64], now: Time) {
        if let Some(gate) = &mut self.rollout_gate {
            gate.set_phase(gate.target(), phase, part);
        }
        self.update_rollout_gate(now);
    }

    /// Returns the gate of the service's rollout.
    pub fn rollout_gate(&self) -> Option<&RolloutGate> {
        self.rollout_gate.as_ref()
    }

    /// Returns the gate of the service's rollout, to change it.
    pub fn rollout_gate_mut(&mut self) -> Option<&mut RolloutGate> {
        self.rollout_gate.as_mut()
    }

    /// Tells the gate which versions are listed.
    pub(super) fn update_rollout_gate(&mut self, now: Time) {
        let Some(mut gate) = self.rollout_gate.take() else {
            return;
        };
        let listed = self.upstreams.iter();
        let listed: Vec<_> = listed
            .map(|(_, u)| (u.version, self.is_leaving(u)))
            .collect();
        gate.set_listed(&listed, now);
        self.rollout_gate = Some(gate);
    }

    /// Records that a request was sent whose route is not known.
    pub fn start_run(&mut self, key: UpstreamKey, prompt: &[PromptPart], now: Time) -> RunKey {
        self.start_run_on(key, prompt, 0, now)
    }

    /// Records that a request was sent, on the request's route.
    pub fn start_run_for(
        &mut self,
        key: UpstreamKey,
        request: &PlacementRequest,
        now: Time,
    ) -> RunKey {
        self.start_run_on(key, &request.prompt, request.route, now)
    }

    fn start_run_on(
        &mut self,
        key: UpstreamKey,
        prompt: &[PromptPart],
        route: u32,
        now: Time,
    ) -> RunKey {
        let side = self.rollout_side(key);
        let run = self.insert_run(key, prompt, now);
        if let (Some(gate), Some(side), Some(r)) =
            (&mut self.rollout_gate, side, self.runs.get_mut(run))
        {
            gate.record_time(now);
            r.gate_charge = Some(gate.record_start(route, side));
        }
        run
    }

    /// Refunds the credit of a run whose request was not sent.
    pub(super) fn refund_gate(&mut self, run: RunKey) {
        let charge = self.runs.get(run).and_then(|r| r.gate_charge);
        if let (Some(gate), Some(charge)) = (&mut self.rollout_gate, charge) {
            gate.refund(charge);
        }
    }

    /// Returns whether the request continues a stream of the target version and waits for credit.
    pub(super) fn lacks_credit(&self, request: &PlacementRequest) -> bool {
        let gate = self.rollout_gate.as_ref();
        gate.zip(request.version)
            .is_some_and(|(gate, version)| gate.lacks_credit(version))
    }

    /// Returns the milliseconds by which an upstream of the target is preferred for a request that has credit, unless
    /// the request would be late there and would not be elsewhere.
    pub(super) fn rollout_bonus_ms(
        &self,
        request: &PlacementRequest,
        upstream: &Upstream,
        forecast_ms: f64,
        now: Time,
    ) -> f64 {
        let gate = self.rollout_gate.as_ref();
        let first_event = now + Span::from_secs_f64(forecast_ms / 1e3);
        let is_on_time = request.late || first_event <= request.due_at;
        match gate.is_some_and(|gate| gate.prefers(upstream)) && is_on_time {
            true => TARGET_BONUS_MS,
            false => 0.0,
        }
    }

    /// Returns the side of the upstream that runs or ran a request; `None` without a rollout or if it is not listed.
    pub fn rollout_side(&self, key: UpstreamKey) -> Option<Side> {
        let gate = self.rollout_gate.as_ref()?;
        Some(gate.side(self.upstreams.get(key)?.version))
    }

    /// Returns whether a run whose first event, or whose whole response, arrives now is slow for its upstream. To be
    /// asked before [`Pool::record_first_event`]. Runs that had to wait inside the upstream are never slow, nor are those
    /// of upstreams that warm up or whose speed is not known.
    pub fn is_slow_run(&self, run: RunKey, now: Time) -> bool {
        let Some(r) = self.runs.get(run) else {
            return false;
        };
        let Some(upstream) = self.upstreams.get(r.upstream) else {
            return false;
        };
        let is_judged = r.had_free_slot && !r.has_first_event && upstream.slowdown.is_known();
        if !is_judged || r.started_at < upstream.cold_until + LEARNING_TIME {
            return false;
        }
        let tokens = f64::from(r.prefill_ahead) + f64::from(r.uncached_tokens);
        let forecast_ms = self.latency.predict(tokens) * upstream.slowdown.get();
        now.since(r.started_at).as_secs_f64() * 1e3 > SLOW_FACTOR * forecast_ms
    }

    /// Returns the upstreams as a rollout to `target` sees them.
    pub fn rollout_upstreams(&self, target: SoftwareVersion) -> Vec<UpstreamView> {
        let now = self.rollout_gate.as_ref().map(RolloutGate::latest_start);
        let now = now.unwrap_or_default();
        let view = |u: &Upstream| UpstreamView {
            number: u.number,
            side: match u.version == target {
                true => Side::Target,
                false => Side::Other,
            },
            slots: match self.is_leaving(u) {
                true => 0,
                false => u.listed.slots,
            },
            slowdown: self.warm_slowdown(u, now),
        };
        self.upstreams.iter().map(|(_, u)| view(u)).collect()
    }

    /// Returns the slowdown of an upstream without the part that is due to its cold start.
    fn warm_slowdown(&self, upstream: &Upstream, now: Time) -> Option<f64> {
        let is_cold = now < upstream.cold_until + COLD_START_EFFECT_TIME;
        let is_announced = upstream.listed.cold_ms > 0;
        let factor = match is_cold && is_announced {
            true => COLD_START_FACTOR,
            false => 1.0,
        };
        let slowdown = upstream.slowdown;
        slowdown.is_known().then(|| slowdown.get() / factor)
    }
}
