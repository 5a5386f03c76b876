//! A stand-in of the users' upstreams: answers by script, with all the ways in which they fail. It
//! speaks to the socket directly, since it has to break the protocol at times.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Pause between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Longest head that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What the upstream does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Answers 200 with its id and the length of the body it got.
    Echo,
    /// Answers as the path asks: nine events below /stream/ and /resumed/, else as `Echo`.
    ByPath,
    /// Answers with a status of its own.
    Status(u16),
    /// Says that it did not run the request.
    NotRun(u16),
    /// Streams events up to this id, from the one after Last-Event-Id.
    Stream(u64),
    /// Streams events up to this id, half of the next, and breaks off.
    Cut(u64),
    /// Streams events up to this id and then nothing, until the other side closes the connection.
    Stall(u64),
    /// Runs the request and closes the connection without an answer.
    CloseUnanswered,
    /// Answers, and adds another answer that belongs to no request.
    ExtraAnswer,
    /// Answers without a length, ended by the connection.
    CloseDelimited,
    /// Answers 200 without its receipt.
    NoReceipt,
    /// Sends bytes that are no answer.
    Garbage,
    /// Never answers.
    Hang,
}

/// A request that reached the upstream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// First line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// False when the upstream said that it did not run the request.
    pub ran: bool,
}

impl ReceivedRequest {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Reply>,
    default: Option<Reply>,
    received: Vec<ReceivedRequest>,
    connections: usize,
    open: usize,
}

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct ScriptedUpstream {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ScriptedUpstream {
    /// Starts an upstream on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be had.
    pub async fn start(id: &str) -> io::Result<ScriptedUpstream> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let upstream = ScriptedUpstream {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = serving.clone();
                tokio::spawn(async move {
                    upstream.lock().connections += 1;
                    upstream.lock().open += 1;
                    let _ended_by_either_side = upstream.serve(stream).await;
                    upstream.lock().open -= 1;
                });
            }
        });
        Ok(upstream)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what it does with the next requests, in order.
    pub fn extend_script<I>(&self, replies: I)
    where
        I: IntoIterator<Item = Reply>,
    {
        self.lock().script.extend(replies);
    }

    /// Sets what it does when the script is at its end.
    pub fn set_default(&self, reply: Reply) {
        self.lock().default = Some(reply);
    }

    /// Requests that reached it.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Connections it has had.
    pub fn total_connections(&self) -> usize {
        self.lock().connections
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.lock().open
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buf = Vec::new();
        while let Some(mut req) = read(&mut stream, &mut buf).await? {
            let reply = {
                let mut state = self.lock();
                let default = state.default.clone().unwrap_or(Reply::Echo);
                let reply = state.script.pop_front().unwrap_or(default);
                req.ran = !matches!(reply, Reply::NotRun(_));
                state.received.push(req.clone());
                reply
            };
            if !self.perform(&mut stream, &req, reply).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Carries out an reply; true when the connection goes on.
    async fn perform(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        reply: Reply,
    ) -> io::Result<bool> {
        let id = req.header("attempt-id").unwrap_or_default();
        let stamp = format!("Server-Stamp: {}\r\n", self.id);
        let body = format!("{} {}", self.id, req.body.len());
        let streams = ["/stream/", "/resumed/"];
        let streams = streams.iter().any(|p| req.line.contains(p));
        match reply {
            Reply::ByPath if streams => return self.stream(stream, req, 9, End::Complete).await,
            Reply::Echo | Reply::ByPath => stream.write_all(&whole(200, id, &stamp, &body)).await?,
            Reply::Status(code) => stream.write_all(&whole(code, id, &stamp, &body)).await?,
            Reply::NotRun(code) => {
                let header = "Not-Executed: 1\r\n";
                stream.write_all(&whole(code, id, header, "")).await?;
            }
            Reply::NoReceipt => stream.write_all(&whole(200, id, "", &body)).await?,
            Reply::ExtraAnswer => {
                stream.write_all(&whole(200, id, &stamp, &body)).await?;
                let extra = whole(200, "another", &stamp, "not yours");
                stream.write_all(&extra).await?;
            }
            Reply::CloseDelimited => {
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{stamp}\r\n{body}");
                stream.write_all(head.as_bytes()).await?;
                return Ok(false);
            }
            Reply::Garbage => {
                stream
                    .write_all(b"\x00\x01 no answer at all\r\n\r\n")
                    .await?;
                return Ok(false);
            }
            Reply::CloseUnanswered => return Ok(false),
            Reply::Hang => return Ok(closed(stream).await),
            Reply::Stream(last) => return self.stream(stream, req, last, End::Complete).await,
            Reply::Cut(last) => return self.stream(stream, req, last, End::Cut).await,
            Reply::Stall(last) => return self.stream(stream, req, last, End::Stall).await,
        }
        Ok(true)
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        last: u64,
        end: End,
    ) -> io::Result<bool> {
        let id = req.header("attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nServer-Stamp: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).await?;
        let from: u64 = req
            .header("last-event-id")
            .map_or(0, |v| v.parse().unwrap_or(0));
        for event in from + 1..=last {
            chunk(stream, &format!("id: {event}\ndata: piece {event}\n\n")).await?;
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        match end {
            End::Complete => stream.write_all(b"0\r\n\r\n").await.map(|()| true),
            End::Cut => {
                let torn = format!("id: {}\nda", last + 1);
                chunk(stream, &torn).await.map(|()| false)
            }
            End::Stall => Ok(closed(stream).await),
        }
    }
}

/// How a stream ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Complete,
    Cut,
    Stall,
}

/// Waits until the other side closes the connection; it can be used no more then.
async fn closed(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 1];
    let _closed_by_the_other_side = stream.read(&mut rest).await;
    false
}

async fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).await
}

fn whole(code: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {code} Status\r\nAttempt-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    head.into_bytes()
}

/// Reads one request; none at the end of the connection.
async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<ReceivedRequest>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > MAX_HEAD_BYTES || stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let mut req = ReceivedRequest {
        ran: true,
        line,
        headers,
        body: Vec::new(),
    };
    let length: usize = req
        .header("content-length")
        .map_or(0, |v| v.parse().unwrap_or(0));
    while buf.len() < end + length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    req.body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some(req))
}
