//! Sockets of a process that starts: what keeps it from listening may pass.

use std::fmt::Display;
use std::io;
use std::time::Duration;

use crate::socket_errors::lacks_resources;

/// Interval for opening a socket that could not be opened.
const OPEN_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to open a socket of which one is logged.
const OPEN_ATTEMPTS_PER_LINE: u32 = 20;

/// Opens a socket, again and again while that fails for a reason that passes. A process that is about to end and outgoing
/// connections of others may use the port.
///
/// # Errors
///
/// An I/O error that does not pass.
pub async fn open_when_possible<T, A, F, Fut>(addr: A, purpose: &str, open: F) -> io::Result<T>
where
    A: Display,
    F: Fn() -> Fut,
    Fut: Future<Output = io::Result<T>>,
{
    let mut attempts = 0_u32;
    loop {
        match open().await {
            Ok(socket) => return Ok(socket),
            Err(e) if !may_pass(&e) => return Err(e),
            Err(e) => {
                if attempts.is_multiple_of(OPEN_ATTEMPTS_PER_LINE) {
                    log::warn!("event=listen_failed purpose={purpose} addr={addr} reason=\"{e}\"");
                }
            }
        }
        attempts = attempts.wrapping_add(1);
        tokio::time::sleep(OPEN_INTERVAL).await;
    }
}

/// Returns whether opening a socket may succeed later.
fn may_pass(e: &io::Error) -> bool {
    e.kind() == io::ErrorKind::AddrInUse || lacks_resources(e)
}
