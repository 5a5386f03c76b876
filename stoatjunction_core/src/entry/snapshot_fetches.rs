//! Which hosts' snapshots are being fetched, and whether another one is asked beside them: a host that has
//! just reported a newer state may freeze or vanish, and the next one must not wait for that.

use std::net::IpAddr;

use crate::time::{Span, Time};

/// Hosts asked at once; snapshots of large fleets take a good part of a small host's link.
const MAX_FETCHES: usize = 3;

/// Snapshots that are being fetched.
#[derive(Clone, Debug, Default)]
pub struct SnapshotFetches {
    /// The hosts asked, with the time of the question.
    asked: Vec<(IpAddr, Time)>,
}

impl SnapshotFetches {
    /// Records that `host` is asked and returns true, unless it is being asked already, or another one has
    /// been for less than `patience`, or enough are.
    pub fn try_begin(&mut self, host: IpAddr, patience: Span, now: Time) -> bool {
        let is_asked = self.asked.iter().any(|(ip, _)| *ip == host);
        let is_hopeful = self.asked.iter().any(|(_, at)| now.since(*at) < patience);
        if is_asked || is_hopeful || self.asked.len() >= MAX_FETCHES {
            return false;
        }
        self.asked.push((host, now));
        true
    }

    /// Records that `host` has answered or failed.
    pub fn end(&mut self, host: IpAddr) {
        self.asked.retain(|(ip, _)| *ip != host);
    }
}
