//! One run of a workload under a policy.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use stoatjunction_core::id::{GatewayId, ShardId, TicketId, Tier};
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::{
    Action, Features, FinishReport, LoadReport, Shard, ShardSettings, Ticket,
};
use stoatjunction_core::time::{Span, Time};
use stoatjunction_standin::engine::{EngineRequest, Token};

use super::baseline::{Baseline, Chooser, Seen};
use super::pool::{Happening, Pool};
use super::report::{Report, TierReport};
use super::workload::{PlannedRequest, Workload};

/// Time between two looks of the scheduler, as in the dispatcher.
const TICK: Span = Span::from_millis(20);
/// Time between two load reports, as in the dispatcher.
const REPORT: Span = Span::from_millis(250);
/// Age of a load report when it is read.
const REPORT_LAG: Span = Span::from_millis(500);
/// Time between two readings of cache events.
const CACHE: Span = Span::from_millis(1_000);
/// Chance that a reading of cache events has a gap.
const GAP: f64 = 0.02;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The shard, with some parts of its policy.
    Shard(Features),
    /// A simple way.
    Baseline(Baseline),
}

/// How a run is done.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Name in the report.
    pub name: String,
    /// Offered load in multiples of the capacity.
    pub factor: f64,
    /// Seed.
    pub seed: u64,
    /// Who decides.
    pub policy: Policy,
    /// Only tiers up to this one send requests.
    pub lowest_tier: Tier,
    /// Caches are known exactly and at once.
    pub exact_cache: bool,
    /// An engine that becomes slower: its number, the time, and the factor in thousandths.
    pub engine_slowdown: Option<(usize, Time, u32)>,
}

impl Default for SimulationOptions {
    fn default() -> Self {
        SimulationOptions {
            name: "stoatjunction".to_owned(),
            factor: 1.0,
            seed: 1,
            policy: Policy::Shard(Features::default()),
            lowest_tier: Tier(u8::MAX),
            exact_cache: false,
            engine_slowdown: None,
        }
    }
}

/// A request that an engine runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    engine: usize,
    begun: Time,
    uncached: u32,
    tokens: u32,
    first: Option<Time>,
    last: Time,
}

#[derive(Debug)]
struct Tally {
    report: TierReport,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

struct Simulation<'a> {
    load: &'a Workload,
    options: &'a SimulationOptions,
    planned: Vec<PlannedRequest>,
    pool: Pool,
    shard: Shard,
    chooser: Option<Chooser>,
    quarantine: Quarantine,
    rng: fastrand::Rng,
    runs: IndexMap<usize, Run>,
    ended: Vec<bool>,
    tallies: IndexMap<Tier, Tally>,
    by_organisation: IndexMap<u32, (u64, u64)>,
    wasted: IndexMap<String, u64>,
    prefill: u64,
    cached: u64,
    cache_read: Vec<Time>,
}

/// Runs `load` as `options` say. The same arguments give the same report.
pub fn simulate(load: &Workload, options: &SimulationOptions) -> Report {
    let mut simulation = Simulation::new(load, options);
    simulation.run();
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(load: &'a Workload, options: &'a SimulationOptions) -> Simulation<'a> {
        let lowest_tier = options.lowest_tier;
        let planned = load.draw_requests(options.factor, options.seed, |tier| tier <= lowest_tier);
        let mut pool = Pool::new(&load.engines);
        for (n, p) in planned.iter().enumerate() {
            pool.at(p.at, Happening::Arrival(n));
        }
        for engine in 0..load.engines.len() {
            pool.at(Time(0), Happening::Report(engine));
            pool.at(Time(0), Happening::Cache(engine));
        }
        if let Some((engine, at, factor)) = options.engine_slowdown {
            pool.at(at, Happening::Slow(engine, factor));
        }
        pool.at(Time(0), Happening::Tick);
        let (features, chooser) = match options.policy {
            Policy::Shard(features) => (features, None),
            Policy::Baseline(b) => (Features::default(), Some(Chooser::new(b, options.seed))),
        };
        let cfg = ShardSettings {
            features,
            takeover_grace: Span::ZERO,
            ..ShardSettings::default()
        };
        let mut shard = Shard::new(ShardId::default(), cfg, Time(0));
        shard.set_upstreams(load.engines.iter().map(|e| e.spec.clone()).collect());
        Simulation {
            load,
            options,
            pool,
            shard,
            chooser,
            quarantine: Quarantine::default(),
            rng: fastrand::Rng::with_seed(options.seed),
            runs: IndexMap::new(),
            ended: vec![false; planned.len()],
            planned,
            tallies: load
                .tiers
                .iter()
                .map(|(t, name)| (*t, tally(name)))
                .collect(),
            by_organisation: IndexMap::new(),
            wasted: IndexMap::new(),
            prefill: 0,
            cached: 0,
            cache_read: vec![Time(0); load.engines.len()],
        }
    }

    fn run(&mut self) {
        let end = Time(0) + self.load.duration + Span::from_millis(120_000);
        while let Some((now, what)) = self.pool.next() {
            if now > end {
                break;
            }
            match what {
                Happening::Arrival(n) => self.arrive(n, now),
                Happening::StepEnd(engine) => {
                    for token in self.pool.end_step(engine, now) {
                        self.token(token, now);
                    }
                    self.decide(now);
                }
                Happening::Tick => {
                    self.decide(now);
                    self.pool.at(now + TICK, Happening::Tick);
                }
                Happening::Report(engine) => self.report_load(engine, now),
                Happening::Cache(engine) => self.read_cache(engine, now),
                Happening::Deadline(n) => self.deadline(n, now),
                Happening::Slow(engine, factor) => {
                    self.pool.engines[engine]
                        .model
                        .set_slowdown(f64::from(factor) / 1_000.0);
                }
            }
        }
    }

    fn arrive(&mut self, n: usize, now: Time) {
        let p = &self.planned[n];
        let kind = &self.load.kinds[p.kind];
        let deadline = now + kind.deadline;
        if self.counts(n) {
            self.tallies[&kind.tier].report.offered += 1;
            self.by_organisation.entry(p.organisation).or_default().0 += 1;
        }
        self.pool.at(deadline, Happening::Deadline(n));
        match &mut self.chooser {
            Some(chooser) => chooser.queue.push_back(n),
            None => {
                let ticket = Ticket {
                    id: ticket_id(n),
                    tier: kind.tier,
                    organisation: format!("o{}", p.organisation),
                    share: 1,
                    kind: kind.name.clone(),
                    arrival: now,
                    deadline,
                    input_tokens: p.input,
                    output_hint: 100,
                    marks: p.marks.clone(),
                    fingerprint: n as u64,
                    cancellable: true,
                    roles: kind.roles.clone(),
                };
                self.shard.enqueue(ticket, now);
            }
        }
        self.decide(now);
    }

    fn decide(&mut self, now: Time) {
        if self.chooser.is_some() {
            self.decide_by_baseline(now);
            return;
        }
        for action in self.shard.schedule(now, &self.quarantine) {
            match action {
                Action::Grant {
                    ticket, upstream, ..
                } => {
                    let is_it = |e: &super::workload::WorkloadEngine| e.spec.name == upstream;
                    let engine = self.load.engines.iter().position(is_it);
                    self.shard.confirm(ticket, now);
                    self.begin(ticket.seq as usize, engine.unwrap_or(0), now);
                }
                Action::Decline { ticket, .. } => self.shed(ticket.seq as usize),
                Action::Revoke { ticket } => {
                    let n = ticket.seq as usize;
                    self.break_off(n, "revoked", now);
                    self.count(n, |t| t.preempted += 1);
                }
            }
        }
    }

    fn decide_by_baseline(&mut self, now: Time) {
        let Some(mut chooser) = self.chooser.take() else {
            return;
        };
        let mut blocked: Vec<Vec<String>> = Vec::new();
        for n in std::mem::take(&mut chooser.queue) {
            if self.ended[n] {
                continue;
            }
            let roles = self.load.kinds[self.planned[n].kind].roles.clone();
            let open = !blocked.contains(&roles);
            match open.then(|| chooser.choose(&self.seen(&roles))).flatten() {
                Some(engine) => self.begin(n, engine, now),
                None => {
                    if open {
                        blocked.push(roles);
                    }
                    chooser.queue.push_back(n);
                }
            }
        }
        self.chooser = Some(chooser);
    }

    fn seen(&self, roles: &[String]) -> Vec<Seen> {
        let engines = self.load.engines.iter().enumerate();
        engines
            .map(|(i, e)| Seen {
                allowed: roles.is_empty() || roles.contains(&e.spec.role),
                outstanding: self.pool.engines[i].model.active(),
                reported: self.pool.engines[i].samples.last().map_or(0, |s| s.1),
                slots: e.spec.slots,
            })
            .collect()
    }

    fn begin(&mut self, n: usize, engine: usize, now: Time) {
        let p = &self.planned[n];
        let req = EngineRequest {
            id: n.to_string(),
            prompt_tokens: p.input,
            marks: p.marks.clone(),
            output_tokens: p.output.max(1),
        };
        let (input, counts) = (p.input, self.counts(n));
        let cached = self.pool.admit(engine, req, now);
        if counts {
            self.cached += u64::from(cached);
        }
        let uncached = input - cached;
        let run = Run {
            engine,
            begun: now,
            uncached,
            tokens: 0,
            first: None,
            last: now,
        };
        self.runs.insert(n, run);
        if self.options.exact_cache {
            let evicted = self.pool.engines[engine].model.take_evicted();
            self.shard
                .record_cache_events(&self.load.engines[engine].spec.name, &evicted, None);
        }
    }

    fn token(&mut self, token: Token, now: Time) {
        let n: usize = token.id.parse().unwrap_or_default();
        let Some(run) = self.runs.get_mut(&n) else {
            return;
        };
        let gap = now.since(run.last);
        let is_first = run.first.is_none();
        run.first.get_or_insert(now);
        run.last = now;
        run.tokens += 1;
        let arrived = self.planned[n].at;
        if self.counts(n) {
            let tally = &mut self.tallies[&self.load.kinds[self.planned[n].kind].tier];
            if is_first {
                tally.first.saturating_record(now.since(arrived).0);
            } else {
                tally.between.saturating_record(gap.0);
            }
        }
        if token.last {
            self.finish(n, now);
        }
    }

    fn finish(&mut self, n: usize, now: Time) {
        let Some(run) = self.runs.swap_remove(&n) else {
            return;
        };
        self.ended[n] = true;
        self.count_prefill(n, run.uncached);
        let report = FinishReport {
            whole: true,
            output_tokens: run.tokens,
            first_token: run.first.unwrap_or(now).since(run.begun),
            total: now.since(run.begun),
            ..FinishReport::default()
        };
        self.shard.finish(ticket_id(n), report, now);
        self.count(n, |t| t.good += 1);
        if self.counts(n) {
            self.by_organisation
                .entry(self.planned[n].organisation)
                .or_default()
                .1 += 1;
        }
    }

    fn shed(&mut self, n: usize) {
        self.ended[n] = true;
        self.count(n, |t| t.shed += 1);
    }

    fn deadline(&mut self, n: usize, now: Time) {
        if self.ended[n] {
            return;
        }
        if self.runs.contains_key(&n) {
            self.break_off(n, "late", now);
            self.count(n, |t| t.late += 1);
            return;
        }
        self.shard.withdraw(ticket_id(n), now);
        self.shed(n);
    }

    /// Cancels a run; what was processed of its prompt is wasted.
    fn break_off(&mut self, n: usize, cause: &str, now: Time) {
        let Some(run) = self.runs.swap_remove(&n) else {
            return;
        };
        self.ended[n] = true;
        let left = self.pool.engines[run.engine]
            .model
            .cancel(&n.to_string())
            .unwrap_or(0);
        let processed = run.uncached.saturating_sub(left);
        self.count_prefill(n, processed);
        if self.counts(n) {
            *self.wasted.entry(cause.to_owned()).or_default() += u64::from(processed);
        }
        self.shard
            .finish(ticket_id(n), FinishReport::default(), now);
    }

    fn report_load(&mut self, engine: usize, now: Time) {
        self.pool.at(now + REPORT, Happening::Report(engine));
        let e = &mut self.pool.engines[engine];
        let (steps, spent) = e.model.decode_totals();
        e.samples.push((now, e.model.active(), steps, spent));
        let seen = e.samples.iter().rposition(|s| s.0 + REPORT_LAG <= now);
        let Some(index) = seen else {
            let report = LoadReport {
                sampled: now,
                incarnation: 1,
                ..LoadReport::default()
            };
            self.shard
                .record_load(&self.load.engines[engine].spec.name, report, now);
            return;
        };
        let (sampled, active, steps, spent) = e.samples[index];
        let (_, _, steps_before, spent_before) = e.samples[index.saturating_sub(4)];
        let count = steps - steps_before;
        let pace = (count > 0).then(|| (spent - spent_before).as_secs_f64() / count as f64);
        let report = LoadReport {
            sampled,
            active,
            incarnation: 1,
            token_pace: pace,
            leaving: false,
        };
        self.shard
            .record_load(&self.load.engines[engine].spec.name, report, now);
    }

    fn read_cache(&mut self, engine: usize, now: Time) {
        self.pool.at(now + CACHE, Happening::Cache(engine));
        if self.options.exact_cache {
            return;
        }
        let evicted = self.pool.engines[engine].model.take_evicted();
        let gap = self.rng.f64() < GAP;
        let since = std::mem::replace(&mut self.cache_read[engine], now);
        let name = &self.load.engines[engine].spec.name;
        if gap {
            self.shard.record_cache_events(name, &[], Some(since));
        } else {
            self.shard.record_cache_events(name, &evicted, None);
        }
    }

    fn counts(&self, n: usize) -> bool {
        self.planned[n].at >= Time(0) + self.load.warm_up
    }

    fn count_prefill(&mut self, n: usize, tokens: u32) {
        if self.counts(n) {
            self.prefill += u64::from(tokens);
        }
    }

    fn count<F>(&mut self, n: usize, change: F)
    where
        F: FnOnce(&mut TierReport),
    {
        if self.counts(n) {
            let tier = self.load.kinds[self.planned[n].kind].tier;
            change(&mut self.tallies[&tier].report);
        }
    }

    fn report(self) -> Report {
        let tiers = self.tallies.into_values().map(|t| TierReport {
            first_ms: percentiles(&t.first),
            between_ms: percentiles(&t.between),
            ..t.report
        });
        Report {
            policy: self.options.name.clone(),
            factor: self.options.factor,
            seed: self.options.seed,
            tiers: tiers.collect(),
            prefill_tokens: self.prefill,
            cached_tokens: self.cached,
            wasted_tokens: self.wasted,
            fairness: jain(self.by_organisation.values()),
        }
    }
}

fn ticket_id(n: usize) -> TicketId {
    TicketId {
        gateway: GatewayId(1),
        seq: n as u64,
    }
}

fn tally(name: &str) -> Tally {
    let histogram = || Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds are in order");
    let report = TierReport {
        name: name.to_owned(),
        ..TierReport::default()
    };
    Tally {
        report,
        first: histogram(),
        between: histogram(),
    }
}

fn percentiles(h: &Histogram<u64>) -> (u64, u64) {
    (
        h.value_at_quantile(0.5) / 1_000,
        h.value_at_quantile(0.95) / 1_000,
    )
}

/// Jain's index of the shares (offered, good).
fn jain<'a, I>(organisations: I) -> f64
where
    I: Iterator<Item = &'a (u64, u64)>,
{
    let shares: Vec<f64> = organisations
        .filter(|(offered, _)| *offered > 0)
        .map(|(offered, good)| *good as f64 / *offered as f64)
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|s| s * s).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (shares.len() as f64 * squares)
    }
}
