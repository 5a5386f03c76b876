//! Hosts that freeze one after the other while requests wait at them, and wake after their clients have left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::{Bounds, SIGCONT, SIGSTOP};
use crate::http::Conn;
use crate::record::Record;
use crate::server::Answers;
use crate::setup::{Deployment, request};

/// Bounds of the site andina-centralita.
const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
const RECOVERY_MS: u64 = 12_000;
const HOSTS: u8 = 3;
const SERVERS: u8 = 2;
/// Time that a server works on a request. With 8 slots each, the servers complete 160 requests a second.
const ANSWERS: Answers = Answers {
    work: Duration::from_millis(100),
    bytes: 800,
};
/// Time limit of clients; they leave when it has passed.
const TIME_LIMIT_MS: u64 = 600;
/// Clients of a host while many users come, each of which sends its next request after the answer to the last.
const BUSY_CLIENTS: u8 = 40;
/// Clients of a host before and afterwards, who pause between their requests.
const CALM_CLIENTS: u8 = 2;
const CALM_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
const CALM_MS: u64 = 4_000;
const BUSY_MS: u64 = 2_000;
/// Longer than the time limit of clients, and shorter than the longest freeze of the site.
const FREEZE_MS: u64 = 1_000;
const BETWEEN_MS: u64 = 1_000;
/// Times that each host freezes.
const ROUNDS: u32 = 11;
const JUDGED_MS: u64 = 10_000;

/// Time at which a request was sent, its host, and the status of its answer, 0 without one.
type Sent = Arc<Mutex<Vec<(u64, u8, u16)>>>;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let d = Deployment::start(record, BOUNDS, HOSTS, SERVERS, ANSWERS, "member")?;
    let sent = Sent::default();
    let (stops, is_busy) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let mut clients = Vec::new();
    for host in &d.hosts {
        for n in 0..BUSY_CLIENTS {
            let client = Client {
                name: format!("h{}c{n}", host.number),
                host: host.number,
                to: d.place.callers(host.number),
                record: record.clone(),
                sent: sent.clone(),
                stops: stops.clone(),
                is_busy: is_busy.clone(),
                is_calm: n < CALM_CLIENTS,
            };
            clients.push(thread::spawn(move || client.run()));
        }
    }
    sleep_ms(CALM_MS);
    is_busy.store(true, Ordering::SeqCst);
    record.add("many users come");
    sleep_ms(BUSY_MS);
    let first_fault_at = record.now_ms();

    for host in (0..ROUNDS).flat_map(|_| &d.hosts) {
        if has_trouble {
            host.signal(SIGSTOP);
            record.add(&format!("host {} freezes", host.number));
        }
        sleep_ms(FREEZE_MS);
        if has_trouble {
            host.signal(SIGCONT);
            record.add(&format!("host {} wakes", host.number));
        }
        sleep_ms(BETWEEN_MS);
    }
    let back_at = record.now_ms() - BETWEEN_MS;
    is_busy.store(false, Ordering::SeqCst);
    record.add("the many users are gone");
    let judged_from = back_at + RECOVERY_MS;
    sleep_ms(judged_from.saturating_sub(record.now_ms()) + JUDGED_MS);
    stops.store(true, Ordering::SeqCst);
    let busy_slots: Vec<String> = d
        .servers
        .iter()
        .map(|s| format!("{}: {}", s.id(), s.running()))
        .collect();
    record.add(&format!(
        "requests that the servers work on at the end: {}",
        busy_slots.join(", ")
    ));
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let sent = sent.lock().unwrap();
    let count = |from: u64, to: u64, host: Option<u8>| {
        let those = sent
            .iter()
            .filter(|(at, h, _)| *at >= from && *at < to && host.is_none_or(|n| n == *h));
        let all: Vec<u16> = those.map(|(_, _, status)| *status).collect();
        let served = all.iter().filter(|s| **s == 200).count();
        (served, all.len())
    };
    let (before, all_before) = count(0, first_fault_at, None);
    record.add(&format!(
        "before the first freeze: {before} of {all_before} requests were served"
    ));
    for host in &d.hosts {
        let (served, all) = count(judged_from, u64::MAX, Some(host.number));
        record.add(&format!("later than {RECOVERY_MS} ms after the last wake, host {}: {served} of {all} were served", host.number));
    }
    let (after, all_after) = count(judged_from, u64::MAX, None);
    record.add(&format!("later than {RECOVERY_MS} ms after the last wake: {after} of {all_after} requests were served"));
    if before * 4 < all_before || all_after == 0 {
        return Err(
            "too few requests were served before the first freeze, or none was sent afterwards"
                .to_owned(),
        );
    }
    Ok(if after * 4 < all_after {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

struct Client {
    name: String,
    host: u8,
    to: SocketAddr,
    record: Record,
    sent: Sent,
    stops: Arc<AtomicBool>,
    is_busy: Arc<AtomicBool>,
    /// True if it also comes when few users do.
    is_calm: bool,
}

impl Client {
    fn run(&self) {
        for n in 0.. {
            if self.stops.load(Ordering::SeqCst) {
                return;
            }
            let is_busy = self.is_busy.load(Ordering::SeqCst);
            if !is_busy {
                thread::sleep(CALM_PAUSE);
                if !self.is_calm {
                    continue;
                }
            }
            let id = format!("{}-{n}", self.name);
            let sent_at = self.record.now_ms();
            let status = self.ask(&id);
            let what = match status {
                0 => "no answer within the time limit".to_owned(),
                s => format!("status {s}"),
            };
            self.record
                .add(&format!("client of {id}, sent at {sent_at} ms: {what}"));
            self.sent.lock().unwrap().push((sent_at, self.host, status));
            if status != 200 {
                thread::sleep(REFUSED_PAUSE);
            }
        }
    }

    /// Sends a request on a new connection and returns the status of its answer; 0 if there is none within the limit.
    fn ask(&self, id: &str) -> u16 {
        let Ok(mut conn) = Conn::open(self.to) else {
            return 0;
        };
        let _limit = conn
            .stream()
            .set_read_timeout(Some(Duration::from_millis(TIME_LIMIT_MS)));
        if conn.write(&request("book", id, TIME_LIMIT_MS)).is_err() {
            return 0;
        }
        conn.read_message().ok().flatten().map_or(0, |m| m.status())
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
