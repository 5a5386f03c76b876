//! Prefix hashes of prompts, and the memory of which upstream holds which prefix.

use indexmap::IndexMap;

use crate::hash;
use crate::time::Time;

/// Bytes of a prompt that stand for one token, on average.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens between two of the first marks.
pub const FINE_STEP: u32 = 256;
/// Number of marks at the fine step.
pub const FINE_MARKS: u32 = 16;
/// Tokens between two of the later marks.
pub const COARSE_STEP: u32 = 1_024;
/// Number of marks at the coarse step.
pub const COARSE_MARKS: u32 = 16;

/// Length in tokens of the prefix that the mark at `index` closes.
pub fn mark_tokens(index: usize) -> u32 {
    let n = index as u32 + 1;
    if n <= FINE_MARKS {
        return n * FINE_STEP;
    }
    FINE_MARKS * FINE_STEP + (n - FINE_MARKS) * COARSE_STEP
}

/// Hashes of the prefixes of `prompt` at all marks within its length, shortest first.
pub fn marks_of(prompt: &[u8]) -> Vec<u32> {
    let mut marks = Vec::new();
    let mut state = hash::initial_state();
    let mut done = 0;
    for index in 0..(FINE_MARKS + COARSE_MARKS) as usize {
        let end = mark_tokens(index) as usize * BYTES_PER_TOKEN;
        let Some(piece) = prompt.get(done..end) else {
            break;
        };
        state = hash::extend(state, piece);
        marks.push(hash::mix(state) as u32);
        done = end;
    }
    marks
}

/// Tokens in a prompt of `len` bytes, at least one.
pub fn tokens_of(len: usize) -> u32 {
    len.div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Prefixes held in a cache, least recently used first out. A prompt's longer prefixes go before
/// its shorter ones, as in a tree that loses its leaves first.
#[derive(Clone, Debug)]
pub struct PrefixMemory {
    held: IndexMap<u32, Held>,
    tokens: u32,
    capacity: u32,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    placed: Time,
    tokens: u32,
}

impl PrefixMemory {
    /// A memory of a cache that holds `cache_tokens` tokens.
    pub fn new(cache_tokens: u32) -> PrefixMemory {
        PrefixMemory {
            held: IndexMap::new(),
            tokens: 0,
            capacity: cache_tokens,
        }
    }

    /// Tokens of the longest prefix of a prompt with `marks` that is held without a gap.
    pub fn matched_tokens(&self, marks: &[u32]) -> u32 {
        let matched = marks
            .iter()
            .take_while(|m| self.held.contains_key(*m))
            .count();
        matched.checked_sub(1).map_or(0, mark_tokens)
    }

    /// Records that a prompt with `marks` was placed at `now`, and returns the marks evicted.
    pub fn place(&mut self, marks: &[u32], now: Time) -> Vec<u32> {
        for (index, mark) in marks.iter().enumerate().rev() {
            let before = index.checked_sub(1).map_or(0, mark_tokens);
            let tokens = mark_tokens(index) - before;
            self.drop_mark(*mark);
            self.held.insert(
                *mark,
                Held {
                    placed: now,
                    tokens,
                },
            );
            self.tokens += tokens;
        }
        let mut evicted = Vec::new();
        while self.tokens > self.capacity {
            let Some(oldest) = self.held.get_index(evicted.len()) else {
                break;
            };
            self.tokens -= oldest.1.tokens;
            evicted.push(*oldest.0);
        }
        self.held.drain(..evicted.len());
        evicted
    }

    /// Forgets prefixes that the upstream says it evicted.
    pub fn evicted(&mut self, marks: &[u32]) {
        for mark in marks {
            self.drop_mark(*mark);
        }
    }

    /// Forgets what was placed before `since`: a gap in the cache events may have covered it.
    pub fn forget_before(&mut self, since: Time) {
        self.held.retain(|_, h| h.placed >= since);
        self.tokens = self.held.values().map(|h| h.tokens).sum();
    }

    /// Forgets everything, after a restart of the upstream.
    pub fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }

    /// Number of prefixes held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// True when nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn drop_mark(&mut self, mark: u32) {
        if let Some(held) = self.held.shift_remove(&mark) {
            self.tokens -= held.tokens;
        }
    }
}
