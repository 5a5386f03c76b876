//! Limits and budgets over all hosts: whatever is cut off, killed or lowered, the sum holds.

use proptest::prelude::*;
use stoatjunction_core::entry::budget::{Budget, BudgetRule};
use stoatjunction_core::entry::limit::{Leeway, Limits, Standing};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const ORG: u64 = 7;
const RATE: u64 = 1_000;
const BURST: u64 = 1_000;
const START: Time = Time(60_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn full(leeway: Leeway) -> Limits {
    let mut limits = Limits::new(leeway, START);
    limits.set(ORG, RATE, BURST, START);
    limits
}

fn admitted(limits: &mut Limits, units: u64, from: u64, to: u64) -> u64 {
    let mut sum = 0;
    for ms in from..to {
        if limits.take(ORG, units, at(ms)).is_ok() {
            sum += units;
        }
    }
    sum
}

#[test]
fn an_organisation_without_a_limit_is_never_refused() {
    let mut limits = full(Leeway::default());
    limits.set(ORG, 0, 0, START);

    let taken = limits.take(ORG, 1_000_000, START);

    assert_eq!(taken, Ok(Standing::Within));
}

#[test]
fn a_refused_request_is_told_when_there_will_be_room() {
    let mut limits = full(Leeway::default());
    admitted(&mut limits, 10, 20_000, 20_200);

    let wait = limits.take(ORG, 500, at(20_200)).unwrap_err();

    let after = at(20_200) + wait + Span::from_millis(1);
    assert_eq!(limits.take(ORG, 500, after), Ok(Standing::Within));
}

#[test]
fn a_request_larger_than_the_burst_passes_a_full_bucket() {
    let mut limits = full(Leeway::default());

    let taken = limits.take(ORG, 5 * BURST, at(30_000));

    assert_eq!(taken, Ok(Standing::Within));
    assert!(limits.take(ORG, 1, at(30_000)).is_err());
}

#[test]
fn a_lowered_limit_binds_at_once_and_a_bucket_never_holds_more_than_it() {
    let mut limits = full(Leeway::default());
    limits.set(ORG, RATE / 10, BURST / 10, at(20_000));

    let sum = admitted(&mut limits, 1, 20_000, 21_000);

    assert!(sum <= RATE / 10 + BURST / 10, "{sum}");
}

#[test]
fn the_leeway_is_for_what_is_left_over_and_not_for_hosts_that_have_just_started() {
    let leeway = Leeway {
        rate: 0.0,
        units: 500.0,
    };
    let (mut young, mut old) = (full(leeway), full(leeway));

    let early = admitted(&mut young, 10, 0, 1);
    let late: Vec<_> = (0..200).map(|_| old.take(ORG, 10, at(20_000))).collect();

    assert!(early <= BURST);
    let beyond = late.iter().filter(|t| **t == Ok(Standing::Beyond)).count();
    let within = late.iter().filter(|t| **t == Ok(Standing::Within)).count();
    assert_eq!((within, beyond), (100, 50));
    let spent = (0..100)
        .filter(|_| young.take(ORG, 10, at(1)).is_ok())
        .count();
    assert!(spent < 100);
}

#[test]
fn a_host_that_starts_among_others_takes_over_what_is_left() {
    let mut old = full(Leeway::default());
    admitted(&mut old, 10, 20_000, 20_500);
    let mut new = Limits::new(Leeway::default(), at(20_500));
    new.set(ORG, RATE, BURST, at(20_500));

    new.hear(1, &old.usage(), &old.levels(), at(20_500));

    assert!(new.levels()[0].1 <= old.levels()[0].1 + 1.0);
}

#[test]
fn use_that_is_told_after_the_first_hearing_counts_from_nothing() {
    let mut limits = full(Leeway::default());
    limits.hear(1, &[], &[], at(20_000));

    limits.hear(1, &[(ORG, 900)], &[], at(20_000));

    assert!(limits.take(ORG, 200, at(20_000)).is_err());
}

/// Hosts in groups that cannot hear each other, all under full pressure.
fn pressed(groups: &[usize], tell_every: u64, millis: u64) -> u64 {
    let known: usize = groups.iter().sum();
    let mut total = 0;
    for group in groups {
        let mut hosts: Vec<Limits> = (0..*group).map(|_| full(Leeway::default())).collect();
        for host in &mut hosts {
            host.set_reach(*group, known, START);
            for peer in 0..*group {
                host.hear(peer as u64, &[], &[], START);
            }
        }
        for ms in 10_000..10_000 + millis {
            for host in &mut hosts {
                if host.take(ORG, 5, at(ms)).is_ok() {
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

fn tell_all(hosts: &mut [Limits], now: Time) {
    let told: Vec<_> = hosts.iter().map(|h| (h.usage(), h.levels())).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        for (peer, (usage, levels)) in told.iter().enumerate() {
            if peer != index {
                host.hear(peer as u64, usage, levels, now);
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

fn rule() -> BudgetRule {
    BudgetRule {
        ratio: 0.2,
        extra: 54.0,
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
        let mut budget = Budget::new(rule());
        for n in 0..requests {
            budget.request("s", at(n as u64));
        }
        sent += (0..1_000)
            .filter(|n| budget.repeat("s", hosts, at(*n)))
            .count();
    }

    let most = rule().ratio * (hosts * requests) as f64 + rule().extra;
    assert!(sent as f64 <= most, "{sent} of {most}");
}

#[test]
fn a_budget_comes_back_with_its_window() {
    let mut budget = Budget::new(rule());
    while budget.repeat("s", 1, START) {}

    let after = START + rule().window + Span::from_millis(1);

    assert!(budget.repeat("s", 1, after));
}
