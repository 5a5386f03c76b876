//! A non-idempotent request takes effect at most once.

mod common;

use std::time::Duration;

use common::{Fleet, engine_request, order_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_standin::object_api::ObjectFaults;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

async fn wait_for_claim(fleet: &Fleet) {
    let api = &fleet.environment.object_api.api;
    wait_until("the key is claimed", || async {
        !api.keys("claim/").is_empty()
    })
    .await;
}

/// Starts two hosts whose dispatchers are stopped by SIGSTOP, so that a claimed order waits for a grant.
async fn fleet_without_grants() -> Fleet {
    let fleet = Fleet::start_with(small_layout(1, 2, 2), |_, cfg| {
        cfg.link.timeout = Duration::from_secs(30);
    })
    .await;
    for dispatcher in &fleet.dispatchers {
        dispatcher.freeze().await;
    }
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_sent_to_all_entry_hosts_at_once_runs_once() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 2)).await;
    let sample_request = order_request("k1", "parallel", 200);

    // Act
    let pending: Vec<_> = (0..8)
        .map(|n| fleet.spawn_request(n % 4, &sample_request.request))
        .collect();

    // Assert
    let mut answers = 0;
    for pending in pending {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        answers += usize::from(sample_request.is_answered_by(&response));
        assert!(
            sample_request.is_answered_by(&response) || response.code() == 4001,
            "{response:?}"
        );
    }
    assert!(answers >= 1);
    assert_eq!(fleet.environment.start_count("parallel"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reused_key_returns_the_first_answer_or_a_conflict_for_another_body() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let sample_request = order_request("k2", "sequence", 10);
    let conflicting = order_request("k2", "another", 10);
    assert!(sample_request.is_answered_by(&fleet.get(0, &sample_request.request).await));
    let api = &fleet.environment.object_api.api;
    wait_until("the answer is stored", || async {
        let keys = api.keys("claim/");
        keys.iter()
            .any(|k| api.value(k).is_some_and(|v| v.contains("done")))
    })
    .await;

    // Act
    let second = fleet.get(1, &sample_request.request).await;
    let conflict = fleet.get(1, &conflicting.request).await;

    // Assert
    assert!(sample_request.is_answered_by(&second), "{second:?}");
    assert_eq!(conflict.code(), 4003);
    assert_eq!(fleet.environment.start_count("sequence"), 1);
    assert_eq!(fleet.environment.start_count("another"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_gateway_killed_between_claim_and_dispatch_is_not_run() {
    // Arrange
    let mut fleet = fleet_without_grants().await;
    let mut sample_request = order_request("k3", "unsent", 10);
    sample_request.request.deadline_ms = Some(1_500);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_for_claim(&fleet).await;

    // Act
    fleet.gateways[0].kill();
    fleet
        .dispatchers
        .iter()
        .for_each(|d| d.send_signal(Signal::SIGCONT));
    let _ = pending.await;
    let second = fleet.get(1, &sample_request.request).await;
    let other = fleet.hosts[1].clone();
    wait_until("the outcome counts as unknown", || async {
        let response =
            stoatjunction_bench::client::send(&other.gateway_addr(), &sample_request.request).await;
        response.is_ok_and(|r| r.code() == 4002)
    })
    .await;

    // Assert
    assert!(matches!(second.code(), 4001 | 4002), "{second:?}");
    assert_eq!(fleet.environment.start_count("unsent"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_gateway_killed_after_dispatch_is_not_retried() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let sample_request = order_request("k4", "sent", 1_000);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_until("the order runs", || async {
        fleet.environment.start_count("sent") == 1
    })
    .await;

    // Act
    fleet.gateways[0].kill();
    let _ = pending.await;
    let other_host_response = fleet.get(1, &sample_request.request).await;
    fleet.gateways[0].restart();
    let host = fleet.hosts[0].gateway_addr();
    stoatjunction_bench::fleet::wait_ready(&host)
        .await
        .expect("gateway becomes ready again");
    let same_host_response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert_eq!(other_host_response.code(), 4001, "{other_host_response:?}");
    assert_eq!(same_host_response.code(), 4002, "{same_host_response:?}");
    assert_eq!(fleet.environment.start_count("sent"), 1);
}

#[parameterized(
    outage = { ObjectFaults { outage: true, ..ObjectFaults::default() } },
    hang = { ObjectFaults { hang: true, ..ObjectFaults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_platform_outage_refuses_orders_as_not_run_and_nothing_else(faults: ObjectFaults) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    fleet.environment.object_api.api.set_faults(faults);
    let mut order_sample_request = order_request("k5", "refused", 10);
    order_sample_request.request.deadline_ms = Some(1_500);
    let engine_sample_request = engine_request("acme", "gold", "goes-on", 10);

    // Act
    let refused = fleet.get(0, &order_sample_request.request).await;
    let answered = fleet.get(0, &engine_sample_request.request).await;

    // Assert
    let problem = refused.problem().expect("response is a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (4004, "not_run"));
    assert!(refused.retry_after.is_some());
    assert!(
        engine_sample_request.is_answered_by(&answered),
        "{answered:?}"
    );
    assert_eq!(fleet.environment.start_count("refused"), 0);
}

#[parameterized(
    response_lost = { ObjectFaults { lose_responses: 1, ..ObjectFaults::default() } },
    two_responses_lost = { ObjectFaults { lose_responses: 2, ..ObjectFaults::default() } },
    write_lost = { ObjectFaults { lose_writes: 1, ..ObjectFaults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lost_platform_response_is_resolved_by_reading_back(faults: ObjectFaults) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    fleet.environment.object_api.api.set_faults(faults);
    let sample_request = order_request("k6", "lost", 10);

    // Act
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert!(sample_request.is_answered_by(&response), "{response:?}");
    assert_eq!(fleet.environment.start_count("lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_holder_paused_past_its_deadline_runs_nothing_when_resumed() {
    // Arrange
    let fleet = fleet_without_grants().await;
    let mut sample_request = order_request("k7", "paused", 10);
    sample_request.request.deadline_ms = Some(1_000);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_for_claim(&fleet).await;

    // Act
    fleet.gateways[0].freeze().await;
    fleet
        .dispatchers
        .iter()
        .for_each(|d| d.send_signal(Signal::SIGCONT));
    let other_addr = fleet.hosts[1].gateway_addr();
    wait_until(
        "the outcome counts as unknown at the other host",
        || async {
            let response =
                stoatjunction_bench::client::send(&other_addr, &sample_request.request).await;
            response.is_ok_and(|r| r.code() == 4002)
        },
    )
    .await;
    fleet.gateways[0].send_signal(Signal::SIGCONT);
    let response = pending
        .await
        .expect("request task does not panic")
        .expect("response is received");

    // Assert
    let problem = response.problem().expect("response is a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (2003, "not_run"));
    assert_eq!(fleet.environment.start_count("paused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_a_gateway_killed_in_a_platform_outage_is_not_retried() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let sample_request = order_request("k8", "twofold", 1_500);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_until("the order runs", || async {
        fleet.environment.start_count("twofold") == 1
    })
    .await;

    // Act
    Fleet::set_fault_for_all(&fleet.platform_proxies, Fault::Cut);
    fleet.gateways[0].kill();
    let _ = pending.await;
    let mut outage_sample_request = sample_request.clone();
    outage_sample_request.request.deadline_ms = Some(800);
    let outage_response = fleet.get(1, &outage_sample_request.request).await;
    Fleet::set_fault_for_all(&fleet.platform_proxies, Fault::None);
    let later_response = fleet.get(1, &sample_request.request).await;

    // Assert
    assert_eq!(outage_response.code(), 4004, "{outage_response:?}");
    assert!(
        matches!(later_response.code(), 4001 | 4002),
        "{later_response:?}"
    );
    assert_eq!(fleet.environment.start_count("twofold"), 1);
}
