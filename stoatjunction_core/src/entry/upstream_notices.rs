//! What upstreams say of themselves that keeps requests away from them: that they leave, or that they
//! want a pause.
//!
//! Each host heeds what it received itself, also while it is cut off from the others, and repeats it as
//! state, so that one lost message does no harm. The platform's list is no source here: an entry that
//! was written before the announcement doesn't end it. Another start of the upstream has another number
//! and begins without any notice.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::time::{Span, Time};

/// Longest pause that is kept: a host must be able to tell a mistake from a wish.
const MAX_PAUSE: Span = Span::from_millis(30_000);
/// Time over which hosts come back after a pause, as a fraction of it, so that they don't all send in
/// the same moment.
const RETURN_SPREAD: f64 = 0.1;
/// Longest such time.
const MAX_RETURN_SPREAD: Span = Span::from_millis(500);
/// Time since the last statement after which notices of an upstream are forgotten that is not listed.
const NOTICE_TTL: Span = Span::from_millis(60_000);
/// Time for which the end of a pause is reported, as when a shorter one replaced it.
const END_REPORTED_FOR: Span = Span::from_millis(5_000);
/// Maximum notices in one report; the others follow in later ones.
const MAX_REPORTS: usize = 40;
/// Maximum reports kept on upstreams that are not listed.
const MAX_EARLY_REPORTS: usize = 1_024;

/// What an upstream says of itself in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// It leaves, and takes no new requests once the time to drain is over.
    Leaving,
    /// It wants no requests for this time; zero ends an earlier pause.
    Pause(Span),
}

impl Statement {
    /// Creates the statement of an upstream that asks for a pause of `seconds`, bounded by the longest
    /// one that is kept; `None` if that is no time.
    pub fn pause(seconds: f64) -> Option<Statement> {
        let is_time = seconds.is_finite() && seconds >= 0.0;
        let bounded = seconds.min(MAX_PAUSE.as_secs_f64());
        is_time.then(|| Statement::Pause(Span::from_secs_f64(bounded)))
    }

    /// Returns the name of the statement in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Statement::Leaving => "leaving",
            Statement::Pause(_) => "pause",
        }
    }
}

/// Notices of an upstream, as reported to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeReport {
    /// Number of the upstream.
    pub upstream: u64,
    /// Milliseconds since it first stated that it leaves.
    pub leaving_age: Option<u64>,
    /// Milliseconds since it last asked for a pause, and the milliseconds that it asked for.
    pub pause: Option<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pause {
    stated_at: Time,
    length: Span,
}

impl Pause {
    fn until(self) -> Time {
        self.stated_at + self.length
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Notice {
    leaving_since: Option<Time>,
    pause: Option<Pause>,
    last_stated_at: Time,
}

/// Reports on upstreams that are not listed yet, as at a host that starts: the first ones arrive before its
/// list.
#[derive(Clone, Debug, Default)]
pub struct EarlyNotices {
    reports: IndexMap<u64, (NoticeReport, Time)>,
}

impl EarlyNotices {
    /// Keeps a report that was received now, in place of an earlier one on the same upstream.
    pub fn keep(&mut self, report: NoticeReport, now: Time) {
        self.reports
            .retain(|_, (_, received_at)| now.since(*received_at) < NOTICE_TTL);
        if self.reports.len() < MAX_EARLY_REPORTS {
            self.reports.insert(report.upstream, (report, now));
        }
    }

    /// Takes the reports on upstreams that are listed by now, as old as they have become.
    pub fn take<F>(&mut self, is_listed: F, now: Time) -> Vec<NoticeReport>
    where
        F: Fn(u64) -> bool,
    {
        let taken = self.reports.extract_if(.., |number, _| is_listed(*number));
        let aged = taken.map(|(_, (report, received_at))| {
            let age = now.since(received_at).as_millis();
            NoticeReport {
                leaving_age: report.leaving_age.map(|a| a + age),
                pause: report.pause.map(|(a, length)| (a + age, length)),
                ..report
            }
        });
        aged.collect()
    }
}

/// Notices of the upstreams of a pool, by the numbers of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    notices: IndexMap<u64, Notice>,
    /// Differs between hosts, and spreads their return after a pause.
    seed: u64,
    has_update: bool,
}

impl UpstreamNotices {
    /// Creates the notices of a host without any. `seed` differs between hosts.
    pub fn new(seed: u64) -> UpstreamNotices {
        UpstreamNotices {
            seed,
            ..UpstreamNotices::default()
        }
    }

    /// Records what an upstream stated at `stated_at`, and returns whether that changes anything. What was
    /// stated before the latest pause is ignored; the first announcement to leave counts.
    pub fn record(&mut self, upstream: u64, statement: Statement, stated_at: Time) -> bool {
        let notice = self.notices.entry(upstream).or_default();
        notice.last_stated_at = notice.last_stated_at.max(stated_at);
        let has_changed = match statement {
            Statement::Leaving => {
                let is_update = notice.leaving_since.is_none();
                let since = notice.leaving_since.unwrap_or(stated_at);
                notice.leaving_since = Some(since.min(stated_at));
                is_update
            }
            Statement::Pause(length) => {
                let known = notice.pause;
                let is_newer = known.is_none_or(|k| k.stated_at < stated_at);
                let is_needed = known.is_some() || length > Span::ZERO;
                if is_newer && is_needed {
                    notice.pause = Some(Pause { stated_at, length });
                }
                is_newer && is_needed
            }
        };
        self.has_update |= has_changed;
        has_changed
    }

    /// Returns whether the upstream has stated that it leaves.
    pub fn is_leaving(&self, upstream: u64) -> bool {
        let notice = self.notices.get(&upstream);
        notice.is_some_and(|n| n.leaving_since.is_some())
    }

    /// Returns the time until this host may send to the upstream again; zero if it wants no pause.
    pub fn pause_left(&self, upstream: u64, now: Time) -> Span {
        let pause = self.notices.get(&upstream).and_then(|n| n.pause);
        let Some(pause) = pause.filter(|p| p.length > Span::ZERO) else {
            return Span::ZERO;
        };
        let spread = Span((pause.length.0 as f64 * RETURN_SPREAD) as u64).min(MAX_RETURN_SPREAD);
        let draw = hash::mix(self.seed ^ upstream ^ pause.stated_at.0) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        now.until(pause.until() + Span((spread.0 as f64 * draw) as u64))
    }

    /// Returns whether a pause of the upstream is over, and no response since has shown that it takes
    /// requests again.
    pub fn is_unproven(&self, upstream: u64, now: Time) -> bool {
        let pause = self.notices.get(&upstream).and_then(|n| n.pause);
        pause.is_some_and(|p| p.length > Span::ZERO && now >= p.until())
    }

    /// Records that the upstream answered a request, which was sent at `sent_at`, without asking for a pause.
    pub fn record_response(&mut self, upstream: u64, sent_at: Time, now: Time) {
        if self.is_unproven(upstream, sent_at) {
            self.record(upstream, Statement::Pause(Span::ZERO), now);
        }
    }

    /// Returns whether a notice has changed since the last call.
    pub fn take_update(&mut self) -> bool {
        std::mem::take(&mut self.has_update)
    }

    /// Returns the notices in force. `draw` decides which are left out when there are too many.
    pub fn reports<F>(&self, now: Time, mut draw: F) -> Vec<NoticeReport>
    where
        F: FnMut() -> u64,
    {
        let mut reports: Vec<(u64, NoticeReport)> =
            self.reported(now).map(|report| (draw(), report)).collect();
        reports.sort_unstable_by_key(|(order, _)| *order);
        let reports = reports.into_iter().take(MAX_REPORTS);
        reports.map(|(_, report)| report).collect()
    }

    fn reported(&self, now: Time) -> impl Iterator<Item = NoticeReport> {
        let is_reported = move |p: &Pause| now < p.until() + END_REPORTED_FOR;
        let reports = self.notices.iter().map(move |(upstream, n)| NoticeReport {
            upstream: *upstream,
            leaving_age: n.leaving_since.map(|at| now.since(at).as_millis()),
            pause: n
                .pause
                .filter(is_reported)
                .map(|p| (now.since(p.stated_at).as_millis(), p.length.as_millis())),
        });
        reports.filter(|r| r.leaving_age.is_some() || r.pause.is_some())
    }

    /// Applies another host's report, and returns whether that changes anything.
    pub fn record_report(&mut self, report: &NoticeReport, now: Time) -> bool {
        let at = |age: u64| now.saturating_sub(Span::from_millis(age));
        let mut has_changed = false;
        if let Some(age) = report.leaving_age {
            has_changed |= self.record(report.upstream, Statement::Leaving, at(age));
        }
        if let Some((age, length)) = report.pause {
            let length = Span::from_millis(length).min(MAX_PAUSE);
            let known = self.notices.get(&report.upstream).and_then(|n| n.pause);
            let in_force = known.filter(|k| now < k.until());
            // The same pause arrives again with every report, its age rounded and delayed.
            let is_known = in_force.is_some_and(|k| k.length == length);
            let is_over = at(age) + length <= now;
            if !is_known && (in_force.is_some() || !is_over) {
                let statement = Statement::Pause(length);
                has_changed |= self.record(report.upstream, statement, at(age));
            }
        }
        has_changed
    }

    /// Forgets upstreams that are not listed and have stated nothing for long. An entry may be missing
    /// for a while, as when the store was down.
    pub fn expire<F>(&mut self, is_listed: F, now: Time)
    where
        F: Fn(u64) -> bool,
    {
        self.notices
            .retain(|upstream, n| is_listed(*upstream) || now.since(n.last_stated_at) < NOTICE_TTL);
    }
}
