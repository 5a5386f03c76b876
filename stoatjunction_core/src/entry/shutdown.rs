//! Which requests a stopping host still takes.

use crate::time::{Span, Time};

/// Time after the signal in which every request is taken: the load balancer may not have noticed yet, and
/// what is sent by then has the rest of the grace period. Shorter than the three seconds of the operators,
/// since the signal is seen late on a busy host.
const TAKE_ALL_TIME: Span = Span::from_millis(2_800);

/// The stop of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time of the signal.
    pub began_at: Time,
    /// Time at which requests in progress are aborted.
    pub aborts_at: Time,
}

impl Shutdown {
    /// Returns whether a request is taken that may last until `deadline`. Later ones are taken only if they
    /// can't be aborted: refused at once, they run whole on another host.
    pub fn takes(&self, deadline: Time, now: Time) -> bool {
        now < self.began_at + TAKE_ALL_TIME || deadline <= self.aborts_at
    }
}
