//! Learned capacity of upstreams in the messages between hosts, and its log lines.

use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::capacity::LearnedNumber;
use stoatjunction_core::entry::capacity_reports::{CapacityReport, PaceReport};
use stoatjunction_core::entry::route_table::RouteTable;
use stoatjunction_core::time::{Span, Time};

use crate::state::SharedState;

/// Maximum learned numbers, and maximum paces, in one heartbeat.
const MAX_ENTRIES: usize = 16;
/// Maximum learned numbers in the summary of a data centre. Traffic between data centres is billed.
const MAX_RELAYED: usize = 16;
/// Maximum changes that are logged in one interval of the full heartbeats. Others are logged in the next ones.
const MAX_LOGGED: usize = 8;
/// Unit in which learned numbers are sent, as a part of a run.
const NUMBER_UNIT: f64 = 0.1;

/// What a heartbeat says of the capacity of upstreams of the sender's data centre. Encoded by position: the order of the
/// fields is part of the protocol.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct CapacityEntries {
    learned: Vec<LearnedEntry>,
    paces: Vec<PaceEntry>,
}

/// Learned number of an upstream.
#[derive(Debug, Serialize, Deserialize)]
struct LearnedEntry {
    upstream: u64,
    /// Tenths of a run.
    tenths: u16,
    /// Milliseconds since the run from which it was learned.
    age: u32,
    /// Trust in the stated pace in percent, if enough runs were compared with it.
    trust: Option<u8>,
}

/// Pace that an upstream stated.
#[derive(Debug, Serialize, Deserialize)]
struct PaceEntry {
    upstream: u64,
    pace: u16,
    /// Milliseconds since it was stated.
    age: u16,
}

/// Learned numbers and slowdowns of a data centre's upstreams, for the other data centres. Paces are left out: they
/// would be stale on arrival.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct RelayedCapacity {
    learned: Vec<LearnedEntry>,
    /// Slowdowns of these upstreams, with the number of observations behind each.
    slowdowns: Vec<(u64, f32, u32)>,
}

/// Returns what a heartbeat says. One that is `full` also names numbers that did not change lately, at random if there
/// are too many.
pub(crate) fn build(state: &SharedState, full: bool, now: Time) -> CapacityEntries {
    let pools = state.schedulers.values().map(|s| &s.pool);
    let mut paces: Vec<PaceReport> = pools.clone().flat_map(|p| p.pace_reports(now)).collect();
    paces.sort_by_key(|r| r.age);
    let mut entries: Vec<CapacityReport> = pools
        .clone()
        .flat_map(|p| p.capacity_reports(false, now))
        .collect();
    entries.sort_by_key(|r| r.learned.age);
    entries.truncate(MAX_ENTRIES);
    if full {
        let all = pools.flat_map(|p| p.capacity_reports(true, now));
        let is_new = |r: &CapacityReport| entries.iter().any(|n| n.upstream == r.upstream);
        let mut unchanged: Vec<CapacityReport> = all.filter(|r| !is_new(r)).collect();
        fastrand::shuffle(&mut unchanged);
        unchanged.truncate(MAX_ENTRIES - entries.len());
        entries.extend(unchanged);
    }
    CapacityEntries {
        learned: entries.iter().map(LearnedEntry::new).collect(),
        paces: paces.iter().take(MAX_ENTRIES).map(PaceEntry::new).collect(),
    }
}

/// Returns what the summary of this data centre says.
pub(crate) fn build_relayed(state: &SharedState, now: Time) -> RelayedCapacity {
    let pools = state.schedulers.values().map(|s| &s.pool);
    let mut reports: Vec<CapacityReport> = pools
        .clone()
        .flat_map(|p| p.capacity_reports(true, now))
        .collect();
    if reports.len() > MAX_RELAYED {
        fastrand::shuffle(&mut reports);
        reports.truncate(MAX_RELAYED);
    }
    let slowdown_of = |number: u64| {
        let mut upstreams = pools.clone().filter_map(|p| {
            let key = p.key_by_number(number)?;
            Some(p.upstream(key)?.slowdown())
        });
        let (slowdown, count) = upstreams.next()?;
        (count > 0).then_some((number, slowdown as f32, count))
    };
    RelayedCapacity {
        slowdowns: reports
            .iter()
            .filter_map(|r| slowdown_of(r.upstream))
            .collect(),
        learned: reports.iter().map(LearnedEntry::new).collect(),
    }
}

impl LearnedEntry {
    fn new(report: &CapacityReport) -> LearnedEntry {
        let learned = &report.learned;
        LearnedEntry {
            upstream: report.upstream,
            tenths: (learned.runs / NUMBER_UNIT).round() as u16,
            age: learned.age.as_millis().min(u64::from(u32::MAX)) as u32,
            trust: learned.trust.map(|t| (t * 100.0).round() as u8),
        }
    }

    fn report(&self) -> CapacityReport {
        CapacityReport {
            upstream: self.upstream,
            learned: LearnedNumber {
                runs: f64::from(self.tenths) * NUMBER_UNIT,
                age: Span::from_millis(u64::from(self.age)),
                trust: self.trust.map(|t| f64::from(t) / 100.0),
            },
        }
    }
}

impl PaceEntry {
    fn new(report: &PaceReport) -> PaceEntry {
        PaceEntry {
            upstream: report.upstream,
            pace: report.pace.min(u32::from(u16::MAX)) as u16,
            age: report.age.as_millis().min(u64::from(u16::MAX)) as u16,
        }
    }

    fn report(&self) -> PaceReport {
        PaceReport {
            upstream: self.upstream,
            pace: u32::from(self.pace),
            age: Span::from_millis(u64::from(self.age)),
        }
    }
}

/// Applies what a heartbeat says.
pub(crate) fn receive(state: &mut SharedState, entries: &CapacityEntries, now: Time) {
    receive_learned(state, &entries.learned, now);
    for scheduler in state.schedulers.values_mut() {
        for entry in &entries.paces {
            scheduler.pool.record_peer_pace(&entry.report(), now);
        }
    }
}

/// Applies what the summary of another data centre says.
pub(crate) fn receive_relayed(state: &mut SharedState, relayed: &RelayedCapacity, now: Time) {
    receive_learned(state, &relayed.learned, now);
    for scheduler in state.schedulers.values_mut() {
        let pool = &mut scheduler.pool;
        for (upstream, slowdown, observed) in &relayed.slowdowns {
            if let Some(key) = pool.key_by_number(*upstream) {
                pool.record_peer_slowdown(key, f64::from(*slowdown), *observed);
            }
        }
    }
}

fn receive_learned(state: &mut SharedState, learned: &[LearnedEntry], now: Time) {
    for scheduler in state.schedulers.values_mut() {
        for entry in learned {
            scheduler.pool.record_peer_capacity(&entry.report(), now);
        }
    }
}

/// Logs the learned numbers that have changed, each upstream at most once a second.
pub(crate) fn log_changes(state: &mut SharedState, now: Time) {
    let mut left = MAX_LOGGED;
    for (service, scheduler) in &mut state.schedulers {
        let changes = scheduler.pool.take_capacity_changes(left, now);
        left -= changes.len();
        for c in changes {
            log::info!(
                "event=upstream_capacity upstream={} service={service} runs={} before={} listed={} pace={:.0} trust={:.2}",
                c.id,
                c.number,
                c.before,
                c.listed,
                c.pace,
                c.trust
            );
        }
    }
}

/// Sets the target latency of each service: the lowest of the routes that use it.
pub(crate) fn set_target_latencies(state: &mut SharedState, routes: &RouteTable) {
    for (service, scheduler) in &mut state.schedulers {
        let uses = routes.cfg().routes.iter().filter(|r| {
            let mut targets = r.targets.iter();
            targets.any(|(target, _)| target == service)
        });
        let target = uses.map(|r| r.aim).min();
        scheduler.pool.set_target_latency(target);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against heartbeats that grow beyond a datagram of 1,200 bytes: the entries may take half of it.
    #[test]
    fn the_largest_entries_of_a_heartbeat_take_at_most_600_bytes() {
        let learned = |n: u64| LearnedEntry {
            upstream: u64::MAX - n,
            tenths: 2_550,
            age: 3_600_000,
            trust: Some(100),
        };
        let pace = |n: u64| PaceEntry {
            upstream: u64::MAX - n,
            pace: 800,
            age: 300,
        };
        let count = MAX_ENTRIES as u64;
        let entries = CapacityEntries {
            learned: (0..count).map(learned).collect(),
            paces: (0..count).map(pace).collect(),
        };

        let bytes = bincode::serde::encode_to_vec(&entries, bincode::config::standard()).unwrap();

        assert!(bytes.len() <= 600, "{}", bytes.len());
    }

    #[test]
    fn entries_keep_what_they_are_built_from() {
        let report = CapacityReport {
            upstream: 7,
            learned: LearnedNumber {
                runs: 3.5,
                age: Span::from_millis(1_234),
                trust: Some(0.25),
            },
        };
        let pace = PaceReport {
            upstream: 7,
            pace: 250,
            age: Span::from_millis(40),
        };

        assert_eq!(LearnedEntry::new(&report).report(), report);
        assert_eq!(PaceEntry::new(&pace).report(), pace);
    }
}
