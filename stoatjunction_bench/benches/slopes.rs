//! Added latency against a direct call, and the slopes that docs/CAPACITY.md is worked out from:
//! processor time, memory and control bytes of real daemons for each request, peer and
//! organisation. Build the daemons first: `cargo build --release --workspace`. With the argument
//! `latency` or `organisations` only that part is run.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Daemon, Fleet, call_admin, engine_request, small_layout};
use hdrhistogram::Histogram;
use hyper::Request;
use stoatjunction_net::http::{connect, full};

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Requests of a latency measurement.
const CALLS: usize = 400;
/// Time over which idle costs are measured.
const IDLE: Duration = Duration::from_secs(8);
/// Organisations of the large bundle.
const ORGANISATIONS: usize = 26_000;

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    cpu_s: f64,
    rss_mb: f64,
    sent: f64,
    received: f64,
}

async fn cost(daemon: &Daemon, addr: &str) -> Cost {
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
    let seen = call_admin(addr, "GET", "status").await;
    let bytes = |key: &str| seen["control"][key].as_f64().unwrap_or(0.0);
    Cost {
        cpu_s: (tick(11) + tick(12)) / TICKS_PER_S,
        rss_mb: rss.and_then(|r| r.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0,
        sent: bytes("sent_bytes"),
        received: bytes("received_bytes"),
    }
}

async fn costs(fleet: &Fleet) -> (Cost, Cost) {
    let host = &fleet.hosts[0];
    let gateway = cost(&fleet.gateways[0], &host.gateway_admin()).await;
    (
        gateway,
        cost(&fleet.dispatchers[0], &host.dispatcher_admin()).await,
    )
}

async fn direct(addr: &str, body: &str, id: usize) -> Duration {
    let begun = Instant::now();
    let req = Request::post("/v1/run")
        .header("host", addr)
        .header("x-request-id", format!("direct-{id}"))
        .body(full(body.to_owned()))
        .expect("request is well formed");
    let mut sender = connect(addr, Duration::from_secs(1))
        .await
        .expect("engine answers");
    let res = sender.send_request(req).await.expect("engine answers");
    let _ = http_body_util::BodyExt::collect(res.into_body()).await;
    begun.elapsed()
}

async fn latency(fleet: &Fleet) {
    let addr = fleet.upstream_proxies["dc1-a"].addr.to_string();
    let mut by_hand = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("histogram");
    let mut whole = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("histogram");
    for n in 0..CALLS {
        let sample = engine_request("acme", "gold", &format!("lat{n}"), 2);
        by_hand.saturating_record(direct(&addr, &sample.ask.body, n).await.as_micros() as u64);
        let got = fleet.get(n % 2, &sample.ask).await;
        assert!(got.is_answer(), "{got:?}");
        whole.saturating_record(got.total.as_micros() as u64);
    }
    println!("added latency, {CALLS} calls each, one at a time, same kind of engine:");
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let (a, b) = (by_hand.value_at_quantile(q), whole.value_at_quantile(q));
        println!(
            "  {name}: direct {a} us, through gateway {b} us, added {} us",
            b as i64 - a as i64
        );
    }
}

async fn per_request(fleet: &Fleet, rate: u64, secs: u64) {
    let before = costs(fleet).await;
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / rate));
    let count = rate * secs;
    let mut asked = Vec::new();
    for n in 0..count {
        ticks.tick().await;
        let sample = engine_request("acme", "gold", &format!("load{n}"), 2);
        asked.push(fleet.spawn_request(0, &sample.ask));
    }
    let mut whole = 0;
    for asked in asked {
        whole += u64::from(asked.await.is_ok_and(|g| g.is_ok_and(|g| g.is_answer())));
    }
    let after = costs(fleet).await;
    println!(
        "per request at {rate}/s to one gateway, {whole} of {count} whole (both hosts' shards):"
    );
    for (name, b, a) in [
        ("gateway", before.0, after.0),
        ("dispatcher", before.1, after.1),
    ] {
        let n = count as f64;
        println!(
            "  {name}: {:.0} us processor, {:.0} control bytes sent, {:.0} received, rss {:.1} MB",
            (a.cpu_s - b.cpu_s) / n * 1e6,
            (a.sent - b.sent) / n,
            (a.received - b.received) / n,
            a.rss_mb
        );
    }
}

async fn idle(hosts: usize) -> (Cost, Cost) {
    let fleet = Fleet::start(small_layout(1, hosts, 4)).await;
    let before = costs(&fleet).await;
    tokio::time::sleep(IDLE).await;
    let after = costs(&fleet).await;
    let rate = |b: Cost, a: Cost| Cost {
        cpu_s: (a.cpu_s - b.cpu_s) / IDLE.as_secs_f64(),
        rss_mb: a.rss_mb,
        sent: (a.sent - b.sent) / IDLE.as_secs_f64(),
        received: (a.received - b.received) / IDLE.as_secs_f64(),
    };
    (rate(before.0, after.0), rate(before.1, after.1))
}

async fn per_peer() {
    println!("idle, by entry hosts in the data centre (3 upstreams):");
    for hosts in [2, 8, 20] {
        let (gateway, dispatcher) = idle(hosts).await;
        for (name, c) in [("gateway", gateway), ("dispatcher", dispatcher)] {
            println!(
                "  {hosts} hosts, {name}: {:.3}% of a core, {:.0} B/s sent, {:.0} B/s received, rss {:.1} MB",
                c.cpu_s * 100.0,
                c.sent,
                c.received,
                c.rss_mb
            );
        }
    }
}

async fn per_organisation() {
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let before = costs(&fleet).await;
    let mut text = fleet.bundle();
    for n in 0..ORGANISATIONS {
        let hash = format!("{n:064x}");
        text.push_str(&format!(
            "[organisation org-{n}]\n[credential org-{n}]\norganisation = org-{n}\ntier = gold\nsha256 = {hash}\n"
        ));
    }
    let number = fleet.world.roll_out(&text).await.expect("accepted");
    let accepted = Instant::now();
    while !fleet.bundles_in_force().await.iter().all(|n| *n == number) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let first = accepted.elapsed();
    let middle = costs(&fleet).await;
    let changed = text.replace(
        "[organisation org-7]\n",
        "[organisation org-7]\nshare = 2\n",
    );
    let number = fleet.world.roll_out(&changed).await.expect("accepted");
    let accepted = Instant::now();
    while !fleet.bundles_in_force().await.iter().all(|n| *n == number) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let after = costs(&fleet).await;
    println!(
        "bundle with {ORGANISATIONS} organisations ({} bytes):",
        text.len()
    );
    println!(
        "  in force on 2 hosts {first:?} after its acceptance; one organisation changed: {:?}",
        accepted.elapsed()
    );
    for (name, b, m, a) in [
        ("gateway", before.0, middle.0, after.0),
        ("dispatcher", before.1, middle.1, after.1),
    ] {
        println!(
            "  {name}: rss {:.1} -> {:.1} -> {:.1} MB; the change: {:.0} ms processor, {:.0} B sent, {:.0} B received",
            b.rss_mb,
            m.rss_mb,
            a.rss_mb,
            (a.cpu_s - m.cpu_s) * 1e3,
            a.sent - m.sent,
            a.received - m.received
        );
    }
    let calls = fleet.world.objects.api.calls();
    println!("  platform calls so far: {calls:?}");
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    let only = |part: &str| std::env::args().any(|a| a == part);
    runtime.block_on(async {
        if only("organisations") {
            per_organisation().await;
            return;
        }
        let fleet = Fleet::start(small_layout(1, 2, 64)).await;
        latency(&fleet).await;
        if only("latency") {
            per_request(&fleet, 400, 5).await;
            per_request(&fleet, 400, 15).await;
            return;
        }
        per_request(&fleet, 100, 10).await;
        per_request(&fleet, 400, 10).await;
        drop(fleet);
        per_peer().await;
        per_organisation().await;
    });
}
