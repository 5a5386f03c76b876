//! Detection of upstream crashes, as opposed to broken connections.
//!
//! When a run breaks off, its request becomes a suspect immediately, so that it is run alone or
//! refused from then on. The next load report of the upstream decides: a changed incarnation
//! confirms the crash, an unchanged one clears the request.

use indexmap::IndexMap;
use stoatjunction_core::shard::{CrashSignal, LoadReport};
use stoatjunction_core::time::Time;

use crate::state::State;

/// A broken run for which no later load report of the upstream has arrived.
#[derive(Clone, Copy, Debug)]
struct BrokenRun {
    fingerprint: u64,
    /// Incarnation of the upstream when the run broke, or 0 if unknown.
    incarnation: u64,
    /// Time at which the run broke off.
    broke_at: Time,
}

/// The latest known start of an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamStart {
    incarnation: u64,
    first_seen: Time,
}

/// Known starts of upstreams, and broken runs that no load report has explained yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    starts: IndexMap<String, UpstreamStart>,
    unconfirmed: Vec<(String, BrokenRun)>,
}

impl State {
    /// Updates the quarantine from the end of a run.
    pub(crate) fn record_crash_signal(&mut self, signal: CrashSignal) {
        let now = self.now();
        match signal {
            CrashSignal::None => {}
            CrashSignal::Completed { fingerprint } => {
                if let Some(verdict) = self.quarantine.record_success(fingerprint, now) {
                    self.publish_verdict(verdict);
                }
            }
            CrashSignal::SuspectedCrash {
                fingerprint,
                upstream,
                alone,
                since,
            } => {
                self.timeline
                    .record("run_broke", &[("upstream", &upstream)]);
                let verdict = self.quarantine.record_crash(fingerprint, alone, now);
                self.publish_verdict(verdict);
                self.send_pending_updates();
                let start = self.crash_detector.starts.get(&upstream).copied();
                if start.is_some_and(|s| s.first_seen > since) {
                    self.timeline
                        .record("upstream_crashed", &[("upstream", &upstream)]);
                    return;
                }
                let incarnation = start.map_or(0, |s| s.incarnation);
                let run = BrokenRun {
                    fingerprint,
                    incarnation,
                    broke_at: now,
                };
                self.crash_detector.unconfirmed.push((upstream, run));
            }
        }
    }

    /// Confirms or clears the suspected crashes of `upstream` that are older than the report.
    pub(crate) fn confirm_or_clear_crashes(&mut self, upstream: &str, report: LoadReport) {
        let now = self.now();
        let is_decided =
            |(name, r): &(String, BrokenRun)| name == upstream && report.sampled > r.broke_at;
        let unconfirmed = std::mem::take(&mut self.crash_detector.unconfirmed);
        let (decided, undecided): (Vec<_>, Vec<_>) = unconfirmed.into_iter().partition(is_decided);
        self.crash_detector.unconfirmed = undecided;
        for (_, run) in decided {
            if report.incarnation != run.incarnation {
                self.timeline
                    .record("upstream_crashed", &[("upstream", upstream)]);
                continue;
            }
            if let Some(verdict) = self.quarantine.release(run.fingerprint, now) {
                self.publish_verdict(verdict);
            }
        }
        let known_incarnation = self
            .crash_detector
            .starts
            .get(upstream)
            .map(|s| s.incarnation);
        if known_incarnation != Some(report.incarnation) {
            let start = UpstreamStart {
                incarnation: report.incarnation,
                first_seen: now,
            };
            self.crash_detector
                .starts
                .insert(upstream.to_owned(), start);
        }
    }
}
