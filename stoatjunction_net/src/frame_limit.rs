//! A limit of what may be read from a connection of HTTP/2 beside data.
//!
//! The HTTP/2 library reads and answers frames in a loop, so that a peer in trouble that sends settings or pings without end
//! would keep the only thread busy. Requests and data are progress; what comes beyond the limit without either breaks the
//! connection.

use std::task::Poll;

use crate::checked_reads::{CheckRead, CheckedReads};
use crate::read_limit::ReadCounter;

/// Bytes of frames other than data that may be read without progress. The requests that may begin at once are smaller, and so are
/// the frames by which a peer confirms what it was sent.
const MAX_BYTES: usize = 64 * 1024;
/// Length of what a client sends before its first frame.
const PREFACE_LEN: usize = 24;
/// Length of a frame's header: three bytes of length, type, flags, and four bytes of the stream's number.
const HEADER_LEN: usize = 9;
/// Type of a frame with data.
const DATA: u8 = 0;

/// Place in the frames that are read.
#[derive(Debug)]
struct FrameScanner {
    header: [u8; HEADER_LEN],
    header_len: usize,
    /// Bytes until the next header.
    skipped: usize,
}

impl FrameScanner {
    /// Starts at the beginning of what a client sends.
    fn new() -> FrameScanner {
        FrameScanner {
            header: [0; HEADER_LEN],
            header_len: 0,
            skipped: PREFACE_LEN,
        }
    }

    /// Reads on, and returns the size of the frames other than data that begin in `bytes`.
    fn scan(&mut self, mut bytes: &[u8]) -> usize {
        let mut counted = 0;
        loop {
            let skipped = self.skipped.min(bytes.len());
            self.skipped -= skipped;
            bytes = &bytes[skipped..];
            let len = (HEADER_LEN - self.header_len).min(bytes.len());
            self.header[self.header_len..][..len].copy_from_slice(&bytes[..len]);
            self.header_len += len;
            bytes = &bytes[len..];
            if self.header_len < HEADER_LEN {
                return counted;
            }
            counted += self.begin_frame();
        }
    }

    /// Begins the frame whose header was read, and returns its size unless it has data.
    fn begin_frame(&mut self) -> usize {
        let [a, b, c, kind, ..] = self.header;
        let payload = u32::from_be_bytes([0, a, b, c]) as usize;
        self.header_len = 0;
        self.skipped = payload;
        match kind {
            DATA if payload > 0 => 0,
            _ => HEADER_LEN + payload,
        }
    }
}

/// Limits the frames on a client's connection, on which nothing was read yet. The counter has to be reset with each progress.
pub fn limit_frames<T>(io: T, counter: ReadCounter) -> CheckedReads<T, impl CheckRead> {
    let mut scanner = FrameScanner::new();
    CheckedReads::new(io, move |read, _| match read {
        Poll::Pending => Ok(()),
        Poll::Ready(bytes) => counter.add(scanner.scan(bytes), MAX_BYTES, "endless_frames"),
    })
}
