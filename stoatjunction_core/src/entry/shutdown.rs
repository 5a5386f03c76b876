//! Which requests a stopping host still takes and sends on, and when it answers those that are left.

use crate::time::{Span, Time};

/// Time after the signal in which every request is taken: the load balancer may not have noticed yet, and
/// what is sent by then has the rest of the grace period. Shorter than the three seconds of the operators,
/// since the signal is seen late on a busy host.
const TAKE_ALL_TIME: Span = Span::from_millis(2_800);
/// Time after the signal in which new connections are still accepted: the load balancer needs two health checks, a second
/// apart, to notice.
const ACCEPT_TIME: Span = Span::from_millis(3_000);
/// Time before the end of the grace period at which the requests that are left are answered.
const ANSWER_MARGIN: Span = Span::from_millis(500);
/// Time before the end of the grace period by which callers have taken these answers.
const END_MARGIN: Span = Span::from_millis(200);
/// Largest part of the time until the answers in which requests are taken and connections accepted.
const TAKE_ALL_PART: f64 = 0.6;

/// The stop of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// Time of the signal.
    pub began_at: Time,
    /// Time at which requests in progress are aborted: those that nothing of a response was sent to are answered.
    pub aborts_at: Time,
}

impl Shutdown {
    /// Creates the stop of a host that is killed after the grace period.
    pub fn new(began_at: Time, grace: Span) -> Shutdown {
        Shutdown {
            began_at,
            aborts_at: began_at + (grace - ANSWER_MARGIN),
        }
    }

    /// Returns whether a request is taken that may last until `deadline`. Later ones are taken only if they
    /// can't be aborted: refused at once, they run whole on another host.
    pub fn takes(&self, deadline: Time, now: Time) -> bool {
        now < self.began_at + self.part(TAKE_ALL_TIME) || deadline <= self.aborts_at
    }

    /// Returns the time until which new connections are accepted.
    pub fn accepts_until(&self) -> Time {
        self.began_at + self.part(ACCEPT_TIME)
    }

    /// Returns the time at which a request is refused that may last until `deadline` and still waits to be sent on; `None`
    /// if it is sent on at any time. A run that begins later is likely to be aborted, and what was not sent on may run on
    /// another host.
    pub fn sends_until(&self, deadline: Time) -> Option<Time> {
        let half = Span(self.began_at.until(self.aborts_at).0 / 2);
        (deadline > self.aborts_at).then_some(self.began_at + half.max(self.part(TAKE_ALL_TIME)))
    }

    /// Returns the time at which the host ends, whatever is left.
    pub fn ends_at(&self) -> Time {
        self.aborts_at + (ANSWER_MARGIN - END_MARGIN)
    }

    /// Returns the span, or less if the grace period is short.
    fn part(&self, span: Span) -> Span {
        let time = self.began_at.until(self.aborts_at).as_secs_f64();
        span.min(Span::from_secs_f64(time * TAKE_ALL_PART))
    }
}
