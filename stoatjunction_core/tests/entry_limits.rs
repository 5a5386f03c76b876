//! Rate limits over all hosts: what they admit together stays within the bounds
//! when hosts are isolated or restarted and when limits are lowered.

use std::ops::Range;

use proptest::prelude::*;
use stoatjunction_core::entry::rate_limiter::{
    LimitStatus, RateLimiter, Reporter, Tolerance, UsageReport, reachable_hosts,
};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const ORG: u64 = 7;
const RATE: u64 = 1_000;
const BURST: u64 = 1_000;
const START: Time = Time(60_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn limiter(tolerance: Tolerance) -> RateLimiter {
    let mut limits = RateLimiter::new(tolerance, START);
    limits.set_limit(ORG, RATE, BURST, START);
    limits
}

fn admitted(limits: &mut RateLimiter, units: u64, from: u64, to: u64) -> u64 {
    let mut sum = 0;
    for ms in from..to {
        if limits.try_acquire(ORG, units, at(ms)).is_ok() {
            sum += units;
        }
    }
    sum
}

#[test]
fn an_organisation_without_a_limit_is_always_admitted() {
    let mut limits = limiter(Tolerance::default());
    limits.set_limit(ORG, 0, 0, START);

    let acquired = limits.try_acquire(ORG, 1_000_000, START);

    assert_eq!(acquired, Ok(LimitStatus::Within));
}

#[test]
fn a_refused_request_is_admitted_after_the_returned_delay() {
    let mut limits = limiter(Tolerance::default());
    admitted(&mut limits, 10, 20_000, 20_200);

    let wait = limits.try_acquire(ORG, 500, at(20_200)).unwrap_err();

    let after = at(20_200) + wait + Span::from_millis(1);
    assert_eq!(limits.try_acquire(ORG, 500, after), Ok(LimitStatus::Within));
}

#[test]
fn a_request_larger_than_the_burst_is_admitted_by_a_full_bucket() {
    let mut limits = limiter(Tolerance::default());

    let acquired = limits.try_acquire(ORG, 5 * BURST, at(30_000));

    assert_eq!(acquired, Ok(LimitStatus::Within));
    assert!(limits.try_acquire(ORG, 1, at(30_000)).is_err());
}

#[test]
fn a_lowered_limit_applies_at_once_and_caps_the_bucket_level() {
    let mut limits = limiter(Tolerance::default());
    limits.set_limit(ORG, RATE / 10, BURST / 10, at(20_000));

    let sum = admitted(&mut limits, 1, 20_000, 21_000);

    assert!(sum <= RATE / 10 + BURST / 10, "{sum}");
}

#[test]
fn the_tolerance_applies_only_after_startup_and_is_reported_as_beyond_the_limit() {
    let tolerance = Tolerance {
        rate: 0.0,
        units: 500.0,
    };
    let (mut just_started, mut settled) = (limiter(tolerance), limiter(tolerance));

    let early = admitted(&mut just_started, 10, 0, 1);
    let late: Vec<_> = (0..200)
        .map(|_| settled.try_acquire(ORG, 10, at(20_000)))
        .collect();

    assert!(early <= BURST);
    let beyond = late
        .iter()
        .filter(|t| **t == Ok(LimitStatus::Beyond))
        .count();
    let within = late
        .iter()
        .filter(|t| **t == Ok(LimitStatus::Within))
        .count();
    assert_eq!((within, beyond), (100, 50));
    let admitted_again = (0..100)
        .filter(|_| just_started.try_acquire(ORG, 10, at(1)).is_ok())
        .count();
    assert!(admitted_again < 100);
}

#[test]
fn a_starting_host_lowers_its_level_to_the_reported_one() {
    let mut old = limiter(Tolerance::default());
    admitted(&mut old, 10, 20_000, 20_500);
    let mut new = RateLimiter::new(Tolerance::default(), at(20_500));
    new.set_limit(ORG, RATE, BURST, at(20_500));

    new.record_usage(
        reporter_at(1, at(20_500)),
        &old.own_usage(at(20_500)),
        at(20_500),
    );

    assert!(new.available(ORG) <= old.available(ORG) + 1.0);
}

fn reporter_at(id: u64, reported_at: Time) -> Reporter {
    Reporter {
        id,
        hosts: 1,
        reported_at,
    }
}

fn report(total: u64, recent: u64) -> UsageReport {
    UsageReport {
        subject: ORG,
        total,
        recent,
        level: BURST as f32,
    }
}

#[test]
fn only_recent_usage_is_charged_at_the_first_report_on_an_organisation() {
    let mut limits = limiter(Tolerance::default());
    limits.record_usage(reporter_at(1, at(20_000)), &[], at(20_000));

    limits.record_usage(
        reporter_at(1, at(20_000)),
        &[report(90_000, 300)],
        at(20_000),
    );

    assert!((limits.available(ORG) - (BURST - 300) as f32).abs() < 1.0);
}

#[test]
fn reports_out_of_order_and_duplicate_reports_are_ignored() {
    let mut limits = limiter(Tolerance::default());
    limits.record_usage(reporter_at(1, at(20_000)), &[report(0, 0)], at(20_000));
    limits.record_usage(reporter_at(1, at(20_200)), &[report(500, 500)], at(20_200));
    let level = limits.available(ORG);

    limits.record_usage(reporter_at(1, at(20_100)), &[report(300, 300)], at(20_200));
    limits.record_usage(reporter_at(1, at(20_200)), &[report(500, 500)], at(20_200));

    assert_eq!(limits.available(ORG), level);
}

#[test]
fn refunded_units_are_reported_neither_directly_nor_by_a_relay() {
    let mut limits = RateLimiter::new(Tolerance::default(), START);
    limits.set_limit(ORG, RATE, BURST, START);
    limits.try_acquire(ORG, 5, at(20_000)).unwrap();

    limits.refund(ORG, 3);

    let totals = [
        limits.own_usage(at(20_100)),
        limits.nearby_usage(at(20_100)),
    ]
    .map(|reports| reports[0].total);
    assert_eq!(totals, [2, 2]);
}

#[test]
fn nearby_usage_includes_direct_reports_and_no_relayed_ones() {
    let mut limits = limiter(Tolerance::default());
    for id in [1, 2] {
        limits.record_usage(reporter_at(id, at(20_000)), &[], at(20_000));
    }
    let _acquired = limits.try_acquire(ORG, 10, at(20_000));
    limits.record_usage(reporter_at(1, at(20_100)), &[report(200, 200)], at(20_100));
    limits.record_relayed_usage(reporter_at(2, at(20_100)), &[report(300, 300)], at(20_100));

    let nearby = limits.nearby_usage(at(20_100));

    assert_eq!(nearby.len(), 1);
    assert_eq!(nearby[0].total, 210);
    assert!((limits.available(ORG) - (BURST - 510) as f32).abs() < 150.0);
}

#[test]
fn usage_reported_after_an_empty_first_report_is_charged_in_full() {
    let mut limits = limiter(Tolerance::default());
    limits.record_usage(reporter_at(1, at(20_000)), &[], at(20_000));

    limits.record_usage(reporter_at(1, at(20_000)), &[report(900, 900)], at(20_000));

    assert!(limits.try_acquire(ORG, 200, at(20_000)).is_err());
}

/// Returns the units that hosts admit under overload while the groups cannot reach each other.
fn admitted_by_groups(groups: &[usize], interval_ms: u64, millis: u64) -> u64 {
    let known: usize = groups.iter().sum();
    let mut total = 0;
    for group in groups {
        let mut hosts: Vec<RateLimiter> =
            (0..*group).map(|_| limiter(Tolerance::default())).collect();
        for host in &mut hosts {
            host.set_reachable(*group, known, START);
            for peer in 0..*group {
                // Hosts send reports several times a second, also without requests.
                host.record_usage(reporter_at(peer as u64, at(9_900)), &[], at(9_900));
            }
        }
        for ms in 10_000..10_000 + millis {
            for host in &mut hosts {
                if host.try_acquire(ORG, 5, at(ms)).is_ok() {
                    total += 5;
                }
            }
            if ms % interval_ms == 0 {
                exchange_reports(&mut hosts, at(ms));
            }
        }
    }
    total
}

fn exchange_reports(hosts: &mut [RateLimiter], now: Time) {
    let reports: Vec<_> = hosts.iter().map(|h| h.own_usage(now)).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        for (peer, report) in reports.iter().enumerate() {
            if peer != index {
                host.record_usage(reporter_at(peer as u64, now), report, now);
            }
        }
    }
}

#[parameterized(
    one_group = { &[7] },
    one_isolated = { &[6, 1] },
    halves = { &[4, 4] },
    all_isolated = { &[1, 1, 1, 1, 1, 1, 1] },
)]
fn partitioned_hosts_together_admit_no_more_than_the_limit(groups: &[usize]) {
    let total = admitted_by_groups(groups, 20, 8_000);

    let limit = RATE * 8 + BURST;
    assert!(total <= limit + limit / 10, "{total} of {limit}");
    assert!(total >= limit * 8 / 10, "{total} of {limit}");
}

/// Steps the load of one organisation up to `load_factor` times its limit at all of `hosts`, which
/// send each other reports every `interval_ms` milliseconds at staggered times. Returns the most
/// units that were admitted in any eight seconds.
fn max_admitted_after_a_load_step(
    hosts: usize,
    interval_ms: u64,
    load_factor: f64,
    tolerance: Tolerance,
) -> u64 {
    let mut fleet = fleet(hosts, tolerance);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut admitted = Vec::new();
    for ms in 0..30_000_u64 {
        let load = if ms < 18_000 { 0.7 } else { load_factor };
        let (acquired, _) = send_requests(&mut fleet, &mut rng, load, at(ms));
        admitted.push(acquired * REQUEST_UNITS);
        for reporter in 0..hosts {
            if (ms + reporter as u64 * 37).is_multiple_of(interval_ms) {
                send_report(&mut fleet, reporter, at(ms));
            }
        }
    }
    max_in_eight_seconds(&admitted)
}

/// Hosts that have received reports from each other.
fn fleet(hosts: usize, tolerance: Tolerance) -> Vec<RateLimiter> {
    let mut fleet: Vec<RateLimiter> = Vec::new();
    for _ in 0..hosts {
        let mut limits = RateLimiter::new(tolerance, START);
        limits.set_limit(ORG, FLEET_RATE, FLEET_BURST, START);
        limits.set_reachable(hosts, hosts, START);
        fleet.push(limits);
    }
    exchange_reports(&mut fleet, START);
    fleet
}

/// Sends the requests of one millisecond, `load_factor` times the limit in total, to random hosts.
/// Returns the numbers of admitted and refused requests.
fn send_requests(
    fleet: &mut [RateLimiter],
    rng: &mut fastrand::Rng,
    load_factor: f64,
    now: Time,
) -> (u64, u64) {
    let requests = load_factor * FLEET_RATE as f64 / 1e3 / REQUEST_UNITS as f64;
    let (mut acquired, mut refused) = (0, 0);
    for _ in 0..(requests + rng.f64()) as u64 {
        let host = rng.usize(0..fleet.len());
        match fleet[host].try_acquire(ORG, REQUEST_UNITS, now) {
            Ok(_) => acquired += 1,
            Err(_) => refused += 1,
        }
    }
    (acquired, refused)
}

/// Returns the most units admitted in any eight seconds, from the units of each millisecond.
fn max_in_eight_seconds(admitted: &[u64]) -> u64 {
    let windows = admitted.windows(8_000);
    windows.map(|w| w.iter().sum()).max().unwrap()
}

const FLEET_RATE: u64 = 1_300_000;
const FLEET_BURST: u64 = 2_000_000;
const REQUEST_UNITS: u64 = 7_000;
/// The tolerance that users require: a tenth of the rate and 140,000 tokens.
const TOLERANCE: Tolerance = Tolerance {
    rate: 0.1,
    units: 140_000.0,
};

fn send_report(hosts: &mut [RateLimiter], reporter: usize, now: Time) {
    let all = 0..hosts.len();
    send_report_to(hosts, reporter, reporter as u64, all, now);
}

fn send_report_to(
    hosts: &mut [RateLimiter],
    reporter: usize,
    boot: u64,
    receivers: Range<usize>,
    now: Time,
) {
    let reports = hosts[reporter].own_usage(now);
    for (index, host) in hosts.iter_mut().enumerate() {
        if index != reporter && receivers.contains(&index) {
            host.record_usage(reporter_at(boot, now), &reports, now);
        }
    }
}

#[parameterized(
    some_hosts = { 8, 20, 6.0 },
    many_hosts = { 64, 250, 6.0 },
    many_hosts_far_beyond = { 64, 250, 12.0 },
    many_hosts_a_little_beyond = { 64, 250, 1.5 },
)]
fn hosts_with_delayed_reports_stay_within_the_tolerance(
    hosts: usize,
    interval_ms: u64,
    load_factor: f64,
) {
    let max_admitted =
        max_admitted_after_a_load_step(hosts, interval_ms, load_factor, TOLERANCE.usable());

    let limit = FLEET_RATE * 8 + FLEET_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(max_admitted <= allowed, "{max_admitted} of {allowed}");
    assert!(max_admitted >= FLEET_RATE * 8, "{max_admitted} of {limit}");
}

/// Partitions the hosts while one organisation requests six times its limit: each of `isolated`
/// hosts is cut off from all others, which still reach each other. All detect it `detection_ms`
/// milliseconds later; the requests begin `before_ms` before the cut. Returns the most units that were
/// admitted in any eight seconds.
fn max_admitted_around_a_partition(
    hosts: usize,
    isolated: usize,
    detection_ms: u64,
    before_ms: u64,
) -> u64 {
    let mut fleet = fleet(hosts, TOLERANCE.usable());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut admitted = Vec::new();
    let cut_at = 16_000;
    for ms in 0..28_000_u64 {
        let load = if ms + before_ms < cut_at { 0.6 } else { 6.0 };
        let (acquired, _) = send_requests(&mut fleet, &mut rng, load, at(ms));
        admitted.push(acquired * REQUEST_UNITS);
        let connected = if ms < cut_at { hosts } else { hosts - isolated };
        for reporter in 0..connected {
            if (ms + reporter as u64 * 37).is_multiple_of(250) {
                send_report(&mut fleet[..connected], reporter, at(ms));
            }
        }
        if ms == cut_at + detection_ms {
            for (index, host) in fleet.iter_mut().enumerate() {
                let reachable = if index < connected { connected } else { 1 };
                host.set_reachable(reachable, hosts, at(ms));
            }
        }
    }
    max_in_eight_seconds(&admitted)
}

#[parameterized(
    a_few_hosts = { 8, 3, 700, 1_000 },
    a_third_of_many = { 64, 22, 700, 1_000 },
    half_of_many = { 64, 32, 1_500, 1_000 },
    a_few_hosts_in_the_moment_of_the_overload = { 8, 3, 700, 0 },
    a_third_of_many_in_that_moment = { 64, 22, 700, 0 },
)]
fn a_partition_under_overload_stays_within_the_tolerance(
    hosts: usize,
    isolated: usize,
    detection_ms: u64,
    before_ms: u64,
) {
    let max_admitted = max_admitted_around_a_partition(hosts, isolated, detection_ms, before_ms);

    let limit = FLEET_RATE * 8 + FLEET_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(max_admitted <= allowed, "{max_admitted} of {allowed}");
}

/// Kills and restarts six in ten hosts at once while one organisation requests `load_factor` times
/// its limit. A restarted host discovers some others after 250 ms and all after 750 ms. Returns the
/// most units that were admitted in any eight seconds.
fn max_admitted_around_a_restart(hosts: usize, load_factor: f64) -> u64 {
    let restarted = |now: Time| {
        let mut limits = RateLimiter::new(TOLERANCE.usable(), now);
        let (reachable, known) = reachable_hosts(Span::ZERO, 1, 1);
        limits.set_reachable(reachable, known, now);
        limits.set_limit(ORG, FLEET_RATE, FLEET_BURST, now);
        limits
    };
    let mut fleet: Vec<RateLimiter> = (0..hosts).map(|_| restarted(START)).collect();
    for limits in &mut fleet {
        limits.set_reachable(hosts, hosts, at(2_000));
    }
    exchange_reports(&mut fleet, at(2_000));
    let mut rng = fastrand::Rng::with_seed(5);
    let mut admitted = Vec::new();
    let (overload_at, killed_at) = (16_000, 20_000);
    let killed = hosts * 6 / 10;
    for ms in 2_000..30_000_u64 {
        if ms == killed_at {
            for host in &mut fleet[..killed] {
                *host = restarted(at(ms));
            }
        }
        let age = ms.saturating_sub(killed_at);
        let discovered = match age {
            0..250 => 1,
            250..500 => hosts / 4,
            500..750 => hosts * 3 / 4,
            _ => hosts,
        };
        if ms > killed_at && age.is_multiple_of(250) {
            for host in &mut fleet[..killed] {
                let (reachable, known) =
                    reachable_hosts(Span::from_millis(age), discovered, discovered);
                host.set_reachable(reachable, known, at(ms));
            }
        }
        let load = if ms < overload_at { 0.6 } else { load_factor };
        let (acquired, _) = send_requests(&mut fleet, &mut rng, load, at(ms));
        admitted.push(acquired * REQUEST_UNITS);
        for reporter in 0..hosts {
            if (ms + reporter as u64 * 37).is_multiple_of(250) {
                let is_unreachable = ms >= killed_at && age < 250;
                let receivers = if is_unreachable {
                    killed..hosts
                } else {
                    0..hosts
                };
                let is_restarted = ms >= killed_at && reporter < killed;
                let boot = reporter as u64 + if is_restarted { 1_000 } else { 0 };
                send_report_to(&mut fleet, reporter, boot, receivers, at(ms));
            }
        }
    }
    max_in_eight_seconds(&admitted)
}

/// Partitions the hosts for a while, under a constant load of seven tenths of the limit. Returns
/// the percentage of requests that were refused in the two seconds after the partition heals.
fn refused_after_a_partition(hosts: usize, group: usize) -> u64 {
    let mut fleet = fleet(hosts, TOLERANCE.usable());
    let mut rng = fastrand::Rng::with_seed(2);
    let (mut requested, mut refused) = (0, 0);
    let (cut_at, heals_at) = (16_000, 21_500);
    for ms in 0..23_500_u64 {
        let is_cut = (cut_at..heals_at).contains(&ms);
        if ms == cut_at + 700 || ms == heals_at + 20 {
            for (index, host) in fleet.iter_mut().enumerate() {
                let side = if index < group { group } else { hosts - group };
                let reachable = if ms < heals_at { side } else { hosts };
                host.set_reachable(reachable, hosts, at(ms));
            }
        }
        let (acquired, rejected) = send_requests(&mut fleet, &mut rng, 0.7, at(ms));
        if ms >= heals_at {
            requested += acquired + rejected;
            refused += rejected;
        }
        for reporter in 0..hosts {
            if (ms + reporter as u64 * 37).is_multiple_of(20) {
                let receivers = match (is_cut, reporter < group) {
                    (false, _) => 0..hosts,
                    (true, true) => 0..group,
                    (true, false) => group..hosts,
                };
                send_report_to(&mut fleet, reporter, reporter as u64, receivers, at(ms));
            }
        }
    }
    refused * 100 / requested
}

#[parameterized(
    halves = { 8, 4 },
    a_third = { 11, 3 },
    one_host = { 7, 1 },
)]
fn no_request_within_the_limit_is_refused_when_a_partition_heals(hosts: usize, group: usize) {
    let refused = refused_after_a_partition(hosts, group);

    assert_eq!(refused, 0);
}

#[parameterized(
    far_beyond = { 64, 4.7 },
    a_little_beyond = { 64, 1.5 },
    some_hosts = { 8, 4.7 },
)]
fn a_restart_of_most_hosts_under_overload_stays_within_the_tolerance(
    hosts: usize,
    load_factor: f64,
) {
    let max_admitted = max_admitted_around_a_restart(hosts, load_factor);

    let limit = FLEET_RATE * 8 + FLEET_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(max_admitted <= allowed, "{max_admitted} of {allowed}");
}

#[parameterized(
    alone_just_started = { 100, 1, 1, (1, 16) },
    alone_after_discovery_time = { 1_000, 1, 1, (1, 1) },
    just_started_with_peers = { 500, 9, 10, (9, 10) },
    with_peers_after_discovery_time = { 1_000, 9, 10, (9, 10) },
)]
fn a_starting_host_without_peers_assumes_that_there_are_others(
    age: u64,
    reachable: usize,
    known: usize,
    expected: (usize, usize),
) {
    let hosts = reachable_hosts(Span::from_millis(age), reachable, known);

    assert_eq!(hosts, expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn any_partition_stays_within_the_limit(
        groups in prop::collection::vec(1_usize..5, 1..5),
        interval_ms in 5_u64..40,
    ) {
        let total = admitted_by_groups(&groups, interval_ms, 4_000);

        let limit = RATE * 4 + BURST;
        prop_assert!(total <= limit + limit / 5, "{} of {}", total, limit);
    }
}
