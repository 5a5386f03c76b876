//! Placement and queueing of requests: single decisions, and simulated loads on pools and queues.

use std::collections::BinaryHeap;

use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{
    Decision, Load, PlacementRequest, Pool, RunKey, UpstreamKey,
};
use stoatjunction_core::entry::prompt_cache::PromptPart;
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const TARGET_LATENCY: Span = Span::from_millis(400);

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
}

fn listed(count: usize, slots: u32) -> Vec<ListedUpstream> {
    let upstream = |index: usize| ListedUpstream {
        id: format!("u{index}"),
        dc: if index.is_multiple_of(2) {
            "here"
        } else {
            "there"
        }
        .to_owned(),
        slots,
        born: 1,
        ..ListedUpstream::default()
    };
    (0..count).map(upstream).collect()
}

fn pool(upstreams: usize, slots: u32, seed: u64) -> Pool {
    let mut pool = Pool::new("here", seed);
    pool.set_upstreams(listed(upstreams, slots).iter(), START);
    pool
}

fn request(priority: u8, now: Time, salt: u64) -> PlacementRequest {
    PlacementRequest {
        priority: (0, priority),
        due_at: now + TARGET_LATENCY,
        wait_until: now + TARGET_LATENCY,
        late_wait: Span::from_millis(100),
        idempotent: true,
        salt,
        ..PlacementRequest::default()
    }
}

#[test]
fn an_idle_pool_places_requests_at_once_in_the_local_data_centre() {
    let mut pool = pool(4, 8, 1);

    let decision = pool.decide(&mut request(2, START, 1), START);

    let Decision::Place(key) = decision else {
        panic!("{decision:?}")
    };
    assert_eq!(pool.upstream(key).unwrap().listed.dc, "here");
}

#[test]
fn remote_upstreams_have_to_be_much_better_when_their_load_reports_are_sparse() {
    let busy = Load {
        running: 6,
        pending_prefill_tokens: 1_000,
    };
    let mut pool = pool(2, 8, 1);
    pool.set_peer_load(9, vec![(UpstreamKey(0), busy)], START);
    let frequent = pool.decide(&mut request(2, START, 1), START);

    pool.set_sparse_remote_reports(true);
    let sparse = pool.decide(&mut request(2, START, 1), START);

    assert_eq!(frequent, Decision::Place(UpstreamKey(1)));
    assert_eq!(sparse, Decision::Place(UpstreamKey(0)));
}

#[parameterized(
    urgent_with_sparse_reports = { true, 0, true },
    less_urgent_with_sparse_reports = { true, 2, false },
    less_urgent_with_frequent_reports = { false, 2, true },
)]
fn the_last_slot_is_reserved_for_urgent_requests_when_reports_are_sparse(
    sparse_remote_reports: bool,
    priority: u8,
    is_placed: bool,
) {
    let mut pool = pool(4, 8, 1);
    pool.set_sparse_remote_reports(sparse_remote_reports);
    let full = Load {
        running: 8,
        pending_prefill_tokens: 0,
    };
    let one_free = Load {
        running: 7,
        pending_prefill_tokens: 0,
    };
    let loads = (0..4).map(|n| (UpstreamKey(n), if n == 0 { one_free } else { full }));
    pool.set_peer_load(9, loads.collect(), START);

    let decision = pool.decide(&mut request(priority, START, 1), START);

    assert_eq!(
        matches!(decision, Decision::Place(_)),
        is_placed,
        "{decision:?}"
    );
}

#[test]
fn a_draining_upstream_gets_no_requests_even_when_it_is_the_last() {
    let mut pool = pool(1, 8, 1);
    let mut list = listed(1, 8);
    list[0].draining = true;
    pool.set_upstreams(list.iter(), START);

    let decision = pool.decide(&mut request(0, START, 1), START);

    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}

#[test]
fn open_circuits_are_ignored_when_all_are_open() {
    let mut pool = pool(2, 8, 1);
    for key in [UpstreamKey(0), UpstreamKey(1)] {
        for _ in 0..5 {
            pool.record_outcome(key, RunOutcome::Broken, START);
        }
    }

    let decision = pool.decide(&mut request(0, START, 1), START);

    assert!(matches!(decision, Decision::Place(_)), "{decision:?}");
}

#[parameterized(
    all_of_two = { 2, 0 },
    the_last_that_does_not_drain = { 2, 1 },
)]
fn calls_that_run_once_are_not_refused_for_ever_by_half_open_upstreams(
    upstreams: usize,
    draining: usize,
) {
    let mut listed = listed(upstreams, 8);
    for l in &mut listed[..draining] {
        l.draining = true;
    }
    let mut pool = Pool::new("here", 1);
    pool.set_upstreams(listed.iter(), START);
    let keys: Vec<UpstreamKey> = pool.upstreams().map(|(key, _)| key).collect();
    for key in &keys {
        for _ in 0..4 {
            pool.record_outcome(*key, RunOutcome::Shed, START);
        }
    }
    let after = START + Span::from_millis(10_000);
    let mut request = PlacementRequest {
        idempotent: false,
        ..request(0, after, 1)
    };

    let decision = pool.decide(&mut request, after);

    assert!(matches!(decision, Decision::Place(_)), "{decision:?}");
}

#[test]
fn the_same_id_with_another_start_time_is_another_upstream() {
    let mut pool = pool(1, 2, 1);
    let run = pool.start_run(UpstreamKey(0), &[], START);
    let mut list = listed(1, 2);
    list[0].born = 2;

    pool.set_upstreams(list.iter(), START);
    pool.end_run(run, Some(RunOutcome::Broken), START);

    let (_, upstream) = pool.upstreams().next().unwrap();
    assert_eq!(upstream.running(START), 0);
    assert!(!upstream.is_circuit_open(START));
}

#[test]
fn the_ends_of_runs_on_a_removed_upstream_do_not_count_for_its_successor() {
    let mut pool = pool(1, 4, 1);
    let runs = [(); 4].map(|()| pool.start_run(UpstreamKey(0), &[], START));
    let mut list = listed(1, 4);
    list[0].born = 2;
    pool.set_upstreams(list.iter(), START);
    let (key, _) = pool.upstreams().next().unwrap();
    pool.start_run(key, &[], START);

    for run in runs {
        pool.end_run(run, Some(RunOutcome::Broken), START);
    }

    let upstream = pool.upstream(key).unwrap();
    assert_eq!(upstream.running(START), 1);
    assert!(!upstream.is_circuit_open(START));
}

#[test]
fn a_request_that_cannot_be_on_time_runs_late_instead_of_being_refused() {
    let mut pool = pool(2, 8, 1);
    let mut request = request(1, START, 1);
    request.due_at = START + Span::from_millis(1);

    let decision = pool.decide(&mut request, START);

    assert!(request.late);
    assert!(matches!(decision, Decision::Place(_)), "{decision:?}");
}

#[test]
fn a_full_pool_refuses_a_late_request_once_its_short_wait_is_over() {
    let mut pool = pool(1, 1, 1);
    pool.start_run(UpstreamKey(0), &[], START);
    let mut request = request(1, START, 1);
    request.due_at = START;

    let first = pool.decide(&mut request, START);
    let second = pool.decide(&mut request, ms(101));

    assert_eq!(first, Decision::Wait);
    assert!(matches!(second, Decision::Refuse(_)), "{second:?}");
}

#[test]
fn an_upstream_without_observations_is_tried_soon() {
    let mut pool = pool(3, 8, 1);
    let mut tried = std::collections::BTreeSet::new();

    for n in 0..30 {
        let Decision::Place(key) = pool.decide(&mut request(0, ms(n * 100), n), ms(n * 100)) else {
            panic!("not placed")
        };
        let run = pool.start_run(key, &[], ms(n * 100));
        pool.record_first_event(run, ms(n * 100 + 5));
        pool.end_run(run, Some(RunOutcome::Success), ms(n * 100 + 5));
        tried.insert(key);
    }

    assert!(
        tried.contains(&UpstreamKey(0)) && tried.contains(&UpstreamKey(2)),
        "{tried:?}"
    );
}

/// Guards against sums of loads that overflow, as callers and other hosts name numbers at the end of their range.
#[parameterized(
    of_others = { &[u32::MAX, u32::MAX], &[] },
    of_this_host = { &[], &[u32::MAX, u32::MAX] },
    of_both = { &[u32::MAX], &[u32::MAX] },
)]
fn loads_at_the_end_of_their_range_are_added_up(peers: &[u32], prompts: &[u32]) {
    let mut pool = pool(1, 8, 1);
    let key = UpstreamKey(0);
    for (peer, n) in peers.iter().enumerate() {
        let load = Load {
            running: *n,
            pending_prefill_tokens: *n,
        };
        pool.set_peer_load(peer as u64, vec![(key, load)], START);
    }
    let mut runs = Vec::new();
    for (id, tokens) in prompts.iter().enumerate() {
        let part = PromptPart {
            id: id as u32,
            tokens: *tokens,
        };
        runs.push(pool.start_run(key, &[part], START));
    }

    let running = pool.upstream(key).unwrap().running(START);
    pool.record_load_report(key, u32::MAX, u32::MAX, START);
    let _decision = pool.decide(&mut request(0, START, 1), START);
    for run in runs {
        pool.record_first_event(run, ms(10));
        pool.end_run(run, Some(RunOutcome::Success), ms(20));
    }

    assert_eq!(running, if peers.is_empty() { 2 } else { u32::MAX });
    assert_eq!(pool.upstream(key).unwrap().own_load(), Load::default());
}

#[test]
fn a_load_report_replaces_the_previous_one_of_the_same_host() {
    let mut pool = pool(2, 4, 1);
    let load = |running| Load {
        running,
        pending_prefill_tokens: 0,
    };
    pool.set_peer_load(
        9,
        vec![(UpstreamKey(0), load(3)), (UpstreamKey(1), load(1))],
        START,
    );

    pool.set_peer_load(9, vec![(UpstreamKey(0), load(1))], START);

    assert_eq!(pool.upstream(UpstreamKey(0)).unwrap().running(START), 1);
    assert_eq!(pool.upstream(UpstreamKey(1)).unwrap().running(START), 0);
}

#[test]
fn the_load_report_of_an_unreachable_host_expires() {
    let mut pool = pool(1, 2, 1);
    let load = Load {
        running: 2,
        pending_prefill_tokens: 0,
    };
    pool.set_peer_load(9, vec![(UpstreamKey(0), load)], START);
    pool.expire_peer_loads(START);
    assert_eq!(pool.free_slots(START), 0);

    pool.expire_peer_loads(ms(1_600));

    assert_eq!(pool.free_slots(ms(1_600)), 2);
}

#[test]
fn load_reports_of_short_runs_expire_after_their_mean_duration() {
    let mut pool = pool(1, 2, 1);
    for n in 0..20 {
        let started_at = ms(n * 100);
        let run = pool.start_run(UpstreamKey(0), &[], started_at);
        pool.record_first_event(run, started_at + Span::from_millis(30));
        pool.end_run(
            run,
            Some(RunOutcome::Success),
            started_at + Span::from_millis(30),
        );
    }
    let load = Load {
        running: 2,
        pending_prefill_tokens: 0,
    };
    pool.set_peer_load(9, vec![(UpstreamKey(0), load)], ms(3_000));
    assert_eq!(pool.free_slots(ms(3_010)), 0);

    pool.expire_peer_loads(ms(3_200));

    assert_eq!(pool.free_slots(ms(3_200)), 2);
}

/// A simulated fleet of hosts, each with a queue, in front of upstreams that have all just come
/// back.
struct Fleet {
    hosts: Vec<(Pool, Queue)>,
}

impl Fleet {
    fn new(hosts: usize, upstreams: usize, slots: u32) -> Fleet {
        let new_host = |index| (pool(upstreams, slots, index as u64 + 1), Queue::default());
        Fleet {
            hosts: (0..hosts).map(new_host).collect(),
        }
    }

    fn exchange_reports(&mut self, now: Time) {
        let reports: Vec<_> = self
            .hosts
            .iter()
            .map(|(pool, _)| {
                let loads: Vec<_> = pool.upstreams().map(|(k, u)| (k, u.own_load())).collect();
                (loads, pool.waiting().clone())
            })
            .collect();
        for (host, (pool, _)) in self.hosts.iter_mut().enumerate() {
            for (peer, (loads, waiting)) in reports.iter().enumerate().filter(|(p, _)| *p != host) {
                pool.set_peer_load(peer as u64, loads.clone(), now);
                pool.set_peer_waiting(peer as u64, waiting.clone(), now);
            }
        }
    }

    fn running(&self) -> u32 {
        let own =
            |pool: &Pool| -> u32 { pool.upstreams().map(|(_, u)| u.own_load().running).sum() };
        self.hosts.iter().map(|(pool, _)| own(pool)).sum()
    }
}

fn place_queued_requests(pool: &mut Pool, queue: &mut Queue, now: Time) -> Vec<(u64, RunKey)> {
    let mut placed = Vec::new();
    while let Some((id, request, decision)) = queue.next_decided(pool, now) {
        if let Decision::Place(key) = decision {
            placed.push((id, pool.start_run(key, &request.prompt, now)));
        }
    }
    placed
}

#[test]
fn upstreams_that_come_back_are_not_overloaded_by_the_queues_of_all_hosts() {
    let mut fleet = Fleet::new(7, 3, 14);
    for (host, (pool, queue)) in fleet.hosts.iter_mut().enumerate() {
        for n in 0..40 {
            queue.push(n, request(1, START, (host as u64) << 32 | n));
        }
        pool.set_waiting(vec![(request(1, START, 0).precedence(), 40)]);
    }
    fleet.exchange_reports(START);

    for (pool, queue) in &mut fleet.hosts {
        place_queued_requests(pool, queue, START);
    }

    let running = fleet.running();
    assert!(running <= 42 + 14, "{running} on 42 slots");
    assert!(running >= 14, "{running} on 42 slots");
}

#[test]
fn a_more_urgent_request_on_another_host_goes_first() {
    let mut pool = pool(1, 1, 1);
    pool.set_peer_waiting(9, vec![(request(0, START, 0).precedence(), 5)], START);

    let less_urgent = pool.decide(&mut request(1, START, 1), START);
    let more_urgent = pool.decide(&mut request(0, START, 1), START);

    assert_eq!(less_urgent, Decision::Wait);
    assert!(matches!(more_urgent, Decision::Place(_) | Decision::Wait));
}

/// Outcomes of the requests of two priorities.
#[derive(Default, Debug)]
struct Outcomes {
    on_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

/// Simulates `per_s` requests a second for ten seconds, a third of them urgent, each running for
/// 0.6 to 1.4 seconds, through one host in front of 28 slots.
fn simulate(per_s: u64) -> Outcomes {
    let mut pool = pool(2, 14, 1);
    let mut queue = Queue::default();
    let mut outcomes = Outcomes::default();
    let mut ends: BinaryHeap<std::cmp::Reverse<(Time, u32)>> = BinaryHeap::new();
    let mut runs: Vec<RunKey> = Vec::new();
    let mut priorities = Vec::new();
    let mut sent = 0;
    for now_ms in 0..10_000 {
        let now = ms(now_ms);
        while ends.peek().is_some_and(|e| e.0.0 <= now) {
            let index = ends.pop().unwrap().0.1 as usize;
            pool.end_run(runs[index], Some(RunOutcome::Success), now);
        }
        while sent * 1_000 <= now_ms * per_s {
            let priority = u8::from(!sent.is_multiple_of(3));
            priorities.push(priority);
            queue.push(sent, request(priority, now, sent));
            sent += 1;
        }
        while let Some((id, request, decision)) = queue.next_decided(&mut pool, now) {
            let priority = usize::from(priorities[id as usize]);
            match decision {
                Decision::Place(key) => {
                    let run = pool.start_run(key, &[], now);
                    pool.record_first_event(run, now + Span::from_millis(60));
                    let length = Span::from_millis(600 + id * 7_919 % 800);
                    ends.push(std::cmp::Reverse((now + length, runs.len() as u32)));
                    runs.push(run);
                    let count = if request.late {
                        &mut outcomes.late
                    } else {
                        &mut outcomes.on_time
                    };
                    count[priority] += 1;
                }
                _ => outcomes.refused[priority] += 1,
            }
        }
    }
    outcomes
}

#[test]
fn below_capacity_all_requests_are_on_time() {
    let outcomes = simulate(20);

    assert_eq!(outcomes.refused, [0, 0], "{outcomes:?}");
    assert_eq!(outcomes.late, [0, 0], "{outcomes:?}");
}

#[test]
fn at_twice_the_capacity_urgent_requests_are_on_time_and_slots_stay_in_use() {
    let outcomes = simulate(56);

    let urgent: u32 = outcomes.on_time[0] + outcomes.late[0] + outcomes.refused[0];
    assert!(outcomes.on_time[0] * 100 >= urgent * 97, "{outcomes:?}");
    let served: u32 = outcomes.on_time.iter().chain(&outcomes.late).sum();
    assert!(served >= 250, "{outcomes:?}");
}

#[test]
fn a_request_whose_wait_is_over_is_refused_while_all_upstreams_are_tried_by_others() {
    let mut pool = pool(2, 8, 1);
    for key in [UpstreamKey(0), UpstreamKey(1)] {
        for n in 0..8 {
            let run = pool.start_run(key, &[], ms(n));
            pool.end_run(run, Some(RunOutcome::Broken), ms(n));
        }
        pool.start_run(key, &[], ms(5_000));
    }

    let mut waiting = request(1, ms(5_000), 1);
    let now = waiting.wait_until + Span::from_millis(1);
    let decision = pool.decide(&mut waiting, now);

    assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}");
}
