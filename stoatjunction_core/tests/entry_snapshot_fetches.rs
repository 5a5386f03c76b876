//! Which hosts are asked for their snapshots at once.

use std::net::{IpAddr, Ipv4Addr};

use stoatjunction_core::entry::snapshot_fetches::SnapshotFetches;
use stoatjunction_core::time::{Span, Time};

const START: Time = Time(60_000_000);
const PATIENCE: Span = Span::from_millis(300);

fn host(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

#[test]
fn one_host_is_asked_while_it_may_still_answer() {
    let mut fetches = SnapshotFetches::default();

    assert!(fetches.try_begin(host(1), PATIENCE, START));
    assert!(!fetches.try_begin(host(1), PATIENCE, START));
    assert!(!fetches.try_begin(host(2), PATIENCE, START + Span::from_millis(299)));
}

#[test]
fn another_host_is_asked_beside_one_that_does_not_answer() {
    let mut fetches = SnapshotFetches::default();
    fetches.try_begin(host(1), PATIENCE, START);

    let later = START + PATIENCE;

    assert!(!fetches.try_begin(host(1), PATIENCE, later));
    assert!(fetches.try_begin(host(2), PATIENCE, later));
}

#[test]
fn a_host_is_asked_at_once_after_another_one_failed() {
    let mut fetches = SnapshotFetches::default();
    fetches.try_begin(host(1), PATIENCE, START);

    fetches.end(host(1));

    assert!(fetches.try_begin(host(2), PATIENCE, START));
}

#[test]
fn no_more_than_three_hosts_are_asked_at_once() {
    let mut fetches = SnapshotFetches::default();

    let begun = (1..=6).filter(|n| {
        let now = START + Span(PATIENCE.0 * u64::from(*n));
        fetches.try_begin(host(*n), PATIENCE, now)
    });

    assert_eq!(begun.count(), 3);
}
