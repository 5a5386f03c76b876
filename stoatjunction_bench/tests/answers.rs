//! Every caller gets the whole answer to its own request.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use stoatjunction_standin::engine::ChunkFault;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

#[parameterized(
    chunks_twice = { ChunkFault::Duplicated },
    chunks_swapped = { ChunkFault::Swapped },
    chunks_of_another_request = { ChunkFault::Foreign },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn disordered_chunks_make_the_right_answers(chunk_fault: ChunkFault) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 8)).await;
    fleet.engine("dc1-a").set_chunk_fault(chunk_fault);
    fleet.engine("dc1-b").set_chunk_fault(chunk_fault);
    let samples: Vec<_> = (0..12)
        .map(|n| engine_request("acme", "gold", &format!("d{n}"), 40))
        .collect();

    // Act
    let asked: Vec<_> = samples
        .iter()
        .map(|s| fleet.spawn_request(0, &s.ask))
        .collect();

    // Assert
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
}

#[parameterized(
    before_the_first_token = { 0 },
    in_the_midst = { 5 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stream_gone_silent_for_good_is_resumed(finished_before: usize) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 8)).await;
    let early: Vec<_> = (0..finished_before)
        .map(|n| engine_request("acme", "gold", &format!("e{n}"), 5))
        .collect();
    let samples: Vec<_> = (0..6)
        .map(|n| engine_request("acme", "gold", &format!("s{n}"), 150))
        .collect();
    let asked: Vec<_> = samples
        .iter()
        .map(|s| fleet.spawn_request(0, &s.ask))
        .collect();
    for sample in &early {
        assert!(sample.is_answered_by(&fleet.get(0, &sample.ask).await));
    }
    wait_until("all run", || async { fleet.active_requests() == 6 }).await;

    // Act
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::FreezeExisting));

    // Assert
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
        assert_eq!(fleet.world.starts_of(&sample.tag), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_engine_still_gives_whole_answers() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    fleet.engine("dc1-a").set_slowdown(20.0);
    fleet.engine("dc1-b").set_slowdown(20.0);
    let samples: Vec<_> = (0..3)
        .map(|n| engine_request("acme", "gold", &format!("w{n}"), 12))
        .collect();

    // Act
    let asked: Vec<_> = samples
        .iter()
        .map(|s| fleet.spawn_request(0, &s.ask))
        .collect();

    // Assert
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_cannot_be_completed_breaks_visibly() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let sample = engine_request("acme", "gold", "broken", 300);
    let asked = fleet.spawn_request(0, &sample.ask);
    wait_until("some of the answer is out", || async {
        fleet.active_requests() == 1
            && fleet
                .has_event(&fleet.hosts[0].dispatcher_admin(), "granted")
                .await
    })
    .await;

    // Act
    for name in ["dc1-a", "dc1-b"] {
        fleet.engine(name).crash(std::time::Duration::from_secs(5));
    }

    // Assert
    match asked.await.expect("caller runs") {
        Ok(got) => assert!(!got.is_answer(), "{got:?}"),
        Err(_) => panic!("a response comes"),
    }
}
