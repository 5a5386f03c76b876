//! RateLimiter by organisation over all hosts: a bucket that every host keeps from its own use and what
//! the others say of theirs. Hosts that cannot be heard keep their share, so that the parts of a
//! divided fleet never admit more than the limit together.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Part of a bucket that is full when a host starts, since others may just have used theirs.
const START_LEVEL: f64 = 0.15;
/// Time after its start in which a host knows too little of what was used before to
/// admit anything beyond a limit.
const YOUNG: Span = Span::from_millis(10_000);
/// Time after its start in which a host takes over lower levels of others.
const ADOPTS: Span = Span::from_millis(2_000);
/// Time over which the use of other hosts is averaged, to foresee what they have used since they were
/// last heard.
const MEMORY: Span = Span::from_millis(700);
/// Silence of a host after which nothing is foreseen of it: it is out of reach by then.
const MAX_LAG: Span = Span::from_millis(1_600);
/// Silence after which a teller is forgotten.
const FORGET: Span = Span::from_millis(30_000);
/// Silence of a teller from which on it was out of reach.
const AWAY: Span = Span::from_millis(1_000);
/// Time for which use counts as recent; it is told so long, since some beats are lost.
const RECENT: Span = Span::from_millis(1_000);
/// Time after its start in which a host that hears nobody does not yet take itself for the only one.
const ALONE: Span = Span::from_millis(1_000);
/// Hosts that there may be, for one that has not heard of any yet.
const MANY: usize = 16;
/// Time after its start in which what a host sees left says nothing to others, and in which its first
/// level follows the hosts that it comes to know.
const SETTLING: Span = Span::from_millis(1_000);
/// Longest advice to a caller over its limit.
const MAX_WAIT: Span = Span::from_millis(10_000);

/// Where a request stands against its organisation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatus {
    /// Within the limit.
    Within,
    /// Beyond the limit and within the leeway: nothing is owed, and it may have what is left over.
    Beyond,
}

/// What may be admitted beyond the limits themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Part of the rate.
    pub rate: f64,
    /// Units beyond the burst.
    pub units: f64,
}

/// Part of a tolerance that is planned with; the rest covers hosts that hear of each other late.
const PLANNED: f64 = 0.75;

impl Tolerance {
    /// The part of this tolerance that hosts may use.
    pub fn usable(self) -> Tolerance {
        Tolerance {
            rate: self.rate * PLANNED,
            units: self.units * PLANNED,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    burst: f64,
    at: Time,
    /// Units a second that the hosts within reach were last heard to use.
    others: f64,
    /// Fading of the fleet at which that was so.
    faded: f64,
}

/// What a host tells of its use of one organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The organisation.
    pub organisation: u64,
    /// Units used since the host started.
    pub total: u64,
    /// Units of these that were used of late, for hosts that have not heard of the others.
    pub recent: u64,
    /// What the host sees left of the limit.
    pub level: f32,
}

/// A host that tells of its own use, or of that of several hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reporter {
    /// Number of its boot, or another one for what it says of several.
    pub id: u64,
    /// Hosts that it speaks for.
    pub hosts: u32,
    /// When that was so.
    pub at: Time,
}

/// Hosts within reach of one that started `age` ago, and hosts that are known, for
/// [`RateLimiter::set_reachable`]. A host that has only started doesn't know how many others there are, nor
/// what they have just used; when most of a fleet starts at once, each must not take all for its own.
pub fn reachable_hosts(age: Span, heard: usize, known: usize) -> (usize, usize) {
    if known <= 1 && age < ALONE {
        return (1, MANY);
    }
    (heard, known)
}

/// What a host used of one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    total: u64,
    /// Totals at two marks, the later one at `marked`.
    marks: (u64, u64),
    marked: Time,
    changed: Time,
}

impl Used {
    fn add(&mut self, units: u64, now: Time) {
        let age = now.since(self.marked);
        if age >= Span(RECENT.0 * 2) {
            self.marks = (self.total, self.total);
            self.marked = now;
        } else if age >= RECENT {
            self.marks = (self.marks.1, self.total);
            self.marked = now;
        }
        self.total += units;
        self.changed = now;
    }
}

/// The buckets of one host.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: IndexMap<u64, Bucket>,
    used: IndexMap<u64, Used>,
    /// What this host and those that it hears directly used together.
    nearby: IndexMap<u64, Used>,
    heard: IndexMap<(u64, u64), u64>,
    tellers: IndexMap<u64, Reporter>,
    share: f64,
    leeway: Tolerance,
    started: Time,
    /// How far what is remembered of the use of others has faded since the start.
    faded: f64,
}

impl RateLimiter {
    /// RateLimiter of a host that is alone until it hears of others.
    pub fn new(leeway: Tolerance, now: Time) -> RateLimiter {
        RateLimiter {
            share: 1.0,
            leeway,
            started: now,
            ..RateLimiter::default()
        }
    }

    /// Sets the rate and burst of an organisation; a rate of zero lifts its limit.
    pub fn set_limit(&mut self, organisation: u64, rate: u64, burst: u64, now: Time) {
        if rate == 0 {
            self.buckets.swap_remove(&organisation);
            return;
        }
        let rate = rate as f64 * (1.0 + self.leeway.rate);
        let burst = burst.max(1) as f64;
        let share = self.share;
        let bucket = self.buckets.entry(organisation).or_insert(Bucket {
            level: burst * START_LEVEL * share,
            rate,
            burst,
            at: now,
            others: 0.0,
            faded: 0.0,
        });
        bucket.refill(share, now);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst * share);
    }

    /// Changes what may be admitted beyond the limits; rates follow with the next configuration.
    pub fn set_tolerance(&mut self, leeway: Tolerance) {
        self.leeway = leeway;
    }

    /// Sets the part of all hosts that hear each other, this one included.
    pub fn set_reachable(&mut self, heard: usize, known: usize, now: Time) {
        let share = (heard.max(1) as f64 / known.max(1) as f64).min(1.0);
        if share == self.share {
            return;
        }
        let lag = self.lag(now);
        let left = (share / self.share).min(1.0);
        // The first level was for a host that knew of no other.
        let is_first = self.tellers.is_empty() || now.since(self.started) < SETTLING;
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.share, now);
            bucket.fade(self.faded);
            if left < 1.0 {
                // What the lost ones have used unheard stays used.
                bucket.level -= bucket.others * (1.0 - left) * lag;
            }
            bucket.others *= left;
            if is_first && bucket.level > 0.0 {
                bucket.level *= share / self.share;
            }
            bucket.level = bucket.level.min(bucket.burst * share);
        }
        self.share = share;
    }

    /// Time since the other hosts were heard, on average over those within reach.
    fn lag(&self, now: Time) -> f64 {
        let (mut sum, mut hosts) = (0.0, 0.0);
        for teller in self.tellers.values() {
            let age = now.since(teller.at);
            if age < MAX_LAG {
                sum += age.as_secs_f64() * f64::from(teller.hosts);
                hosts += f64::from(teller.hosts);
            }
        }
        if hosts > 0.0 { sum / hosts } else { 0.0 }
    }

    /// Part of each limit that the hosts within reach have.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes `units` of an organisation's limit, or of the leeway beyond it.
    ///
    /// # Errors
    ///
    /// The time after which there will be room, when there is none.
    pub fn try_acquire(
        &mut self,
        organisation: u64,
        units: u64,
        now: Time,
    ) -> Result<LimitStatus, Span> {
        let share = self.share;
        let young = now.since(self.started) < YOUNG;
        let debt = if young {
            0.0
        } else {
            self.leeway.units * share
        };
        let lag = self.lag(now);
        let mut standing = LimitStatus::Within;
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.refill(share, now);
            bucket.fade(self.faded);
            let need = (units as f64).min(bucket.burst * share);
            let level = bucket.level - bucket.others * lag;
            if level < need {
                standing = LimitStatus::Beyond;
            }
            if level + debt < need {
                let wait = (need - debt - level) / (bucket.rate * share);
                return Err(Span::from_secs_f64(wait).min(MAX_WAIT));
            }
            bucket.level -= units as f64;
        }
        self.used.entry(organisation).or_default().add(units, now);
        let nearby = self.nearby.entry(organisation).or_default();
        nearby.add(units, now);
        Ok(standing)
    }

    /// Gives back what a request took that was never sent.
    pub fn refund(&mut self, organisation: u64, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.level = (bucket.level + units as f64).min(bucket.burst * self.share);
        }
        let used = self.used.entry(organisation).or_default();
        used.total = used.total.saturating_sub(units);
    }

    /// What this host has used of late.
    pub fn own_usage(&self, now: Time) -> Vec<UsageReport> {
        self.told_of(&self.used, now)
    }

    /// What this host and those that it hears directly have used of late.
    pub fn nearby_usage(&self, now: Time) -> Vec<UsageReport> {
        self.told_of(&self.nearby, now)
    }

    fn told_of(&self, used: &IndexMap<u64, Used>, now: Time) -> Vec<UsageReport> {
        let fresh = used.iter();
        let fresh = fresh.filter(|(_, u)| now.since(u.changed) < Span(RECENT.0 * 2));
        // What a host that has only started sees left says nothing to others that start.
        let knows = now.since(self.started) >= SETTLING;
        let told = |(organisation, u): (&u64, &Used)| UsageReport {
            organisation: *organisation,
            total: u.total,
            recent: u.total.saturating_sub(u.marks.0),
            level: if knows {
                self.available(*organisation)
            } else {
                f32::MAX
            },
        };
        fresh.map(told).collect()
    }

    /// Units that this host sees left of a limit.
    pub fn available(&self, organisation: u64) -> f32 {
        let bucket = self.buckets.get(&organisation);
        bucket.map_or(f32::MAX, |b| b.level as f32)
    }

    /// Takes in what another host says of its use, and counts it as used nearby.
    pub fn record_usage(&mut self, teller: Reporter, told: &[UsageReport], now: Time) {
        for (organisation, used) in self.take_in(teller, told, now) {
            let nearby = self.nearby.entry(organisation).or_default();
            nearby.add(used, now);
        }
    }

    /// Takes in what a host says of the use of others that are not heard directly.
    pub fn record_relayed_usage(&mut self, teller: Reporter, told: &[UsageReport], now: Time) {
        self.take_in(teller, told, now);
    }

    /// Takes in what was told and returns what is new of it. At the first hearing a host that has only
    /// started takes over the other's lower levels instead.
    fn take_in(&mut self, teller: Reporter, told: &[UsageReport], now: Time) -> Vec<(u64, u64)> {
        let before = self.tellers.get(&teller.id).map(|t| t.at);
        if before.is_some_and(|b| b > teller.at) {
            return Vec::new();
        }
        self.tellers.insert(teller.id, teller);
        if before.is_none() {
            self.adopt(told, now);
        }
        let covered = before.map_or(Span::ZERO, |b| teller.at.since(b));
        self.fade_others(covered, teller.hosts);
        let mut news = Vec::new();
        // What a host used while it was out of reach came from its own share.
        let was_away = before.is_none() || covered >= AWAY;
        for t in told {
            let unheard = if was_away { 0 } else { t.recent };
            let heard = self.heard.entry((teller.id, t.organisation));
            let known = heard.or_insert(t.total.saturating_sub(unheard));
            if was_away {
                *known = t.total;
            }
            let used = t.total.saturating_sub(*known);
            *known = (*known).max(t.total);
            news.push((t.organisation, used));
            let Some(bucket) = self.buckets.get_mut(&t.organisation) else {
                continue;
            };
            bucket.refill(self.share, now);
            bucket.fade(self.faded);
            bucket.level -= used as f64;
            bucket.others += used as f64 / MEMORY.as_secs_f64();
        }
        news
    }

    /// Lets what was heard of the use of others fade by the word of `hosts` on the time `covered`.
    fn fade_others(&mut self, covered: Span, hosts: u32) {
        let all: u32 = self.tellers.values().map(|t| t.hosts).sum();
        let part = f64::from(hosts) / f64::from(all.max(1));
        let faded = covered.min(MAX_LAG).as_secs_f64() * part;
        self.faded += faded / MEMORY.as_secs_f64();
    }

    fn adopt(&mut self, told: &[UsageReport], now: Time) {
        if now.since(self.started) >= ADOPTS {
            return;
        }
        for t in told {
            if let Some(bucket) = self.buckets.get_mut(&t.organisation) {
                bucket.refill(self.share, now);
                bucket.level = bucket.level.min(f64::from(t.level));
            }
        }
    }

    /// Forgets a boot of a host.
    pub fn remove_reporter(&mut self, teller: u64) {
        self.heard.retain(|(t, _), _| *t != teller);
        self.tellers.swap_remove(&teller);
    }

    /// Forgets tellers that have not been heard for so long that they will not be again.
    pub fn remove_stale_reporters(&mut self, now: Time) {
        let silent = self.tellers.values();
        let silent = silent.filter(|t| now.since(t.at) > FORGET);
        let silent: Vec<u64> = silent.map(|t| t.id).collect();
        for teller in silent {
            self.remove_reporter(teller);
        }
    }
}

impl Bucket {
    fn refill(&mut self, share: f64, now: Time) {
        let gained = self.rate * share * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst * share);
        self.at = now;
    }

    fn fade(&mut self, to: f64) {
        self.others *= (self.faded - to).exp();
        self.faded = to;
    }
}
