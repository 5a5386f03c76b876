//! The hosts of the experiment: their pools and queues, which are those of the daemon, whom they hear, and what they
//! send.

use indexmap::IndexMap;
use stoatjunction_core::entry::pool::{
    DataCentreHosts, Load, Pool, RunKey, UpstreamKey, WaitingCounts,
};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::report_pacing::report_interval;
use stoatjunction_core::entry::slot_allocation::HostDemand;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};

use super::load::{START, Service};
use stoatjunction_core::entry::pool_owner::PoolOwner;

/// Hosts beyond which only relays report between data centres.
const MANY_HOSTS: usize = 25;
/// Hosts up to which a large fleet has three data centres; beyond it has six.
const THREE_DATA_CENTRES_HOSTS: usize = 100;
/// Time without a report after which a host is unreachable.
const PEER_TIMEOUT: Span = Span::from_millis(700);
/// The same for hosts that relays report.
const RELAYED_PEER_TIMEOUT: Span = Span::from_millis(1_500);
/// Slots of each upstream that are left to other hosts of the same and of another data centre in a large fleet.
const RESERVED_SLOTS_LOCAL: u32 = 2;
const RESERVED_SLOTS_REMOTE: u32 = 3;
/// Processor time to send or receive one datagram, with its encoding.
pub(super) const DATAGRAM_CPU: Span = Span(15);
/// Processor time to consider one upstream in a decision, in nanoseconds.
pub(super) const UPSTREAM_CPU_NS: u64 = 60;
/// Bytes of the headers of a datagram.
const HEADER_BYTES: u64 = 28;
/// Bytes of a report, and of each upstream in it.
const REPORT_BYTES: u64 = 60;
const REPORT_UPSTREAM_BYTES: u64 = 12;
/// Number of the first of the reporters that stand for data centres.
const SUMMARY_REPORTER: u64 = 100_000;

/// What a host sent and computed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    pub(super) messages: u64,
    pub(super) bytes: u64,
    pub(super) cpu: Span,
}

impl Traffic {
    /// Counts datagrams that are sent or received.
    pub(super) fn count(&mut self, messages: u64, body_bytes: u64) {
        self.messages += messages;
        self.bytes += messages * (HEADER_BYTES + body_bytes);
        self.cpu = Span(self.cpu.0 + messages * DATAGRAM_CPU.0);
    }

    /// Counts a decision among `upstreams`.
    pub(super) fn count_decision(&mut self, upstreams: usize) {
        self.cpu = Span(self.cpu.0 + 2 + upstreams as u64 * UPSTREAM_CPU_NS / 1_000);
    }
}

/// A run as its host knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostRun {
    pub(super) key: RunKey,
    pub(super) upstream: u32,
    /// Identifier of the run for owners.
    pub(super) id: u64,
}

/// A host.
pub(super) struct Host {
    pub(super) dc: usize,
    pub(super) pool: Pool,
    pub(super) queue: Queue,
    pub(super) is_alive: bool,
    pub(super) frozen_until: Time,
    pub(super) busy_until: Time,
    pub(super) owners: IndexMap<usize, PoolOwner>,
    pub(super) runs: IndexMap<usize, HostRun>,
    pub(super) heard: Vec<Time>,
    /// Hosts that did not reply as owners, and until when they are not asked.
    pub(super) suspects: IndexMap<usize, Time>,
    /// The owner that it asked last, by part.
    pub(super) asked: IndexMap<usize, usize>,
    /// The last message of an owner.
    pub(super) owner_heard: IndexMap<usize, Time>,
    /// Free slots of parts in relation to all, as owners last said.
    pub(super) free_by_part: IndexMap<usize, (f64, Time)>,
    /// Requests that wait at owners, with the states of their asking.
    pub(super) waiting_calls: Vec<(usize, u64)>,
    pub(super) is_watching: bool,
    pub(super) traffic: Traffic,
}

impl Host {
    pub(super) fn is_active(&self, now: Time) -> bool {
        self.is_alive && now >= self.frozen_until
    }

    /// Returns the runs as owners hear of them.
    pub(super) fn run_list(&self) -> Vec<(u64, u64)> {
        let runs = self.runs.values();
        runs.map(|r| (r.id, u64::from(r.upstream))).collect()
    }
}

/// The hosts of a fleet, and the network faults between them.
pub(super) struct Fleet {
    pub(super) hosts: Vec<Host>,
    pub(super) dcs: usize,
    list: Vec<ListedUpstream>,
    service: Service,
    /// The data centre that is cut off, and until when.
    pub(super) cut_off: Option<(usize, Time)>,
    /// The host whose datagrams every second host does not receive, and until when.
    pub(super) muted: Option<(usize, Time)>,
}

/// Returns the number of data centres of a fleet.
fn data_centres(hosts: usize) -> usize {
    match hosts {
        n if n <= MANY_HOSTS => 2,
        n if n <= THREE_DATA_CENTRES_HOSTS => 3,
        _ => 6,
    }
}

impl Fleet {
    pub(super) fn new(service: Service, hosts: usize) -> Fleet {
        let dcs = data_centres(hosts);
        let upstreams = service.upstreams(hosts);
        let listed = |n: usize| ListedUpstream {
            id: format!("u{n}"),
            dc: dc_name(n * dcs / upstreams),
            slots: service.slots(),
            born: 1,
            ..ListedUpstream::default()
        };
        let mut fleet = Fleet {
            hosts: Vec::new(),
            dcs,
            list: (0..upstreams).map(listed).collect(),
            service,
            cut_off: None,
            muted: None,
        };
        fleet.hosts = (0..hosts)
            .map(|n| fleet.new_host(n, n * dcs / hosts, hosts, START))
            .collect();
        for host in &mut fleet.hosts {
            host.heard.fill(START);
        }
        fleet
    }

    fn new_host(&self, n: usize, dc: usize, hosts: usize, now: Time) -> Host {
        let mut pool = Pool::new(&dc_name(dc), n as u64 + 1 + now.0);
        pool.set_upstreams(self.list.iter(), now);
        pool.set_sparse_remote_reports(hosts > MANY_HOSTS);
        Host {
            dc,
            pool,
            queue: Queue::default(),
            is_alive: true,
            frozen_until: Time(0),
            busy_until: Time(0),
            owners: IndexMap::new(),
            runs: IndexMap::new(),
            heard: vec![Time(0); hosts],
            suspects: IndexMap::new(),
            asked: IndexMap::new(),
            owner_heard: IndexMap::new(),
            free_by_part: IndexMap::new(),
            waiting_calls: Vec::new(),
            is_watching: false,
            traffic: Traffic::default(),
        }
    }

    /// Starts a killed host again, which knows nothing but the list.
    pub(super) fn restart(&mut self, n: usize, now: Time) {
        let (dc, traffic) = (self.hosts[n].dc, self.hosts[n].traffic);
        let mut host = self.new_host(n, dc, self.hosts.len(), now);
        host.traffic = traffic;
        self.hosts[n] = host;
    }

    pub(super) fn upstream_dc(&self, upstream: usize) -> usize {
        upstream * self.dcs / self.list.len()
    }

    pub(super) fn has_many_hosts(&self) -> bool {
        self.hosts.len() > MANY_HOSTS
    }

    /// Returns whether the network carries data between two data centres.
    pub(super) fn is_linked(&self, a: usize, b: usize, now: Time) -> bool {
        let cut = self.cut_off.filter(|(_, until)| now < *until);
        a == b || cut.is_none_or(|(dc, _)| a != dc && b != dc)
    }

    /// Returns whether the network delivers datagrams from a host to another.
    pub(super) fn delivers(&self, from: usize, to: usize, now: Time) -> bool {
        let is_muted = self
            .muted
            .is_some_and(|(host, until)| host == from && now < until && to % 2 == 1 && to != from);
        !is_muted && self.is_linked(self.hosts[from].dc, self.hosts[to].dc, now)
    }

    /// Returns whether a host hears another one.
    pub(super) fn hears(&self, host: usize, peer: usize, now: Time) -> bool {
        let (own, other) = (&self.hosts[host], &self.hosts[peer]);
        let timeout = match own.dc == other.dc || !self.has_many_hosts() {
            true => PEER_TIMEOUT,
            false => RELAYED_PEER_TIMEOUT,
        };
        host == peer || now.since(own.heard[peer]) < timeout
    }

    /// Returns the interval of a host's reports.
    pub(super) fn report_interval(&self) -> Span {
        let receivers = match self.has_many_hosts() {
            true => self.hosts.len() / self.dcs,
            false => self.hosts.len(),
        };
        report_interval(receivers - 1)
    }

    /// Sends the report of a host to those that it reports to, except those for which it is lost.
    pub(super) fn report<F>(&mut self, reporter: usize, mut is_lost: F, now: Time)
    where
        F: FnMut() -> bool,
    {
        if !self.hosts[reporter].is_active(now) {
            return;
        }
        let loads = own_loads(&self.hosts[reporter].pool);
        let waiting = self.hosts[reporter].pool.waiting().clone();
        let bytes = REPORT_BYTES + REPORT_UPSTREAM_BYTES * loads.len() as u64;
        let (many, dc) = (self.has_many_hosts(), self.hosts[reporter].dc);
        for n in 0..self.hosts.len() {
            if n == reporter || (many && self.hosts[n].dc != dc) {
                continue;
            }
            self.hosts[reporter].traffic.count(1, bytes);
            if is_lost() || !self.delivers(reporter, n, now) || !self.hosts[n].is_active(now) {
                continue;
            }
            let host = &mut self.hosts[n];
            host.traffic.count(1, bytes);
            host.heard[reporter] = now;
            host.pool.set_peer_load(reporter as u64, loads.clone(), now);
            host.pool
                .set_peer_waiting(reporter as u64, waiting.clone(), now);
        }
    }

    /// Sends the sums of each data centre to the hosts of the others, which the relays there pass on.
    pub(super) fn summarise(&mut self, now: Time) {
        for dc in 0..self.dcs {
            let members = (0..self.hosts.len()).filter(|n| self.hosts[*n].dc == dc);
            let members: Vec<usize> = members.collect();
            let Some(relay) = members
                .iter()
                .copied()
                .find(|n| self.hosts[*n].is_active(now))
            else {
                continue;
            };
            let heard = members
                .iter()
                .copied()
                .filter(|n| self.hears(relay, *n, now));
            let heard: Vec<usize> = heard.collect();
            let (loads, waiting) = self.sums(&heard);
            let heard_at: Vec<(usize, Time)> = heard
                .iter()
                .map(|n| {
                    (
                        *n,
                        if *n == relay {
                            now
                        } else {
                            self.hosts[relay].heard[*n]
                        },
                    )
                })
                .collect();
            let bytes = REPORT_BYTES + REPORT_UPSTREAM_BYTES * loads.len() as u64;
            for n in 0..self.hosts.len() {
                let is_reached = self.is_linked(dc, self.hosts[n].dc, now);
                if self.hosts[n].dc == dc || !is_reached || !self.hosts[n].is_active(now) {
                    continue;
                }
                let host = &mut self.hosts[n];
                host.traffic.count(1, bytes);
                let reporter = SUMMARY_REPORTER + dc as u64;
                host.pool.set_peer_load(reporter, loads.clone(), now);
                host.pool.set_peer_waiting(reporter, waiting.clone(), now);
                for (member, at) in &heard_at {
                    host.heard[*member] = host.heard[*member].max(*at);
                }
            }
        }
    }

    fn sums(&self, members: &[usize]) -> (Vec<(UpstreamKey, Load)>, WaitingCounts) {
        let mut loads: IndexMap<UpstreamKey, Load> = IndexMap::new();
        let mut waiting: IndexMap<u8, u16> = IndexMap::new();
        for n in members {
            for (key, load) in own_loads(&self.hosts[*n].pool) {
                let sum = loads.entry(key).or_default();
                sum.running += load.running;
                sum.pending_prefill_tokens += load.pending_prefill_tokens;
            }
            for (precedence, count) in self.hosts[*n].pool.waiting() {
                *waiting.entry(*precedence).or_default() += count;
            }
        }
        (loads.into_iter().collect(), waiting.into_iter().collect())
    }

    /// Allocates slots at all hosts, as each of them does.
    pub(super) fn allocate_slots(&mut self, now: Time) {
        let demands: Vec<f64> = self.hosts.iter().map(|h| h.pool.demand(now)).collect();
        for n in 0..self.hosts.len() {
            if !self.hosts[n].is_active(now) {
                continue;
            }
            let dc = self.hosts[n].dc;
            let unreachable: Vec<bool> = (0..self.hosts.len())
                .map(|p| !self.hears(n, p, now))
                .collect();
            let local = (0..self.hosts.len()).filter(|p| self.hosts[*p].dc == dc);
            let members: Vec<HostDemand> = local
                .map(|p| HostDemand {
                    id: p as u64,
                    demand: demands[p],
                    unreachable: unreachable[p],
                })
                .collect();
            let by_dc: Vec<DataCentreHosts> = (0..self.dcs)
                .map(|d| self.known_hosts(d, dc, &unreachable))
                .collect();
            let many = self.has_many_hosts();
            let pool = &mut self.hosts[n].pool;
            pool.allocate_slots(&members, n as u64, &by_dc);
            if many {
                pool.borrow_slots(&members, n as u64, now);
            }
        }
    }

    fn known_hosts(&self, dc: usize, own_dc: usize, unreachable: &[bool]) -> DataCentreHosts {
        let members = || (0..self.hosts.len()).filter(|n| self.hosts[*n].dc == dc);
        DataCentreHosts {
            dc: dc_name(dc),
            known: members().count() as u32,
            unreachable: members().filter(|n| unreachable[*n]).count() as u32,
            reserved_slots: match (self.has_many_hosts(), dc == own_dc) {
                (false, _) => 0,
                (true, true) => RESERVED_SLOTS_LOCAL,
                (true, false) => RESERVED_SLOTS_REMOTE,
            },
        }
    }

    /// Returns the upstreams of each part that an owner has: at most `size` of one data centre, or all of a service with
    /// few slots if `size` is larger than one.
    pub(super) fn parts(&self, size: usize) -> Vec<Vec<u32>> {
        if size > 1 && self.service == Service::Plain {
            return vec![(0..self.list.len() as u32).collect()];
        }
        let mut parts = Vec::new();
        for dc in 0..self.dcs {
            let of_dc = (0..self.list.len()).filter(|u| self.upstream_dc(*u) == dc);
            let of_dc: Vec<u32> = of_dc.map(|u| u as u32).collect();
            let count = of_dc.len().div_ceil(size).max(1);
            let share = of_dc.len().div_ceil(count).max(1);
            parts.extend(of_dc.chunks(share).map(<[u32]>::to_vec));
        }
        parts
    }
}

fn dc_name(dc: usize) -> String {
    format!("dc{dc}")
}

fn own_loads(pool: &Pool) -> Vec<(UpstreamKey, Load)> {
    let used = pool.upstreams().filter(|(_, u)| u.own_load().running > 0);
    used.map(|(key, u)| (key, u.own_load())).collect()
}
