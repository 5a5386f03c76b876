//! Outgoing connections.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpSocket, TcpStream, lookup_host};

/// Opens a connection to `addr`, an address or a name with a port.
///
/// # Errors
///
/// An I/O error if no address of the peer takes the connection.
pub async fn connect(addr: &str) -> io::Result<TcpStream> {
    let mut failed = None;
    for addr in lookup_host(addr).await? {
        match socket_to(addr)?.connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(e) => failed = Some(e),
        }
    }
    Err(failed.unwrap_or_else(|| io::ErrorKind::InvalidInput.into()))
}

fn socket_to(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // The kernel chooses the local port, which may be that of a process which is about to start.
    socket.set_reuseaddr(true)?;
    Ok(socket)
}
