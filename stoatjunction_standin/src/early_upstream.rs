//! Stand-in for an upstream that answers before it has read the request's body, by a given status line and up to a given
//! byte, and ends the connection in a given way.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::crash;
use crate::listener::stop_listening;
use crate::reserved_port::ReservedPort;
use crate::stream_shape::{Framing, event_text};

/// Paths at which the upstream reports its start and its load.
const REPORT_PATHS: [&str; 2] = ["/stoatjunction/report", "/v1/load"];
/// Bytes that the kernel holds of a request that is not read, so that its sender waits.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Time for which the peer can read what was written before the connection ends.
const READING_TIME: Duration = Duration::from_millis(10);
/// Time between the end of the answer and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(50);
/// Id of the last event of a whole body.
const LAST_EVENT: u64 = 9;

/// An answer that is sent as soon as the head of a request was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyAnswer {
    /// First line.
    pub status_line: &'static str,
    /// What ends each line of the head.
    pub line_end: &'static str,
    /// Further lines of the head.
    pub headers: &'static [&'static str],
    /// How the body is framed.
    pub framing: Framing,
    /// Bytes of the body that are sent.
    pub sent: usize,
    /// Bytes of the request's body that are read before.
    pub read_before: usize,
    /// How the connection ends.
    pub end: EarlyEnd,
}

impl Default for EarlyAnswer {
    fn default() -> EarlyAnswer {
        EarlyAnswer {
            status_line: "HTTP/1.1 200 OK",
            line_end: "\r\n",
            headers: &[],
            framing: Framing::Unframed,
            sent: usize::MAX,
            read_before: 0,
            end: EarlyEnd::ReadOn,
        }
    }
}

/// How the connection of an early answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// It is reset.
    Reset,
    /// It is closed while bytes of the request are unread, on which the kernel resets it.
    Closed,
    /// The answer is ended, and the rest of the request is read.
    ReadOn,
    /// The answer is ended, and the connection is reset a while later.
    ResetLater,
    /// The process ends: the kernel closes its connections and its listener.
    Killed,
}

#[derive(Debug, Default)]
struct State {
    answer: EarlyAnswer,
    runs: Vec<String>,
}

/// A running upstream.
#[derive(Clone, Debug)]
pub struct EarlyUpstream {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    is_up: Arc<watch::Sender<bool>>,
    _port: Arc<ReservedPort>,
}

impl EarlyUpstream {
    /// Starts an upstream on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<EarlyUpstream> {
        let port = ReservedPort::new()?;
        let upstream = EarlyUpstream {
            id: id.to_owned(),
            addr: port.addr(),
            state: Arc::default(),
            is_up: Arc::new(watch::Sender::new(true)),
            _port: Arc::new(port),
        };
        let listener = crash::bind(upstream.addr)?;
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        tokio::spawn(upstream.clone().run(listener));
        Ok(upstream)
    }

    /// Returns the id of the upstream.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the answer to requests from now on.
    pub fn set_answer(&self, answer: EarlyAnswer) {
        self.lock().answer = answer;
    }

    /// Returns how often it ran the request with this id.
    pub fn run_count(&self, id: &str) -> usize {
        self.lock().runs.iter().filter(|r| *r == id).count()
    }

    /// Returns whether its process has ended.
    pub fn has_ended(&self) -> bool {
        !*self.is_up.borrow()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("upstream lock is not poisoned")
    }

    async fn run(self, listener: TcpListener) {
        let mut is_up = self.is_up.subscribe();
        let mut connections = JoinSet::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = self.clone();
                connections.spawn(async move {
                    let _ended_by_either_side = upstream.serve(stream).await;
                });
            }
        };
        tokio::select! {
            () = accept => {}
            _ended = is_up.wait_for(|up| !up) => {}
        }
        // A process that ends refuses connections before its open ones are closed.
        stop_listening(listener);
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buf = Vec::new();
        let head_end = loop {
            if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if stream.read_buf(&mut buf).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
        if REPORT_PATHS.iter().any(|p| head.contains(p)) {
            return self.report(&mut stream).await;
        }
        let id = header(&head, "attempt-id").unwrap_or_default().to_owned();
        let last_received = header(&head, "last-event-id").and_then(|v| v.parse().ok());
        let answer = {
            let mut state = self.lock();
            state.runs.push(id.clone());
            // A stream that is taken up is whole.
            last_received.map_or(state.answer, |_: u64| EarlyAnswer::default())
        };
        read_bytes(&mut stream, answer.read_before, buf.len() - head_end).await?;
        let text = self.answer_text(&answer, &head, &id, last_received.unwrap_or(0));
        stream.write_all(text.as_bytes()).await?;
        self.end(stream, answer.end).await
    }

    async fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let load = "\"active\":0,\"incarnation\":1,\"age_ms\":0,\"leaving\":false";
        let body = format!("{{\"id\":\"{}\",{load}}}", self.id);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        stream.write_all((head + &body).as_bytes()).await
    }

    /// Returns what is sent of an answer to the request with this head.
    fn answer_text(&self, answer: &EarlyAnswer, head: &str, id: &str, last: u64) -> String {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let is_stream = path.starts_with("/stream/") || path.starts_with("/resumed/");
        let content_type = if is_stream {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let events: Vec<String> = (last + 1..=LAST_EVENT).map(event_text).collect();
        let body = events.concat();
        let (framing, body) = match answer.framing {
            Framing::Unframed => (None, body[..answer.sent.min(body.len())].to_owned()),
            Framing::Length => {
                let sent = body[..answer.sent.min(body.len())].to_owned();
                (Some(format!("Content-Length: {}", body.len())), sent)
            }
            Framing::Chunked => {
                let chunk = |e: &String| format!("{:x}\r\n{e}\r\n", e.len());
                let whole = events.iter().map(chunk).collect::<String>() + "0\r\n\r\n";
                let sent = whole[..answer.sent.min(whole.len())].to_owned();
                (Some("Transfer-Encoding: chunked".to_owned()), sent)
            }
        };
        let mut lines = vec![
            answer.status_line.to_owned(),
            format!("Content-Type: {content_type}"),
            format!("Attempt-Id: {id}"),
            format!("Server-Stamp: {}", self.id),
        ];
        lines.extend(answer.headers.iter().map(|h| (*h).to_owned()));
        lines.extend(framing);
        let head = lines.join(answer.line_end);
        format!("{head}{0}{0}{body}", answer.line_end)
    }

    async fn end(&self, mut stream: TcpStream, end: EarlyEnd) -> io::Result<()> {
        match end {
            EarlyEnd::Reset => {
                tokio::time::sleep(READING_TIME).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))
            }
            // Without unread bytes the connection would not be reset.
            EarlyEnd::Closed => stream.peek(&mut [0]).await.map(|_| ()),
            EarlyEnd::ReadOn => {
                stream.shutdown().await?;
                read_bytes(&mut stream, usize::MAX, 0).await
            }
            EarlyEnd::ResetLater => {
                stream.shutdown().await?;
                tokio::time::sleep(RESET_DELAY).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))
            }
            EarlyEnd::Killed => {
                self.is_up.send_replace(false);
                std::future::pending().await
            }
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().filter_map(|l| l.split_once(':'));
    let found = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.trim())
}

/// Reads until `wanted` bytes were read, `read` of them before, or the peer has ended.
async fn read_bytes(stream: &mut TcpStream, wanted: usize, mut read: usize) -> io::Result<()> {
    let mut buf = vec![0; READ_BYTES];
    while read < wanted {
        match stream.read(&mut buf).await? {
            0 => break,
            n => read += n,
        }
    }
    Ok(())
}
