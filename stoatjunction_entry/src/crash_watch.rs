//! Pauses between watches on crashes. In trouble there may be tens of crashes a second, hosts report them to each
//! other within one heartbeat, and each watch is billed.

use std::time::Duration;

use stoatjunction_core::entry::call_pacing::CallPacing;
use stoatjunction_core::entry::follower_election::Role;
use stoatjunction_core::time::Span;

use crate::clock;

/// Watches without a pause, enough for what is written about one request.
const BURST: u32 = 4;
/// Interval between two further watches of a follower.
const FOLLOWER_INTERVAL: Span = Span::from_millis(1_000);
/// The same of a host that stands in for followers, of which there may be many.
const STAND_IN_INTERVAL: Span = Span::from_millis(2_000);
/// The same of a host that hears no other host. It learns of crashes from the store only, and may send a request
/// that is barred elsewhere until it has read of its crashes.
const INDEPENDENT_INTERVAL: Span = Span::from_millis(250);

/// Watches on crashes of this host.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    pacing: CallPacing,
}

impl Default for CrashWatch {
    fn default() -> CrashWatch {
        CrashWatch {
            pacing: CallPacing::new(BURST),
        }
    }
}

impl CrashWatch {
    /// Waits until the next watch may begin after one that brought changes.
    pub(crate) async fn pause(&mut self, role: Role) {
        let interval = match role {
            Role::Independent => INDEPENDENT_INTERVAL,
            Role::Follower | Role::Reader => FOLLOWER_INTERVAL,
            Role::StandIn(_) => STAND_IN_INTERVAL,
        };
        let wait = Duration::from(self.pacing.wait(interval, clock::now()));
        let jitter = match role {
            Role::StandIn(_) => 1.0 + fastrand::f64(),
            Role::Independent | Role::Follower | Role::Reader => 1.0,
        };
        tokio::time::sleep(wait.mul_f64(jitter)).await;
        self.pacing.try_call(interval, clock::now());
    }
}
