//! The `explain` command, run on recorded log lines.

use std::io::Write;
use std::process::{Command, Stdio};

use yare::parameterized;

const LOGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/day.txt");
/// A request under which three upstreams end, and its fourth copy.
const POISON_LOGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/poison.txt");

/// Requests with a part in their prompts under which four upstreams end, and the fifth one.
const PART_LOGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/deadly_part.txt");

fn explain(id: &str) -> String {
    explain_from(LOGS, id)
}

fn explain_from(logs: &str, id: &str) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_stoatjunction"))
        .args(["explain", id, logs])
        .output()
        .expect("command runs");
    assert!(out.status.success());
    String::from_utf8(out.stdout).expect("output is UTF-8")
}

#[parameterized(
    refused_under_overload = { "357b72517cc47170", "was refused with code 2001 (overloaded) after 333 ms", "unreachable at i-81d4395a58" },
    cut_and_resumed = { "c0925ef86bcd6ba5", "was answered by i-23ef3d4828", "no log line of its placement was found" },
    timed_out = { "2365a726cbfcd8a5", "was refused with code 3003 (late) after 401 ms", "1 running there" },
    unknown = { "feedfeedfeedfeed", "Request feedfeedfeedfeed is unknown", "no log line mentions it" },
)]
fn the_summary_states_the_outcome_and_its_context(id: &str, outcome: &str, context: &str) {
    let text = explain(id);

    let last = text.lines().last().expect("output has a summary");
    assert!(last.contains(outcome), "{last}");
    assert!(last.contains(context), "{last}");
}

#[test]
fn a_barred_request_is_traced_to_the_crashes_under_its_former_copies() {
    let text = explain_from(POISON_LOGS, "a3");

    let last = text.lines().last().expect("output has a summary");
    assert!(
        last.contains("was refused with code 2011 (barred)"),
        "{last}"
    );
    let crashes = "Upstreams that crashed before under the same request or a part of its prompt: \
        u8 (broken, seen by 127.151.0.1), u9 (broken, seen by 127.151.0.1), \
        u2 (broken, seen by 127.151.0.1).";
    assert!(last.ends_with(crashes), "{last}");
    assert_eq!(text.matches("event=crash_recorded").count(), 3);
}

#[test]
fn a_request_that_is_barred_for_a_part_is_traced_to_the_crashes_under_other_requests_with_it() {
    let text = explain_from(PART_LOGS, "a0000004");

    let last = text.lines().last().expect("output has a summary");
    assert!(
        last.contains("was refused with code 2011 (barred)"),
        "{last}"
    );
    for upstream in ["u3", "u10", "u15", "u8"] {
        let place = format!("{upstream} (broken, seen by 127.143.0.1)");
        assert!(last.contains(&place), "{last}");
    }
    assert_eq!(text.matches("event=crash_recorded").count(), 4);
}

#[test]
fn log_lines_are_sorted_by_time() {
    let text = explain("c0925ef86bcd6ba5");

    let events: Vec<&str> = text
        .lines()
        .filter_map(|l| l.split("event=").nth(1))
        .filter_map(|l| l.split(' ').next())
        .collect();
    assert_eq!(
        events,
        ["cut_in_stream", "unreachable", "resumed", "answered"]
    );
}

#[test]
fn log_lines_come_from_standard_input_without_the_outcome() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stoatjunction"))
        .args(["explain", "a"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("command starts");
    let line = "at=1 level=info host=h event=broken request=a upstream=u reason=\"closed early\"\n";
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin
        .write_all(line.as_bytes())
        .expect("command reads standard input");
    drop(stdin);

    let out = child.wait_with_output().expect("command exits");

    let text = String::from_utf8(out.stdout).expect("output is UTF-8");
    assert!(
        text.contains("the log line of its outcome is missing"),
        "{text}"
    );
}
