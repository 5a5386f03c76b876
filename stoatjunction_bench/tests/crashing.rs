//! A poison request, which crashes every upstream that runs it, crashes at most two.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use serde_json::json;
use stoatjunction_bench::client::ClientRequest;
use stoatjunction_bench::mix::SampleRequest;

fn poison_request(tag: &str) -> ClientRequest {
    let body = json!({"prompt": "x", "tag": tag, "max_tokens": 50, "poison": true}).to_string();
    ClientRequest {
        body,
        ..engine_request("acme", "gold", tag, 50).request
    }
}

fn total_crashes(fleet: &Fleet) -> u32 {
    fleet
        .environment
        .upstreams
        .values()
        .map(|u| u.record().crashes)
        .sum()
}

async fn wait_until_all_up(fleet: &Fleet) {
    fleet.wait_until_operational().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_sent_to_all_entry_hosts_crashes_at_most_two_upstreams() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 4)).await;
    let request = poison_request("poison");

    // Act
    let mut codes = Vec::new();
    for n in 0..8 {
        codes.push(fleet.get(n % 4, &request).await.code());
    }

    // Assert
    assert!(
        total_crashes(&fleet) <= 2,
        "{} crashes, {codes:?}",
        total_crashes(&fleet)
    );
    assert_eq!(codes.last(), Some(&3004), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_running_beside_a_poison_request_are_not_quarantined() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let bystanders: Vec<SampleRequest> = (0..6)
        .map(|n| engine_request("bolt", "gold", &format!("innocent{n}"), 80))
        .collect();
    let pending: Vec<_> = bystanders
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    wait_until("the other requests run", || async {
        fleet.active_requests() == 6
    })
    .await;

    // Act
    let request = poison_request("poison");
    for n in 0..6 {
        let _ = fleet.get(n % 2, &request).await;
    }
    for pending in pending {
        let _ = pending.await;
    }
    wait_until_all_up(&fleet).await;

    // Assert
    assert!(
        total_crashes(&fleet) <= 2,
        "{} crashes",
        total_crashes(&fleet)
    );
    for sample_request in &bystanders {
        let response = fleet.get(1, &sample_request.request).await;
        assert!(sample_request.is_answered_by(&response), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_connection_was_cut_is_not_quarantined() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 4)).await;
    let sample_request = engine_request("acme", "gold", "cut-twice", 200);

    // Act
    for _ in 0..2 {
        let pending = fleet.spawn_request(0, &sample_request.request);
        wait_until("the request runs", || async {
            fleet.active_requests() == 1
        })
        .await;
        fleet
            .upstream_proxies
            .values()
            .for_each(|p| p.set_fault(stoatjunction_standin::proxy::Fault::Cut));
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(!response.is_answer());
        fleet
            .upstream_proxies
            .values()
            .for_each(|p| p.set_fault(stoatjunction_standin::proxy::Fault::None));
        wait_until("no request is active", || async {
            fleet.active_requests() == 0
        })
        .await;
        wait_until_all_up(&fleet).await;
    }
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert!(sample_request.is_answered_by(&response), "{response:?}");
}
