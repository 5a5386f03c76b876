//! Stop signal of a process.

use nix::libc::SIGXFSZ;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// Requested kind of shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stop {
    /// No shutdown.
    #[default]
    No,
    /// Finish the requests in progress, then stop.
    Graceful,
    /// Stop immediately.
    Now,
}

/// Receiving end of the stop signal.
pub type StopRx = watch::Receiver<Stop>;

/// Installs handlers that turn the first SIGTERM or SIGINT into [`Stop::Graceful`] and the second
/// into [`Stop::Now`], and one so that an output over its size limit fails without ending the process.
///
/// # Errors
///
/// An I/O error if the signal handlers cannot be installed.
pub fn on_signals() -> std::io::Result<StopRx> {
    let (tx, rx) = watch::channel(Stop::No);
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    // The handler stays installed.
    drop(signal(SignalKind::from_raw(SIGXFSZ))?);
    tokio::spawn(async move {
        for stop in [Stop::Graceful, Stop::Now] {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            let _ = tx.send(stop);
        }
        tx.closed().await;
    });
    Ok(rx)
}

/// Waits until `stop` or a more urgent shutdown is requested. Never returns if the sender is
/// dropped before.
pub async fn wait(rx: &StopRx, stop: Stop) {
    let mut rx = rx.clone();
    if rx.wait_for(|s| *s >= stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}
