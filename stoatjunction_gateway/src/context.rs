//! State shared by all requests of a gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use stoatjunction_net::platform::ObjectApiClient;
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;
use tokio::sync::Notify;

use crate::dispatcher_client::DispatcherClient;

/// Shared state of a gateway.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) cfg: DaemonSettings,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: Metrics,
    pub(crate) dispatchers: Arc<DispatcherClient>,
    pub(crate) platform: ObjectApiClient,
    pub(crate) in_flight: Arc<InFlight>,
}

/// Counter of the work that has to finish before the process may stop: requests and writes of
/// claims.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    count: AtomicU64,
    idle: Notify,
}

/// Guard of one piece of work, which ends when the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<InFlight>);

impl InFlight {
    pub(crate) fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until no work is in flight.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let changed = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
