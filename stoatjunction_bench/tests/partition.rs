//! Data centres isolated from each other and from the platform keep serving with their own upstreams.

mod common;

use std::time::Duration;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_standin::proxy::Fault;

/// Required bound on the delay that an unreachable peer causes to a request: the link timeout of 1 s and
/// one heartbeat interval of 250 ms on either side.
const HEARTBEAT_BOUND: Duration = Duration::from_millis(1_500);

#[tokio::test(flavor = "multi_thread")]
async fn isolated_data_centres_keep_serving() {
    // Arrange
    let fleet = Fleet::start(small_layout(3, 1, 2)).await;

    // Act
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::Cut);
    Fleet::set_fault_for_all(&fleet.platform_proxies, Fault::Cut);
    let sample_requests: Vec<_> = (0..9)
        .map(|n| engine_request("acme", "gold", &format!("p{n}"), 20))
        .collect();
    let pending: Vec<_> = sample_requests
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 3, &s.request))
        .collect();

    // Assert
    for (sample_request, pending) in sample_requests.iter().zip(pending) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(sample_request.is_answered_by(&response), "{response:?}");
        assert_eq!(fleet.environment.start_count(&sample_request.tag), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_data_centre_uses_free_slots_of_another() {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 1, 1)).await;
    let sample_requests: Vec<_> = (0..4)
        .map(|n| engine_request("acme", "gold", &format!("s{n}"), 150))
        .collect();

    // Act
    let pending: Vec<_> = sample_requests
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    let remote_admin_addr = fleet.hosts[1].dispatcher_admin_addr();
    wait_until("the other data centre grants a slot", || {
        fleet.has_event(&remote_admin_addr, "granted")
    })
    .await;

    // Assert
    for (sample_request, pending) in sample_requests.iter().zip(pending) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(sample_request.is_answered_by(&response), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_dispatcher_delays_a_request_by_no_more_than_the_heartbeat_bound() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let sample_request = engine_request("acme", "gold", "frozen", 5);
    let baseline = fleet
        .get(
            1 - owner,
            &engine_request("acme", "gold", "before", 5).request,
        )
        .await;

    // Act
    fleet.dispatchers[owner].freeze().await;
    let response = fleet.get(1 - owner, &sample_request.request).await;
    fleet.dispatchers[owner].send_signal(Signal::SIGCONT);

    // Assert
    assert!(sample_request.is_answered_by(&response), "{response:?}");
    let delay = response
        .time_to_first_byte
        .saturating_sub(baseline.time_to_first_byte);
    assert!(delay < HEARTBEAT_BOUND, "{delay:?}");
}
