//! Plain responses that are held in memory until they are complete. What all of them take together is
//! bounded, since upstreams in trouble may send without end.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use thiserror::Error;

use crate::read_limit::CountedBody;
use crate::state::Context;

/// Largest response that is held.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Most bytes of all responses that are held, a fifth of the memory of a small host.
const MAX_TOTAL_BYTES: usize = 16 << 20;

/// Why a response was not held to its end.
#[derive(Debug, Error)]
pub(crate) enum CollectError {
    /// It is too large.
    #[error("response exceeds the maximum size")]
    TooLarge,
    /// All responses together are too large.
    #[error("responses exceed the memory for them")]
    NoMemory,
    /// The upstream broke it off.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Bytes of a response that count as held until they are dropped.
#[derive(Debug)]
pub(crate) struct Buffered {
    content: Option<Bytes>,
    _held: Option<Held>,
}

impl Buffered {
    /// Takes the content to write it, unless it is empty or was taken before.
    pub(crate) fn take(&mut self) -> Option<Bytes> {
        self.content.take().filter(|c| !c.is_empty())
    }

    /// Returns whether nothing is left to write.
    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes left to write.
    pub(crate) fn len(&self) -> u64 {
        self.content.as_ref().map_or(0, |c| c.len() as u64)
    }
}

impl From<Bytes> for Buffered {
    /// Creates content of this host's own, which is small and not counted.
    fn from(content: Bytes) -> Buffered {
        Buffered {
            content: Some(content),
            _held: None,
        }
    }
}

/// Bytes that count as held until this is dropped.
#[derive(Debug)]
struct Held {
    cx: Rc<Context>,
    bytes: usize,
}

impl Held {
    fn add(&mut self, bytes: usize) -> Result<(), CollectError> {
        let total = self.cx.held_bytes.get() + bytes;
        if total > MAX_TOTAL_BYTES {
            return Err(CollectError::NoMemory);
        }
        self.cx.held_bytes.set(total);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.cx.held_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// Reads a response to its end.
///
/// # Errors
///
/// The reason why it is not complete.
pub(crate) async fn collect(
    cx: &Rc<Context>,
    mut body: CountedBody,
) -> Result<Buffered, CollectError> {
    let mut held = Held {
        cx: cx.clone(),
        bytes: 0,
    };
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if content.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(CollectError::TooLarge);
        }
        held.add(data.len())?;
        content.extend_from_slice(&data);
    }
    Ok(Buffered {
        content: Some(content.freeze()),
        _held: Some(held),
    })
}
