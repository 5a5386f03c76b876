//! Rollouts: an operator orders that the traffic of a service moves to another software version, and the hosts find
//! out together, from a small share of the requests, whether that version is bad.
//!
//! Each host decides on its own from counts that all hosts share, so that no host is needed for a decision.

mod allowance;
mod comparison;
mod conclusion;
mod evaluation;
mod evidence;
mod exchange;
mod gate;
mod moment;
mod order;
mod phase;
mod records;
mod state;
mod timing;
mod totals;
mod verdict;

pub use evidence::{
    EvidenceReport, OldRuns, Reporter, RouteCounts, RouteEvidence, RunEvidence, Side,
    UnansweredRuns,
};
pub use gate::{GateCharge, RolloutGate};
pub use order::{OrderChange, OrderId, Progress, RolloutBounds, RolloutOrder, RolloutState};
pub use phase::{FleetView, Phase, UpstreamView};
pub use state::Rollout;
pub use verdict::{Verdict, VerdictReason};
