//! The `explain` command: summarises how a request ended and why, from the logs of any number of
//! hosts.

use std::io::Read;
use std::path::PathBuf;

use miette::{IntoDiagnostic, WrapErr};
use pico_args::Arguments;

use crate::cli::{CommandError, take_positional};
use crate::output::outln;

/// A log line of the request.
#[derive(Debug)]
struct LogLine<'a> {
    at: u64,
    text: &'a str,
}

impl<'a> LogLine<'a> {
    fn parse(text: &'a str) -> Option<LogLine<'a>> {
        let start = text.find("at=")?;
        let text = &text[start..];
        let at = field_value(text, "at")?.parse().ok()?;
        Some(LogLine { at, text })
    }

    fn get(&self, key: &str) -> &'a str {
        field_value(self.text, key).unwrap_or("?")
    }
}

/// Prints the log lines of a request, sorted by time, and a sentence with its outcome and earlier
/// failures. Crashes of upstreams under the same request, when it came before, are among them.
pub fn run(mut args: Arguments) -> Result<(), CommandError> {
    let id = take_positional(&mut args, "ID")?;
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
    outln!("{}", explain(&id, &text).trim_end_matches('\n'));
    Ok(())
}

fn explain(id: &str, text: &str) -> String {
    let mut lines: Vec<LogLine> = text
        .lines()
        .filter(|l| field_value(l, "request") == Some(id))
        .filter_map(LogLine::parse)
        .collect();
    lines.sort_by_key(|l| l.at);
    let mut summary = summary(id, &lines);
    let crashes = crashes_before(id, &lines, text);
    if !crashes.is_empty() {
        let places: Vec<String> = crashes.iter().map(crash_place).collect();
        summary.push_str(&format!(
            " Upstreams that crashed before under the same request or a part of its prompt: {}.",
            places.join(", ")
        ));
    }
    lines.extend(crashes);
    lines.sort_by_key(|l| l.at);
    let mut out = String::new();
    for line in &lines {
        out.push_str(line.text);
        out.push('\n');
    }
    out.push_str(&summary);
    out.push('\n');
    out
}

/// Returns the crashes under other requests that were the same or held the same parts, for which this one was
/// refused or suspect.
fn crashes_before<'a>(id: &str, lines: &[LogLine<'a>], text: &'a str) -> Vec<LogLine<'a>> {
    let causes: Vec<&str> = lines
        .iter()
        .filter(|l| l.get("event") != "crash_recorded")
        .filter_map(|l| field_value(l.text, "cause"))
        .flat_map(|c| c.split('+'))
        .collect();
    let is_known = |l: &str| field_value(l, "cause").is_some_and(|c| causes.contains(&c));
    let crashes = text.lines().filter(|l| {
        field_value(l, "event") == Some("crash_recorded")
            && is_known(l)
            && field_value(l, "request") != Some(id)
    });
    crashes.filter_map(LogLine::parse).collect()
}

fn crash_place(crash: &LogLine) -> String {
    format!(
        "{} ({}, seen by {})",
        crash.get("upstream"),
        crash.get("end"),
        crash.get("host")
    )
}

fn summary(id: &str, lines: &[LogLine]) -> String {
    let Some(last) = lines.last() else {
        return format!("Request {id} is unknown: no log line mentions it.");
    };
    let placed = lines.iter().rev().find(|l| l.get("event") == "placed");
    let placement = match placed {
        Some(p) => format!(
            "sent to {} of {} with {} running there and {} slots free",
            p.get("upstream"),
            p.get("service"),
            p.get("running"),
            p.get("free")
        ),
        None => "no log line of its placement was found".to_owned(),
    };
    let outcome = match last.get("event") {
        "answered" => format!("was answered by {}", last.get("upstream")),
        "refused" => format!(
            "was refused with code {} ({}) after {} ms",
            last.get("code"),
            last.get("reason"),
            last.get("after_ms")
        ),
        "cut_in_stream" => format!(
            "was cut off by {} after event {} and not resumed",
            last.get("upstream"),
            last.get("last_event")
        ),
        "caller_left" => "was abandoned by its caller".to_owned(),
        "late_in_stream" => "exceeded the timeout of its route in mid-stream".to_owned(),
        other => format!("was last logged as {other}; the log line of its outcome is missing"),
    };
    let failures: Vec<String> = lines
        .iter()
        .filter(|l| ["broken", "unreachable", "not_run", "no_signature"].contains(&l.get("event")))
        .map(|l| format!("{} at {}", l.get("event"), l.get("upstream")))
        .collect();
    let earlier_failures = if failures.is_empty() {
        String::new()
    } else {
        format!("; earlier failures: {}", failures.join(", "))
    };
    let host = last.get("host");
    format!("Request {id} at host {host} {outcome}; {placement}{earlier_failures}.")
}

/// Returns the value of `key` in a line of `key=value` pairs. Quoted values may contain spaces.
fn field_value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let start = rest.find(key)?;
        let is_whole_key = start == 0 || rest[..start].ends_with(' ');
        let after_key = &rest[start + key.len()..];
        if is_whole_key && let Some(value) = after_key.strip_prefix('=') {
            return match value.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next(),
                None => value.split(' ').next(),
            };
        }
        rest = after_key;
    }
}
