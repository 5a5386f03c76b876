//! Which hosts ask the store for others, and when they name hosts there.

use std::net::{IpAddr, Ipv4Addr};

use stoatjunction_core::entry::rendezvous::{Rendezvous, Step};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const NOW: Time = Time(90_000_000);
const OLD: Span = Span::from_millis(5_000);

fn ips(numbers: &[u8]) -> Vec<IpAddr> {
    let ip = |n: &u8| IpAddr::V4(Ipv4Addr::new(10, 0, 0, *n));
    numbers.iter().map(ip).collect()
}

fn after(ms: u64) -> Time {
    NOW + Span::from_millis(ms)
}

#[parameterized(
    alone = { &[1], 5_000, Step::Read },
    alone_and_young = { &[1], 599, Step::Wait },
    lowest_of_a_group = { &[1, 2, 3], 5_000, Step::Read },
    not_the_lowest = { &[2, 1], 5_000, Step::Wait },
)]
fn hosts_that_know_no_host_with_a_lower_number_ask(heard: &[u8], age_ms: u64, expected: Step) {
    let rendezvous = Rendezvous::default();
    let (own, age) = (ips(&[1])[0], Span::from_millis(age_ms));

    assert_eq!(rendezvous.next(own, &ips(heard), age, NOW), expected);
}

#[parameterized(
    none_named = { &[], &[1], 0, Some(&[1][..]) },
    itself_named = { &[1], &[1], 0, None },
    others_may_answer = { &[8, 9], &[1], 999, None },
    others_do_not_answer = { &[8, 9], &[1], 1_000, Some(&[1, 8, 9]) },
    enough_heard = { &[3, 2, 9], &[1, 2, 3, 4], 1_000, None },
    too_few_heard = { &[3, 9], &[1, 2, 3, 4, 5], 1_000, Some(&[1, 2, 3, 4, 9]) },
    many_gone = { &[11, 12, 13, 14, 15, 16, 17, 18], &[1], 1_000, Some(&[1, 11, 12, 13, 14, 15, 16, 17]) },
)]
fn hosts_are_named_when_too_few_of_those_that_are_named_are_heard(
    named: &[u8],
    heard: &[u8],
    after_ms: u64,
    expected: Option<&[u8]>,
) {
    let mut rendezvous = Rendezvous::default();
    rendezvous.record_named(ips(named), NOW);

    let step = rendezvous.next(ips(&[1])[0], &ips(heard), OLD, after(after_ms));

    let expected = expected.map_or(Step::Wait, |hosts| Step::Write(ips(hosts)));
    assert_eq!(step, expected);
}

#[test]
fn a_host_reads_again_after_a_while_a_conflict_and_a_failure() {
    let own = ips(&[1])[0];
    let mut rendezvous = Rendezvous::default();
    rendezvous.record_named(ips(&[1]), NOW);
    let next = |r: &Rendezvous, ms: u64| r.next(own, &ips(&[1]), OLD, after(ms));

    assert_eq!(next(&rendezvous, 29_999), Step::Wait);
    assert_eq!(next(&rendezvous, 30_000), Step::Read);
    rendezvous.record_conflict();
    assert_eq!(next(&rendezvous, 10), Step::Read);
    rendezvous.record_failure(after(10));
    assert_eq!(next(&rendezvous, 1_009), Step::Wait);
    assert_eq!(next(&rendezvous, 1_010), Step::Read);
}

#[test]
fn named_hosts_are_contacted_for_some_seconds_after_a_read() {
    let mut rendezvous = Rendezvous::default();
    assert!(rendezvous.contacts(NOW).is_empty());

    rendezvous.record_named(ips(&[7, 8]), NOW);

    assert_eq!(rendezvous.contacts(after(4_999)), ips(&[7, 8]));
    assert!(rendezvous.contacts(after(5_000)).is_empty());
}
