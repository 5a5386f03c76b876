//! Rate limits over 295 hosts in six data centres, as large fleets report: hosts to those of their own
//! data centre, relays four times a second to the others.

use std::ops::Range;

use stoatjunction_core::entry::rate_limiter::{RateLimiter, Reporter, Tolerance};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const ORG: u64 = 7;
/// Hosts of each data centre of the largest deployment.
const HOSTS: [usize; 6] = [49, 52, 53, 46, 45, 50];
const REQUEST_UNITS: u64 = 7_000;
/// The tolerance that the users state: a tenth of the rate and 140,000 tokens.
const TOLERANCE: Tolerance = Tolerance {
    rate: 0.1,
    units: 140_000.0,
};
/// Interval between the heartbeats of a host, in milliseconds.
const HEARTBEAT_MS: u64 = 125;
/// Interval between the summaries of a relay, in milliseconds.
const SUMMARY_MS: u64 = 250;
/// Time for a message to arrive, forwarded within a data centre if need be, in milliseconds.
const HOP_MS: u64 = 2;
/// Time after which hosts of another data centre count as unreachable, in milliseconds.
const DETECTION_MS: u64 = 1_500;
/// Time at which the organisation begins to send far more, in milliseconds.
const STEP_MS: u64 = 16_000;
const END_MS: u64 = 26_000;

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// A limit: units a second and burst.
#[derive(Clone, Copy)]
struct Limit {
    rate: u64,
    burst: u64,
}

impl Limit {
    /// Returns what the users allow in eight seconds.
    fn allowed(self) -> u64 {
        let within = self.rate * 8 + self.burst;
        within + within / 10 + 140_000
    }
}

struct Fleet {
    hosts: Vec<RateLimiter>,
    data_centres: Vec<Range<usize>>,
    /// Data centre that is cut off from the others, and from when on.
    cut: Option<(usize, u64)>,
    /// Part of the summaries that is lost.
    loss: f64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(limit: Limit, cut: Option<(usize, u64)>, loss: f64) -> Fleet {
        let mut data_centres = Vec::new();
        let mut first = 0;
        for count in HOSTS {
            data_centres.push(first..first + count);
            first += count;
        }
        let hosts = (0..first).map(|_| {
            let mut limiter = RateLimiter::new(TOLERANCE.usable(), START);
            limiter.set_limit(ORG, limit.rate, limit.burst, START);
            limiter.set_reachable(first, first, START);
            limiter
        });
        Fleet {
            hosts: hosts.collect(),
            data_centres,
            cut,
            loss,
            rng: fastrand::Rng::with_seed(5),
        }
    }

    fn is_cut(&self, a: usize, b: usize, ms: u64) -> bool {
        let cut = self.cut.filter(|(_, from)| ms >= *from);
        cut.is_some_and(|(dc, _)| a != b && (a == dc || b == dc))
    }

    /// Exchanges the reports of one millisecond. They arrive a little later than they were made.
    fn report(&mut self, ms: u64) {
        let arrival = at(ms + HOP_MS);
        for (dc, range) in self.data_centres.clone().into_iter().enumerate() {
            for host in range.clone() {
                if !(ms + host as u64 * 37).is_multiple_of(HEARTBEAT_MS) {
                    continue;
                }
                let usage = self.hosts[host].own_usage(at(ms));
                let reporter = Reporter {
                    id: host as u64,
                    hosts: 1,
                    reported_at: arrival,
                };
                for other in range.clone().filter(|o| *o != host) {
                    self.hosts[other].record_usage(reporter, &usage, arrival);
                }
            }
            if !(ms + dc as u64 * 41).is_multiple_of(SUMMARY_MS) {
                continue;
            }
            let usage = self.hosts[range.start].nearby_usage(at(ms));
            let reporter = Reporter {
                id: 1_000 + dc as u64,
                hosts: range.len() as u32,
                reported_at: arrival,
            };
            for (other_dc, others) in self.data_centres.clone().into_iter().enumerate() {
                let is_lost = self.rng.f64() < self.loss;
                if other_dc == dc || is_lost || self.is_cut(dc, other_dc, ms) {
                    continue;
                }
                for other in others {
                    self.hosts[other].record_relayed_usage(reporter, &usage, arrival);
                }
            }
        }
        if self.cut.is_some_and(|(_, from)| ms == from + DETECTION_MS) {
            self.set_reachable(ms);
        }
    }

    fn set_reachable(&mut self, ms: u64) {
        let all = self.hosts.len();
        for (dc, range) in self.data_centres.clone().into_iter().enumerate() {
            let heard = self.data_centres.iter().enumerate();
            let heard = heard.filter(|(other, _)| !self.is_cut(dc, *other, ms));
            let heard: usize = heard.map(|(_, r)| r.len()).sum();
            for host in range {
                self.hosts[host].set_reachable(heard, all, at(ms));
            }
        }
    }
}

/// Returns the most units admitted in any eight seconds.
fn most_admitted(limit: Limit, load_factor: f64, cut: Option<(usize, u64)>, loss: f64) -> u64 {
    let mut fleet = Fleet::new(limit, cut, loss);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut admitted = Vec::new();
    for ms in 0..END_MS {
        let load = if ms < STEP_MS { 0.7 } else { load_factor };
        let requests = load * limit.rate as f64 / 1e3 / REQUEST_UNITS as f64;
        let mut units = 0;
        for _ in 0..(requests + rng.f64()) as u64 {
            let host = rng.usize(0..fleet.hosts.len());
            if fleet.hosts[host]
                .try_acquire(ORG, REQUEST_UNITS, at(ms))
                .is_ok()
            {
                units += REQUEST_UNITS;
            }
        }
        admitted.push(units);
        fleet.report(ms);
    }
    let windows = admitted.windows(8_000);
    windows.map(|w| w.iter().sum()).max().unwrap()
}

const LARGE: Limit = Limit {
    rate: 1_300_000,
    burst: 2_000_000,
};
const SMALL: Limit = Limit {
    rate: 130_000,
    burst: 200_000,
};

#[parameterized(
    a_large_organisation = { LARGE, 10.7, None, 0.0 },
    a_small_organisation = { SMALL, 10.7, None, 0.0 },
    a_large_one_a_little_beyond = { LARGE, 1.5, None, 0.0 },
    with_a_data_centre_cut_off = { LARGE, 10.7, Some((4, STEP_MS + 2_200)), 0.0 },
    cut_off_in_the_same_moment = { LARGE, 10.7, Some((4, STEP_MS)), 0.0 },
    with_some_summaries_lost = { LARGE, 10.7, None, 0.2 },
    with_half_of_the_summaries_lost = { LARGE, 10.7, None, 0.5 },
    a_small_one_with_half_lost = { SMALL, 10.7, None, 0.5 },
)]
fn an_organisation_far_beyond_its_limit_stays_within_the_tolerance(
    limit: Limit,
    load_factor: f64,
    cut: Option<(usize, u64)>,
    loss: f64,
) {
    let most = most_admitted(limit, load_factor, cut, loss);

    let allowed = limit.allowed();
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= limit.rate * 8, "{most} of {allowed}");
}
