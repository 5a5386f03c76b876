//! An emulated upstream: an engine that interleaves prefill and decode steps, or a server of plain calls.
//! Requests beyond its slots wait in order of arrival; those beyond a small queue are refused.

use std::collections::VecDeque;

use stoatjunction_core::time::Span;

/// Prompt tokens that an engine reads in a millisecond.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 112.0;
/// Duration of a decode step with one running request.
const DECODE_STEP: Span = Span(3_230);
/// Time by which each further running request lengthens a step.
const DECODE_STEP_GROWTH: Span = Span(60);
/// Prompt tokens that are read within one step.
const PREFILL_CHUNK: f64 = 512.0;
/// Tokens in one event of a stream.
const TOKENS_PER_EVENT: u32 = 10;
/// Requests that wait inside an upstream at most.
const QUEUE_LIMIT: usize = 4;

/// Returns the duration of a step in which `decoding` requests get a token.
pub(super) fn decode_step(decoding: usize) -> Span {
    match decoding {
        0 => Span::ZERO,
        n => Span(DECODE_STEP.0 + DECODE_STEP_GROWTH.0 * (n as u64 - 1)),
    }
}

/// A request at an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Work {
    pub(super) run: usize,
    pub(super) prompt_left: f64,
    pub(super) output_left: u32,
    pub(super) output_total: u32,
    pub(super) plain_run: Span,
}

/// What a run produces at the end of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    FirstEvent(usize),
    End(usize),
}

/// An upstream.
#[derive(Clone, Debug)]
pub(super) struct EmulatedUpstream {
    slots: usize,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    chunk: Option<(usize, f64)>,
    is_stepping: bool,
}

impl EmulatedUpstream {
    pub(super) fn new(slots: u32) -> EmulatedUpstream {
        EmulatedUpstream {
            slots: slots as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            chunk: None,
            is_stepping: false,
        }
    }

    /// Returns the number of requests that run.
    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub(super) fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the milliseconds of prefill that its requests still need.
    pub(super) fn pending_prefill_ms(&self) -> f64 {
        let tokens: f64 = self.running.iter().map(|w| w.prompt_left).sum();
        tokens / PREFILL_TOKENS_PER_MS
    }

    /// Takes a request, or returns `false` if its queue is full.
    pub(super) fn admit(&mut self, work: Work) -> bool {
        if self.running.len() >= self.slots && self.waiting.len() >= QUEUE_LIMIT {
            return false;
        }
        self.waiting.push_back(work);
        true
    }

    /// Moves waiting requests to free slots and returns them.
    pub(super) fn fill_slots(&mut self) -> Vec<Work> {
        let mut started = Vec::new();
        while self.running.len() < self.slots
            && let Some(work) = self.waiting.pop_front()
        {
            self.running.push(work);
            started.push(work);
        }
        started
    }

    /// Removes a request that has ended or whose host is gone.
    pub(super) fn remove(&mut self, run: usize) {
        self.running.retain(|w| w.run != run);
        self.waiting.retain(|w| w.run != run);
    }

    /// Begins a step, unless one is in progress or there is nothing to do, and returns its duration.
    pub(super) fn begin_step(&mut self) -> Option<Span> {
        if self.is_stepping || self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let prefilling = self.running.iter().find(|w| w.prompt_left > 0.0);
        self.chunk = prefilling.map(|w| (w.run, w.prompt_left.min(PREFILL_CHUNK)));
        let decoding = self.running.iter().filter(|w| w.prompt_left <= 0.0).count();
        let tokens = self.chunk.map_or(0.0, |(_, tokens)| tokens);
        let prefill = Span::from_secs_f64(tokens / PREFILL_TOKENS_PER_MS / 1e3);
        Some(Span(decode_step(decoding).0 + prefill.0).max(Span(1)))
    }

    /// Ends the step and returns what the requests produced.
    pub(super) fn end_step(&mut self) -> Vec<Progress> {
        self.is_stepping = false;
        let chunk = self.chunk.take();
        let mut progress = Vec::new();
        for work in &mut self.running {
            if work.prompt_left > 0.0 {
                let read = chunk.filter(|(run, _)| *run == work.run);
                work.prompt_left -= read.map_or(0.0, |(_, tokens)| tokens);
                continue;
            }
            work.output_left = work.output_left.saturating_sub(1);
            if work.output_total - work.output_left == TOKENS_PER_EVENT {
                progress.push(Progress::FirstEvent(work.run));
            }
            if work.output_left == 0 {
                progress.push(Progress::End(work.run));
            }
        }
        self.running
            .retain(|w| w.output_left > 0 || w.prompt_left > 0.0);
        progress
    }
}
