//! Options of the daemon's sockets: connections may fall silent without a reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Silence before a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Pause between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Time in which sent bytes have to be acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// Callers' connections that may wait to be accepted; a full queue costs callers seconds.
const BACKLOG: i32 = 1_024;

/// Makes a connection tell within seconds that its other end is gone.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Opens a watched connection within `limit`.
pub(crate) async fn connect(addr: &str, limit: Duration) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(limit, TcpStream::connect(addr)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens on `addr`.
pub(crate) fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
