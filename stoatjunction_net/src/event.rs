//! Event timeline: a bounded buffer of events in each process. A hybrid logical clock (Kulkarni et
//! al. 2014) orders events across processes.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::clock::wall_ms;

/// Largest number of events kept in a process.
const MAX_EVENTS: usize = 8_192;
/// Low bits of a timestamp that hold the logical counter of the hybrid logical clock.
const LOGICAL_BITS: u32 = 16;

/// A recorded event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Timestamp of the hybrid logical clock: milliseconds since 1970 in the high bits, a counter in
    /// the low bits.
    pub stamp: u64,
    /// Host of the process.
    pub host: String,
    /// Role of the process.
    pub process: String,
    /// Name of the event.
    pub name: String,
    /// Further attributes, such as `request`, `upstream` or `code`.
    pub facts: IndexMap<String, String>,
}

impl Event {
    /// Returns the wall-clock part of the timestamp, in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        self.stamp >> LOGICAL_BITS
    }

    /// Formats the event as one line of `key=value` pairs.
    pub fn line(&self) -> String {
        let facts: Vec<String> = self
            .facts
            .iter()
            .map(|(k, v)| format!("{k}={}", quoted(v)))
            .collect();
        format!("event={} {}", self.name, facts.join(" "))
            .trim_end()
            .to_owned()
    }
}

/// Formats `value` for a `key=value` line, quoted if necessary.
pub fn quoted(value: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

#[derive(Debug, Default)]
struct EventBuffer {
    stamp: u64,
    events: VecDeque<Event>,
}

/// Event timeline of a process. Clones share the buffer.
#[derive(Clone, Debug)]
pub struct Timeline {
    host: String,
    process: &'static str,
    buffer: Arc<Mutex<EventBuffer>>,
}

impl Timeline {
    /// Creates an empty timeline of `process` on `host`.
    pub fn new(host: &str, process: &'static str) -> Timeline {
        Timeline {
            host: host.to_owned(),
            process,
            buffer: Arc::default(),
        }
    }

    /// Records an event, and logs it as one line.
    pub fn record(&self, name: &str, facts: &[(&str, &str)]) {
        let facts = facts
            .iter()
            .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
            .collect();
        let mut buffer = self.lock();
        buffer.stamp = (buffer.stamp + 1).max(wall_ms() << LOGICAL_BITS);
        let event = Event {
            stamp: buffer.stamp,
            host: self.host.clone(),
            process: self.process.to_owned(),
            name: name.to_owned(),
            facts,
        };
        log::info!("{}", event.line());
        buffer.events.push_back(event);
        if buffer.events.len() > MAX_EVENTS {
            buffer.events.pop_front();
        }
    }

    /// Advances the clock and returns its timestamp, to be sent with a message.
    pub fn stamp(&self) -> u64 {
        let mut buffer = self.lock();
        buffer.stamp = (buffer.stamp + 1).max(wall_ms() << LOGICAL_BITS);
        buffer.stamp
    }

    /// Merges the timestamp of a received message, so that later events sort after its cause.
    pub fn observe(&self, stamp: u64) {
        let mut buffer = self.lock();
        buffer.stamp = buffer.stamp.max(stamp);
    }

    /// Returns the events in the buffer, oldest first.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.iter().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EventBuffer> {
        self.buffer
            .lock()
            .expect("event buffer lock is not poisoned")
    }
}
