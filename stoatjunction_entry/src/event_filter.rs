//! Filter of server-sent events: forwards complete events only, with ids that increase, without a gap after a
//! resumption.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Largest incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Byte order mark that a stream may begin with, in UTF-8.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Error that ends a stream.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum EventError {
    /// An event is larger than the limit.
    #[error("event is too large")]
    TooLarge,
    /// Events are missing.
    #[error("stream lacks events after the last one forwarded")]
    Gap,
    /// An upstream that takes the stream up sent an event without an id.
    #[error("event without an id after a resumption")]
    Unnumbered,
    /// The stream ended in the middle of an event.
    #[error("stream ended within an event")]
    Truncated,
}

/// Complete events that the caller does not have yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewEvents {
    /// The events, which count as forwarded. They have to be, also if the stream is to be aborted after them.
    pub bytes: Bytes,
    /// The reason why the stream must be aborted after these events.
    pub error: Option<EventError>,
}

/// Splits a stream into complete events and drops those that were forwarded before.
#[derive(Debug)]
pub struct EventFilter {
    buf: BytesMut,
    /// Start of the line in the buffer up to which no event is complete.
    searched: usize,
    /// True until an upstream's first event is complete.
    begins_segment: bool,
    last: Option<u64>,
    /// Largest distance between the ids of two events of the first upstream.
    step: Option<u64>,
    /// True once an event with an id was forwarded.
    has_forwarded: bool,
    /// Events received, without those that are comments only.
    received: u64,
    /// Last event when another upstream went on with the stream, if one did.
    resumed_after: Option<Option<u64>>,
}

impl Default for EventFilter {
    fn default() -> EventFilter {
        EventFilter {
            buf: BytesMut::new(),
            searched: 0,
            begins_segment: true,
            last: None,
            step: None,
            has_forwarded: false,
            received: 0,
            resumed_after: None,
        }
    }
}

impl EventFilter {
    /// Creates a filter for a stream of which the caller has all events up to `last`.
    pub fn resume_after(last: Option<u64>) -> EventFilter {
        EventFilter {
            last,
            ..EventFilter::default()
        }
    }

    /// Returns the id of the last event forwarded.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events received so far, repeated ones included. Comments and incomplete
    /// events, by which a stalled stream may show that its connection lives, don't count.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Prepares for another upstream's stream, which resumes after the last event. From then on gaps are refused.
    pub fn restart(&mut self) {
        self.clear();
        self.begins_segment = true;
        self.resumed_after = Some(self.last);
    }

    /// Returns whether the upstream that takes the stream up, if one does, has sent an event that the caller did not have.
    pub fn has_gone_on(&self) -> bool {
        self.resumed_after.is_none_or(|last| self.last > last)
    }

    /// Returns the memory of the last event, which is not complete yet, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.capacity()
    }

    fn clear(&mut self) {
        self.buf = BytesMut::new();
        self.searched = 0;
    }

    /// Adds received bytes and returns the complete events that are new.
    pub fn push_bytes(&mut self, bytes: &[u8]) -> NewEvents {
        self.buf.extend_from_slice(bytes);
        let mut new = BytesMut::new();
        let checked = self.take_events(&mut new);
        NewEvents {
            bytes: new.freeze(),
            error: checked.err(),
        }
    }

    fn take_events(&mut self, new: &mut BytesMut) -> Result<(), EventError> {
        while let Some(length) = self.first_event_length() {
            let mut event = self.buf.split_to(length);
            self.searched = 0;
            if std::mem::take(&mut self.begins_segment) && event.starts_with(BYTE_ORDER_MARK) {
                let mark = event.split_to(BYTE_ORDER_MARK.len());
                // At any other place than the first it would be a part of the event.
                if !self.is_resumed() {
                    new.extend_from_slice(&mark);
                }
            }
            self.received += u64::from(!is_comment(&event));
            if self.is_new(&event)? {
                new.extend_from_slice(&event);
            }
        }
        if self.buf.is_empty() {
            self.clear();
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(())
    }

    /// Returns the length of the first complete event, including the blank line that ends it. Lines end by a line feed, a
    /// carriage return, or both. A line feed that arrives after the carriage return of the blank line belongs to what
    /// follows.
    fn first_event_length(&mut self) -> Option<usize> {
        let mut search_start = self.searched;
        while let Some(length) = self.buf[search_start..]
            .iter()
            .position(|b| is_line_end(*b))
        {
            let line_end = search_start + length;
            let next = line_end + line_end_length(&self.buf[line_end..]);
            if self.buf.get(next).is_some_and(|b| is_line_end(*b)) {
                return Some(next + line_end_length(&self.buf[next..]));
            }
            // What follows the end of the last line decides whether the event is complete.
            self.searched = line_end;
            search_start = next;
        }
        if search_start < self.buf.len() {
            self.searched = self.buf.len();
        }
        None
    }

    /// Checks that the stream does not end within an event.
    ///
    /// # Errors
    ///
    /// Fails when the last event is incomplete.
    pub fn check_end(&self) -> Result<(), EventError> {
        if has_no_fields(&self.buf) {
            return Ok(());
        }
        Err(EventError::Truncated)
    }

    /// Returns whether another upstream goes on with the stream.
    fn is_resumed(&self) -> bool {
        self.resumed_after.is_some()
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let Some(id) = parse_event_id(event) else {
            // Its place in the stream is not known: it may be an error, or an event that the caller has.
            return match self.is_resumed() {
                true if has_no_fields(event) => Ok(true),
                // The caller has it from the first upstream.
                true if is_comment(event) => Ok(false),
                true => Err(EventError::Unnumbered),
                false => Ok(true),
            };
        };
        if let Some(last) = self.last {
            if id <= last {
                return Ok(false);
            }
            let distance = id - last;
            if self.is_resumed() && distance > self.step.unwrap_or(1) {
                return Err(EventError::Gap);
            }
            if self.has_forwarded && !self.is_resumed() {
                self.step = self.step.max(Some(distance));
            }
        }
        self.has_forwarded = true;
        self.last = Some(id);
        Ok(true)
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

/// Returns the length of the end of a line with which the text begins.
fn line_end_length(text: &[u8]) -> usize {
    if text.starts_with(b"\r\n") { 2 } else { 1 }
}

/// Returns whether an event holds nothing for its reader: comments, or the time after which a reader comes back.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|b| is_line_end(*b));
    lines.all(|l| has_no_fields(l) || l.starts_with(b"retry:"))
}

/// Returns whether text has blank lines and comments only.
fn has_no_fields(text: &[u8]) -> bool {
    let mut lines = text.split(|b| is_line_end(*b));
    lines.all(|l| l.starts_with(b":") || l.is_empty())
}

/// Reads the id of an event; of several, the last one counts.
fn parse_event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| is_line_end(*b));
    let value = lines.filter_map(|l| l.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
