//! Bodies of answers, and the passing on of a stream while its upstream makes it.

use std::pin::Pin;
use std::task::{Context as TaskContext, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// Events that wait for a slow caller.
const PENDING: usize = 32;

/// An answer was broken off.
#[derive(Clone, Copy, Debug, Error)]
#[error("answer broken off")]
pub(crate) struct StreamAborted;

/// Body of an answer: whole in memory, or a stream that is still being made.
#[derive(Debug)]
pub(crate) enum Body {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

impl Body {
    /// A body that is whole in memory.
    pub(crate) fn whole(content: Bytes) -> Body {
        Body::Whole(Some(content))
    }

    /// A stream, and where its pieces go in.
    pub(crate) fn stream() -> (mpsc::Sender<Result<Bytes, StreamAborted>>, Body) {
        let (tx, rx) = mpsc::channel(PENDING);
        (tx, Body::Stream(rx))
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
            Body::Whole(content) => {
                let content = content.take().filter(|c| !c.is_empty());
                Poll::Ready(content.map(|c| Ok(Frame::data(c))))
            }
            Body::Stream(rx) => rx
                .poll_recv(cx)
                .map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(content) if content.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(content) => {
                SizeHint::with_exact(content.as_ref().map_or(0, |c| c.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
