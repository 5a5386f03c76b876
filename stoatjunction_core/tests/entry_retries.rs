//! Retry budget: what all hosts together may spend, and what a restart changes.

use stoatjunction_core::entry::retry_budget::{FirstStart, RetryBudget, RetryBudgetConfig};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);

fn at(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

fn config() -> RetryBudgetConfig {
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
fn retries_of_all_hosts_stay_within_the_budget(hosts: usize, requests: usize) {
    let mut sent = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(config(), FirstStart::Yes);
        for n in 0..requests {
            budget.record_request("s", at(n as u64));
        }
        sent += (0..1_000)
            .filter(|n| budget.try_retry("s", hosts, at(*n)))
            .count();
    }

    let max_retries = config().ratio * (hosts * requests) as f64 + config().extra_retries;
    assert!(sent as f64 <= max_retries, "{sent} of {max_retries}");
}

#[parameterized(
    one_host = { 1, 20 },
    seven_hosts = { 7, 20 },
    many_hosts = { 64, 10 },
)]
fn retries_around_a_restart_of_all_hosts_stay_within_the_budget(hosts: usize, requests: usize) {
    let mut sent = 0;
    for start in [FirstStart::Yes, FirstStart::No(at(1_000))] {
        for _ in 0..hosts {
            let mut budget = RetryBudget::new(config(), start);
            for n in 0..requests {
                budget.record_request("s", at(1_000 + n as u64));
            }
            sent += (1_000..2_000)
                .filter(|n| budget.try_retry("s", hosts, at(*n)))
                .count();
        }
    }

    let max_retries = config().ratio * (2 * hosts * requests) as f64 + config().extra_retries;
    assert!(sent as f64 <= max_retries, "{sent} of {max_retries}");
}

#[test]
fn a_restarted_host_has_its_part_of_the_allowance_after_the_window() {
    let mut budget = RetryBudget::new(config(), FirstStart::No(START));
    assert!(!budget.try_retry("s", 1, START));

    let after = START + config().window + Span::from_millis(1);

    assert!(budget.try_retry("s", 1, after));
}

#[test]
fn spent_retries_return_after_the_window() {
    let mut budget = RetryBudget::new(config(), FirstStart::Yes);
    while budget.try_retry("s", 1, START) {}

    let after = START + config().window + Span::from_millis(1);

    assert!(budget.try_retry("s", 1, after));
}
