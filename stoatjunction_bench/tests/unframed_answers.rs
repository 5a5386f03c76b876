//! Answers of plain services that have no length and end with their connection, and responses without a valid status.

mod common;

use common::{Fleet, order_request, small_layout};
use stoatjunction_bench::client::ClientResponse;
use stoatjunction_standin::early_upstream::{EarlyAnswer, EarlyEnd, EarlyUpstream};
use stoatjunction_standin::faulty_reply::ConnectionEnd;
use stoatjunction_standin::response_fault::{Kept, ResponseFault};
use stoatjunction_standin::stream_shape::{Framing, event_text};
use yare::parameterized;

/// Name of the plain service.
const SERVICE: &str = "dc1-orders";
/// Id of the last event of a whole body.
const LAST: u64 = 9;
/// Bytes of parts of a body.
const PARTS: [usize; 4] = [0, 1, 60, 179];

/// Sends a request whose run gets this answer.
async fn answered_with(fleet: &Fleet, tag: &str, answer: EarlyAnswer) -> ClientResponse {
    let upstream = EarlyUpstream::start(SERVICE).await.unwrap();
    upstream.set_answer(answer);
    fleet.upstream_proxies[SERVICE].set_target(&upstream.addr().to_string());
    fleet.wait_until_operational().await;
    fleet.get(0, &order_request(tag, tag, 0).request).await
}

fn whole_body() -> String {
    (1..=LAST).map(event_text).collect()
}

/// Guards against a part of an answer that counts as whole since a process that ends closes its connections.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_that_ends_with_its_upstream_never_counts_as_whole() {
    for sent in PARTS {
        let fleet = Fleet::start(small_layout(1, 1, 2)).await;
        let answer = EarlyAnswer {
            sent,
            end: EarlyEnd::Killed,
            ..EarlyAnswer::default()
        };

        let response = answered_with(&fleet, "part", answer).await;

        assert!(!response.is_answer(), "{sent} bytes: {response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_length_that_is_reset_never_counts_as_whole() {
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    for sent in PARTS {
        let part = &whole_body()[..sent];
        fleet.upstream_proxies[SERVICE].set_response_faults(vec![ResponseFault {
            marker: "/v1/run",
            kept: Kept::Bytes(0),
            then: format!("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n{part}"),
            end: ConnectionEnd::Reset,
        }]);
        let tag = format!("part{sent}");

        let response = fleet.get(0, &order_request(&tag, &tag, 0).request).await;

        assert!(!response.is_answer(), "{sent} bytes: {response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_without_length_counts_as_whole() {
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;

    let response = answered_with(&fleet, "whole", EarlyAnswer::default()).await;

    assert!(response.is_answer(), "{response:?}");
    assert_eq!(response.body, whole_body());
}

#[parameterized(
    status_000 = { "HTTP/1.1 000 None" },
    status_099 = { "HTTP/1.1 099 None" },
    status_101 = { "HTTP/1.1 101 Switching Protocols" },
    status_199_only = { "HTTP/1.1 199 Early" },
    status_600 = { "HTTP/1.1 600 None" },
    status_999 = { "HTTP/1.1 999 None" },
    four_digits = { "HTTP/1.1 2000 OK" },
    signed = { "HTTP/1.1 +20 OK" },
    http_1_2 = { "HTTP/1.2 200 OK" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_response_without_a_valid_status_is_no_answer(status_line: &'static str) {
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let answer = EarlyAnswer {
        status_line,
        framing: Framing::Length,
        ..EarlyAnswer::default()
    };

    let response = answered_with(&fleet, "status", answer).await;

    let problem = response.problem().expect("a refusal");
    assert_eq!(problem.outcome, "unknown", "{response:?}");
}
