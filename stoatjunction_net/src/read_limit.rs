//! A limit of what may be read from a connection without any progress of the message on it.
//!
//! A peer in trouble may send headers, interim responses, the size of a chunk or trailers without end. The
//! HTTP library reads these in a loop, so that a fast peer would keep the only thread busy until the
//! request's time-out. Heads and data are progress; what comes beyond the limit without either breaks the
//! connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context as TaskContext, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use crate::checked_reads::{CheckRead, CheckedReads};

/// Bytes that may be read without progress. The largest head that is accepted and the library's buffers
/// are smaller.
const MAX_BYTES: usize = 256 * 1024;

/// Bytes that were read from a connection since the last progress.
#[derive(Clone, Debug, Default)]
pub struct ReadCounter(Arc<AtomicUsize>);

impl ReadCounter {
    /// Records progress.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Counts bytes that were read without progress.
    ///
    /// # Errors
    ///
    /// An error, logged as `event`, if they are more than `max_bytes` by now.
    pub fn add(&self, bytes: usize, max_bytes: usize, event: &str) -> io::Result<()> {
        let total = self.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if total > max_bytes {
            log::info!("event={event} bytes={total}");
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Returns the bytes that were read since the last progress.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns whether anything was read since the last progress.
    pub fn has_read(&self) -> bool {
        self.bytes() > 0
    }
}

/// Limits what may be read from a connection without progress. The counter has to be reset with each progress.
pub fn limit_reads<T>(io: T, counter: ReadCounter) -> CheckedReads<T, impl CheckRead> {
    CheckedReads::new(io, move |read, _| match read {
        Poll::Pending => Ok(()),
        Poll::Ready(bytes) => counter.add(bytes.len(), MAX_BYTES, "endless_message"),
    })
}

/// The body of a message, whose data is progress.
#[derive(Debug)]
pub struct CountedBody {
    body: Incoming,
    counter: ReadCounter,
}

impl CountedBody {
    /// Creates the body of a message whose head was just read.
    pub fn new(body: Incoming, counter: &ReadCounter) -> CountedBody {
        counter.reset();
        CountedBody {
            body,
            counter: counter.clone(),
        }
    }
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let is_progress = match &frame {
            Some(Ok(frame)) => frame.is_data(),
            Some(Err(_)) => false,
            None => true,
        };
        if is_progress {
            self.counter.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
