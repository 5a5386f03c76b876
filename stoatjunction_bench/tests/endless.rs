//! Bytes without end from upstreams: the memory of gateways stays bounded, and callers get true answers.

mod common;

use std::time::Duration;

use common::{Fleet, engine_request, order_request, small_layout};
use stoatjunction_bench::mix::SampleRequest;
use stoatjunction_net::http::{call, full};
use stoatjunction_standin::faulty_reply::ConnectionEnd;
use stoatjunction_standin::response_fault::{Kept, ResponseFault};
use yare::parameterized;

/// Bytes that stand for those without end.
const MANY_BYTES: usize = 128 << 20;
/// Memory that a gateway may take for them, in kilobytes.
const MAX_GROWTH_KB: u64 = 30_000;
const CHUNKS: &str = "Content-Type: application/x-ndjson\r\n";
const TEXT: &str = "Content-Type: text/plain\r\n";

/// Answers all requests of a kind with a response that begins so and goes on with many bytes.
fn inject(fleet: &Fleet, marker: &'static str, beginning: &str, repeated: &str) {
    let repeated = repeated.repeat(MANY_BYTES / repeated.len());
    let fault = ResponseFault {
        marker,
        kept: Kept::Bytes(0),
        then: format!("HTTP/1.1 200 OK\r\n{beginning}{repeated}"),
        end: ConnectionEnd::Closed,
    };
    let proxies = fleet.upstream_proxies.values();
    proxies.for_each(|p| p.set_response_faults(vec![fault.clone()]));
}

/// Returns the most resident memory of a process so far in kilobytes.
fn peak_kb(pid: u32) -> u64 {
    let path = format!("/proc/{pid}/status");
    let text = std::fs::read_to_string(path).expect("the process runs");
    let line = text.lines().find(|l| l.starts_with("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("the memory is a number")
}

/// Guards against a gateway that keeps what an upstream sends until its memory is used up.
#[parameterized(
    line_of_an_engine = { engine_request("acme", "gold", "line", 20), CHUNKS, "\r\n", "x" },
    lines_of_an_engine = { engine_request("acme", "gold", "lines", 20), CHUNKS, "\r\n", "x\n" },
    head_of_an_engine = { engine_request("acme", "gold", "head", 20), CHUNKS, "", "X-More: 0123456789abcdef\r\n" },
    body_of_a_plain_service = { order_request("k1", "body", 10), TEXT, "\r\n", "x" },
    head_of_a_plain_service = { order_request("k2", "head", 10), TEXT, "", "X-More: 0123456789abcdef\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_upstream_that_sends_without_end_does_not_fill_a_gateway(
    sample_request: SampleRequest,
    headers: &str,
    head_end: &str,
    repeated: &str,
) {
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    inject(&fleet, "/v1/run", &format!("{headers}{head_end}"), repeated);
    let mut request = sample_request.request.clone();
    request.deadline_ms = Some(10_000);
    let before = peak_kb(fleet.gateways[0].pid());

    let response = fleet.get(0, &request).await;

    let growth = peak_kb(fleet.gateways[0].pid()) - before;
    assert!(growth < MAX_GROWTH_KB, "{growth} kB");
    // The answer of an engine is taken up on another connection.
    let is_of_engine = headers == CHUNKS;
    assert!(
        !is_of_engine || sample_request.is_answered_by(&response),
        "{response:?}"
    );
}

/// Guards against a call whose response is kept until memory is used up.
#[tokio::test]
async fn a_call_refuses_a_response_without_end() {
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    inject(&fleet, "/endless", "\r\n", "x");
    let proxy = fleet.upstream_proxies.values().next();
    let addr = proxy.expect("there is an upstream").addr.to_string();
    let req = hyper::Request::get("/endless").header("host", &addr);
    let req = req.body(full("")).expect("request is valid");

    let response = call(&addr, req, Duration::from_secs(5)).await;

    assert!(response.is_err());
}
