//! Event streams of which each run is drawn: its framing, its writes, its pauses and its end. The data of an event names
//! its stream, the version of the software that wrote it and its id, so that a join of two runs shows.

use std::io;
use std::time::Duration;

use fastrand::Rng;
use socket2::SockRef;
use stoatjunction_core::hash;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::stream_shape::{After, Framing, StreamEnd};

/// Silence of a run that stalls.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Longest time that a run takes beside its stall.
const MAX_RUN_TIME: Duration = Duration::from_millis(600);
/// Most writes of a run, so that none takes long only because its writes are small.
const MAX_WRITES: usize = 150;
/// Time for which the peer can read what was written before its connection is reset.
const READING_TIME: Duration = Duration::from_millis(20);
/// Characters of one to four bytes.
const FILLING: [&str; 6] = ["a", "z", ":", "é", "€", "🦡"];

/// What the runs of an upstream are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunDraw {
    /// Seed; each run is drawn by itself.
    pub seed: u64,
    /// Whether a body may end with its connection.
    pub may_be_unframed: bool,
    /// Whether the process may end in a run.
    pub may_be_killed: bool,
    /// Whether a run that takes a stream up may leave an event out.
    pub may_leave_out: bool,
    /// Whether a run that takes a stream up may begin at the first event.
    pub may_begin_anew: bool,
}

/// The request that a run answers.
#[derive(Clone, Debug)]
pub(crate) struct RunRequest {
    /// Path: a route, the name of the stream and the id of its last event.
    pub(crate) path: String,
    /// Id of the caller's attempt.
    pub(crate) attempt: String,
    pub(crate) last_received: Option<u64>,
    pub(crate) upstream: String,
    /// Version of the upstream's software.
    pub(crate) version: String,
}

/// A run of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawnRun {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Upstream that runs it.
    pub upstream: String,
    /// Version of the upstream's software.
    pub version: String,
    /// Last event that the caller or host named.
    pub last_received: Option<u64>,
    /// How the body is framed.
    pub framing: Framing,
    /// How the run ends, with the bytes of the framed body after which it does.
    pub end: StreamEnd,
    /// Bytes of the framed body after which the run stalls.
    pub stalls_after: Option<usize>,
    /// First event.
    pub first: u64,
    /// Event that is left out.
    pub left_out: Option<u64>,
    /// True if the run came to its end; false if its connection or its process ended before.
    pub has_ended: bool,
}

/// Returns the data of an event.
pub fn event_data(stream: &str, version: &str, id: u64) -> String {
    let seed = hash::hash_parts(&[stream.as_bytes(), &id.to_le_bytes()]);
    let mut rng = Rng::with_seed(seed);
    let length = match rng.u8(..20) {
        0 => rng.usize(4_100..9_000),
        1..4 => rng.usize(100..1_500),
        _ => rng.usize(..60),
    };
    let mut data = format!("{stream} of {version} event {id} ");
    while data.len() < length {
        data.push_str(FILLING[rng.usize(..FILLING.len())]);
    }
    data + "."
}

/// A run with the bytes that it writes.
pub(crate) struct PlannedRun {
    pub(crate) run: DrawnRun,
    /// The framed body, whole.
    wire: Vec<u8>,
    body_length: usize,
    max_write: usize,
    rng: Rng,
}

/// Draws the run that answers a request.
pub(crate) fn plan(draw: &RunDraw, req: RunRequest) -> PlannedRun {
    let last_received = req.last_received.unwrap_or(u64::MAX);
    let seed = hash::hash_parts(&[
        &draw.seed.to_le_bytes(),
        req.attempt.as_bytes(),
        req.upstream.as_bytes(),
        &last_received.to_le_bytes(),
    ]);
    let mut rng = Rng::with_seed(seed);
    let mut parts = req.path.rsplit('/');
    let last: u64 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
    let stream = parts.next().unwrap_or_default();
    let takes_up = req.last_received.is_some();
    let anew = takes_up && rng.u8(..20) == 0 && draw.may_begin_anew;
    let first = req.last_received.filter(|_| !anew).unwrap_or(0) + 1;
    let left_out = (takes_up && rng.u8(..20) == 0 && draw.may_leave_out && first <= last)
        .then(|| rng.u64(first..=last));
    let framing = match rng.u8(..10) {
        0..3 if draw.may_be_unframed => Framing::Unframed,
        3..5 => Framing::Length,
        _ => Framing::Chunked,
    };
    let ids = (first..=last).filter(|id| Some(*id) != left_out);
    let body: String = ids
        .map(|id| {
            format!(
                "id: {id}\ndata: {}\n\n",
                event_data(stream, &req.version, id)
            )
        })
        .collect();
    let wire = match framing {
        Framing::Chunked => in_chunks(body.as_bytes(), &mut rng),
        Framing::Length | Framing::Unframed => body.clone().into_bytes(),
    };
    let stalls_after = (rng.u8(..20) == 0).then(|| rng.usize(..=wire.len()));
    let end = draw_end(draw, framing, takes_up, wire.len(), &mut rng);
    let max_write = [7, 60, 400, 3_000, 1 << 20][rng.usize(..5)];
    let run = DrawnRun {
        attempt: req.attempt,
        upstream: req.upstream,
        version: req.version,
        last_received: req.last_received,
        framing,
        end,
        stalls_after,
        first,
        left_out,
        has_ended: false,
    };
    PlannedRun {
        run,
        body_length: body.len(),
        max_write: max_write.max(wire.len() / MAX_WRITES + 1),
        wire,
        rng,
    }
}

/// Returns the body in chunks with borders at any byte.
fn in_chunks(body: &[u8], rng: &mut Rng) -> Vec<u8> {
    let max = [5, 50, 500, 5_000, 1 << 20][rng.usize(..5)];
    let mut wire = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rng.usize(1..=max).min(rest.len()));
        wire.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        wire.extend_from_slice(chunk);
        wire.extend_from_slice(b"\r\n");
        rest = after;
    }
    wire.extend_from_slice(b"0\r\n\r\n");
    wire
}

fn draw_end(
    draw: &RunDraw,
    framing: Framing,
    takes_up: bool,
    length: usize,
    rng: &mut Rng,
) -> StreamEnd {
    let after = rng.usize(..=length);
    match rng.u8(..40) {
        0 if draw.may_be_killed => StreamEnd::Killed(after),
        // Callers take an unframed body for whole if its connection is closed by an upstream that lives on.
        1..5 if framing != Framing::Unframed => StreamEnd::Closed(after),
        5..9 => StreamEnd::Reset(after),
        9..12 if !takes_up => StreamEnd::Reset(after),
        _ => StreamEnd::Whole,
    }
}

impl PlannedRun {
    /// Writes the run behind the lines of `head`, which has no framing header.
    pub(crate) async fn send(mut self, stream: &mut TcpStream, head: &str) -> io::Result<After> {
        let framing = match self.run.framing {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Length => format!("Content-Length: {}\r\n", self.body_length),
            Framing::Unframed => "Connection: close\r\n".to_owned(),
        };
        let head = format!("{head}{framing}\r\n");
        stream.write_all(head.as_bytes()).await?;
        let end = match self.run.end {
            StreamEnd::Whole => self.wire.len(),
            StreamEnd::Closed(after) | StreamEnd::Reset(after) | StreamEnd::Killed(after) => after,
        };
        let max_gap = MAX_RUN_TIME / (2 * self.wire.len() / self.max_write + 1) as u32;
        let max_gap = max_gap.min(Duration::from_millis(40));
        let mut written = 0;
        while written < end {
            let mut next = (written + self.rng.usize(1..=self.max_write)).min(end);
            if let Some(at) = self
                .run
                .stalls_after
                .filter(|at| *at >= written && *at < next)
            {
                stream.write_all(&self.wire[written..at]).await?;
                tokio::time::sleep(STALL_TIME).await;
                written = at;
                self.run.stalls_after = None;
                next = next.max(at + 1);
            }
            stream.write_all(&self.wire[written..next]).await?;
            written = next;
            tokio::time::sleep(max_gap.mul_f64(self.rng.f64())).await;
        }
        self.finish(stream).await
    }

    async fn finish(mut self, stream: &mut TcpStream) -> io::Result<After> {
        match self.run.end {
            StreamEnd::Whole if self.run.framing != Framing::Unframed => Ok(After::Keep),
            StreamEnd::Whole | StreamEnd::Closed(_) => Ok(After::Close),
            StreamEnd::Reset(_) => {
                if self.rng.bool() {
                    tokio::time::sleep(READING_TIME).await;
                }
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                Ok(After::Close)
            }
            StreamEnd::Killed(_) => Ok(After::Kill),
        }
    }
}
