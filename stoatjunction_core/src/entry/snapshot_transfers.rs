//! How many large snapshots a host sends at once.
//!
//! After a restart of all hosts, each of them asks the first one that has a list, and too many transfers on
//! one link would all time out. A host therefore sends few large snapshots at a time and declines other
//! requests; the declined hosts ask another one.

/// Size in bytes from which a snapshot counts as large.
const LARGE_BYTES: usize = 64 << 10;
/// Large snapshots that a host sends at once.
const MAX_LARGE_TRANSFERS: usize = 2;

/// The snapshots that a host is sending.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotTransfers {
    large: usize,
}

impl SnapshotTransfers {
    /// Returns whether a snapshot of this size may be sent now.
    pub fn may_begin(&self, bytes: usize) -> bool {
        bytes < LARGE_BYTES || self.large < MAX_LARGE_TRANSFERS
    }

    /// Returns whether a snapshot of this size may be sent now, and records that it is.
    pub fn try_begin(&mut self, bytes: usize) -> bool {
        let may_begin = self.may_begin(bytes);
        self.large += usize::from(may_begin && bytes >= LARGE_BYTES);
        may_begin
    }

    /// Records the end of a transfer of this size.
    pub fn end(&mut self, bytes: usize) {
        self.large -= usize::from(bytes >= LARGE_BYTES);
    }
}
