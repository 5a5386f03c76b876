//! How hosts find each other when the seeds in their settings are stale: the platform's store names some hosts, which
//! any other one contacts that knows of no host with a lower number.
//!
//! Only these hosts ask the store, so that a fleet makes few calls: those that know no other, and one of each group of
//! hosts that hear each other.

use std::net::IpAddr;

use crate::time::{Span, Time};

/// Age from which on a host asks: by then it has heard others if one of its seeds is up.
const MIN_AGE: Span = Span::from_millis(600);
/// Interval between two reads.
const READ_INTERVAL: Span = Span::from_millis(30_000);
/// Pause after a failed call.
const RETRY_INTERVAL: Span = Span::from_millis(1_000);
/// Time in which the named hosts are contacted after a read, and may answer before others take their places.
const ANSWER_TIME: Span = Span::from_millis(1_000);
/// Time after a read in which they are contacted.
const CONTACT_TIME: Span = Span::from_millis(5_000);
/// Heard hosts among those that the store names, fewer than which are added to.
const MIN_HEARD: usize = 2;
/// Heard hosts that are named then.
const NAMED_HEARD: usize = 4;
/// Limit on the hosts that the store names. Those that are not heard stay, since they may be cut off only.
const MAX_NAMED: usize = 8;

/// What a host does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Wait,
    /// It reads which hosts the store names.
    Read,
    /// It replaces them by these.
    Write(Vec<IpAddr>),
}

/// What a host knows of the hosts that the store names.
#[derive(Clone, Debug, Default)]
pub struct Rendezvous {
    named: Vec<IpAddr>,
    read_at: Option<Time>,
    failed_at: Option<Time>,
}

impl Rendezvous {
    /// Returns what a host does next that has been up for `age`. `heard` holds the hosts that it hears and itself, that with
    /// the lowest number first; `own` is its address.
    pub fn next(&self, own: IpAddr, heard: &[IpAddr], age: Span, now: Time) -> Step {
        let has_failed = self
            .failed_at
            .is_some_and(|at| now.since(at) < RETRY_INTERVAL);
        if heard.first() != Some(&own) || age < MIN_AGE || has_failed {
            return Step::Wait;
        }
        let Some(read_at) = self.read_at.filter(|at| now.since(*at) < READ_INTERVAL) else {
            return Step::Read;
        };
        let named_heard = self.named.iter().filter(|ip| heard.contains(ip)).count();
        let may_answer = named_heard < self.named.len() && now.since(read_at) < ANSWER_TIME;
        if named_heard >= MIN_HEARD.min(heard.len()) || may_answer {
            return Step::Wait;
        }
        let others = self.named.iter().filter(|ip| !heard.contains(ip));
        let hosts = heard.iter().take(NAMED_HEARD).chain(others);
        Step::Write(hosts.take(MAX_NAMED).copied().collect())
    }

    /// Returns the hosts to contact.
    pub fn contacts(&self, now: Time) -> &[IpAddr] {
        match self.read_at {
            Some(at) if now.since(at) < CONTACT_TIME => &self.named,
            _ => &[],
        }
    }

    /// Records which hosts the store names.
    pub fn record_named(&mut self, named: Vec<IpAddr>, now: Time) {
        self.named = named;
        self.read_at = Some(now);
        self.failed_at = None;
    }

    /// Records that another host has replaced them since the read.
    pub fn record_conflict(&mut self) {
        self.read_at = None;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Time) {
        self.failed_at = Some(now);
    }
}
