//! Times of the way by which a confirmed configuration reaches every host.
//!
//! The promise is one time for the whole way, and the way has many parts: watches, their responses, other
//! hosts. Each part gets a share of the promise here and nowhere else, so that the sums can be checked.

use super::follower_election::step_in_delay;
use crate::time::Span;

/// Longest time to list the store anew after a failed watch: the pause before it and the response.
const RELIST: Span = Span::from_millis(250);

/// Longest interval between two reports of a host on its state.
pub const REPORT_INTERVAL: Span = Span::from_millis(250);
/// Interval at which a host decides anew whether it has to follow the store.
pub const ROLE_CHECK_INTERVAL: Span = Span::from_millis(100);
/// Time until the other hosts know a change of a host's state, which it reports at once.
const SPREAD: Span = Span::from_millis(60);
/// Time of a call to a store that answers.
const CALL: Span = Span::from_millis(50);
/// Time to fetch a snapshot from a host that answers.
const FETCH: Span = Span::from_millis(150);

/// What the operators promise of configurations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationBounds {
    /// Time after its acknowledgement within which a configuration is in force.
    pub in_force: Span,
    /// Time after an impairment from which on the promise holds again.
    pub stable: Span,
    /// Time after which an upstream that leaves gets no more work.
    pub drain: Span,
}

impl Default for PropagationBounds {
    fn default() -> PropagationBounds {
        PropagationBounds {
            in_force: Span::from_millis(2_000),
            stable: Span::from_millis(3_000),
            drain: Span::from_millis(2_000),
        }
    }
}

/// Shares of the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropagationTimes {
    /// Time for which a watch waits for changes. Only its response shows that its connection lives, and
    /// a connection may die without a reset.
    pub watch_wait: Span,
    /// The same for a watch on the list of upstreams. Each call to the store is billed, and there is more time.
    pub list_watch_wait: Span,
    /// The same for a watch on the configuration on which other hosts depend.
    pub follower_watch_wait: Span,
    /// Time after the wait from which on the response is overdue: others may have to ask the store.
    pub overdue_margin: Span,
    /// Time after that within which the response must arrive; a slow store needs a few hundred milliseconds.
    pub watch_margin: Span,
    /// Time for which a host leaves a newer configuration to its own watch before it asks another host.
    pub own_watch_wait: Span,
    /// Time after which a host asks another one beside a host that has not answered.
    pub fetch_patience: Span,
}

impl PropagationTimes {
    /// Divides the promise among the parts of the way.
    pub fn new(bounds: PropagationBounds) -> PropagationTimes {
        PropagationTimes {
            watch_wait: part(bounds.stable, 0.45),
            list_watch_wait: part(bounds.stable + bounds.drain, 0.65),
            follower_watch_wait: part(bounds.in_force, 0.2),
            overdue_margin: part(bounds.in_force, 0.15),
            watch_margin: part(bounds.stable, 0.25),
            own_watch_wait: part(bounds.in_force, 0.1),
            fetch_patience: part(bounds.in_force, 0.15),
        }
    }

    /// Returns the longest time from the moment at which a watch's connection dies until its host has listed
    /// the store anew.
    pub fn after_dead_connection(&self) -> Span {
        self.watch_wait + self.watch_margin + RELIST
    }

    /// The same for a watch on the list of upstreams.
    pub fn list_after_dead_connection(&self) -> Span {
        self.list_watch_wait + self.watch_margin + RELIST
    }

    /// Returns the longest time from the moment at which the store falls silent to all hosts that follow it
    /// for the others until all hosts have a configuration that it tells a host this many places behind them.
    pub fn past_silent_followers(&self, place: u32) -> Span {
        let overdue = self.follower_watch_wait + self.overdue_margin;
        let stepped_in = SPREAD + step_in_delay(place) + ROLE_CHECK_INTERVAL + CALL;
        overdue + stepped_in + SPREAD + FETCH
    }

    /// Returns the longest time from the moment at which other hosts have a configuration until a host has it
    /// whose own watch is silent, when the first host that it asks freezes.
    pub fn past_frozen_host(&self) -> Span {
        let offered = REPORT_INTERVAL + self.own_watch_wait;
        offered + self.fetch_patience + offered + FETCH
    }
}

fn part(span: Span, share: f64) -> Span {
    Span::from_secs_f64(span.as_secs_f64() * share)
}
