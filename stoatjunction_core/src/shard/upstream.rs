//! What a shard knows of one upstream.

use serde::{Deserialize, Serialize};

use crate::estimate::MovingAverage;
use crate::prefix::PrefixCache;
use crate::time::{Span, Time};

/// An upstream as the bundle describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Name, unique in the bundle.
    pub name: String,
    /// Role, matched with the roles a kind allows.
    pub role: String,
    /// Requests it may run at once.
    pub slots: u32,
    /// Prompt tokens it processes a second.
    pub prefill_rate: f64,
    /// Answer tokens a second for each request.
    pub decode_rate: f64,
    /// Tokens its prefix cache holds.
    pub cache_tokens: u32,
}

/// A load report, as it was when the upstream sampled it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// When the upstream sampled it, on the receiver's clock.
    pub sampled: Time,
    /// Requests it runs.
    pub active: u32,
    /// Random number of the upstream's start.
    pub incarnation: u64,
    /// Seconds between tokens of one request, averaged since the report before, when known.
    pub token_pace: Option<f64>,
    /// True when the upstream says it is leaving.
    pub leaving: bool,
}

/// Whether an upstream gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serving {
    /// No report has come yet.
    Unknown,
    /// It gets work.
    Up,
    /// It cannot be reached.
    Down,
    /// It is leaving, or no longer listed.
    Leaving,
}

/// State of one upstream, for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name.
    pub name: String,
    /// Whether it gets work.
    pub serving: Serving,
    /// Requests it may run at once.
    pub slots: u32,
    /// Requests this shard runs on it.
    pub running: u32,
    /// Requests that others run on it.
    pub foreign: u32,
    /// Learned seconds between tokens.
    pub token_pace: f64,
}

/// Factor by which a single observation may pull a learned rate away from its present value.
const MAX_PULL: f64 = 4.0;
/// Prompt tokens below which the first token's delay says little of the prefill rate.
const MIN_PREFILL_SAMPLE: u32 = 512;

#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) spec: UpstreamSpec,
    pub(super) role: usize,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    pub(super) prefixes: PrefixCache,
    /// Seconds between tokens of one request.
    pub(super) pace: MovingAverage,
    /// Seconds for one prompt token.
    pub(super) prefill: MovingAverage,
    /// When the prefill queued there is expected to be done.
    pub(super) prefill_free: Time,
    pub(super) report: Option<LoadReport>,
    /// Requests this shard runs here.
    pub(super) running: u32,
    up: Option<bool>,
    said_leaving: bool,
    foreign: u32,
}

impl Upstream {
    pub(super) fn new(spec: UpstreamSpec, role: usize) -> Upstream {
        Upstream {
            role,
            listed: true,
            leaving: false,
            prefixes: PrefixCache::new(spec.cache_tokens),
            pace: MovingAverage::new(1.0 / spec.decode_rate.max(f64::MIN_POSITIVE)),
            prefill: MovingAverage::new(1.0 / spec.prefill_rate.max(f64::MIN_POSITIVE)),
            prefill_free: Time::default(),
            report: None,
            running: 0,
            up: None,
            said_leaving: false,
            foreign: 0,
            spec,
        }
    }

    pub(super) fn respecify(&mut self, spec: UpstreamSpec, role: usize) {
        if self.spec != spec {
            self.prefixes = PrefixCache::new(spec.cache_tokens);
            self.spec = spec;
            self.role = role;
        }
    }

    pub(super) fn serving(&self) -> Serving {
        if self.leaving || self.said_leaving || !self.listed {
            return Serving::Leaving;
        }
        match self.up {
            None => Serving::Unknown,
            Some(true) => Serving::Up,
            Some(false) => Serving::Down,
        }
    }

    pub(super) fn is_serving(&self) -> bool {
        self.serving() == Serving::Up
    }

    pub(super) fn go_down(&mut self) {
        self.up = Some(false);
        self.foreign = 0;
        self.report = None;
    }

    /// Records that the upstream did not take a request.
    pub(super) fn refused(&mut self, leaving: bool) {
        if leaving {
            self.said_leaving = true;
        } else {
            self.go_down();
        }
    }

    pub(super) fn take_report(&mut self, report: LoadReport, own: u32, learn: bool) {
        let restarted = self
            .report
            .is_some_and(|r| r.incarnation != report.incarnation);
        if restarted {
            self.prefixes.clear();
        }
        if let Some(pace) = report.token_pace.filter(|_| learn) {
            observe_within(&mut self.pace, pace);
        }
        self.said_leaving = report.leaving;
        self.foreign = report.active.saturating_sub(own);
        self.up = Some(true);
        self.report = Some(report);
    }

    /// Requests that others run here, as far as a report not older than `limit` tells.
    pub(super) fn foreign(&self, now: Time, limit: Span) -> u32 {
        let fresh = self.report.is_some_and(|r| now.since(r.sampled) <= limit);
        if fresh { self.foreign } else { 0 }
    }

    /// Takes in how a whole answer went. `ahead` is the prefill that was queued before it at its
    /// grant, `uncached` the prompt tokens it had to process itself.
    pub(super) fn learn(&mut self, report: super::FinishReport, ahead: Span, uncached: u32) {
        if report.output_tokens > 1 {
            let decode = report.total - report.first_token;
            let pace = decode.as_secs_f64() / f64::from(report.output_tokens - 1);
            observe_within(&mut self.pace, pace);
        }
        if uncached >= MIN_PREFILL_SAMPLE {
            let own = (report.first_token - ahead).as_secs_f64() - self.pace.get();
            let sample = own / f64::from(uncached);
            observe_within(&mut self.prefill, sample);
        }
    }

    /// Takes prefill that will not be done out of the forecast.
    pub(super) fn drop_prefill(&mut self, prefill: Span, now: Time) {
        let left = now.until(self.prefill_free) - prefill;
        self.prefill_free = now + left;
    }
}

fn observe_within(average: &mut MovingAverage, sample: f64) {
    let now = average.get();
    average.observe(sample.clamp(now / MAX_PULL, now * MAX_PULL));
}
