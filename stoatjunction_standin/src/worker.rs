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
const PACE: Duration = Duration::from_millis(5);
/// Longest head that is read.
const MAX_HEAD: usize = 64 * 1024;

/// What the upstream does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers 200 with its id and the length of the body it got.
    Answer,
    /// Answers as the path asks: nine events below /stream/ and /resumed/, else as `Answer`.
    AsAsked,
    /// Answers with a status of its own.
    Status(u16),
    /// Says that it did not run the request.
    NotRun(u16),
    /// Streams events up to this id, from the one after Last-Event-Id.
    Stream(u64),
    /// Streams events up to this id, half of the next, and breaks off.
    Cut(u64),
    /// Streams events up to this id and then nothing, until the other side closes the connection.
    Pause(u64),
    /// Runs the request and closes the connection without an answer.
    Lost,
    /// Answers, and adds another answer that belongs to no request.
    Extra,
    /// Answers without a length, ended by the connection.
    Unframed,
    /// Answers 200 without its receipt.
    NoReceipt,
    /// Sends bytes that are no answer.
    Garbage,
    /// Never answers.
    Hang,
}

/// A request that reached the upstream.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// First line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// False when the upstream said that it did not run the request.
    pub ran: bool,
}

impl Seen {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Act>,
    usual: Option<Act>,
    seen: Vec<Seen>,
    connections: usize,
    open: usize,
}

/// A running stand-in.
#[derive(Clone, Debug)]
pub struct Worker {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Worker {
    /// Starts an upstream on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// An I/O error when no port can be had.
    pub async fn start(id: &str) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Worker {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            state: Arc::default(),
        };
        let serving = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = serving.clone();
                tokio::spawn(async move {
                    worker.lock().connections += 1;
                    worker.lock().open += 1;
                    let _ended_by_either_side = worker.serve(stream).await;
                    worker.lock().open -= 1;
                });
            }
        });
        Ok(worker)
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
    pub fn script<I>(&self, acts: I)
    where
        I: IntoIterator<Item = Act>,
    {
        self.lock().script.extend(acts);
    }

    /// Sets what it does when the script is at its end.
    pub fn usually(&self, act: Act) {
        self.lock().usual = Some(act);
    }

    /// Requests that reached it.
    pub fn seen(&self) -> Vec<Seen> {
        self.lock().seen.clone()
    }

    /// Connections it has had.
    pub fn connections(&self) -> usize {
        self.lock().connections
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the state panics")
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buf = Vec::new();
        while let Some(mut seen) = read(&mut stream, &mut buf).await? {
            let act = {
                let mut state = self.lock();
                let usual = state.usual.clone().unwrap_or(Act::Answer);
                let act = state.script.pop_front().unwrap_or(usual);
                seen.ran = !matches!(act, Act::NotRun(_));
                state.seen.push(seen.clone());
                act
            };
            if !self.act(&mut stream, &seen, act).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Carries out an act; true when the connection goes on.
    async fn act(&self, stream: &mut TcpStream, seen: &Seen, act: Act) -> io::Result<bool> {
        let id = seen.header("attempt-id").unwrap_or_default();
        let stamp = format!("Server-Stamp: {}\r\n", self.id);
        let body = format!("{} {}", self.id, seen.body.len());
        let streams = ["/stream/", "/resumed/"];
        let streams = streams.iter().any(|p| seen.line.contains(p));
        match act {
            Act::AsAsked if streams => return self.stream(stream, seen, 9, End::Whole).await,
            Act::Answer | Act::AsAsked => stream.write_all(&whole(200, id, &stamp, &body)).await?,
            Act::Status(code) => stream.write_all(&whole(code, id, &stamp, &body)).await?,
            Act::NotRun(code) => {
                let header = "Not-Executed: 1\r\n";
                stream.write_all(&whole(code, id, header, "")).await?;
            }
            Act::NoReceipt => stream.write_all(&whole(200, id, "", &body)).await?,
            Act::Extra => {
                stream.write_all(&whole(200, id, &stamp, &body)).await?;
                let extra = whole(200, "another", &stamp, "not yours");
                stream.write_all(&extra).await?;
            }
            Act::Unframed => {
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{stamp}\r\n{body}");
                stream.write_all(head.as_bytes()).await?;
                return Ok(false);
            }
            Act::Garbage => {
                stream
                    .write_all(b"\x00\x01 no answer at all\r\n\r\n")
                    .await?;
                return Ok(false);
            }
            Act::Lost => return Ok(false),
            Act::Hang => return Ok(closed(stream).await),
            Act::Stream(last) => return self.stream(stream, seen, last, End::Whole).await,
            Act::Cut(last) => return self.stream(stream, seen, last, End::Cut).await,
            Act::Pause(last) => return self.stream(stream, seen, last, End::Quiet).await,
        }
        Ok(true)
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        seen: &Seen,
        last: u64,
        end: End,
    ) -> io::Result<bool> {
        let id = seen.header("attempt-id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nServer-Stamp: {}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).await?;
        let from: u64 = seen
            .header("last-event-id")
            .map_or(0, |v| v.parse().unwrap_or(0));
        for event in from + 1..=last {
            chunk(stream, &format!("id: {event}\ndata: piece {event}\n\n")).await?;
            tokio::time::sleep(PACE).await;
        }
        match end {
            End::Whole => stream.write_all(b"0\r\n\r\n").await.map(|()| true),
            End::Cut => {
                let torn = format!("id: {}\nda", last + 1);
                chunk(stream, &torn).await.map(|()| false)
            }
            End::Quiet => Ok(closed(stream).await),
        }
    }
}

/// How a stream ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Whole,
    Cut,
    Quiet,
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
async fn read(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Seen>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > MAX_HEAD || stream.read_buf(buf).await? == 0 {
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
    let mut seen = Seen {
        ran: true,
        line,
        headers,
        body: Vec::new(),
    };
    let length: usize = seen
        .header("content-length")
        .map_or(0, |v| v.parse().unwrap_or(0));
    while buf.len() < end + length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    seen.body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some(seen))
}
