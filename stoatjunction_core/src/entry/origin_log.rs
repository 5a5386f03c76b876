//! The streams that began at this host, as it keeps them in the platform's store while versions serve side by side.
//!
//! All hosts may lose power together, and a caller brings only the id of its first attempt back. The store takes some
//! hundred writes a second from all hosts, so that many streams share an object, and an object of many streams is not
//! written anew for each further one.

use std::collections::VecDeque;

use super::software_version::MAX_STREAM_AGE;
use super::stream_origins::BegunStream;
use crate::time::Time;

/// Streams of one object, some two kilobytes.
const MAX_SEGMENT: usize = 128;

/// Streams that are kept as one object.
#[derive(Clone, Debug)]
struct Segment {
    number: u64,
    streams: Vec<BegunStream>,
    last_at: Time,
    /// Streams that the stored object holds; `None` while there is none.
    stored: Option<usize>,
}

/// An object to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentWrite {
    /// Number of the segment, which is part of its name.
    pub number: u64,
    /// All streams of the segment.
    pub streams: Vec<BegunStream>,
    /// True if no object holds it yet.
    pub is_new: bool,
}

/// The streams that began at this host lately.
#[derive(Clone, Debug, Default)]
pub struct OriginLog {
    segments: VecDeque<Segment>,
    next_number: u64,
}

impl OriginLog {
    /// Records a stream, and forgets those that nobody takes up any more and that no object holds.
    pub fn record(&mut self, begun: BegunStream, now: Time) {
        let is_old = |s: &Segment| s.stored.is_none() && now.since(s.last_at) >= MAX_STREAM_AGE;
        self.segments.retain(|s| !is_old(s));
        if self
            .segments
            .back()
            .is_none_or(|s| s.streams.len() >= MAX_SEGMENT)
        {
            self.segments.push_back(Segment {
                number: self.next_number,
                streams: Vec::new(),
                last_at: now,
                stored: None,
            });
            self.next_number += 1;
        }
        if let Some(last) = self.segments.back_mut() {
            last.streams.push(begun);
            last.last_at = now;
        }
    }

    /// Returns the next object to write: the newest one that lacks streams, since these are taken up most.
    pub fn next_write(&self, now: Time) -> Option<SegmentWrite> {
        let lacks = |s: &&Segment| {
            s.stored.unwrap_or(0) < s.streams.len() && now.since(s.last_at) < MAX_STREAM_AGE
        };
        let segment = self.segments.iter().rev().find(lacks)?;
        Some(SegmentWrite {
            number: segment.number,
            streams: segment.streams.clone(),
            is_new: segment.stored.is_none(),
        })
    }

    /// Records that an object was written.
    pub fn set_written(&mut self, write: &SegmentWrite) {
        let mut segments = self.segments.iter_mut();
        if let Some(segment) = segments.find(|s| s.number == write.number) {
            segment.stored = Some(write.streams.len());
        }
    }

    /// Returns the number of an object whose streams nobody takes up any more.
    pub fn next_expired(&self, now: Time) -> Option<u64> {
        let oldest = self.segments.front()?;
        let is_expired = oldest.stored.is_some() && now.since(oldest.last_at) >= MAX_STREAM_AGE;
        is_expired.then_some(oldest.number)
    }

    /// Forgets a segment whose object was removed.
    pub fn remove(&mut self, number: u64) {
        self.segments.retain(|s| s.number != number);
    }
}
