//! Poison requests, under which each upstream that runs them crashes. They are identified by a
//! fingerprint of path, organisation and body. After the third crash the request is no longer sent to any.
//!
//! What is known is state and not a series of events: hosts report all of it to each other again and
//! again, and merge the reports in any order, so that none depends on having heard a certain one.

use std::cmp::Reverse;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Number of crashes after which a request is no longer sent.
pub const MAX_CRASHES: usize = 3;
/// Number of crashes that make a request suspect: hosts report it at once, and keep it in the platform's
/// store. Many requests see one, since they ran on an upstream that crashed for another reason.
const SUSPECT_CRASHES: usize = 2;
/// Time after its last crash or refusal in which a request is remembered.
const RECORD_TTL: Span = Span::from_millis(600_000);
/// Age from which on a crash is no longer reported, so that hosts whose clocks differ a little do not
/// remind each other of it for ever.
const MAX_REPORTED_AGE: Span = Span::from_millis(590_000);
/// Age up to which a single crash is reported.
const SINGLE_CRASH_REPORTED_AGE: Span = Span::from_millis(10_000);
/// Time in which the host that saw a crash should have stored it. Afterwards others do.
const OTHER_HOST_STORES_AFTER: Span = Span::from_millis(2_000);
/// Age up to which a stored crash counts after a restart.
const MAX_STORED_AGE: Span = Span::from_millis(86_400_000);
/// Age that a stored crash has at most after a restart: the store does not tell how recently the
/// request was refused.
const MAX_RESTORED_AGE: Span = Span::from_millis(300_000);
/// Longest delay of a report on its way, by which hosts differ about the time of a crash.
const MAX_REPORT_DELAY: Span = Span::from_millis(1_000);
/// Limit on the remembered requests.
const MAX_RECORDS: usize = 4_096;

/// Crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Number of the attempt, so that a crash that is reported twice counts once.
    pub attempt: u64,
}

/// What a host knows about one request, as reported to other hosts. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Attempts under which an upstream crashed, with the age of the crash.
    pub crashes: Vec<(u64, u64)>,
    /// Age of the last whole response, which refutes earlier crashes.
    pub cleared: Option<u64>,
    /// Age of the last refusal.
    pub refused: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    attempt: u64,
    at: Time,
    /// Time at which this host learned of it.
    known_since: Time,
    /// True if this host saw it itself.
    is_own: bool,
    /// True while it is known to be in the platform's store.
    is_stored: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<KnownCrash>,
    cleared_at: Option<Time>,
    refused_at: Option<Time>,
}

/// Crashes by the fingerprint of the request that caused them.
#[derive(Clone, Debug, Default)]
pub struct PoisonRequests {
    records: IndexMap<u64, Record>,
    /// Stored crashes that no longer count, and have to be removed from the store.
    obsolete: Vec<Crash>,
    has_news: bool,
}

impl PoisonRequests {
    /// Records a crash that this host saw, and returns whether it was new.
    pub fn record_crash(&mut self, crash: Crash, now: Time) -> bool {
        self.insert(crash, now, now, true)
    }

    /// Records a crash that another host saw `age` ago, and returns whether it was unknown.
    pub fn record_peer_crash(&mut self, crash: Crash, age: Span, now: Time) -> bool {
        self.insert(crash, now.saturating_sub(age), now, false)
    }

    fn insert(&mut self, crash: Crash, at: Time, now: Time, is_own: bool) -> bool {
        if now.since(at) >= RECORD_TTL {
            return false;
        }
        let record = self.records.entry(crash.fingerprint).or_default();
        let is_refuted = record.cleared_at.is_some_and(|cleared| at <= cleared);
        if is_refuted || record.crashes.iter().any(|c| c.attempt == crash.attempt) {
            return false;
        }
        record.crashes.push(KnownCrash {
            attempt: crash.attempt,
            at,
            known_since: now,
            is_own,
            is_stored: false,
        });
        self.has_news |= record.crashes.len() >= SUSPECT_CRASHES;
        self.evict();
        true
    }

    /// Merges what another host reports, and returns whether a crash in it was unknown.
    pub fn merge(&mut self, report: &CrashReport, now: Time) -> bool {
        let at = |age: u64| now.saturating_sub(Span::from_millis(age));
        if let Some(cleared) = report.cleared.map(at) {
            self.refute(report.fingerprint, cleared);
        }
        let mut has_new = false;
        for (attempt, age) in &report.crashes {
            let crash = Crash {
                fingerprint: report.fingerprint,
                attempt: *attempt,
            };
            has_new |= self.insert(crash, at(*age), now, false);
        }
        if let Some(record) = self.records.get_mut(&report.fingerprint) {
            record.refused_at = record.refused_at.max(report.refused.map(at));
        }
        has_new
    }

    /// Records that the request ran to its end, which refutes earlier crashes, and returns their
    /// number.
    pub fn clear(&mut self, fingerprint: u64, now: Time) -> usize {
        self.refute(fingerprint, now)
    }

    fn refute(&mut self, fingerprint: u64, cleared_at: Time) -> usize {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return 0;
        };
        let before = record.crashes.len();
        for refuted in record.crashes.extract_if(.., |c| c.at <= cleared_at) {
            if refuted.is_stored {
                self.obsolete.push(Crash {
                    fingerprint,
                    attempt: refuted.attempt,
                });
            }
        }
        record.cleared_at = record.cleared_at.max(Some(cleared_at));
        before - record.crashes.len()
    }

    /// Records that the request came again and was refused: it is remembered for as long as it does.
    pub fn record_refusal(&mut self, fingerprint: u64, now: Time) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.refused_at = Some(now);
        }
    }

    /// Returns the number of known crashes under a request.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.records
            .get(&fingerprint)
            .map_or(0, |r| r.crashes.len())
    }

    /// Returns whether the request must not be sent again.
    pub fn is_barred(&self, fingerprint: u64) -> bool {
        self.crash_count(fingerprint) >= MAX_CRASHES
    }

    /// Returns the number of requests that must not be sent again.
    pub fn barred_count(&self) -> usize {
        let records = self.records.values();
        records.filter(|r| r.crashes.len() >= MAX_CRASHES).count()
    }

    /// Forgets requests that have not come for long.
    pub fn expire(&mut self, now: Time) {
        let obsolete = &mut self.obsolete;
        self.records.retain(|fingerprint, record| {
            let keep = now.since(record.last_event_at()) < RECORD_TTL;
            // The other hosts forget the same crashes at about the same time.
            let stored = record.crashes.iter().filter(|c| c.is_stored && c.is_own);
            if !keep {
                obsolete.extend(stored.map(|c| Crash {
                    fingerprint: *fingerprint,
                    attempt: c.attempt,
                }));
            }
            keep
        });
    }

    /// Drops the least important record when there are too many: the one with the fewest crashes, and
    /// the oldest of these.
    fn evict(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let importance = |r: &Record| (r.crashes.len(), r.last_event_at());
        let records = self.records.iter().enumerate();
        let least = records.min_by_key(|(_, (_, r))| importance(r));
        if let Some(index) = least.map(|(index, _)| index) {
            self.records.swap_remove_index(index);
        }
    }

    /// Returns whether a crash of a suspect request became known since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns up to `max` reports, those of the most crashes first. `draw` decides between equals, so
    /// that all are reported in the course of time.
    pub fn reports<F>(&self, max: usize, now: Time, mut draw: F) -> Vec<CrashReport>
    where
        F: FnMut() -> u64,
    {
        let records = self.records.iter();
        let mut reported: Vec<_> = records
            .filter(|(_, r)| r.is_reported(now))
            .map(|(fingerprint, r)| ((Reverse(r.crashes.len()), draw()), *fingerprint, r))
            .collect();
        reported.sort_unstable_by_key(|(order, _, _)| *order);
        reported
            .into_iter()
            .take(max)
            .map(|(_, fingerprint, r)| r.report(fingerprint, now))
            .collect()
    }

    /// Returns the crashes that this host has to write to the store: those that it saw itself and, if
    /// `for_others`, those of other hosts that no one has written in time.
    pub fn unstored(&self, for_others: bool, now: Time) -> Vec<Crash> {
        let due = |c: &&KnownCrash| {
            let is_left = for_others && now.since(c.known_since) >= OTHER_HOST_STORES_AFTER;
            !c.is_stored && (c.is_own || is_left)
        };
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(_, r)| r.crashes.len() >= SUSPECT_CRASHES);
        let crashes = suspects.flat_map(|(fingerprint, r)| {
            r.crashes.iter().filter(due).map(|c| Crash {
                fingerprint: *fingerprint,
                attempt: c.attempt,
            })
        });
        crashes.collect()
    }

    /// Returns the time since a crash, if it is known.
    pub fn age(&self, crash: Crash, now: Time) -> Option<Span> {
        let record = self.records.get(&crash.fingerprint)?;
        let known = record.crashes.iter().find(|c| c.attempt == crash.attempt);
        known.map(|c| now.since(c.at))
    }

    /// Records a crash that is in the store with this age. One that is too old to count is removed
    /// from there.
    pub fn restore(&mut self, crash: Crash, age: Span, now: Time) {
        if age >= MAX_STORED_AGE {
            self.obsolete.push(crash);
            return;
        }
        self.record_peer_crash(crash, age.min(MAX_RESTORED_AGE), now);
        if self.age(crash, now).is_none() {
            // It was refuted and removed, but the store has come back from an older copy.
            self.obsolete.push(crash);
            return;
        }
        self.set_stored(crash, true);
    }

    /// Records whether a crash is in the store.
    pub fn set_stored(&mut self, crash: Crash, is_stored: bool) {
        if let Some(record) = self.records.get_mut(&crash.fingerprint) {
            for known in &mut record.crashes {
                if known.attempt == crash.attempt {
                    known.is_stored = is_stored;
                }
            }
        }
    }

    /// Records that the store was read anew: what it no longer has must be written again.
    pub fn set_none_stored(&mut self) {
        let records = self.records.values_mut();
        for known in records.flat_map(|r| &mut r.crashes) {
            known.is_stored = false;
        }
    }

    /// Returns a crash that has to be removed from the store.
    pub fn next_obsolete(&self) -> Option<Crash> {
        self.obsolete.last().copied()
    }

    /// Records that this host removed a crash from the store.
    pub fn set_removed(&mut self, crash: Crash) {
        self.obsolete.retain(|c| *c != crash);
        self.set_stored(crash, false);
    }

    /// Records that another host or an operator removed a crash from the store: it does not count any
    /// more, nor do those before it, and reports of them that still arrive are ignored.
    pub fn record_removal(&mut self, crash: Crash) {
        self.set_removed(crash);
        let record = self.records.get(&crash.fingerprint);
        let known = record.and_then(|r| r.crashes.iter().find(|c| c.attempt == crash.attempt));
        if let Some(at) = known.map(|c| c.at) {
            self.refute(crash.fingerprint, at + MAX_REPORT_DELAY);
        }
    }
}

impl Record {
    fn last_event_at(&self) -> Time {
        let crashes = self.crashes.iter().map(|c| Some(c.at));
        let events = crashes.chain([self.cleared_at, self.refused_at]);
        events.max().flatten().unwrap_or_default()
    }

    fn is_reported(&self, now: Time) -> bool {
        let age = now.since(self.last_event_at());
        match self.crashes.len() {
            0 | 1 => age < SINGLE_CRASH_REPORTED_AGE,
            _ => age < MAX_REPORTED_AGE,
        }
    }

    fn report(&self, fingerprint: u64, now: Time) -> CrashReport {
        let age = |at: Time| now.since(at).as_millis();
        CrashReport {
            fingerprint,
            crashes: self
                .crashes
                .iter()
                .map(|c| (c.attempt, age(c.at)))
                .collect(),
            cleared: self.cleared_at.map(age),
            refused: self.refused_at.map(age),
        }
    }
}
