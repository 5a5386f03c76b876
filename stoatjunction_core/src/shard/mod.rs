//! Decisions of one shard: tier order, choice of upstream, revocation and shedding.
//!
//! Events change the state; [`Shard::run`] then decides and returns the actions to carry out. The
//! shard never assumes that it is the only owner of its upstreams: what others run there is read
//! from load reports.

mod action;
mod placement;
mod queue;
mod shedding;
mod upstream;

use indexmap::{IndexMap, IndexSet};

use crate::arena::Arena;
use crate::estimate::{Average, Lengths};
use crate::id::{GatewayId, ShardId, TicketId, Tier, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::spill::ShardSummary;
use crate::time::{Span, Time};

pub use self::action::{Action, FinishReport, Lesson, Running, Ticket};
pub use self::upstream::{LoadReport, Serving, UpstreamSpec, UpstreamStatus};

use self::queue::Queue;
use self::upstream::Upstream;

/// Parts of the policy that can be switched off, so that what each buys can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Learn answer lengths by kind and organisation.
    pub lengths: bool,
    /// Remember which upstream holds which prefix.
    pub prefixes: bool,
    /// Learn prefill and decode rates of each upstream.
    pub rates: bool,
    /// Revoke the runs with the least progress first.
    pub least_progress: bool,
    /// Refuse what cannot meet its deadline as soon as that is known.
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
    /// How long a grant is held without confirmation of its dispatch.
    pub grant_ttl: Span,
    /// How long a new owner waits for gateways to declare running requests.
    pub settle: Span,
    /// How long slots of a vanished gateway count as used without a load report that frees them.
    pub orphan_limit: Span,
    /// Age after which a load report no longer counts.
    pub report_limit: Span,
    /// How long a call waits for a slot before a lower tier's run is revoked for it.
    pub patience: Span,
    /// Time before a call's last feasible start at which revocation begins, whatever its patience.
    pub urgent_margin: Span,
    /// How long a call waits while all its upstreams are down.
    pub down_grace: Span,
    /// Most queued requests.
    pub queue_limit: usize,
    /// Most queued requests looked at in one round.
    pub scan_limit: usize,
    /// Parts of the policy in use.
    pub features: Features,
}

impl Default for ShardSettings {
    fn default() -> Self {
        ShardSettings {
            grant_ttl: Span::from_millis(2_000),
            settle: Span::from_millis(200),
            orphan_limit: Span::from_millis(10_000),
            report_limit: Span::from_millis(3_000),
            patience: Span::from_millis(220),
            urgent_margin: Span::from_millis(500),
            down_grace: Span::from_millis(1_500),
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
    uncached: u32,
    /// Prefill queued before it at its grant.
    ahead: Span,
    /// When its first token is expected.
    first_token: Time,
}

/// State of one shard.
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
    lengths: Lengths,
    /// Queued request to the run that is being revoked for it.
    victims: IndexMap<TicketId, TicketId>,
    /// Upstream kept empty for a suspect that must run alone.
    reserved: Option<(UpstreamKey, TicketId)>,
    /// Fingerprints that ran to their end.
    proven: IndexSet<u64>,
    actions: Vec<Action>,
    /// Requests queued since the last round.
    fresh: Vec<TicketId>,
    next_sweep: Time,
    /// Seconds between two ends of runs.
    between_ends: Average,
    last_end: Time,
}

/// Seconds between two ends of runs while nothing is learned.
const BETWEEN_ENDS_HINT: f64 = 0.25;
/// Time between two looks at the whole queue.
const SWEEP: Span = Span::from_millis(50);
/// Most fingerprints remembered as harmless.
const MAX_PROVEN: usize = 4_096;

impl Shard {
    /// An empty shard, owned from `now` on.
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
            lengths: Lengths::default(),
            victims: IndexMap::new(),
            reserved: None,
            proven: IndexSet::new(),
            actions: Vec::new(),
            fresh: Vec::new(),
            next_sweep: Time::default(),
            between_ends: Average::new(BETWEEN_ENDS_HINT),
            last_end: now,
        }
    }

    /// Identifier of the shard.
    pub fn id(&self) -> &ShardId {
        &self.id
    }

    /// Takes over the upstreams that the bundle lists; those not listed any more get no new work.
    pub fn set_upstreams(&mut self, specs: Vec<UpstreamSpec>) {
        let listed: IndexSet<String> = specs.iter().map(|s| s.name.clone()).collect();
        for spec in specs {
            let role = self.roles.insert_full(spec.role.clone()).0;
            match self.by_name.get(&spec.name) {
                Some(key) => {
                    let known = self.upstreams.get_mut(*key);
                    known
                        .expect("named upstreams are stored")
                        .respecify(spec, role);
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

    /// Records that the upstream cannot be reached. Runs on it are kept until their gateways tell
    /// how they ended.
    pub fn upstream_down(&mut self, upstream: &str) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.go_down();
        }
    }

    /// Takes in a load report, which also shows that the upstream is up.
    pub fn load(&mut self, upstream: &str, report: LoadReport, now: Time) {
        let Some(key) = self.by_name.get(upstream).copied() else {
            return;
        };
        let own = self.own_runs_at(key, report.sampled);
        let learn = self.cfg.features.rates;
        if let Some(u) = self.upstreams.get_mut(key) {
            u.take_report(report, own, learn);
        }
        self.free_orphans(key, now);
    }

    /// Forgets prefixes the upstream evicted; `gap_before` is set when earlier events were lost.
    pub fn cache_events(&mut self, upstream: &str, evicted: &[u32], gap_before: Option<Time>) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.prefixes.evicted(evicted);
            if let Some(since) = gap_before {
                u.prefixes.forget_before(since);
            }
        }
    }

    /// Queues a request.
    pub fn enqueue(&mut self, ticket: Ticket, now: Time) {
        if self.runs.contains_key(&ticket.id) {
            return;
        }
        let mask = self.role_mask(&ticket);
        let queued = self.appraise(ticket, mask, now);
        self.fresh.push(queued.ticket.id);
        self.queue.push(queued);
    }

    /// Drops a queued request, or frees its slot when it was granted but never dispatched.
    pub fn withdraw(&mut self, id: TicketId, now: Time) {
        self.queue.remove(id);
        self.release_victim_of(id);
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

    /// Records a request that runs under a grant of an earlier owner.
    pub fn declare(&mut self, running: Running, now: Time) {
        let id = running.ticket.id;
        if let Some(run) = self.runs.get_mut(&id) {
            run.orphan_since = None;
            return;
        }
        let Some(upstream) = self.by_name.get(&running.upstream).copied() else {
            return;
        };
        self.queue.remove(id);
        let begun = now.saturating_sub(running.age);
        let run = Run {
            ticket: running.ticket,
            upstream,
            granted: begun,
            dispatched: Some(begun),
            alone: running.alone,
            revoking: false,
            orphan_since: None,
            uncached: 0,
            ahead: Span::ZERO,
            first_token: now,
        };
        self.add_run(run);
    }

    /// Records how a dispatched request ended, frees its slot, and tells what that says of the
    /// request.
    pub fn finish(&mut self, id: TicketId, report: FinishReport, now: Time) -> Lesson {
        let Some(run) = self.remove_run(id, now) else {
            return Lesson::None;
        };
        if report.not_started {
            if let Some(u) = self.upstreams.get_mut(run.upstream) {
                u.refused(report.leaving);
            }
            return Lesson::None;
        }
        let fingerprint = run.ticket.fingerprint;
        self.between_ends
            .observe(now.since(self.last_end).as_secs_f64());
        self.last_end = now;
        if report.whole {
            self.learn(&run, report);
            return Lesson::Ended { fingerprint };
        }
        let Some(u) = self.upstreams.get(run.upstream).filter(|_| report.broken) else {
            return Lesson::None;
        };
        Lesson::Broke {
            fingerprint,
            upstream: u.spec.name.clone(),
            alone: run.alone,
            since: run.dispatched.unwrap_or(run.granted),
        }
    }

    /// Records that the link to a gateway is gone: its queued requests are dropped and its runs
    /// count as used until a load report or a bound frees them.
    pub fn gateway_gone(&mut self, gateway: GatewayId, now: Time) {
        for id in self.queue.of_gateway(gateway) {
            self.withdraw(id, now);
        }
        for run in self.runs.values_mut() {
            if run.ticket.id.gateway == gateway {
                run.orphan_since.get_or_insert(now);
            }
        }
    }

    /// Decides what to do at `now` and returns the actions.
    pub fn run(&mut self, now: Time, quarantine: &Quarantine) -> Vec<Action> {
        self.free_stale_grants(now);
        self.expire(now);
        let sweep = now >= self.next_sweep;
        if sweep {
            self.next_sweep = now + SWEEP;
        }
        if sweep || !self.fresh.is_empty() {
            self.refuse_quarantined(sweep, quarantine);
            self.reserve(quarantine);
        }
        if self.is_settled(now) {
            self.place(now, quarantine);
            self.shed_fresh(now);
            if sweep {
                self.preempt(now, quarantine);
                self.shed(now);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// What other hosts need to know of the shard.
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

    /// State of each upstream.
    pub fn upstream_status(&self, now: Time) -> Vec<UpstreamStatus> {
        self.upstreams
            .iter()
            .map(|(_, u)| UpstreamStatus {
                name: u.spec.name.clone(),
                serving: u.serving(),
                slots: u.spec.slots,
                running: u.running,
                foreign: u.foreign(now, self.cfg.report_limit),
                token_pace: u.pace.get(),
            })
            .collect()
    }

    /// Tier of each queued request, highest first, with the time it has waited.
    pub fn queue_ages(&self, now: Time) -> Vec<(Tier, Span)> {
        self.queue
            .iter()
            .map(|q| (q.ticket.tier, now.since(q.ticket.arrival)))
            .collect()
    }

    /// Number of granted or running requests.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// True when nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.len() == 0 && self.runs.is_empty()
    }

    fn is_settled(&self, now: Time) -> bool {
        now.since(self.created) >= self.cfg.settle
    }

    fn upstream_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        let key = self.by_name.get(name).copied()?;
        self.upstreams.get_mut(key)
    }

    /// Own runs that the upstream must have counted in a report sampled at `sampled`.
    fn own_runs_at(&self, key: UpstreamKey, sampled: Time) -> u32 {
        let counted = |r: &&Run| r.upstream == key && r.dispatched.is_some_and(|d| d <= sampled);
        self.runs.values().filter(counted).count() as u32
    }

    fn free_slots(&self, u: &Upstream, now: Time) -> u32 {
        let used = u.running + u.foreign(now, self.cfg.report_limit);
        u.spec.slots.saturating_sub(used)
    }

    fn add_run(&mut self, run: Run) {
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.running += 1;
        }
        self.runs.insert(run.ticket.id, run);
    }

    fn remove_run(&mut self, id: TicketId, now: Time) -> Option<Run> {
        let run = self.runs.swap_remove(&id)?;
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.running -= 1;
            let prefill = f64::from(run.uncached) * u.prefill.get();
            let left = now.until(run.first_token).min(Span::from_secs_f64(prefill));
            u.drop_prefill(left, now);
        }
        self.victims.retain(|_, victim| *victim != id);
        if self.reserved.is_some_and(|(_, holder)| holder == id) {
            self.reserved = None;
        }
        Some(run)
    }

    fn release_victim_of(&mut self, id: TicketId) {
        self.victims.swap_remove(&id);
        if self.reserved.is_some_and(|(_, holder)| holder == id) && !self.runs.contains_key(&id) {
            self.reserved = None;
        }
    }

    fn free_stale_grants(&mut self, now: Time) {
        let ttl = self.cfg.grant_ttl;
        let limit = self.cfg.orphan_limit;
        let is_stale = |r: &Run| {
            let unconfirmed = r.dispatched.is_none() && now.since(r.granted) > ttl;
            let forgotten = r.orphan_since.is_some_and(|since| now.since(since) > limit);
            unconfirmed || forgotten
        };
        let stale: Vec<TicketId> = self
            .runs
            .iter()
            .filter(|(_, r)| is_stale(r))
            .map(|(id, _)| *id)
            .collect();
        for id in stale {
            self.remove_run(id, now);
        }
    }

    /// Frees orphaned runs that the latest report shows to be over.
    fn free_orphans(&mut self, key: UpstreamKey, now: Time) {
        let Some(u) = self.upstreams.get(key) else {
            return;
        };
        let Some(report) = u
            .report
            .filter(|r| now.since(r.sampled) <= self.cfg.report_limit)
        else {
            return;
        };
        let on_it = |r: &&Run| r.upstream == key;
        let held = self
            .runs
            .values()
            .filter(on_it)
            .filter(|r| r.orphan_since.is_none())
            .count();
        let mut orphans: Vec<TicketId> = self
            .runs
            .values()
            .filter(on_it)
            .filter(|r| r.orphan_since.is_some_and(|since| report.sampled > since))
            .map(|r| r.ticket.id)
            .collect();
        let still_there = (report.active as usize)
            .saturating_sub(held)
            .min(orphans.len());
        for id in orphans.drain(still_there..) {
            self.remove_run(id, now);
        }
    }

    fn learn(&mut self, run: &Run, report: FinishReport) {
        if self.cfg.features.lengths {
            let t = &run.ticket;
            self.lengths
                .observe(&t.kind, &t.organisation, report.output_tokens);
        }
        if self.proven.insert(run.ticket.fingerprint) && self.proven.len() > MAX_PROVEN {
            self.proven.swap_remove_index(0);
        }
        if !self.cfg.features.rates {
            return;
        }
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.learn(report, run.ahead, run.uncached);
        }
    }

    fn role_mask(&mut self, ticket: &Ticket) -> u64 {
        if ticket.roles.is_empty() {
            return u64::MAX;
        }
        let roles = &mut self.roles;
        ticket.roles.iter().fold(0, |mask, role| {
            mask | 1 << roles.insert_full(role.clone()).0
        })
    }
}
