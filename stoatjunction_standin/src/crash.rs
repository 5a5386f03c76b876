//! Crashes of a scripted upstream under a request: its process ends and its connections are reset, or
//! its machine falls silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Connections that fill the accept queue of a listener with the smallest backlog.
const FILLING_CONNECTIONS: usize = 4;
/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// How an upstream ends under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMode {
    /// Its connections are closed before the head of the response.
    BeforeHead,
    /// The same, this long after it has received the request, whether or not the caller has left.
    Late(Duration),
    /// Its connections are closed in the middle of the response.
    InResponse,
    /// It falls silent before the head of the response, and accepts no connections.
    DarkBeforeHead,
    /// It falls silent in the middle of the response, and accepts no connections.
    DarkInResponse,
}

impl CrashMode {
    /// Returns whether a part of the response is sent first.
    pub(crate) fn begins_response(self) -> bool {
        matches!(self, CrashMode::InResponse | CrashMode::DarkInResponse)
    }

    /// Returns the status of the upstream after the crash.
    pub(crate) fn status(self) -> Status {
        match self {
            CrashMode::BeforeHead | CrashMode::Late(_) | CrashMode::InResponse => Status::Down,
            CrashMode::DarkBeforeHead | CrashMode::DarkInResponse => Status::Dark,
        }
    }
}

/// Whether an upstream runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Status {
    Up,
    /// Ended: connections are reset and refused.
    Down,
    /// Silent: connections stay open and new ones are not accepted.
    Dark,
}

/// Requests that end the upstream, and how.
#[derive(Clone, Debug)]
pub(crate) struct Poison {
    pub(crate) marker: String,
    pub(crate) mode: CrashMode,
}

/// Returns the first part of a response: two events, or half of a body.
pub(crate) fn begun_response(upstream: &str, id: &str, request_line: &str) -> String {
    let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {upstream}\r\n");
    let is_stream = ["/stream/", "/resumed/"]
        .iter()
        .any(|p| request_line.contains(p));
    if !is_stream {
        return format!("{head}Content-Length: 10\r\n\r\nhalf ");
    }
    let events = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n";
    let framed = format!("{:x}\r\n{events}\r\n", events.len());
    format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{framed}")
}

/// Makes a listener ignore new connections, as a machine without power does: its accept queue is
/// filled. Returns what has to be held meanwhile.
pub(crate) async fn stop_accepting(listener: &TcpListener) -> JoinSet<io::Result<TcpStream>> {
    let mut filling = JoinSet::new();
    if let Err(e) = SockRef::from(listener).listen(0) {
        log::warn!("event=accept_queue_not_shortened reason={e}");
    }
    if let Ok(addr) = listener.local_addr() {
        for _ in 0..FILLING_CONNECTIONS {
            filling.spawn(TcpStream::connect(addr));
        }
    }
    filling
}

/// Listens on `addr`, also while connections of an earlier listener are being closed.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}
