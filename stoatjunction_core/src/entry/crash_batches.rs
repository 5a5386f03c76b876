//! Objects of the platform's store that hold several crashes each.
//!
//! An object is written once and never changed. When one of its crashes no longer counts, the others are
//! written to other objects first, and then it is removed.

use indexmap::{IndexMap, IndexSet};

use super::crash::Crash;

/// Known objects, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashBatches {
    crashes: IndexMap<u64, Vec<Crash>>,
    obsolete: IndexSet<u64>,
}

impl CrashBatches {
    /// Records an object that is in the store.
    pub(super) fn insert(&mut self, batch: u64, crashes: Vec<Crash>) {
        self.crashes.insert(batch, crashes);
    }

    /// Forgets which objects are in the store.
    pub(super) fn clear(&mut self) {
        self.crashes.clear();
        self.obsolete.clear();
    }

    /// Returns whether an object that stays holds the crash.
    pub(super) fn holds(&self, crash: Crash) -> bool {
        let kept = self.crashes.iter();
        let mut kept = kept.filter(|(batch, _)| !self.obsolete.contains(*batch));
        kept.any(|(_, crashes)| crashes.contains(&crash))
    }

    /// Records that a crash no longer counts: the objects that hold it have to be removed. Returns their crashes.
    pub(super) fn record_obsolete(&mut self, crash: Crash) -> Vec<Crash> {
        let holding = self.crashes.iter().filter(|(_, c)| c.contains(&crash));
        let mut released = Vec::new();
        for (batch, crashes) in holding {
            if self.obsolete.insert(*batch) {
                released.extend_from_slice(crashes);
            }
        }
        released
    }

    /// Returns an object to remove, none of whose crashes `is_needed` there any more.
    pub(super) fn next_obsolete<F>(&self, is_needed: F) -> Option<u64>
    where
        F: Fn(&Crash) -> bool,
    {
        let crashes = |batch: &u64| self.crashes.get(batch).into_iter().flatten();
        let mut obsolete = self.obsolete.iter();
        obsolete
            .find(|batch| !crashes(batch).any(&is_needed))
            .copied()
    }

    /// Records that an object is no longer in the store, and returns its crashes.
    pub(super) fn remove(&mut self, batch: u64) -> Vec<Crash> {
        self.obsolete.shift_remove(&batch);
        self.crashes.shift_remove(&batch).unwrap_or_default()
    }
}
