//! End of a listener.

use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpListener;

/// Has further connections refused. To close the listener is not enough: a process that is being started holds a copy of it
/// until its own program runs.
pub fn stop_listening(listener: TcpListener) {
    if let Err(e) = SockRef::from(&listener).shutdown(Shutdown::Read) {
        log::warn!("event=listener_not_stopped reason=\"{e}\"");
    }
}
