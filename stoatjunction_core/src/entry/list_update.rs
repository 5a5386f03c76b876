//! Changes of the list of upstreams since a revision, as one host sends them to another.
//!
//! A whole list of 3,000 upstreams takes about 500 KB. Sending it to all hosts on each change delays new
//! configurations on slow links.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::upstream_list::{UpstreamEntry, UpstreamList, split_revision};
use crate::time::Time;

/// Content of a list, or what has changed in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// True if `entries` are the whole list.
    pub is_whole: bool,
    /// Entries by name, without those whose removal is delayed.
    pub entries: IndexMap<String, UpstreamEntry>,
    /// Names of removed entries with the revisions of their removal, those whose removal is delayed included.
    pub removed: Vec<(String, u64)>,
    /// Revision of the list.
    pub revision: u64,
    /// Digest of the list; absent while removals are delayed, which the update leaves out.
    pub digest: Option<u64>,
}

impl UpstreamList {
    /// Returns what has changed since the revision that another host knows, or the whole list if it
    /// knows none or if removals since then are no longer known here.
    pub fn update_since(&self, known: Option<u64>) -> ListUpdate {
        let known = self.complete_since(known);
        ListUpdate {
            is_whole: known.is_none(),
            entries: self.stable_entries_since(known),
            removed: known.map_or_else(Vec::new, |k| self.removed_or_delayed_since(k)),
            revision: self.revision(),
            digest: (!self.has_delayed_removals()).then(|| self.digest()),
        }
    }

    /// Returns the number of entries in such an update, without those that only name a removal.
    pub fn changed_since(&self, known: Option<u64>) -> usize {
        self.entries_since(self.complete_since(known)).count()
    }

    /// Returns the revision that another host knows if this list has all changes since then.
    fn complete_since(&self, known: Option<u64>) -> Option<u64> {
        let era = |revision| split_revision(revision).0;
        known.filter(|k| *k >= self.horizon && era(*k) == era(self.revision()))
    }

    /// Applies what another host sent, and returns whether the list changed.
    pub fn apply_update(&mut self, update: ListUpdate, now: Time) -> bool {
        if update.is_whole {
            return self.replace(update.entries, update.revision, None, now);
        }
        let mut changed = false;
        for (id, entry) in update.entries {
            changed |= self.upsert(&id, entry);
        }
        for (id, revision) in update.removed {
            changed |= self.remove(&id, revision, None, now);
        }
        changed
    }

    /// Returns whether this list, after an update was applied, still lacks something that the other
    /// host has, so that its whole list is needed.
    pub fn differs_from(&self, digest: Option<u64>, revision: u64) -> bool {
        let is_comparable = self.revision() <= revision && !self.has_delayed_removals();
        is_comparable && digest.is_some_and(|digest| digest != self.digest())
    }
}
