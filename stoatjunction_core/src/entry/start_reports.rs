//! What upstreams reported of their starts, while the list that names them may be old.

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Time for which a report counts: an upstream that crashes takes longer to start again and to be used.
const MAX_REPORT_AGE: Span = Span::from_millis(1_000);
/// Time after the start of a host within which upstreams may have been down that neither it nor any other host has
/// tried: each is tried at least every 3 s, and a store that does not answer is noticed within 4 s.
const FRESH_TIME: Span = Span::from_millis(4_000);

/// Result of a request for an upstream's report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReport {
    /// It reported the start that the list names.
    Listed,
    /// It reported another start, or none.
    Other,
    /// It sent no report in time.
    Missing,
}

impl StartReport {
    /// Returns the name of the result in metrics and log lines.
    pub const fn label(self) -> &'static str {
        match self {
            StartReport::Listed => "listed",
            StartReport::Other => "other",
            StartReport::Missing => "missing",
        }
    }
}

/// The reports of upstreams, by the number of the upstream.
#[derive(Clone, Debug, Default)]
pub struct StartReports {
    reports: IndexMap<u64, (StartReport, Time)>,
}

impl StartReports {
    /// Records the report that was requested at `requested_at`, and drops old ones.
    pub fn record(&mut self, number: u64, report: StartReport, requested_at: Time) {
        self.reports
            .retain(|_, (_, at)| requested_at.since(*at) < MAX_REPORT_AGE);
        self.reports.insert(number, (report, requested_at));
    }

    /// Drops the report of an upstream if it was requested before `time`, since when the upstream may have ended.
    pub fn forget_before(&mut self, number: u64, time: Time) {
        if self.reports.get(&number).is_some_and(|(_, at)| *at < time) {
            self.reports.swap_remove(&number);
        }
    }

    /// Returns the report of an upstream if it still counts. A missing report counts only for requests that asked
    /// before it was requested; later ones request it again.
    pub fn get(&self, number: u64, asked_at: Time, now: Time) -> Option<StartReport> {
        let (report, at) = *self.reports.get(&number)?;
        let is_fresh = now.since(at) < MAX_REPORT_AGE;
        let counts = match report {
            StartReport::Listed | StartReport::Other => is_fresh,
            StartReport::Missing => is_fresh && asked_at <= at,
        };
        counts.then_some(report)
    }
}

/// What a host knows of the age of its list of upstreams, apart from failed calls to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListKnowledge {
    /// True when the whole fleet started for the first time with this host, so that no upstream was in use before.
    pub is_first_start: bool,
    /// True once the store has answered this host after the list was read.
    pub is_followed: bool,
}

impl ListKnowledge {
    /// Returns whether the list may have been old when the host, which has run for `age`, started: no other host may
    /// be left that knows which upstreams were down.
    pub fn may_be_old(&self, age: Span) -> bool {
        !self.is_first_start && !self.is_followed && age < FRESH_TIME
    }
}
