//! A daemon that is stopped by SIGTERM completes its running and queued requests.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_bench::client::{ClientResponse, send};
use stoatjunction_bench::fleet::wait_ready;
use stoatjunction_bench::mix::SampleRequest;
use stoatjunction_net::http::{call, full};
use tokio::task::JoinHandle;
use yare::parameterized;

/// Sends like a load balancer whose readiness checks are at most 100 ms old: to the first host, counted
/// from `n`, that is ready.
async fn send_to_first_ready_host(
    hosts: &[String],
    n: usize,
    sample_request: &SampleRequest,
) -> std::io::Result<ClientResponse> {
    for k in 0..hosts.len() {
        let host = &hosts[(n + k) % hosts.len()];
        let req = hyper::Request::get("/readyz")
            .header("host", host)
            .body(full(""));
        let req = req.expect("request is well formed");
        let ready = call(host, req, Duration::from_secs(1)).await;
        if ready.is_ok_and(|r| r.status().is_success()) {
            return send(host, &sample_request.request).await;
        }
    }
    Err(std::io::Error::other("no host is ready"))
}

type LoadTask = JoinHandle<Vec<(SampleRequest, std::io::Result<ClientResponse>)>>;

fn spawn_steady_load(fleet: &Fleet, stop: &Arc<AtomicBool>) -> LoadTask {
    let hosts: Vec<String> = fleet.hosts.iter().map(|h| h.gateway_addr()).collect();
    let stop = stop.clone();
    tokio::spawn(async move {
        let mut sent = Vec::new();
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let sample_request =
                engine_request("acme", "gold", &format!("r{n}"), 5 + (n as u32 % 40));
            let hosts = hosts.clone();
            sent.push(tokio::spawn(async move {
                let response = send_to_first_ready_host(&hosts, n, &sample_request).await;
                (sample_request, response)
            }));
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        let mut results = Vec::new();
        for s in sent {
            results.push(s.await.expect("request task does not panic"));
        }
        results
    })
}

fn assert_all_answered(results: Vec<(SampleRequest, std::io::Result<ClientResponse>)>) {
    assert!(!results.is_empty());
    for (sample_request, response) in results {
        let response = response.expect("response is received");
        assert!(
            sample_request.is_answered_by(&response),
            "{}: {response:?}",
            sample_request.tag
        );
    }
}

#[parameterized(
    gateway = { true },
    dispatcher = { false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_graceful_stop_under_load_completes_all_requests(is_gateway: bool) {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let stop = Arc::new(AtomicBool::new(false));
    let long_sample_requests: Vec<_> = (0..4)
        .map(|n| engine_request("acme", "gold", &format!("long{n}"), 200))
        .collect();
    let pending_long: Vec<_> = long_sample_requests
        .iter()
        .map(|s| fleet.spawn_request(owner, &s.request))
        .collect();
    let queued_sample_requests: Vec<_> = (0..12)
        .map(|n| engine_request("bolt", "gold", &format!("q{n}"), 40))
        .collect();
    let pending_queued: Vec<_> = queued_sample_requests
        .iter()
        .map(|s| fleet.spawn_request(owner, &s.request))
        .collect();
    wait_until("the engines are full", || async {
        fleet.active_requests() == 8
    })
    .await;
    let load = spawn_steady_load(&fleet, &stop);

    // Act
    let daemon = if is_gateway {
        &mut fleet.gateways[owner]
    } else {
        &mut fleet.dispatchers[owner]
    };
    daemon.send_signal(Signal::SIGTERM);
    let code = daemon.wait_exit().await;
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert_eq!(code, 0);
    for (sample_request, pending) in long_sample_requests
        .iter()
        .chain(&queued_sample_requests)
        .zip(pending_long.into_iter().chain(pending_queued))
    {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(
            sample_request.is_answered_by(&response),
            "{}: {response:?}",
            sample_request.tag
        );
    }
    assert_all_answered(load.await.expect("load task does not panic"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_entry_hosts_fails_no_request() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(2, 2, 6)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = spawn_steady_load(&fleet, &stop);

    // Act
    for i in 0..fleet.hosts.len() {
        fleet.gateways[i].send_signal(Signal::SIGTERM);
        assert_eq!(fleet.gateways[i].wait_exit().await, 0);
        fleet.dispatchers[i].send_signal(Signal::SIGTERM);
        assert_eq!(fleet.dispatchers[i].wait_exit().await, 0);
        fleet.dispatchers[i].respawn();
        fleet.gateways[i].respawn();
        wait_ready(&fleet.hosts[i].gateway_addr())
            .await
            .expect("gateway becomes ready again");
        fleet.wait_until_operational().await;
    }
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert_all_answered(load.await.expect("load task does not panic"));
}
