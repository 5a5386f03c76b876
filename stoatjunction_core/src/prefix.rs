//! Prefix hashes of prompts, and a model of the prefix cache of an upstream.

use indexmap::IndexMap;

use crate::hash;
use crate::time::Time;

/// Average number of prompt bytes per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens between two prefixes at the start of a prompt.
pub const FINE_STEP_TOKENS: u32 = 256;
/// Number of prefixes at the fine step.
pub const FINE_STEPS: u32 = 16;
/// Tokens between two prefixes after the fine steps.
pub const COARSE_STEP_TOKENS: u32 = 1_024;
/// Number of prefixes at the coarse step.
pub const COARSE_STEPS: u32 = 16;

/// Returns the length in tokens of the prefix at `index`.
pub fn prefix_tokens(index: usize) -> u32 {
    let steps = index as u32 + 1;
    if steps <= FINE_STEPS {
        return steps * FINE_STEP_TOKENS;
    }
    FINE_STEPS * FINE_STEP_TOKENS + (steps - FINE_STEPS) * COARSE_STEP_TOKENS
}

/// Returns the hashes of all prefixes that fit into `prompt`, shortest first.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u32> {
    let mut hashes = Vec::new();
    let mut state = hash::initial_state();
    let mut hashed_bytes = 0;
    for index in 0..(FINE_STEPS + COARSE_STEPS) as usize {
        let end = prefix_tokens(index) as usize * BYTES_PER_TOKEN;
        let Some(bytes) = prompt.get(hashed_bytes..end) else {
            break;
        };
        state = hash::extend(state, bytes);
        hashes.push(hash::mix(state) as u32);
        hashed_bytes = end;
    }
    hashes
}

/// Estimates the tokens in a prompt of `len` bytes, at least one.
pub fn estimate_tokens(len: usize) -> u32 {
    len.div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Model of a prefix cache with LRU eviction. Longer prefixes of a prompt are evicted before its
/// shorter ones, as a radix tree evicts its leaves first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    entries: IndexMap<u32, Entry>,
    tokens: u32,
    capacity: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    inserted: Time,
    tokens: u32,
}

impl PrefixCache {
    /// Creates an empty cache with room for `cache_tokens` tokens.
    pub fn new(cache_tokens: u32) -> PrefixCache {
        PrefixCache {
            entries: IndexMap::new(),
            tokens: 0,
            capacity: cache_tokens,
        }
    }

    /// Returns the length in tokens of the longest contiguous cached prefix of a prompt with these
    /// prefix hashes.
    pub fn matched_tokens(&self, hashes: &[u32]) -> u32 {
        let matched = hashes
            .iter()
            .take_while(|h| self.entries.contains_key(*h))
            .count();
        matched.checked_sub(1).map_or(0, prefix_tokens)
    }

    /// Inserts the prefixes of a prompt or marks them as used at `now`. Returns the hashes evicted.
    pub fn insert_prompt(&mut self, hashes: &[u32], now: Time) -> Vec<u32> {
        for (index, hash) in hashes.iter().enumerate().rev() {
            let shorter_tokens = index.checked_sub(1).map_or(0, prefix_tokens);
            let tokens = prefix_tokens(index) - shorter_tokens;
            self.remove_hash(*hash);
            self.entries.insert(
                *hash,
                Entry {
                    inserted: now,
                    tokens,
                },
            );
            self.tokens += tokens;
        }
        let mut evicted = Vec::new();
        while self.tokens > self.capacity {
            let Some(oldest) = self.entries.get_index(evicted.len()) else {
                break;
            };
            self.tokens -= oldest.1.tokens;
            evicted.push(*oldest.0);
        }
        self.entries.drain(..evicted.len());
        evicted
    }

    /// Removes prefixes that the upstream reports as evicted.
    pub fn invalidate(&mut self, hashes: &[u32]) {
        for hash in hashes {
            self.remove_hash(*hash);
        }
    }

    /// Removes prefixes last inserted before `since`: lost cache events may have evicted them.
    pub fn invalidate_before(&mut self, since: Time) {
        self.entries.retain(|_, e| e.inserted >= since);
        self.tokens = self.entries.values().map(|e| e.tokens).sum();
    }

    /// Removes everything, after a restart of the upstream.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.tokens = 0;
    }

    /// Returns the number of cached prefixes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true when no prefix is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_hash(&mut self, hash: u32) {
        if let Some(entry) = self.entries.shift_remove(&hash) {
            self.tokens -= entry.tokens;
        }
    }
}
