//! Limits that upstreams name: requests a second from all hosts together, for as long as they say so.
//!
//! They are enforced as the limits of organisations are, by a [`RateLimiter`] on each host that charges
//! what the others report. Since such a limit is often a few requests a second, hosts that see the same
//! request become due would all send one before they hear of each other. So only as many hosts send to
//! the upstream as it takes requests in a second; which ones is the same on all hosts.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::rate_limiter::{RateLimiter, Reporter, Tolerance, UsageReport};
use crate::hash;
use crate::time::{Span, Time};

/// Units of the rate limiter that a request counts, since limits are decimal numbers.
const UNITS_PER_REQUEST: u64 = 1_000;
/// Least rate in requests a second. Without any request nobody would learn that the limit has ended.
const MIN_RATE: f64 = 0.25;
/// Highest rate in requests a second that is kept; beyond it, numbers lose their units.
const MAX_RATE: f64 = 1e9;
/// Time whose requests may be sent at once, beside one request.
const BURST_TIME: Span = Span::from_millis(500);
/// Time since an upstream's last response after which its limit is forgotten if it is not listed.
const STATEMENT_TTL: Span = Span::from_millis(60_000);
/// Time for which the end of a limit is reported.
const END_REPORTED_FOR: Span = Span::from_millis(10_000);
/// Time without a response after which a limit may have ended without anyone knowing.
const UNCERTAIN_AFTER: Span = Span::from_millis(1_000);
/// Maximum statements in one report; the others follow in later ones.
const MAX_STATEMENTS: usize = 40;

/// What an upstream last stated of its limit, as reported to other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Number of the upstream.
    pub upstream: u64,
    /// Requests a second; `None` if it no longer names a limit.
    pub rate: Option<f64>,
    /// Milliseconds since that statement.
    pub age: u64,
}

/// A host that may send to upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SendingHost {
    /// Number of the host, the same on all hosts.
    pub number: u64,
    /// Its data centre.
    pub dc: String,
}

#[derive(Clone, Debug)]
struct Statement {
    /// Requests a second; `None` if the upstream no longer names a limit.
    rate: Option<f64>,
    stated_at: Time,
    /// Data centre of the upstream.
    dc: String,
    /// True while this host is one of those that send to the upstream.
    is_sender: bool,
    /// Number of hosts that send to the upstream.
    senders: usize,
}

/// Limits of the upstreams of a pool, by the numbers of the upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimits {
    statements: IndexMap<u64, Statement>,
    limiter: RateLimiter,
    own: SendingHost,
    others: Vec<SendingHost>,
    has_update: bool,
}

impl UpstreamLimits {
    /// Creates the limits of a host that started at `started`.
    pub fn new(started: Time) -> UpstreamLimits {
        UpstreamLimits {
            limiter: RateLimiter::new(Tolerance::default(), started),
            ..UpstreamLimits::default()
        }
    }

    /// Returns the limiter, which has to know which hosts are reachable.
    pub fn limiter_mut(&mut self) -> &mut RateLimiter {
        &mut self.limiter
    }

    /// Records what the upstream in `dc` stated at `stated_at` of its limit in requests a second, and
    /// returns whether that changes the limit. What was stated before the latest statement is ignored.
    pub fn record(
        &mut self,
        upstream: u64,
        dc: &str,
        rate: Option<f64>,
        stated_at: Time,
        now: Time,
    ) -> bool {
        let rate = rate.map(|r| r.clamp(MIN_RATE, MAX_RATE));
        let known = self.statements.get(&upstream);
        if known.is_some_and(|k| k.stated_at > stated_at) || (known.is_none() && rate.is_none()) {
            return false;
        }
        let has_changed = known.and_then(|k| k.rate) != rate;
        let mut statement = Statement {
            rate,
            stated_at,
            dc: dc.to_owned(),
            is_sender: true,
            senders: 1,
        };
        self.choose_senders(upstream, &mut statement);
        self.statements.insert(upstream, statement);
        if has_changed {
            let units = (rate.unwrap_or(0.0) * UNITS_PER_REQUEST as f64).round() as u64;
            let at_once = (units as f64 * BURST_TIME.as_secs_f64()) as u64;
            let burst = UNITS_PER_REQUEST + at_once;
            self.limiter.set_limit(upstream, units, burst, now);
            self.has_update = true;
        }
        has_changed
    }

    /// Sets the hosts that may send to upstreams: this one and the others that are reachable.
    pub fn set_hosts(&mut self, own: SendingHost, others: Vec<SendingHost>) {
        if (&self.own, &self.others) == (&own, &others) {
            return;
        }
        (self.own, self.others) = (own, others);
        let mut statements = std::mem::take(&mut self.statements);
        for (upstream, statement) in &mut statements {
            self.choose_senders(*upstream, statement);
        }
        self.statements = statements;
    }

    /// Sets whether this host is one of those that send to an upstream: as many as it takes requests in
    /// a second, those of its own data centre first.
    fn choose_senders(&self, upstream: u64, statement: &mut Statement) {
        let Some(rate) = statement.rate else {
            return;
        };
        let dc = &statement.dc;
        let rank = |host: &SendingHost| (host.dc != *dc, hash::mix(host.number ^ upstream));
        let own = rank(&self.own);
        let before = self.others.iter().filter(|h| rank(h) < own).count();
        statement.senders = (rate.ceil() as usize).clamp(1, self.others.len() + 1);
        statement.is_sender = before < statement.senders;
    }

    /// Returns the time after which this host may send a request to the upstream; zero if it may now,
    /// `None` if it leaves the upstream to others.
    pub fn delay(&self, upstream: u64, now: Time) -> Option<Span> {
        let Some(statement) = self.statements.get(&upstream) else {
            return Some(Span::ZERO);
        };
        let allowed = self.limiter.check(upstream, UNITS_PER_REQUEST, now);
        statement
            .is_sender
            .then(|| allowed.err().unwrap_or(Span::ZERO))
    }

    /// Returns the requests a second that this host may send to the upstream in the long run; infinite
    /// if there is no limit.
    pub fn own_rate(&self, upstream: u64) -> f64 {
        match self.statements.get(&upstream) {
            Some(s) if !s.is_sender => 0.0,
            Some(s) => s.rate.map_or(f64::INFINITY, |r| r / s.senders as f64),
            None => f64::INFINITY,
        }
    }

    /// Returns the requests a second that the upstream takes, if it names a limit.
    pub fn rate(&self, upstream: u64) -> Option<f64> {
        self.statements.get(&upstream).and_then(|s| s.rate)
    }

    /// Returns whether the limit may have ended without anyone knowing, since the upstream has not
    /// responded for long.
    pub fn is_uncertain(&self, upstream: u64, now: Time) -> bool {
        let statement = self.statements.get(&upstream);
        statement.is_some_and(|s| s.rate.is_some() && now.since(s.stated_at) >= UNCERTAIN_AFTER)
    }

    /// Returns whether the upstream names a limit.
    pub fn is_limited(&self, upstream: u64) -> bool {
        self.rate(upstream).is_some()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn count(&self) -> usize {
        let statements = self.statements.values();
        statements.filter(|s| s.rate.is_some()).count()
    }

    /// Charges a request that is about to be sent.
    pub fn charge(&mut self, upstream: u64, now: Time) {
        if self.is_limited(upstream) {
            self.limiter.charge(upstream, UNITS_PER_REQUEST, now);
            self.has_update = true;
        }
    }

    /// Takes back the charge of a request that was not sent after all.
    pub fn refund(&mut self, upstream: u64) {
        if self.is_limited(upstream) {
            self.limiter.refund(upstream, UNITS_PER_REQUEST);
        }
    }

    /// Returns whether a limit has changed, or was used by this host, since the last call.
    pub fn take_update(&mut self) -> bool {
        std::mem::take(&mut self.has_update)
    }

    /// Returns what the upstreams last stated of their limits. `draw` decides which are left out when
    /// there are too many.
    pub fn reports<F>(&self, now: Time, mut draw: F) -> Vec<LimitReport>
    where
        F: FnMut() -> u64,
    {
        let is_reported =
            |s: &Statement| s.rate.is_some() || now.since(s.stated_at) < END_REPORTED_FOR;
        let reported = self.statements.iter().filter(|(_, s)| is_reported(s));
        let mut reports: Vec<(u64, LimitReport)> = reported
            .map(|(upstream, s)| {
                let report = LimitReport {
                    upstream: *upstream,
                    rate: s.rate,
                    age: now.since(s.stated_at).as_millis(),
                };
                (draw(), report)
            })
            .collect();
        reports.sort_unstable_by_key(|(order, _)| *order);
        let reports = reports.into_iter().take(MAX_STATEMENTS);
        reports.map(|(_, report)| report).collect()
    }

    /// Returns what this host sent to upstreams that name a limit.
    pub fn own_usage(&self, now: Time) -> Vec<UsageReport> {
        self.limiter.own_usage(now)
    }

    /// Returns what this host, and those that report to it directly, sent.
    pub fn nearby_usage(&self, now: Time) -> Vec<UsageReport> {
        self.limiter.nearby_usage(now)
    }

    /// Charges what another host reports that it sent.
    pub fn record_usage(&mut self, reporter: Reporter, usage: &[UsageReport], now: Time) {
        self.limiter.record_usage(reporter, usage, now);
    }

    /// Charges what a host reports on behalf of hosts that don't report to this one directly.
    pub fn record_relayed_usage(&mut self, reporter: Reporter, usage: &[UsageReport], now: Time) {
        self.limiter.record_relayed_usage(reporter, usage, now);
    }

    /// Forgets upstreams that are not listed and have not responded for long. An entry may be missing
    /// for a while, as when the store was down.
    pub fn expire<F>(&mut self, is_listed: F, now: Time)
    where
        F: Fn(u64) -> bool,
    {
        let limiter = &mut self.limiter;
        self.statements.retain(|upstream, s| {
            let keep = is_listed(*upstream) || now.since(s.stated_at) < STATEMENT_TTL;
            if !keep {
                limiter.forget(*upstream);
            }
            keep
        });
    }
}
