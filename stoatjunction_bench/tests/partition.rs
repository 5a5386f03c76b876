//! Data centres cut off from each other and from the platform go on serving what they can.

mod common;

use std::time::Duration;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_standin::proxy::Fault;

/// The stated bound by which a silent peer may delay a request: the link's timeout of 1 s and one
/// heartbeat of 250 ms on either side.
const HEARTBEAT_BOUND: Duration = Duration::from_millis(1_500);

#[tokio::test(flavor = "multi_thread")]
async fn data_centres_cut_off_from_all_serve_on() {
    // Arrange
    let fleet = Fleet::start(small_layout(3, 1, 2)).await;

    // Act
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::Cut);
    Fleet::set_fault_for_all(&fleet.platform_proxies, Fault::Cut);
    let samples: Vec<_> = (0..9)
        .map(|n| engine_request("acme", "gold", &format!("p{n}"), 20))
        .collect();
    let asked: Vec<_> = samples
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 3, &s.ask))
        .collect();

    // Assert
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
        assert_eq!(fleet.world.starts_of(&sample.tag), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_data_centre_uses_free_slots_of_another() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 1, 1)).await;
    let samples: Vec<_> = (0..4)
        .map(|n| engine_request("acme", "gold", &format!("s{n}"), 150))
        .collect();

    // Act
    let asked: Vec<_> = samples
        .iter()
        .map(|s| fleet.spawn_request(0, &s.ask))
        .collect();
    let second = fleet.hosts[1].dispatcher_admin();
    wait_until("the other data centre is asked", || {
        fleet.has_event(&second, "granted")
    })
    .await;

    // Assert
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_dispatcher_delays_a_request_by_no_more_than_the_heartbeat_bound() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let sample = engine_request("acme", "gold", "frozen", 5);
    let undisturbed = fleet
        .get(1 - owner, &engine_request("acme", "gold", "before", 5).ask)
        .await;

    // Act
    fleet.dispatchers[owner].signal(Signal::SIGSTOP);
    let got = fleet.get(1 - owner, &sample.ask).await;
    fleet.dispatchers[owner].signal(Signal::SIGCONT);

    // Assert
    assert!(sample.is_answered_by(&got), "{got:?}");
    let delay = got.first.saturating_sub(undisturbed.first);
    assert!(delay < HEARTBEAT_BOUND, "{delay:?}");
}
