//! The engine's behaviour without input, output or a clock: it is stepped by its user, in real or
//! in virtual time.

use indexmap::IndexMap;
use stoatjunction_core::prefix::PrefixMemory;
use stoatjunction_core::time::{Span, Time};

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Prompt tokens processed a second.
    pub prefill_rate: f64,
    /// Tokens a second of one request that runs alone.
    pub decode_rate: f64,
    /// Share by which each further running request slows every token.
    pub batch_slope: f64,
    /// Prompt tokens processed in one step at the most.
    pub prefill_chunk: u32,
    /// Tokens the prefix cache holds.
    pub cache_tokens: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            prefill_rate: 8_000.0,
            decode_rate: 40.0,
            batch_slope: 0.03,
            prefill_chunk: 512,
            cache_tokens: 100_000,
        }
    }
}

/// A request as the engine sees it.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Request number.
    pub id: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's prefixes.
    pub marks: Vec<u32>,
    /// Answer length in tokens.
    pub output_tokens: u32,
}

/// A token that a step brought forth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Request number.
    pub id: String,
    /// Number of the token, from 0.
    pub index: u32,
    /// True for the request's last token.
    pub last: bool,
}

#[derive(Clone, Debug)]
struct Sequence {
    req: EngineRequest,
    prefill_remaining: u32,
    emitted: u32,
}

/// State of an engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    cfg: EngineSettings,
    running: IndexMap<String, Sequence>,
    cache: PrefixMemory,
    evicted: Vec<u32>,
    slowdown: f64,
    step: Option<Step>,
    decode_steps: u64,
    decode_time: Span,
}

#[derive(Clone, Debug)]
struct Step {
    prefill: Vec<(String, u32)>,
    decode: Vec<String>,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(cfg: EngineSettings) -> EngineModel {
        EngineModel {
            cache: PrefixMemory::new(cfg.cache_tokens),
            cfg,
            running: IndexMap::new(),
            evicted: Vec::new(),
            slowdown: 1.0,
            step: None,
            decode_steps: 0,
            decode_time: Span::ZERO,
        }
    }

    /// Makes every step `factor` times as long.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor.max(0.001);
    }

    /// Takes in a request at once, whatever the load, and returns the prompt tokens found in the
    /// cache.
    pub fn admit(&mut self, req: EngineRequest, now: Time) -> u32 {
        let cached = self.cache.matched_tokens(&req.marks).min(req.prompt_tokens);
        let evicted = self.cache.place(&req.marks, now);
        self.evicted.extend(evicted);
        let prefill_remaining = req.prompt_tokens - cached;
        self.running.insert(
            req.id.clone(),
            Sequence {
                req,
                prefill_remaining,
                emitted: 0,
            },
        );
        cached
    }

    /// Drops a request. Returns the prompt tokens that are still to be processed, if it ran.
    pub fn cancel(&mut self, id: &str) -> Option<u32> {
        self.running.shift_remove(id).map(|s| s.prefill_remaining)
    }

    /// Number of requests taken in and not ended.
    pub fn active(&self) -> u32 {
        self.running.len() as u32
    }

    /// Tokens brought forth since the start, and the time that the steps for them took.
    pub fn decode_totals(&self) -> (u64, Span) {
        (self.decode_steps, self.decode_time)
    }

    /// Marks evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.evicted)
    }

    /// Prompt tokens of a request with `marks` that are in the cache now.
    pub fn cached_tokens(&self, marks: &[u32]) -> u32 {
        self.cache.matched_tokens(marks)
    }

    /// Begins a step and returns how long it takes, or `None` when there is nothing to do.
    pub fn begin_step(&mut self) -> Option<Span> {
        if self.running.is_empty() {
            return None;
        }
        let mut budget = self.cfg.prefill_chunk;
        let mut step = Step {
            prefill: Vec::new(),
            decode: Vec::new(),
        };
        for (id, s) in &self.running {
            if s.prefill_remaining == 0 {
                step.decode.push(id.clone());
                continue;
            }
            let chunk = s.prefill_remaining.min(budget);
            budget -= chunk;
            if chunk > 0 {
                step.prefill.push((id.clone(), chunk));
            }
        }
        let prefilled = self.cfg.prefill_chunk - budget;
        let mut secs = f64::from(prefilled) / self.cfg.prefill_rate;
        if !step.decode.is_empty() {
            let others = (step.decode.len() - 1) as f64;
            secs += (1.0 + self.cfg.batch_slope * others) / self.cfg.decode_rate;
        }
        self.step = Some(step);
        Some(Span::from_secs_f64(secs * self.slowdown))
    }

    /// Ends the step begun last, which took `span`, and returns the tokens it brought forth.
    pub fn end_step(&mut self, span: Span) -> Vec<Token> {
        let Some(step) = self.step.take() else {
            return Vec::new();
        };
        for (id, chunk) in step.prefill {
            if let Some(s) = self.running.get_mut(&id) {
                s.prefill_remaining = s.prefill_remaining.saturating_sub(chunk);
            }
        }
        if !step.decode.is_empty() {
            self.decode_time = self.decode_time + span;
            self.decode_steps += 1;
        }
        let mut tokens = Vec::new();
        for id in step.decode {
            let Some(s) = self.running.get_mut(&id) else {
                continue;
            };
            let index = s.emitted;
            s.emitted += 1;
            let last = s.emitted >= s.req.output_tokens;
            tokens.push(Token {
                id: id.clone(),
                index,
                last,
            });
            if last {
                self.running.shift_remove(&id);
            }
        }
        tokens
    }
}
