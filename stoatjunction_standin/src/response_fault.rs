//! Faults that a proxy injects into the responses to some requests.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::faulty_reply::ConnectionEnd;

/// Maximum number of bytes read at a time, and of a request line.
const BUFFER_BYTES: usize = 4 * 1024;
/// Time for which the client can read what was written before the connection ends.
const READING_TIME: Duration = Duration::from_millis(10);

/// Replaces a part of the responses to some requests. The request itself reaches the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseFault {
    /// Text in the lines of the requests.
    pub marker: &'static str,
    /// What is forwarded of the target's response.
    pub kept: Kept,
    /// Bytes that follow them.
    pub then: String,
    /// How the connection ends then.
    pub end: ConnectionEnd,
}

/// Part of a response that is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kept {
    /// So many bytes.
    Bytes(usize),
    /// What the target writes at once: a short response is whole.
    FirstWrite,
}

/// Returns the fault for the request on a new connection, whose line it looks at without reading it.
pub(crate) async fn find(client: &TcpStream, faults: &[ResponseFault]) -> Option<ResponseFault> {
    if faults.is_empty() {
        return None;
    }
    let mut buf = [0; BUFFER_BYTES];
    let len = client.peek(&mut buf).await.ok()?;
    let line = buf[..len].split(|b| *b == b'\r').next()?;
    let line = String::from_utf8_lossy(line);
    let fault = faults.iter().find(|f| line.contains(f.marker));
    fault.cloned()
}

/// Forwards the request, and what the fault leaves of the response.
pub(crate) async fn forward(
    client: TcpStream,
    server: TcpStream,
    fault: ResponseFault,
) -> io::Result<()> {
    let (mut client_rx, mut client_tx) = client.into_split();
    let (mut server_rx, mut server_tx) = server.into_split();
    let request = tokio::io::copy(&mut client_rx, &mut server_tx);
    let response = async {
        let mut buf = [0; BUFFER_BYTES];
        let mut left = match fault.kept {
            Kept::Bytes(bytes) => bytes,
            Kept::FirstWrite => usize::MAX,
        };
        loop {
            let len = server_rx.read(&mut buf).await?;
            let kept = len.min(left);
            client_tx.write_all(&buf[..kept]).await?;
            left -= kept;
            if len == 0 || left == 0 || fault.kept == Kept::FirstWrite {
                break;
            }
        }
        client_tx.write_all(fault.then.as_bytes()).await
    };
    tokio::pin!(request, response);
    let ended = tokio::select! {
        ended = &mut response => ended,
        // The request ends with its connection.
        sent = &mut request => sent.map(|_| ()),
    };
    ended?;
    tokio::time::sleep(READING_TIME).await;
    if fault.end == ConnectionEnd::Reset {
        SockRef::from(client_tx.as_ref()).set_linger(Some(Duration::ZERO))?;
        // Dropping it would send an end first.
        client_tx.forget();
    }
    Ok(())
}
