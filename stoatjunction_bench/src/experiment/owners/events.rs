//! Events of the experiment and the messages between its hosts.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use stoatjunction_core::time::Time;

use stoatjunction_core::entry::pool_owner::{Answer, Ask};

/// A message between a host and an owner.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// A request asks for a slot of a part.
    Ask { part: usize, ask: Ask },
    /// The owner replies; it has so many of its slots free, as a share.
    Answer {
        part: usize,
        owner: usize,
        id: u64,
        answer: Answer,
        free: f64,
    },
    /// The owner knows a part with free slots.
    Redirect { owner: usize, id: u64, part: usize },
    /// A run has ended, or the request needs no slot any more.
    End { part: usize, id: u64 },
    /// An upstream refused a run.
    Full { part: usize, upstream: u32 },
    /// All runs of a host on the upstreams of a part.
    Runs {
        part: usize,
        host: usize,
        runs: Vec<(u64, u64)>,
    },
    /// Asks an owner whether it still works.
    Ping { host: usize },
    /// The owner works.
    Pong { owner: usize },
    /// Free slots of a part, to other owners.
    Status { part: usize, free: f64 },
}

impl Message {
    /// Returns the bytes of the body.
    pub(super) fn bytes(&self) -> u64 {
        match self {
            Message::Ask { .. } => 72,
            Message::Runs { runs, .. } => 16 + 12 * runs.len() as u64,
            Message::Answer { .. } | Message::Redirect { .. } | Message::Status { .. } => 24,
            Message::End { .. } | Message::Full { .. } => 20,
            Message::Ping { .. } | Message::Pong { .. } => 8,
        }
    }
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller sends a request, or sends it again.
    Arrive(usize),
    /// A request is decided on again, in this state of its asking.
    Decide(usize, u64),
    /// A step of an engine ends.
    Step(usize),
    /// A plain call ends at its upstream.
    PlainEnd(usize, usize),
    /// The first event of a run reaches its host.
    First(usize),
    /// The end of a run reaches its host.
    End(usize),
    /// A datagram arrives at a host.
    Deliver(usize, Message),
    /// A host handles a datagram.
    Handle(usize, Message),
    /// The replies to a request that asked are due, in this state of its asking.
    Check(usize, u64),
    /// A host looks after its requests that wait at owners.
    Watch(usize),
    /// A host reports its load.
    Report(usize),
    /// A host reports its runs to owners, and owners report to each other.
    OwnerReport(usize),
    /// Relays report.
    Summary,
    /// Hosts allocate slots.
    Allocate,
    /// Hosts decide on what waits.
    Tick,
    /// The failure of the scenario begins.
    Fault,
    /// A killed host starts again.
    Restart(usize),
}

struct Scheduled {
    at: Time,
    sequence: u64,
    event: Event,
}

impl Scheduled {
    fn key(&self) -> Reverse<(Time, u64)> {
        Reverse((self.at, self.sequence))
    }
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// Events by time, and by order of scheduling at the same time.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence: self.sequence,
            event,
        });
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|s| (s.at, s.event))
    }
}
