//! What a stop of this host means for the requests that it holds.

use stoatjunction_core::code::Code;
use stoatjunction_core::entry::shutdown::Shutdown;
use stoatjunction_core::time::{Span, Time};
use tokio::sync::watch;

use crate::clock;
use crate::refusal::Refusal;

/// Retry-after of a request that comes to a stopping host; the other hosts take it at once.
const STOPPING_RETRY_AFTER: Span = Span::from_millis(50);

/// The stop of this host, once it has begun.
#[derive(Debug)]
pub(crate) struct Stopping(watch::Sender<Option<Shutdown>>);

impl Default for Stopping {
    fn default() -> Stopping {
        Stopping(watch::Sender::new(None))
    }
}

impl Stopping {
    /// Begins the stop.
    pub(crate) fn begin(&self, shutdown: Shutdown) {
        self.0.send_replace(Some(shutdown));
    }

    /// Checks that a request does not have to be aborted that may last until `deadline`.
    pub(crate) fn check(&self, deadline: Time) -> Result<(), Refusal> {
        let shutdown = *self.0.borrow();
        match shutdown.is_none_or(|s| s.takes(deadline, clock::now())) {
            true => Ok(()),
            false => Err(refusal()),
        }
    }

    /// Waits until a request that may last until `deadline` must no longer be sent on.
    pub(crate) async fn ends_sending(&self, deadline: Time) {
        match self.begun().await.sends_until(deadline) {
            Some(at) => tokio::time::sleep_until(clock::instant(at)).await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the requests in progress have to be answered.
    pub(crate) async fn aborts(&self) {
        let at = self.begun().await.aborts_at;
        tokio::time::sleep_until(clock::instant(at)).await;
    }

    async fn begun(&self) -> Shutdown {
        let mut shutdown = self.0.subscribe();
        let begun = shutdown.wait_for(Option::is_some).await;
        match begun.map(|s| *s) {
            Ok(Some(shutdown)) => shutdown,
            _ => std::future::pending().await,
        }
    }
}

/// Returns the refusal of a request that has not been sent on.
pub(crate) fn refusal() -> Refusal {
    Refusal::with_retry_after(Code::Stopping, STOPPING_RETRY_AFTER)
}
