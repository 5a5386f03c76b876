//! The play of one variant: callers, hosts and upstreams in virtual time.

use indexmap::IndexMap;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{Decision, PlacementRequest, RunKey, UpstreamKey};
use stoatjunction_core::entry::prompt_cache::PromptPart;
use stoatjunction_core::hash::{hash_parts, mix};
use stoatjunction_core::time::{Span, Time};

use super::asks::AskState;
use super::events::{Event, EventQueue};
use super::hosts::{Fleet, HostRun};
use super::load::{
    ARRIVALS_END, COUNT_FROM, FAULT_AT, PlannedCall, START, Scenario, Service, draw_calls,
};
use super::measures::Measures;
use super::upstream::{EmulatedUpstream, Progress, Work};
use stoatjunction_core::entry::pool_owner::PoolOwner;

/// Time at which a play ends.
const PLAY_END: Time = Time(ARRIVALS_END.0 + 4_000_000);
/// Length of a failure that passes.
const FAULT_LENGTH: Span = Span::from_millis(3_000);
/// Interval in which waiting requests are decided on.
const TICK: Span = Span::from_millis(10);
/// Interval of summaries and of the allocation of slots.
const SUMMARY_INTERVAL: Span = Span::from_millis(250);
/// Interval of a host's reports to owners.
const OWNER_REPORT_INTERVAL: Span = Span::from_millis(250);
/// Part of the target latency within which a stream has to get a slot.
const PLANNED_PART: f64 = 0.92;
/// Mean duration of a plain call, which ends that long after it got a slot.
const PLAIN_RUN: Span = Span::from_millis(60);
/// Largest part of its remaining time that a caller waits before its second try, and the least part of that.
const RETRY_PART: f64 = 1.0 / 3.0;
const LEAST_RETRY_PART: f64 = 0.6;
/// Time that a request may wait that an upstream refused, and that a late second try may wait.
const LATE_WAIT: Span = Span::from_millis(250);
/// Successes that keep a refusal from opening a circuit.
const SUCCESSES_PER_REFUSAL: usize = 2;
/// Upstreams to which a request is sent at most.
const MAX_ATTEMPTS: usize = 3;
/// Time until a connection to a cut-off upstream fails.
const CONNECT_TIMEOUT: Span = Span::from_millis(100);
/// Time after which a caller tries another host while none accepts connections.
const CONNECT_RETRY: Span = Span::from_millis(100);
/// Share of datagrams that lossy links lose.
const LOSS: f64 = 0.02;
/// Times between the kill of all hosts and the start of the first and the last one.
const RESTART_MS: std::ops::Range<u64> = 300..800;

/// Who decides on slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Each host, on slots allocated to it.
    Allocation,
    /// The same, but refusals of upstreams that are full are no failures, and open no circuits.
    NoCircuits,
    /// An owner for each data centre's upstreams, or of a service with few slots.
    Owner,
    /// Owners of parts, of which a host chooses between two.
    Parts,
    /// An owner of each upstream; a host asks three.
    Probes,
    /// One queue that knows everything at once.
    Bound,
}

impl Variant {
    /// All variants with their names.
    pub const ALL: [(&'static str, Variant); 6] = [
        ("allocation", Variant::Allocation),
        ("no-circuits", Variant::NoCircuits),
        ("owner", Variant::Owner),
        ("parts", Variant::Parts),
        ("probes", Variant::Probes),
        ("bound", Variant::Bound),
    ];

    /// Returns the upstreams of one owner at most.
    const fn part_size(self) -> usize {
        match self {
            Variant::Parts => 12,
            Variant::Probes => 1,
            _ => usize::MAX,
        }
    }
}

/// A play.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// Who decides.
    pub variant: Variant,
    /// What callers ask for.
    pub service: Service,
    /// What happens.
    pub scenario: Scenario,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Demand in parts of what the upstreams complete.
    pub load: f64,
    /// Seed of the requests.
    pub seed: u64,
}

/// A request over both of its tries.
pub(super) struct Call {
    pub(super) planned: PlannedCall,
    pub(super) host: usize,
    is_second_try: bool,
    pub(super) request: PlacementRequest,
    attempts: usize,
    live_run: Option<usize>,
    is_counted: bool,
    pub(super) ask: AskState,
}

/// A run at an upstream.
struct Run {
    call: usize,
    host: usize,
    upstream: usize,
    is_over: bool,
    owner: Option<(usize, usize)>,
}

pub(super) struct Simulation {
    pub(super) play: Play,
    pub(super) fleet: Fleet,
    /// Upstreams of each part, and the hosts by their rank as its owner.
    pub(super) parts: Vec<Vec<u32>>,
    pub(super) ranks: Vec<Vec<usize>>,
    pub(super) slow: Option<(usize, Time)>,
    upstreams: Vec<EmulatedUpstream>,
    pub(super) calls: Vec<Call>,
    runs: Vec<Run>,
    pub(super) events: EventQueue,
    pub(super) bound: PoolOwner,
    pub(super) rng: fastrand::Rng,
    pub(super) measures: Measures,
}

/// Plays requests and returns what was measured.
pub fn play(play: Play) -> Measures {
    let mut simulation = Simulation::new(play);
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn new(play: Play) -> Simulation {
        let fleet = Fleet::new(play.service, play.hosts);
        let parts = fleet.parts(play.variant.part_size());
        let ranks = parts.iter().map(|p| rank_hosts(&fleet, p)).collect();
        let count = play.service.upstreams(play.hosts);
        let slots = play.service.slots();
        let all: Vec<u64> = (0..count as u64).collect();
        let planned = draw_calls(
            play.service,
            play.scenario,
            play.hosts,
            play.load,
            play.seed,
        );
        Simulation {
            play,
            fleet,
            parts,
            ranks,
            slow: None,
            upstreams: vec![EmulatedUpstream::new(slots); count],
            calls: planned.into_iter().map(Call::new).collect(),
            runs: Vec::new(),
            events: EventQueue::default(),
            bound: PoolOwner::new(&all, slots),
            rng: fastrand::Rng::with_seed(play.seed),
            measures: Measures::default(),
        }
    }

    fn run(&mut self) {
        for call in 0..self.calls.len() {
            self.events
                .push(self.calls[call].planned.at, Event::Arrive(call));
        }
        let phase =
            |n: usize, interval: Span| START + Span(interval.0 * n as u64 % interval.0.max(1));
        let interval = self.fleet.report_interval();
        for n in 0..self.play.hosts {
            let draw = Span(mix(n as u64) % interval.0);
            self.events.push(START + draw, Event::Report(n));
            let draw = Span(mix(n as u64) % OWNER_REPORT_INTERVAL.0);
            self.events.push(START + draw, Event::OwnerReport(n));
        }
        self.events.push(phase(0, SUMMARY_INTERVAL), Event::Summary);
        self.events.push(START, Event::Allocate);
        self.events.push(START, Event::Tick);
        self.events.push(FAULT_AT, Event::Fault);
        while let Some((now, event)) = self.events.pop() {
            if now >= PLAY_END {
                return;
            }
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: Event, now: Time) {
        match event {
            Event::Arrive(call) => self.arrive(call, now),
            Event::Decide(call, state) => self.decide_again(call, state, now),
            Event::Step(upstream) => self.end_step(upstream, now),
            Event::PlainEnd(upstream, run) => self.end_plain(upstream, run, now),
            Event::First(run) => self.first_event(run, now),
            Event::End(run) => self.end_run(run, now),
            Event::Deliver(host, message) => self.deliver(host, message, now),
            Event::Handle(host, message) => self.handle_message(host, message, now),
            Event::Check(call, state) => self.check(call, state, now),
            Event::Watch(host) => self.watch(host, now),
            Event::Report(host) => self.report(host, now),
            Event::OwnerReport(host) => {
                self.report_to_owners(host, now);
                self.events
                    .push(now + OWNER_REPORT_INTERVAL, Event::OwnerReport(host));
            }
            Event::Summary => {
                if self.fleet.has_many_hosts() {
                    self.fleet.summarise(now);
                }
                self.events.push(now + SUMMARY_INTERVAL, Event::Summary);
            }
            Event::Allocate => {
                self.fleet.allocate_slots(now);
                self.events.push(now + SUMMARY_INTERVAL, Event::Allocate);
            }
            Event::Tick => self.tick(now),
            Event::Fault => self.begin_fault(now),
            Event::Restart(host) => self.fleet.restart(host, now),
        }
    }

    fn report(&mut self, host: usize, now: Time) {
        let is_lossy = self.play.scenario == Scenario::Lossy;
        let rng = &mut self.rng;
        self.fleet
            .report(host, || is_lossy && rng.f64() < LOSS, now);
        self.events
            .push(now + self.fleet.report_interval(), Event::Report(host));
    }

    /// Returns whether a datagram between hosts is lost.
    pub(super) fn loses_datagram(&mut self) -> bool {
        self.play.scenario == Scenario::Lossy && self.rng.f64() < LOSS
    }

    fn tick(&mut self, now: Time) {
        if now < ARRIVALS_END && now + TICK >= ARRIVALS_END {
            self.record_traffic();
        }
        for n in 0..self.fleet.hosts.len() {
            if self.fleet.hosts[n].is_active(now) {
                self.fleet.hosts[n].pool.expire_peer_loads(now);
                self.decide_waiting(n, now);
                self.drain_owners(n, now);
            }
        }
        self.drain_bound(now);
        for upstream in &self.upstreams {
            if now >= COUNT_FROM && now < ARRIVALS_END {
                self.measures.record_queue(upstream.queue_length());
            }
        }
        self.events.push(now + TICK, Event::Tick);
    }

    fn begin_fault(&mut self, now: Time) {
        let (owner, until) = (self.ranks[0][0], now + FAULT_LENGTH);
        match self.play.scenario {
            Scenario::OwnerKilled => self.kill(owner, now),
            Scenario::AllKilled => {
                for n in 0..self.play.hosts {
                    self.kill(n, now);
                    let start = now + Span::from_millis(self.rng.u64(RESTART_MS));
                    self.events.push(start, Event::Restart(n));
                }
            }
            Scenario::Partition => self.fleet.cut_off = Some((0, until)),
            Scenario::OwnerFrozen => self.fleet.hosts[owner].frozen_until = until,
            Scenario::OwnerSlow => self.slow = Some((owner, until)),
            Scenario::OneWay => self.fleet.muted = Some((owner, until)),
            Scenario::Calm | Scenario::Burst | Scenario::Uneven | Scenario::Lossy => {}
        }
    }

    fn kill(&mut self, host: usize, now: Time) {
        self.fleet.hosts[host].is_alive = false;
        let runs: Vec<usize> = self.fleet.hosts[host].runs.keys().copied().collect();
        for run in runs {
            let upstream = self.runs[run].upstream;
            self.runs[run].is_over = true;
            self.upstreams[upstream].remove(run);
            self.fill_slots(upstream, now);
        }
        for index in 0..self.calls.len() {
            let call = &mut self.calls[index];
            let is_open = call.planned.at < now && call.host == host && !call.is_counted;
            if is_open || call.live_run.is_some_and(|r| self.runs[r].is_over) {
                self.bound.end(call.id(index));
                call.ask.forget();
                call.live_run = None;
            }
            if is_open && !std::mem::replace(&mut call.is_second_try, true) {
                self.events.push(now + CONNECT_RETRY, Event::Arrive(index));
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Time) {
        let call = &self.calls[index];
        if now >= call.planned.at + call.planned.kind.deadline {
            return;
        }
        let shift = match call.is_second_try {
            true => mix(call.planned.salt) as usize,
            false => 0,
        };
        let hosts = self.play.hosts;
        let candidates = (0..hosts).map(|n| (call.planned.host + shift % hosts + n) % hosts);
        let Some(host) = candidates
            .into_iter()
            .find(|n| self.fleet.hosts[*n].is_alive)
        else {
            self.events.push(now + CONNECT_RETRY, Event::Arrive(index));
            return;
        };
        let frozen_until = self.fleet.hosts[host].frozen_until;
        if now < frozen_until {
            self.events.push(frozen_until, Event::Arrive(index));
            return;
        }
        let call = &mut self.calls[index];
        call.host = host;
        call.request = call.new_request(now);
        call.attempts = 0;
        self.fleet.hosts[host].pool.record_arrival(now);
        self.fleet.hosts[host].queue.record_arrival(now);
        self.decide(index, now);
    }

    /// Decides on a request that arrives or was not run.
    pub(super) fn decide(&mut self, call: usize, now: Time) {
        match self.play.variant {
            Variant::Allocation | Variant::NoCircuits => self.decide_alone(call, now),
            Variant::Owner | Variant::Parts => self.ask_owner(call, now),
            Variant::Probes => self.probe(call, now),
            Variant::Bound => self.ask_bound(call, now),
        }
    }

    /// Decides as the daemon does.
    pub(super) fn decide_alone(&mut self, index: usize, now: Time) {
        let call = &mut self.calls[index];
        call.ask.begin();
        let host = &mut self.fleet.hosts[call.host];
        host.traffic.count_decision(self.upstreams.len());
        let is_behind = host.queue.has_request_ahead_of(&call.request);
        let decision = match is_behind {
            true => host.pool.decide_behind_others(&mut call.request, now),
            false => host.pool.decide(&mut call.request, now),
        };
        let is_overtaken =
            !is_behind && call.request.late && host.queue.has_request_ahead_of(&call.request);
        match decision {
            Decision::Place(UpstreamKey(upstream)) if !is_overtaken => {
                self.start(index, upstream, None, now);
            }
            Decision::Refuse(after) if !is_overtaken => self.refuse(index, after, now),
            _ => host.queue.push(index as u64, call.request.clone()),
        }
    }

    fn decide_waiting(&mut self, host: usize, now: Time) {
        let h = &self.fleet.hosts[host];
        if h.queue.is_empty() && h.pool.waiting().is_empty() {
            return;
        }
        loop {
            let Some(h) = self.fleet.hosts.get_mut(host) else {
                return;
            };
            let Some((id, request, decision)) = h.queue.next_decided(&mut h.pool, now) else {
                return;
            };
            let call = id as usize;
            self.calls[call].request = request;
            match decision {
                Decision::Place(UpstreamKey(upstream)) => self.start(call, upstream, None, now),
                Decision::Refuse(after) => self.refuse(call, after, now),
                Decision::Wait => {}
            }
        }
    }

    /// Sends a request to an upstream.
    pub(super) fn start(
        &mut self,
        index: usize,
        upstream: u32,
        owner: Option<(usize, usize)>,
        now: Time,
    ) {
        let call = &mut self.calls[index];
        let host = &mut self.fleet.hosts[call.host];
        let key = host
            .pool
            .start_run(UpstreamKey(upstream), &call.request.prompt, now);
        self.measures.runs += 1;
        self.measures.sent_twice += u32::from(call.live_run.is_some());
        let upstream = upstream as usize;
        let dcs = (host.dc, self.fleet.upstream_dc(upstream));
        if !self.fleet.is_linked(dcs.0, dcs.1, now) {
            return self.not_run(index, upstream, key, owner, RunOutcome::Unreachable, now);
        }
        let run = self.runs.len();
        let kind = call.planned.kind;
        let work = Work {
            run,
            prompt_left: f64::from(kind.prompt_tokens),
            output_left: kind.output_tokens.max(1),
            output_total: kind.output_tokens.max(1),
            plain_run: call.planned.plain_run,
        };
        if !self.upstreams[upstream].admit(work) {
            self.measures.refused_upstream += 1;
            return self.not_run(index, upstream, key, owner, RunOutcome::Shed, now);
        }
        call.live_run = Some(run);
        let id = call.id(index);
        let host_index = call.host;
        self.runs.push(Run {
            call: index,
            host: host_index,
            upstream,
            is_over: false,
            owner,
        });
        let known = HostRun {
            key,
            upstream: upstream as u32,
            id,
        };
        self.fleet.hosts[host_index].runs.insert(run, known);
        self.fill_slots(upstream, now);
        self.measures.queued_upstream += u32::from(self.upstreams[upstream].queue_length() > 0);
    }

    fn not_run(
        &mut self,
        index: usize,
        upstream: usize,
        key: RunKey,
        owner: Option<(usize, usize)>,
        outcome: RunOutcome,
        now: Time,
    ) {
        let call = &mut self.calls[index];
        let id = call.id(index);
        let host = call.host;
        self.fleet.hosts[host].pool.end_run(key, Some(outcome), now);
        if self.play.variant == Variant::NoCircuits && outcome == RunOutcome::Shed {
            self.forget_failure(host, upstream, now);
        }
        let call = &mut self.calls[index];
        call.request.tried.push(UpstreamKey(upstream as u32));
        call.attempts += 1;
        let deadline = call.planned.at + call.planned.kind.deadline;
        call.request.wait_until = call.request.wait_until.max(now + LATE_WAIT).min(deadline);
        call.request.late |= now > call.request.due_at;
        let is_last = call.attempts >= MAX_ATTEMPTS;
        call.ask.begin();
        let state = call.ask.number();
        self.tell_not_run(host, owner, id, upstream as u32, now);
        if is_last {
            return self.refuse(index, Span::ZERO, now);
        }
        let delay = match outcome {
            RunOutcome::Unreachable => CONNECT_TIMEOUT,
            _ => Span::ZERO,
        };
        self.events.push(now + delay, Event::Decide(index, state));
    }

    /// Has a host forget that an upstream refused a run, as far as its circuit goes.
    fn forget_failure(&mut self, host: usize, upstream: usize, now: Time) {
        let pool = &mut self.fleet.hosts[host].pool;
        let key = UpstreamKey(upstream as u32);
        for _ in 0..SUCCESSES_PER_REFUSAL {
            pool.record_outcome(key, RunOutcome::Success, now);
        }
    }

    /// Refuses a request, which its caller sends once more.
    pub(super) fn refuse(&mut self, index: usize, after: Span, now: Time) {
        let call = &mut self.calls[index];
        call.ask.begin();
        if std::mem::replace(&mut call.is_second_try, true) {
            return;
        }
        let left = now
            .until(call.planned.at + call.planned.kind.deadline)
            .as_secs_f64();
        let largest = left * RETRY_PART;
        let least = after.as_secs_f64().max(LEAST_RETRY_PART * largest);
        let draw = (mix(call.planned.salt ^ 1) >> 40) as f64 / (1_u64 << 24) as f64;
        let wait = (least * (1.0 + draw)).min(largest);
        self.events
            .push(now + Span::from_secs_f64(wait), Event::Arrive(index));
    }

    fn fill_slots(&mut self, upstream: usize, now: Time) {
        let started = self.upstreams[upstream].fill_slots();
        if self.play.service == Service::Plain {
            for work in started {
                self.events
                    .push(now + work.plain_run, Event::PlainEnd(upstream, work.run));
            }
            return;
        }
        if let Some(step) = self.upstreams[upstream].begin_step() {
            self.events.push(now + step, Event::Step(upstream));
        }
    }

    fn end_step(&mut self, upstream: usize, now: Time) {
        for progress in self.upstreams[upstream].end_step() {
            match progress {
                Progress::FirstEvent(run) => self.first_event(run, now),
                Progress::End(run) => self.end_run(run, now),
            }
        }
        self.fill_slots(upstream, now);
    }

    fn end_plain(&mut self, upstream: usize, run: usize, now: Time) {
        if self.runs[run].is_over {
            return;
        }
        self.upstreams[upstream].remove(run);
        self.fill_slots(upstream, now);
        self.first_event(run, now);
        self.end_run(run, now);
    }

    /// Returns until when a host does not learn what a run produces.
    fn held_until(&self, run: usize, now: Time) -> Option<Time> {
        let run = &self.runs[run];
        let host = &self.fleet.hosts[run.host];
        if now < host.frozen_until {
            return Some(host.frozen_until);
        }
        let is_linked = self
            .fleet
            .is_linked(host.dc, self.fleet.upstream_dc(run.upstream), now);
        let cut_off = self.fleet.cut_off.map(|(_, until)| until);
        cut_off.filter(|_| !is_linked)
    }

    fn first_event(&mut self, run: usize, now: Time) {
        if self.runs[run].is_over {
            return;
        }
        if let Some(until) = self.held_until(run, now) {
            return self.events.push(until, Event::First(run));
        }
        let (host, index) = (self.runs[run].host, self.runs[run].call);
        let host = &mut self.fleet.hosts[host];
        if let Some(known) = host.runs.get(&run) {
            let upstream = &self.upstreams[known.upstream as usize];
            let (running, waiting) = (upstream.running(), upstream.queue_length());
            let key = UpstreamKey(known.upstream);
            host.pool.record_first_event(known.key, now);
            host.pool
                .record_load_report(key, running as u32, waiting as u32, now);
        }
        let call = &mut self.calls[index];
        if !std::mem::replace(&mut call.is_counted, true) {
            let PlannedCall { at, kind, .. } = call.planned;
            let in_time = now <= at + kind.target;
            self.measures
                .record_call(kind.name, at, in_time, now <= at + kind.deadline);
        }
    }

    fn end_run(&mut self, run: usize, now: Time) {
        if self.runs[run].is_over {
            return;
        }
        if let Some(until) = self.held_until(run, now) {
            return self.events.push(until, Event::End(run));
        }
        self.runs[run].is_over = true;
        let Run {
            call,
            host,
            owner,
            upstream,
            ..
        } = self.runs[run];
        self.calls[call].live_run = None;
        let known = self.fleet.hosts[host].runs.swap_remove(&run);
        if let Some(known) = known {
            let h = &mut self.fleet.hosts[host];
            h.pool.end_run(known.key, Some(RunOutcome::Success), now);
            h.queue.record_completion(now);
            self.tell_end(host, owner, known.id, upstream as u32, now);
        }
        self.decide_waiting(host, now);
        self.bound_ended(known.map(|k| k.id), now);
    }

    /// Corrects what the bound knows of the engines, since it knows everything.
    pub(super) fn update_bound(&mut self, now: Time) {
        if self.play.service == Service::Engines {
            for (n, upstream) in self.upstreams.iter().enumerate() {
                self.bound
                    .set_prefill(n as u64, upstream.pending_prefill_ms(), now);
            }
        }
    }

    /// Records what the busiest hosts sent and computed while requests arrived.
    fn record_traffic(&mut self) {
        let seconds = ARRIVALS_END.since(START).as_secs_f64();
        for host in &self.fleet.hosts {
            let traffic = host.traffic;
            let m = &mut self.measures;
            m.messages = m.messages.max(traffic.messages as f64 / seconds);
            m.kilobytes = m.kilobytes.max(traffic.bytes as f64 / 1e3 / seconds);
            m.cpu_ms = m.cpu_ms.max(traffic.cpu.as_secs_f64() * 1e3 / seconds);
        }
    }

    fn finish(mut self) -> Measures {
        self.measures.calls = self.calls.len() as u32;
        for call in self.calls.iter().filter(|c| !c.is_counted) {
            let PlannedCall { at, kind, .. } = call.planned;
            self.measures.record_call(kind.name, at, false, false);
        }
        self.measures
    }
}

impl Call {
    fn new(planned: PlannedCall) -> Call {
        Call {
            planned,
            host: planned.host,
            is_second_try: false,
            request: PlacementRequest::default(),
            attempts: 0,
            live_run: None,
            is_counted: false,
            ask: AskState::default(),
        }
    }

    /// Returns the identifier of the request for owners, in its present state.
    pub(super) fn id(&self, index: usize) -> u64 {
        (index as u64) << 16 | (self.ask.number() & 0xffff)
    }

    /// Returns the time from which on the request is late unless it has a slot.
    pub(super) fn late_at(&self) -> Time {
        let at = self.request.target_at.unwrap_or(self.request.due_at);
        match self.request.target_at {
            Some(_) => at.saturating_sub(PLAIN_RUN),
            None => at,
        }
    }

    fn new_request(&self, now: Time) -> PlacementRequest {
        let PlannedCall { at, kind, salt, .. } = self.planned;
        let deadline = at + kind.deadline;
        let base = PlacementRequest {
            priority: (0, kind.priority),
            idempotent: true,
            salt: mix(salt ^ u64::from(self.is_second_try)),
            ..PlacementRequest::default()
        };
        if kind.plain_run > Span::ZERO {
            return PlacementRequest {
                due_at: deadline,
                target_at: Some(at + kind.target),
                wait_until: deadline.saturating_sub(Span(kind.target.0 / 2)),
                ..base
            };
        }
        let due_at = at + Span((kind.target.0 as f64 * PLANNED_PART) as u64);
        let late = now >= due_at;
        let part = PromptPart {
            id: salt as u32,
            tokens: kind.prompt_tokens,
        };
        PlacementRequest {
            prompt: vec![part],
            due_at,
            wait_until: if late { now + LATE_WAIT } else { due_at },
            late_wait: Span(kind.target.0 / 4),
            late,
            ..base
        }
    }
}

/// Returns the hosts that may own a part, the preferred one first: those of its data centre, or all if it has upstreams
/// of several.
fn rank_hosts(fleet: &Fleet, part: &[u32]) -> Vec<usize> {
    let dcs: IndexMap<usize, ()> = part
        .iter()
        .map(|u| (fleet.upstream_dc(*u as usize), ()))
        .collect();
    let may_own = |n: &usize| dcs.len() > 1 || dcs.contains_key(&fleet.hosts[*n].dc);
    let mut ranked: Vec<usize> = (0..fleet.hosts.len()).filter(may_own).collect();
    let name = part.first().copied().unwrap_or_default().to_le_bytes();
    ranked.sort_by_key(|n| hash_parts(&[&name, &n.to_le_bytes()]));
    ranked
}
