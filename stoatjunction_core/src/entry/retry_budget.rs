//! The budget of second sendings by service, shared over all hosts: each host spends only what its
//! own requests earned and its part of the fixed allowance, so that the sum holds without a word.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Part of the budget that is spent; the rest covers clocks and windows that differ.
const CAUTION: f64 = 0.8;

/// Figures of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Second sendings for each request.
    pub ratio: f64,
    /// Second sendings in a window beyond those, over all hosts.
    pub extra_retries: f64,
    /// Length of the window.
    pub window: Span,
}

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// What one host has left to spend.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: RetryBudgetConfig,
    services: IndexMap<String, Window>,
}

impl RetryBudget {
    /// An unspent budget.
    pub fn new(rule: RetryBudgetConfig) -> RetryBudget {
        RetryBudget {
            rule,
            services: IndexMap::new(),
        }
    }

    /// Changes the figures.
    pub fn set_config(&mut self, rule: RetryBudgetConfig) {
        self.rule = rule;
    }

    /// Counts a request for `service`.
    pub fn record_request(&mut self, service: &str, now: Time) {
        let window = self.rule.window;
        let w = self.services.entry(service.to_owned()).or_default();
        w.trim(window, now);
        w.requests.push_back(now);
    }

    /// Takes one second sending to `service` when it is within the part of one of `hosts` hosts.
    pub fn try_retry(&mut self, service: &str, hosts: usize, now: Time) -> bool {
        let rule = self.rule;
        let w = self.services.entry(service.to_owned()).or_default();
        w.trim(rule.window, now);
        let earned = rule.ratio * w.requests.len() as f64;
        let allowed = CAUTION * (earned + rule.extra_retries / hosts.max(1) as f64);
        if w.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        w.repeats.push_back(now);
        true
    }
}

impl Window {
    fn trim(&mut self, window: Span, now: Time) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
