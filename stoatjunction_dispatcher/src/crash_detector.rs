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
struct Alleged {
    fingerprint: u64,
    incarnation: u64,
    at: Time,
}

/// An upstream's latest start.
#[derive(Clone, Copy, Debug)]
struct Start {
    incarnation: u64,
    seen: Time,
}

/// What is known of upstreams' starts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashes {
    starts: IndexMap<String, Start>,
    alleged: Vec<(String, Alleged)>,
}

impl State {
    /// Takes in what the end of a run says of its request.
    pub(crate) fn record_crash_signal(&mut self, signal: CrashSignal) {
        let now = self.now();
        match signal {
            CrashSignal::None => {}
            CrashSignal::Completed { fingerprint } => {
                if let Some(verdict) = self.quarantine.succeeded(fingerprint, now) {
                    self.spread_verdict(verdict);
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
                self.spread_verdict(verdict);
                self.flush_news();
                let start = self.crash_detector.starts.get(&upstream).copied();
                if start.is_some_and(|s| s.seen > since) {
                    self.timeline
                        .record("upstream_crashed", &[("upstream", &upstream)]);
                    return;
                }
                let incarnation = start.map_or(0, |s| s.incarnation);
                let alleged = Alleged {
                    fingerprint,
                    incarnation,
                    at: now,
                };
                self.crash_detector.alleged.push((upstream, alleged));
            }
        }
    }

    /// Confirms or releases what is alleged of `upstream`.
    pub(crate) fn check_crashes(&mut self, upstream: &str, report: LoadReport) {
        let now = self.now();
        let settled = |(name, a): &(String, Alleged)| name == upstream && report.sampled > a.at;
        let all = std::mem::take(&mut self.crash_detector.alleged);
        let (done, open): (Vec<_>, Vec<_>) = all.into_iter().partition(settled);
        self.crash_detector.alleged = open;
        for (_, alleged) in done {
            if report.incarnation != alleged.incarnation {
                self.timeline
                    .record("upstream_crashed", &[("upstream", upstream)]);
                continue;
            }
            if let Some(verdict) = self.quarantine.release(alleged.fingerprint, now) {
                self.spread_verdict(verdict);
            }
        }
        let known = self
            .crash_detector
            .starts
            .get(upstream)
            .map(|s| s.incarnation);
        if known != Some(report.incarnation) {
            let start = Start {
                incarnation: report.incarnation,
                seen: now,
            };
            self.crash_detector
                .starts
                .insert(upstream.to_owned(), start);
        }
    }
}
