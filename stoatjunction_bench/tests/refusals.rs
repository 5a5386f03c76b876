//! A refusal has its own code and a correct outcome: after "not run", nothing has run.

mod common;

use common::{
    Fleet, engine_request, order_request, small_layout, uncancellable_request, wait_until,
};
use nix::sys::signal::Signal;
use stoatjunction_bench::client::ClientRequest;
use yare::parameterized;

fn valid_request() -> ClientRequest {
    engine_request("acme", "gold", "input", 5).request
}

#[parameterized(
    no_credential = { ClientRequest { secret: String::new(), ..valid_request() }, 401, 1001 },
    unknown_credential = { ClientRequest { secret: "wrong".to_owned(), ..valid_request() }, 401, 1001 },
    unknown_service = { ClientRequest { service: "nothing".to_owned(), ..valid_request() }, 404, 1002 },
    unknown_kind = { ClientRequest { kind: "nothing".to_owned(), ..valid_request() }, 404, 1003 },
    body_too_large = { ClientRequest { body: "x".repeat(1_048_577), ..valid_request() }, 413, 1004 },
    deadline_of_zero = { ClientRequest { deadline_ms: Some(0), ..valid_request() }, 400, 1005 },
    deadline_too_long = { ClientRequest { deadline_ms: Some(60_001), ..valid_request() }, 400, 1005 },
    key_missing = { ClientRequest { key: None, ..order_request("k", "input", 1).request }, 400, 1007 },
    key_too_long = { ClientRequest { key: Some("k".repeat(256)), ..order_request("k", "input", 1).request }, 400, 1006 },
    path_too_deep = { ClientRequest { kind: "talk/more".to_owned(), ..valid_request() }, 404, 1009 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn invalid_input_is_refused_with_its_own_code_and_not_run(
    request: ClientRequest,
    status: u16,
    code: u16,
) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;

    // Act
    let response = fleet.get(0, &request).await;

    // Assert
    let problem = response.problem().expect("response is a refusal");
    assert_eq!(
        (response.status, problem.code, problem.outcome.as_str()),
        (status, code, "not_run")
    );
    assert!(!problem.detail.is_empty());
    assert_eq!(fleet.environment.start_count("input"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_infeasible_deadline_is_refused_immediately() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let mut sample_request = engine_request("acme", "gold", "infeasible", 50);
    sample_request.request.deadline_ms = Some(100);

    // Act
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert_eq!(
        (response.code(), response.status),
        (2002, 422),
        "{response:?}"
    );
    assert_eq!(fleet.environment.start_count("infeasible"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_queued_behind_its_own_tier_is_refused_with_retry_after_and_not_run() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let blockers: Vec<_> = (0..2)
        .map(|n| uncancellable_request("acme", "gold", &format!("h{n}"), 400))
        .collect();
    let pending_blockers: Vec<_> = blockers
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    wait_until("both slots are taken", || async {
        fleet.active_requests() == 2
    })
    .await;
    let mut sample_request = engine_request("acme", "gold", "refused", 50);
    sample_request.request.deadline_ms = Some(900);

    // Act
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    let problem = response.problem().expect("response is a refusal");
    assert_eq!(
        (problem.code, problem.outcome.as_str()),
        (2001, "not_run"),
        "{problem:?}"
    );
    assert!(response.retry_after.is_some_and(|s| s >= 1));
    assert_eq!(fleet.environment.start_count("refused"), 0);
    for blocker in pending_blockers {
        assert!(
            blocker
                .await
                .expect("request task does not panic")
                .expect("response is received")
                .is_answer()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_paused_past_the_deadline_reports_not_run_and_runs_nothing() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let blockers: Vec<_> = (0..2)
        .map(|n| uncancellable_request("acme", "gold", &format!("h{n}"), 200))
        .collect();
    let pending_blockers: Vec<_> = blockers
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    wait_until("both slots are taken", || async {
        fleet.active_requests() == 2
    })
    .await;
    let mut sample_request = engine_request("acme", "gold", "paused", 5);
    sample_request.request.deadline_ms = Some(2_500);
    let pending = fleet.spawn_request(0, &sample_request.request);
    let admin_addr = fleet.hosts[0].dispatcher_admin_addr();
    wait_until("the request is queued", || async {
        let shards = common::call_admin(&admin_addr, "GET", "shards").await;
        let queued = |s: &serde_json::Value| s["queued"].as_u64().unwrap_or(0);
        shards
            .as_array()
            .is_some_and(|s| s.iter().map(queued).sum::<u64>() == 1)
    })
    .await;

    // Act
    fleet.gateways[0].freeze().await;
    wait_until("the engines are idle and the deadline is past", || async {
        tokio::time::sleep(std::time::Duration::from_millis(2_600)).await;
        fleet.active_requests() == 0
    })
    .await;
    fleet.gateways[0].send_signal(Signal::SIGCONT);

    // Assert
    let response = pending
        .await
        .expect("request task does not panic")
        .expect("response is received");
    let problem = response.problem().expect("response is a refusal");
    assert_eq!(problem.outcome, "not_run", "{problem:?}");
    assert_eq!(fleet.environment.start_count("paused"), 0);
    for blocker in pending_blockers {
        let _ = blocker.await;
    }
}
