//! A machine is lost for good and another one is added. The only seed in its settings is the lost machine, so that it
//! finds none of the others. A member asks for more than its usage cap at all machines.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Bounds, Host};
use crate::record::Record;
use crate::server::Answers;
use crate::setup::{API_KEY, Deployment, exchange, text};

const BOUNDS: Bounds = Bounds {
    stable_window_ms: 3_000,
    drain_ms: 2_000,
    configuration_ms: 2_000,
    grace_s: 8,
};
const ANSWERS: Answers = Answers {
    work: Duration::from_millis(10),
    bytes: 800,
};
/// The usage cap of the member in tokens, as in the configuration, and the bounds of the settings.
const RATE_PER_S: u64 = 40_000;
const BURST: u64 = 40_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 140_000.0;
const WINDOW_MS: u64 = 8_000;
/// Tokens of a request, and the time between two at each machine.
const TOKENS: u64 = 2_000;
const GAP: Duration = Duration::from_millis(25);
const LOAD_TIME: Duration = Duration::from_secs(20);
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Time after which the machines are in touch again, with a margin.
const SETTLE_TIME: Duration = Duration::from_secs(8);

fn configuration() -> String {
    format!(
        "{{\"version\":2,\"routes\":[{{\"name\":\"book\",\"host\":\"calls.example\",\"path-prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":0,\"service\":\"pool\",\"attempts\":1,\"allow-anonymous\":false}}],\"services\":[{{\"name\":\"pool\",\"health-check-path\":\"/health\",\"connection-limit\":360}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"member\",\"api-keys\":[\"{API_KEY}\"],\"unit\":\"tokens\",\"uncached-tokens\":200,\"rate-per-s\":{RATE_PER_S},\"burst\":{BURST}}}]}}"
    )
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /book/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nToken-Counts: 1900,100\r\nDeadline-Milliseconds: 2000\r\nX-Api-Key: {API_KEY}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

/// Statuses of a machine's answers, with how many there were of each.
type Counts = Arc<Mutex<Vec<(u16, u64)>>>;

/// Sends requests to a machine, one after the other whether they are answered or not.
fn load(to: SocketAddr, name: &str, counts: &Counts) {
    let ends_at = Instant::now() + LOAD_TIME;
    let mut clients = Vec::new();
    for n in 0.. {
        if Instant::now() >= ends_at {
            break;
        }
        let (id, counts) = (format!("{name}-{n}"), counts.clone());
        clients.push(thread::spawn(move || {
            let answer = exchange(to, &request(&id));
            let status = answer.ok().flatten().map_or(0, |m| m.status());
            let mut counts = counts.lock().unwrap();
            match counts.iter_mut().find(|(s, _)| *s == status) {
                Some((_, count)) => *count += 1,
                None => counts.push((status, 1)),
            }
        }));
        thread::sleep(GAP);
    }
    for client in clients {
        let _answered = client.join();
    }
}

/// Runs the case.
pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record, BOUNDS, 3, 4, ANSWERS, "member")?;
    deployment.store.put("config", "main", &configuration());
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        // Dropping it ends the process; it never comes back.
        let lost = deployment.hosts.remove(0);
        record.add("machine 1, the seed, loses power for good");
        drop(lost);
    }
    thread::sleep(Duration::from_secs(1));
    let added = Host::start(&deployment.place, 4, "here", BOUNDS, false).map_err(text)?;
    deployment.hosts.push(added);
    let added = deployment.hosts.last().ok_or("no host was added")?;
    if !added.wait_ready(&deployment.place, READY_LIMIT) {
        return Err("the added machine is not ready".to_owned());
    }
    record.add("machine 4 is added and says that it is ready");
    thread::sleep(SETTLE_TIME);

    record.add("a member asks for about twice its usage cap at each of the machines 2, 3 and 4");
    let mut loads = Vec::new();
    for n in 2..=4 {
        let (to, counts) = (deployment.place.callers(n), Counts::default());
        let shared = counts.clone();
        let load = thread::spawn(move || load(to, &format!("m{n}"), &shared));
        loads.push((n, counts, load));
    }
    for (n, counts, load) in loads {
        let _ended = load.join();
        let counts = counts.lock().unwrap();
        record.add(&format!("answers of machine {n}, by status: {counts:?}"));
    }
    let mut runs: Vec<u64> = Vec::new();
    for server in &deployment.servers {
        runs.extend(server.arrivals().iter().map(|(_, at)| *at));
    }
    runs.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (n, at) in runs.iter().enumerate() {
        while at - runs[first] > WINDOW_MS {
            first += 1;
        }
        most = most.max(n - first + 1);
    }
    let tokens = most as u64 * TOKENS;
    let cap = (RATE_PER_S * WINDOW_MS / 1_000 + BURST) as f64;
    let bound = cap * (1.0 + OVERAGE) + SLACK;
    record.add(&format!(
        "most tokens that workers ran in {WINDOW_MS} ms: {tokens}; the bound is {bound}"
    ));
    Ok(match tokens as f64 > bound {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
