//! Every planned stop is graceful: it cuts off no request in progress.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_bench::client::{Got, send};
use stoatjunction_bench::fleet::wait_ready;
use stoatjunction_bench::mix::Sample;
use stoatjunction_net::http::{call, full};
use tokio::task::JoinHandle;
use yare::parameterized;

/// A balancer's view: sends to hosts whose readiness check passed within the last 100 ms.
async fn send_by_balancer(hosts: &[String], n: usize, sample: &Sample) -> std::io::Result<Got> {
    for k in 0..hosts.len() {
        let host = &hosts[(n + k) % hosts.len()];
        let req = hyper::Request::get("/readyz")
            .header("host", host)
            .body(full(""));
        let req = req.expect("request is well formed");
        let ready = call(host, req, Duration::from_secs(1)).await;
        if ready.is_ok_and(|r| r.status().is_success()) {
            return send(host, &sample.ask).await;
        }
    }
    Err(std::io::Error::other("no host is ready"))
}

type Load = JoinHandle<Vec<(Sample, std::io::Result<Got>)>>;

fn steady_load(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Load {
    let hosts: Vec<String> = fleet.hosts.iter().map(|h| h.gateway()).collect();
    let stop = stop.clone();
    tokio::spawn(async move {
        let mut sent = Vec::new();
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let sample = engine_request("acme", "gold", &format!("r{n}"), 5 + (n as u32 % 40));
            let hosts = hosts.clone();
            sent.push(tokio::spawn(async move {
                let got = send_by_balancer(&hosts, n, &sample).await;
                (sample, got)
            }));
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        let mut results = Vec::new();
        for s in sent {
            results.push(s.await.expect("caller runs"));
        }
        results
    })
}

fn assert_all_answered(results: Vec<(Sample, std::io::Result<Got>)>) {
    assert!(!results.is_empty());
    for (sample, got) in results {
        let got = got.expect("a response comes");
        assert!(sample.is_answered_by(&got), "{}: {got:?}", sample.tag);
    }
}

#[parameterized(
    gateway = { true },
    dispatcher = { false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_stop_under_load_cuts_nothing(gateway: bool) {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let stop = Arc::new(AtomicBool::new(false));
    let long: Vec<_> = (0..4)
        .map(|n| engine_request("acme", "gold", &format!("long{n}"), 200))
        .collect();
    let asked: Vec<_> = long
        .iter()
        .map(|s| fleet.spawn_request(owner, &s.ask))
        .collect();
    let queue: Vec<_> = (0..12)
        .map(|n| engine_request("bolt", "gold", &format!("q{n}"), 40))
        .collect();
    let queued: Vec<_> = queue
        .iter()
        .map(|s| fleet.spawn_request(owner, &s.ask))
        .collect();
    wait_until("the engines are full", || async {
        fleet.active_requests() == 8
    })
    .await;
    let load = steady_load(&fleet, &stop);

    // Act
    let daemon = if gateway {
        &mut fleet.gateways[owner]
    } else {
        &mut fleet.dispatchers[owner]
    };
    daemon.signal(Signal::SIGTERM);
    let code = daemon.wait_exit().await;
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert_eq!(code, 0);
    for (sample, asked) in long
        .iter()
        .chain(&queue)
        .zip(asked.into_iter().chain(queued))
    {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{}: {got:?}", sample.tag);
    }
    assert_all_answered(load.await.expect("load runs"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_entry_hosts_fails_no_request() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(2, 2, 6)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = steady_load(&fleet, &stop);

    // Act
    for i in 0..fleet.hosts.len() {
        fleet.gateways[i].signal(Signal::SIGTERM);
        assert_eq!(fleet.gateways[i].wait_exit().await, 0);
        fleet.dispatchers[i].signal(Signal::SIGTERM);
        assert_eq!(fleet.dispatchers[i].wait_exit().await, 0);
        fleet.dispatchers[i].respawn();
        fleet.gateways[i].respawn();
        wait_ready(&fleet.hosts[i].gateway())
            .await
            .expect("it comes back");
        fleet.wait_until_operational().await;
    }
    stop.store(true, Ordering::Relaxed);

    // Assert
    assert_all_answered(load.await.expect("load runs"));
}
