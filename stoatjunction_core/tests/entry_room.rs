//! Room in the memory of engines, which crash when their runs exceed it, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::memory_budget::{
    DEFAULT_BUDGET_BYTES, MIN_STREAM_BYTES, MemoryBudget, budget_bytes,
};
use stoatjunction_core::entry::pool::{
    DataCentreHosts, Decision, Load, PlacementRequest, Pool, RunKey, UpstreamKey, WaitingCounts,
};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::slot_allocation::HostDemand;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const CAPACITY: u64 = 1_000;
const SLOTS: u32 = 8;
const TARGET_LATENCY: Span = Span::from_millis(4_000);
/// Another host.
const PEER: u64 = 9;

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
}

fn pool(upstreams: u32, capacity: u64, seed: u64) -> Pool {
    pool_of(upstreams, SLOTS, capacity, seed)
}

fn pool_of(upstreams: u32, slots: u32, capacity: u64, seed: u64) -> Pool {
    let listed: Vec<ListedUpstream> = (0..upstreams)
        .map(|index| ListedUpstream {
            id: format!("u{index}"),
            dc: "here".to_owned(),
            slots,
            ..ListedUpstream::default()
        })
        .collect();
    let mut pool = Pool::new("here", seed);
    pool.set_upstreams(listed.iter(), START);
    pool.set_cache_tokens(capacity);
    pool
}

fn request(tokens: u64, now: Time, salt: u64) -> PlacementRequest {
    PlacementRequest {
        tokens,
        due_at: now + TARGET_LATENCY,
        wait_until: now + TARGET_LATENCY,
        late_wait: Span::from_millis(100),
        idempotent: true,
        salt,
        ..PlacementRequest::default()
    }
}

fn decide(pool: &mut Pool, tokens: u64, now: Time) -> Decision {
    pool.decide(&mut request(tokens, now, 1), now)
}

fn start(pool: &mut Pool, key: UpstreamKey, tokens: u64, now: Time) -> RunKey {
    let run = pool.start_run(key, &[], now);
    pool.hold_tokens(run, tokens);
    run
}

/// Guards against engines that crash under runs of several hosts that exceed their memory together.
#[parameterized(
    fits = { CAPACITY, 400, 400, 100, true },
    fills_it_but_for_the_margin = { CAPACITY, 400, 400, 150, true },
    exceeds_the_margin = { CAPACITY, 400, 400, 151, false },
    held_by_another_host = { CAPACITY, 0, 900, 51, false },
    held_by_this_host = { CAPACITY, 900, 0, 51, false },
    states_no_tokens = { CAPACITY, 500, 500, 0, true },
    empty_and_beyond_the_margin = { CAPACITY, 0, 0, 1_000, true },
    memory_not_known = { 0, 5_000, 5_000, 5_000, true },
)]
fn a_request_is_placed_where_the_memory_has_room(
    capacity: u64,
    own: u64,
    peer: u64,
    tokens: u64,
    is_placed: bool,
) {
    let mut pool = pool(1, capacity, 1);
    let key = UpstreamKey(0);
    start(&mut pool, key, own, START);
    pool.set_peer_tokens(PEER, vec![(key, peer)], START);

    let decision = decide(&mut pool, tokens, START);

    let expected = match is_placed {
        true => Decision::Place(key),
        false => Decision::Wait,
    };
    assert_eq!(decision, expected);
}

#[parameterized(
    as_large_as_the_memory = { CAPACITY, CAPACITY, false },
    larger = { CAPACITY, CAPACITY + 1, true },
    memory_not_known = { 0, u64::MAX, false },
)]
fn a_request_larger_than_an_empty_engine_is_known(capacity: u64, tokens: u64, expected: bool) {
    assert_eq!(pool(1, capacity, 1).exceeds_memory(tokens), expected);
}

#[test]
fn a_request_goes_to_the_upstream_that_has_room() {
    let mut pool = pool(2, CAPACITY, 1);
    start(&mut pool, UpstreamKey(0), 900, START);

    let decision = decide(&mut pool, 500, START);

    assert_eq!(decision, Decision::Place(UpstreamKey(1)));
}

#[parameterized(
    complete = { Some(RunOutcome::Success) },
    broken = { Some(RunOutcome::Broken) },
    caller_left = { None },
)]
fn a_run_frees_its_room_however_it_ends(outcome: Option<RunOutcome>) {
    let mut pool = pool(1, CAPACITY, 1);
    let run = start(&mut pool, UpstreamKey(0), 900, START);

    pool.end_run(run, outcome, ms(1));

    assert_eq!(pool.held_tokens(UpstreamKey(0)), 0);
    assert_eq!(pool.reported_tokens(UpstreamKey(0)), 0);
}

/// Guards against room that stays taken after its host is gone, and against room that is counted twice.
#[parameterized(
    replaced = { PEER, 100, 300 },
    of_another_host = { PEER + 1, 100, 800 },
    of_another_host_after_the_first_is_gone = { PEER + 1, 1_500, 300 },
)]
fn reports_of_other_hosts_are_replaced_and_expire(peer: u64, at_ms: u64, expected: u64) {
    let mut pool = pool(1, CAPACITY, 1);
    let key = UpstreamKey(0);
    pool.set_peer_tokens(PEER, vec![(key, 500)], START);

    pool.set_peer_tokens(peer, vec![(key, 300)], ms(at_ms));

    assert_eq!(pool.held_tokens(key), expected);
}

/// Guards against a long prompt that blocks all others while it waits, and against one that never gets room because
/// others take all that becomes free.
#[parameterized(
    long_before_it_is_due = { 0, true },
    shortly_before_it_is_due = { 3_500, false },
)]
fn a_request_that_waits_for_room_is_overtaken_until_it_is_nearly_due(
    now_ms: u64,
    is_overtaken: bool,
) {
    let mut pool = pool(1, CAPACITY, 1);
    let mut queue = Queue::default();
    let key = UpstreamKey(0);
    start(&mut pool, key, 500, START);
    queue.push(1, request(600, START, 1));
    let now = ms(now_ms);
    assert!(queue.next_decided(&mut pool, now).is_none());
    let mut less_urgent = PlacementRequest {
        priority: (0, 1),
        ..request(100, now, 2)
    };

    assert!(!queue.has_request_ahead_of(&less_urgent));
    let decision = pool.decide(&mut less_urgent, now);

    let expected = match is_overtaken {
        true => Decision::Place(key),
        false => Decision::Wait,
    };
    assert_eq!(decision, expected);
    let claimed = if is_overtaken { 0 } else { 600 };
    assert_eq!(pool.reported_tokens(key), 500 + claimed);
}

#[test]
fn a_request_is_placed_as_soon_as_there_is_room() {
    let mut pool = pool(1, CAPACITY, 1);
    let mut queue = Queue::default();
    let run = start(&mut pool, UpstreamKey(0), 500, START);
    queue.push(1, request(600, START, 1));
    assert!(queue.next_decided(&mut pool, ms(3_500)).is_none());

    pool.end_run(run, Some(RunOutcome::Success), ms(3_600));
    let decided = queue.next_decided(&mut pool, ms(3_600));

    let decision = decided.map(|(_, _, decision)| decision);
    assert_eq!(decision, Some(Decision::Place(UpstreamKey(0))));
    assert!(queue.next_decided(&mut pool, ms(3_600)).is_none());
    assert_eq!(pool.reported_tokens(UpstreamKey(0)), 0);
}

#[test]
fn a_request_that_gets_no_room_is_refused() {
    let mut pool = pool(1, CAPACITY, 1);
    let mut queue = Queue::default();
    start(&mut pool, UpstreamKey(0), 500, START);
    queue.push(1, request(600, START, 1));

    let mut refused_at = None;
    for now_ms in (0..10_000).step_by(10) {
        if let Some((_, _, Decision::Refuse(_))) = queue.next_decided(&mut pool, ms(now_ms)) {
            refused_at = Some(now_ms);
            break;
        }
    }

    let latest = TARGET_LATENCY.as_millis() + 200;
    assert!(refused_at.is_some_and(|at| at <= latest), "{refused_at:?}");
}

/// Engines and prompts as the users have them.
const ENGINE_TOKENS: u64 = 486_248;
const ENGINE_SLOTS: u32 = 16;
const PROMPT_TOKENS: Range<u64> = 30_000..54_600;
const SHORT_TOKENS: Range<u64> = 500..4_000;
const RUN_MS: Range<u64> = 400..1_600;
/// Time after which a report of a host is known to the others.
const REPORT_DELAY_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 60;
/// Length of a simulation, and the part of it in which requests arrive.
const SIMULATED_MS: u64 = 5_000;
const BURST_MS: Range<u64> = 0..1_000;

/// What a host reports: its load, its waiting requests and the tokens that it holds.
type Report = (
    Vec<(UpstreamKey, Load)>,
    WaitingCounts,
    Vec<(UpstreamKey, u64)>,
);

/// A run in the order of its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunEnd {
    at_ms: u64,
    host: usize,
    /// Index in the runs of all hosts.
    run: usize,
    upstream: usize,
    tokens: u64,
}

/// Hosts that send prompts to engines.
struct Burst {
    hosts: Vec<(Pool, Queue)>,
    runs: Vec<RunKey>,
    ends: BinaryHeap<Reverse<RunEnd>>,
    reports: Vec<(u64, usize, Report)>,
    /// Tokens that the runs of all hosts hold at each upstream.
    held: Vec<u64>,
    /// Most tokens that an upstream held.
    highest: u64,
    placed: u32,
    refused: u32,
    rng: fastrand::Rng,
}

impl Burst {
    fn new(hosts: usize, upstreams: u32, seed: u64) -> Burst {
        let member = |host: usize| HostDemand {
            id: host as u64,
            demand: 1.0,
            unreachable: false,
        };
        let members: Vec<HostDemand> = (0..hosts).map(member).collect();
        let known = DataCentreHosts {
            dc: "here".to_owned(),
            known: hosts as u32,
            unreachable: 0,
            reserved_slots: 0,
        };
        let start = |host: usize| {
            let mut pool = pool_of(upstreams, ENGINE_SLOTS, ENGINE_TOKENS, host as u64);
            pool.allocate_slots(&members, host as u64, std::slice::from_ref(&known));
            (pool, Queue::default())
        };
        Burst {
            hosts: (0..hosts).map(start).collect(),
            runs: Vec::new(),
            ends: BinaryHeap::new(),
            reports: Vec::new(),
            held: vec![0; upstreams as usize],
            highest: 0,
            placed: 0,
            refused: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Simulates prompts that need `load` times the memory of all engines while the burst lasts.
    fn run(&mut self, load: f64) {
        let memory = self.held.len() as f64 * ENGINE_TOKENS as f64;
        let mean_tokens = 0.75 * mean(PROMPT_TOKENS) + 0.25 * mean(SHORT_TOKENS);
        let per_ms = load * memory / mean_tokens / mean(RUN_MS);
        for now_ms in 0..SIMULATED_MS {
            self.end_runs(now_ms);
            self.deliver_reports(now_ms);
            if BURST_MS.contains(&now_ms) {
                for _ in 0..(per_ms + self.rng.f64()) as u64 {
                    self.arrive(now_ms);
                }
            }
            for host in 0..self.hosts.len() {
                self.place(host, now_ms);
                if (now_ms + host as u64 * 13).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.report(host, now_ms);
                }
            }
        }
    }

    fn arrive(&mut self, now_ms: u64) {
        let tokens = match self.rng.u8(..4) {
            0 => self.rng.u64(SHORT_TOKENS),
            _ => self.rng.u64(PROMPT_TOKENS),
        };
        let (host, salt) = (self.rng.usize(..self.hosts.len()), self.rng.u64(..));
        let request = request(tokens, ms(now_ms), salt);
        self.hosts[host].1.push(salt, request);
    }

    fn place(&mut self, host: usize, now_ms: u64) {
        let now = ms(now_ms);
        loop {
            let (pool, queue) = &mut self.hosts[host];
            let Some((_, request, decision)) = queue.next_decided(pool, now) else {
                return;
            };
            let Decision::Place(key) = decision else {
                self.refused += 1;
                continue;
            };
            let run = start(pool, key, request.tokens, now);
            pool.record_first_event(run, now);
            let upstream = key.0 as usize;
            self.placed += 1;
            self.held[upstream] += request.tokens;
            self.highest = self.highest.max(self.held[upstream]);
            self.ends.push(Reverse(RunEnd {
                at_ms: now_ms + self.rng.u64(RUN_MS),
                host,
                run: self.runs.len(),
                upstream,
                tokens: request.tokens,
            }));
            self.runs.push(run);
            // A placement is reported at once.
            self.report(host, now_ms);
        }
    }

    fn end_runs(&mut self, now_ms: u64) {
        while self.ends.peek().is_some_and(|e| e.0.at_ms <= now_ms) {
            let Reverse(end) = self.ends.pop().expect("a run ends");
            self.held[end.upstream] -= end.tokens;
            let (pool, _) = &mut self.hosts[end.host];
            pool.end_run(self.runs[end.run], Some(RunOutcome::Success), ms(now_ms));
        }
    }

    fn report(&mut self, host: usize, now_ms: u64) {
        let (pool, _) = &self.hosts[host];
        let loads = pool.upstreams().map(|(k, u)| (k, u.own_load())).collect();
        let held = pool.upstreams().map(|(k, _)| (k, pool.reported_tokens(k)));
        let report = (loads, pool.waiting().clone(), held.collect());
        self.reports.push((now_ms + REPORT_DELAY_MS, host, report));
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        let now = ms(now_ms);
        let due = self.reports.partition_point(|(at, _, _)| *at <= now_ms);
        for (_, reporter, (loads, waiting, held)) in self.reports.drain(..due) {
            for (host, (pool, _)) in self.hosts.iter_mut().enumerate() {
                if host != reporter {
                    pool.set_peer_load(reporter as u64, loads.clone(), now);
                    pool.set_peer_waiting(reporter as u64, waiting.clone(), now);
                    pool.set_peer_tokens(reporter as u64, held.clone(), now);
                }
            }
        }
    }
}

fn mean(range: Range<u64>) -> f64 {
    (range.start + range.end) as f64 / 2.0
}

/// Guards against a burst of long prompts that exceeds the memory of an engine, since hosts learn late what the others
/// send, and against memory that is left unused for that reason.
#[parameterized(
    one_host = { 1, 3, 0.8, 1 },
    one_host_beyond_the_memory = { 1, 3, 1.5, 2 },
    few_hosts = { 5, 10, 0.8, 3 },
    few_hosts_beyond_the_memory = { 5, 10, 1.5, 4 },
    many_hosts = { 30, 90, 0.8, 5 },
    many_hosts_beyond_the_memory = { 30, 90, 1.5, 6 },
)]
fn a_burst_of_long_prompts_does_not_exceed_the_memory(
    hosts: usize,
    upstreams: u32,
    load: f64,
    seed: u64,
) {
    let mut burst = Burst::new(hosts, upstreams, seed);

    burst.run(load);

    let (highest, placed, refused) = (burst.highest, burst.placed, burst.refused);
    println!("highest {highest}, {placed} placed, {refused} refused");
    assert!(highest <= ENGINE_TOKENS, "{highest} of {ENGINE_TOKENS}");
    assert!(placed > 9 * refused, "{placed} placed, {refused} refused");
}

#[parameterized(
    small_host = { Some(160), 40 << 20 },
    large_host = { Some(2_048), 512 << 20 },
    without_limit = { None, DEFAULT_BUDGET_BYTES },
)]
fn the_budget_is_a_quarter_of_the_memory(memory_mb: Option<u64>, expected: usize) {
    assert_eq!(budget_bytes(memory_mb), expected);
}

/// Guards against bodies of one kind that keep out all others.
#[test]
fn each_kind_of_bodies_leaves_memory_to_the_others() {
    let budget = MemoryBudget::new(1_000);
    let (mut request, mut response) = (budget.request(), budget.plain_response());

    assert!(request.try_add(600));
    assert!(!request.try_add(1));
    assert!(response.try_add(400));
    assert!(!response.try_add(1));
    drop(request);
    assert_eq!(budget.held(), 400);
    let mut part = budget.stream_part();
    assert!(part.try_add(400));
    assert!(!part.try_add(1));
    assert!(budget.request().try_add(200));
    drop((part, response));
    assert_eq!(budget.held(), 0);
}

/// Guards against slow callers that hold the whole memory, and against fast ones that get none of it.
#[parameterized(
    alone_within_the_budget = { 1, 0, 1 << 20, true },
    at_its_fair_share = { 4, 104_857, 1, false },
    below_its_fair_share = { 4, 103_000, 1_000, true },
    at_the_least_share = { 1_000, MIN_STREAM_BYTES, 1, false },
    below_the_least_share = { 1_000, MIN_STREAM_BYTES - 1, 1, true },
    holds_nothing_in_a_full_budget = { 1_000, 0, 1 << 20, true },
)]
fn a_stream_holds_its_fair_share(streams: usize, held: usize, bytes: usize, expected: bool) {
    let budget = MemoryBudget::new(1 << 20);
    let others: Vec<_> = (1..streams).map(|_| budget.begin_stream()).collect();
    let share = budget.begin_stream();

    assert_eq!(share.has_room(held, bytes), expected);
    drop(others);
    assert_eq!(budget.streams(), 1);
}

#[test]
fn a_stream_that_holds_something_waits_while_the_budget_is_full() {
    let budget = MemoryBudget::new(1 << 20);
    let share = budget.begin_stream();
    let mut others = budget.stream_part();
    others.add(1 << 20);

    assert!(!share.has_room(1, 1));
    assert!(share.has_room(0, 1));
    drop(others);
    assert!(share.has_room(1, 1));
}

/// Guards against incomplete events that fill the memory, and against those that find none because callers read slowly.
#[test]
fn incomplete_events_have_memory_of_their_own() {
    let budget = MemoryBudget::new(1_000);
    let mut others = budget.stream_part();
    others.add(1_000);
    let (mut event, mut small) = (budget.event(), budget.event());

    assert!(event.try_set(200, false));
    assert!(!event.try_set(201, false));
    assert!(!small.try_set(1, false));
    assert!(small.try_set(100, true));
    assert!(event.try_set(50, false));
    assert!(small.try_set(150, false));
    assert!(!small.try_set(151, false));
    assert_eq!(budget.held(), 1_000);
}
