//! Workers that drop idle channels without notice, so that what is sent next on them is reset. All of them are sound, and
//! take every request that comes on another channel. A kind of request whose prompts begin with a shared part is sent
//! to them on a route that was added later.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::Verdict;
use crate::fleet::{Bounds, Host, Place};
use crate::http::{Conn, Message, response};
use crate::record::Record;
use crate::setup::{API_KEY, exchange, text};
use crate::store::Store;

const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
const HOSTS: u8 = 2;
const WORKERS: u8 = 8;
/// Rest after which a worker forgets a channel while it drops them.
const MAX_REST: Duration = Duration::from_millis(300);
/// Idle timeout that the workers state.
const STATED_IDLE_S: u64 = 5;
const EVENTS: u64 = 5;
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Users that come at once, their pause, and the requests that follow.
const BURST: usize = 10;
const PAUSE: Duration = Duration::from_millis(1_000);
const SINGLES: usize = 8;
const SINGLE_GAP: Duration = Duration::from_millis(250);
const ROUNDS: usize = 3;
/// Requests on each side in the steady state, and the time between two.
const MEASURED: usize = 40;
const MEASURED_GAP: Duration = Duration::from_millis(250);
const READY_LIMIT: Duration = Duration::from_secs(10);
/// `recovery-s`, and the requests that are sent after it.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
const RESTARTED: usize = 20;

struct Worker {
    id: String,
    addr: SocketAddr,
    born: u64,
    drops_idle: Arc<AtomicBool>,
    dropped: AtomicU64,
    record: Record,
}

impl Worker {
    fn start(
        id: &str,
        addr: SocketAddr,
        drops_idle: &Arc<AtomicBool>,
        record: &Record,
    ) -> io::Result<Arc<Worker>> {
        let listener = TcpListener::bind(addr)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            addr,
            born: born.unwrap_or_default().as_millis() as u64,
            drops_idle: drops_idle.clone(),
            dropped: AtomicU64::new(0),
            record: record.clone(),
        });
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = accepting.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn register(&self, store: &Store) {
        let entry = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"here\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            self.addr, self.born
        );
        store.put("servers", &self.id, &entry);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream)?;
        let mut rests_since: Option<Instant> = None;
        loop {
            // Waits for the next bytes without taking them.
            if conn.stream().peek(&mut [0])? == 0 {
                return Ok(());
            }
            let has_rested = rests_since.is_some_and(|at| at.elapsed() > MAX_REST);
            if has_rested && self.drops_idle.load(Ordering::SeqCst) {
                self.dropped.fetch_add(1, Ordering::SeqCst);
                self.record.add(&format!(
                    "worker {} resets a channel that it had dropped",
                    self.id
                ));
                // Closing a channel with unread bytes resets it.
                return Ok(());
            }
            let Some(req) = conn.read_message()? else {
                return Ok(());
            };
            self.answer(&mut conn, &req)?;
            rests_since = Some(Instant::now());
        }
    }

    fn answer(&self, conn: &mut Conn, req: &Message) -> io::Result<()> {
        let id = req.header("attempt-id").unwrap_or("-").to_owned();
        if req.target() == "/stoatjunction/report" {
            let body = format!("{{\"born\":{}}}", self.born);
            return conn.write(&response("200 OK", &[], body.as_bytes()));
        }
        if req
            .header("expected-instance")
            .is_some_and(|e| e != self.id)
        {
            let headers = [("Attempt-Id", id), ("Not-Executed", "1".to_owned())];
            return conn.write(&response("421 Misdirected Request", &headers, b""));
        }
        self.record
            .add(&format!("worker {} runs {id} {}", self.id, req.target()));
        if req.target().starts_with("/read/") {
            thread::sleep(EVENT_GAP);
            let headers = [
                ("Attempt-Id", id.clone()),
                ("Server-Stamp", format!("stamp.{}.{id}", self.id)),
                ("Server-Load", "1,0,8".to_owned()),
                ("Keep-Alive", format!("timeout={STATED_IDLE_S}")),
            ];
            return conn.write(&response("200 OK", &headers, &[b'x'; 800]));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp.{}.{id}\r\nServer-Load: 1,0,8\r\nKeep-Alive: timeout={STATED_IDLE_S}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        conn.write(head.as_bytes())?;
        let last = req.header("last-event-id").and_then(|v| v.parse().ok());
        for n in last.unwrap_or(0) + 1..=EVENTS {
            let event = format!("id: {n}\ndata: {id} {n}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        conn.write(b"0\r\n\r\n")
    }
}

/// Returns the configuration; version 1 lacks the route `summary`.
fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, target_ms: u64, resumes: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"calls.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":12000,\"target-latency-ms\":{target_ms},\"priority\":0,\"service\":\"pool\",\"attempts\":2,\"allow-anonymous\":false,\"stream-resumption\":{resumes},\"gap-target-ms\":400,\"session-affinity\":true}}"
        )
    };
    let mut routes = vec![route("read", "safe", 300, false)];
    if version > 1 {
        routes.push(route("summary", "streaming", 600, true));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health-check-path\":\"/health\",\"connection-limit\":360}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"member\",\"api-keys\":[\"{API_KEY}\"],\"unit\":\"tokens\",\"uncached-tokens\":200,\"rate-per-s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// A look-up with a path of its own.
fn look_up(id: &str) -> Vec<u8> {
    format!(
        "GET /read/{id} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: 3000\r\nX-Api-Key: {API_KEY}\r\n\r\n"
    )
    .into_bytes()
}

/// A request for a summary. The first part of its prompt is that of all of them, the rest is its own.
fn summary(id: &str) -> Vec<u8> {
    let body = format!("prompt of {id}");
    format!(
        "POST /summary/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Counts: 700,30\r\nPrompt-Prefix: 5c1e07a2:60,{:08x}:640\r\nDeadline-Milliseconds: 12000\r\nX-Api-Key: {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        id.bytes().fold(7_u32, |h, b| h.wrapping_mul(31) ^ u32::from(b)),
        body.len()
    )
    .into_bytes()
}

/// Sends a request and returns whether it was served: a success with the worker's stamp and the whole body.
fn is_served(record: &Record, to: SocketAddr, id: &str, req: &[u8]) -> bool {
    let answer = exchange(to, req);
    let line = match &answer {
        Ok(Some(m)) => format!(
            "{} {}",
            m.status(),
            String::from_utf8_lossy(&m.body[..m.body.len().min(90)]).replace('\n', " ")
        ),
        Ok(None) => "the channel is closed".to_owned(),
        Err(e) => format!("{e}"),
    };
    record.add(&format!("client sent {id} to {to}, got {line}"));
    let Ok(Some(m)) = answer else { return false };
    let is_whole = match id.starts_with("look") {
        true => m.body.len() == 800,
        false => String::from_utf8_lossy(&m.body).contains(&format!("id: {EVENTS}\n")),
    };
    m.status() == 200 && m.header("server-stamp").is_some() && is_whole
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
    store.put("config", "main", &configuration(1));
    let drops_idle = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let addr = place.server(10 + n);
        let worker = Worker::start(&format!("i-worker{n}"), addr, &drops_idle, record);
        let worker = worker.map_err(text)?;
        worker.register(&store);
        workers.push(worker);
    }
    let mut hosts = Vec::new();
    for n in 1..=HOSTS {
        hosts.push(Host::start(place, n, "here", BOUNDS, true).map_err(text)?);
    }
    for host in &hosts {
        if !host.wait_ready(place, READY_LIMIT) {
            return Err(format!("host {} is not ready", host.number));
        }
    }
    record.add("all hosts are ready; the operator adds the route summary");
    store.put("config", "main", &configuration(2));
    thread::sleep(Duration::from_secs(3));
    let host = |n: usize| place.callers(1 + (n % usize::from(HOSTS)) as u8);

    if has_trouble {
        record.add("workers drop idle channels without notice from now on");
        drops_idle.store(true, Ordering::SeqCst);
    }
    for round in 0..ROUNDS {
        let burst = (0..BURST).map(|n| {
            let (record, to, id) = (
                record.clone(),
                place.callers(1),
                format!("burst{round}-{n}"),
            );
            thread::spawn(move || is_served(&record, to, &id, &summary(&id)))
        });
        let burst: Vec<_> = burst.collect();
        for client in burst {
            let _served = client.join();
        }
        thread::sleep(PAUSE);
        for n in 0..SINGLES {
            let id = format!("single{round}-{n}");
            is_served(record, place.callers(1), &id, &summary(&id));
            thread::sleep(SINGLE_GAP);
        }
    }
    drops_idle.store(false, Ordering::SeqCst);
    let dropped: u64 = workers
        .iter()
        .map(|w| w.dropped.load(Ordering::SeqCst))
        .sum();
    record.add(&format!(
        "workers drop no more idle channels; {dropped} were reset"
    ));
    thread::sleep(Duration::from_millis(BOUNDS.stable_window_ms + 2_000));

    record.add("steady state: requests on the first route and on the later one");
    let (mut first, mut later) = (0, 0);
    for n in 0..MEASURED {
        let id = format!("look{n}");
        first += usize::from(is_served(record, host(n), &id, &look_up(&id)));
        let id = format!("later{n}");
        later += usize::from(is_served(record, host(n), &id, &summary(&id)));
        thread::sleep(MEASURED_GAP);
    }
    record.add(&format!(
        "served in the steady state: {first} of {MEASURED} on the first route, {later} of {MEASURED} on the route that was added later; less than a quarter as often breaks the rule"
    ));
    observe_after_restart(record, place, &mut hosts);
    Ok(match later * 4 < first {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Restarts all hosts at once and counts what they serve later than `recovery-s` after. The verdict does not depend on it.
fn observe_after_restart(record: &Record, place: &Place, hosts: &mut Vec<Host>) {
    hosts.clear();
    for n in 1..=HOSTS {
        hosts.extend(Host::start(place, n, "here", BOUNDS, false));
    }
    for host in hosts.iter() {
        host.wait_ready(place, READY_LIMIT);
    }
    record.add("all processes of the system were killed and are ready again");
    thread::sleep(RECOVERY_TIME);
    let mut served = 0;
    for n in 0..RESTARTED {
        let id = format!("restarted{n}");
        let to = place.callers(1 + (n % usize::from(HOSTS)) as u8);
        served += usize::from(is_served(record, to, &id, &summary(&id)));
        thread::sleep(MEASURED_GAP);
    }
    record.add(&format!(
        "for the reader only: {served} of {RESTARTED} on the later route are served after the restart"
    ));
}
