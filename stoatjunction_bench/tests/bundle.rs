//! An accepted bundle is in force everywhere within 5 s and never reverts.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, small, talk, until};
use stoatjunction_bench::fleet::{operator, operator_keys, wait_ready};
use stoatjunction_net::bundle::StoreError;
use stoatjunction_standin::object_api::ObjectFaults;
use stoatjunction_standin::proxy::Fault;

/// The bound that the users state.
const BOUND: Duration = Duration::from_secs(5);

fn with_note(fleet: &Fleet, note: &str) -> String {
    format!("{}\n[organisation {note}]\nshare = 3\n", fleet.bundle())
}

async fn until_in_force(fleet: &Fleet, number: u64) {
    until("the bundle is in force everywhere", || async {
        fleet.in_force().await.iter().all(|n| *n == number)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_bundle_is_in_force_everywhere_within_the_bound() {
    // Arrange
    let fleet = Fleet::start(small(3, 2, 2)).await;

    // Act
    let number = fleet
        .world
        .roll_out(&with_note(&fleet, "new"))
        .await
        .expect("accepted");
    let accepted = Instant::now();
    until_in_force(&fleet, number).await;

    // Assert
    assert!(accepted.elapsed() < BOUND, "{:?}", accepted.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_a_conflict_that_names_the_other() {
    // Arrange
    let fleet = Fleet::start(small(1, 1, 2)).await;
    let store = fleet.world.bundles();
    let (ana, berta, keys) = (operator("ana"), operator("berta"), operator_keys());
    let text = with_note(&fleet, "race");
    let first = store
        .propose(&text, "first", "ana", &ana)
        .await
        .expect("proposed");
    let second = store
        .propose(&text, "second", "berta", &berta)
        .await
        .expect("proposed");
    store
        .approve(first.number, "berta", &berta, &keys)
        .await
        .expect("approved");
    store
        .approve(second.number, "ana", &ana, &keys)
        .await
        .expect("approved");

    // Act
    store
        .accept(second.number, "ana", &keys)
        .await
        .expect("accepted");
    let late = store.accept(first.number, "berta", &keys).await;
    let own = store.approve(first.number, "ana", &ana, &keys).await;

    // Assert
    match late {
        Err(StoreError::Conflict(text)) => assert!(text.contains("ana"), "{text}"),
        other => panic!("{other:?}"),
    }
    assert!(own.is_err(), "a proposer cannot approve its own bundle");
    until_in_force(&fleet, second.number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_acceptance_whose_answer_was_lost_is_settled() {
    // Arrange
    let fleet = Fleet::start(small(1, 1, 2)).await;
    let store = fleet.world.bundles();
    let (ana, berta, keys) = (operator("ana"), operator("berta"), operator_keys());
    let text = with_note(&fleet, "lost");
    let record = store
        .propose(&text, "lost", "ana", &ana)
        .await
        .expect("proposed");
    store
        .approve(record.number, "berta", &berta, &keys)
        .await
        .expect("approved");
    let lost = ObjectFaults {
        lose_responses: 1,
        ..ObjectFaults::default()
    };
    fleet.world.objects.api.set_faults(lost);

    // Act
    let accepted = store.accept(record.number, "ana", &keys).await;

    // Assert
    assert!(accepted.is_ok(), "{accepted:?}");
    until_in_force(&fleet, record.number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_restarted_in_an_outage_gets_the_bundle_from_its_peers() {
    // Arrange
    let mut fleet = Fleet::start(small(2, 1, 2)).await;
    let number = fleet
        .world
        .roll_out(&with_note(&fleet, "outage"))
        .await
        .expect("accepted");
    until_in_force(&fleet, number).await;

    // Act
    let outage = ObjectFaults {
        outage: true,
        ..ObjectFaults::default()
    };
    fleet.world.objects.api.set_faults(outage);
    fleet.dispatchers[0].restart();
    fleet.gateways[0].restart();
    wait_ready(&fleet.hosts[0].gateway())
        .await
        .expect("it comes back");

    // Assert
    until_in_force(&fleet, number).await;
    let sample = talk("acme", "gold", "outage", 5);
    fleet.until_meshed().await;
    assert!(sample.is_answered_by(&fleet.get(0, &sample.ask).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_down_right_after_the_acceptance_stops_no_roll_out() {
    // Arrange
    let fleet = Fleet::start(small(2, 2, 2)).await;
    Fleet::set_all(&fleet.platform_proxies[1..], Fault::Cut);

    // Act
    let number = fleet
        .world
        .roll_out(&with_note(&fleet, "down"))
        .await
        .expect("accepted");
    let admin = fleet.hosts[0].dispatcher_admin();
    until("one host has it", || async {
        common::admin(&admin, "GET", "status").await["bundle"] == number
    })
    .await;
    let outage = ObjectFaults {
        outage: true,
        ..ObjectFaults::default()
    };
    fleet.world.objects.api.set_faults(outage);

    // Assert
    until_in_force(&fleet, number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_cut_off_in_a_roll_out_catches_up_when_healed() {
    // Arrange
    let fleet = Fleet::start(small(2, 1, 2)).await;
    Fleet::set_all(&fleet.dispatcher_proxies, Fault::Cut);
    fleet.platform_proxies[1].set_fault(Fault::Cut);

    // Act
    let number = fleet
        .world
        .roll_out(&with_note(&fleet, "cut"))
        .await
        .expect("accepted");
    let admin = fleet.hosts[0].gateway_admin();
    until("the other data centre has it", || async {
        common::admin(&admin, "GET", "status").await["bundle"] == number
    })
    .await;
    let before = fleet.in_force().await;
    Fleet::set_all(&fleet.dispatcher_proxies, Fault::None);
    let healed = Instant::now();
    until_in_force(&fleet, number).await;

    // Assert
    assert_eq!(before[2..], [number - 1, number - 1]);
    assert!(healed.elapsed() < BOUND, "{:?}", healed.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_restored_to_an_older_pointer_reverts_nothing() {
    // Arrange
    let fleet = Fleet::start(small(1, 2, 2)).await;
    fleet.world.objects.api.save();
    let number = fleet
        .world
        .roll_out(&with_note(&fleet, "newer"))
        .await
        .expect("accepted");
    until_in_force(&fleet, number).await;

    // Act
    fleet.world.objects.api.restore();
    let admin = fleet.hosts[0].dispatcher_admin();
    let other = fleet.hosts[1].dispatcher_admin();
    until("the older pointer was seen", || async {
        fleet.has_event(&admin, "platform_older").await
            || fleet.has_event(&other, "platform_older").await
    })
    .await;

    // Assert
    assert!(fleet.in_force().await.iter().all(|n| *n == number));
}
