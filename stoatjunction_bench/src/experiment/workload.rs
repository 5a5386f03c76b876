//! Workload files and the random requests drawn from them.

use std::ops::RangeInclusive;

use indexmap::IndexMap;
use stoatjunction_core::hash::hash_parts;
use stoatjunction_core::id::Tier;
use stoatjunction_core::prefix::{COARSE_STEPS, FINE_STEPS, prefix_tokens};
use stoatjunction_core::shard::UpstreamSpec;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::ini::{Document, IniErrors, Section};
use stoatjunction_standin::engine::EngineSettings;

/// A kind of request and its share of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadKind {
    /// Name.
    pub name: String,
    /// Tier of the callers.
    pub tier: Tier,
    /// Share of all requests, relative to the other kinds.
    pub weight: f64,
    /// Range of the prompt length in tokens.
    pub input: RangeInclusive<f64>,
    /// Range of the answer length in tokens.
    pub output: RangeInclusive<f64>,
    /// Time from arrival to the end of the answer.
    pub deadline: Span,
    /// Number of distinct prefixes that prompts share; 0 for none.
    pub prefixes: u32,
    /// Length of a shared prefix in tokens.
    pub prefix_tokens: u32,
    /// Roles of the engines that may serve the kind; empty for every role.
    pub roles: Vec<String>,
}

/// An engine that serves a workload.
#[derive(Clone, Debug)]
pub struct WorkloadEngine {
    /// Specification known to the scheduler.
    pub spec: UpstreamSpec,
    /// Behaviour of the emulated engine.
    pub settings: EngineSettings,
}

/// The load of a simulation and the engines that serve it.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Time during which requests arrive.
    pub duration: Span,
    /// Time at the start whose requests are left out of the results.
    pub warm_up: Span,
    /// Factor by which the arrival rate rises during a burst.
    pub burst_factor: f64,
    /// Time from the start of one burst to the start of the next.
    pub burst_every: Span,
    /// Duration of a burst.
    pub burst_length: Span,
    /// Number of organisations. The first sends half of all requests plus its share of the rest.
    pub organisations: u32,
    /// Names of the tiers, highest priority first.
    pub tiers: IndexMap<Tier, String>,
    /// Kinds of requests.
    pub kinds: Vec<WorkloadKind>,
    /// Engines.
    pub engines: Vec<WorkloadEngine>,
}

/// A request of a simulation, drawn before it starts.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Time of arrival.
    pub arrival: Time,
    /// Index of its kind in the workload.
    pub kind: usize,
    /// Number of the organisation that sends it.
    pub organisation: u32,
    /// Prompt length in tokens.
    pub input: u32,
    /// Answer length in tokens, known only to the engine.
    pub output: u32,
    /// Hashes of the prompt's prefixes.
    pub marks: Vec<u32>,
}

impl Workload {
    /// Parses the workload in `text`. Errors name `file` as its source.
    ///
    /// # Errors
    ///
    /// Returns [`IniErrors`] with every error found.
    pub fn parse(file: &str, text: &str) -> Result<Workload, IniErrors> {
        let mut doc = Document::parse(file, text)?;
        let mut s = doc.take_section("workload");
        let mut secs = |doc: &mut Document, key: &str, default: u64| {
            Span::from_millis(doc.number(&mut s, key, 0..=86_400, default) * 1_000)
        };
        let duration = secs(&mut doc, "duration-s", 120);
        let warm_up = secs(&mut doc, "warm-up-s", 10);
        let burst_every = secs(&mut doc, "burst-every-s", 20);
        let burst_length = secs(&mut doc, "burst-length-s", 0);
        let burst_factor = doc.number(&mut s, "burst-factor", 1.0..=100.0, 1.0);
        let organisations = doc.number(&mut s, "organisations", 1..=10_000, 4);
        doc.check_unknown_keys(&s);
        let tiers = read_tiers(&mut doc);
        let kinds = read_kinds(&mut doc, &tiers);
        let engines = read_engines(&mut doc);
        doc.finish()?;
        Ok(Workload {
            duration,
            warm_up,
            burst_factor,
            burst_every,
            burst_length,
            organisations,
            tiers,
            kinds,
            engines,
        })
    }

    /// Returns the rate of requests per second that keeps every slot busy with this mix of kinds.
    pub fn capacity(&self) -> f64 {
        let total: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let per_engine = self.engines.iter().map(|e| {
            let mean: f64 = self
                .kinds
                .iter()
                .map(|k| k.weight / total * service_time_s(k, e))
                .sum();
            f64::from(e.spec.slots) / mean
        });
        per_engine.sum()
    }

    /// Draws requests at `factor` times the capacity with the random seed `seed`, for the tiers
    /// that `keep` accepts. The same seed gives the same requests of a tier, whichever other tiers
    /// are kept.
    pub fn draw_requests<F>(&self, factor: f64, seed: u64, keep: F) -> Vec<PlannedRequest>
    where
        F: Fn(Tier) -> bool,
    {
        let total: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let rate = self.capacity() * factor / self.mean_burst_factor();
        let mut planned = Vec::new();
        for (index, kind) in self.kinds.iter().enumerate().filter(|(_, k)| keep(k.tier)) {
            let mut rng = fastrand::Rng::with_seed(seed ^ hash_parts(&[kind.name.as_bytes()]));
            let mut at = 0.0;
            let kind_rate = rate * kind.weight / total;
            loop {
                let arrival_rate = kind_rate * self.burst_factor_at(at);
                at += -(1.0 - rng.f64()).ln() / arrival_rate;
                if at >= self.duration.as_secs_f64() {
                    break;
                }
                planned.push(self.draw_request(index, kind, at, &mut rng));
            }
        }
        planned.sort_by_key(|p| p.arrival);
        planned
    }

    fn draw_request(
        &self,
        index: usize,
        kind: &WorkloadKind,
        at: f64,
        rng: &mut fastrand::Rng,
    ) -> PlannedRequest {
        let organisation = if rng.bool() {
            0
        } else {
            rng.u32(0..self.organisations)
        };
        let drawn_input = log_uniform(&kind.input, rng);
        let prefix_index = (kind.prefixes > 0).then(|| rng.u32(0..kind.prefixes));
        let input = drawn_input.max(if prefix_index.is_some() {
            kind.prefix_tokens + 16
        } else {
            1
        });
        let shared_tokens = if prefix_index.is_some() {
            kind.prefix_tokens
        } else {
            0
        };
        let unique = rng.u64(..);
        let marks = (0..(FINE_STEPS + COARSE_STEPS) as usize)
            .take_while(|i| prefix_tokens(*i) <= input)
            .map(|i| {
                let in_shared = prefix_tokens(i) <= shared_tokens;
                let prefix_id = if in_shared {
                    u64::from(prefix_index.unwrap_or(0))
                } else {
                    unique
                };
                let name: &[u8] = if in_shared { kind.name.as_bytes() } else { b"" };
                hash_parts(&[name, &prefix_id.to_be_bytes(), &i.to_be_bytes()]) as u32
            })
            .collect();
        PlannedRequest {
            arrival: Time((at * 1e6) as u64),
            kind: index,
            organisation,
            input,
            output: log_uniform(&kind.output, rng),
            marks,
        }
    }

    fn burst_factor_at(&self, at: f64) -> f64 {
        let phase = at % self.burst_every.as_secs_f64().max(1.0);
        if phase < self.burst_length.as_secs_f64() {
            self.burst_factor
        } else {
            1.0
        }
    }

    fn mean_burst_factor(&self) -> f64 {
        let share = self.burst_length.as_secs_f64() / self.burst_every.as_secs_f64().max(1.0);
        1.0 + share * (self.burst_factor - 1.0)
    }
}

fn log_uniform(range: &RangeInclusive<f64>, rng: &mut fastrand::Rng) -> u32 {
    let (low, high) = (range.start().ln(), range.end().ln());
    (low + (high - low) * rng.f64()).exp().round() as u32
}

/// Returns the mean of a log-uniform distribution over `range`.
fn log_uniform_mean(range: &RangeInclusive<f64>) -> f64 {
    let (low, high) = (*range.start(), *range.end());
    if high <= low {
        low
    } else {
        (high - low) / (high / low).ln()
    }
}

fn service_time_s(kind: &WorkloadKind, engine: &WorkloadEngine) -> f64 {
    let batch = f64::from(engine.spec.slots.saturating_sub(1));
    let token_time = (1.0 + engine.settings.batch_slope * batch) / engine.settings.decode_rate;
    // The prompts of all slots share the engine's prefill rate.
    let prefill = log_uniform_mean(&kind.input) / engine.settings.prefill_rate;
    prefill * f64::from(engine.spec.slots) + log_uniform_mean(&kind.output) * token_time
}

fn read_tiers(doc: &mut Document) -> IndexMap<Tier, String> {
    let mut tiers = IndexMap::new();
    for mut s in doc.take_sections("tier") {
        let rank = doc.number(&mut s, "rank", 0..=15, 0);
        tiers.insert(Tier(rank), s.label().to_owned());
        doc.check_unknown_keys(&s);
    }
    tiers.sort_keys();
    tiers
}

fn read_kinds(doc: &mut Document, tiers: &IndexMap<Tier, String>) -> Vec<WorkloadKind> {
    let mut kinds = Vec::new();
    for mut s in doc.take_sections("kind") {
        let tier_name = doc.required(&mut s, "tier");
        let tier = tiers
            .iter()
            .find(|(_, n)| **n == tier_name)
            .map(|(t, _)| *t);
        if tier.is_none() {
            doc.add_error(&s, "tier", "no `[tier]` section with this name");
        }
        kinds.push(WorkloadKind {
            name: s.label().to_owned(),
            tier: tier.unwrap_or_default(),
            weight: doc.number(&mut s, "weight", 0.0..=1e6, 1.0),
            input: read_range(doc, &mut s, "input"),
            output: read_range(doc, &mut s, "output"),
            deadline: Span::from_millis(doc.number(&mut s, "deadline-ms", 1..=3_600_000, 30_000)),
            prefixes: doc.number(&mut s, "prefixes", 0..=100_000, 0),
            prefix_tokens: doc.number(&mut s, "prefix-tokens", 0..=100_000, 0),
            roles: doc.list(&mut s, "roles"),
        });
        doc.check_unknown_keys(&s);
    }
    kinds
}

fn read_range(doc: &mut Document, s: &mut Section, key: &str) -> RangeInclusive<f64> {
    let text = doc.required(s, key);
    let parsed = text
        .split_once("..")
        .and_then(|(low, high)| Some((low.parse::<f64>().ok()?, high.parse::<f64>().ok()?)));
    match parsed {
        Some((low, high)) if low >= 1.0 && low <= high => low..=high,
        _ => {
            doc.add_error(s, key, "expected a range `LOW..HIGH` with 1 <= LOW <= HIGH");
            1.0..=1.0
        }
    }
}

fn read_engines(doc: &mut Document) -> Vec<WorkloadEngine> {
    let mut engines = Vec::new();
    for mut s in doc.take_sections("engines") {
        let settings = EngineSettings {
            prefill_rate: doc.number(&mut s, "prefill-rate", 1.0..=1e7, 8_000.0),
            decode_rate: doc.number(&mut s, "decode-rate", 0.1..=1e5, 40.0),
            cache_tokens: doc.number(&mut s, "cache-tokens", 0..=1 << 30, 0),
            ..EngineSettings::default()
        };
        let role = doc.required(&mut s, "role");
        let slots = doc.number(&mut s, "slots", 1..=4_096, 8);
        for i in 0..doc.number(&mut s, "count", 1..=64, 1) {
            let spec = UpstreamSpec {
                name: format!("{}{i}", s.label()),
                role: role.clone(),
                slots,
                prefill_rate: settings.prefill_rate,
                decode_rate: settings.decode_rate,
                cache_tokens: settings.cache_tokens,
            };
            engines.push(WorkloadEngine {
                spec,
                settings: settings.clone(),
            });
        }
        doc.check_unknown_keys(&s);
    }
    engines
}
