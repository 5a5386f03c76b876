//! An entry of another writer that can't be read, and then the end and the start of all processes of the system.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use crate::Verdict;
use crate::fleet::{Bounds, Host};
use crate::record::Record;
use crate::setup::{Deployment, text};
use crate::unreadable_entry::{ANSWERS, Sent, put_unreadable_entry, send_requests, sleep_ms};

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
const CLIENTS_PER_HOST: u8 = 4;
/// Time for which the processes are down, as in the site.
const DOWN_MS: u64 = 660;
const JUDGED_MS: u64 = 10_000;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut d = Deployment::start(record, BOUNDS, HOSTS, SERVERS, ANSWERS, "member")?;
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
    sleep_ms(4_000);
    if has_trouble {
        put_unreadable_entry(&d.store, record);
    }
    sleep_ms(4_000);
    let killed_at = record.now_ms();
    record.add("all processes of the system are killed");
    d.hosts.clear();
    sleep_ms(DOWN_MS);
    for n in 1..=HOSTS {
        d.hosts
            .push(Host::start(&d.place, n, "here", BOUNDS, false).map_err(text)?);
    }
    let back_at = record.now_ms();
    record.add("all processes of the system are started again");
    sleep_ms(RECOVERY_MS + JUDGED_MS);
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let count = |from: u64, to: u64| {
        let those = sent.iter().filter(|(_, at, _)| *at >= from && *at < to);
        let all: Vec<u16> = those.map(|(_, _, status)| *status).collect();
        (all.iter().filter(|s| **s == 200).count(), all.len())
    };
    let (before, all_before) = count(0, killed_at);
    let (after, all_after) = count(back_at + RECOVERY_MS, u64::MAX);
    record.add(&format!(
        "before the processes were killed: {before} of {all_before} requests were served"
    ));
    record.add(&format!("later than {RECOVERY_MS} ms after they were back: {after} of {all_after} requests were served"));
    if before * 4 < all_before || all_after == 0 {
        return Err("too few requests were served before, or none was sent afterwards".to_owned());
    }
    Ok(if after * 4 < all_after {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
