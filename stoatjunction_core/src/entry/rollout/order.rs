//! Orders for rollouts as the operator writes them, and what the store keeps of them.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::time::Span;

/// Longest duration of an order in seconds; a longer one is taken for a mistake.
const MAX_DURATION_S: f64 = 86_400.0;

/// Limits of rollouts, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Share of a service's requests that a bad version may receive.
    pub share: f64,
    /// Requests beyond that share that a bad version may receive.
    pub slack: f64,
    /// Time after its 50th bad response at which a bad version receives no more requests.
    pub rollback: Span,
}

/// State of an order as the store has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Requests are moving.
    Running,
    /// The target version carries the whole load.
    Completed,
    /// The target version receives no requests.
    RolledBack,
}

/// An operator's order to move the traffic of a service to another software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service.
    pub service: String,
    /// Version that shall carry the load.
    pub target: String,
    /// Time within which the order is completed or rolled back; zero if the order names no valid one.
    pub duration: Span,
    /// Revision at which the object was created.
    pub created: u64,
    /// Revision of the last change, including changes of the status.
    pub revision: u64,
    /// State and the target that it refers to.
    pub status: Option<(RolloutState, String)>,
}

impl RolloutOrder {
    /// Returns the duration of an order that names this number of seconds: zero, with which the order is rolled back
    /// at once, for a number that is not positive, not finite or more than a day.
    pub fn duration_from_secs(secs: f64) -> Span {
        match secs > 0.0 && secs <= MAX_DURATION_S {
            true => Span::from_secs_f64(secs),
            false => Span::ZERO,
        }
    }

    /// Returns the identity of the order.
    pub fn id(&self) -> OrderId {
        let created = self.created.to_le_bytes();
        let parts = [self.service.as_bytes(), &created, self.target.as_bytes()];
        OrderId(hash::hash_parts(&parts))
    }

    /// Returns the stored state of this order; `None` if it has not begun. A status of another target belongs to an
    /// earlier order.
    pub fn state(&self) -> Option<RolloutState> {
        let (state, target) = self.status.as_ref()?;
        (*target == self.target).then_some(*state)
    }
}

/// Identity of an order: a hash of its service, its creation and its target.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct OrderId(pub u64);

/// What a change of an order's object means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderChange {
    /// The object is the known one, or older than it.
    None,
    /// The time limit changed.
    Duration {
        /// Former duration.
        from: Span,
        /// New duration.
        to: Span,
    },
    /// The stored state of the same order changed.
    State(Option<RolloutState>),
    /// Another order follows; what was known of the former one is dropped.
    Replaced {
        /// Target of the former order.
        former_target: String,
    },
    /// The object was removed.
    Withdrawn,
}

impl OrderChange {
    /// Returns the name of the change in logs.
    pub const fn label(&self) -> &'static str {
        match self {
            OrderChange::None => "none",
            OrderChange::Duration { .. } => "duration",
            OrderChange::State(_) => "state",
            OrderChange::Replaced { .. } => "replaced",
            OrderChange::Withdrawn => "withdrawn",
        }
    }
}

/// What must survive the loss of all hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Creation of the order.
    pub created: u64,
    /// Target of the order.
    pub target: String,
    /// Age of the order; the daemon stores it as the time at which the order started.
    pub age: Span,
    /// Responses of the target version.
    pub answers: u64,
    /// Bad responses of the target version.
    pub bad: u64,
    /// Verdict.
    pub verdict: super::verdict::Verdict,
}
