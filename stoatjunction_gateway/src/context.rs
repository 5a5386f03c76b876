//! What all requests of a gateway share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use stoatjunction_net::platform::ObjectApiClient;
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;
use tokio::sync::Notify;

use crate::dispatcher_client::Hub;

/// Shared state of a gateway.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) cfg: DaemonSettings,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: Metrics,
    pub(crate) hub: Arc<Hub>,
    pub(crate) platform: ObjectApiClient,
    pub(crate) busy: Arc<Busy>,
}

/// Counts what has to be finished before the process may stop.
#[derive(Debug, Default)]
pub(crate) struct Busy {
    count: AtomicU64,
    idle: Notify,
}

/// One thing to be finished; dropping it says that it is.
#[derive(Debug)]
pub(crate) struct BusyGuard(Arc<Busy>);

impl Busy {
    pub(crate) fn enter(self: &Arc<Self>) -> BusyGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        BusyGuard(self.clone())
    }

    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Waits until nothing is left to finish.
    pub(crate) async fn idle(&self) {
        loop {
            let changed = self.idle.notified();
            if self.count() == 0 {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
