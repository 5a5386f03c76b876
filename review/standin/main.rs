//! Plays the cases of the review with the system's own program as separate processes.
//!
//! Usage: standin CASE RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With
//! TROUBLE=0 in the environment the disruption is left out.

mod dark;
mod fleet;
mod freeze;
mod http;
mod idle_channels;
mod record;
mod restart;
mod server;
mod setup;
mod stale_seeds;
mod store;
mod unreadable_entry;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    record.add(&format!("case {case}, disruption: {has_trouble}"));
    let result = match case.as_str() {
        "unreadable-entry" => unreadable_entry::run(&record, has_trouble),
        "unreadable-entry-and-restart" => restart::run(&record, has_trouble),
        "dark-worker" => dark::run(&record, has_trouble),
        "idle-channels" => idle_channels::run(&record, has_trouble),
        "stale-seeds" => stale_seeds::run(&record, has_trouble),
        "freeze" => freeze::run(&record, has_trouble),
        other => Err(format!("there is no case {other}")),
    };
    let (line, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    record.add(&line);
    println!("{line}");
    if let Err(e) = record.write(&PathBuf::from(path)) {
        eprintln!("{e}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
