//! A worker that goes dark while clients look the same thing up, and then the end and the start of all processes of the
//! system.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Bounds, Host};
use crate::record::Record;
use crate::server::{Answers, HEARTBEAT_INTERVAL};
use crate::setup::{Deployment, exchange, look_up, text};

/// Bounds of the site andina-centralita.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
const RECOVERY_MS: u64 = 12_000;
const HOSTS: u8 = 3;
const SERVERS: u8 = 4;
const ANSWERS: Answers = Answers {
    work: Duration::from_millis(15),
    bytes: 800,
};
const TIME_LIMIT_MS: u64 = 600;
/// Clients of a host that look the same status up, all once a second.
const CLIENTS_PER_HOST: u8 = 6;
const INTERVAL_MS: u64 = 1_000;
const CALM_MS: u64 = 15_500;
/// Time for which the worker is dark: the longest of the site.
const DARK_MS: u64 = 4_500;
const BEFORE_KILL_MS: u64 = 5_000;
/// Time for which the processes are down, as in the site.
const DOWN_MS: u64 = 660;
const JUDGED_MS: u64 = 15_000;

/// Time at which a request was sent, and the status of its answer, 0 without one.
type Sent = Arc<Mutex<Vec<(u64, u16)>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut d = Deployment::start(record, BOUNDS, HOSTS, SERVERS, ANSWERS, "member")?;
    let sent = Sent::default();
    let stops = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for host in &d.hosts {
        for n in 0..CLIENTS_PER_HOST {
            let (to, name) = (
                d.place.callers(host.number),
                format!("h{}c{n}", host.number),
            );
            let (record, sent, stops) = (record.clone(), sent.clone(), stops.clone());
            clients.push(thread::spawn(move || {
                look_up_again(to, &name, &record, &sent, &stops)
            }));
        }
    }
    // In the middle between two look-ups, so that none is on its way.
    sleep_ms(CALM_MS - record.now_ms() % INTERVAL_MS);
    let dark_at = record.now_ms();
    if has_trouble {
        let worker = d.servers[0].clone();
        record.add(&format!("the machine of {} loses power", worker.id()));
        worker.go_dark();
        thread::sleep(3 * HEARTBEAT_INTERVAL);
        worker.expire(&d.store);
        record.add("the store removes its entry");
        sleep_ms((dark_at + DARK_MS).saturating_sub(record.now_ms()));
        // This start has another id, and here another address.
        d.add_server("i-server0-again", 20, ANSWERS)?;
        record.add("the worker is back as i-server0-again");
    }
    let back_at = dark_at + DARK_MS;
    sleep_ms(back_at.saturating_sub(record.now_ms()) + BEFORE_KILL_MS);
    let killed_at = record.now_ms();
    record.add("all processes of the system are killed");
    d.hosts.clear();
    sleep_ms(DOWN_MS);
    for n in 1..=HOSTS {
        d.hosts
            .push(Host::start(&d.place, n, "here", BOUNDS, false).map_err(text)?);
    }
    let started_at = record.now_ms();
    record.add("all processes of the system are started again");
    sleep_ms(RECOVERY_MS + JUDGED_MS);
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let count = |what: &str, from: u64, to: u64| {
        let those = sent.iter().filter(|(at, _)| *at >= from && *at < to);
        let all: Vec<u16> = those.map(|(_, status)| *status).collect();
        let served = all.iter().filter(|s| **s == 200).count();
        record.add(&format!(
            "{what}: {served} of {} requests were served",
            all.len()
        ));
        (served, all.len())
    };
    count("before the worker went dark", 0, dark_at);
    count(
        "after it was back, before the processes were killed",
        back_at,
        killed_at,
    );
    let (before, all_before) = count("before the processes were killed", 0, killed_at);
    let what = format!("later than {RECOVERY_MS} ms after they were back");
    let (after, all_after) = count(&what, started_at + RECOVERY_MS, u64::MAX);
    if before * 4 < all_before || all_after == 0 {
        return Err("too few requests were served before, or none was sent afterwards".to_owned());
    }
    Ok(if after * 4 < all_after {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn look_up_again(to: SocketAddr, name: &str, record: &Record, sent: &Sent, stops: &AtomicBool) {
    for n in 0.. {
        sleep_ms(INTERVAL_MS - record.now_ms() % INTERVAL_MS);
        if stops.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{n}");
        let sent_at = record.now_ms();
        let answer = exchange(to, &look_up(&id, TIME_LIMIT_MS)).ok().flatten();
        let status = answer.as_ref().map_or(0, |m| m.status());
        let refusal = answer.filter(|m| m.status() != 200);
        let refusal = refusal.map(|m| String::from_utf8_lossy(&m.body).into_owned());
        record.add(&format!(
            "client of {id}, sent at {sent_at} ms: status {status} {}",
            refusal.unwrap_or_default()
        ));
        sent.lock().unwrap().push((sent_at, status));
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
