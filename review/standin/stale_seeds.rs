//! All machines lost power, and those that the seeds of the settings name are gone for good. The others start again, are
//! ready, and find none of each other. A request that crashes each worker that runs it comes to one machine after the
//! other. Members book at all machines meanwhile.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::fleet::{Bounds, Host, Place};
use crate::http::{Conn, Message, response};
use crate::record::Record;
use crate::setup::{configuration, exchange, request, text};
use crate::store::Store;

const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
/// Machines that start again. The one that all seeds name is machine 1.
const HOSTS: std::ops::RangeInclusive<u8> = 2..=9;
const WORKERS: u8 = 4;
const WORK: Duration = Duration::from_millis(200);
/// Time after which a worker that crashed is back.
const DOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time between two comings of the request.
const PAUSE: Duration = Duration::from_millis(2_000);
/// Comings of it at each machine.
const ROUNDS: usize = 2;
/// Time between two bookings at each machine.
const BOOKING_GAP: Duration = Duration::from_millis(100);
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Time after the start in which the machines come in touch, with a margin.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Retries after the third crash that the rule allows.
const ALLOWED: usize = 3;

struct Worker {
    id: String,
    addr: SocketAddr,
    store: Store,
    record: Record,
    born: AtomicU64,
    is_down: AtomicBool,
    /// Times at which the crashing request reached it.
    crashes: Mutex<Vec<u64>>,
    connections: Mutex<HashMap<u64, TcpStream>>,
}

impl Worker {
    fn start(
        id: &str,
        addr: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            addr,
            store: store.clone(),
            record: record.clone(),
            born: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            crashes: Mutex::default(),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(addr)?;
        worker.register();
        let accepting = worker.clone();
        thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                let worker = accepting.clone();
                if let Ok(other) = stream.try_clone() {
                    worker.connections.lock().unwrap().insert(n as u64, other);
                }
                thread::spawn(move || {
                    let _ended = worker.serve(stream);
                    worker.connections.lock().unwrap().remove(&(n as u64));
                });
            }
        });
        Ok(worker)
    }

    /// Writes its entry as a worker that has just started.
    fn register(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis() as u64;
        self.born.store(born, Ordering::SeqCst);
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":14,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{born}}}",
            self.addr
        );
        self.store.put("servers", &self.id, &entry);
    }

    fn serve(self: &Arc<Worker>, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        while let Some(req) = conn.read_message()? {
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(());
            }
            let Some(bytes) = self.answer(&req) else {
                return Ok(());
            };
            conn.write(&bytes)?;
        }
        Ok(())
    }

    fn answer(self: &Arc<Worker>, req: &Message) -> Option<Vec<u8>> {
        let id = req.header("attempt-id").unwrap_or("-").to_owned();
        let mut headers = vec![("Attempt-Id", id.clone())];
        if req.target() == "/stoatjunction/report" {
            let body = format!("{{\"born\":{}}}", self.born.load(Ordering::SeqCst));
            return Some(response("200 OK", &headers, body.as_bytes()));
        }
        if req.header("expected-instance") != Some(&self.id) {
            headers.push(("Not-Executed", "1".to_owned()));
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        if id.starts_with("crash") {
            self.crash(&id);
            return None;
        }
        self.record.add(&format!("worker {} runs {id}", self.id));
        thread::sleep(WORK);
        if self.is_down.load(Ordering::SeqCst) {
            return None;
        }
        headers.push(("Server-Stamp", format!("stamp.{}.{id}", self.id)));
        headers.push(("Server-Load", "1,0,14".to_owned()));
        Some(response("200 OK", &headers, &[b'x'; 800]))
    }

    /// Ends with all that it runs, and is back after some time.
    fn crash(self: &Arc<Worker>, id: &str) {
        self.crashes.lock().unwrap().push(self.record.now_ms());
        self.record.add(&format!(
            "worker {} begins to run {id} and crashes",
            self.id
        ));
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().values() {
            let _may_be_closed = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(DOWN_TIME);
            worker.is_down.store(false, Ordering::SeqCst);
            worker.register();
            worker.record.add(&format!("worker {} is back", worker.id));
        });
    }
}

/// Books at a machine until it is told to end, one booking after the other, and returns how many were sent and how
/// many ended without an answer of a worker.
fn book(record: &Record, to: SocketAddr, host: u8, ends: &AtomicBool) -> (u64, u64) {
    let (mut sent, mut lost) = (0, 0);
    while !ends.load(Ordering::SeqCst) {
        let id = format!("book{host}-{sent}");
        let answer = exchange(to, &request("book", &id, 3_000)).ok().flatten();
        let status = answer.map_or(0, |m| m.status());
        sent += 1;
        if status != 200 {
            lost += 1;
            record.add(&format!("client sent {id}, got {status}"));
        }
        thread::sleep(BOOKING_GAP);
    }
    (sent, lost)
}

/// The request that crashes workers: the same path, caller and body each time, under another id.
fn crashing(id: &str) -> Vec<u8> {
    let bytes = request("book", id, 3_000);
    let text = String::from_utf8_lossy(&bytes);
    let (head, _) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let kept = head.lines().filter(|l| !l.starts_with("Content-Length"));
    let head: Vec<&str> = kept.collect();
    format!("{}\r\nContent-Length: 8\r\n\r\ncrashing", head.join("\r\n")).into_bytes()
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let place = Place::find().map_err(text)?;
    let result = play(record, has_trouble, &place);
    let _may_be_gone = std::fs::remove_dir_all(&place.folder);
    result
}

fn play(record: &Record, has_trouble: bool, place: &Place) -> Result<Verdict, String> {
    let store = Store::start(place.store()).map_err(text)?;
    store.put("config", "main", &configuration(1, "member"));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let addr = place.server(20 + n);
        let worker = Worker::start(&format!("i-worker{n}"), addr, &store, record);
        workers.push(worker.map_err(text)?);
    }
    let mut hosts = Vec::new();
    if !has_trouble {
        hosts.push(Host::start(place, 1, "here", BOUNDS, false).map_err(text)?);
        record.add("machine 1, which all seeds name, is up again");
    }
    for n in HOSTS {
        hosts.push(Host::start(place, n, "here", BOUNDS, false).map_err(text)?);
    }
    for host in &hosts {
        if !host.wait_ready(place, READY_LIMIT) {
            return Err(format!("host {} is not ready", host.number));
        }
    }
    record.add("machines 2 to 9 say that they are ready");
    thread::sleep(SETTLE_TIME);

    let ends = Arc::new(AtomicBool::new(false));
    let bookings = HOSTS.map(|n| {
        let (record, to, ends) = (record.clone(), place.callers(n), ends.clone());
        thread::spawn(move || book(&record, to, n, &ends))
    });
    let bookings: Vec<_> = bookings.collect();
    for round in 0..ROUNDS {
        for n in HOSTS {
            let id = format!("crash{round}-{n}");
            let answer = exchange(place.callers(n), &crashing(&id)).ok().flatten();
            let status = answer.map_or(0, |m| m.status());
            record.add(&format!("client sent {id} to machine {n}, got {status}"));
            thread::sleep(PAUSE);
        }
    }
    ends.store(true, Ordering::SeqCst);
    let (mut sent, mut lost) = (0, 0);
    for booking in bookings {
        let counts = booking.join().map_err(|_| "a client failed".to_owned())?;
        sent += counts.0;
        lost += counts.1;
    }

    let crashes = workers.iter().map(|w| w.crashes.lock().unwrap().clone());
    let mut crashes: Vec<u64> = crashes.flatten().collect();
    crashes.sort_unstable();
    let late = crashes.get(2).map_or(0, |third| {
        let from = third + BOUNDS.stable_window_ms;
        crashes.iter().filter(|at| **at > from).count()
    });
    record.add(&format!(
        "the request crashed {} workers, {late} of them later than stable-window-ms after the third; more than {ALLOWED} break the rule",
        crashes.len()
    ));
    record.add(&format!(
        "for the reader only: {lost} of {sent} bookings got no answer of a worker"
    ));
    Ok(match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
