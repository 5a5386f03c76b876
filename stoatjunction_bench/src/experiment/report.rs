//! Results of a simulation.

use indexmap::IndexMap;
use serde::Serialize;

/// Results of one tier.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TierReport {
    /// Name of the tier.
    pub name: String,
    /// Requests that arrived.
    pub offered: u64,
    /// Requests answered completely and in time.
    pub good: u64,
    /// Requests whose deadline passed while they were running.
    pub late: u64,
    /// Requests that were refused, or whose deadline passed, before they ran.
    pub shed: u64,
    /// Runs cancelled in favour of a higher tier.
    pub preempted: u64,
    /// Time from arrival to the first token in milliseconds: median and 95th percentile.
    pub first_ms: (u64, u64),
    /// Time between tokens in milliseconds: median and 95th percentile.
    pub between_ms: (u64, u64),
}

impl TierReport {
    /// Returns the share of offered requests that were answered completely and in time.
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            1.0
        } else {
            self.good as f64 / self.offered as f64
        }
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Offered load in multiples of the capacity.
    pub factor: f64,
    /// Seed of the requests.
    pub seed: u64,
    /// Results by tier, highest priority first.
    pub tiers: Vec<TierReport>,
    /// Prompt tokens processed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in caches.
    pub cached_tokens: u64,
    /// Prompt tokens processed for runs that were cancelled, by cause.
    pub wasted_tokens: IndexMap<String, u64>,
    /// Jain's index of the organisations' goodput shares.
    pub fairness: f64,
}

impl Report {
    /// Returns the share of processed prompt tokens that was spent on cancelled runs.
    pub fn wasted_share(&self) -> f64 {
        let wasted: u64 = self.wasted_tokens.values().sum();
        wasted as f64 / self.prefill_tokens.max(1) as f64
    }

    /// Returns the share of prompt tokens that were found in a cache.
    pub fn cached_share(&self) -> f64 {
        let total = self.cached_tokens + self.prefill_tokens;
        self.cached_tokens as f64 / total.max(1) as f64
    }
}

/// Prints reports as a table.
pub fn print_table(reports: &[Report]) {
    println!(
        "{:<20} {:>5} {:<10} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>11} {:>11}",
        "policy",
        "load",
        "tier",
        "offered",
        "good",
        "good%",
        "late",
        "shed",
        "preem",
        "first ms",
        "between ms"
    );
    for r in reports {
        for t in &r.tiers {
            println!(
                "{:<20} {:>5.2} {:<10} {:>7} {:>7} {:>6.1}% {:>6} {:>6} {:>6} {:>5}/{:<5} {:>5}/{:<5}",
                r.policy,
                r.factor,
                t.name,
                t.offered,
                t.good,
                t.goodput() * 100.0,
                t.late,
                t.shed,
                t.preempted,
                t.first_ms.0,
                t.first_ms.1,
                t.between_ms.0,
                t.between_ms.1
            );
        }
        let waste_by_cause: Vec<String> = r
            .wasted_tokens
            .iter()
            .map(|(cause, n)| format!("{cause} {n}"))
            .collect();
        println!(
            "{:<20} {:>5.2} wasted prefill {:.2}% ({}), cached {:.1}%, fairness {:.3}",
            r.policy,
            r.factor,
            r.wasted_share() * 100.0,
            waste_by_cause.join(", "),
            r.cached_share() * 100.0,
            r.fairness
        );
    }
}
