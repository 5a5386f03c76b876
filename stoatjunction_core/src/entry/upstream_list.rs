//! Replica of the platform's list of upstreams. Changes arrive from the platform and from other
//! hosts in any order; a change never replaces one with a higher revision.
//!
//! The platform may come back from an older copy of its data. Its revisions go back then, but its era
//! rises, which is the upper part of a revision here. Until upstreams have written their entries again,
//! the copy may list those as ready that have announced to leave meanwhile.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::time::{Span, Time};

/// Time for which removals are remembered, so that an older copy of another host doesn't restore
/// the entry.
const TOMBSTONE_TTL: Span = Span::from_millis(60_000);

/// Bits of a revision below its era.
const ERA_SHIFT: u32 = 40;

/// Returns the revision with this number in an era of the platform's data, which is higher than all of
/// earlier eras.
pub fn revision_in_era(era: u64, number: u64) -> u64 {
    (era << ERA_SHIFT) | (number & ((1 << ERA_SHIFT) - 1))
}

/// Splits a revision into its era and its number there.
pub fn split_revision(revision: u64) -> (u64, u64) {
    (revision >> ERA_SHIFT, revision & ((1 << ERA_SHIFT) - 1))
}

/// Upstream as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Name.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address and port.
    pub addr: String,
    /// Data centre.
    pub dc: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True when it accepts no new requests.
    pub draining: bool,
    /// Start time in milliseconds since the Unix epoch; another value denotes another instance.
    pub born: u64,
    /// Milliseconds after its start for which it is slow, as far as it announced them; 0 otherwise.
    pub cold_ms: u64,
    /// Version of its software; empty if it names none.
    pub version: String,
}

/// Entry of the list with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Revision of the last change.
    pub revision: u64,
    /// The upstream; absent when the entry was removed or is not valid.
    pub listed: Option<ListedUpstream>,
}

/// A removed entry.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    revision: u64,
    removed_at: Time,
    /// Start time of the upstream that was listed.
    born: Option<u64>,
}

/// Entries of the list by name.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    entries: IndexMap<String, UpstreamEntry>,
    tombstones: IndexMap<String, Tombstone>,
    /// Delayed removals: their revision and the time at which they are applied.
    delayed: IndexMap<String, (u64, Time)>,
    revision: u64,
    /// Revision up to which removals may be unknown here: that of the first list, or of the latest
    /// tombstone that was dropped.
    pub(super) horizon: u64,
    /// Sum of the digests of the entries: every heartbeat of another host is compared with it.
    digest: u64,
}

impl UpstreamList {
    /// Returns the highest revision of all changes received.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a digest of the entries, which is the same for the same entries in any order.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Iterates over the valid upstreams, including those that are draining.
    pub fn upstreams(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.entries.values().filter_map(|e| e.listed.as_ref())
    }

    /// Returns the entries for another host, without those whose removal is delayed.
    pub fn stable_entries(&self) -> IndexMap<String, UpstreamEntry> {
        self.stable_entries_since(None)
    }

    /// Returns the entries that changed after a revision, or all, without those whose removal is delayed.
    pub(super) fn stable_entries_since(
        &self,
        revision: Option<u64>,
    ) -> IndexMap<String, UpstreamEntry> {
        let stable = self.entries_since(revision);
        let stable = stable.filter(|(id, _)| !self.delayed.contains_key(*id));
        stable.map(|(id, e)| (id.clone(), e.clone())).collect()
    }

    /// Iterates over the entries that changed after a revision, or all.
    pub(super) fn entries_since(
        &self,
        revision: Option<u64>,
    ) -> impl Iterator<Item = (&String, &UpstreamEntry)> {
        let entries = self.entries.iter();
        entries.filter(move |(_, e)| revision.is_none_or(|r| e.revision > r))
    }

    /// Returns whether any removal is delayed.
    pub(super) fn has_delayed_removals(&self) -> bool {
        !self.delayed.is_empty()
    }

    /// Returns the entries that were removed after a revision, with the revisions of their removal, and all whose removal is
    /// delayed. A delayed removal keeps its revision, so that other hosts would not ask for it when it is applied.
    pub(super) fn removed_or_delayed_since(&self, known: u64) -> Vec<(String, u64)> {
        let removed = self.tombstones.iter();
        let removed = removed.filter(|(_, t)| t.revision > known);
        let removed = removed.map(|(id, t)| (id, t.revision));
        let delayed = self
            .delayed
            .iter()
            .map(|(id, (revision, _))| (id, *revision));
        let all = removed.chain(delayed);
        all.map(|(id, revision)| (id.clone(), revision)).collect()
    }

    /// Applies a change of one entry, and returns whether the list changed.
    pub fn upsert(&mut self, id: &str, entry: UpstreamEntry) -> bool {
        self.revision = self.revision.max(entry.revision);
        let known = self.entries.get(id).map(|e| e.revision);
        let removed = self.tombstones.get(id).map(|t| t.revision);
        if known.max(removed).is_some_and(|r| r >= entry.revision) {
            return false;
        }
        self.delayed.shift_remove(id);
        self.tombstones.shift_remove(id);
        self.digest = self.digest.wrapping_add(entry_digest(id, &entry));
        if let Some(former) = self.entries.insert(id.to_owned(), entry) {
            self.digest = self.digest.wrapping_sub(entry_digest(id, &former));
        }
        true
    }

    /// Applies a removal at `revision`, and returns whether the list changed. Right after an outage
    /// of the platform an expired entry may return, so the removal is delayed by `delay` if given.
    pub fn remove(&mut self, id: &str, revision: u64, delay: Option<Span>, now: Time) -> bool {
        self.revision = self.revision.max(revision);
        let Some(known) = self.entries.get(id) else {
            self.record_unknown_removal(id, revision, now);
            return false;
        };
        if known.revision > revision {
            return false;
        }
        if let Some(delay) = delay {
            let removal = (revision, now + delay);
            self.delayed.entry(id.to_owned()).or_insert(removal);
            return false;
        }
        self.delayed.shift_remove(id);
        let entry = self.entries.shift_remove(id);
        if let Some(entry) = &entry {
            self.digest = self.digest.wrapping_sub(entry_digest(id, entry));
        }
        let tombstone = Tombstone {
            revision,
            removed_at: now,
            born: entry.and_then(|e| e.listed).map(|l| l.born),
        };
        self.tombstones.insert(id.to_owned(), tombstone);
        true
    }

    /// Remembers the removal of an entry that was never received, for hosts that have it and ask this
    /// one what has changed.
    fn record_unknown_removal(&mut self, id: &str, revision: u64, now: Time) {
        let known = self.tombstones.get(id).map(|t| t.revision);
        if known.is_none_or(|known| known < revision) {
            let tombstone = Tombstone {
                revision,
                removed_at: now,
                born: self.tombstones.get(id).and_then(|t| t.born),
            };
            self.tombstones.insert(id.to_owned(), tombstone);
        }
    }

    /// Replaces the list by `items`, all entries as of `revision`, and returns whether the list
    /// changed. Entries that are missing are removed, after `delay` if given.
    pub fn replace(
        &mut self,
        mut items: IndexMap<String, UpstreamEntry>,
        revision: u64,
        delay: Option<Span>,
        now: Time,
    ) -> bool {
        if self.revision == 0 {
            self.horizon = revision;
        }
        if split_revision(revision).0 > split_revision(self.revision).0 {
            self.keep_leaving(&mut items);
        }
        let missing: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !items.contains_key(*id))
            .cloned()
            .collect();
        let mut changed = false;
        for id in missing {
            changed |= self.remove(&id, revision, delay, now);
        }
        for (id, entry) in items {
            changed |= self.upsert(&id, entry);
        }
        self.revision = self.revision.max(revision);
        changed
    }

    /// Marks the items of an older copy of the platform's data as draining whose upstreams are known to
    /// leave or to have left.
    fn keep_leaving(&self, items: &mut IndexMap<String, UpstreamEntry>) {
        for (id, item) in items {
            let Some(listed) = &mut item.listed else {
                continue;
            };
            let known = self.entries.get(id).and_then(|e| e.listed.as_ref());
            let is_leaving = known.is_some_and(|k| k.draining && k.born == listed.born);
            let left = self.tombstones.get(id).and_then(|t| t.born);
            listed.draining |= is_leaving || left == Some(listed.born);
        }
    }

    /// Applies delayed removals that are due, forgets old tombstones and returns whether the list
    /// changed.
    pub fn apply_due_removals(&mut self, now: Time) -> bool {
        let horizon = &mut self.horizon;
        self.tombstones.retain(|_, t| {
            let keep = now.since(t.removed_at) < TOMBSTONE_TTL;
            if !keep {
                *horizon = (*horizon).max(t.revision);
            }
            keep
        });
        let due: Vec<(String, u64)> = self
            .delayed
            .iter()
            .filter(|(_, (_, due_at))| now >= *due_at)
            .map(|(id, (revision, _))| (id.clone(), *revision))
            .collect();
        let mut changed = false;
        for (id, revision) in due {
            changed |= self.remove(&id, revision, None, now);
        }
        changed
    }
}

/// Returns the digest of an entry; zero if it names no upstream.
fn entry_digest(id: &str, entry: &UpstreamEntry) -> u64 {
    let Some(l) = &entry.listed else {
        return 0;
    };
    let named = hash::hash_parts(&[id.as_bytes(), l.version.as_bytes()]);
    let hash = named ^ l.born.rotate_left(7) ^ u64::from(l.draining);
    hash::mix(hash)
}
