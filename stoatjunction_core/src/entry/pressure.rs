//! Whether callers ask for more than the upstreams of a service complete. Only then plain requests that are late go
//! behind those of their precedence that can be in time: by deadlines alone nearly all of them are late in a burst.

use super::decaying_rate::DecayingRate;
use crate::time::{Span, Time};

/// Time over which arrivals and completions are measured.
const WINDOW: Span = Span::from_millis(1_000);
/// Arrivals, in parts of the completions, from which there is pressure.
const MIN_EXCESS: f64 = 1.05;
/// Arrivals, in parts of the completions, below which it ends.
const END_EXCESS: f64 = 0.9;
/// Time for which the requests that wait at all hosts have to exceed the slots before there is pressure: queues of
/// single hosts last that long at high load.
const MIN_WAIT: Span = Span::from_millis(200);
/// Time without a waiting request after which pressure has ended.
const END_WAIT_TIME: Span = Span::from_millis(200);

/// Place of a request among those of its precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It can be in time, or there is no pressure.
    #[default]
    InTime,
    /// It misses its target latency under pressure: it runs behind the others if there is capacity.
    Late,
}

/// Arrivals and completions of a service at this host.
#[derive(Clone, Debug)]
pub struct Pressure {
    arrivals: DecayingRate,
    completions: DecayingRate,
    is_on: bool,
    /// Time since which more requests than there are slots have waited at all hosts.
    waiting_since: Option<Time>,
    /// Time at which a request waited last.
    waited_at: Time,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure {
            arrivals: DecayingRate::new(WINDOW),
            completions: DecayingRate::new(WINDOW),
            is_on: false,
            waiting_since: None,
            waited_at: Time::default(),
        }
    }
}

impl Pressure {
    /// Records how many requests wait at this host and at all hosts, and the slots of the upstreams.
    pub fn record_waiting(&mut self, own: usize, all: u32, slots: u32, now: Time) {
        if own > 0 {
            self.waited_at = now;
        }
        self.waiting_since = match own > 0 && all > slots {
            true => self.waiting_since.or(Some(now)),
            false => None,
        };
    }

    /// Records a request that arrives, and returns whether pressure has begun or ended.
    pub fn record_arrival(&mut self, now: Time) -> bool {
        self.arrivals.add(1.0, now);
        let (arrivals, completions) = (self.arrivals.get(now), self.completions.get(now));
        let was_on = self.is_on;
        self.is_on = match was_on {
            true => {
                now.since(self.waited_at) < END_WAIT_TIME && arrivals >= END_EXCESS * completions
            }
            false => {
                let since = self.waiting_since;
                since.is_some_and(|since| now.since(since) >= MIN_WAIT)
                    && arrivals >= MIN_EXCESS * completions
            }
        };
        self.is_on != was_on
    }

    /// Records a run that was completed.
    pub fn record_completion(&mut self, now: Time) {
        self.completions.add(1.0, now);
    }

    /// Returns whether there is pressure, as of the last arrival.
    pub fn is_on(&self) -> bool {
        self.is_on
    }
}
