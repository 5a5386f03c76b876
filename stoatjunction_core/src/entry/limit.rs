//! Limits by organisation over all hosts: a bucket that every host keeps from its own use and what
//! the others say of theirs. Hosts that cannot be heard keep their share, so that the parts of a
//! divided fleet never admit more than the limit together.

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Part of a bucket that is full when a host starts, since others may just have used theirs.
const START_LEVEL: f64 = 0.15;
/// Time after its start in which a host knows too little of what was used before to
/// admit anything beyond a limit.
const YOUNG: Span = Span::from_millis(10_000);
/// Time after its start in which a host takes over lower levels of others.
const ADOPTS: Span = Span::from_millis(2_000);
/// Longest advice to a caller over its limit.
const MAX_WAIT: Span = Span::from_millis(10_000);

/// Where a request stands against its organisation's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Within the limit.
    Within,
    /// Beyond the limit and within the leeway: nothing is owed, and it may have what is left over.
    Beyond,
}

/// What may be admitted beyond the limits themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Leeway {
    /// Part of the rate.
    pub rate: f64,
    /// Units beyond the burst.
    pub units: f64,
}

/// Part of a tolerance that is planned with; the rest covers hosts that hear of each other late.
const PLANNED: f64 = 0.75;

impl Leeway {
    /// The part of this tolerance that hosts may use.
    pub fn planned(self) -> Leeway {
        Leeway {
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
}

/// Units used by one host since it started, by organisation.
pub type Usage = Vec<(u64, u64)>;

/// The buckets of one host.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    buckets: IndexMap<u64, Bucket>,
    used: IndexMap<u64, u64>,
    heard: IndexMap<(u64, u64), u64>,
    peers: IndexMap<u64, Time>,
    share: f64,
    leeway: Leeway,
    started: Time,
}

impl Limits {
    /// Limits of a host that is alone until it hears of others.
    pub fn new(leeway: Leeway, now: Time) -> Limits {
        Limits {
            share: 1.0,
            leeway,
            started: now,
            ..Limits::default()
        }
    }

    /// Sets the rate and burst of an organisation; a rate of zero lifts its limit.
    pub fn set(&mut self, organisation: u64, rate: u64, burst: u64, now: Time) {
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
        });
        bucket.refill(share, now);
        bucket.rate = rate;
        bucket.burst = burst;
        bucket.level = bucket.level.min(burst * share);
    }

    /// Changes what may be admitted beyond the limits; rates follow with the next configuration.
    pub fn set_leeway(&mut self, leeway: Leeway) {
        self.leeway = leeway;
    }

    /// Sets the part of all hosts that hear each other, this one included.
    pub fn set_reach(&mut self, heard: usize, known: usize, now: Time) {
        let share = (heard.max(1) as f64 / known.max(1) as f64).min(1.0);
        if share == self.share {
            return;
        }
        for bucket in self.buckets.values_mut() {
            bucket.refill(self.share, now);
            bucket.level = bucket.level.min(bucket.burst * share);
        }
        self.share = share;
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
    pub fn take(&mut self, organisation: u64, units: u64, now: Time) -> Result<Standing, Span> {
        let share = self.share;
        let young = now.since(self.started) < YOUNG;
        let debt = if young {
            0.0
        } else {
            self.leeway.units * share
        };
        let mut standing = Standing::Within;
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.refill(share, now);
            let need = (units as f64).min(bucket.burst * share);
            if bucket.level < need {
                standing = Standing::Beyond;
            }
            if bucket.level + debt < need {
                let wait = (need - debt - bucket.level) / (bucket.rate * share);
                return Err(Span::from_secs_f64(wait).min(MAX_WAIT));
            }
            bucket.level -= units as f64;
        }
        *self.used.entry(organisation).or_default() += units;
        Ok(standing)
    }

    /// Gives back what a request took that was never sent.
    pub fn give_back(&mut self, organisation: u64, units: u64) {
        if let Some(bucket) = self.buckets.get_mut(&organisation) {
            bucket.level = (bucket.level + units as f64).min(bucket.burst * self.share);
        }
        let used = self.used.entry(organisation).or_default();
        *used = used.saturating_sub(units);
    }

    /// What this host has used.
    pub fn usage(&self) -> Usage {
        self.used.iter().map(|(o, n)| (*o, *n)).collect()
    }

    /// Takes in what another boot of a host, named by `peer`, has used since its start. At the
    /// first hearing a host that has only started takes over the other's lower levels instead.
    pub fn hear(&mut self, peer: u64, usage: &[(u64, u64)], levels: &[(u64, f32)], now: Time) {
        let first = self.peers.insert(peer, now).is_none();
        if first {
            self.adopt(levels, now);
        }
        for (organisation, total) in usage {
            let before = self.heard.insert((peer, *organisation), *total);
            let before = before.unwrap_or(if first { *total } else { 0 });
            let Some(bucket) = self.buckets.get_mut(organisation) else {
                continue;
            };
            bucket.refill(self.share, now);
            let used = *total as f64 - before as f64;
            bucket.level = (bucket.level - used).min(bucket.burst * self.share);
        }
    }

    /// What is left of each limit, for hosts that start.
    pub fn levels(&self) -> Vec<(u64, f32)> {
        let levels = self.buckets.iter();
        levels.map(|(o, b)| (*o, b.level as f32)).collect()
    }

    fn adopt(&mut self, levels: &[(u64, f32)], now: Time) {
        if now.since(self.started) >= ADOPTS {
            return;
        }
        for (organisation, level) in levels {
            if let Some(bucket) = self.buckets.get_mut(organisation) {
                bucket.refill(self.share, now);
                bucket.level = bucket.level.min(f64::from(*level));
            }
        }
    }

    /// Forgets a boot of a host.
    pub fn forget(&mut self, peer: u64) {
        self.heard.retain(|(p, _), _| *p != peer);
        self.peers.swap_remove(&peer);
    }
}

impl Bucket {
    fn refill(&mut self, share: f64, now: Time) {
        let gained = self.rate * share * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst * share);
        self.at = now;
    }
}
