//! Telling crashes from cut connections.
//!
//! A run that breaks off makes its request a suspect at once, so that it is run alone or not at all
//! from then on. The upstream's load reports settle the matter: an incarnation that is newer than the
//! run confirms the crash, the same one still in the next report releases the request.

use indexmap::IndexMap;
use stoatjunction_core::shard::{CrashSignal, LoadReport};
use stoatjunction_core::time::Time;

use crate::state::State;

/// A crash that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedCrash {
    fingerprint: u64,
    incarnation: u64,
    broke_at: Time,
}

/// An upstream's latest start.
#[derive(Clone, Copy, Debug)]
struct UpstreamStart {
    incarnation: u64,
    first_seen: Time,
}

/// What is known of upstreams' starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashDetector {
    starts: IndexMap<String, UpstreamStart>,
    unconfirmed: Vec<(String, UnconfirmedCrash)>,
}

impl State {
    /// Takes in what the end of a run says of its request.
    pub(crate) fn record_crash_signal(&mut self, signal: CrashSignal) {
        let now = self.now();
        match signal {
            CrashSignal::None => {}
            CrashSignal::Completed { fingerprint } => {
                if let Some(verdict) = self.quarantine.succeeded(fingerprint, now) {
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
                let verdict = self.quarantine.crashed(fingerprint, alone, now);
                self.publish_verdict(verdict);
                self.send_pending_news();
                let start = self.crash_detector.starts.get(&upstream).copied();
                if start.is_some_and(|s| s.first_seen > since) {
                    self.timeline
                        .record("upstream_crashed", &[("upstream", &upstream)]);
                    return;
                }
                let incarnation = start.map_or(0, |s| s.incarnation);
                let crash = UnconfirmedCrash {
                    fingerprint,
                    incarnation,
                    broke_at: now,
                };
                self.crash_detector.unconfirmed.push((upstream, crash));
            }
        }
    }

    /// Confirms or releases what is alleged of `upstream`.
    pub(crate) fn confirm_or_clear_crashes(&mut self, upstream: &str, report: LoadReport) {
        let now = self.now();
        let is_settled = |(name, crash): &(String, UnconfirmedCrash)| {
            name == upstream && report.sampled > crash.broke_at
        };
        let all = std::mem::take(&mut self.crash_detector.unconfirmed);
        let (done, open): (Vec<_>, Vec<_>) = all.into_iter().partition(is_settled);
        self.crash_detector.unconfirmed = open;
        for (_, crash) in done {
            if report.incarnation != crash.incarnation {
                self.timeline
                    .record("upstream_crashed", &[("upstream", upstream)]);
                continue;
            }
            if let Some(verdict) = self.quarantine.release(crash.fingerprint, now) {
                self.publish_verdict(verdict);
            }
        }
        let known = self
            .crash_detector
            .starts
            .get(upstream)
            .map(|s| s.incarnation);
        if known != Some(report.incarnation) {
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
