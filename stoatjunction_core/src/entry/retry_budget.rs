//! Retry budgets by service, shared by all hosts. Each host spends only what its own requests
//! earned and its part of the fixed allowance, so that the sum is bounded without any coordination.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Part of the budget that is spent; the rest covers differences between the hosts' clocks and
/// windows.
const SAFETY_FACTOR: f64 = 0.8;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond those, over all hosts.
    pub extra_retries: f64,
    /// Length of the sliding window.
    pub window: Span,
}

/// Whether the whole fleet starts for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstStart {
    /// No host has spent anything yet.
    Yes,
    /// The host started at this time, and may have spent its part of the fixed allowance right before.
    No(Time),
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// Retry budget of one host.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    start: FirstStart,
    services: IndexMap<String, Window>,
}

impl RetryBudget {
    /// Creates a budget. After a restart its fixed allowance counts as spent for one window.
    pub fn new(config: RetryBudgetConfig, start: FirstStart) -> RetryBudget {
        RetryBudget {
            config,
            start,
            services: IndexMap::new(),
        }
    }

    /// Replaces the limits. What was spent in the window still counts.
    pub fn set_config(&mut self, config: RetryBudgetConfig) {
        self.config = config;
    }

    /// Counts a request for `service`, which earns the host a part of a retry.
    pub fn record_request(&mut self, service: &str, now: Time) {
        let window = self.config.window;
        let w = self.services.entry(service.to_owned()).or_default();
        w.trim(window, now);
        w.requests.push_back(now);
    }

    /// Spends one retry for `service` and returns true, when the part of one of `hosts` hosts
    /// covers it.
    pub fn try_retry(&mut self, service: &str, hosts: usize, now: Time) -> bool {
        if self.retries_left(service, hosts, now) < 1.0 {
            return false;
        }
        let window = self.config.window;
        let w = self.services.entry(service.to_owned()).or_default();
        w.trim(window, now);
        w.retries.push_back(now);
        true
    }

    /// Returns the retries for `service` that the part of one of `hosts` hosts still covers.
    pub fn retries_left(&self, service: &str, hosts: usize, now: Time) -> f64 {
        let config = self.config;
        let window = self.services.get(service);
        let count = |times: &VecDeque<Time>| {
            let old = times.partition_point(|t| now.since(*t) > config.window);
            (times.len() - old) as f64
        };
        let earned = config.ratio * window.map_or(0.0, |w| count(&w.requests));
        let spent = window.map_or(0.0, |w| count(&w.retries));
        let extra = self.extra_retries(now) / hosts.max(1) as f64;
        SAFETY_FACTOR * (earned + extra) - spent
    }

    /// Returns the fixed allowance of all hosts, as far as this one may use its part.
    fn extra_retries(&self, now: Time) -> f64 {
        match self.start {
            FirstStart::No(at) if now.since(at) <= self.config.window => 0.0,
            _ => self.config.extra_retries,
        }
    }
}

impl Window {
    fn trim(&mut self, window: Span, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
