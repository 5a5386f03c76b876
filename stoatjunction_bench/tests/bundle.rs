//! An accepted bundle is in force at every daemon within 5 s and is never reverted.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, engine_request, small_layout, wait_until};
use stoatjunction_bench::fleet::{operator_public_keys, operator_signing_key, wait_ready};
use stoatjunction_net::bundle::StoreError;
use stoatjunction_standin::object_api::ObjectFaults;
use stoatjunction_standin::proxy::Fault;

/// Required time within which an accepted bundle is in force at every daemon.
const ROLL_OUT_BOUND: Duration = Duration::from_secs(5);

fn bundle_with_organisation(fleet: &Fleet, organisation: &str) -> String {
    format!(
        "{}\n[organisation {organisation}]\nshare = 3\n",
        fleet.bundle()
    )
}

async fn wait_until_in_force(fleet: &Fleet, number: u64) {
    wait_until("the bundle is in force everywhere", || async {
        fleet.bundles_in_force().await.iter().all(|n| *n == number)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_bundle_is_in_force_everywhere_within_the_bound() {
    // Arrange
    let fleet = Fleet::start(small_layout(3, 2, 2)).await;

    // Act
    let number = fleet
        .environment
        .roll_out(&bundle_with_organisation(&fleet, "new"))
        .await
        .expect("bundle is accepted");
    let accepted_at = Instant::now();
    wait_until_in_force(&fleet, number).await;

    // Assert
    assert!(
        accepted_at.elapsed() < ROLL_OUT_BOUND,
        "{:?}",
        accepted_at.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_a_conflict_that_names_the_other() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let store = fleet.environment.bundles();
    let (ana, berta, keys) = (
        operator_signing_key("ana"),
        operator_signing_key("berta"),
        operator_public_keys(),
    );
    let text = bundle_with_organisation(&fleet, "race");
    let first = store
        .propose(&text, "first", "ana", &ana)
        .await
        .expect("bundle is proposed");
    let second = store
        .propose(&text, "second", "berta", &berta)
        .await
        .expect("bundle is proposed");
    store
        .approve(first.number, "berta", &berta, &keys)
        .await
        .expect("bundle is approved");
    store
        .approve(second.number, "ana", &ana, &keys)
        .await
        .expect("bundle is approved");

    // Act
    store
        .accept(second.number, "ana", &keys)
        .await
        .expect("bundle is accepted");
    let late_accept = store.accept(first.number, "berta", &keys).await;
    let own_approval = store.approve(first.number, "ana", &ana, &keys).await;

    // Assert
    match late_accept {
        Err(StoreError::Conflict(text)) => assert!(text.contains("ana"), "{text}"),
        other => panic!("{other:?}"),
    }
    assert!(
        own_approval.is_err(),
        "a proposer cannot approve its own bundle"
    );
    wait_until_in_force(&fleet, second.number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_acceptance_whose_response_was_lost_succeeds() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let store = fleet.environment.bundles();
    let (ana, berta, keys) = (
        operator_signing_key("ana"),
        operator_signing_key("berta"),
        operator_public_keys(),
    );
    let text = bundle_with_organisation(&fleet, "lost");
    let record = store
        .propose(&text, "lost", "ana", &ana)
        .await
        .expect("bundle is proposed");
    store
        .approve(record.number, "berta", &berta, &keys)
        .await
        .expect("bundle is approved");
    let lost = ObjectFaults {
        lose_responses: 1,
        ..ObjectFaults::default()
    };
    fleet.environment.object_api.api.set_faults(lost);

    // Act
    let accepted = store.accept(record.number, "ana", &keys).await;

    // Assert
    assert!(accepted.is_ok(), "{accepted:?}");
    wait_until_in_force(&fleet, record.number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_restarted_in_an_outage_gets_the_bundle_from_its_peers() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(2, 1, 2)).await;
    let number = fleet
        .environment
        .roll_out(&bundle_with_organisation(&fleet, "outage"))
        .await
        .expect("bundle is accepted");
    wait_until_in_force(&fleet, number).await;

    // Act
    let outage = ObjectFaults {
        outage: true,
        ..ObjectFaults::default()
    };
    fleet.environment.object_api.api.set_faults(outage);
    fleet.dispatchers[0].restart();
    fleet.gateways[0].restart();
    wait_ready(&fleet.hosts[0].gateway_addr())
        .await
        .expect("gateway becomes ready again");

    // Assert
    wait_until_in_force(&fleet, number).await;
    let sample_request = engine_request("acme", "gold", "outage", 5);
    fleet.wait_until_operational().await;
    assert!(sample_request.is_answered_by(&fleet.get(0, &sample_request.request).await));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_outage_after_the_acceptance_does_not_stop_the_roll_out() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 2)).await;
    Fleet::set_fault_for_all(&fleet.platform_proxies[1..], Fault::Cut);

    // Act
    let number = fleet
        .environment
        .roll_out(&bundle_with_organisation(&fleet, "down"))
        .await
        .expect("bundle is accepted");
    let admin_addr = fleet.hosts[0].dispatcher_admin_addr();
    wait_until("one dispatcher has the bundle", || async {
        common::call_admin(&admin_addr, "GET", "status").await["bundle"] == number
    })
    .await;
    let outage = ObjectFaults {
        outage: true,
        ..ObjectFaults::default()
    };
    fleet.environment.object_api.api.set_faults(outage);

    // Assert
    wait_until_in_force(&fleet, number).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_isolated_during_a_roll_out_catches_up_after_reconnecting() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 1, 2)).await;
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::Cut);
    fleet.platform_proxies[1].set_fault(Fault::Cut);

    // Act
    let number = fleet
        .environment
        .roll_out(&bundle_with_organisation(&fleet, "cut"))
        .await
        .expect("bundle is accepted");
    let admin_addr = fleet.hosts[0].gateway_admin_addr();
    wait_until("the connected data centre has the bundle", || async {
        common::call_admin(&admin_addr, "GET", "status").await["bundle"] == number
    })
    .await;
    let before = fleet.bundles_in_force().await;
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::None);
    let reconnected_at = Instant::now();
    wait_until_in_force(&fleet, number).await;

    // Assert
    assert_eq!(before[2..], [number - 1, number - 1]);
    assert!(
        reconnected_at.elapsed() < ROLL_OUT_BOUND,
        "{:?}",
        reconnected_at.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_restored_to_an_older_bundle_reverts_nothing() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    fleet.environment.object_api.api.save();
    let number = fleet
        .environment
        .roll_out(&bundle_with_organisation(&fleet, "newer"))
        .await
        .expect("bundle is accepted");
    wait_until_in_force(&fleet, number).await;

    // Act
    fleet.environment.object_api.api.restore();
    let admin_addr = fleet.hosts[0].dispatcher_admin_addr();
    let other_admin_addr = fleet.hosts[1].dispatcher_admin_addr();
    wait_until("a dispatcher detects the older bundle", || async {
        fleet.has_event(&admin_addr, "platform_older").await
            || fleet.has_event(&other_admin_addr, "platform_older").await
    })
    .await;

    // Assert
    assert!(fleet.bundles_in_force().await.iter().all(|n| *n == number));
}
