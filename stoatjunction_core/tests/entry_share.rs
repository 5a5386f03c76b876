//! Allocation of slots to hosts: each slot has one host, all hosts compute the same allocation, and
//! it follows demand.

use proptest::prelude::*;
use stoatjunction_core::entry::pool::UpstreamKey;
use stoatjunction_core::entry::slot_allocation::{HostDemand, UpstreamSlots, allocate_slots};
use yare::parameterized;

fn hosts(demands: &[f64]) -> Vec<HostDemand> {
    let numbered = demands.iter().enumerate();
    let host = |(index, demand): (usize, &f64)| HostDemand {
        id: 1_000 + 17 * index as u64,
        demand: *demand,
        unreachable: false,
    };
    numbered.map(host).collect()
}

fn upstreams(slots: &[u32]) -> Vec<UpstreamSlots> {
    let numbered = slots.iter().enumerate();
    let upstream = |(index, slots): (usize, &u32)| UpstreamSlots {
        key: UpstreamKey(index as u32),
        number: (index as u64 * 7_919) % 101,
        slots: *slots,
    };
    numbered.map(upstream).collect()
}

fn own_slots(hosts: &[HostDemand], own: u64, upstreams: &[UpstreamSlots]) -> u32 {
    allocate_slots(hosts, own, upstreams)
        .iter()
        .map(|a| a.own)
        .sum()
}

#[parameterized(
    equal = { &[1.0, 1.0, 1.0, 1.0], &[12, 12, 12, 12] },
    no_demand = { &[0.0, 0.0, 0.0, 0.0], &[12, 12, 12, 12] },
    one_with_most_demand = { &[9.0, 1.0, 1.0, 1.0], &[36, 4, 4, 4] },
    one_without_demand = { &[5.0, 5.0, 5.0, 0.0], &[15, 15, 15, 3] },
)]
fn slots_follow_demand(demands: &[f64], expected: &[u32]) {
    let hosts = hosts(demands);
    let upstreams = upstreams(&[8, 8, 8, 8, 8, 8]);

    let got: Vec<u32> = hosts
        .iter()
        .map(|h| own_slots(&hosts, h.id, &upstreams))
        .collect();

    assert_eq!(got.iter().sum::<u32>(), 48);
    for (got, expected) in got.iter().zip(expected) {
        assert!(got.abs_diff(*expected) <= 1, "{got} for {expected}");
    }
}

#[test]
fn an_unknown_host_is_allocated_nothing() {
    let hosts = hosts(&[1.0, 1.0]);

    let got = own_slots(&hosts, 7, &upstreams(&[8, 8]));

    assert_eq!(got, 0);
}

#[test]
fn slots_of_unreachable_hosts_are_counted() {
    let mut hosts = hosts(&[1.0, 1.0, 1.0, 1.0]);
    hosts[1].unreachable = true;
    hosts[2].unreachable = true;

    let allocated = allocate_slots(&hosts, hosts[0].id, &upstreams(&[8, 8, 8, 8]));

    assert_eq!(allocated.iter().map(|a| a.own).sum::<u32>(), 8);
    assert_eq!(allocated.iter().map(|a| a.unreachable).sum::<u32>(), 16);
}

proptest! {
    #[test]
    fn each_slot_is_allocated_once_in_any_order_of_hosts_and_upstreams(
        demands in prop::collection::vec(0.0_f64..50.0, 1..20),
        slots in prop::collection::vec(1_u32..15, 1..40),
        rotation in 0_usize..20,
    ) {
        let hosts = hosts(&demands);
        let upstreams = upstreams(&slots);
        let (mut rotated, mut reversed) = (hosts.clone(), upstreams.clone());
        rotated.rotate_left(rotation % hosts.len());
        reversed.reverse();
        let mut allocated = vec![0; slots.len()];

        for (index, host) in hosts.iter().enumerate() {
            // Hosts discover each other and upstreams in different orders.
            let got = if index % 2 == 0 {
                allocate_slots(&hosts, host.id, &upstreams)
            } else {
                allocate_slots(&rotated, host.id, &reversed)
            };
            for a in got {
                allocated[a.key.0 as usize] += a.own;
            }
        }

        prop_assert_eq!(allocated, slots);
    }
}
