//! A request that crashes each upstream that runs it takes down two at most.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use serde_json::json;
use stoatjunction_bench::client::Ask;
use stoatjunction_bench::mix::Sample;

fn poison(tag: &str) -> Ask {
    let body = json!({"prompt": "x", "tag": tag, "max_tokens": 50, "poison": true}).to_string();
    Ask {
        body,
        ..engine_request("acme", "gold", tag, 50).ask
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
    fleet.wait_until_operational().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_sent_to_every_entry_host_takes_down_two_upstreams() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 4)).await;
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
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let innocents: Vec<Sample> = (0..6)
        .map(|n| engine_request("bolt", "gold", &format!("innocent{n}"), 80))
        .collect();
    let asked: Vec<_> = innocents
        .iter()
        .map(|s| fleet.spawn_request(0, &s.ask))
        .collect();
    wait_until("the innocent run", || async {
        fleet.active_requests() == 6
    })
    .await;

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
        let got = fleet.get(1, &sample.ask).await;
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_makes_no_suspect_for_long() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 4)).await;
    let sample = engine_request("acme", "gold", "cut-twice", 200);

    // Act
    for _ in 0..2 {
        let asked = fleet.spawn_request(0, &sample.ask);
        wait_until("it runs", || async { fleet.active_requests() == 1 }).await;
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
        wait_until("nothing runs", || async { fleet.active_requests() == 0 }).await;
        until_all_up(&fleet).await;
    }
    let got = fleet.get(0, &sample.ask).await;

    // Assert
    assert!(sample.is_answered_by(&got), "{got:?}");
}
