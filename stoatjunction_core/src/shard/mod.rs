//! Scheduler of one shard: tier order, placement on upstreams, preemption and load shedding.
//!
//! Events change the state; [`Shard::schedule`] then returns the actions to carry out. A shard
//! does not assume that it owns its upstreams exclusively: load reports show what others run
//! there.

mod action;
mod placement;
mod queue;
mod runs;
mod shedding;
mod upstream;

use indexmap::{IndexMap, IndexSet};

use crate::arena::Arena;
use crate::estimate::{LengthEstimator, MovingAverage};
use crate::id::{GatewayId, ShardId, TicketId, Tier, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::spillover::ShardSummary;
use crate::time::{Span, Time};

pub use self::action::{Action, CrashSignal, FinishReport, Running, Ticket};
pub use self::upstream::{LoadReport, Serving, UpstreamSpec, UpstreamStatus};

use self::queue::Queue;
use self::upstream::Upstream;

/// Parts of the policy that can be disabled to measure their effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Learns answer lengths by kind and organisation.
    pub lengths: bool,
    /// Tracks the prefixes cached by each upstream, for cache affinity.
    pub prefixes: bool,
    /// Learns prefill and decode rates of each upstream.
    pub rates: bool,
    /// Revokes the runs with the least progress first.
    pub least_progress: bool,
    /// Declines a request as soon as it is known to miss its deadline.
    pub infeasible: bool,
}

impl Default for Features {
    fn default() -> Self {
        Features {
            lengths: true,
            prefixes: true,
            rates: true,
            least_progress: true,
            infeasible: true,
        }
    }
}

/// Settings of a shard.
#[derive(Clone, Debug)]
pub struct ShardSettings {
    /// Time after which a grant whose dispatch is not confirmed expires.
    pub grant_ttl: Span,
    /// Time that a new owner waits for gateways to report running requests before it places any.
    pub takeover_grace: Span,
    /// Time that runs of a disconnected gateway hold their slots unless a load report frees them.
    pub orphan_timeout: Span,
    /// Age above which a load report is ignored.
    pub report_max_age: Span,
    /// Minimum time that a request is queued before a run of a lower tier is revoked for it.
    pub preemption_delay: Span,
    /// Slack to the deadline, beyond the predicted wait and duration, below which a request is
    /// urgent enough for a revocation.
    pub preemption_margin: Span,
    /// Time that a request is queued while all its upstreams are down before it is declined.
    pub outage_grace: Span,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Maximum number of queued requests examined in one scheduling round.
    pub scan_limit: usize,
    /// Parts of the policy that are enabled.
    pub features: Features,
}

impl Default for ShardSettings {
    fn default() -> Self {
        ShardSettings {
            grant_ttl: Span::from_millis(2_000),
            takeover_grace: Span::from_millis(200),
            orphan_timeout: Span::from_millis(10_000),
            report_max_age: Span::from_millis(3_000),
            preemption_delay: Span::from_millis(220),
            preemption_margin: Span::from_millis(500),
            outage_grace: Span::from_millis(1_500),
            queue_limit: 4_096,
            scan_limit: 256,
            features: Features::default(),
        }
    }
}

/// A granted or running request.
#[derive(Clone, Debug)]
struct Run {
    ticket: Ticket,
    upstream: UpstreamKey,
    granted: Time,
    dispatched: Option<Time>,
    alone: bool,
    revoking: bool,
    orphan_since: Option<Time>,
    /// Prompt tokens that the upstream has to process.
    uncached: u32,
    /// Prefill work queued on the upstream before this run at its grant.
    queued_prefill: Span,
    /// Time at which its first token is expected.
    first_token: Time,
}

/// State of the scheduler of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    id: ShardId,
    cfg: ShardSettings,
    created: Time,
    upstreams: Arena<UpstreamKey, Upstream>,
    by_name: IndexMap<String, UpstreamKey>,
    roles: IndexSet<String>,
    queue: Queue,
    runs: IndexMap<TicketId, Run>,
    lengths: LengthEstimator,
    /// Run being revoked for each queued request.
    victims: IndexMap<TicketId, TicketId>,
    /// Upstream that gets no other work so that a suspect can run alone on it, and that suspect.
    reserved: Option<(UpstreamKey, TicketId)>,
    /// Fingerprints of requests that have completed.
    known_harmless: IndexSet<u64>,
    actions: Vec<Action>,
    /// Requests queued since the last scheduling round.
    newly_queued: Vec<TicketId>,
    next_sweep: Time,
    /// Seconds between the ends of two runs.
    run_end_interval: MovingAverage,
    last_run_end: Time,
}

/// Seconds between the ends of two runs assumed before any are observed.
const INITIAL_RUN_END_INTERVAL: f64 = 0.25;
/// Time between two scans of the whole queue.
const SWEEP_INTERVAL: Span = Span::from_millis(50);
/// Maximum number of fingerprints remembered as harmless.
const MAX_KNOWN_HARMLESS: usize = 4_096;

impl Shard {
    /// Creates an empty shard, owned since `now`.
    pub fn new(id: ShardId, cfg: ShardSettings, now: Time) -> Shard {
        Shard {
            id,
            cfg,
            created: now,
            upstreams: Arena::default(),
            by_name: IndexMap::new(),
            roles: IndexSet::new(),
            queue: Queue::default(),
            runs: IndexMap::new(),
            lengths: LengthEstimator::default(),
            victims: IndexMap::new(),
            reserved: None,
            known_harmless: IndexSet::new(),
            actions: Vec::new(),
            newly_queued: Vec::new(),
            next_sweep: Time::default(),
            run_end_interval: MovingAverage::new(INITIAL_RUN_END_INTERVAL),
            last_run_end: now,
        }
    }

    /// Returns the identifier of the shard.
    pub fn id(&self) -> &ShardId {
        &self.id
    }

    /// Updates the upstreams to those listed in the bundle; unlisted ones get no new work.
    pub fn set_upstreams(&mut self, specs: Vec<UpstreamSpec>) {
        let listed: IndexSet<String> = specs.iter().map(|s| s.name.clone()).collect();
        for spec in specs {
            let role = self.roles.insert_full(spec.role.clone()).0;
            match self.by_name.get(&spec.name) {
                Some(key) => {
                    let known = self.upstreams.get_mut(*key);
                    known
                        .expect("named upstreams are stored")
                        .update_spec(spec, role);
                }
                None => {
                    let name = spec.name.clone();
                    let key = self.upstreams.insert(Upstream::new(spec, role));
                    self.by_name.insert(name, key);
                }
            }
        }
        for (_, u) in self.upstreams.iter_mut() {
            u.listed = listed.contains(&u.spec.name);
        }
    }

    /// Records whether the upstream is leaving.
    pub fn set_leaving(&mut self, upstream: &str, leaving: bool) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.leaving = leaving;
        }
    }

    /// Records that the upstream is unreachable. Its runs are kept until their gateways report
    /// their end.
    pub fn mark_upstream_down(&mut self, upstream: &str) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.mark_down();
        }
    }

    /// Records a load report, which also marks the upstream as up.
    pub fn record_load(&mut self, upstream: &str, report: LoadReport, now: Time) {
        let Some(key) = self.by_name.get(upstream).copied() else {
            return;
        };
        let own_runs = self.own_runs_sampled_by(key, report.sampled);
        let learn = self.cfg.features.rates;
        if let Some(u) = self.upstreams.get_mut(key) {
            u.record_report(report, own_runs, learn);
        }
        self.release_finished_orphans(key, now);
    }

    /// Drops prefixes that the upstream evicted from its cache. `gap_before` is set when events
    /// before that time may have been lost.
    pub fn record_cache_events(
        &mut self,
        upstream: &str,
        evicted: &[u32],
        gap_before: Option<Time>,
    ) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.prefixes.invalidate(evicted);
            if let Some(since) = gap_before {
                u.prefixes.invalidate_before(since);
            }
        }
    }

    /// Adds a request to the queue, unless it already runs.
    pub fn enqueue(&mut self, ticket: Ticket, now: Time) {
        if self.runs.contains_key(&ticket.id) {
            return;
        }
        let mask = self.role_mask(&ticket);
        let queued = self.estimate(ticket, mask, now);
        self.newly_queued.push(queued.ticket.id);
        self.queue.push(queued);
    }

    /// Removes a queued request, or frees its slot when it was granted but not dispatched.
    pub fn withdraw(&mut self, id: TicketId, now: Time) {
        self.queue.remove(id);
        self.release_reservations_of(id);
        if self
            .runs
            .get(&id)
            .is_some_and(|run| run.dispatched.is_none())
        {
            self.remove_run(id, now);
        }
    }

    /// Records that the gateway dispatched a granted request.
    pub fn confirm(&mut self, id: TicketId, now: Time) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.dispatched.get_or_insert(now);
        }
    }

    /// Takes over a request that runs under a grant by the shard's previous owner.
    pub fn adopt_run(&mut self, running: Running, now: Time) {
        let id = running.ticket.id;
        if let Some(run) = self.runs.get_mut(&id) {
            run.orphan_since = None;
            return;
        }
        let Some(upstream) = self.by_name.get(&running.upstream).copied() else {
            return;
        };
        self.queue.remove(id);
        let dispatched = now.saturating_sub(running.age);
        let run = Run {
            ticket: running.ticket,
            upstream,
            granted: dispatched,
            dispatched: Some(dispatched),
            alone: running.alone,
            revoking: false,
            orphan_since: None,
            uncached: 0,
            queued_prefill: Span::ZERO,
            first_token: now,
        };
        self.add_run(run);
    }

    /// Records the result of a dispatched request and frees its slot. Returns the evidence on
    /// whether the request crashes upstreams.
    pub fn finish(&mut self, id: TicketId, report: FinishReport, now: Time) -> CrashSignal {
        let Some(run) = self.remove_run(id, now) else {
            return CrashSignal::None;
        };
        if report.not_started {
            if let Some(u) = self.upstreams.get_mut(run.upstream) {
                u.record_refusal(report.leaving);
            }
            return CrashSignal::None;
        }
        let fingerprint = run.ticket.fingerprint;
        self.run_end_interval
            .observe(now.since(self.last_run_end).as_secs_f64());
        self.last_run_end = now;
        if report.whole {
            self.learn_from(&run, report);
            return CrashSignal::Completed { fingerprint };
        }
        let Some(u) = self.upstreams.get(run.upstream).filter(|_| report.broken) else {
            return CrashSignal::None;
        };
        CrashSignal::SuspectedCrash {
            fingerprint,
            upstream: u.spec.name.clone(),
            alone: run.alone,
            since: run.dispatched.unwrap_or(run.granted),
        }
    }

    /// Handles the loss of the link to a gateway: drops its queued requests and keeps the slots of
    /// its runs occupied until a load report or [`ShardSettings::orphan_timeout`] frees them.
    pub fn disconnect_gateway(&mut self, gateway: GatewayId, now: Time) {
        for id in self.queue.ids_of_gateway(gateway) {
            self.withdraw(id, now);
        }
        for run in self.runs.values_mut() {
            if run.ticket.id.gateway == gateway {
                run.orphan_since.get_or_insert(now);
            }
        }
    }

    /// Runs a scheduling round and returns the actions to carry out.
    pub fn schedule(&mut self, now: Time, quarantine: &Quarantine) -> Vec<Action> {
        self.release_expired_runs(now);
        self.expire(now);
        let sweep = now >= self.next_sweep;
        if sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        if sweep || !self.newly_queued.is_empty() {
            self.refuse_quarantined(sweep, quarantine);
            self.reserve_for_suspect(quarantine);
        }
        if self.has_takeover_grace_passed(now) {
            self.place_queued(now, quarantine);
            self.shed_newly_queued(now);
            if sweep {
                self.preempt(now, quarantine);
                self.shed(now);
            }
        } else {
            self.decline_infeasible(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Summarises the shard for gossip to other hosts.
    pub fn summary(&self, now: Time) -> ShardSummary {
        let free = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.is_serving())
            .map(|(_, u)| self.free_slots(u, now))
            .sum();
        let running = self.runs.values().map(|r| r.ticket.tier).max();
        ShardSummary {
            shard: self.id.clone(),
            free,
            queued: self.queue.len() as u32,
            floor: running.max(self.queue.lowest_tier()),
        }
    }

    /// Returns the state of each upstream.
    pub fn upstream_status(&self, now: Time) -> Vec<UpstreamStatus> {
        self.upstreams
            .iter()
            .map(|(_, u)| UpstreamStatus {
                name: u.spec.name.clone(),
                serving: u.serving(),
                slots: u.spec.slots,
                running: u.running,
                foreign: u.foreign(now, self.cfg.report_max_age),
                token_pace: u.token_pace.get(),
            })
            .collect()
    }

    /// Returns the tier and age of each queued request, highest tier first.
    pub fn queue_ages(&self, now: Time) -> Vec<(Tier, Span)> {
        self.queue
            .iter()
            .map(|q| (q.ticket.tier, now.since(q.ticket.arrival)))
            .collect()
    }

    /// Returns the number of granted or running requests.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns true when nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.runs.is_empty()
    }

    fn has_takeover_grace_passed(&self, now: Time) -> bool {
        now.since(self.created) >= self.cfg.takeover_grace
    }

    fn upstream_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        let key = self.by_name.get(name).copied()?;
        self.upstreams.get_mut(key)
    }

    /// Counts the runs of this shard that a load report sampled at `sampled` must include.
    fn own_runs_sampled_by(&self, key: UpstreamKey, sampled: Time) -> u32 {
        let counted = |r: &&Run| r.upstream == key && r.dispatched.is_some_and(|d| d <= sampled);
        self.runs.values().filter(counted).count() as u32
    }

    fn free_slots(&self, u: &Upstream, now: Time) -> u32 {
        let used = u.running + u.foreign(now, self.cfg.report_max_age);
        u.spec.slots.saturating_sub(used)
    }
}
