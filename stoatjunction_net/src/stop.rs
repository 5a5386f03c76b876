//! Signals of a process: those that stop it, and the hangup.

use nix::libc::SIGXFSZ;
use nix::sys::signal::{SigSet, Signal as SignalNumber};
use tokio::signal::unix::{Signal, SignalKind, signal};
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

/// Holds back the signals that have a handler once the process has started; without one they would end it. To be called
/// before any thread is started.
///
/// # Errors
///
/// An I/O error if the signals can't be held back.
pub fn hold_signals() -> std::io::Result<()> {
    Ok(held_signals().thread_block()?)
}

/// Installs the handler of a hangup, and lets the signals through that were held back. To be called after
/// [`on_signals`].
///
/// # Errors
///
/// An I/O error if the signal handler can't be installed.
pub fn on_hangup() -> std::io::Result<Signal> {
    let hangup = signal(SignalKind::hangup())?;
    held_signals().thread_unblock()?;
    Ok(hangup)
}

fn held_signals() -> SigSet {
    [
        SignalNumber::SIGHUP,
        SignalNumber::SIGINT,
        SignalNumber::SIGTERM,
    ]
    .into_iter()
    .collect()
}

/// Waits until `stop` or a more urgent shutdown is requested. Never returns if the sender is
/// dropped before.
pub async fn wait(rx: &StopRx, stop: Stop) {
    let mut rx = rx.clone();
    if rx.wait_for(|s| *s >= stop).await.is_err() {
        std::future::pending::<()>().await;
    }
}
