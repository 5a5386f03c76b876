//! What a host knows of the upstreams: entries of the platform's list, kept so that nothing older
//! ever replaces something newer.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::time::{Span, Time};

/// Time for which removals are remembered against older news of others.
const REMEMBER: Span = Span::from_millis(60_000);

/// An upstream as the platform lists it.
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
    /// Requests it runs at once.
    pub slots: u32,
    /// True when it takes no new work.
    pub draining: bool,
    /// When it started, in milliseconds since 1970; another value is another upstream.
    pub born: u64,
    /// Milliseconds for which it stays slow after its start, when it said so.
    pub cold_ms: u64,
}

/// An entry with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Revision of the change.
    pub revision: u64,
    /// The upstream; absent when removed, or when the entry cannot be read.
    pub listed: Option<ListedUpstream>,
}

/// All entries by name.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    entries: IndexMap<String, UpstreamEntry>,
    removed: IndexMap<String, (u64, Time)>,
    pending: IndexMap<String, (u64, Time)>,
    revision: u64,
}

impl UpstreamList {
    /// Highest revision of any change seen.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// A number that is the same on hosts which know the same entries.
    pub fn digest(&self) -> u64 {
        let mut sum = 0_u64;
        for (id, e) in &self.entries {
            let Some(l) = &e.listed else { continue };
            let own =
                hash::hash_parts(&[id.as_bytes()]) ^ l.born.rotate_left(7) ^ u64::from(l.draining);
            sum = sum.wrapping_add(hash::mix(own));
        }
        sum
    }

    /// Upstreams that can be used or drained.
    pub fn upstreams(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.entries.values().filter_map(|e| e.listed.as_ref())
    }

    /// Entries for another host, without those whose removal is only put off.
    pub fn stable_entries(&self) -> IndexMap<String, UpstreamEntry> {
        let mut entries = self.entries.clone();
        entries.retain(|id, _| !self.pending.contains_key(id));
        entries
    }

    /// Takes one change; true when it was news.
    pub fn upsert(&mut self, id: &str, entry: UpstreamEntry) -> bool {
        self.revision = self.revision.max(entry.revision);
        let known = self.entries.get(id).map(|e| e.revision);
        let gone = self.removed.get(id).map(|(r, _)| *r);
        if known.max(gone).is_some_and(|r| r >= entry.revision) {
            return false;
        }
        self.pending.shift_remove(id);
        self.removed.shift_remove(id);
        self.entries.insert(id.to_owned(), entry);
        true
    }

    /// Takes a removal at `revision`. Right after an outage of the platform an entry may come back:
    /// it then stays for the time of `put_off`.
    pub fn remove(&mut self, id: &str, revision: u64, put_off: Option<Span>, now: Time) -> bool {
        self.revision = self.revision.max(revision);
        if self.entries.get(id).is_none_or(|e| e.revision > revision) {
            return false;
        }
        if let Some(put_off) = put_off {
            let until = (revision, now + put_off);
            self.pending.entry(id.to_owned()).or_insert(until);
            return false;
        }
        self.pending.shift_remove(id);
        self.entries.shift_remove(id);
        self.removed.insert(id.to_owned(), (revision, now));
        true
    }

    /// Takes the whole list as it was at `revision`; true when it held news.
    pub fn replace(
        &mut self,
        items: IndexMap<String, UpstreamEntry>,
        revision: u64,
        put_off: Option<Span>,
        now: Time,
    ) -> bool {
        let missing: Vec<String> = self
            .entries
            .keys()
            .filter(|id| !items.contains_key(*id))
            .cloned()
            .collect();
        let mut news = false;
        for id in missing {
            news |= self.remove(&id, revision, put_off, now);
        }
        for (id, entry) in items {
            news |= self.upsert(&id, entry);
        }
        self.revision = self.revision.max(revision);
        news
    }

    /// Carries out removals whose time has come; true when there were any.
    pub fn apply_due_removals(&mut self, now: Time) -> bool {
        self.removed.retain(|_, (_, at)| now.since(*at) < REMEMBER);
        let due: Vec<(String, u64)> = self
            .pending
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(id, (revision, _))| (id.clone(), *revision))
            .collect();
        let mut news = false;
        for (id, revision) in due {
            news |= self.remove(&id, revision, None, now);
        }
        news
    }
}
