//! Places dealt out among hosts: every place once, the same at all hosts, by demand.

use proptest::prelude::*;
use stoatjunction_core::entry::pool::NodeKey;
use stoatjunction_core::entry::share::{HostDemand, UpstreamSlots, allocate_slots};
use yare::parameterized;

fn members(demands: &[f64]) -> Vec<HostDemand> {
    let numbered = demands.iter().enumerate();
    let member = |(n, demand): (usize, &f64)| HostDemand {
        id: 1_000 + 17 * n as u64,
        demand: *demand,
        silent: false,
    };
    numbered.map(member).collect()
}

fn offers(slots: &[u32]) -> Vec<UpstreamSlots> {
    let numbered = slots.iter().enumerate();
    let offer = |(n, slots): (usize, &u32)| UpstreamSlots {
        key: NodeKey(n as u32),
        number: (n as u64 * 7_919) % 101,
        slots: *slots,
    };
    numbered.map(offer).collect()
}

fn places(members: &[HostDemand], own: u64, offers: &[UpstreamSlots]) -> u32 {
    allocate_slots(members, own, offers)
        .iter()
        .map(|d| d.own)
        .sum()
}

#[parameterized(
    equal = { &[1.0, 1.0, 1.0, 1.0], &[12, 12, 12, 12] },
    nobody_asked_yet = { &[0.0, 0.0, 0.0, 0.0], &[12, 12, 12, 12] },
    one_asks_for_most = { &[9.0, 1.0, 1.0, 1.0], &[36, 4, 4, 4] },
    one_has_no_callers = { &[5.0, 5.0, 5.0, 0.0], &[15, 15, 15, 3] },
)]
fn places_follow_demand(demands: &[f64], expected: &[u32]) {
    let members = members(demands);
    let offers = offers(&[8, 8, 8, 8, 8, 8]);

    let got: Vec<u32> = members
        .iter()
        .map(|m| places(&members, m.id, &offers))
        .collect();

    assert_eq!(got.iter().sum::<u32>(), 48);
    for (got, expected) in got.iter().zip(expected) {
        assert!(got.abs_diff(*expected) <= 1, "{got} for {expected}");
    }
}

#[test]
fn a_host_that_is_no_member_is_dealt_nothing() {
    let members = members(&[1.0, 1.0]);

    let got = places(&members, 7, &offers(&[8, 8]));

    assert_eq!(got, 0);
}

#[test]
fn places_of_silent_hosts_are_counted() {
    let mut members = members(&[1.0, 1.0, 1.0, 1.0]);
    members[1].silent = true;
    members[2].silent = true;

    let dealt = allocate_slots(&members, members[0].id, &offers(&[8, 8, 8, 8]));

    assert_eq!(dealt.iter().map(|d| d.own).sum::<u32>(), 8);
    assert_eq!(dealt.iter().map(|d| d.silent).sum::<u32>(), 16);
}

proptest! {
    #[test]
    fn every_place_is_dealt_out_once_whatever_the_order(
        demands in prop::collection::vec(0.0_f64..50.0, 1..20),
        slots in prop::collection::vec(1_u32..15, 1..40),
        turn in 0_usize..20,
    ) {
        let members = members(&demands);
        let offers = offers(&slots);
        let (mut turned, mut reversed) = (members.clone(), offers.clone());
        turned.rotate_left(turn % members.len());
        reversed.reverse();
        let mut dealt = vec![0; slots.len()];

        for (n, member) in members.iter().enumerate() {
            // Hosts learn of each other and of upstreams in different orders.
            let got = if n % 2 == 0 {
                allocate_slots(&members, member.id, &offers)
            } else {
                allocate_slots(&turned, member.id, &reversed)
            };
            for d in got {
                dealt[d.key.0 as usize] += d.own;
            }
        }

        prop_assert_eq!(dealt, slots);
    }
}
