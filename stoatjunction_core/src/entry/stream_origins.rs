//! At which software version streams began. A caller may take a stream up at any host, after the host that began it has
//! gone, so each host reports to the others what began.
//!
//! The load is some six streams a second at each of 295 hosts. All hosts of a data centre hold what began there: 300
//! records a second, 18,000 at a time.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::software_version::{MAX_STREAM_AGE, SoftwareVersion};
use crate::hash;
use crate::time::Time;

/// Identifies a stream by the caller's request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// Returns the id of the stream that the request with this id began.
    pub fn new(request_id: &[u8]) -> StreamId {
        StreamId(hash::hash_parts(&[request_id]))
    }

    /// Returns the id with this number.
    pub fn from_number(number: u64) -> StreamId {
        StreamId(number)
    }

    /// Returns the number of the id.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// A stream with the version that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStream {
    /// The stream.
    pub stream: StreamId,
    /// The version of the upstream that sent its first event.
    pub version: SoftwareVersion,
}

/// Where a stream began, from the view of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In the data centre of this host.
    Here,
    /// In another one.
    Elsewhere,
}

#[derive(Clone, Copy, Debug)]
struct Origin {
    version: SoftwareVersion,
    recorded_at: Time,
    place: Place,
}

/// The streams that began lately. Expiry is cheap: the older half is dropped as a whole.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    newer: IndexMap<StreamId, Origin>,
    older: IndexMap<StreamId, Origin>,
    newer_since: Time,
}

impl StreamOrigins {
    /// Records a stream, and returns whether it was unknown.
    pub fn record(&mut self, begun: BegunStream, place: Place, now: Time) -> bool {
        if now.since(self.newer_since) >= MAX_STREAM_AGE {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        if self.version_of(begun.stream).is_some() {
            return false;
        }
        let origin = Origin {
            version: begun.version,
            recorded_at: now,
            place,
        };
        self.newer.insert(begun.stream, origin);
        true
    }

    /// Returns the version that began a stream, if this host knows it.
    pub fn version_of(&self, stream: StreamId) -> Option<SoftwareVersion> {
        let known = self.newer.get(&stream).or_else(|| self.older.get(&stream));
        known.map(|o| o.version)
    }

    /// Returns what began in this data centre and was recorded since `since`, which lies at most
    /// [`MAX_STREAM_AGE`] back.
    pub fn begun_here_since(&self, since: Time) -> Vec<BegunStream> {
        let newest_first = self.newer.iter().rev().chain(self.older.iter().rev());
        let recent = newest_first.take_while(|(_, o)| o.recorded_at >= since);
        let here = recent.filter(|(_, o)| o.place == Place::Here);
        here.map(|(stream, o)| BegunStream {
            stream: *stream,
            version: o.version,
        })
        .collect()
    }
}

/// What a host knows of a stream that a caller takes up.
#[derive(Clone, Debug, Default)]
pub struct StreamKnowledge {
    /// The version that began it.
    pub version: Option<SoftwareVersion>,
    /// Versions that may have begun it: those that serve, and those that did lately.
    pub candidates: Vec<SoftwareVersion>,
    /// True if `candidates` surely holds each version that may have begun it: a host that did not start lately and is in
    /// touch with others says so, or the platform's store.
    pub is_sure: bool,
    /// True while other hosts may know more.
    pub may_ask: bool,
    /// True while the platform's store may know more.
    pub may_read: bool,
}

/// What to do with a stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// It goes on at upstreams of this version.
    GoOn(SoftwareVersion),
    /// Other hosts are asked.
    Ask,
    /// The platform's store is read.
    Read,
    /// It is refused: it could be mixed with what another version writes.
    Refuse,
}

impl StreamKnowledge {
    /// Decides what to do with the stream.
    pub fn decide(&self) -> Resumption {
        match (self.version, self.may_ask, self.candidates.as_slice()) {
            (Some(version), _, _) => Resumption::GoOn(version),
            (None, true, _) => Resumption::Ask,
            (None, false, [only]) if self.is_sure => Resumption::GoOn(*only),
            (None, false, _) if self.may_read => Resumption::Read,
            (None, false, _) => Resumption::Refuse,
        }
    }
}
