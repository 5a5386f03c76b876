//! A request that crashes each upstream that runs it takes down two at most.

mod common;

use common::{Fleet, small, talk, until};
use serde_json::json;
use stoatjunction_bench::client::ClientRequest;
use stoatjunction_bench::mix::SampleRequest;

fn poison(tag: &str) -> ClientRequest {
    let body = json!({"prompt": "x", "tag": tag, "max_tokens": 50, "poison": true}).to_string();
    ClientRequest {
        body,
        ..talk("acme", "gold", tag, 50).request
    }
}

fn crashes(fleet: &Fleet) -> u32 {
    fleet
        .world
        .upstreams
        .values()
        .map(|u| u.record().crashes)
        .sum()
}

async fn until_all_up(fleet: &Fleet) {
    fleet.until_meshed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_sent_to_every_entry_host_takes_down_two_upstreams() {
    // Arrange
    let fleet = Fleet::start(small(2, 2, 4)).await;
    let ask = poison("poison");

    // Act
    let mut codes = Vec::new();
    for n in 0..8 {
        codes.push(fleet.get(n % 4, &ask).await.code());
    }

    // Assert
    assert!(
        crashes(&fleet) <= 2,
        "{} crashes, {codes:?}",
        crashes(&fleet)
    );
    assert_eq!(codes.last(), Some(&3004), "{codes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn innocent_requests_beside_it_are_not_quarantined() {
    // Arrange
    let fleet = Fleet::start(small(1, 2, 4)).await;
    let innocents: Vec<SampleRequest> = (0..6)
        .map(|n| talk("bolt", "gold", &format!("innocent{n}"), 80))
        .collect();
    let asked: Vec<_> = innocents.iter().map(|s| fleet.ask(0, &s.request)).collect();
    until("the innocent run", || async { fleet.active() == 6 }).await;

    // Act
    let ask = poison("poison");
    for n in 0..6 {
        let _ = fleet.get(n % 2, &ask).await;
    }
    for asked in asked {
        let _ = asked.await;
    }
    until_all_up(&fleet).await;

    // Assert
    assert!(crashes(&fleet) <= 2, "{} crashes", crashes(&fleet));
    for sample in &innocents {
        let got = fleet.get(1, &sample.request).await;
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_makes_no_suspect_for_long() {
    // Arrange
    let fleet = Fleet::start(small(1, 1, 4)).await;
    let sample = talk("acme", "gold", "cut-twice", 200);

    // Act
    for _ in 0..2 {
        let asked = fleet.ask(0, &sample.request);
        until("it runs", || async { fleet.active() == 1 }).await;
        fleet
            .upstream_proxies
            .values()
            .for_each(|p| p.set_fault(stoatjunction_standin::proxy::Fault::Cut));
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(!got.is_answer());
        fleet
            .upstream_proxies
            .values()
            .for_each(|p| p.set_fault(stoatjunction_standin::proxy::Fault::None));
        until("nothing runs", || async { fleet.active() == 0 }).await;
        until_all_up(&fleet).await;
    }
    let got = fleet.get(0, &sample.request).await;

    // Assert
    assert!(sample.is_answered_by(&got), "{got:?}");
}
