//! Simulation of one workload under a policy.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use stoatjunction_core::id::{GatewayId, ShardId, TicketId, Tier};
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::{
    Action, Features, FinishReport, LoadReport, Shard, ShardSettings, Ticket,
};
use stoatjunction_core::time::{Span, Time};
use stoatjunction_standin::engine::{EngineRequest, Token};

use super::baseline::{Baseline, BaselineScheduler, EngineView};
use super::engine_pool::{EnginePool, Event};
use super::report::{Report, TierReport};
use super::workload::{PlannedRequest, Workload, WorkloadEngine};

/// Time between two scheduling rounds, as in the dispatcher.
const SCHEDULE_INTERVAL: Span = Span::from_millis(20);
/// Time between two polls of an engine's load, as in the dispatcher.
const LOAD_POLL_INTERVAL: Span = Span::from_millis(250);
/// Minimum age of a load sample when the scheduler sees it.
const LOAD_REPORT_DELAY: Span = Span::from_millis(500);
/// Time between two polls of an engine's cache events.
const CACHE_POLL_INTERVAL: Span = Span::from_millis(1_000);
/// Probability that a poll of cache events finds a gap instead of the events.
const CACHE_GAP_PROBABILITY: f64 = 0.02;

/// The scheduler that assigns requests to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The production scheduler, with the given features enabled.
    Shard(Features),
    /// A baseline.
    Baseline(Baseline),
}

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOptions {
    /// Name of the policy in the report.
    pub name: String,
    /// Offered load in multiples of the capacity.
    pub factor: f64,
    /// Seed of the requests and of the random decisions.
    pub seed: u64,
    /// Scheduler.
    pub policy: Policy,
    /// Lowest tier that sends requests.
    pub lowest_tier: Tier,
    /// Evictions reach the scheduler immediately and without gaps.
    pub exact_cache: bool,
    /// Slowdown of one engine: its index, the time of the slowdown and the factor in thousandths.
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

/// A request running on an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    engine: usize,
    started: Time,
    /// Prompt tokens that were not in the cache of the engine.
    uncached: u32,
    /// Tokens generated so far.
    tokens: u32,
    first_token: Option<Time>,
    last_token: Time,
}

#[derive(Debug)]
struct TierStats {
    report: TierReport,
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
}

struct Simulation<'a> {
    workload: &'a Workload,
    options: &'a SimulationOptions,
    requests: Vec<PlannedRequest>,
    pool: EnginePool,
    shard: Shard,
    baseline_scheduler: Option<BaselineScheduler>,
    quarantine: Quarantine,
    rng: fastrand::Rng,
    /// Runs by index of their request.
    runs: IndexMap<usize, Run>,
    /// Whether each request has ended: finished, shed or cancelled.
    ended: Vec<bool>,
    tier_stats: IndexMap<Tier, TierStats>,
    /// Numbers of offered and of good requests by organisation.
    organisation_counts: IndexMap<u32, (u64, u64)>,
    /// Prompt tokens processed for cancelled runs, by cause.
    wasted_tokens: IndexMap<String, u64>,
    prefill_tokens: u64,
    cached_tokens: u64,
    cache_polled_at: Vec<Time>,
}

/// Simulates `workload` with `options`. The same arguments give the same report.
pub fn simulate(workload: &Workload, options: &SimulationOptions) -> Report {
    let mut simulation = Simulation::new(workload, options);
    simulation.run();
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, options: &'a SimulationOptions) -> Simulation<'a> {
        let lowest_tier = options.lowest_tier;
        let requests =
            workload.draw_requests(options.factor, options.seed, |tier| tier <= lowest_tier);
        let mut pool = EnginePool::new(&workload.engines);
        for (n, p) in requests.iter().enumerate() {
            pool.schedule(p.arrival, Event::Arrival(n));
        }
        for engine in 0..workload.engines.len() {
            pool.schedule(Time(0), Event::LoadPoll(engine));
            pool.schedule(Time(0), Event::CachePoll(engine));
        }
        if let Some((engine, at, factor)) = options.engine_slowdown {
            pool.schedule(at, Event::Slowdown(engine, factor));
        }
        pool.schedule(Time(0), Event::Tick);
        let (features, baseline_scheduler) = match options.policy {
            Policy::Shard(features) => (features, None),
            Policy::Baseline(b) => (
                Features::default(),
                Some(BaselineScheduler::new(b, options.seed)),
            ),
        };
        let cfg = ShardSettings {
            features,
            takeover_grace: Span::ZERO,
            ..ShardSettings::default()
        };
        let mut shard = Shard::new(ShardId::default(), cfg, Time(0));
        shard.set_upstreams(workload.engines.iter().map(|e| e.spec.clone()).collect());
        Simulation {
            workload,
            options,
            pool,
            shard,
            baseline_scheduler,
            quarantine: Quarantine::default(),
            rng: fastrand::Rng::with_seed(options.seed),
            runs: IndexMap::new(),
            ended: vec![false; requests.len()],
            requests,
            tier_stats: workload
                .tiers
                .iter()
                .map(|(t, name)| (*t, new_tier_stats(name)))
                .collect(),
            organisation_counts: IndexMap::new(),
            wasted_tokens: IndexMap::new(),
            prefill_tokens: 0,
            cached_tokens: 0,
            cache_polled_at: vec![Time(0); workload.engines.len()],
        }
    }

    fn run(&mut self) {
        let end = Time(0) + self.workload.duration + Span::from_millis(120_000);
        while let Some((now, event)) = self.pool.next_event() {
            if now > end {
                break;
            }
            match event {
                Event::Arrival(n) => self.handle_arrival(n, now),
                Event::StepEnd(engine) => {
                    for token in self.pool.end_step(engine, now) {
                        self.record_token(token, now);
                    }
                    self.schedule(now);
                }
                Event::Tick => {
                    self.schedule(now);
                    self.pool.schedule(now + SCHEDULE_INTERVAL, Event::Tick);
                }
                Event::LoadPoll(engine) => self.poll_load(engine, now),
                Event::CachePoll(engine) => self.poll_cache_events(engine, now),
                Event::Deadline(n) => self.handle_deadline(n, now),
                Event::Slowdown(engine, factor) => {
                    self.pool.engines[engine]
                        .model
                        .set_slowdown(f64::from(factor) / 1_000.0);
                }
            }
        }
    }

    fn handle_arrival(&mut self, n: usize, now: Time) {
        let p = &self.requests[n];
        let kind = &self.workload.kinds[p.kind];
        let deadline = now + kind.deadline;
        if self.is_measured(n) {
            self.tier_stats[&kind.tier].report.offered += 1;
            self.organisation_counts
                .entry(p.organisation)
                .or_default()
                .0 += 1;
        }
        self.pool.schedule(deadline, Event::Deadline(n));
        match &mut self.baseline_scheduler {
            Some(baseline_scheduler) => baseline_scheduler.queue.push_back(n),
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
        self.schedule(now);
    }

    fn schedule(&mut self, now: Time) {
        if self.baseline_scheduler.is_some() {
            self.schedule_by_baseline(now);
            return;
        }
        for action in self.shard.schedule(now, &self.quarantine) {
            match action {
                Action::Grant {
                    ticket, upstream, ..
                } => {
                    let has_name = |e: &WorkloadEngine| e.spec.name == upstream;
                    let engine = self.workload.engines.iter().position(has_name);
                    self.shard.confirm(ticket, now);
                    self.start_run(ticket.seq as usize, engine.unwrap_or(0), now);
                }
                Action::Decline { ticket, .. } => self.record_shed(ticket.seq as usize),
                Action::Revoke { ticket } => {
                    let n = ticket.seq as usize;
                    self.cancel_run(n, "revoked", now);
                    self.update_report(n, |t| t.preempted += 1);
                }
            }
        }
    }

    fn schedule_by_baseline(&mut self, now: Time) {
        let Some(mut baseline_scheduler) = self.baseline_scheduler.take() else {
            return;
        };
        let mut blocked: Vec<Vec<String>> = Vec::new();
        for n in std::mem::take(&mut baseline_scheduler.queue) {
            if self.ended[n] {
                continue;
            }
            let roles = self.workload.kinds[self.requests[n].kind].roles.clone();
            let is_unblocked = !blocked.contains(&roles);
            match is_unblocked
                .then(|| baseline_scheduler.choose_engine(&self.engine_views(&roles)))
                .flatten()
            {
                Some(engine) => self.start_run(n, engine, now),
                None => {
                    if is_unblocked {
                        blocked.push(roles);
                    }
                    baseline_scheduler.queue.push_back(n);
                }
            }
        }
        self.baseline_scheduler = Some(baseline_scheduler);
    }

    fn engine_views(&self, roles: &[String]) -> Vec<EngineView> {
        let engines = self.workload.engines.iter().enumerate();
        engines
            .map(|(i, e)| EngineView {
                allowed: roles.is_empty() || roles.contains(&e.spec.role),
                outstanding: self.pool.engines[i].model.active(),
                reported: self.pool.engines[i].samples.last().map_or(0, |s| s.1),
                slots: e.spec.slots,
            })
            .collect()
    }

    fn start_run(&mut self, n: usize, engine: usize, now: Time) {
        let p = &self.requests[n];
        let req = EngineRequest {
            id: n.to_string(),
            prompt_tokens: p.input,
            marks: p.marks.clone(),
            output_tokens: p.output.max(1),
        };
        let (input, is_measured) = (p.input, self.is_measured(n));
        let cached = self.pool.admit(engine, req, now);
        if is_measured {
            self.cached_tokens += u64::from(cached);
        }
        let uncached = input - cached;
        let run = Run {
            engine,
            started: now,
            uncached,
            tokens: 0,
            first_token: None,
            last_token: now,
        };
        self.runs.insert(n, run);
        if self.options.exact_cache {
            let evicted = self.pool.engines[engine].model.take_evicted();
            self.shard.record_cache_events(
                &self.workload.engines[engine].spec.name,
                &evicted,
                None,
            );
        }
    }

    fn record_token(&mut self, token: Token, now: Time) {
        let n: usize = token.id.parse().unwrap_or_default();
        let Some(run) = self.runs.get_mut(&n) else {
            return;
        };
        let gap = now.since(run.last_token);
        let is_first = run.first_token.is_none();
        run.first_token.get_or_insert(now);
        run.last_token = now;
        run.tokens += 1;
        let arrived = self.requests[n].arrival;
        if self.is_measured(n) {
            let stats = &mut self.tier_stats[&self.workload.kinds[self.requests[n].kind].tier];
            if is_first {
                stats.first_token.saturating_record(now.since(arrived).0);
            } else {
                stats.inter_token.saturating_record(gap.0);
            }
        }
        if token.last {
            self.finish_run(n, now);
        }
    }

    fn finish_run(&mut self, n: usize, now: Time) {
        let Some(run) = self.runs.swap_remove(&n) else {
            return;
        };
        self.ended[n] = true;
        self.add_prefill(n, run.uncached);
        let report = FinishReport {
            whole: true,
            output_tokens: run.tokens,
            first_token: run.first_token.unwrap_or(now).since(run.started),
            total: now.since(run.started),
            ..FinishReport::default()
        };
        self.shard.finish(ticket_id(n), report, now);
        self.update_report(n, |t| t.good += 1);
        if self.is_measured(n) {
            self.organisation_counts
                .entry(self.requests[n].organisation)
                .or_default()
                .1 += 1;
        }
    }

    fn record_shed(&mut self, n: usize) {
        self.ended[n] = true;
        self.update_report(n, |t| t.shed += 1);
    }

    fn handle_deadline(&mut self, n: usize, now: Time) {
        if self.ended[n] {
            return;
        }
        if self.runs.contains_key(&n) {
            self.cancel_run(n, "late", now);
            self.update_report(n, |t| t.late += 1);
            return;
        }
        self.shard.withdraw(ticket_id(n), now);
        self.record_shed(n);
    }

    /// Cancels a run and counts the processed part of its prompt as wasted.
    fn cancel_run(&mut self, n: usize, cause: &str, now: Time) {
        let Some(run) = self.runs.swap_remove(&n) else {
            return;
        };
        self.ended[n] = true;
        let unprocessed = self.pool.engines[run.engine]
            .model
            .cancel(&n.to_string())
            .unwrap_or(0);
        let processed = run.uncached.saturating_sub(unprocessed);
        self.add_prefill(n, processed);
        if self.is_measured(n) {
            *self.wasted_tokens.entry(cause.to_owned()).or_default() += u64::from(processed);
        }
        self.shard
            .finish(ticket_id(n), FinishReport::default(), now);
    }

    fn poll_load(&mut self, engine: usize, now: Time) {
        self.pool
            .schedule(now + LOAD_POLL_INTERVAL, Event::LoadPoll(engine));
        let e = &mut self.pool.engines[engine];
        let (steps, duration) = e.model.decode_totals();
        e.samples.push((now, e.model.active(), steps, duration));
        let latest_visible = e
            .samples
            .iter()
            .rposition(|s| s.0 + LOAD_REPORT_DELAY <= now);
        let Some(index) = latest_visible else {
            let report = LoadReport {
                sampled: now,
                incarnation: 1,
                ..LoadReport::default()
            };
            self.shard
                .record_load(&self.workload.engines[engine].spec.name, report, now);
            return;
        };
        let (sampled, active, steps, duration) = e.samples[index];
        let (_, _, steps_before, duration_before) = e.samples[index.saturating_sub(4)];
        let count = steps - steps_before;
        let pace = (count > 0).then(|| (duration - duration_before).as_secs_f64() / count as f64);
        let report = LoadReport {
            sampled,
            active,
            incarnation: 1,
            token_pace: pace,
            leaving: false,
        };
        self.shard
            .record_load(&self.workload.engines[engine].spec.name, report, now);
    }

    fn poll_cache_events(&mut self, engine: usize, now: Time) {
        self.pool
            .schedule(now + CACHE_POLL_INTERVAL, Event::CachePoll(engine));
        if self.options.exact_cache {
            return;
        }
        let evicted = self.pool.engines[engine].model.take_evicted();
        let gap = self.rng.f64() < CACHE_GAP_PROBABILITY;
        let since = std::mem::replace(&mut self.cache_polled_at[engine], now);
        let name = &self.workload.engines[engine].spec.name;
        if gap {
            self.shard.record_cache_events(name, &[], Some(since));
        } else {
            self.shard.record_cache_events(name, &evicted, None);
        }
    }

    fn is_measured(&self, n: usize) -> bool {
        self.requests[n].arrival >= Time(0) + self.workload.warm_up
    }

    fn add_prefill(&mut self, n: usize, tokens: u32) {
        if self.is_measured(n) {
            self.prefill_tokens += u64::from(tokens);
        }
    }

    fn update_report<F>(&mut self, n: usize, change: F)
    where
        F: FnOnce(&mut TierReport),
    {
        if self.is_measured(n) {
            let tier = self.workload.kinds[self.requests[n].kind].tier;
            change(&mut self.tier_stats[&tier].report);
        }
    }

    fn report(self) -> Report {
        let tiers = self.tier_stats.into_values().map(|t| TierReport {
            first_ms: percentiles(&t.first_token),
            between_ms: percentiles(&t.inter_token),
            ..t.report
        });
        Report {
            policy: self.options.name.clone(),
            factor: self.options.factor,
            seed: self.options.seed,
            tiers: tiers.collect(),
            prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cached_tokens,
            wasted_tokens: self.wasted_tokens,
            fairness: jain_index(self.organisation_counts.values()),
        }
    }
}

fn ticket_id(n: usize) -> TicketId {
    TicketId {
        gateway: GatewayId(1),
        seq: n as u64,
    }
}

fn new_tier_stats(name: &str) -> TierStats {
    let histogram =
        || Histogram::new_with_bounds(1, 600_000_000, 3).expect("histogram bounds are valid");
    let report = TierReport {
        name: name.to_owned(),
        ..TierReport::default()
    };
    TierStats {
        report,
        first_token: histogram(),
        inter_token: histogram(),
    }
}

fn percentiles(h: &Histogram<u64>) -> (u64, u64) {
    (
        h.value_at_quantile(0.5) / 1_000,
        h.value_at_quantile(0.95) / 1_000,
    )
}

/// Returns Jain's fairness index of the shares of good requests, from pairs of (offered, good).
fn jain_index<'a, I>(organisations: I) -> f64
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
