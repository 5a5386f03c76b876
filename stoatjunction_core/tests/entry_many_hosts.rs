//! Simulates many hosts that receive load reports late, and counts how often an upstream is sent
//! more requests than it can run, so that they wait in its queue, which ignores priorities.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{
    DataCentreHosts, Decision, PlacementRequest, Pool, RunKey, UpstreamKey,
};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::rate_limiter::Reporter;
use stoatjunction_core::entry::slot_allocation::HostDemand;
use stoatjunction_core::entry::upstream_limits::SendingHost;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const SLOTS: u32 = 7;

/// Size of a simulated service.
#[derive(Clone, Copy)]
struct Service {
    hosts: usize,
    upstreams: usize,
    /// Mean run duration in milliseconds.
    mean_run_ms: u64,
    /// Number of priorities of callers.
    priorities: u8,
    /// Time for which a request may wait.
    max_wait: Span,
}

const ENGINE_SERVICE: Service = Service {
    hosts: 16,
    upstreams: 28,
    mean_run_ms: 400,
    priorities: 1,
    max_wait: Span::from_millis(400),
};
/// Plain requests to so few upstreams that slots are not allocated to hosts.
const PLAIN_SERVICE: Service = Service {
    hosts: 64,
    upstreams: 5,
    mean_run_ms: 60,
    priorities: 4,
    max_wait: Span::from_millis(1_350),
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
struct Simulation {
    service: Service,
    hosts: Vec<(Pool, Queue)>,
    /// Number of hosts that are isolated from all others by a network fault.
    isolated: usize,
    running: Vec<u32>,
    ends: BinaryHeap<Reverse<(Time, usize, u32, usize)>>,
    runs: Vec<RunKey>,
    rng: fastrand::Rng,
    sent: u32,
    overloaded: u32,
    refused: u32,
    /// Total time that requests waited for a slot, in milliseconds.
    waited_ms: u64,
    /// Upstreams that name a limit, and the limit in requests a second.
    limited: Vec<(usize, f64)>,
    /// Requests that each upstream got.
    received: Vec<u32>,
}

impl Simulation {
    fn new(service: Service, isolated: usize) -> Simulation {
        let list: Vec<ListedUpstream> = (0..service.upstreams).map(listed).collect();
        let new_host = |index: usize| {
            let mut pool = Pool::new("here", index as u64 + 1);
            pool.set_upstreams(list.iter(), START);
            (pool, Queue::default())
        };
        Simulation {
            service,
            hosts: (0..service.hosts).map(new_host).collect(),
            isolated,
            running: vec![0; service.upstreams],
            ends: BinaryHeap::new(),
            runs: Vec::new(),
            rng: fastrand::Rng::with_seed(3),
            sent: 0,
            overloaded: 0,
            refused: 0,
            waited_ms: 0,
            limited: Vec::new(),
            received: vec![0; service.upstreams],
        }
    }

    fn receives_from(&self, host: usize, peer: usize) -> bool {
        host != peer && host >= self.isolated && peer >= self.isolated
    }

    fn allocate_slots(&mut self) {
        for host in 0..self.service.hosts {
            let member = |peer: usize| HostDemand {
                id: peer as u64,
                demand: 1.0,
                unreachable: peer != host && !self.receives_from(host, peer),
            };
            let members: Vec<HostDemand> = (0..self.service.hosts).map(member).collect();
            let unreachable = (0..self.service.hosts)
                .filter(|peer| *peer != host && !self.receives_from(host, *peer))
                .count();
            let hosts = DataCentreHosts {
                dc: "here".to_owned(),
                known: self.service.hosts as u32,
                unreachable: unreachable as u32,
                reserved_slots: 2,
            };
            self.hosts[host]
                .0
                .allocate_slots(&members, host as u64, &[hosts]);
        }
    }

    /// Has upstreams name a limit from now on; all hosts hear of it.
    fn limit(&mut self, upstreams: &[usize], per_s: f64) {
        self.limited = upstreams.iter().map(|n| (*n, per_s)).collect();
        for host in 0..self.service.hosts {
            let sender = |n: usize| SendingHost {
                number: n as u64,
                dc: "here".to_owned(),
            };
            let others = (0..self.service.hosts).filter(|n| *n != host).map(sender);
            let limits = self.hosts[host].0.limits_mut();
            limits.set_hosts(sender(host), others.collect());
            for (n, per_s) in &self.limited {
                let pool = &mut self.hosts[host].0;
                let key = UpstreamKey(*n as u32);
                let number = pool.upstream(key).unwrap().number;
                pool.record_limit(number, Some(*per_s), START, START);
            }
        }
    }

    /// Makes an upstream leave.
    fn drain(&mut self, upstreams: &[usize]) {
        let mut list: Vec<ListedUpstream> = (0..self.service.upstreams).map(listed).collect();
        for n in upstreams {
            list[*n].draining = true;
        }
        for (pool, _) in &mut self.hosts {
            pool.set_upstreams(list.iter(), START);
        }
    }

    fn report(&mut self, reporter: usize, now: Time) {
        let pool = &self.hosts[reporter].0;
        let loads: Vec<_> = pool.upstreams().map(|(k, u)| (k, u.own_load())).collect();
        let waiting = pool.waiting().clone();
        let usage = pool.limits().own_usage(now);
        let from = Reporter {
            id: reporter as u64 + 1,
            hosts: 1,
            reported_at: now,
        };
        for host in 0..self.service.hosts {
            if self.receives_from(host, reporter) {
                let pool = &mut self.hosts[host].0;
                pool.set_peer_load(reporter as u64, loads.clone(), now);
                pool.set_peer_waiting(reporter as u64, waiting.clone(), now);
                pool.limits_mut().record_usage(from, &usage, now);
            }
        }
    }

    fn end_runs(&mut self, now: Time) {
        while self.ends.peek().is_some_and(|e| e.0.0 <= now) {
            let Reverse((_, host, upstream, run)) = self.ends.pop().unwrap();
            self.running[upstream as usize] -= 1;
            let pool = &mut self.hosts[host].0;
            pool.end_run(self.runs[run], Some(RunOutcome::Success), now);
        }
    }

    fn place_queued_requests(&mut self, host: usize, now: Time) {
        loop {
            let (pool, queue) = &mut self.hosts[host];
            let Some((_, request, decision)) = queue.next_decided(pool, now) else {
                return;
            };
            let Decision::Place(UpstreamKey(upstream)) = decision else {
                self.refused += 1;
                continue;
            };
            self.waited_ms +=
                self.service.max_wait.as_millis() - now.until(request.due_at).as_millis();
            let run = pool.start_run(UpstreamKey(upstream), &request.prompt, now);
            pool.record_first_event(run, now + Span::from_millis(self.service.mean_run_ms / 7));
            let running = &mut self.running[upstream as usize];
            self.sent += 1;
            self.received[upstream as usize] += 1;
            self.overloaded += u32::from(*running >= SLOTS);
            *running += 1;
            let length = self
                .rng
                .u64(self.service.mean_run_ms / 2..self.service.mean_run_ms * 3 / 2);
            let end = now + Span::from_millis(length);
            self.ends
                .push(Reverse((end, host, upstream, self.runs.len())));
            self.runs.push(run);
        }
    }

    /// Simulates requests that need `load` times the slots during the milliseconds of `span`; each
    /// host reports every `report_interval_ms` milliseconds.
    fn run(&mut self, load: f64, report_interval_ms: u64, span: Range<u64>) {
        let slots = self.service.upstreams as f64 * f64::from(SLOTS);
        let per_ms = load * slots / self.service.mean_run_ms as f64;
        for now_ms in span {
            let now = ms(now_ms);
            self.end_runs(now);
            for _ in 0..(per_ms + self.rng.f64()) as u64 {
                let host = self.rng.usize(0..self.service.hosts);
                let salt = self.rng.u64(..);
                let request = PlacementRequest {
                    priority: (self.rng.u8(0..self.service.priorities), 1),
                    due_at: now + self.service.max_wait,
                    wait_until: now + self.service.max_wait,
                    late_wait: Span::from_millis(100),
                    idempotent: true,
                    salt,
                    ..PlacementRequest::default()
                };
                self.hosts[host].1.push(salt, request);
            }
            for host in 0..self.service.hosts {
                self.place_queued_requests(host, now);
                if (now_ms + host as u64 * 13).is_multiple_of(report_interval_ms) {
                    self.report(host, now);
                }
            }
        }
    }
}

/// Percentage of requests that may find their upstream full; they would queue where priorities are
/// ignored.
const MAX_OVERLOADED_PERCENT: u32 = 3;

#[parameterized(
    low_load = { 0.6, 0 },
    high_load = { 0.9, 0 },
    beyond_capacity = { 1.5, 0 },
    beyond_capacity_with_a_third_isolated = { 1.5, 5 },
    beyond_capacity_with_all_isolated = { 1.5, 16 },
)]
fn hosts_with_late_reports_do_not_overload_upstreams(load: f64, isolated: usize) {
    let mut simulation = Simulation::new(ENGINE_SERVICE, isolated);
    simulation.allocate_slots();

    simulation.run(load, 60, 0..10_000);

    let (sent, overloaded) = (simulation.sent, simulation.overloaded);
    assert!(
        overloaded * 100 <= sent * MAX_OVERLOADED_PERCENT,
        "{overloaded} of {sent}"
    );
    let total = sent + simulation.refused;
    let capacity = f64::min(1.0, 1.0 / load);
    assert!(
        f64::from(sent) >= 0.85 * capacity * f64::from(total),
        "{sent} of {total}"
    );
}

#[parameterized(
    low_load = { 0.5 },
    high_load = { 0.8 },
)]
fn after_a_burst_short_requests_do_not_wait_while_slots_are_free(load: f64) {
    let mut simulation = Simulation::new(PLAIN_SERVICE, 0);
    simulation.allocate_slots();

    // The burst leaves requests queued at all hosts.
    simulation.run(1.6, 250, 0..2_000);
    simulation.run(load, 250, 2_000..4_000);
    (simulation.sent, simulation.refused, simulation.waited_ms) = (0, 0, 0);

    simulation.run(load, 250, 4_000..10_000);

    let (sent, waited_ms) = (u64::from(simulation.sent), simulation.waited_ms);
    assert_eq!(simulation.refused, 0);
    // The mean wait stays below the mean run duration.
    assert!(
        waited_ms <= sent * PLAIN_SERVICE.mean_run_ms,
        "{waited_ms} ms for {sent}"
    );
}

/// An engine service of few hosts.
const SMALL_ENGINE_SERVICE: Service = Service {
    hosts: 7,
    upstreams: 12,
    mean_run_ms: 900,
    priorities: 3,
    max_wait: Span::from_millis(400),
};

#[parameterized(
    low_load = { 0.5, SMALL_ENGINE_SERVICE },
    high_load = { 0.75, SMALL_ENGINE_SERVICE },
    high_load_at_many_hosts = { 0.75, ENGINE_SERVICE },
    higher_load = { 0.85, SMALL_ENGINE_SERVICE },
    higher_load_at_many_hosts = { 0.85, ENGINE_SERVICE },
    nearly_at_capacity_at_many_hosts = { 0.92, ENGINE_SERVICE },
    beyond_capacity = { 1.2, SMALL_ENGINE_SERVICE },
)]
fn upstreams_that_name_a_limit_do_no_more_harm_than_missing_ones(load: f64, service: Service) {
    let limited = [0, 1];
    let (mut with_limits, mut without) = (Simulation::new(service, 0), Simulation::new(service, 0));
    with_limits.limit(&limited, 2.3);
    without.drain(&limited);

    for simulation in [&mut with_limits, &mut without] {
        simulation.allocate_slots();
        simulation.run(load, 60, 0..20_000);
    }

    // The two draw different requests, which may differ by one in a hundred.
    let draws = without.sent / 100;
    let (refused, allowed) = (with_limits.refused, without.refused + draws);
    assert!(refused <= allowed, "{refused} refused, {allowed} allowed");
    let (sent, least) = (with_limits.sent, without.sent - draws);
    assert!(sent >= least, "{sent} sent, at least {least} expected");
    for n in limited {
        assert!(with_limits.received[n] >= 40, "{}", with_limits.received[n]);
    }
}
