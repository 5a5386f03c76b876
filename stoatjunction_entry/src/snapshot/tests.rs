//! Snapshots of the first protocol as its builds recorded them.

use serde::Deserialize;
use serde_json::Value;
use yare::parameterized;

use super::Snapshot;
use crate::protocol::{CURRENT, Extension, HostProtocol};

/// Snapshots that the build e39ddc8 encoded, each with what it holds.
const RECORDED: &str = include_str!("../../tests/protocol_1/snapshots.jsonl");

#[derive(Debug, Deserialize)]
struct Recorded {
    name: String,
    message: Value,
    bytes: String,
}

fn recorded() -> Vec<Recorded> {
    let lines = RECORDED.lines();
    let recorded = lines.map(|l| serde_json::from_str(l).expect("the line is valid"));
    recorded.collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let digits = digits.map(|d| std::str::from_utf8(d).expect("digits are text"));
    let bytes = digits.map(|d| u8::from_str_radix(d, 16).expect("digits are hexadecimal"));
    bytes.collect()
}

// Guards against a change of the first protocol, after which a host of this build gets no configuration from the others
// during an outage of the store, and they get none from it.
#[parameterized(
    this_build = { CURRENT },
    later_build_with_further_fields = { 9 },
)]
fn snapshots_of_the_first_protocol_are_read_and_sent_as_its_builds_do(version: u16) {
    let extension = Extension::new(HostProtocol::up_to(version));
    for recorded in recorded() {
        let bytes = unhex(&recorded.bytes);
        let (read, _) = Snapshot::decode(&bytes).expect(&recorded.name);
        let sent = read.encode(&extension).expect(&recorded.name);
        let (read_again, _) = Snapshot::decode(&sent).expect(&recorded.name);

        for snapshot in [&read, &read_again] {
            let content = serde_json::to_value(snapshot).expect("snapshots have a text form");
            assert_eq!(content, recorded.message, "{}", recorded.name);
        }
        assert!(sent.starts_with(&bytes), "{}", recorded.name);
        assert_ne!(sent.len(), bytes.len(), "{}", recorded.name);
    }
}

#[test]
fn a_snapshot_that_is_cut_or_damaged_is_refused() {
    for recorded in recorded() {
        let bytes = unhex(&recorded.bytes);
        for len in 0..bytes.len() {
            assert!(
                Snapshot::decode(&bytes[..len]).is_err(),
                "{}",
                recorded.name
            );
        }
        for at in 0..bytes.len() {
            for byte in [0, 1, 250, 251, 252, 253, 255] {
                let mut changed = bytes.clone();
                changed[at] = byte;
                let _read_or_refused = Snapshot::decode(&changed);
            }
        }
    }
}
