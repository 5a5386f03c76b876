//! The budget of a host for the bodies that it holds: requests, plain responses, and parts of streams that callers have not
//! taken yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Part of the process's memory limit that bodies may take; the rest is for connections, state and code.
const LIMIT_DIVISOR: usize = 4;
/// Budget in bytes if the settings name no limit: a quarter of the memory of a small host.
pub const DEFAULT_BUDGET_BYTES: usize = 40 << 20;
/// Tenths of the budget that requests may take.
const REQUEST_TENTHS: usize = 6;
/// The same for plain responses: some upstreams send without end.
const PLAIN_TENTHS: usize = 4;
/// The same for streams. Together with plain responses they leave a part to requests, however slowly callers read.
const STREAM_TENTHS: usize = 4;
/// The same for events that are not complete yet, beside all other bodies: callers that read slowly keep no event of others
/// from being completed.
const EVENT_TENTHS: usize = 2;
/// The same for what callers have begun to send and not ended, beside all bodies: a host whose memory is full still reads
/// requests, to refuse them.
const INPUT_TENTHS: usize = 2;
/// Bytes that a stream may hold, however many streams there are.
pub const MIN_STREAM_BYTES: usize = 64 << 10;

/// Returns the budget in bytes of a process whose memory is limited, if the settings name a limit.
pub fn budget_bytes(memory_limit_mb: Option<u64>) -> usize {
    let limit = memory_limit_mb.map(|mb| (mb as usize).saturating_mul(1 << 20) / LIMIT_DIVISOR);
    limit.unwrap_or(DEFAULT_BUDGET_BYTES)
}

/// What a body is part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Request,
    Plain,
    Stream,
    Event,
    Input,
}

#[derive(Debug)]
struct Counters {
    limit: usize,
    /// Bytes that are held, by kind.
    held: [AtomicUsize; 5],
    streams: AtomicUsize,
}

/// Budget for bodies. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Counters>);

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Counters {
            limit,
            held: Default::default(),
            streams: AtomicUsize::new(0),
        }))
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns the bytes that are held, without incomplete events and unfinished input.
    pub fn held(&self) -> usize {
        let others = [Kind::Request, Kind::Plain, Kind::Stream].into_iter();
        let held = others.map(|kind| self.held_by(kind).load(Ordering::Relaxed));
        held.sum()
    }

    fn held_by(&self, kind: Kind) -> &AtomicUsize {
        &self.0.held[kind as usize]
    }

    /// Returns the number of streams in progress.
    pub fn streams(&self) -> usize {
        self.0.streams.load(Ordering::Relaxed)
    }

    /// Creates an empty account of a request.
    pub fn request(&self) -> HeldBytes {
        HeldBytes::new(self, Kind::Request)
    }

    /// Creates an empty account of a plain response.
    pub fn plain_response(&self) -> HeldBytes {
        HeldBytes::new(self, Kind::Plain)
    }

    /// Creates an empty account of a part of a stream.
    pub fn stream_part(&self) -> HeldBytes {
        HeldBytes::new(self, Kind::Stream)
    }

    /// Creates an empty account of an event that is not complete yet.
    pub fn event(&self) -> HeldBytes {
        HeldBytes::new(self, Kind::Event)
    }

    /// Creates an empty account of what a caller has begun to send.
    pub fn input(&self) -> HeldBytes {
        HeldBytes::new(self, Kind::Input)
    }

    /// Counts a stream until the result is dropped.
    pub fn begin_stream(&self) -> StreamShare {
        self.0.streams.fetch_add(1, Ordering::Relaxed);
        StreamShare(self.clone())
    }

    /// Returns the bytes that bodies of a kind may take together.
    fn limit_of(&self, kind: Kind) -> usize {
        let tenths = match kind {
            Kind::Request => REQUEST_TENTHS,
            Kind::Plain => PLAIN_TENTHS,
            Kind::Stream => STREAM_TENTHS,
            Kind::Event => EVENT_TENTHS,
            Kind::Input => INPUT_TENTHS,
        };
        self.limit() / 10 * tenths
    }

    fn fits(&self, kind: Kind, bytes: usize) -> bool {
        let held = self.held_by(kind).load(Ordering::Relaxed);
        let is_apart = matches!(kind, Kind::Event | Kind::Input);
        let fits_beside_others = is_apart || self.held() + bytes <= self.limit();
        held + bytes <= self.limit_of(kind) && fits_beside_others
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: MemoryBudget,
    kind: Kind,
    bytes: usize,
}

impl HeldBytes {
    fn new(budget: &MemoryBudget, kind: Kind) -> HeldBytes {
        HeldBytes {
            budget: budget.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Adds bytes if they fit, and returns whether they do.
    pub fn try_add(&mut self, bytes: usize) -> bool {
        let fits = self.budget.fits(self.kind, bytes);
        if fits {
            self.add(bytes);
        }
        fits
    }

    /// Adds bytes, whether they fit or not.
    pub fn add(&mut self, bytes: usize) {
        let held = self.budget.held_by(self.kind);
        held.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Changes the number of bytes to `bytes`, if those that are added fit or `is_certain`, and returns whether it did.
    pub fn try_set(&mut self, bytes: usize, is_certain: bool) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        if is_certain {
            self.add(added);
        } else if added > 0 && !self.try_add(added) {
            return false;
        }
        let removed = self.bytes - bytes;
        let held = self.budget.held_by(self.kind);
        held.fetch_sub(removed, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = self.budget.held_by(self.kind);
        held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The share of a stream in progress.
#[derive(Debug)]
pub struct StreamShare(MemoryBudget);

impl StreamShare {
    /// Returns whether a stream that holds `held` bytes may hold `bytes` more. One that holds nothing may always send on,
    /// so that callers that read fast are served while slow ones hold the whole budget.
    pub fn has_room(&self, held: usize, bytes: usize) -> bool {
        let fair = self.0.limit_of(Kind::Stream) / self.0.streams().max(1);
        let is_within_share = held + bytes <= fair.max(MIN_STREAM_BYTES);
        held == 0 || (is_within_share && self.0.fits(Kind::Stream, bytes))
    }
}

impl Drop for StreamShare {
    fn drop(&mut self) {
        self.0.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
