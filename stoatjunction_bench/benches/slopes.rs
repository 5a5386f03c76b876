//! Measures the latency that a gateway adds to a direct request, and the cost per request, peer and
//! organisation on which docs/CAPACITY.md is based: CPU time, memory and control traffic of real
//! daemon processes. Build the daemons first: `cargo build --release --workspace`. The argument
//! `latency` or `organisations` runs only that part.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Daemon, Fleet, call_admin, engine_request, small_layout};
use hdrhistogram::Histogram;
use hyper::Request;
use stoatjunction_net::http::{connect, full};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Number of requests in a latency measurement.
const LATENCY_REQUESTS: usize = 400;
/// Time over which the resource usage of idle daemons is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(8);
/// Number of organisations in the large bundle.
const ORGANISATIONS: usize = 26_000;

#[derive(Clone, Copy, Debug, Default)]
struct ResourceUsage {
    cpu_s: f64,
    rss_mb: f64,
    sent_bytes: f64,
    received_bytes: f64,
}

async fn daemon_usage(daemon: &Daemon, addr: &str) -> ResourceUsage {
    let pid = daemon.pid();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let tick = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let rss = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .and_then(|l| l.split_whitespace().nth(1));
    let status_report = call_admin(addr, "GET", "status").await;
    let bytes = |key: &str| status_report["control"][key].as_f64().unwrap_or(0.0);
    ResourceUsage {
        cpu_s: (tick(11) + tick(12)) / TICKS_PER_S,
        rss_mb: rss.and_then(|r| r.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0,
        sent_bytes: bytes("sent_bytes"),
        received_bytes: bytes("received_bytes"),
    }
}

async fn host_usage(fleet: &Fleet) -> (ResourceUsage, ResourceUsage) {
    let host = &fleet.hosts[0];
    let gateway = daemon_usage(&fleet.gateways[0], &host.gateway_admin_addr()).await;
    (
        gateway,
        daemon_usage(&fleet.dispatchers[0], &host.dispatcher_admin_addr()).await,
    )
}

async fn time_direct_request(addr: &str, body: &str, id: usize) -> Duration {
    let started_at = Instant::now();
    let req = Request::post("/v1/run")
        .header("host", addr)
        .header("x-request-id", format!("direct-{id}"))
        .body(full(body.to_owned()))
        .expect("request is valid");
    let mut sender = connect(addr, Duration::from_secs(1))
        .await
        .expect("engine accepts the connection");
    let res = sender.send_request(req).await.expect("engine answers");
    let _ = http_body_util::BodyExt::collect(res.into_body()).await;
    started_at.elapsed()
}

async fn measure_latency(fleet: &Fleet) {
    let addr = fleet.upstream_proxies["dc1-a"].addr.to_string();
    let mut direct =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are valid");
    let mut via_gateway =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("histogram bounds are valid");
    for n in 0..LATENCY_REQUESTS {
        let sample_request = engine_request("acme", "gold", &format!("lat{n}"), 2);
        direct.saturating_record(
            time_direct_request(&addr, &sample_request.request.body, n)
                .await
                .as_micros() as u64,
        );
        let response = fleet.get(n % 2, &sample_request.request).await;
        assert!(response.is_answer(), "{response:?}");
        via_gateway.saturating_record(response.total_time.as_micros() as u64);
    }
    println!("added latency, {LATENCY_REQUESTS} sequential requests each, same kind of engine:");
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let (a, b) = (
            direct.value_at_quantile(q),
            via_gateway.value_at_quantile(q),
        );
        println!(
            "  {name}: direct {a} us, through gateway {b} us, added {} us",
            b as i64 - a as i64
        );
    }
}

async fn measure_per_request(fleet: &Fleet, rate: u64, secs: u64) {
    let before = host_usage(fleet).await;
    let mut interval = tokio::time::interval(Duration::from_micros(1_000_000 / rate));
    let count = rate * secs;
    let mut pending = Vec::new();
    for n in 0..count {
        interval.tick().await;
        let sample_request = engine_request("acme", "gold", &format!("load{n}"), 2);
        pending.push(fleet.spawn_request(0, &sample_request.request));
    }
    let mut whole = 0;
    for pending in pending {
        whole += u64::from(pending.await.is_ok_and(|r| r.is_ok_and(|r| r.is_answer())));
    }
    let after = host_usage(fleet).await;
    println!(
        "per request at {rate}/s to one gateway, {whole} of {count} answered completely (both hosts' shards):"
    );
    for (name, b, a) in [
        ("gateway", before.0, after.0),
        ("dispatcher", before.1, after.1),
    ] {
        let n = count as f64;
        println!(
            "  {name}: {:.0} us CPU time, {:.0} control bytes sent, {:.0} received, rss {:.1} MB",
            (a.cpu_s - b.cpu_s) / n * 1e6,
            (a.sent_bytes - b.sent_bytes) / n,
            (a.received_bytes - b.received_bytes) / n,
            a.rss_mb
        );
    }
}

async fn idle_usage(hosts: usize) -> (ResourceUsage, ResourceUsage) {
    let fleet = Fleet::start(small_layout(1, hosts, 4)).await;
    let before = host_usage(&fleet).await;
    tokio::time::sleep(IDLE_PERIOD).await;
    let after = host_usage(&fleet).await;
    let rate = |b: ResourceUsage, a: ResourceUsage| ResourceUsage {
        cpu_s: (a.cpu_s - b.cpu_s) / IDLE_PERIOD.as_secs_f64(),
        rss_mb: a.rss_mb,
        sent_bytes: (a.sent_bytes - b.sent_bytes) / IDLE_PERIOD.as_secs_f64(),
        received_bytes: (a.received_bytes - b.received_bytes) / IDLE_PERIOD.as_secs_f64(),
    };
    (rate(before.0, after.0), rate(before.1, after.1))
}

async fn measure_per_peer() {
    println!("idle, by entry hosts in the data centre (3 upstreams):");
    for hosts in [2, 8, 20] {
        let (gateway, dispatcher) = idle_usage(hosts).await;
        for (name, c) in [("gateway", gateway), ("dispatcher", dispatcher)] {
            println!(
                "  {hosts} hosts, {name}: {:.3}% of a core, {:.0} B/s sent, {:.0} B/s received, rss {:.1} MB",
                c.cpu_s * 100.0,
                c.sent_bytes,
                c.received_bytes,
                c.rss_mb
            );
        }
    }
}

async fn measure_per_organisation() {
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let before = host_usage(&fleet).await;
    let mut text = fleet.bundle();
    for n in 0..ORGANISATIONS {
        let hash = format!("{n:064x}");
        text.push_str(&format!(
            "[organisation org-{n}]\n[credential org-{n}]\norganisation = org-{n}\ntier = gold\nsha256 = {hash}\n"
        ));
    }
    let number = fleet
        .environment
        .roll_out(&text)
        .await
        .expect("bundle is accepted");
    let accepted_at = Instant::now();
    while !fleet.bundles_in_force().await.iter().all(|n| *n == number) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let first = accepted_at.elapsed();
    let middle = host_usage(&fleet).await;
    let changed = text.replace(
        "[organisation org-7]\n",
        "[organisation org-7]\nshare = 2\n",
    );
    let number = fleet
        .environment
        .roll_out(&changed)
        .await
        .expect("bundle is accepted");
    let accepted_at = Instant::now();
    while !fleet.bundles_in_force().await.iter().all(|n| *n == number) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let after = host_usage(&fleet).await;
    println!(
        "bundle with {ORGANISATIONS} organisations ({} bytes):",
        text.len()
    );
    println!(
        "  in force on 2 hosts {first:?} after acceptance; after a change to one organisation: {:?}",
        accepted_at.elapsed()
    );
    for (name, b, m, a) in [
        ("gateway", before.0, middle.0, after.0),
        ("dispatcher", before.1, middle.1, after.1),
    ] {
        println!(
            "  {name}: rss {:.1} -> {:.1} -> {:.1} MB; the change: {:.0} ms CPU time, {:.0} B sent, {:.0} B received",
            b.rss_mb,
            m.rss_mb,
            a.rss_mb,
            (a.cpu_s - m.cpu_s) * 1e3,
            a.sent_bytes - m.sent_bytes,
            a.received_bytes - m.received_bytes
        );
    }
    let call_counters = fleet.environment.object_api.api.calls();
    println!("  Object API calls so far: {call_counters:?}");
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime is built");
    let is_selected = |part: &str| std::env::args().any(|a| a == part);
    runtime.block_on(async {
        if is_selected("organisations") {
            measure_per_organisation().await;
            return;
        }
        let fleet = Fleet::start(small_layout(1, 2, 64)).await;
        measure_latency(&fleet).await;
        if is_selected("latency") {
            measure_per_request(&fleet, 400, 5).await;
            measure_per_request(&fleet, 400, 15).await;
            return;
        }
        measure_per_request(&fleet, 100, 10).await;
        measure_per_request(&fleet, 400, 10).await;
        drop(fleet);
        measure_per_peer().await;
        measure_per_organisation().await;
    });
}
