//! Response bodies, held in memory or streamed while the upstream produces them.

use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

use crate::buffered::Buffered;

/// Part of a stream on its way to its caller.
#[derive(Debug)]
pub(crate) enum StreamPart {
    Chunk(Bytes),
    /// The stream is whole. One whose sender is dropped before is not.
    End,
}

/// Error that aborts the response to a caller.
#[derive(Clone, Copy, Debug, Error)]
#[error("response aborted")]
pub(crate) struct StreamAborted;

/// Response body: held in memory as a whole, or a stream in progress.
#[derive(Debug)]
pub(crate) enum Body {
    Full(Buffered),
    Stream(mpsc::UnboundedReceiver<StreamPart>),
}

impl Body {
    /// Creates a body that is held in memory.
    pub(crate) fn full(content: Bytes) -> Body {
        Body::Full(Buffered::from(content))
    }

    /// Returns whether the body is a stream in progress.
    pub(crate) fn is_stream(&self) -> bool {
        matches!(self, Body::Stream(_))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match &mut *self {
            Body::Full(content) => Poll::Ready(content.take().map(|c| Ok(Frame::data(c)))),
            Body::Stream(rx) => rx.poll_recv(cx).map(|part| match part {
                Some(StreamPart::Chunk(chunk)) => Some(Ok(Frame::data(chunk))),
                Some(StreamPart::End) => None,
                None => Some(Err(StreamAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(content) if content.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(content) => SizeHint::with_exact(content.len()),
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
