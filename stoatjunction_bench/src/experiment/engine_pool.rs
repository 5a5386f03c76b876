//! The emulated engines and the event queue of the simulation, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use stoatjunction_core::time::{Span, Time};
use stoatjunction_standin::engine::{EngineModel, EngineRequest, Token};

use super::workload::WorkloadEngine;

/// An event of the simulation; the number is that of a request or an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request arrives.
    Arrival(usize),
    /// An engine completes a step.
    StepEnd(usize),
    /// The periodic scheduling round is due.
    Tick,
    /// The load of an engine is polled.
    LoadPoll(usize),
    /// The cache events of an engine are polled.
    CachePoll(usize),
    /// The deadline of a request passes.
    Deadline(usize),
    /// The steps of an engine are slowed down by a factor, given in thousandths.
    Slowdown(usize, u32),
}

/// An emulated engine.
#[derive(Clone, Debug)]
pub(super) struct EmulatedEngine {
    pub(super) model: EngineModel,
    step: Option<Span>,
    /// Load samples, oldest first: time, active requests, and the number and total duration of
    /// decode steps so far.
    pub(super) samples: Vec<(Time, u32, u64, Span)>,
}

/// The emulated engines and the queue of pending events.
#[derive(Debug)]
pub(super) struct EnginePool {
    pub(super) engines: Vec<EmulatedEngine>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    seq: u64,
}

impl EnginePool {
    pub(super) fn new(engines: &[WorkloadEngine]) -> EnginePool {
        let emulated = engines.iter().map(|e| EmulatedEngine {
            model: EngineModel::new(e.settings.clone()),
            step: None,
            samples: Vec::new(),
        });
        EnginePool {
            engines: emulated.collect(),
            events: BinaryHeap::new(),
            seq: 0,
        }
    }

    pub(super) fn schedule(&mut self, time: Time, event: Event) {
        self.seq += 1;
        self.events.push(Reverse((time, self.seq, event)));
    }

    pub(super) fn next_event(&mut self) -> Option<(Time, Event)> {
        self.events
            .pop()
            .map(|Reverse((time, _, event))| (time, event))
    }

    /// Adds a request to the batch of an engine. Returns the number of prompt tokens found in its
    /// cache.
    pub(super) fn admit(&mut self, engine: usize, req: EngineRequest, now: Time) -> u32 {
        let cached = self.engines[engine].model.admit(req, now);
        self.start_step(engine, now);
        cached
    }

    /// Starts the engine's next step unless one is running or it has no work.
    fn start_step(&mut self, engine: usize, now: Time) {
        let e = &mut self.engines[engine];
        if e.step.is_some() {
            return;
        }
        e.step = e.model.begin_step();
        if let Some(span) = e.step {
            self.schedule(now + span, Event::StepEnd(engine));
        }
    }

    pub(super) fn end_step(&mut self, engine: usize, now: Time) -> Vec<Token> {
        let e = &mut self.engines[engine];
        let span = e.step.take().unwrap_or(Span::ZERO);
        let tokens = e.model.end_step(span);
        self.start_step(engine, now);
        tokens
    }
}
