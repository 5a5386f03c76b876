//! Loads played against pools and queues: what callers get.

use std::collections::BinaryHeap;

use stoatjunction_core::entry::health::Outcome;
use stoatjunction_core::entry::pool::{Load, Need, NodeKey, Pool, RunKey, Verdict};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const AIM: Span = Span::from_millis(400);

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
}

fn listed(n: usize, slots: u32) -> Vec<ListedUpstream> {
    let one = |i: usize| ListedUpstream {
        id: format!("u{i}"),
        dc: if i.is_multiple_of(2) { "here" } else { "there" }.to_owned(),
        slots,
        born: 1,
        ..ListedUpstream::default()
    };
    (0..n).map(one).collect()
}

fn pool(n: usize, slots: u32, seed: u64) -> Pool {
    let mut pool = Pool::new("here", seed);
    pool.set_nodes(listed(n, slots).iter(), START);
    pool
}

fn need(priority: u8, now: Time, salt: u64) -> Need {
    Need {
        rank: (0, priority),
        in_time: now + AIM,
        wait_until: now + AIM,
        late_wait: Span::from_millis(100),
        idempotent: true,
        salt,
        ..Need::default()
    }
}

#[test]
fn an_idle_pool_places_at_once_and_in_its_own_data_centre() {
    let mut pool = pool(4, 8, 1);

    let verdict = pool.decide(&mut need(2, START, 1), START);

    let Verdict::Place(key) = verdict else {
        panic!("{verdict:?}")
    };
    assert_eq!(pool.node(key).unwrap().listed.dc, "here");
}

#[test]
fn far_upstreams_have_to_be_much_better_where_their_loads_are_heard_of_late() {
    let busy = Load {
        running: 6,
        unread: 1_000,
    };
    let mut pool = pool(2, 8, 1);
    pool.heard(9, vec![(NodeKey(0), busy)], START);
    let near_by = pool.decide(&mut need(2, START, 1), START);

    pool.set_far_apart(true);
    let far_apart = pool.decide(&mut need(2, START, 1), START);

    assert_eq!(near_by, Verdict::Place(NodeKey(1)));
    assert_eq!(far_apart, Verdict::Place(NodeKey(0)));
}

#[parameterized(
    urgent_in_a_large_fleet = { true, 0, true },
    less_urgent_in_a_large_fleet = { true, 2, false },
    less_urgent_among_few = { false, 2, true },
)]
fn the_last_place_is_kept_for_the_urgent_where_hosts_hear_late(
    far_apart: bool,
    priority: u8,
    is_placed: bool,
) {
    let mut pool = pool(4, 8, 1);
    pool.set_far_apart(far_apart);
    let full = Load {
        running: 8,
        unread: 0,
    };
    let one_left = Load {
        running: 7,
        unread: 0,
    };
    let loads = (0..4).map(|n| (NodeKey(n), if n == 0 { one_left } else { full }));
    pool.heard(9, loads.collect(), START);

    let verdict = pool.decide(&mut need(priority, START, 1), START);

    assert_eq!(
        matches!(verdict, Verdict::Place(_)),
        is_placed,
        "{verdict:?}"
    );
}

#[test]
fn a_draining_upstream_gets_nothing_even_when_it_is_the_last() {
    let mut pool = pool(1, 8, 1);
    let mut list = listed(1, 8);
    list[0].draining = true;
    pool.set_nodes(list.iter(), START);

    let verdict = pool.decide(&mut need(0, START, 1), START);

    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}

#[test]
fn upstreams_are_never_all_avoided() {
    let mut pool = pool(2, 8, 1);
    for key in [NodeKey(0), NodeKey(1)] {
        for _ in 0..5 {
            pool.observe(key, Outcome::Broken, START);
        }
    }

    let verdict = pool.decide(&mut need(0, START, 1), START);

    assert!(matches!(verdict, Verdict::Place(_)), "{verdict:?}");
}

#[test]
fn the_same_id_with_another_start_is_another_upstream() {
    let mut pool = pool(1, 2, 1);
    let run = pool.started(NodeKey(0), &[], START);
    let mut list = listed(1, 2);
    list[0].born = 2;

    pool.set_nodes(list.iter(), START);
    pool.ended(run, Some(Outcome::Broken), START);

    let (_, node) = pool.nodes().next().unwrap();
    assert_eq!(node.running(START), 0);
    assert!(!node.is_avoided(START));
}

#[test]
fn a_call_that_cannot_be_in_time_runs_late_instead_of_being_refused() {
    let mut pool = pool(2, 8, 1);
    let mut call = need(1, START, 1);
    call.in_time = START + Span::from_millis(1);

    let verdict = pool.decide(&mut call, START);

    assert!(call.late);
    assert!(matches!(verdict, Verdict::Place(_)), "{verdict:?}");
}

#[test]
fn a_full_pool_refuses_a_late_call_once_its_short_wait_is_over() {
    let mut pool = pool(1, 1, 1);
    pool.started(NodeKey(0), &[], START);
    let mut call = need(1, START, 1);
    call.in_time = START;

    let first = pool.decide(&mut call, START);
    let second = pool.decide(&mut call, ms(101));

    assert_eq!(first, Verdict::Wait);
    assert!(matches!(second, Verdict::Refuse(_)), "{second:?}");
}

#[test]
fn an_upstream_of_which_nothing_is_known_is_tried_soon() {
    let mut pool = pool(3, 8, 1);
    let mut tried = std::collections::BTreeSet::new();

    for n in 0..30 {
        let Verdict::Place(key) = pool.decide(&mut need(0, ms(n * 100), n), ms(n * 100)) else {
            panic!("not placed")
        };
        let run = pool.started(key, &[], ms(n * 100));
        pool.first(run, ms(n * 100 + 5));
        pool.ended(run, Some(Outcome::Good), ms(n * 100 + 5));
        tried.insert(key);
    }

    assert!(
        tried.contains(&NodeKey(0)) && tried.contains(&NodeKey(2)),
        "{tried:?}"
    );
}

#[test]
fn what_a_host_says_replaces_what_it_said_before() {
    let mut pool = pool(2, 4, 1);
    let load = |running| Load { running, unread: 0 };
    pool.heard(9, vec![(NodeKey(0), load(3)), (NodeKey(1), load(1))], START);

    pool.heard(9, vec![(NodeKey(0), load(1))], START);

    assert_eq!(pool.node(NodeKey(0)).unwrap().running(START), 1);
    assert_eq!(pool.node(NodeKey(1)).unwrap().running(START), 0);
}

#[test]
fn the_load_of_a_silent_host_is_forgotten_after_a_while() {
    let mut pool = pool(1, 2, 1);
    let load = Load {
        running: 2,
        unread: 0,
    };
    pool.heard(9, vec![(NodeKey(0), load)], START);
    pool.forget_silent(START);
    assert_eq!(pool.free(START), 0);

    pool.forget_silent(ms(1_600));

    assert_eq!(pool.free(ms(1_600)), 2);
}

#[test]
fn short_runs_of_others_count_only_as_long_as_they_last() {
    let mut pool = pool(1, 2, 1);
    for n in 0..20 {
        let begun = ms(n * 100);
        let run = pool.started(NodeKey(0), &[], begun);
        pool.first(run, begun + Span::from_millis(30));
        pool.ended(run, Some(Outcome::Good), begun + Span::from_millis(30));
    }
    let load = Load {
        running: 2,
        unread: 0,
    };
    pool.heard(9, vec![(NodeKey(0), load)], ms(3_000));
    assert_eq!(pool.free(ms(3_010)), 0);

    pool.forget_silent(ms(3_200));

    assert_eq!(pool.free(ms(3_200)), 2);
}

/// A simulated fleet of hosts, each with a queue, before upstreams that all have just come back.
struct Fleet {
    hosts: Vec<(Pool, Queue)>,
}

impl Fleet {
    fn new(hosts: usize, upstreams: usize, slots: u32) -> Fleet {
        let one = |h| (pool(upstreams, slots, h as u64 + 1), Queue::default());
        Fleet {
            hosts: (0..hosts).map(one).collect(),
        }
    }

    fn tell(&mut self, now: Time) {
        let told: Vec<_> = self
            .hosts
            .iter()
            .map(|(pool, _)| {
                let loads: Vec<_> = pool.nodes().map(|(k, n)| (k, n.own())).collect();
                (loads, pool.waiting().clone())
            })
            .collect();
        for (h, (pool, _)) in self.hosts.iter_mut().enumerate() {
            for (peer, (loads, waiting)) in told.iter().enumerate().filter(|(p, _)| *p != h) {
                pool.heard(peer as u64, loads.clone(), now);
                pool.heard_waiting(peer as u64, waiting.clone(), now);
            }
        }
    }

    fn running(&self) -> u32 {
        let own = |pool: &Pool| -> u32 { pool.nodes().map(|(_, n)| n.own().running).sum() };
        self.hosts.iter().map(|(pool, _)| own(pool)).sum()
    }
}

fn drain(pool: &mut Pool, queue: &mut Queue, now: Time) -> Vec<(u64, RunKey)> {
    let mut placed = Vec::new();
    while let Some((id, need, verdict)) = queue.next(pool, now) {
        if let Verdict::Place(key) = verdict {
            placed.push((id, pool.started(key, &need.prompt, now)));
        }
    }
    placed
}

#[test]
fn upstreams_that_come_back_are_not_flooded_by_the_queues_of_all_hosts() {
    let mut fleet = Fleet::new(7, 3, 14);
    for (h, (pool, queue)) in fleet.hosts.iter_mut().enumerate() {
        for n in 0..40 {
            queue.push(n, need(1, START, (h as u64) << 32 | n));
        }
        pool.set_waiting(vec![(need(1, START, 0).order(), 40)]);
    }
    fleet.tell(START);

    for (pool, queue) in &mut fleet.hosts {
        drain(pool, queue, START);
    }

    let running = fleet.running();
    assert!(running <= 42 + 14, "{running} on 42 places");
    assert!(running >= 14, "{running} on 42 places");
}

#[test]
fn the_more_urgent_of_another_host_goes_first() {
    let mut pool = pool(1, 1, 1);
    pool.heard_waiting(9, vec![(need(0, START, 0).order(), 5)], START);

    let less = pool.decide(&mut need(1, START, 1), START);
    let more = pool.decide(&mut need(0, START, 1), START);

    assert_eq!(less, Verdict::Wait);
    assert!(matches!(more, Verdict::Place(_) | Verdict::Wait));
}

/// What callers got of a load of two ranks.
#[derive(Default, Debug)]
struct Got {
    in_time: [u32; 2],
    late: [u32; 2],
    refused: [u32; 2],
}

/// Plays `per_s` calls a second, a third of them urgent, running for 0.6 to 1.4 seconds, through one
/// host before 28 places, for ten seconds.
fn play(per_s: u64) -> Got {
    let mut pool = pool(2, 14, 1);
    let mut queue = Queue::default();
    let mut got = Got::default();
    let mut ends: BinaryHeap<std::cmp::Reverse<(Time, u32)>> = BinaryHeap::new();
    let mut runs: Vec<RunKey> = Vec::new();
    let mut ranks = Vec::new();
    let mut due = 0;
    for now_ms in 0..10_000 {
        let now = ms(now_ms);
        while ends.peek().is_some_and(|e| e.0.0 <= now) {
            let index = ends.pop().unwrap().0.1 as usize;
            pool.ended(runs[index], Some(Outcome::Good), now);
        }
        while due * 1_000 <= now_ms * per_s {
            let rank = u8::from(!due.is_multiple_of(3));
            ranks.push(rank);
            queue.push(due, need(rank, now, due));
            due += 1;
        }
        while let Some((id, need, verdict)) = queue.next(&mut pool, now) {
            let rank = usize::from(ranks[id as usize]);
            match verdict {
                Verdict::Place(key) => {
                    let run = pool.started(key, &[], now);
                    pool.first(run, now + Span::from_millis(60));
                    let length = Span::from_millis(600 + id * 7_919 % 800);
                    ends.push(std::cmp::Reverse((now + length, runs.len() as u32)));
                    runs.push(run);
                    let slot = if need.late {
                        &mut got.late
                    } else {
                        &mut got.in_time
                    };
                    slot[rank] += 1;
                }
                _ => got.refused[rank] += 1,
            }
        }
    }
    got
}

#[test]
fn below_capacity_everybody_is_in_time() {
    let got = play(20);

    assert_eq!(got.refused, [0, 0], "{got:?}");
    assert_eq!(got.late, [0, 0], "{got:?}");
}

#[test]
fn at_twice_the_capacity_the_urgent_are_in_time_and_the_places_stay_full() {
    let got = play(56);

    let urgent: u32 = got.in_time[0] + got.late[0] + got.refused[0];
    assert!(got.in_time[0] * 100 >= urgent * 97, "{got:?}");
    let served: u32 = got.in_time.iter().chain(&got.late).sum();
    assert!(served >= 250, "{got:?}");
}
