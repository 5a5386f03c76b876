//! Scene of review case 6: callers leave before a request that crashes its workers has crashed them.

mod platform;

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{Deployment, Host, Message, Record, Store, Subnet, read_message, unix_ms};

const HOSTS: u8 = 3;
const WORKERS: usize = 4;
/// Objective and time limit of the plain requests of the smallest sheet.
const AIM_MS: u64 = 100;
const TIME_LIMIT_MS: u64 = 600;
/// Work of a plain request.
const WORK: Duration = Duration::from_millis(15);
/// Time from the begin of the run to the crash. It is shorter than the time limit.
const CRASH_AFTER: Duration = Duration::from_millis(350);
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);
/// Callers that leave do so after half the objective.
const PATIENCE: Duration = Duration::from_millis(AIM_MS / 2);
const STABLE_WINDOW_MS: u64 = 3_000;
const ALLOWED_RETRIES: usize = 3;
const POISON_PATH: &str = "/accounts/poison";
/// Time for which the poison request comes again and again, and the pause between.
const PLAY: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(1_500);

/// What workers have seen of the poison request, in milliseconds.
#[derive(Default)]
struct Seen {
    begun: Vec<u64>,
    crashes: Vec<u64>,
    /// Bookings that a worker began to run.
    bookings: std::collections::HashSet<String>,
}

struct Worker {
    number: usize,
    addr: SocketAddr,
    boot: AtomicU64,
    born: AtomicU64,
    is_up: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
}

impl Worker {
    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.boot.load(Ordering::SeqCst))
    }

    fn register(&self) {
        let entry = format!(
            "{{\"service\":\"accounts\",\"address\":\"{}\",\"zone\":\"one\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":{}}}",
            self.addr,
            self.born.load(Ordering::SeqCst)
        );
        self.store.put("servers", &self.id(), &entry);
    }

    /// Serves, crashes and starts again under another id for as long as the scene runs.
    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            self.register();
            let _ = listener.set_nonblocking(true);
            while self.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        self.open.lock().unwrap().push(stream.try_clone().unwrap());
                        let worker = self.clone();
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            for stream in self.open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(DOWN);
            let former = self.id();
            self.boot.fetch_add(1, Ordering::SeqCst);
            self.born.store(unix_ms(), Ordering::SeqCst);
            listener = loop {
                match TcpListener::bind(self.addr) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.is_up.store(true, Ordering::SeqCst);
            // The former entry is removed after three intervals of silence.
            let store = self.store.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(600));
                store.remove("servers", &former);
            });
            self.record.line(&format!("worker {} is back as {}", self.number, self.id()));
        }
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let boot = self.boot.load(Ordering::SeqCst);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            let Some(answer) = self.answer(&request, boot) else {
                return;
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns the answer; `None` if the worker has ended.
    fn answer(&self, request: &Message, boot: u64) -> Option<String> {
        let id = self.id();
        let attempt = request.header("attempt-id").unwrap_or("-").to_owned();
        let ended = || !self.is_up.load(Ordering::SeqCst) || self.boot.load(Ordering::SeqCst) != boot;
        let answer = |status: &str, headers: &str, body: &str| {
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        if request.word(1).starts_with("/stoatjunction/report") {
            let born = self.born.load(Ordering::SeqCst);
            return Some(answer("200 OK", "Content-Type: application/json\r\n", &format!("{{\"born\":{born}}}")));
        }
        if request.header("expected-instance").is_some_and(|e| e != id) {
            let headers = format!("Not-Executed: 1\r\nAttempt-Id: {attempt}\r\n");
            return Some(answer("421 Misdirected", &headers, ""));
        }
        if request.word(1) == POISON_PATH {
            self.seen.lock().unwrap().begun.push(self.record.ms());
            self.record.line(&format!("{id} runs poison {attempt}"));
            let left = request.header("deadline-milliseconds").and_then(|d| d.parse().ok());
            let left = Duration::from_millis(left.unwrap_or(TIME_LIMIT_MS));
            // It does not look at its channel while it runs.
            thread::sleep(CRASH_AFTER.min(left));
            if ended() {
                return None;
            }
            if left > CRASH_AFTER {
                self.seen.lock().unwrap().crashes.push(self.record.ms());
                self.record.line(&format!("{id} crashes under poison {attempt}"));
                self.is_up.store(false, Ordering::SeqCst);
                return None;
            }
            let headers = format!("Server-Stamp: {id}\r\nAttempt-Id: {attempt}\r\n");
            return Some(answer("504 Gateway Timeout", &headers, ""));
        }
        self.seen.lock().unwrap().bookings.insert(attempt.clone());
        thread::sleep(WORK);
        if ended() {
            return None;
        }
        let headers = format!("Server-Stamp: {id}\r\nAttempt-Id: {attempt}\r\nServer-Load: 1,0,6\r\n");
        Some(answer("200 OK", &headers, "done"))
    }
}

/// Sends a request on a channel of its own and returns the status, unless the caller leaves or the channel ends before.
fn call(host: SocketAddr, method: &str, path: &str, id: &str, patience: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(patience));
    let body = if method == "POST" { "body" } else { "" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {TIME_LIMIT_MS}\r\nX-Api-Key: key-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.word(1).parse().ok()
}

fn configuration() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"calls.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":{TIME_LIMIT_MS},\"target-latency-ms\":{AIM_MS},\"priority\":2,\"service\":\"accounts\",\"attempts\":{attempts},\"allow-anonymous\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"accounts\",\"health-check-path\":\"/health\",\"connection-limit\":100}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"member\",\"api-keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"uncached-tokens\":200,\"rate-per-s\":0,\"burst\":0}}]}}",
        route("accounts", "safe", 2),
        route("bookings", "unsafe", 1)
    )
}

fn main() -> ExitCode {
    let args: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [record, folder] = args.as_slice() else {
        eprintln!("usage: poison_left RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record);
    record.line(&format!("callers of the poison request leave early: {has_trouble}"));
    let subnet = Subnet::free();
    let store = Store::start(subnet.ip(200));
    store.put("config", "main", &configuration());
    let seen = Arc::<Mutex<Seen>>::default();
    for number in 0..WORKERS {
        let ip: Ipv4Addr = subnet.ip(100 + number as u8);
        let listener = TcpListener::bind((ip, 0)).expect("a worker can listen");
        let worker = Arc::new(Worker {
            number,
            addr: listener.local_addr().unwrap(),
            boot: AtomicU64::new(1),
            born: AtomicU64::new(unix_ms()),
            is_up: AtomicBool::new(true),
            open: Mutex::default(),
            store: store.clone(),
            record: record.clone(),
            seen: seen.clone(),
        });
        thread::spawn(move || worker.run(listener));
    }
    let deployment = Deployment {
        folder,
        subnet: &subnet,
        store: store.addr,
        zones: &["one"],
        memory_mb: 260,
    };
    let mut hosts: Vec<Host> = (1..=HOSTS).map(|n| Host::start(&deployment, n, "one")).collect();
    if !hosts.iter().all(Host::wait_ready) {
        record.line("the hosts are not ready");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(4));
    let outcome = play(&record, &hosts, has_trouble, &seen);
    let all_run = hosts.iter_mut().all(Host::runs);
    record.line(&format!("all hosts still run: {all_run}"));
    outcome
}

/// Bookings that callers send meanwhile, and how they ended.
#[derive(Default)]
struct Bookings {
    sent: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    lost: AtomicU64,
}

fn play(record: &Record, hosts: &[Host], has_trouble: bool, seen: &Arc<Mutex<Seen>>) -> ExitCode {
    let until = Instant::now() + PLAY;
    let bookings = Arc::<Bookings>::default();
    let fronts: Vec<SocketAddr> = hosts.iter().map(Host::front).collect();
    let mut callers = Vec::new();
    for (n, front) in fronts.iter().copied().enumerate() {
        for m in 0..4 {
            let (bookings, record, seen) = (bookings.clone(), record.clone(), seen.clone());
            callers.push(thread::spawn(move || {
                for k in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let id = format!("b-{n}-{m}-{k}");
                    bookings.sent.fetch_add(1, Ordering::SeqCst);
                    let limit = Duration::from_millis(TIME_LIMIT_MS + 400);
                    let counter = match call(front, "POST", "/bookings/x", &id, limit) {
                        Some(200) => &bookings.answered,
                        Some(429 | 503) => &bookings.refused,
                        other => {
                            let ran = seen.lock().unwrap().bookings.contains(&id);
                            record.line(&format!("booking {id} ends without its answer: {other:?}, a worker had it: {ran}"));
                            &bookings.lost
                        }
                    };
                    counter.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(40));
                }
            }));
        }
    }
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let patience = match has_trouble {
            true => PATIENCE,
            false => Duration::from_millis(TIME_LIMIT_MS + 400),
        };
        let status = call(fronts[n % fronts.len()], "GET", POISON_PATH, &format!("p-{n}"), patience);
        record.line(&format!("poison p-{n} sent to host {}, answer {status:?}", n % fronts.len() + 1));
        thread::sleep(PAUSE);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let seen = seen.lock().unwrap();
    let count = |c: &AtomicU64| c.load(Ordering::SeqCst);
    record.line(&format!(
        "bookings: sent {}, answered {}, refused {}, without their answer {}",
        count(&bookings.sent),
        count(&bookings.answered),
        count(&bookings.refused),
        count(&bookings.lost)
    ));
    let from = seen.crashes.get(2).map(|at| at + STABLE_WINDOW_MS);
    let late = seen.begun.iter().filter(|at| from.is_some_and(|from| **at > from)).count();
    record.line(&format!(
        "poison: {} runs, {} crashes, {late} runs later than {STABLE_WINDOW_MS} ms after the third crash; allowed {ALLOWED_RETRIES}",
        seen.begun.len(),
        seen.crashes.len()
    ));
    match late > ALLOWED_RETRIES {
        true => ExitCode::from(1),
        false => ExitCode::SUCCESS,
    }
}
