//! Evidence on the versions of a service during a rollout: totals of each host, and their sum over the fleet.

use serde::{Deserialize, Serialize};

use super::order::OrderId;
use super::verdict::Verdict;
use crate::time::Span;

/// Side of a rollout that an upstream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Side {
    /// The version that shall carry the load.
    Target,
    /// Any other version.
    Other,
}

/// What a run says of the version that it ran at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvidence {
    /// A valid response in time.
    Good,
    /// A valid response, later than 2.5 times the forecast.
    Slow,
    /// A response that is an error of the upstream, or invalid although complete.
    Failed,
    /// The connection broke, or nothing arrived in time, at the upstream with this number. A connection that could not
    /// be made and a request that did not run say nothing of a version and are not recorded.
    NoResponse(u64),
}

/// Totals of the responses on one route at one side; they never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// Responses, including failures and slow ones.
    pub responses: u32,
    /// Failures.
    pub failures: u32,
    /// Slow responses.
    pub slow: u32,
}

/// Who counts: a host between two of its starts, and its data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Reporter {
    /// Hash of the host and its start.
    pub host: u64,
    /// Hash of the data centre.
    pub dc: u64,
}

/// Runs at the old version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OldRuns {
    /// All runs.
    pub all: u32,
    /// Those that may not be sent again.
    pub non_idempotent: u32,
}

/// Totals on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Route.
    pub route: u32,
    /// Totals of the target version.
    pub target: RouteCounts,
    /// Totals of the other versions.
    pub other: RouteCounts,
}

/// Times at which runs at an upstream ended without a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnansweredRuns {
    /// Side of the upstream.
    pub side: Side,
    /// Lower half of the number of the upstream.
    pub upstream: u32,
    /// A bit for each time slot of the order in which there were any.
    pub times: u64,
}

/// What a host, or a relay for its data centre, reports of an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceReport {
    /// Who counted; for the sums of a data centre, the relay.
    pub reporter: Reporter,
    /// True for the sums of a data centre.
    pub is_sum: bool,
    /// Increases with each report of the same reporter.
    pub sequence: u64,
    /// Order.
    pub order: OrderId,
    /// Age of the order.
    pub age: Span,
    /// Verdict of the reporter.
    pub verdict: Verdict,
    /// Time since the target's share began to rise; absent before.
    pub ramp_age: Option<Span>,
    /// Runs at the old version.
    pub old_runs: OldRuns,
    /// Totals by route and period of the order; the four lowest bits of the route hold the period.
    pub counts: Vec<RouteEvidence>,
    /// Upstreams with runs without a response.
    pub unanswered: Vec<UnansweredRuns>,
}
