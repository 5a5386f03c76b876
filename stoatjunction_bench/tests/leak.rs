//! What a gateway holds does not grow with the requests it has answered.

mod common;

use common::{Daemon, Fleet, engine_request, small_layout, wait_until};

fn open_files(daemon: &Daemon) -> usize {
    let dir = std::fs::read_dir(format!("/proc/{}/fd", daemon.pid()));
    dir.map_or(0, |d| d.count())
}

#[tokio::test(flavor = "multi_thread")]
async fn no_connection_stays_open_after_its_answer() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 64)).await;
    let before = open_files(&fleet.gateways[0]);

    // Act
    for round in 0..10 {
        let samples: Vec<_> = (0..30)
            .map(|n| engine_request("acme", "gold", &format!("l{round}-{n}"), 2))
            .collect();
        let asked: Vec<_> = samples
            .iter()
            .map(|s| fleet.spawn_request(0, &s.ask))
            .collect();
        for (sample, asked) in samples.iter().zip(asked) {
            let got = asked.await.expect("caller runs").expect("a response comes");
            assert!(sample.is_answered_by(&got), "{got:?}");
        }
    }

    // Assert
    wait_until("only the links are open", || async {
        open_files(&fleet.gateways[0]) <= before + 2
    })
    .await;
}
