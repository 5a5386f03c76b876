//! Which upstream has read which part of a prompt.

use indexmap::IndexMap;

use super::pool::UpstreamKey;
use crate::time::Time;

/// Most parts remembered.
const MAX_PARTS: usize = 8_192;
/// Most upstreams remembered for one part.
const MAX_HOLDERS: usize = 4;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of its name.
    pub id: u32,
    /// Its length in tokens.
    pub tokens: u32,
}

/// PromptCacheIndex by the upstreams that read them, the least recently used first.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    held: IndexMap<u32, Vec<(UpstreamKey, Time)>>,
}

impl PromptCacheIndex {
    /// Records that `upstream` reads the part.
    pub fn record(&mut self, part: u32, upstream: UpstreamKey, now: Time) {
        let mut holders = self.held.shift_remove(&part).unwrap_or_default();
        holders.retain(|(n, _)| *n != upstream);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push((upstream, now));
        if self.held.len() >= MAX_PARTS {
            self.held.shift_remove_index(0);
        }
        self.held.insert(part, holders);
    }

    /// Tokens of a prompt that `upstream` has still to read.
    pub fn uncached_tokens(&self, prompt: &[PromptPart], upstream: UpstreamKey) -> u32 {
        let known = prompt
            .iter()
            .take_while(|p| self.holds(p.id, upstream))
            .map(|p| p.tokens)
            .sum::<u32>();
        let all = prompt.iter().map(|p| p.tokens).sum::<u32>();
        all - known
    }

    /// Forgets what `upstream` had read.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.held.retain(|_, holders| {
            holders.retain(|(n, _)| *n != upstream);
            !holders.is_empty()
        });
    }

    fn holds(&self, part: u32, upstream: UpstreamKey) -> bool {
        let holders = self.held.get(&part);
        holders.is_some_and(|h| h.iter().any(|(n, _)| *n == upstream))
    }
}
