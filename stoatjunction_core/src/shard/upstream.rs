//! State of one upstream as seen by a shard.

use serde::{Deserialize, Serialize};

use crate::estimate::MovingAverage;
use crate::prefix::PrefixCache;
use crate::time::{Span, Time};

/// An upstream as the bundle describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Name, unique in the bundle.
    pub name: String,
    /// Role, matched against the roles that a kind of request allows.
    pub role: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Answer tokens generated per second and request.
    pub decode_rate: f64,
    /// Capacity of its prefix cache in tokens.
    pub cache_tokens: u32,
}

/// Load of an upstream at the time of sampling.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Time of sampling on the receiver's clock.
    pub sampled: Time,
    /// Number of running requests.
    pub active: u32,
    /// Random number drawn at each start of the upstream; it changes on a restart.
    pub incarnation: u64,
    /// Seconds between tokens of one request, averaged since the previous report, if known.
    pub token_pace: Option<f64>,
    /// Whether the upstream reports that it is leaving.
    pub leaving: bool,
}

/// Serving state of an upstream, which decides whether it gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serving {
    /// No load report was received yet.
    Unknown,
    /// The upstream gets work.
    Up,
    /// The upstream is unreachable.
    Down,
    /// The upstream is leaving or no longer listed in the bundle.
    Leaving,
}

/// State of one upstream, as shown to operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name, unique in the bundle.
    pub name: String,
    /// Serving state.
    pub serving: Serving,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Number of requests that this shard runs on it.
    pub running: u32,
    /// Number of requests that others run on it.
    pub foreign: u32,
    /// Learned seconds between tokens.
    pub token_pace: f64,
}

/// Maximum factor between an observation and the current average; outliers are clamped to it.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Minimum number of processed prompt tokens for the time to the first token to be a useful sample
/// of the prefill rate.
const MIN_PREFILL_SAMPLE_TOKENS: u32 = 512;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) spec: UpstreamSpec,
    pub(super) role: usize,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    pub(super) prefixes: PrefixCache,
    /// Learned seconds between tokens of one request.
    pub(super) token_pace: MovingAverage,
    /// Learned seconds of prefill per prompt token.
    pub(super) prefill_pace: MovingAverage,
    /// Time at which the queued prefill is expected to be done.
    pub(super) prefill_done_at: Time,
    pub(super) report: Option<LoadReport>,
    /// Number of requests that this shard runs on it.
    pub(super) running: u32,
    /// `None` until the first load report.
    reachable: Option<bool>,
    reported_leaving: bool,
    foreign: u32,
}

impl Upstream {
    pub(super) fn new(spec: UpstreamSpec, role: usize) -> Upstream {
        Upstream {
            role,
            listed: true,
            leaving: false,
            prefixes: PrefixCache::new(spec.cache_tokens),
            token_pace: MovingAverage::new(1.0 / spec.decode_rate.max(f64::MIN_POSITIVE)),
            prefill_pace: MovingAverage::new(1.0 / spec.prefill_rate.max(f64::MIN_POSITIVE)),
            prefill_done_at: Time::default(),
            report: None,
            running: 0,
            reachable: None,
            reported_leaving: false,
            foreign: 0,
            spec,
        }
    }

    pub(super) fn update_spec(&mut self, spec: UpstreamSpec, role: usize) {
        if self.spec != spec {
            self.prefixes = PrefixCache::new(spec.cache_tokens);
            self.spec = spec;
            self.role = role;
        }
    }

    pub(super) fn serving(&self) -> Serving {
        if self.leaving || self.reported_leaving || !self.listed {
            return Serving::Leaving;
        }
        match self.reachable {
            None => Serving::Unknown,
            Some(true) => Serving::Up,
            Some(false) => Serving::Down,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.serving() == Serving::Up
    }

    pub(super) fn mark_down(&mut self) {
        self.reachable = Some(false);
        self.foreign = 0;
        self.report = None;
    }

    /// Records that the upstream did not start a request: it is leaving, or taken to be down.
    pub(super) fn record_refusal(&mut self, leaving: bool) {
        if leaving {
            self.reported_leaving = true;
        } else {
            self.mark_down();
        }
    }

    pub(super) fn record_report(&mut self, report: LoadReport, own_runs: u32, learn: bool) {
        let restarted = self
            .report
            .is_some_and(|r| r.incarnation != report.incarnation);
        if restarted {
            self.prefixes.clear();
        }
        if let Some(pace) = report.token_pace.filter(|_| learn) {
            observe_clamped(&mut self.token_pace, pace);
        }
        self.reported_leaving = report.leaving;
        self.foreign = report.active.saturating_sub(own_runs);
        self.reachable = Some(true);
        self.report = Some(report);
    }

    /// Returns the number of requests that others run on it, or 0 when the latest load report is
    /// older than `max_age`.
    pub(super) fn foreign(&self, now: Time, max_age: Span) -> u32 {
        let recent = self.report.is_some_and(|r| now.since(r.sampled) <= max_age);
        if recent { self.foreign } else { 0 }
    }

    /// Learns the pace from a complete answer. `queued_prefill` is the prefill queued on the
    /// upstream before the request at its grant, `uncached` the prompt tokens that had to be
    /// processed for it.
    pub(super) fn learn(
        &mut self,
        report: super::FinishReport,
        queued_prefill: Span,
        uncached: u32,
    ) {
        if report.output_tokens > 1 {
            let decode = report.total - report.first_token;
            let pace = decode.as_secs_f64() / f64::from(report.output_tokens - 1);
            observe_clamped(&mut self.token_pace, pace);
        }
        if uncached >= MIN_PREFILL_SAMPLE_TOKENS {
            let prefill =
                (report.first_token - queued_prefill).as_secs_f64() - self.token_pace.get();
            let sample = prefill / f64::from(uncached);
            observe_clamped(&mut self.prefill_pace, sample);
        }
    }

    /// Removes prefill that will not be done from the forecast.
    pub(super) fn cancel_prefill(&mut self, prefill: Span, now: Time) {
        let prefill_left = now.until(self.prefill_done_at) - prefill;
        self.prefill_done_at = now + prefill_left;
    }
}

/// Adds an observation, limited to within [`MAX_SAMPLE_FACTOR`] of the current average.
fn observe_clamped(average: &mut MovingAverage, sample: f64) {
    let current = average.get();
    average.observe(sample.clamp(current / MAX_SAMPLE_FACTOR, current * MAX_SAMPLE_FACTOR));
}
