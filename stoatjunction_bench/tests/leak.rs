//! What a gateway holds does not grow with the requests it has answered.

mod common;

use common::{Daemon, Fleet, small, talk, until};

fn open_files(daemon: &Daemon) -> usize {
    let dir = std::fs::read_dir(format!("/proc/{}/fd", daemon.pid()));
    dir.map_or(0, |d| d.count())
}

#[tokio::test(flavor = "multi_thread")]
async fn no_connection_stays_open_after_its_answer() {
    // Arrange
    let fleet = Fleet::start(small(1, 1, 64)).await;
    let before = open_files(&fleet.gateways[0]);

    // Act
    for round in 0..10 {
        let samples: Vec<_> = (0..30)
            .map(|n| talk("acme", "gold", &format!("l{round}-{n}"), 2))
            .collect();
        let asked: Vec<_> = samples.iter().map(|s| fleet.ask(0, &s.request)).collect();
        for (sample, asked) in samples.iter().zip(asked) {
            let got = asked.await.expect("caller runs").expect("a response comes");
            assert!(sample.is_answered_by(&got), "{got:?}");
        }
    }

    // Assert
    until("only the links are open", || async {
        open_files(&fleet.gateways[0]) <= before + 2
    })
    .await;
}
