//! From the id of a request to its cause, on lines recorded in a played day.

use std::io::Write;
use std::process::{Command, Stdio};

use yare::parameterized;

const LOGS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/day.txt");

fn explain(id: &str) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_stoatjunction"))
        .args(["explain", id, LOGS])
        .output()
        .expect("the program runs");
    assert!(out.status.success());
    String::from_utf8(out.stdout).expect("text")
}

#[parameterized(
    refused_under_overload = { "357b72517cc47170", "was refused with code 2001 (overloaded) after 333 ms", "unreachable at i-81d4395a58" },
    cut_and_resumed = { "c0925ef86bcd6ba5", "was answered by i-23ef3d4828", "no line of a placing was found" },
    timed_out = { "2365a726cbfcd8a5", "was refused with code 3003 (late) after 401 ms", "1 running there" },
    unknown = { "feedfeedfeedfeed", "Nothing is known of feedfeedfeedfeed", "no line names it" },
)]
fn the_last_sentence_says_how_it_ended_and_why(id: &str, how: &str, why: &str) {
    let text = explain(id);

    let last = text.lines().last().expect("a sentence");
    assert!(last.contains(how), "{last}");
    assert!(last.contains(why), "{last}");
}

#[test]
fn lines_come_in_order_of_time() {
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
fn lines_may_come_by_standard_input_and_may_be_missing() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stoatjunction"))
        .args(["explain", "a"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let line = "at=1 level=info host=h event=broken request=a upstream=u reason=\"closed early\"\n";
    let mut stdin = child.stdin.take().expect("piped");
    stdin.write_all(line.as_bytes()).expect("it reads");
    drop(stdin);

    let out = child.wait_with_output().expect("it ends");

    let text = String::from_utf8(out.stdout).expect("text");
    assert!(text.contains("the line of its end is missing"), "{text}");
}
