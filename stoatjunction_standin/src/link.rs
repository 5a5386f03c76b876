//! Stand-in for the network link between one host and a server, which may be cut in different ways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::reserved_port::ReservedPort;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time within which a connection to a listener on loopback is open, unless its backlog is full.
const OPENING_TIME: Duration = Duration::from_millis(200);
/// Maximum number of bytes read at a time.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval between tries to listen on an address again.
const LISTEN_INTERVAL: Duration = Duration::from_millis(10);

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing arrives, and new connections are not answered.
    Silent,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Something between the ends opens new connections by itself. Nothing arrives over any of them.
    OpenSilent,
    /// The same, but each connection is reset once something is sent over it.
    OpenReset,
}

impl Cut {
    /// Returns whether nothing arrives over connections that stay open.
    fn is_silent(self) -> bool {
        matches!(self, Cut::Silent | Cut::OpenSilent)
    }

    /// Returns whether connections are reset.
    fn resets(self) -> bool {
        matches!(self, Cut::Reset | Cut::OpenReset)
    }
}

/// A running link.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
    cut: watch::Sender<Option<Cut>>,
    task: JoinHandle<()>,
    _port: ReservedPort,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Link {
    /// Starts a link to the server at `target`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        let port = ReservedPort::new()?;
        let addr = port.addr();
        let listener = listen(addr, BACKLOG)?;
        let cut = watch::Sender::new(None);
        let ends = Ends {
            addr,
            target,
            accepted: Arc::default(),
        };
        let accepted = ends.accepted.clone();
        let task = tokio::spawn(run(listener, ends, cut.subscribe()));
        Ok(Link {
            addr,
            accepted,
            cut,
            task,
            _port: port,
        })
    }

    /// Returns the address that stands for the server's.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of connections that were opened over the link.
    pub fn accepted(&self) -> usize {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Cuts the link.
    pub fn cut(&self, cut: Cut) {
        self.cut.send_replace(Some(cut));
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.cut.send_replace(None);
    }
}

/// The two ends of a link.
struct Ends {
    addr: SocketAddr,
    target: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

async fn run(listener: TcpListener, ends: Ends, mut cut: watch::Receiver<Option<Cut>>) {
    let mut connections = JoinSet::new();
    let mut listener = Some(listener);
    loop {
        let now = *cut.borrow_and_update();
        match (now, listener.take()) {
            (None, Some(open)) => {
                accept(&open, &ends, &mut cut, &mut connections).await;
                listener = Some(open);
            }
            (None, None) => listener = Some(listen_again(ends.addr).await),
            (Some(Cut::Silent), open) => {
                drop(open);
                let _full = full_listener(ends.addr).await;
                let _sender_is_held = cut.changed().await;
            }
            (Some(cut_as @ (Cut::OpenSilent | Cut::OpenReset)), open) => {
                let open = match open {
                    Some(open) => open,
                    None => listen_again(ends.addr).await,
                };
                open_by_itself(&open, cut_as, &mut cut).await;
                listener = Some(open);
            }
            (Some(Cut::Reset | Cut::RefuseNew), open) => {
                drop(open);
                let _sender_is_held = cut.changed().await;
            }
        }
    }
}

/// Accepts connections until the link is cut.
async fn accept(
    listener: &TcpListener,
    ends: &Ends,
    cut: &mut watch::Receiver<Option<Cut>>,
    connections: &mut JoinSet<()>,
) {
    loop {
        tokio::select! {
            _ = cut.changed() => return,
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    ends.accepted.fetch_add(1, Ordering::Relaxed);
                    connections.spawn(forward(client, ends.target, cut.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Opens connections to nobody until the cut changes.
async fn open_by_itself(
    listener: &TcpListener,
    cut_as: Cut,
    cut: &mut watch::Receiver<Option<Cut>>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = cut.changed() => return,
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                connections.spawn(async move {
                    if cut_as.resets() {
                        let _readable_or_ended = client.readable().await;
                        let _is_reset = SockRef::from(&client).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    std::future::pending::<()>().await;
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn listen_again(addr: SocketAddr) -> TcpListener {
    loop {
        match listen(addr, BACKLOG) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(LISTEN_INTERVAL).await,
        }
    }
}

fn listen(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}

/// Returns a listener whose backlog is full, so that new connections hang as in a network partition. The streams keep
/// it full.
async fn full_listener(addr: SocketAddr) -> (Option<TcpListener>, Vec<TcpStream>) {
    let mut streams = Vec::new();
    let Ok(listener) = listen(addr, 1) else {
        return (None, streams);
    };
    while let Ok(Ok(stream)) = tokio::time::timeout(OPENING_TIME, TcpStream::connect(addr)).await {
        streams.push(stream);
    }
    (Some(listener), streams)
}

async fn forward(mut client: TcpStream, target: SocketAddr, mut cut: watch::Receiver<Option<Cut>>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.split();
    let (server_rx, server_tx) = server.split();
    let (outbound_cut, inbound_cut) = (cut.clone(), cut.clone());
    let copies = async {
        tokio::try_join!(
            copy_one_way(client_rx, server_tx, outbound_cut),
            copy_one_way(server_rx, client_tx, inbound_cut),
        )
    };
    let was_reset = tokio::select! {
        copied = copies => copied.is_err(),
        reset = cut.wait_for(|c| c.is_some_and(Cut::resets)) => reset.is_ok(),
    };
    if was_reset {
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        let _ = SockRef::from(&server).set_linger(Some(Duration::ZERO));
    }
}

/// Copies bytes in one direction until the connection ends. What a silent cut holds up arrives after it, the end and a
/// reset too.
///
/// # Errors
///
/// The connection was reset.
async fn copy_one_way(
    mut rx: ReadHalf<'_>,
    mut tx: WriteHalf<'_>,
    mut cut: watch::Receiver<Option<Cut>>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = rx.read(&mut buf).await;
        let healed = cut.wait_for(|c| !c.is_some_and(Cut::is_silent)).await;
        healed.map_err(io::Error::other)?;
        match read? {
            0 => return tx.shutdown().await,
            n => tx.write_all(&buf[..n]).await?,
        }
    }
}
