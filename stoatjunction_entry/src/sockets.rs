//! Socket options. They detect dead connections, since a peer may become unreachable without a
//! reset.

use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use nix::libc;
use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, TcpKeepalive, Type};
use stoatjunction_core::entry::socket_buffers::{SocketBuffers, max_waiting};
use stoatjunction_net::listening::open_when_possible;
use stoatjunction_net::outgoing;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Idle time after which keepalive probes are sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a caller must take what is sent to it. The kernel also ends connections whose peer acknowledges but
/// does not read, and the daemon decides by itself when a caller has taken nothing for too long.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which sent bytes must be acknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Place of the flags in a TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_SYN_ACK: u32 = 0x12;
/// Connections of the balancer, other hosts and readers of metrics that may wait to be accepted on a port; a full queue delays them
/// by seconds.
const ACCEPT_BACKLOG: usize = 1_024;
/// Largest list of headers between hosts in bytes. The HTTP/2 library keeps 16 MB by itself.
pub(crate) const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;

/// Sets the options by which a connection fails within seconds after its peer is gone.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets the options of a caller's connection.
pub(crate) fn set_caller_options(stream: &TcpStream, buffers: SocketBuffers) -> io::Result<()> {
    set_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(CALLER_USER_TIMEOUT))?;
    limit_buffers(stream, buffers)
}

/// Limits what the kernel holds for a connection. By itself it holds several megabytes in each direction.
fn limit_buffers(stream: &TcpStream, buffers: SocketBuffers) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_recv_buffer_size(buffers.receive)?;
    socket.set_send_buffer_size(buffers.send)
}

/// Opens a connection to an upstream within `timeout`.
pub(crate) async fn connect_to_upstream(
    addr: &str,
    timeout: Duration,
    buffers: SocketBuffers,
) -> io::Result<TcpStream> {
    let stream = connect(addr, timeout).await?;
    limit_buffers(&stream, buffers)?;
    Ok(stream)
}

/// Opens a connection within `timeout` and sets its options.
pub(crate) async fn connect(addr: &str, timeout: Duration) -> io::Result<TcpStream> {
    let opened = tokio::time::timeout(timeout, outgoing::connect(addr)).await;
    let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Lets no further connection be opened to the listener, while those that are being opened may be finished
/// and accepted. A caller whose connection is opened right before the listener closes would be reset
/// without knowing whether its request was read; one whose connection isn't opened knows that it was not.
pub(crate) fn stop_opening(listener: &TcpListener) -> io::Result<()> {
    let instruction = |code: u32, jt, jf, k| SockFilter::new(code as u16, jt, jf, k);
    // Drops segments that ask for a connection: of the two flags, SYN is set and ACK is not.
    let filter = [
        instruction(
            libc::BPF_LD | libc::BPF_B | libc::BPF_ABS,
            0,
            0,
            TCP_FLAGS_OFFSET,
        ),
        instruction(
            libc::BPF_ALU | libc::BPF_AND | libc::BPF_K,
            0,
            0,
            TCP_SYN_ACK,
        ),
        instruction(libc::BPF_JMP | libc::BPF_JEQ | libc::BPF_K, 0, 1, TCP_SYN),
        instruction(libc::BPF_RET | libc::BPF_K, 0, 0, 0),
        instruction(libc::BPF_RET | libc::BPF_K, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Listens on `addr` as soon as that is possible.
pub(crate) async fn listen_when_possible(
    addr: SocketAddr,
    purpose: &str,
) -> io::Result<TcpListener> {
    let queue = AcceptQueue {
        connections: ACCEPT_BACKLOG,
        receive: None,
    };
    open_when_possible(addr, purpose, || ready(listen(addr, queue))).await
}

/// Listens for callers on `addr` as soon as that is possible. What they send before their connections are accepted is limited
/// as well.
pub(crate) async fn listen_for_callers(
    addr: SocketAddr,
    memory_limit_mb: Option<u64>,
) -> io::Result<TcpListener> {
    let queue = AcceptQueue {
        connections: max_waiting(memory_limit_mb),
        receive: Some(SocketBuffers::of_callers(memory_limit_mb).receive),
    };
    open_when_possible(addr, "callers", || ready(listen(addr, queue))).await
}

/// Binds a socket for datagrams to `addr` as soon as that is possible.
pub(crate) async fn bind_when_possible(addr: SocketAddr, purpose: &str) -> io::Result<UdpSocket> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    open_when_possible(addr, purpose, || ready(bind())).await
}

/// Connections that are not accepted yet.
#[derive(Clone, Copy)]
struct AcceptQueue {
    /// How many there may be.
    connections: usize,
    /// Bytes to ask the kernel for as the receive buffer of each.
    receive: Option<usize>,
}

fn listen(addr: SocketAddr, queue: AcceptQueue) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if let Some(receive) = queue.receive {
        socket.set_recv_buffer_size(receive)?;
    }
    socket.bind(&addr.into())?;
    socket.listen(queue.connections as i32)?;
    TcpListener::from_std(socket.into())
}
