//! RateLimiter and budgets over all hosts: whatever is cut off, killed or lowered, the sum holds.

use std::ops::Range;

use proptest::prelude::*;
use stoatjunction_core::entry::limit::{
    LimitStatus, RateLimiter, Reporter, Tolerance, UsageReport, reachable_hosts,
};
use stoatjunction_core::entry::retry_budget::{RetryBudget, RetryBudgetConfig};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const ORG: u64 = 7;
const RATE: u64 = 1_000;
const BURST: u64 = 1_000;
const START: Time = Time(60_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn full(leeway: Tolerance) -> RateLimiter {
    let mut limits = RateLimiter::new(leeway, START);
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
fn an_organisation_without_a_limit_is_never_refused() {
    let mut limits = full(Tolerance::default());
    limits.set_limit(ORG, 0, 0, START);

    let taken = limits.try_acquire(ORG, 1_000_000, START);

    assert_eq!(taken, Ok(LimitStatus::Within));
}

#[test]
fn a_refused_request_is_told_when_there_will_be_room() {
    let mut limits = full(Tolerance::default());
    admitted(&mut limits, 10, 20_000, 20_200);

    let wait = limits.try_acquire(ORG, 500, at(20_200)).unwrap_err();

    let after = at(20_200) + wait + Span::from_millis(1);
    assert_eq!(limits.try_acquire(ORG, 500, after), Ok(LimitStatus::Within));
}

#[test]
fn a_request_larger_than_the_burst_passes_a_full_bucket() {
    let mut limits = full(Tolerance::default());

    let taken = limits.try_acquire(ORG, 5 * BURST, at(30_000));

    assert_eq!(taken, Ok(LimitStatus::Within));
    assert!(limits.try_acquire(ORG, 1, at(30_000)).is_err());
}

#[test]
fn a_lowered_limit_binds_at_once_and_a_bucket_never_holds_more_than_it() {
    let mut limits = full(Tolerance::default());
    limits.set_limit(ORG, RATE / 10, BURST / 10, at(20_000));

    let sum = admitted(&mut limits, 1, 20_000, 21_000);

    assert!(sum <= RATE / 10 + BURST / 10, "{sum}");
}

#[test]
fn the_leeway_is_for_what_is_left_over_and_not_for_hosts_that_have_just_started() {
    let leeway = Tolerance {
        rate: 0.0,
        units: 500.0,
    };
    let (mut young, mut old) = (full(leeway), full(leeway));

    let early = admitted(&mut young, 10, 0, 1);
    let late: Vec<_> = (0..200)
        .map(|_| old.try_acquire(ORG, 10, at(20_000)))
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
    let spent = (0..100)
        .filter(|_| young.try_acquire(ORG, 10, at(1)).is_ok())
        .count();
    assert!(spent < 100);
}

#[test]
fn a_host_that_starts_among_others_takes_over_what_is_left() {
    let mut old = full(Tolerance::default());
    admitted(&mut old, 10, 20_000, 20_500);
    let mut new = RateLimiter::new(Tolerance::default(), at(20_500));
    new.set_limit(ORG, RATE, BURST, at(20_500));

    new.record_usage(
        teller_at(1, at(20_500)),
        &old.own_usage(at(20_500)),
        at(20_500),
    );

    assert!(new.available(ORG) <= old.available(ORG) + 1.0);
}

fn teller_at(id: u64, at: Time) -> Reporter {
    Reporter { id, hosts: 1, at }
}

fn told(total: u64, recent: u64) -> UsageReport {
    UsageReport {
        organisation: ORG,
        total,
        recent,
        level: BURST as f32,
    }
}

#[test]
fn only_recent_use_counts_of_an_organisation_that_was_not_told_of_before() {
    let mut limits = full(Tolerance::default());
    limits.record_usage(teller_at(1, at(20_000)), &[], at(20_000));

    limits.record_usage(teller_at(1, at(20_000)), &[told(90_000, 300)], at(20_000));

    assert!((limits.available(ORG) - (BURST - 300) as f32).abs() < 1.0);
}

#[test]
fn an_older_word_that_comes_later_changes_nothing() {
    let mut limits = full(Tolerance::default());
    limits.record_usage(teller_at(1, at(20_000)), &[told(0, 0)], at(20_000));
    limits.record_usage(teller_at(1, at(20_200)), &[told(500, 500)], at(20_200));
    let level = limits.available(ORG);

    limits.record_usage(teller_at(1, at(20_100)), &[told(300, 300)], at(20_200));
    limits.record_usage(teller_at(1, at(20_200)), &[told(500, 500)], at(20_200));

    assert_eq!(limits.available(ORG), level);
}

#[test]
fn a_host_speaks_for_those_that_it_hears_and_not_for_those_it_is_told_of() {
    let mut limits = full(Tolerance::default());
    for id in [1, 2] {
        limits.record_usage(teller_at(id, at(20_000)), &[], at(20_000));
    }
    let _taken = limits.try_acquire(ORG, 10, at(20_000));
    limits.record_usage(teller_at(1, at(20_100)), &[told(200, 200)], at(20_100));
    limits.record_relayed_usage(teller_at(2, at(20_100)), &[told(300, 300)], at(20_100));

    let nearby = limits.nearby_usage(at(20_100));

    assert_eq!(nearby.len(), 1);
    assert_eq!(nearby[0].total, 210);
    assert!((limits.available(ORG) - (BURST - 510) as f32).abs() < 150.0);
}

#[test]
fn use_that_is_told_after_the_first_hearing_counts_from_nothing() {
    let mut limits = full(Tolerance::default());
    limits.record_usage(teller_at(1, at(20_000)), &[], at(20_000));

    limits.record_usage(teller_at(1, at(20_000)), &[told(900, 900)], at(20_000));

    assert!(limits.try_acquire(ORG, 200, at(20_000)).is_err());
}

/// Hosts in groups that cannot hear each other, all under full pressure.
fn pressed(groups: &[usize], tell_every: u64, millis: u64) -> u64 {
    let known: usize = groups.iter().sum();
    let mut total = 0;
    for group in groups {
        let mut hosts: Vec<RateLimiter> = (0..*group).map(|_| full(Tolerance::default())).collect();
        for host in &mut hosts {
            host.set_reachable(*group, known, START);
            for peer in 0..*group {
                // Hosts speak several times a second, also when nobody calls.
                host.record_usage(teller_at(peer as u64, at(9_900)), &[], at(9_900));
            }
        }
        for ms in 10_000..10_000 + millis {
            for host in &mut hosts {
                if host.try_acquire(ORG, 5, at(ms)).is_ok() {
                    total += 5;
                }
            }
            if ms % tell_every == 0 {
                tell_all(&mut hosts, at(ms));
            }
        }
    }
    total
}

fn tell_all(hosts: &mut [RateLimiter], now: Time) {
    let told: Vec<_> = hosts.iter().map(|h| h.own_usage(now)).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        for (peer, told) in told.iter().enumerate() {
            if peer != index {
                host.record_usage(teller_at(peer as u64, now), told, now);
            }
        }
    }
}

#[parameterized(
    one_group = { &[7] },
    one_cut_off = { &[6, 1] },
    halves = { &[4, 4] },
    all_alone = { &[1, 1, 1, 1, 1, 1, 1] },
)]
fn divided_hosts_admit_no_more_than_the_limit_together(groups: &[usize]) {
    let total = pressed(groups, 20, 8_000);

    let limit = RATE * 8 + BURST;
    assert!(total <= limit + limit / 10, "{total} of {limit}");
    assert!(total >= limit * 8 / 10, "{total} of {limit}");
}

/// Load of a large fleet: one organisation asks for `times` its limit from one moment on, at all of
/// `hosts`, which tell each other every `tell_every` milliseconds, each at its own moment. Returns
/// the most that was admitted in any eight seconds.
fn most_in_a_window(hosts: usize, tell_every: u64, times: f64, leeway: Tolerance) -> u64 {
    let mut fleet = fleet(hosts, leeway);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut admitted = Vec::new();
    for ms in 0..30_000_u64 {
        let asked = if ms < 18_000 { 0.7 } else { times };
        let (taken, _) = press(&mut fleet, &mut rng, asked, at(ms));
        admitted.push(taken * REQUEST);
        for teller in 0..hosts {
            if (ms + teller as u64 * 37).is_multiple_of(tell_every) {
                tell(&mut fleet, teller, at(ms));
            }
        }
    }
    most_in_eight_seconds(&admitted)
}

/// Hosts that have heard each other.
fn fleet(hosts: usize, leeway: Tolerance) -> Vec<RateLimiter> {
    let mut fleet: Vec<RateLimiter> = Vec::new();
    for _ in 0..hosts {
        let mut limits = RateLimiter::new(leeway, START);
        limits.set_limit(ORG, BIG_RATE, BIG_BURST, START);
        limits.set_reachable(hosts, hosts, START);
        fleet.push(limits);
    }
    tell_all(&mut fleet, START);
    fleet
}

/// Requests of one millisecond at hosts drawn by chance, `times` the limit in all. Returns how many
/// were taken and how many refused.
fn press(fleet: &mut [RateLimiter], rng: &mut fastrand::Rng, times: f64, now: Time) -> (u64, u64) {
    let requests = times * BIG_RATE as f64 / 1e3 / REQUEST as f64;
    let (mut taken, mut refused) = (0, 0);
    for _ in 0..(requests + rng.f64()) as u64 {
        let host = rng.usize(0..fleet.len());
        match fleet[host].try_acquire(ORG, REQUEST, now) {
            Ok(_) => taken += 1,
            Err(_) => refused += 1,
        }
    }
    (taken, refused)
}

/// The most of any eight seconds, from what each millisecond admitted.
fn most_in_eight_seconds(admitted: &[u64]) -> u64 {
    let windows = admitted.windows(8_000);
    windows.map(|w| w.iter().sum()).max().unwrap()
}

const BIG_RATE: u64 = 1_300_000;
const BIG_BURST: u64 = 2_000_000;
const REQUEST: u64 = 7_000;
/// The users' tolerance: a tenth, and 140,000 tokens.
const TOLERANCE: Tolerance = Tolerance {
    rate: 0.1,
    units: 140_000.0,
};

fn tell(hosts: &mut [RateLimiter], teller: usize, now: Time) {
    let all = 0..hosts.len();
    tell_some(hosts, teller, teller as u64, all, now);
}

fn tell_some(
    hosts: &mut [RateLimiter],
    teller: usize,
    boot: u64,
    hearers: Range<usize>,
    now: Time,
) {
    let told = hosts[teller].own_usage(now);
    for (index, host) in hosts.iter_mut().enumerate() {
        if index != teller && hearers.contains(&index) {
            host.record_usage(teller_at(boot, now), &told, now);
        }
    }
}

#[parameterized(
    some_hosts = { 8, 20, 6.0 },
    many_hosts = { 64, 250, 6.0 },
    many_hosts_far_beyond = { 64, 250, 12.0 },
    many_hosts_a_little_beyond = { 64, 250, 1.5 },
)]
fn hosts_that_hear_of_each_other_late_stay_within_the_tolerance(
    hosts: usize,
    tell_every: u64,
    times: f64,
) {
    let most = most_in_a_window(hosts, tell_every, times, TOLERANCE.usable());

    let limit = BIG_RATE * 8 + BIG_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(most <= allowed, "{most} of {allowed}");
    assert!(most >= BIG_RATE * 8, "{most} of {limit}");
}

/// Load of a fleet that falls apart while one organisation asks for six times its limit: `alone`
/// hosts are cut off each by itself, the others still hear each other. All notice it `noticed`
/// milliseconds later. Returns the most that was admitted in any eight seconds.
fn most_around_a_cut(hosts: usize, alone: usize, noticed: u64) -> u64 {
    let mut fleet = fleet(hosts, TOLERANCE.usable());
    let mut rng = fastrand::Rng::with_seed(11);
    let mut admitted = Vec::new();
    let cut_at = 16_000;
    for ms in 0..28_000_u64 {
        let asked = if ms < 15_000 { 0.6 } else { 6.0 };
        let (taken, _) = press(&mut fleet, &mut rng, asked, at(ms));
        admitted.push(taken * REQUEST);
        let joined = if ms < cut_at { hosts } else { hosts - alone };
        for teller in 0..joined {
            if (ms + teller as u64 * 37).is_multiple_of(250) {
                tell(&mut fleet[..joined], teller, at(ms));
            }
        }
        if ms == cut_at + noticed {
            for (index, host) in fleet.iter_mut().enumerate() {
                let heard = if index < joined { joined } else { 1 };
                host.set_reachable(heard, hosts, at(ms));
            }
        }
    }
    most_in_eight_seconds(&admitted)
}

#[parameterized(
    a_few_hosts = { 8, 3, 700 },
    a_third_of_many = { 64, 22, 700 },
    half_of_many = { 64, 32, 1_500 },
)]
fn a_cut_under_pressure_stays_within_the_tolerance(hosts: usize, alone: usize, noticed: u64) {
    let most = most_around_a_cut(hosts, alone, noticed);

    let limit = BIG_RATE * 8 + BIG_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(most <= allowed, "{most} of {allowed}");
}

/// Load of a large fleet of which six in ten hosts are killed at once and start again while one
/// organisation asks for `times` its limit. A host that starts hears of some others after 250 ms and
/// of all after 750. Returns the most that was admitted in any eight seconds.
fn most_around_a_restart(hosts: usize, times: f64) -> u64 {
    let fresh = |now: Time| {
        let mut limits = RateLimiter::new(TOLERANCE.usable(), now);
        let (heard, known) = reachable_hosts(Span::ZERO, 1, 1);
        limits.set_reachable(heard, known, now);
        limits.set_limit(ORG, BIG_RATE, BIG_BURST, now);
        limits
    };
    let mut fleet: Vec<RateLimiter> = (0..hosts).map(|_| fresh(START)).collect();
    for limits in &mut fleet {
        limits.set_reachable(hosts, hosts, at(2_000));
    }
    tell_all(&mut fleet, at(2_000));
    let mut rng = fastrand::Rng::with_seed(5);
    let mut admitted = Vec::new();
    let (pressed_at, killed_at) = (16_000, 20_000);
    let killed = hosts * 6 / 10;
    for ms in 2_000..30_000_u64 {
        if ms == killed_at {
            for host in &mut fleet[..killed] {
                *host = fresh(at(ms));
            }
        }
        let age = ms.saturating_sub(killed_at);
        let met = match age {
            0..250 => 1,
            250..500 => hosts / 4,
            500..750 => hosts * 3 / 4,
            _ => hosts,
        };
        if ms > killed_at && age.is_multiple_of(250) {
            for host in &mut fleet[..killed] {
                let (heard, known) = reachable_hosts(Span::from_millis(age), met, met);
                host.set_reachable(heard, known, at(ms));
            }
        }
        let asked = if ms < pressed_at { 0.6 } else { times };
        let (taken, _) = press(&mut fleet, &mut rng, asked, at(ms));
        admitted.push(taken * REQUEST);
        for teller in 0..hosts {
            if (ms + teller as u64 * 37).is_multiple_of(250) {
                let starts = ms >= killed_at && age < 250;
                let heard_by = if starts { killed..hosts } else { 0..hosts };
                let is_reborn = ms >= killed_at && teller < killed;
                let boot = teller as u64 + if is_reborn { 1_000 } else { 0 };
                tell_some(&mut fleet, teller, boot, heard_by, at(ms));
            }
        }
    }
    most_in_eight_seconds(&admitted)
}

/// Load of a cut that heals: callers ask for seven tenths of the limit all the while. Returns how many
/// of a hundred requests were refused in the two seconds after the hosts hear each other again.
fn refused_after_a_cut(hosts: usize, apart: usize) -> u64 {
    let mut fleet = fleet(hosts, TOLERANCE.usable());
    let mut rng = fastrand::Rng::with_seed(2);
    let (mut asked, mut refused) = (0, 0);
    let (cut_at, heals_at) = (16_000, 21_500);
    for ms in 0..23_500_u64 {
        let is_cut = (cut_at..heals_at).contains(&ms);
        if ms == cut_at + 700 || ms == heals_at + 20 {
            for (index, host) in fleet.iter_mut().enumerate() {
                let side = if index < apart { apart } else { hosts - apart };
                let heard = if ms < heals_at { side } else { hosts };
                host.set_reachable(heard, hosts, at(ms));
            }
        }
        let (taken, not_taken) = press(&mut fleet, &mut rng, 0.7, at(ms));
        if ms >= heals_at {
            asked += taken + not_taken;
            refused += not_taken;
        }
        for teller in 0..hosts {
            if (ms + teller as u64 * 37).is_multiple_of(20) {
                let hearers = match (is_cut, teller < apart) {
                    (false, _) => 0..hosts,
                    (true, true) => 0..apart,
                    (true, false) => apart..hosts,
                };
                tell_some(&mut fleet, teller, teller as u64, hearers, at(ms));
            }
        }
    }
    refused * 100 / asked
}

#[parameterized(
    halves = { 8, 4 },
    a_third = { 11, 3 },
    one_host = { 7, 1 },
)]
fn nobody_within_the_limit_is_refused_when_a_cut_heals(hosts: usize, apart: usize) {
    let refused = refused_after_a_cut(hosts, apart);

    assert_eq!(refused, 0);
}

#[parameterized(
    far_beyond = { 64, 4.7 },
    a_little_beyond = { 64, 1.5 },
    some_hosts = { 8, 4.7 },
)]
fn a_restart_of_most_hosts_under_pressure_stays_within_the_tolerance(hosts: usize, times: f64) {
    let most = most_around_a_restart(hosts, times);

    let limit = BIG_RATE * 8 + BIG_BURST;
    let allowed = limit + limit / 10 + 140_000;
    assert!(most <= allowed, "{most} of {allowed}");
}

#[parameterized(
    alone_at_first = { 100, 1, 1, (1, 16) },
    alone_after_a_while = { 1_000, 1, 1, (1, 1) },
    young_among_others = { 500, 9, 10, (9, 10) },
    settled = { 1_000, 9, 10, (9, 10) },
)]
fn a_host_that_hears_nobody_yet_counts_on_others(
    age: u64,
    heard: usize,
    known: usize,
    expected: (usize, usize),
) {
    let reach = reachable_hosts(Span::from_millis(age), heard, known);

    assert_eq!(reach, expected);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn any_division_keeps_the_sum(
        groups in prop::collection::vec(1_usize..5, 1..5),
        tell_every in 5_u64..40,
    ) {
        let total = pressed(&groups, tell_every, 4_000);

        let limit = RATE * 4 + BURST;
        prop_assert!(total <= limit + limit / 5, "{} of {}", total, limit);
    }
}

fn rule() -> RetryBudgetConfig {
    RetryBudgetConfig {
        ratio: 0.2,
        extra_retries: 54.0,
        window: Span::from_millis(10_000),
    }
}

#[parameterized(
    one_host = { 1, 100 },
    seven_hosts = { 7, 20 },
    many_hosts = { 64, 10 },
)]
fn second_sendings_of_all_hosts_stay_within_the_budget(hosts: usize, requests: usize) {
    let mut sent = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(rule());
        for n in 0..requests {
            budget.record_request("s", at(n as u64));
        }
        sent += (0..1_000)
            .filter(|n| budget.try_retry("s", hosts, at(*n)))
            .count();
    }

    let most = rule().ratio * (hosts * requests) as f64 + rule().extra_retries;
    assert!(sent as f64 <= most, "{sent} of {most}");
}

#[test]
fn a_budget_comes_back_with_its_window() {
    let mut budget = RetryBudget::new(rule());
    while budget.try_retry("s", 1, START) {}

    let after = START + rule().window + Span::from_millis(1);

    assert!(budget.try_retry("s", 1, after));
}
