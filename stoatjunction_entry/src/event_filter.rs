//! Streams of server-sent events: whole events only, with ids that go up without a gap.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event that is waited for.
const MAX_EVENT: usize = 1 << 20;

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is longer than the bound.
    #[error("event too long")]
    TooLong,
    /// EventFilter are missing.
    #[error("events are missing")]
    Gap,
    /// The stream ended in the middle of an event.
    #[error("ended within an event")]
    Truncated,
}

/// Cuts a stream into whole events and drops those that were passed on before.
#[derive(Debug, Default)]
pub struct EventFilter {
    buf: BytesMut,
    last: Option<u64>,
    counts: bool,
}

impl EventFilter {
    /// A stream of which the reader has all up to `last`.
    pub fn resume_after(last: Option<u64>) -> EventFilter {
        EventFilter {
            last,
            ..EventFilter::default()
        }
    }

    /// Id of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Begins again with another upstream's stream, which goes on after the last event.
    pub fn restart(&mut self) {
        self.buf.clear();
        self.counts = true;
    }

    /// Takes bytes in and returns the whole events that are new.
    ///
    /// # Errors
    ///
    /// Why the stream must be broken off.
    pub fn push_bytes(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.buf.extend_from_slice(bytes);
        let mut out = BytesMut::new();
        while let Some(end) = end_of_event(&self.buf) {
            let event = self.buf.split_to(end);
            if self.is_new(&event)? {
                out.extend_from_slice(&event);
            }
        }
        if self.buf.len() > MAX_EVENT {
            return Err(EventError::TooLong);
        }
        Ok(out.freeze())
    }

    /// Checks that the stream may end here.
    ///
    /// # Errors
    ///
    /// When the last event is not whole.
    pub fn check_end(&self) -> Result<(), EventError> {
        if self.buf.is_empty() {
            return Ok(());
        }
        Err(EventError::Truncated)
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = id_of(event) else {
            return Ok(true);
        };
        if let Some(last) = self.last.filter(|_| self.counts) {
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                return Err(EventError::Gap);
            }
        }
        self.last = Some(id);
        Ok(true)
    }
}

/// Length of the first whole event with its closing blank line.
fn end_of_event(buf: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(at) = buf[from..].iter().position(|b| *b == b'\n') {
        let next = from + at + 1;
        match buf.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if buf.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
