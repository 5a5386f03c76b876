//! Index of the prompt parts in the prefix caches of upstreams, for cache affinity.

use indexmap::IndexMap;

use super::pool::UpstreamKey;
use crate::time::Time;

/// Most parts in the index.
const MAX_PARTS: usize = 8_192;
/// Most upstreams remembered for one part.
const MAX_HOLDERS: usize = 4;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the name of the part.
    pub id: u32,
    /// Length in tokens.
    pub tokens: u32,
}

/// Upstreams by the prompt parts they have prefilled, least recently used parts first.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheIndex {
    holders_by_part: IndexMap<u32, Vec<(UpstreamKey, Time)>>,
}

impl PromptCacheIndex {
    /// Records that `upstream` prefills the part.
    pub fn record(&mut self, part: u32, upstream: UpstreamKey, now: Time) {
        let mut holders = self.holders_by_part.shift_remove(&part).unwrap_or_default();
        holders.retain(|(holder, _)| *holder != upstream);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push((upstream, now));
        if self.holders_by_part.len() >= MAX_PARTS {
            self.holders_by_part.shift_remove_index(0);
        }
        self.holders_by_part.insert(part, holders);
    }

    /// Returns the tokens of a prompt that `upstream` still has to prefill: those from the first
    /// part on that it does not hold.
    pub fn uncached_tokens(&self, prompt: &[PromptPart], upstream: UpstreamKey) -> u32 {
        let cached = prompt
            .iter()
            .take_while(|p| self.holds(p.id, upstream))
            .map(|p| p.tokens)
            .fold(0, u32::saturating_add);
        let all = prompt.iter().map(|p| p.tokens);
        all.fold(0, u32::saturating_add) - cached
    }

    /// Drops all parts of `upstream`.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.holders_by_part.retain(|_, holders| {
            holders.retain(|(holder, _)| *holder != upstream);
            !holders.is_empty()
        });
    }

    fn holds(&self, part: u32, upstream: UpstreamKey) -> bool {
        let holders = self.holders_by_part.get(&part);
        holders.is_some_and(|h| h.iter().any(|(holder, _)| *holder == upstream))
    }
}
