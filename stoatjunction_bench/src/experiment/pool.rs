//! The emulated engines and their events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stoatjunction_core::time::{Span, Time};
use stoatjunction_standin::engine::{EngineModel, EngineRequest, Token};

use super::workload::WorkloadEngine;

/// Something that happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Happening {
    /// A request arrives.
    Arrival(usize),
    /// A step of an engine ends.
    StepEnd(usize),
    /// The scheduler has a look.
    Tick,
    /// An engine is asked for its load.
    Report(usize),
    /// An engine is asked for its cache events.
    Cache(usize),
    /// A request's deadline passes.
    Deadline(usize),
    /// An engine changes its speed; the factor is in thousandths.
    Slow(usize, u32),
}

/// An emulated engine.
#[derive(Clone, Debug)]
pub(super) struct Emulated {
    pub(super) model: EngineModel,
    step: Option<Span>,
    /// Load at former samples: time, requests, steps, time of steps.
    pub(super) samples: Vec<(Time, u32, u64, Span)>,
}

/// All engines, and what is going to happen.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) engines: Vec<Emulated>,
    coming: BinaryHeap<Reverse<(Time, u64, Happening)>>,
    seq: u64,
}

impl Pool {
    pub(super) fn new(engines: &[WorkloadEngine]) -> Pool {
        let emulated = engines.iter().map(|e| Emulated {
            model: EngineModel::new(e.settings.clone()),
            step: None,
            samples: Vec::new(),
        });
        Pool {
            engines: emulated.collect(),
            coming: BinaryHeap::new(),
            seq: 0,
        }
    }

    pub(super) fn at(&mut self, time: Time, what: Happening) {
        self.seq += 1;
        self.coming.push(Reverse((time, self.seq, what)));
    }

    pub(super) fn next(&mut self) -> Option<(Time, Happening)> {
        self.coming
            .pop()
            .map(|Reverse((time, _, what))| (time, what))
    }

    /// Gives a request to an engine; returns the prompt tokens found in its cache.
    pub(super) fn admit(&mut self, engine: usize, req: EngineRequest, now: Time) -> u32 {
        let cached = self.engines[engine].model.admit(req, now);
        self.step(engine, now);
        cached
    }

    /// Begins the engine's next step unless one is under way.
    fn step(&mut self, engine: usize, now: Time) {
        let e = &mut self.engines[engine];
        if e.step.is_some() {
            return;
        }
        e.step = e.model.begin_step();
        if let Some(span) = e.step {
            self.at(now + span, Happening::StepEnd(engine));
        }
    }

    pub(super) fn end_step(&mut self, engine: usize, now: Time) -> Vec<Token> {
        let e = &mut self.engines[engine];
        let span = e.step.take().unwrap_or(Span::ZERO);
        let tokens = e.model.end_step(span);
        self.step(engine, now);
        tokens
    }
}
