//! Fault-injecting TCP proxy.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::response_fault::{self, ResponseFault};

/// Maximum number of bytes read at a time.
const BUFFER_BYTES: usize = 16 * 1024;

/// Fault injected into connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards all bytes.
    #[default]
    None,
    /// Closes all connections, and new ones as soon as they are accepted.
    Cut,
    /// Forwards nothing in the given directions but keeps connections open.
    Freeze {
        /// From the client to the target.
        outbound: bool,
        /// From the target to the client.
        inbound: bool,
    },
    /// Freezes all existing connections permanently; new ones work.
    FreezeExisting,
    /// Delays everything that is forwarded by this time.
    Delay(Duration),
    /// Closes each connection after this many bytes from the client to the target.
    CutAfter(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    fault: Fault,
    /// Current generation; connections of earlier generations are frozen.
    generation: u64,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address that clients use instead of the target's.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
    route: Arc<Mutex<ProxyRoute>>,
    task: JoinHandle<()>,
}

/// Where new connections lead, and which responses on them are struck.
#[derive(Clone, Debug)]
struct ProxyRoute {
    target: String,
    response_faults: Vec<ResponseFault>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy on `addr` that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start(addr: &str, target: &str) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let route = Arc::new(Mutex::new(ProxyRoute {
            target: target.to_owned(),
            response_faults: Vec::new(),
        }));
        let task = tokio::spawn(accept(listener, state.subscribe(), route.clone()));
        Ok(Proxy {
            addr,
            state,
            route,
            task,
        })
    }

    /// Sets the fault for existing and new connections.
    pub fn set_fault(&self, fault: Fault) {
        self.state.send_modify(|s| match fault {
            Fault::FreezeExisting => s.generation += 1,
            fault => s.fault = fault,
        });
    }

    /// Forwards new connections to `target` from now on.
    pub fn set_target(&self, target: &str) {
        self.lock_route().target = target.to_owned();
    }

    /// Injects these faults into the responses on new connections from now on.
    pub fn set_response_faults(&self, faults: Vec<ResponseFault>) {
        self.lock_route().response_faults = faults;
    }

    fn lock_route(&self) -> MutexGuard<'_, ProxyRoute> {
        self.route.lock().expect("route lock is not poisoned")
    }
}

async fn accept(
    listener: TcpListener,
    state: watch::Receiver<State>,
    route: Arc<Mutex<ProxyRoute>>,
) {
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = stream else { continue };
        let route = route.lock().expect("route lock is not poisoned").clone();
        connections.spawn(forward(stream, route, state.clone()));
    }
}

async fn forward(client: TcpStream, route: ProxyRoute, mut state: watch::Receiver<State>) {
    let State { fault, generation } = *state.borrow();
    if fault == Fault::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(&route.target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    if let Some(fault) = response_fault::find(&client, &route.response_faults).await {
        let _ended_by_either_side = response_fault::forward(client, server, fault).await;
        return;
    }
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let outbound = copy_one_way(client_rx, server_tx, state.clone(), generation, true);
    let inbound = copy_one_way(server_rx, client_tx, state.clone(), generation, false);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        _ = state.wait_for(|s| s.fault == Fault::Cut) => {}
    }
}

/// Copies bytes in one direction until the connection ends or is cut.
async fn copy_one_way(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    generation: u64,
    is_outbound: bool,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut copied = 0;
    loop {
        let Ok(n) = rx.read(&mut buf).await else {
            return;
        };
        let frozen = |s: &State| {
            let paused = matches!(
                s.fault,
                Fault::Freeze { outbound, inbound } if if is_outbound { outbound } else { inbound }
            );
            paused || s.generation != generation
        };
        if state.wait_for(|s| !frozen(s)).await.is_err() {
            return;
        }
        if n == 0 {
            let _ = tx.shutdown().await;
            return;
        }
        let fault = state.borrow().fault;
        let mut end = n;
        match fault {
            Fault::Delay(delay) => tokio::time::sleep(delay).await,
            Fault::CutAfter(cap) if is_outbound => end = n.min((cap - copied.min(cap)) as usize),
            _ => {}
        }
        if tx.write_all(&buf[..end]).await.is_err() || end < n {
            return;
        }
        copied += n as u64;
    }
}
