//! Crashes of upstreams under what they ran, and reports on them between hosts.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::time::Span;

/// What may crash an upstream. All of it that a request holds is a cause of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// The whole request, by a fingerprint of path, organisation and body.
    Request(u64),
    /// A part of its prompt other than the last, which belongs to it alone, by a fingerprint of the id.
    PromptPart(u64),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Request(fingerprint) => write!(f, "{fingerprint:016x}"),
            Cause::PromptPart(fingerprint) => write!(f, "part-{fingerprint:016x}"),
        }
    }
}

/// Crash of an upstream while it ran a request, under one of the causes that this holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// What it may have crashed under.
    pub cause: Cause,
    /// Number of the attempt, so that a crash that is reported twice counts once. Under a part of a prompt
    /// it is the number of the upstream: several runs with that part may end with one crash.
    pub attempt: u64,
}

/// The run that ended with a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CrashedRun {
    /// Number of the upstream, another one after each start; 0 if unknown.
    pub upstream: u64,
    /// Time from the sending to the crash.
    pub lasted: Span,
}

/// A crash as reported to other hosts, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// Number of the attempt.
    pub attempt: u64,
    /// Number of the upstream.
    pub upstream: u64,
    /// Age of the crash.
    pub age: u64,
    /// Time from the sending to the crash.
    pub lasted: u64,
}

/// What a host knows about one cause, as reported to other hosts. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The cause.
    pub cause: Cause,
    /// Crashes under it.
    pub crashes: Vec<ReportedCrash>,
    /// Age of the last whole response, which refutes earlier crashes.
    pub cleared: Option<u64>,
    /// Age of the last refusal.
    pub refused: Option<u64>,
}
