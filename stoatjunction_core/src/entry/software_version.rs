//! Software versions of upstreams. What two versions of a service write doesn't fit together, so a stream only goes
//! on at the version that began it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::time::{Span, Time};

/// Time after which no caller takes a stream up any more.
pub const MAX_STREAM_AGE: Span = Span::from_millis(60_000);

/// A version of the software of a service's upstreams, the same number on all hosts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SoftwareVersion(u32);

impl SoftwareVersion {
    /// Returns the version of `service` with this name.
    pub fn new(service: &str, name: &str) -> SoftwareVersion {
        SoftwareVersion(hash::hash_parts(&[service.as_bytes(), name.as_bytes()]) as u32)
    }

    /// Returns the version with this number.
    pub fn from_number(number: u32) -> SoftwareVersion {
        SoftwareVersion(number)
    }

    /// Returns the number of the version.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// Versions whose last upstream has left the list, while streams that they began may be taken up.
#[derive(Clone, Debug, Default)]
pub struct FormerVersions {
    left_at: IndexMap<SoftwareVersion, Time>,
}

impl FormerVersions {
    /// Records that an upstream of a version has left the list.
    pub fn record(&mut self, version: SoftwareVersion, now: Time) {
        self.left_at.insert(version, now);
        self.left_at
            .retain(|_, left_at| now.since(*left_at) < MAX_STREAM_AGE);
    }

    /// Iterates over the versions that may have begun streams that go on.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = SoftwareVersion> {
        let recent = self.left_at.iter();
        let recent = recent.filter(move |(_, left_at)| now.since(**left_at) < MAX_STREAM_AGE);
        recent.map(|(version, _)| *version)
    }
}
