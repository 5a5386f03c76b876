//! The number of open file descriptors of a gateway does not grow with the requests it has answered.

mod common;

use common::{Daemon, Fleet, engine_request, small_layout, wait_until};

fn open_descriptors(daemon: &Daemon) -> usize {
    let dir = std::fs::read_dir(format!("/proc/{}/fd", daemon.pid()));
    dir.map_or(0, |d| d.count())
}

#[tokio::test(flavor = "multi_thread")]
async fn no_connection_stays_open_after_its_answer() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 64)).await;
    let before = open_descriptors(&fleet.gateways[0]);

    // Act
    for round in 0..10 {
        let sample_requests: Vec<_> = (0..30)
            .map(|n| engine_request("acme", "gold", &format!("l{round}-{n}"), 2))
            .collect();
        let pending: Vec<_> = sample_requests
            .iter()
            .map(|s| fleet.spawn_request(0, &s.request))
            .collect();
        for (sample_request, pending) in sample_requests.iter().zip(pending) {
            let response = pending
                .await
                .expect("request task does not panic")
                .expect("response is received");
            assert!(sample_request.is_answered_by(&response), "{response:?}");
        }
    }

    // Assert
    wait_until(
        "at most two more descriptors are open than before",
        || async { open_descriptors(&fleet.gateways[0]) <= before + 2 },
    )
    .await;
}
