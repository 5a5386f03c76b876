//! What crashes upstreams: requests under which each upstream that runs them crashes, and parts of prompts
//! that crash it whatever else the request holds. One that is known to do so is no longer sent to any.
//!
//! What is known is state and not a series of events: hosts report all of it to each other again and
//! again, and merge the reports in any order, so that none depends on having received a certain one.

use std::cmp::Reverse;

use indexmap::IndexMap;

use super::crash::{Cause, Crash, CrashReport, CrashedRun, ReportedCrash};
use super::crash_batches::CrashBatches;
use super::crash_explanation::{BLAMED_CRASHES, Explanation, PartCrash, PartCrashes};
use super::crash_probes::PROBE_INTERVAL;
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
/// Crashes that are kept of a part of prompts: more than bar it, since each explains what else it ended.
const MAX_PART_CRASHES: usize = 16;
/// Limit on the remembered causes.
const MAX_RECORDS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    attempt: u64,
    at: Time,
    run: CrashedRun,
    /// Time at which this host learned of it.
    known_since: Time,
    /// True if this host saw it itself.
    is_own: bool,
    /// True while it is known to be in the platform's store.
    is_stored: bool,
    /// True while an object of the store holds it alone.
    is_alone: bool,
}

#[derive(Clone, Debug, Default)]
struct Record {
    crashes: Vec<KnownCrash>,
    cleared_at: Option<Time>,
    refused_at: Option<Time>,
    /// Time before which this host asks for no probe.
    no_probe_before: Time,
    /// True while another host still counts crashes that this one knows to be refuted.
    is_disputed: bool,
}

/// Crashes by what they may have been caused by.
#[derive(Clone, Debug, Default)]
pub struct CrashCauses {
    records: IndexMap<Cause, Record>,
    /// The parts of prompts that explain crashes.
    explanation: Explanation,
    /// Stored crashes that no longer count, and have to be removed from the store.
    obsolete: Vec<Crash>,
    /// Stored objects that hold several crashes.
    batches: CrashBatches,
    has_update: bool,
}

impl CrashCauses {
    /// Records a crash that this host saw, and returns whether it was new.
    pub fn record_crash(&mut self, crash: Crash, run: CrashedRun, now: Time) -> bool {
        let is_new = self.insert(crash, run, now, now, true);
        self.explain();
        is_new
    }

    fn insert(&mut self, crash: Crash, run: CrashedRun, at: Time, now: Time, is_own: bool) -> bool {
        if now.since(at) >= RECORD_TTL {
            return false;
        }
        let record = self.records.entry(crash.cause).or_default();
        let is_refuted = record.cleared_at.is_some_and(|cleared| at <= cleared);
        if is_refuted || record.crashes.iter().any(|c| c.attempt == crash.attempt) {
            return false;
        }
        record.crashes.push(KnownCrash {
            attempt: crash.attempt,
            at,
            run,
            known_since: now,
            is_own,
            is_stored: false,
            is_alone: false,
        });
        let is_request = matches!(crash.cause, Cause::Request(_));
        self.has_update |= is_request && record.crashes.len() >= SUSPECT_CRASHES;
        if !is_request && record.crashes.len() > MAX_PART_CRASHES {
            record.crashes.remove(0);
        }
        self.evict();
        true
    }

    /// Merges what another host reports, and returns whether a crash in it was unknown.
    pub fn merge(&mut self, report: &CrashReport, now: Time) -> bool {
        let at = |age: u64| now.saturating_sub(Span::from_millis(age));
        if let Some(cleared) = report.cleared.map(at) {
            self.refute(report.cause, cleared);
        }
        let mut has_new = false;
        for reported in &report.crashes {
            let crash = Crash {
                cause: report.cause,
                attempt: reported.attempt,
            };
            let run = CrashedRun {
                upstream: reported.upstream,
                lasted: Span::from_millis(reported.lasted),
            };
            has_new |= self.insert(crash, run, at(reported.age), now, false);
        }
        if let Some(record) = self.records.get_mut(&report.cause) {
            record.refused_at = record.refused_at.max(report.refused.map(at));
            let is_refuted = |c: &ReportedCrash| record.cleared_at >= Some(at(c.age));
            if report.crashes.len() >= SUSPECT_CRASHES && report.crashes.iter().all(is_refuted) {
                record.is_disputed = true;
                self.has_update = true;
            }
        }
        self.explain();
        has_new
    }

    /// Records that a request with these causes ran to its end, which refutes earlier crashes, and returns
    /// their number.
    pub fn clear(&mut self, causes: &[Cause], now: Time) -> usize {
        let refuted = causes.iter().map(|cause| self.refute(*cause, now)).sum();
        if refuted > 0 {
            self.explain();
        }
        refuted
    }

    fn refute(&mut self, cause: Cause, cleared_at: Time) -> usize {
        let Some(record) = self.records.get_mut(&cause) else {
            return 0;
        };
        let before = record.crashes.len();
        let refuted: Vec<KnownCrash> = record
            .crashes
            .extract_if(.., |c| c.at <= cleared_at)
            .collect();
        record.cleared_at = record.cleared_at.max(Some(cleared_at));
        let count = before - record.crashes.len();
        for known in refuted.iter().filter(|c| c.is_stored) {
            let crash = Crash {
                cause,
                attempt: known.attempt,
            };
            self.record_obsolete(crash, known.is_alone);
        }
        count
    }

    /// Records that a stored crash has to be removed from the store, where the other crashes of its objects stay.
    fn record_obsolete(&mut self, crash: Crash, is_alone: bool) {
        if is_alone {
            self.obsolete.push(crash);
        }
        for released in self.batches.record_obsolete(crash) {
            let is_held = self.batches.holds(released);
            if let Some(known) = self.known_mut(released) {
                known.is_stored = known.is_alone || is_held;
            }
        }
    }

    /// Records that a request with these causes came again and was refused: what barred it is remembered for
    /// as long as it does.
    pub fn record_refusal(&mut self, causes: &[Cause], now: Time) {
        for cause in self.barring(causes) {
            if let Some(record) = self.records.get_mut(&cause) {
                record.refused_at = Some(now);
            }
        }
    }

    /// Returns the number of known crashes under a cause, without those that a part of other prompts explains.
    pub fn crash_count(&self, cause: Cause) -> usize {
        let record = self.records.get(&cause);
        record.map_or(0, |r| match cause {
            Cause::Request(_) => count_ends(r.unexplained(&self.explanation)),
            Cause::PromptPart(_) => r.crashes.len(),
        })
    }

    /// Returns whether a request with these causes must not be sent again.
    pub fn is_barred(&self, causes: &[Cause]) -> bool {
        !self.barring(causes).is_empty()
    }

    /// Returns those of a request's causes for which it must not be sent again.
    pub fn barring(&self, causes: &[Cause]) -> Vec<Cause> {
        let of_request = causes.iter().copied().find(|cause| {
            matches!(cause, Cause::Request(_)) && self.crash_count(*cause) >= MAX_CRASHES
        });
        let of_parts = self.explanation.barring(causes).iter().copied();
        of_request.into_iter().chain(of_parts).collect()
    }

    /// Returns those of a request's causes that bar it, if a probe may be due for all of them; otherwise none. `delay`
    /// keeps hosts from asking for one at the same time.
    pub fn probes_due(&self, causes: &[Cause], delay: Span, now: Time) -> Vec<Cause> {
        let barring = self.barring(causes);
        let is_due = |cause: &Cause| {
            let Some(record) = self.records.get(cause) else {
                return false;
            };
            let last = record.crashes.iter().map(|c| c.at).max();
            let is_calm = last.is_none_or(|at| now.since(at) >= PROBE_INTERVAL + delay);
            is_calm && now >= record.no_probe_before
        };
        match barring.iter().all(is_due) {
            true => barring,
            false => Vec::new(),
        }
    }

    /// Records that this host asks for no probe of these causes before a time.
    pub fn postpone_probes(&mut self, causes: &[Cause], until: Time) {
        for cause in causes {
            if let Some(record) = self.records.get_mut(cause) {
                record.no_probe_before = until;
            }
        }
    }

    /// Returns whether a request with a cause has run to its end at or after a time.
    pub fn is_refuted_since(&self, cause: Cause, time: Time) -> bool {
        let record = self.records.get(&cause);
        record.is_some_and(|r| r.cleared_at.is_some_and(|at| at >= time))
    }

    /// Returns the number of requests, and of groups of parts of prompts, that must not be sent again.
    pub fn barred_count(&self) -> usize {
        let requests = self.records.keys();
        let requests = requests.filter(|c| matches!(c, Cause::Request(_)));
        let requests = requests.filter(|c| self.crash_count(**c) >= MAX_CRASHES);
        requests.count() + self.explanation.len()
    }

    /// Finds out anew which parts of prompts explain the crashes.
    fn explain(&mut self) {
        let parts = self.records.iter();
        let parts = parts.filter(|(cause, r)| {
            matches!(cause, Cause::PromptPart(_)) && r.crashes.len() >= BLAMED_CRASHES
        });
        let crashes: PartCrashes = parts
            .map(|(cause, r)| (*cause, r.crashes.iter().map(KnownCrash::of_part).collect()))
            .collect();
        let explanation = Explanation::of(crashes);
        self.has_update |= explanation != self.explanation;
        self.explanation = explanation;
    }

    /// Forgets requests that have not come for long.
    pub fn expire(&mut self, now: Time) {
        let mut expired = Vec::new();
        self.records.retain(|cause, record| {
            let keep = now.since(record.last_event_at()) < RECORD_TTL;
            // The other hosts forget the same crashes at about the same time.
            let stored = record.crashes.iter().filter(|c| c.is_stored && c.is_own);
            if !keep {
                expired.extend(stored.map(|c| {
                    let crash = Crash {
                        cause: *cause,
                        attempt: c.attempt,
                    };
                    (crash, c.is_alone)
                }));
            }
            keep
        });
        for (crash, is_alone) in expired {
            self.record_obsolete(crash, is_alone);
        }
        self.explain();
    }

    /// Drops the least important record when there are too many: the one with the fewest crashes, and
    /// the oldest of these.
    fn evict(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let importance = |cause: &Cause, r: &Record| {
            let is_barred = self.explanation.holds(*cause);
            (is_barred, r.crashes.len(), r.last_event_at())
        };
        let records = self.records.iter().enumerate();
        let least = records.min_by_key(|(_, (cause, r))| importance(cause, r));
        if let Some(index) = least.map(|(index, _)| index) {
            self.records.swap_remove_index(index);
        }
    }

    /// Returns whether a crash of a suspect request became known since the last call.
    pub fn take_update(&mut self) -> bool {
        std::mem::take(&mut self.has_update)
    }

    /// Returns up to `max` reports: what bars requests first, then what other hosts have to learn is refuted,
    /// then those of the most crashes. `draw` decides between equals, so that all are reported in the course
    /// of time.
    pub fn reports<F>(&mut self, max: usize, now: Time, mut draw: F) -> Vec<CrashReport>
    where
        F: FnMut() -> u64,
    {
        let explanation = &self.explanation;
        let records = self.records.iter_mut();
        let mut reported: Vec<_> = records
            .filter(|(_, r)| r.is_reported(now))
            .map(|(cause, r)| {
                let is_urgent = explanation.holds(*cause) || r.is_disputed;
                ((Reverse((is_urgent, r.crashes.len())), draw()), *cause, r)
            })
            .collect();
        reported.sort_unstable_by_key(|(order, _, _)| *order);
        let reported = reported.into_iter().take(max);
        reported
            .map(|(_, cause, r)| {
                r.is_disputed = false;
                r.report(cause, now)
            })
            .collect()
    }

    /// Returns a report of one crash, unless it is refuted by now.
    pub fn report_of(&self, crash: Crash, now: Time) -> Option<CrashReport> {
        let known = self.known(crash)?;
        Some(CrashReport {
            cause: crash.cause,
            crashes: vec![known.report(now)],
            cleared: None,
            refused: None,
        })
    }

    /// Returns the crashes that this host has to write to the store, those that bar requests first: those that it saw itself and, if
    /// `for_others`, those of other hosts that no one has written in time.
    pub fn unstored(&self, for_others: bool, now: Time) -> Vec<Crash> {
        let due = |c: &&KnownCrash| {
            let is_left = for_others && now.since(c.known_since) >= OTHER_HOST_STORES_AFTER;
            !c.is_stored && (c.is_own || is_left)
        };
        let suspects = self.records.iter();
        let suspects = suspects.filter(|(cause, r)| self.is_suspect(**cause, r));
        let crashes = suspects.flat_map(|(cause, r)| {
            r.crashes.iter().filter(due).map(|c| Crash {
                cause: *cause,
                attempt: c.attempt,
            })
        });
        let mut crashes: Vec<Crash> = crashes.collect();
        crashes.sort_by_key(|c| !self.bars(c.cause));
        crashes
    }

    /// Returns whether a cause is kept in the store.
    fn is_suspect(&self, cause: Cause, record: &Record) -> bool {
        match cause {
            Cause::Request(_) => record.crashes.len() >= SUSPECT_CRASHES,
            // Nearly all parts were in some run that ended with a crash under another one.
            Cause::PromptPart(_) => self.explanation.holds(cause),
        }
    }

    /// Returns whether requests are barred for a cause, alone or together with others.
    pub fn bars(&self, cause: Cause) -> bool {
        match cause {
            Cause::Request(_) => self.crash_count(cause) >= MAX_CRASHES,
            Cause::PromptPart(_) => self.explanation.holds(cause),
        }
    }

    fn known(&self, crash: Crash) -> Option<&KnownCrash> {
        let record = self.records.get(&crash.cause)?;
        record.crashes.iter().find(|c| c.attempt == crash.attempt)
    }

    fn known_mut(&mut self, crash: Crash) -> Option<&mut KnownCrash> {
        let record = self.records.get_mut(&crash.cause)?;
        record
            .crashes
            .iter_mut()
            .find(|c| c.attempt == crash.attempt)
    }

    /// Returns the run that ended with a crash, and the time since, if the crash is known.
    pub fn run_and_age(&self, crash: Crash, now: Time) -> Option<(CrashedRun, Span)> {
        self.known(crash).map(|c| (c.run, now.since(c.at)))
    }

    /// Records a crash that is in the store with this age, alone in its object. One that is too old to count is
    /// removed from there.
    pub fn restore(&mut self, crash: Crash, run: CrashedRun, age: Span, now: Time) {
        match self.take_over(crash, run, age, now) {
            true => self.set_stored(crash, true),
            false => self.obsolete.push(crash),
        }
    }

    /// Records an object of the store that holds several crashes, each with its age.
    pub fn restore_batch(&mut self, batch: u64, crashes: &[(Crash, CrashedRun, Span)], now: Time) {
        let held = crashes.iter().map(|(crash, _, _)| *crash);
        self.batches.insert(batch, held.collect());
        let mut obsolete = Vec::new();
        for (crash, run, age) in crashes {
            match self.take_over(*crash, *run, *age, now) {
                true => self.set_held(*crash),
                false => obsolete.push(*crash),
            }
        }
        for crash in obsolete {
            self.record_obsolete(crash, false);
        }
    }

    /// Takes over what the store has of a crash, and returns whether it counts.
    fn take_over(&mut self, crash: Crash, run: CrashedRun, age: Span, now: Time) -> bool {
        if age >= MAX_STORED_AGE {
            return false;
        }
        let at = now.saturating_sub(age.min(MAX_RESTORED_AGE));
        // Older crashes lose their order, which blamed the parts that are stored.
        let lasted = match age > MAX_RESTORED_AGE {
            true => Span::ZERO,
            false => run.lasted,
        };
        self.insert(crash, CrashedRun { lasted, ..run }, at, now, false);
        self.explain();
        // A crash that was refuted and removed reappears if the store is restored from an older copy.
        self.known(crash).is_some()
    }

    /// Records whether a crash is in the store, alone in its object.
    pub fn set_stored(&mut self, crash: Crash, is_stored: bool) {
        if let Some(known) = self.known_mut(crash) {
            known.is_stored = is_stored;
            known.is_alone = is_stored;
        }
    }

    /// Records that this host wrote an object that holds several crashes.
    pub fn set_batch_stored(&mut self, batch: u64, crashes: &[Crash]) {
        self.batches.insert(batch, crashes.to_vec());
        let is_known = |c: &&Crash| self.known(**c).is_some();
        // A crash may have been refuted while it was written.
        let refuted = crashes.iter().find(|c| !is_known(c)).copied();
        for crash in crashes {
            self.set_held(*crash);
        }
        if let Some(crash) = refuted {
            self.record_obsolete(crash, false);
        }
    }

    fn set_held(&mut self, crash: Crash) {
        if let Some(known) = self.known_mut(crash) {
            known.is_stored = true;
        }
    }

    /// Records that the store was read anew: what it no longer has must be written again.
    pub fn set_none_stored(&mut self) {
        let records = self.records.values_mut();
        for known in records.flat_map(|r| &mut r.crashes) {
            known.is_stored = false;
            known.is_alone = false;
        }
        self.batches.clear();
    }

    /// Returns the number of an object with several crashes that has to be removed from the store: what still
    /// counts of it is in others by now.
    pub fn next_obsolete_batch(&self) -> Option<u64> {
        self.batches.next_obsolete(|crash| {
            let record = self.records.get(&crash.cause);
            let is_suspect = record.is_some_and(|r| self.is_suspect(crash.cause, r));
            is_suspect && self.known(*crash).is_some_and(|c| !c.is_stored)
        })
    }

    /// Records that this host removed an object with several crashes from the store.
    pub fn set_batch_removed(&mut self, batch: u64) {
        self.batches.remove(batch);
    }

    /// Records that another host or an operator removed an object with several crashes from the store. Those that
    /// no other object holds count no more.
    pub fn record_batch_removal(&mut self, batch: u64) {
        for crash in self.batches.remove(batch) {
            let is_alone = self.known(crash).is_some_and(|c| c.is_alone);
            if !is_alone && !self.batches.holds(crash) {
                self.record_removal(crash);
            }
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
        if let Some(at) = self.known(crash).map(|c| c.at) {
            self.refute(crash.cause, at + MAX_REPORT_DELAY);
            self.record_obsolete(crash, false);
            self.explain();
        }
    }
}

/// Returns the ends of upstreams that crashes stand for. Runs that were under way together on an upstream ended with it
/// once; one that began after such an end ran on the next start.
fn count_ends<'a, I>(crashes: I) -> usize
where
    I: Iterator<Item = &'a KnownCrash>,
{
    let mut crashes: Vec<&KnownCrash> = crashes.collect();
    crashes.sort_by_key(|c| c.at);
    let mut ends: Vec<&KnownCrash> = Vec::new();
    for crash in crashes {
        let began_at = crash.at.saturating_sub(crash.run.lasted);
        let mut of_upstream = ends.iter().rev();
        let last = of_upstream.find(|e| e.run.upstream == crash.run.upstream);
        if last.is_none_or(|e| began_at >= e.at) {
            ends.push(crash);
        }
    }
    ends.len()
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

    /// Returns the crashes that no part of a prompt explains.
    fn unexplained<'a>(
        &'a self,
        explanation: &'a Explanation,
    ) -> impl Iterator<Item = &'a KnownCrash> {
        let crashes = self.crashes.iter();
        crashes.filter(|c| !explanation.explains(c.run.upstream))
    }

    fn report(&self, cause: Cause, now: Time) -> CrashReport {
        let age = |at: Time| now.since(at).as_millis();
        CrashReport {
            cause,
            crashes: self.crashes.iter().map(|c| c.report(now)).collect(),
            cleared: self.cleared_at.map(age),
            refused: self.refused_at.map(age),
        }
    }
}

impl KnownCrash {
    fn of_part(&self) -> PartCrash {
        PartCrash {
            upstream: self.attempt,
            began_at: self.at.saturating_sub(self.run.lasted),
            ended_at: self.at,
        }
    }

    fn report(&self, now: Time) -> ReportedCrash {
        ReportedCrash {
            attempt: self.attempt,
            upstream: self.run.upstream,
            age: now.since(self.at).as_millis(),
            lasted: self.run.lasted.as_millis(),
        }
    }
}
