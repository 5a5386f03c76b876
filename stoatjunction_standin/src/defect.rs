//! Defects of scripted upstreams: a fraction of the requests is handled badly, of all or only of some.

use std::time::{Duration, Instant};

use crate::scripted_upstream::{ReceivedRequest, Reply};

/// What happens to an affected request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It gets this reply.
    Reply(Reply),
    /// Its reply takes this much longer.
    Delay(Duration),
}

/// A defect of an upstream's software.
#[derive(Clone, Debug)]
pub struct Defect {
    /// Fraction of the requests named below that are affected.
    pub fraction: f64,
    /// What happens to them.
    pub effect: Effect,
    /// Time from which on requests are affected.
    pub since: Instant,
    /// Only requests beyond this many running ones are affected.
    pub above_running: usize,
    /// Only requests whose path or prompt contains this text are affected.
    pub marker: String,
}

impl Defect {
    /// Creates a defect that affects a fraction of all requests.
    pub fn new(fraction: f64, effect: Effect) -> Defect {
        Defect {
            fraction,
            effect,
            since: Instant::now(),
            above_running: 0,
            marker: String::new(),
        }
    }
}

/// A defect with the requests that it has affected.
#[derive(Debug)]
pub(crate) struct DefectState {
    defect: Defect,
    /// Affected requests that are due; one is affected when it reaches 1.
    due: f64,
    affected_at: Vec<Instant>,
}

impl DefectState {
    pub(crate) fn new(defect: Defect) -> DefectState {
        DefectState {
            defect,
            due: 0.0,
            affected_at: Vec::new(),
        }
    }

    /// Returns the effect on a request that is one of `running` running ones, if it is affected.
    pub(crate) fn next(&mut self, req: &ReceivedRequest, running: usize) -> Option<Effect> {
        let defect = &self.defect;
        let now = Instant::now();
        let may_affect =
            now >= defect.since && running > defect.above_running && req.holds(&defect.marker);
        if !may_affect {
            return None;
        }
        self.due += defect.fraction;
        if self.due < 1.0 {
            return None;
        }
        self.due -= 1.0;
        self.affected_at.push(now);
        Some(defect.effect.clone())
    }

    /// Returns when each affected request was received, the oldest first.
    pub(crate) fn affected_at(&self) -> &[Instant] {
        &self.affected_at
    }
}
