//! Requests through the gateway and dispatcher processes to the upstreams, without faults.

mod common;

use common::{Fleet, engine_request, small_layout};
use stoatjunction_bench::layout::{Layout, andina, hollinshead};
use stoatjunction_bench::mix::draw_sample_request;
use yare::parameterized;

#[parameterized(
    cooperative = { andina() },
    repair_shop = { hollinshead() },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn every_request_of_the_mix_gets_its_own_complete_answer(layout: Layout) {
    // Arrange
    let fleet = Fleet::start(layout).await;
    let mut rng = fastrand::Rng::with_seed(7);
    let sample_requests: Vec<_> = (0..80)
        .map(|n| draw_sample_request(&fleet.environment.layout, &mut rng, n))
        .collect();

    // Act
    let pending: Vec<_> = sample_requests
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % fleet.hosts.len(), &s.request))
        .collect();

    // Assert
    for (sample_request, pending) in sample_requests.iter().zip(pending) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(
            sample_request.is_answered_by(&response),
            "{}: {response:?}",
            sample_request.tag
        );
        assert_eq!(
            fleet.environment.start_count(&sample_request.tag),
            1,
            "{}",
            sample_request.tag
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_streamed_while_it_is_generated() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 4)).await;
    let sample_request = engine_request("acme", "gold", "streamed", 100);

    // Act
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert!(sample_request.is_answered_by(&response), "{response:?}");
    assert!(
        response.time_to_first_byte * 2 < response.total_time,
        "first byte after {:?} of {:?}",
        response.time_to_first_byte,
        response.total_time
    );
}
