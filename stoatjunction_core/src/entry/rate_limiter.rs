//! Rate limits over all hosts: those of organisations, and those that upstreams name. Whose limit it is,
//! is its subject. Each host keeps a token bucket for each subject and charges it with its own usage and
//! with what the other hosts report of theirs. Unreachable hosts keep their share of each limit, so that
//! the parts of a partitioned fleet together admit no more than the limit.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Fraction of its burst that a bucket holds when a host starts, since other hosts may just have
/// used the rest.
const INITIAL_FILL: f64 = 0.15;
/// Time after its start for which a host uses no tolerance, since it knows too little of earlier
/// usage.
const NO_TOLERANCE_AFTER_START: Span = Span::from_millis(10_000);
/// Time after its start for which a host lowers its buckets to the levels that others report.
const LEVEL_SYNC_WINDOW: Span = Span::from_millis(2_000);
/// Time constant of the average usage of other hosts, from which their usage since their last
/// report is estimated.
const USAGE_TIME_CONSTANT: Span = Span::from_millis(700);
/// Age of a host's last report at which its usage is no longer estimated: it is unreachable by
/// then.
const MAX_REPORT_AGE: Span = Span::from_millis(1_600);
/// Age of a direct report below which its host is surely reachable: hosts report four times a second at least,
/// and are unreachable after 0.7 s.
const REPORTING_AGE: Span = Span::from_millis(600);
/// Longest time between the last report of a host and the moment from which it is known to be unreachable.
const UNHEARD_TIME: Span = Span::from_millis(1_500);
/// Age of its last report after which a reporter is removed.
const REPORTER_TTL: Span = Span::from_millis(30_000);
/// Gap between two reports at which the reporter counts as unreachable in between. Longer than the time
/// after which it does for the share of the limits: what it used before that came from the whole.
const UNREACHABLE_GAP: Span = Span::from_millis(1_000);
/// The same gap for reports on behalf of others, which come less often and of which several may be lost.
const RELAYED_UNREACHABLE_GAP: Span = Span::from_millis(1_600);
/// Time for which usage counts as recent. It is reported for that long because some heartbeats are
/// lost.
const RECENT_USAGE: Span = Span::from_millis(1_000);
/// Time after its start for which a host that knows no other assumes that there are
/// [`ASSUMED_HOSTS`].
pub const DISCOVERY_TIME: Span = Span::from_millis(1_000);
/// Number of hosts assumed by a host that has just started and knows no other.
const ASSUMED_HOSTS: usize = 16;
/// Time after its start in which a host doesn't report its bucket levels, and in which its initial
/// levels are scaled as it discovers other hosts.
const STARTUP_TIME: Span = Span::from_millis(1_000);
/// Longest retry delay that a request over its limit is given.
const MAX_RETRY_AFTER: Span = Span::from_millis(10_000);

/// Position of a request relative to the limit that it is charged to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatus {
    /// Within the limit.
    Within,
    /// Beyond the limit and within the tolerance: it is admitted to spare capacity only.
    Beyond,
}

/// What may be admitted beyond the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of the rate.
    pub rate: f64,
    /// Units beyond the burst.
    pub units: f64,
}

/// Part of a tolerance that hosts use; the rest covers reports that arrive late.
const USABLE_TOLERANCE: f64 = 0.75;

impl Tolerance {
    /// Returns the part of this tolerance that hosts may use.
    pub fn usable(self) -> Tolerance {
        Tolerance {
            rate: self.rate * USABLE_TOLERANCE,
            units: self.units * USABLE_TOLERANCE,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    burst: f64,
    refilled_at: Time,
    /// Average usage of the other reachable hosts, in units a second.
    others_rate: f64,
    /// Value of `RateLimiter::decay` up to which `others_rate` has been decayed.
    decay: f64,
}

/// Usage of one limit as a host reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the organisation or of the upstream.
    pub subject: u64,
    /// Units used since the host started.
    pub total: u64,
    /// The part of `total` that was used recently, for hosts that have received no earlier report.
    pub recent: u64,
    /// Units that the host sees left in its bucket.
    pub level: f32,
}

/// A host that reports its own usage, or the usage of several hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reporter {
    /// Number of the host's boot, or a separate number for reports on several hosts.
    pub id: u64,
    /// Number of hosts that the report covers.
    pub hosts: u32,
    /// Time of the report.
    pub reported_at: Time,
}

/// Returns the numbers of reachable and of known hosts to use in [`RateLimiter::set_reachable`],
/// for a host that started `age` ago. A host that has just started knows neither how many others
/// there are nor what they have just used; when most of a fleet starts at once, each host must not
/// claim all of a limit.
pub fn reachable_hosts(age: Span, reachable: usize, known: usize) -> (usize, usize) {
    if known <= 1 && age < DISCOVERY_TIME {
        return (1, ASSUMED_HOSTS);
    }
    (reachable, known)
}

/// Usage of one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    total: u64,
    /// The two latest snapshots of `total`; the later one was taken at `snapshot_at`.
    snapshots: (u64, u64),
    snapshot_at: Time,
    changed_at: Time,
}

impl Usage {
    /// Creates the usage of a reporter whose earlier usage is not known.
    fn starting_at(total: u64) -> Usage {
        Usage {
            total,
            snapshots: (total, total),
            ..Usage::default()
        }
    }

    /// Returns the units of the last one to two times [`RECENT_USAGE`].
    fn recent(&self, now: Time) -> f64 {
        let is_recent = now.since(self.changed_at) < RECENT_USAGE;
        let units = self.total.saturating_sub(self.snapshots.0);
        if is_recent { units as f64 } else { 0.0 }
    }

    fn add(&mut self, units: u64, now: Time) {
        let age = now.since(self.snapshot_at);
        if age >= Span(RECENT_USAGE.0 * 2) {
            self.snapshots = (self.total, self.total);
            self.snapshot_at = now;
        } else if age >= RECENT_USAGE {
            self.snapshots = (self.snapshots.1, self.total);
            self.snapshot_at = now;
        }
        self.total += units;
        self.changed_at = now;
    }
}

/// The token buckets of one host, by subject.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: IndexMap<u64, Bucket>,
    own: IndexMap<u64, Usage>,
    /// Usage of this host and of those whose reports it receives directly.
    nearby: IndexMap<u64, Usage>,
    /// Usage as last reported, by reporter and subject.
    reported: IndexMap<(u64, u64), Usage>,
    reporters: IndexMap<u64, Reporter>,
    share: f64,
    tolerance: Tolerance,
    started: Time,
    /// Exponent by which the average usage of other hosts has decayed since the start.
    decay: f64,
}

impl RateLimiter {
    /// Creates the limiter of a host that knows no other hosts yet.
    pub fn new(tolerance: Tolerance, now: Time) -> RateLimiter {
        RateLimiter {
            share: 1.0,
            tolerance,
            started: now,
            ..RateLimiter::default()
        }
    }

    /// Sets the rate and burst of a limit; a rate of zero removes it.
    pub fn set_limit(&mut self, subject: u64, rate: u64, burst: u64, now: Time) {
        if rate == 0 {
            self.buckets.swap_remove(&subject);
            return;
        }
        let rate = rate as f64 * (1.0 + self.tolerance.rate);
        let burst = burst.max(1) as f64;
        let share = self.share;
        let bucket = self.buckets.entry(subject).or_insert(Bucket {
            level: burst * INITIAL_FILL * share,
            rate,
            burst,
            refilled_at: now,
            others_rate: 0.0,
            decay: 0.0,
        });
        bucket.refill(share, now);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst * share);
    }

    /// Sets the tolerance. Bucket rates change with the next call of [`RateLimiter::set_limit`].
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the share of each limit to that of the `reachable` hosts among all `known` ones. Both
    /// numbers include this host.
    pub fn set_reachable(&mut self, reachable: usize, known: usize, now: Time) {
        let share = (reachable.max(1) as f64 / known.max(1) as f64).min(1.0);
        if share == self.share {
            return;
        }
        let age = self.mean_report_age(now);
        let kept = (share / self.share).min(1.0);
        let lost_hosts = (self.share - share).max(0.0) * known as f64;
        let reporting = self.reporting_hosts(now);
        let lost_per_reporting = lost_hosts / (reporting.len() + 1) as f64;
        // The initial level was that of a host that knew no other.
        let is_initial = self.reporters.is_empty() || now.since(self.started) < STARTUP_TIME;
        for (subject, bucket) in &mut self.buckets {
            bucket.refill(self.share, now);
            bucket.decay_others(self.decay);
            if kept < 1.0 {
                // Charges what the lost hosts are estimated to have used since their last reports: as on
                // average before, or as this host and those it hears did, whose load may have risen since.
                let as_before = bucket.others_rate * (1.0 - kept) * age;
                let own = self.own.get(subject).map_or(0.0, |u| u.recent(now));
                let of_reporting = reporting
                    .iter()
                    .filter_map(|r| self.reported.get(&(*r, *subject)));
                let of_reporting: f64 = of_reporting.map(|u| u.recent(now)).sum();
                let like_heard = (own + of_reporting) * lost_per_reporting;
                let most = bucket.burst + bucket.rate * UNHEARD_TIME.as_secs_f64();
                bucket.level -= as_before.max(like_heard.min(most));
            }
            bucket.others_rate *= kept;
            if is_initial && bucket.level > 0.0 {
                bucket.level *= share / self.share;
            }
            bucket.level = bucket.level.min(bucket.burst * share);
        }
        self.share = share;
    }

    /// Returns the hosts that report directly.
    fn reporting_hosts(&self, now: Time) -> Vec<u64> {
        let hosts = self.reporters.values().filter(|r| r.hosts == 1);
        let reporting = hosts.filter(|r| now.since(r.reported_at) < REPORTING_AGE);
        reporting.map(|r| r.id).collect()
    }

    /// Returns the mean age in seconds of the last reports of the reachable hosts.
    fn mean_report_age(&self, now: Time) -> f64 {
        let (mut sum, mut hosts) = (0.0, 0.0);
        for reporter in self.reporters.values() {
            let age = now.since(reporter.reported_at);
            if age < MAX_REPORT_AGE {
                sum += age.as_secs_f64() * f64::from(reporter.hosts);
                hosts += f64::from(reporter.hosts);
            }
        }
        if hosts > 0.0 { sum / hosts } else { 0.0 }
    }

    /// Returns the part of each limit that the reachable hosts have.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes `units` from a bucket, or from the tolerance beyond it.
    ///
    /// # Errors
    ///
    /// The time after which there will be enough units, when there are too few.
    pub fn try_acquire(
        &mut self,
        subject: u64,
        units: u64,
        now: Time,
    ) -> Result<LimitStatus, Span> {
        let status = self.check(subject, units, now)?;
        self.charge(subject, units, now);
        Ok(status)
    }

    /// Returns whether `units` could be taken from a bucket.
    ///
    /// # Errors
    ///
    /// The time after which there will be enough units, when there are too few.
    pub fn check(&self, subject: u64, units: u64, now: Time) -> Result<LimitStatus, Span> {
        let Some(bucket) = self.buckets.get(&subject) else {
            return Ok(LimitStatus::Within);
        };
        let share = self.share;
        let just_started = now.since(self.started) < NO_TOLERANCE_AFTER_START;
        let max_debt = if just_started {
            0.0
        } else {
            self.tolerance.units * share
        };
        let mut bucket = *bucket;
        bucket.refill(share, now);
        bucket.decay_others(self.decay);
        let needed = (units as f64).min(bucket.burst * share);
        let level = bucket.level - bucket.others_rate * self.mean_report_age(now);
        if level + max_debt < needed {
            let wait = (needed - max_debt - level) / (bucket.rate * share);
            return Err(Span::from_secs_f64(wait).min(MAX_RETRY_AFTER));
        }
        Ok(if level < needed {
            LimitStatus::Beyond
        } else {
            LimitStatus::Within
        })
    }

    /// Takes `units` from a bucket, whatever its level.
    pub fn charge(&mut self, subject: u64, units: u64, now: Time) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.refill(self.share, now);
            bucket.decay_others(self.decay);
            bucket.level -= units as f64;
        }
        self.own.entry(subject).or_default().add(units, now);
        let nearby = self.nearby.entry(subject).or_default();
        nearby.add(units, now);
    }

    /// Returns the units of a request that was never sent to an upstream.
    pub fn refund(&mut self, subject: u64, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&subject) {
            bucket.level = (bucket.level + units as f64).min(bucket.burst * self.share);
        }
        for usage in [&mut self.own, &mut self.nearby] {
            let usage = usage.entry(subject).or_default();
            usage.total = usage.total.saturating_sub(units);
        }
    }

    /// Reports on the limits that this host used recently.
    pub fn own_usage(&self, now: Time) -> Vec<UsageReport> {
        self.reports(&self.own, now)
    }

    /// Reports on the limits that this host, and those whose reports it receives directly, used
    /// recently.
    pub fn nearby_usage(&self, now: Time) -> Vec<UsageReport> {
        self.reports(&self.nearby, now)
    }

    fn reports(&self, usage: &IndexMap<u64, Usage>, now: Time) -> Vec<UsageReport> {
        let recent = usage.iter();
        let recent = recent.filter(|(_, u)| now.since(u.changed_at) < Span(RECENT_USAGE.0 * 2));
        // The initial levels of a host that has just started must not lower those of others that
        // start.
        let has_settled = now.since(self.started) >= STARTUP_TIME;
        let report = |(subject, u): (&u64, &Usage)| UsageReport {
            subject: *subject,
            total: u.total,
            recent: u.total.saturating_sub(u.snapshots.0),
            level: if has_settled {
                self.available(*subject)
            } else {
                f32::MAX
            },
        };
        recent.map(report).collect()
    }

    /// Returns the units left in a bucket; `f32::MAX` when it has no limit.
    pub fn available(&self, subject: u64) -> f32 {
        let bucket = self.buckets.get(&subject);
        bucket.map_or(f32::MAX, |b| b.level as f32)
    }

    /// Charges the usage that another host reports directly, and adds it to the nearby usage.
    pub fn record_usage(&mut self, reporter: Reporter, reports: &[UsageReport], now: Time) {
        for (subject, used) in self.charge_reported(reporter, reports, UNREACHABLE_GAP, now) {
            let nearby = self.nearby.entry(subject).or_default();
            nearby.add(used, now);
        }
    }

    /// Charges the usage that a host reports on behalf of hosts that don't report to this one
    /// directly.
    pub fn record_relayed_usage(&mut self, reporter: Reporter, reports: &[UsageReport], now: Time) {
        self.charge_reported(reporter, reports, RELAYED_UNREACHABLE_GAP, now);
    }

    /// Charges reported usage and returns what had not been reported before, by subject. At a
    /// reporter's first report, a host that has just started lowers its levels to the reported ones
    /// instead. After a gap of `unreachable_gap` the usage in between is not charged.
    fn charge_reported(
        &mut self,
        reporter: Reporter,
        reports: &[UsageReport],
        unreachable_gap: Span,
        now: Time,
    ) -> Vec<(u64, u64)> {
        let previous = self.reporters.get(&reporter.id).map(|r| r.reported_at);
        if previous.is_some_and(|p| p > reporter.reported_at) {
            return Vec::new();
        }
        self.reporters.insert(reporter.id, reporter);
        if previous.is_none() {
            self.lower_levels(reports, now);
        }
        let elapsed = previous.map_or(Span::ZERO, |p| reporter.reported_at.since(p));
        self.advance_decay(elapsed, reporter.hosts);
        let mut newly_used = Vec::new();
        // What a host used while it was unreachable came from its own share.
        let was_unreachable = previous.is_none() || elapsed >= unreachable_gap;
        for r in reports {
            let unreported = if was_unreachable { 0 } else { r.recent };
            let reported = self.reported.entry((reporter.id, r.subject));
            let known = reported.or_insert(Usage::starting_at(r.total - unreported.min(r.total)));
            if was_unreachable {
                *known = Usage::starting_at(r.total);
            }
            let used = r.total.saturating_sub(known.total);
            if used > 0 {
                known.add(used, now);
            }
            newly_used.push((r.subject, used));
            let Some(bucket) = self.buckets.get_mut(&r.subject) else {
                continue;
            };
            bucket.refill(self.share, now);
            bucket.decay_others(self.decay);
            bucket.level -= used as f64;
            bucket.others_rate += used as f64 / USAGE_TIME_CONSTANT.as_secs_f64();
        }
        newly_used
    }

    /// Advances the decay of the others' average usage by a report on `hosts` hosts that covers the
    /// time `elapsed`. Each reporter advances it in proportion to its hosts.
    fn advance_decay(&mut self, elapsed: Span, hosts: u32) {
        let all: u32 = self.reporters.values().map(|r| r.hosts).sum();
        let part = f64::from(hosts) / f64::from(all.max(1));
        let decayed = elapsed.min(MAX_REPORT_AGE).as_secs_f64() * part;
        self.decay += decayed / USAGE_TIME_CONSTANT.as_secs_f64();
    }

    fn lower_levels(&mut self, reports: &[UsageReport], now: Time) {
        if now.since(self.started) >= LEVEL_SYNC_WINDOW {
            return;
        }
        for r in reports {
            if let Some(bucket) = self.buckets.get_mut(&r.subject) {
                bucket.refill(self.share, now);
                bucket.level = bucket.level.min(f64::from(r.level));
            }
        }
    }

    /// Removes the limit and all that was used of it, when it will not be set again.
    pub fn forget(&mut self, subject: u64) {
        self.buckets.swap_remove(&subject);
        self.own.swap_remove(&subject);
        self.nearby.swap_remove(&subject);
        self.reported.retain(|(_, o), _| *o != subject);
    }

    /// Removes a reporter and the totals that it reported.
    pub fn remove_reporter(&mut self, reporter: u64) {
        self.reported.retain(|(r, _), _| *r != reporter);
        self.reporters.swap_remove(&reporter);
    }

    /// Removes reporters whose last report is so old that no other will follow.
    pub fn remove_stale_reporters(&mut self, now: Time) {
        let stale = self.reporters.values();
        let stale = stale.filter(|r| now.since(r.reported_at) > REPORTER_TTL);
        let stale: Vec<u64> = stale.map(|r| r.id).collect();
        for reporter in stale {
            self.remove_reporter(reporter);
        }
    }
}

impl Bucket {
    fn refill(&mut self, share: f64, now: Time) {
        let gained = self.rate * share * now.since(self.refilled_at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst * share);
        self.refilled_at = now;
    }

    fn decay_others(&mut self, decay: f64) {
        self.others_rate *= (self.decay - decay).exp();
        self.decay = decay;
    }
}
