//! An entry of another writer that can't be read, and then a server that leaves.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Bounds;
use crate::record::Record;
use crate::server::Answers;
use crate::setup::{Deployment, exchange, request};
use crate::store::Store;

/// Bounds of the site andina-centralita.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
const HOSTS: u8 = 3;
const SERVERS: u8 = 4;
const CLIENTS_PER_HOST: u8 = 8;
pub const ANSWERS: Answers = Answers {
    work: Duration::from_millis(60),
    bytes: 800,
};
const TIME_LIMIT_MS: u64 = 600;
const PAUSE_BETWEEN_REQUESTS: Duration = Duration::from_millis(25);
/// Pause after an answer that is no success, or none.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);
/// Time for which the leaving server serves on after drain-ms, before it exits.
const LINGER_MS: u64 = 4_000;
/// Time after drain-ms from which a request counts as late, so that none does that was on its way.
const MARGIN_MS: u64 = 200;

/// Specification of the entry: JSON text in which the zone has a byte that is no character, as an escape.
const UNREADABLE_ENTRY: &str = "{\"service\":\"pool\",\"address\":\"127.0.0.1:9\",\"zone\":\"caf\\udce9\",\"slots\":8,\"state\":\"ready\",\"born\":1}";

/// Id of a request, the time at which it was sent, and the status of its answer, 0 without one.
pub type Sent = Arc<Mutex<Vec<(String, u64, u16)>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let d = Deployment::start(record, BOUNDS, HOSTS, SERVERS, ANSWERS, "member")?;
    let stops = Arc::new(AtomicBool::new(false));
    let sent = Sent::default();
    let mut clients = Vec::new();
    for host in &d.hosts {
        for n in 0..CLIENTS_PER_HOST {
            let (to, name) = (
                d.place.callers(host.number),
                format!("h{}c{n}", host.number),
            );
            let (record, sent, stops) = (record.clone(), sent.clone(), stops.clone());
            clients.push(thread::spawn(move || {
                send_requests(to, &name, &record, &sent, &stops)
            }));
        }
    }
    // Longer than the stable window.
    sleep_ms(BOUNDS.stable_window_ms + 1_000);
    if has_trouble {
        put_unreadable_entry(&d.store, record);
    }
    sleep_ms(BOUNDS.stable_window_ms + 500);
    let leaving = &d.servers[0];
    leaving.drain(&d.store);
    let acknowledged_at = record.now_ms();
    record.add(&format!(
        "the store acknowledges that {} is draining",
        leaving.id()
    ));
    sleep_ms(BOUNDS.drain_ms + LINGER_MS);
    leaving.exit(&d.store);
    let exited_at = record.now_ms();
    record.add(&format!("{} has exited", leaving.id()));
    sleep_ms(2_000);
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let bound = acknowledged_at + BOUNDS.drain_ms + MARGIN_MS;
    let find = |id: &str| sent.iter().find(|(s, _, _)| s == id);
    let (mut late, mut lost, mut last) = (0, 0, 0);
    for (id, arrived_at) in leaving.arrivals() {
        let Some((_, sent_at, status)) = find(&id) else {
            continue;
        };
        if *sent_at > bound {
            late += 1;
            last = last.max(arrived_at - acknowledged_at);
            if *status != 200 {
                lost += 1;
                record.add(&format!(
                    "{id} reached {} at {arrived_at} ms and was lost: status {status}",
                    leaving.id()
                ));
            }
        }
    }
    let failed = |from: u64, to: u64| {
        sent.iter()
            .filter(|(_, at, s)| *at >= from && *at < to && *s != 200)
            .count()
    };
    record.add(&format!(
        "requests without a 200: {} that were sent before the acknowledgement, {} after it, {} after the exit",
        failed(0, acknowledged_at),
        failed(acknowledged_at, exited_at),
        failed(exited_at, u64::MAX)
    ));
    record.add(&format!(
        "{late} of {} requests reached {} that were sent more than {} ms after the acknowledgement, the last {last} ms after it; {lost} of them were lost",
        sent.len(),
        leaving.id(),
        BOUNDS.drain_ms + MARGIN_MS,
    ));
    Ok(if late == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

pub fn send_requests(to: SocketAddr, name: &str, record: &Record, sent: &Sent, stops: &AtomicBool) {
    for n in 0.. {
        if stops.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{name}-{n}");
        let sent_at = record.now_ms();
        let answer = exchange(to, &request("book", &id, TIME_LIMIT_MS));
        let status = answer.ok().flatten().map_or(0, |m| m.status());
        record.add(&format!(
            "client of {id}, sent at {sent_at} ms: status {status}"
        ));
        sent.lock().unwrap().push((id, sent_at, status));
        let pause = if status == 200 {
            PAUSE_BETWEEN_REQUESTS
        } else {
            PAUSE_AFTER_FAILURE
        };
        thread::sleep(pause);
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Writes the entry of another writer.
pub fn put_unreadable_entry(store: &Store, record: &Record) {
    store.put("servers", "i-other-writer", UNREADABLE_ENTRY);
    record.add(&format!(
        "another writer puts the entry servers/i-other-writer: {UNREADABLE_ENTRY}"
    ));
}
