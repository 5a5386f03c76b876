//! Every caller gets the complete answer to its own request, or a visible failure.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use stoatjunction_standin::engine::ChunkFault;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

#[parameterized(
    duplicated_chunks = { ChunkFault::Duplicated },
    swapped_chunks = { ChunkFault::Swapped },
    chunks_of_another_request = { ChunkFault::Foreign },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn faulty_chunks_yield_correct_answers(chunk_fault: ChunkFault) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 8)).await;
    fleet.engine("dc1-a").set_chunk_fault(chunk_fault);
    fleet.engine("dc1-b").set_chunk_fault(chunk_fault);
    let sample_requests: Vec<_> = (0..12)
        .map(|n| engine_request("acme", "gold", &format!("d{n}"), 40))
        .collect();

    // Act
    let pending: Vec<_> = sample_requests
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();

    // Assert
    for (sample_request, pending) in sample_requests.iter().zip(pending) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(sample_request.is_answered_by(&response), "{response:?}");
    }
}

#[parameterized(
    no_request_finished_before = { 0 },
    five_requests_finished_before = { 5 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_permanently_stalled_stream_is_resumed(finished_before: usize) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 8)).await;
    let early: Vec<_> = (0..finished_before)
        .map(|n| engine_request("acme", "gold", &format!("e{n}"), 5))
        .collect();
    let sample_requests: Vec<_> = (0..6)
        .map(|n| engine_request("acme", "gold", &format!("s{n}"), 150))
        .collect();
    let pending: Vec<_> = sample_requests
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();
    for sample_request in &early {
        assert!(sample_request.is_answered_by(&fleet.get(0, &sample_request.request).await));
    }
    wait_until("all requests run", || async {
        fleet.active_requests() == 6
    })
    .await;

    // Act
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::FreezeExisting));

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
async fn a_slow_engine_gives_complete_answers() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    fleet.engine("dc1-a").set_slowdown(20.0);
    fleet.engine("dc1-b").set_slowdown(20.0);
    let sample_requests: Vec<_> = (0..3)
        .map(|n| engine_request("acme", "gold", &format!("w{n}"), 12))
        .collect();

    // Act
    let pending: Vec<_> = sample_requests
        .iter()
        .map(|s| fleet.spawn_request(0, &s.request))
        .collect();

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
async fn an_answer_that_cannot_be_completed_fails_visibly() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let sample_request = engine_request("acme", "gold", "broken", 300);
    let pending = fleet.spawn_request(0, &sample_request.request);
    wait_until("the request is granted and runs", || async {
        fleet.active_requests() == 1
            && fleet
                .has_event(&fleet.hosts[0].dispatcher_admin_addr(), "granted")
                .await
    })
    .await;

    // Act
    for name in ["dc1-a", "dc1-b"] {
        fleet.engine(name).crash(std::time::Duration::from_secs(5));
    }

    // Assert
    match pending.await.expect("request task does not panic") {
        Ok(response) => assert!(!response.is_answer(), "{response:?}"),
        Err(_) => panic!("no response was received"),
    }
}
