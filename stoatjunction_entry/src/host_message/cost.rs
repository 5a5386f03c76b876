//! What messages cost in bytes and in processor time, with and without the extension. Prints a table; run it by
//! `cargo test --release -p stoatjunction_entry --lib cost -- --ignored --nocapture`.

use std::hint::black_box;
use std::time::Instant;

use serde_json::{Value, json};

use super::HostMessage;
use crate::protocol::{CURRENT, Extension, FIRST, HostProtocol};

/// Hosts of a fleet.
const FLEETS: [u64; 3] = [8, 64, 295];
/// Times that each message is encoded and decoded.
const ROUNDS: u32 = 20_000;
/// Hosts that a heartbeat names, and upstreams that it reports on, at most.
const MAX_NAMED: u64 = 16;

/// Returns a number of many digits, as those of upstreams are.
fn number(n: u64) -> u64 {
    (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn loads(count: u64) -> Vec<Value> {
    let load = |n| json!({"node": number(n), "running": 3, "unread": 900, "held_tokens": 70_000});
    (0..count).map(load).collect()
}

fn usage() -> Vec<Value> {
    let usage = |n| json!({"subject": number(n), "total": 70_000, "recent": 300, "level": 0.5});
    (0..20).map(usage).collect()
}

fn learned() -> Vec<Value> {
    let learned = |n| json!({"upstream": number(n), "tenths": 80, "age": 9_000, "trust": 90});
    (0..MAX_NAMED).map(learned).collect()
}

fn ip(n: u64) -> String {
    format!("10.0.{}.{}", n / 250, n % 250 + 1)
}

/// Returns the full heartbeat of a host that uses as many upstreams as there are hosts, 40 at most.
fn heartbeat(hosts: u64) -> HostMessage {
    let used = hosts.min(40);
    let named: Vec<String> = (0..hosts.min(MAX_NAMED)).map(ip).collect();
    let paces =
        (0..used.min(MAX_NAMED)).map(|n| json!({"upstream": number(n), "pace": 250, "age": 40}));
    let message = json!({"Own": {
        "boot": number(0), "dc": "lima", "leaving": false, "follows": true, "cut_off": [],
        "known": {"config": 3, "revision": 900, "digest": number(1)},
        "loads": loads(used), "waiting": [["chat", [[0, 4], [1, 9]]]], "told": usage(), "breaks": [],
        "parts": [[number(3) as u32, number(4)]],
        "more": {"demand": [["chat", 12.5]], "speeds": [], "hosts": named},
        "begun_streams": [[77, [number(5), number(6)]]], "down": [],
        "capacity": {"learned": learned(), "paces": paces.collect::<Vec<Value>>()},
    }});
    serde_json::from_value(message).expect("the message is valid")
}

/// Returns the summary of one of three data centres.
fn summary(hosts: u64) -> HostMessage {
    let member = |n| json!({"ip": ip(n), "boot": number(n), "age": 120, "cut_off": []});
    let members: Vec<Value> = (0..hosts / 3).map(member).collect();
    let message = json!({"DataCentre": {
        "teller": number(0), "dc": "lima", "known": {"config": 3, "revision": 900, "digest": number(1)},
        "hosts": members, "told": usage(), "loads": loads(hosts.min(120)), "waiting": [["chat", [[0, 4], [1, 9]]]],
        "capacity": {"learned": learned(), "slowdowns": []},
    }});
    serde_json::from_value(message).expect("the message is valid")
}

/// Returns the microseconds that a call takes on average.
fn time<F>(mut call: F) -> f64
where
    F: FnMut(),
{
    let began = Instant::now();
    for _ in 0..ROUNDS {
        call();
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}

fn encode_as_first(message: &HostMessage) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(message, bincode::config::standard());
    encoded.expect("the message is encoded")
}

fn decode_as_first(bytes: &[u8]) -> HostMessage {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.expect("the message is decoded").0
}

fn print_cost(name: &str, hosts: u64, message: &HostMessage, extension: &Extension) {
    let before = encode_as_first(message);
    let after = message.encode(extension).expect("the message is encoded");
    let encode_before = time(|| drop(black_box(encode_as_first(black_box(message)))));
    let encode_after = time(|| drop(black_box(message.encode(black_box(extension)))));
    let decode_before = time(|| drop(black_box(decode_as_first(black_box(&before)))));
    let decode_after = time(|| drop(black_box(HostMessage::decode(black_box(&after)))));
    println!(
        "{name} {hosts} hosts: bytes {} {}, encode us {encode_before:.2} {encode_after:.2}, decode us {decode_before:.2} {decode_after:.2}",
        before.len(),
        after.len(),
    );
}

#[test]
#[ignore = "prints figures, which a build without optimisation distorts"]
fn cost_of_messages_before_and_after() {
    let own = HostProtocol::up_to(CURRENT);
    println!("each figure: without, with the extension");
    for hosts in FLEETS {
        print_cost("heartbeat", hosts, &heartbeat(hosts), &Extension::new(own));
        let members = vec![own; hosts as usize / 3];
        let extension = Extension::of_summary(own, &members);
        print_cost("summary, one build", hosts, &summary(hosts), &extension);
        let mixed = (0..hosts / 3).map(|n| [own, HostProtocol::up_to(FIRST)][n as usize % 2]);
        let mixed: Vec<HostProtocol> = mixed.collect();
        let extension = Extension::of_summary(own, &mixed);
        print_cost("summary, two builds", hosts, &summary(hosts), &extension);
    }
}
