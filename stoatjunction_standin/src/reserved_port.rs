//! Ports that stay reserved while nothing listens on them. A server that is down for a while would otherwise lose its port
//! to one of another test, which then answers in its place.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};

/// A free port of the loopback address. Listeners on it have to allow the reuse of the address.
#[derive(Debug)]
pub(crate) struct ReservedPort {
    addr: SocketAddr,
    /// Bound and never listening: the kernel gives the port to no one who asks for any free one.
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a port until the result is dropped.
    pub(crate) fn new() -> io::Result<ReservedPort> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        socket.bind(&any.into())?;
        let addr = socket.local_addr()?;
        let addr = addr.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort {
            addr,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}
