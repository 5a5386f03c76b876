//! A load played against many hosts that hear of each other late: how often an upstream is sent more
//! than it can run, so that calls wait in a queue that knows no ranks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use stoatjunction_core::entry::health::Outcome;
use stoatjunction_core::entry::pool::{Hosts, Need, NodeKey, Pool, RunKey, Verdict};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::share::HostDemand;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const SLOTS: u32 = 7;

/// Hosts, upstreams, and the mean time of a run there in milliseconds.
#[derive(Clone, Copy)]
struct Service {
    hosts: usize,
    upstreams: usize,
    run_ms: u64,
    /// Tiers of callers.
    tiers: u8,
    /// Time that a call may wait.
    patience: Span,
}

const ENGINES: Service = Service {
    hosts: 16,
    upstreams: 28,
    run_ms: 400,
    tiers: 1,
    patience: Span::from_millis(400),
};
/// Plain calls before so few upstreams that places are not dealt out.
const PLAIN: Service = Service {
    hosts: 64,
    upstreams: 5,
    run_ms: 60,
    tiers: 4,
    patience: Span::from_millis(1_350),
};

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
}

fn listed(n: usize) -> ListedUpstream {
    ListedUpstream {
        id: format!("u{n}"),
        dc: "here".to_owned(),
        slots: SLOTS,
        born: 1,
        ..ListedUpstream::default()
    }
}

/// Callers and upstreams of one data centre.
struct Play {
    service: Service,
    hosts: Vec<(Pool, Queue)>,
    /// Hosts that the others cannot hear, nor they the others.
    cut_off: usize,
    running: Vec<u32>,
    ends: BinaryHeap<Reverse<(Time, usize, u32, usize)>>,
    runs: Vec<RunKey>,
    rng: fastrand::Rng,
    sent: u32,
    crowded: u32,
    refused: u32,
    /// Sum of the times that calls waited for a place, in milliseconds.
    waited: u64,
}

impl Play {
    fn new(service: Service, cut_off: usize) -> Play {
        let list: Vec<ListedUpstream> = (0..service.upstreams).map(listed).collect();
        let host = |h: usize| {
            let mut pool = Pool::new("here", h as u64 + 1);
            pool.set_nodes(list.iter(), START);
            (pool, Queue::default())
        };
        Play {
            service,
            hosts: (0..service.hosts).map(host).collect(),
            cut_off,
            running: vec![0; service.upstreams],
            ends: BinaryHeap::new(),
            runs: Vec::new(),
            rng: fastrand::Rng::with_seed(3),
            sent: 0,
            crowded: 0,
            refused: 0,
            waited: 0,
        }
    }

    fn hears(&self, h: usize, peer: usize) -> bool {
        h != peer && h >= self.cut_off && peer >= self.cut_off
    }

    fn deal(&mut self) {
        for h in 0..self.service.hosts {
            let member = |p: usize| HostDemand {
                id: p as u64,
                demand: 1.0,
                silent: p != h && !self.hears(h, p),
            };
            let members: Vec<HostDemand> = (0..self.service.hosts).map(member).collect();
            let silent = (0..self.service.hosts)
                .filter(|p| *p != h && !self.hears(h, *p))
                .count();
            let hosts = Hosts {
                dc: "here".to_owned(),
                known: self.service.hosts as u32,
                silent: silent as u32,
                kept: 2,
            };
            self.hosts[h].0.deal(&members, h as u64, &[hosts]);
        }
    }

    fn tell(&mut self, teller: usize, now: Time) {
        let pool = &self.hosts[teller].0;
        let loads: Vec<_> = pool.nodes().map(|(k, n)| (k, n.own())).collect();
        let waiting = pool.waiting().clone();
        for h in 0..self.service.hosts {
            if self.hears(h, teller) {
                let pool = &mut self.hosts[h].0;
                pool.heard(teller as u64, loads.clone(), now);
                pool.heard_waiting(teller as u64, waiting.clone(), now);
            }
        }
    }

    fn end_runs(&mut self, now: Time) {
        while self.ends.peek().is_some_and(|e| e.0.0 <= now) {
            let Reverse((_, h, node, run)) = self.ends.pop().unwrap();
            self.running[node as usize] -= 1;
            let pool = &mut self.hosts[h].0;
            pool.ended(self.runs[run], Some(Outcome::Good), now);
        }
    }

    fn decide(&mut self, h: usize, now: Time) {
        loop {
            let (pool, queue) = &mut self.hosts[h];
            let Some((_, need, verdict)) = queue.next(pool, now) else {
                return;
            };
            let Verdict::Place(NodeKey(node)) = verdict else {
                self.refused += 1;
                continue;
            };
            self.waited += self.service.patience.as_millis() - now.until(need.in_time).as_millis();
            let run = pool.started(NodeKey(node), &need.prompt, now);
            pool.first(run, now + Span::from_millis(self.service.run_ms / 7));
            let place = &mut self.running[node as usize];
            self.sent += 1;
            self.crowded += u32::from(*place >= SLOTS);
            *place += 1;
            let length = self
                .rng
                .u64(self.service.run_ms / 2..self.service.run_ms * 3 / 2);
            let end = now + Span::from_millis(length);
            self.ends.push(Reverse((end, h, node, self.runs.len())));
            self.runs.push(run);
        }
    }

    /// Plays calls that would take `load` of the places, for some milliseconds; each host speaks every
    /// `tell_every` milliseconds.
    fn run(&mut self, load: f64, tell_every: u64, span: Range<u64>) {
        let places = self.service.upstreams as f64 * f64::from(SLOTS);
        let per_ms = load * places / self.service.run_ms as f64;
        for now_ms in span {
            let now = ms(now_ms);
            self.end_runs(now);
            for _ in 0..(per_ms + self.rng.f64()) as u64 {
                let h = self.rng.usize(0..self.service.hosts);
                let salt = self.rng.u64(..);
                let need = Need {
                    rank: (self.rng.u8(0..self.service.tiers), 1),
                    in_time: now + self.service.patience,
                    wait_until: now + self.service.patience,
                    late_wait: Span::from_millis(100),
                    idempotent: true,
                    salt,
                    ..Need::default()
                };
                self.hosts[h].1.push(salt, need);
            }
            for h in 0..self.service.hosts {
                self.decide(h, now);
                if (now_ms + h as u64 * 13).is_multiple_of(tell_every) {
                    self.tell(h, now);
                }
            }
        }
    }
}

/// Calls in a hundred that may find their upstream full: more would queue where no rank counts.
const MOST_CROWDED: u32 = 3;

#[parameterized(
    calm = { 0.6, 0 },
    busy = { 0.9, 0 },
    beyond_what_there_is = { 1.5, 0 },
    beyond_with_a_third_cut_off = { 1.5, 5 },
    beyond_with_all_cut_off = { 1.5, 16 },
)]
fn upstreams_are_not_crowded_by_hosts_that_hear_late(load: f64, cut_off: usize) {
    let mut play = Play::new(ENGINES, cut_off);
    play.deal();

    play.run(load, 60, 0..10_000);

    let (sent, crowded) = (play.sent, play.crowded);
    assert!(crowded * 100 <= sent * MOST_CROWDED, "{crowded} of {sent}");
    let all = sent + play.refused;
    let places = f64::min(1.0, 1.0 / load);
    assert!(
        f64::from(sent) >= 0.85 * places * f64::from(all),
        "{sent} of {all}"
    );
}

#[parameterized(
    calm = { 0.5 },
    busy = { 0.8 },
)]
fn after_a_burst_short_calls_do_not_wait_while_places_are_free(load: f64) {
    let mut play = Play::new(PLAIN, 0);
    play.deal();

    // A burst leaves queues at all hosts.
    play.run(1.6, 250, 0..2_000);
    play.run(load, 250, 2_000..4_000);
    (play.sent, play.refused, play.waited) = (0, 0, 0);

    play.run(load, 250, 4_000..10_000);

    let (sent, waited) = (u64::from(play.sent), play.waited);
    assert_eq!(play.refused, 0);
    // The mean wait stays under the time that the call itself takes.
    assert!(waited <= sent * PLAIN.run_ms, "{waited} ms for {sent}");
}
