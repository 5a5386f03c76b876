//! From the id of a request to how it ended and why, by log lines of any number of hosts.

use std::io::Read;
use std::path::PathBuf;

use miette::{IntoDiagnostic, WrapErr};
use pico_args::Arguments;

use crate::cli::{Failure, free};

/// One log line about the request.
#[derive(Debug)]
struct Line<'a> {
    at: u64,
    text: &'a str,
}

impl<'a> Line<'a> {
    fn parse(text: &'a str) -> Option<Line<'a>> {
        let start = text.find("at=")?;
        let text = &text[start..];
        let at = value(text, "at")?.parse().ok()?;
        Some(Line { at, text })
    }

    fn get(&self, key: &str) -> &'a str {
        value(self.text, key).unwrap_or("?")
    }
}

/// Prints the lines about a request in order of time, and a sentence on its end.
pub fn run(mut args: Arguments) -> Result<(), Failure> {
    let id = free(&mut args, "ID")?;
    let files: Vec<PathBuf> = args.finish().into_iter().map(PathBuf::from).collect();
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.into_diagnostic()
            .wrap_err("cannot read standard input")?;
    }
    for file in files {
        let part = std::fs::read_to_string(&file)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {}", file.display()))?;
        text.push_str(&part);
        text.push('\n');
    }
    print!("{}", explain(&id, &text));
    Ok(())
}

fn explain(id: &str, text: &str) -> String {
    let mut lines: Vec<Line> = text
        .lines()
        .filter(|l| value(l, "request") == Some(id))
        .filter_map(Line::parse)
        .collect();
    lines.sort_by_key(|l| l.at);
    let mut out = String::new();
    for line in &lines {
        out.push_str(line.text);
        out.push('\n');
    }
    out.push_str(&sentence(id, &lines));
    out.push('\n');
    out
}

fn sentence(id: &str, lines: &[Line]) -> String {
    let Some(end) = lines.last() else {
        return format!("Nothing is known of {id}: no line names it.");
    };
    let placed = lines.iter().rev().find(|l| l.get("event") == "placed");
    let before = match placed {
        Some(p) => format!(
            "sent to {} of {} with {} running there and {} places free",
            p.get("upstream"),
            p.get("service"),
            p.get("running"),
            p.get("free")
        ),
        None => "no line of a placing was found".to_owned(),
    };
    let how = match end.get("event") {
        "answered" => format!("was answered by {}", end.get("upstream")),
        "refused" => format!(
            "was refused with code {} ({}) after {} ms",
            end.get("code"),
            end.get("reason"),
            end.get("after_ms")
        ),
        "cut_in_stream" => format!(
            "was cut off by {} after event {} and not resumed",
            end.get("upstream"),
            end.get("last_event")
        ),
        "caller_left" => "was left by its caller".to_owned(),
        "late_in_stream" => "ran into the time of its route in mid-stream".to_owned(),
        other => format!("was last seen at {other}; the line of its end is missing"),
    };
    let causes: Vec<String> = lines
        .iter()
        .filter(|l| ["broken", "unreachable", "not_run", "no_receipt"].contains(&l.get("event")))
        .map(|l| format!("{} at {}", l.get("event"), l.get("upstream")))
        .collect();
    let why = if causes.is_empty() {
        String::new()
    } else {
        format!("; before that: {}", causes.join(", "))
    };
    let host = end.get("host");
    format!("Request {id} at host {host} {how}; {before}{why}.")
}

/// Value of a key in a line of `key=value` pairs; quoted values may hold spaces.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let at = rest.find(key)?;
        let begins = at == 0 || rest[..at].ends_with(' ');
        let after = &rest[at + key.len()..];
        if begins && let Some(found) = after.strip_prefix('=') {
            return match found.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next(),
                None => found.split(' ').next(),
            };
        }
        rest = after;
    }
}
