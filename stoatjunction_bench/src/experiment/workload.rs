//! Workload files, and the requests drawn from them.

use std::ops::RangeInclusive;

use indexmap::IndexMap;
use stoatjunction_core::hash::hash_parts;
use stoatjunction_core::id::Tier;
use stoatjunction_core::prefix::{COARSE_STEPS, FINE_STEPS, prefix_tokens};
use stoatjunction_core::shard::UpstreamSpec;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::ini::{Document, IniErrors, Section};
use stoatjunction_standin::engine::EngineSettings;

/// A kind of request in a workload.
#[derive(Clone, Debug)]
pub struct WorkloadKind {
    /// Name.
    pub name: String,
    /// Tier of its callers.
    pub tier: Tier,
    /// Share of all requests, relative to the other kinds.
    pub weight: f64,
    /// Prompt length in tokens.
    pub input: RangeInclusive<f64>,
    /// Answer length in tokens.
    pub output: RangeInclusive<f64>,
    /// Time for the answer.
    pub deadline: Span,
    /// Number of shared prefixes.
    pub prefixes: u32,
    /// Length of a shared prefix in tokens.
    pub prefix_tokens: u32,
    /// Roles that may serve it.
    pub roles: Vec<String>,
}

/// An engine of a workload.
#[derive(Clone, Debug)]
pub struct WorkloadEngine {
    /// What the scheduler is told of it.
    pub spec: UpstreamSpec,
    /// How it behaves.
    pub settings: EngineSettings,
}

/// A workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Length of the run.
    pub duration: Span,
    /// Time at its start that is not counted.
    pub warm_up: Span,
    /// Factor of the arrival rate within a burst.
    pub burst_factor: f64,
    /// Time between two bursts.
    pub burst_every: Span,
    /// Length of a burst.
    pub burst_length: Span,
    /// Number of organisations; the first sends half of everything.
    pub organisations: u32,
    /// Names of the tiers by rank.
    pub tiers: IndexMap<Tier, String>,
    /// Kinds.
    pub kinds: Vec<WorkloadKind>,
    /// Engines.
    pub engines: Vec<WorkloadEngine>,
}

/// A request that will arrive.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// When it arrives.
    pub at: Time,
    /// Number of its kind.
    pub kind: usize,
    /// Organisation.
    pub organisation: u32,
    /// Prompt length in tokens.
    pub input: u32,
    /// Answer length in tokens; only the engine knows it.
    pub output: u32,
    /// Hashes of the prompt's prefixes.
    pub marks: Vec<u32>,
}

impl Workload {
    /// Reads a workload from `text`, which came from `file`.
    ///
    /// # Errors
    ///
    /// [`IniErrors`] with every fault.
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

    /// Requests a second that keep every slot busy, for the mix of kinds.
    pub fn capacity(&self) -> f64 {
        let total: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let per_engine = self.engines.iter().map(|e| {
            let mean: f64 = self
                .kinds
                .iter()
                .map(|k| k.weight / total * service_s(k, e))
                .sum();
            f64::from(e.spec.slots) / mean
        });
        per_engine.sum()
    }

    /// Requests at `factor` times the capacity, drawn from `seed`; only tiers that `keep` accepts.
    /// The same seed gives the same requests of a tier, whatever the other tiers do.
    pub fn draw_requests<F>(&self, factor: f64, seed: u64, keep: F) -> Vec<PlannedRequest>
    where
        F: Fn(Tier) -> bool,
    {
        let total: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let rate = self.capacity() * factor / self.mean_burst();
        let mut planned = Vec::new();
        for (index, kind) in self.kinds.iter().enumerate().filter(|(_, k)| keep(k.tier)) {
            let mut rng = fastrand::Rng::with_seed(seed ^ hash_parts(&[kind.name.as_bytes()]));
            let mut at = 0.0;
            let kind_rate = rate * kind.weight / total;
            loop {
                let pace = kind_rate * self.burst_at(at);
                at += -(1.0 - rng.f64()).ln() / pace;
                if at >= self.duration.as_secs_f64() {
                    break;
                }
                planned.push(self.draw(index, kind, at, &mut rng));
            }
        }
        planned.sort_by_key(|p| p.at);
        planned
    }

    fn draw(
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
        let own = log_uniform(&kind.input, rng);
        let group = (kind.prefixes > 0).then(|| rng.u32(0..kind.prefixes));
        let input = own.max(if group.is_some() {
            kind.prefix_tokens + 16
        } else {
            1
        });
        let shared = if group.is_some() {
            kind.prefix_tokens
        } else {
            0
        };
        let unique = rng.u64(..);
        let marks = (0..(FINE_STEPS + COARSE_STEPS) as usize)
            .take_while(|i| prefix_tokens(*i) <= input)
            .map(|i| {
                let in_shared = prefix_tokens(i) <= shared;
                let of = if in_shared {
                    u64::from(group.unwrap_or(0))
                } else {
                    unique
                };
                let name: &[u8] = if in_shared { kind.name.as_bytes() } else { b"" };
                hash_parts(&[name, &of.to_be_bytes(), &i.to_be_bytes()]) as u32
            })
            .collect();
        PlannedRequest {
            at: Time((at * 1e6) as u64),
            kind: index,
            organisation,
            input,
            output: log_uniform(&kind.output, rng),
            marks,
        }
    }

    fn burst_at(&self, at: f64) -> f64 {
        let phase = at % self.burst_every.as_secs_f64().max(1.0);
        if phase < self.burst_length.as_secs_f64() {
            self.burst_factor
        } else {
            1.0
        }
    }

    fn mean_burst(&self) -> f64 {
        let share = self.burst_length.as_secs_f64() / self.burst_every.as_secs_f64().max(1.0);
        1.0 + share * (self.burst_factor - 1.0)
    }
}

fn log_uniform(range: &RangeInclusive<f64>, rng: &mut fastrand::Rng) -> u32 {
    let (low, high) = (range.start().ln(), range.end().ln());
    (low + (high - low) * rng.f64()).exp().round() as u32
}

/// Mean of a log-uniform draw.
fn mean_of(range: &RangeInclusive<f64>) -> f64 {
    let (low, high) = (*range.start(), *range.end());
    if high <= low {
        low
    } else {
        (high - low) / (high / low).ln()
    }
}

fn service_s(kind: &WorkloadKind, engine: &WorkloadEngine) -> f64 {
    let batch = f64::from(engine.spec.slots.saturating_sub(1));
    let pace = (1.0 + engine.settings.batch_slope * batch) / engine.settings.decode_rate;
    // Prompts of all slots share the engine's prefill.
    let prefill = mean_of(&kind.input) / engine.settings.prefill_rate;
    prefill * f64::from(engine.spec.slots) + mean_of(&kind.output) * pace
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
            doc.add_error(&s, "tier", "no such tier");
        }
        kinds.push(WorkloadKind {
            name: s.label().to_owned(),
            tier: tier.unwrap_or_default(),
            weight: doc.number(&mut s, "weight", 0.0..=1e6, 1.0),
            input: range(doc, &mut s, "input"),
            output: range(doc, &mut s, "output"),
            deadline: Span::from_millis(doc.number(&mut s, "deadline-ms", 1..=3_600_000, 30_000)),
            prefixes: doc.number(&mut s, "prefixes", 0..=100_000, 0),
            prefix_tokens: doc.number(&mut s, "prefix-tokens", 0..=100_000, 0),
            roles: doc.list(&mut s, "roles"),
        });
        doc.check_unknown_keys(&s);
    }
    kinds
}

fn range(doc: &mut Document, s: &mut Section, key: &str) -> RangeInclusive<f64> {
    let text = doc.required(s, key);
    let parsed = text
        .split_once("..")
        .and_then(|(low, high)| Some((low.parse::<f64>().ok()?, high.parse::<f64>().ok()?)));
    match parsed {
        Some((low, high)) if low >= 1.0 && low <= high => low..=high,
        _ => {
            doc.add_error(s, key, "not a range `LOW..HIGH` with 1 <= LOW <= HIGH");
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
