//! Errors of sockets that accept connections or receive datagrams, and when to try again.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::libc;
use tokio::net::{TcpListener, TcpStream};

use crate::occurrences::Occurrences;

/// Pause after an error that lasts until files or memory are free.
const PAUSE: Duration = Duration::from_millis(20);

/// Errors of one socket.
#[derive(Debug)]
pub struct SocketErrors {
    purpose: &'static str,
    occurrences: Occurrences,
}

impl SocketErrors {
    /// Creates the record of a socket that is used for `purpose`, without any error.
    pub fn new(purpose: &'static str) -> SocketErrors {
        SocketErrors {
            purpose,
            occurrences: Occurrences::default(),
        }
    }

    /// Returns the next connection to `listener`.
    pub async fn accept(&mut self, listener: &TcpListener) -> (TcpStream, SocketAddr) {
        loop {
            match listener.accept().await {
                Ok(accepted) => return accepted,
                Err(e) => self.handle(&e).await,
            }
        }
    }

    /// Logs an error, at most once a second, and waits until it is worth trying again.
    pub async fn handle(&mut self, e: &io::Error) {
        if let Some(count) = self.occurrences.record(Instant::now()) {
            let purpose = self.purpose;
            log::warn!("event=socket_failed purpose={purpose} count={count} reason=\"{e}\"");
        }
        match concerns_one_peer(e) {
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Returns whether an error comes from a want of files, ports or memory here, and says nothing about a peer.
pub fn lacks_resources(e: &io::Error) -> bool {
    let lacking = [
        libc::EADDRNOTAVAIL,
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ENOSPC,
    ];
    e.raw_os_error().is_some_and(|code| lacking.contains(&code))
}

/// Returns whether an error is that of one connection or datagram, so that the next one may be there already.
pub fn concerns_one_peer(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        ErrorKind::ConnectionAborted
            | ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
    )
}
