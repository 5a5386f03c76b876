//! Replies of a scripted upstream that mix up responses: a refusal that is written once more, an error in the place of
//! the rest of a stream, and a response that stops at any byte.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::scripted_upstream::ReceivedRequest;
use crate::stream_shape::{Framing, event_text};

/// Time for which the peer can read what was written before the connection ends.
const READING_TIME: Duration = Duration::from_millis(10);
/// Id of the last event of a stream.
const LAST_EVENT: u64 = 9;
/// Id of a request that was refused earlier.
const EARLIER_ID: &str = "earlier";

/// A faulty reply. What is sound of it is a stream of nine events below /stream/ and /resumed/, and otherwise the
/// upstream's id and the length of the received body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultyReply {
    /// Runs the request, and writes a refusal once more.
    RefusalCopy(RefusalCopy),
    /// Runs the request, and responds with an error.
    Error(ErrorResponse),
    /// Runs the request, and stops in its response.
    CutResponse(CutResponse),
    /// Streams events up to this id and breaks off within the next one. Requests that take a stream up get the other
    /// reply.
    InStream(u64, Box<FaultyReply>),
}

/// A refusal that is written once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalCopy {
    /// Status of the refusal.
    pub status: u16,
    /// Request that it names.
    pub names: NamedRequest,
    /// Whether it states that the request did not run.
    pub states_not_run: bool,
    /// Where it is written.
    pub place: CopyPlace,
}

/// Request that a copy names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedRequest {
    /// An earlier one.
    Earlier,
    /// None.
    Nobody,
    /// The one that is being answered.
    Current,
}

/// Place of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyPlace {
    /// Ahead of the response.
    Before,
    /// Right after the response.
    After,
    /// In the place of the second chunk of the body.
    BetweenChunks,
    /// In the place of the rest of the response, whose head stopped after so many bytes, at the latest in its last
    /// value.
    WithinHead(usize),
}

/// An error as a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// Status.
    pub status: u16,
    /// Content type, if it has one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: &'static str,
    /// How the body is framed.
    pub framing: Framing,
}

/// A response that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutResponse {
    /// Bytes of the response that are written.
    pub bytes: usize,
    /// Interim response ahead of it.
    pub interim: &'static str,
    /// How its body is framed.
    pub framing: Framing,
    /// How the connection ends then.
    pub end: ConnectionEnd,
}

/// End of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is closed.
    Closed,
    /// It is reset.
    Reset,
}

/// Writes a faulty reply to a request. `stamp` holds the headers that mark the upstream's own responses. Returns true
/// if the connection can be reused.
pub(crate) async fn send(
    stream: &mut TcpStream,
    upstream: &str,
    stamp: &str,
    req: &ReceivedRequest,
    reply: &FaultyReply,
) -> io::Result<bool> {
    let takes_up = req.header("last-event-id").is_some();
    let reply = match reply {
        FaultyReply::InStream(_, then) if takes_up => then,
        other => other,
    };
    let sound = Response::sound(upstream, stamp, req);
    match reply {
        FaultyReply::RefusalCopy(copy) => write_copy(stream, &sound, copy).await,
        FaultyReply::Error(error) => write_error(stream, &sound, error).await,
        FaultyReply::CutResponse(cut) => write_cut(stream, &sound, cut).await,
        FaultyReply::InStream(last, _) => write_broken(stream, &sound, *last).await,
    }
}

/// A sound response whose parts are not framed yet.
struct Response {
    /// Id of the request, empty if it has none.
    id: String,
    stamp: String,
    content_type: &'static str,
    parts: Vec<String>,
}

impl Response {
    fn sound(upstream: &str, stamp: &str, req: &ReceivedRequest) -> Response {
        let id = req.header("attempt-id").unwrap_or_default().to_owned();
        let last_received = req.header("last-event-id").and_then(|v| v.parse().ok());
        let is_stream = ["/stream/", "/resumed/"]
            .iter()
            .any(|p| req.line.contains(p));
        let (content_type, parts) = match is_stream {
            true => {
                let events = last_received.unwrap_or(0) + 1..=LAST_EVENT;
                ("text/event-stream", events.map(event_text).collect())
            }
            false => {
                let body = vec![format!("{upstream} "), req.body.len().to_string()];
                ("text/plain", body)
            }
        };
        Response {
            id,
            stamp: stamp.to_owned(),
            content_type,
            parts,
        }
    }

    /// Returns the head up to its framing.
    fn head(&self) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {}\r\n{}{}",
            self.content_type,
            id_line(&self.id),
            self.stamp
        )
    }

    fn framed(&self, framing: Framing) -> String {
        let head = self.head();
        let body = self.parts.concat();
        match framing {
            Framing::Chunked => {
                let chunks: String = self.parts.iter().map(|p| chunk(p)).collect();
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
            }
            Framing::Length => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
            Framing::Unframed => format!("{head}Connection: close\r\n\r\n{body}"),
        }
    }
}

fn id_line(id: &str) -> String {
    match id {
        "" => String::new(),
        id => format!("Attempt-Id: {id}\r\n"),
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn refusal_text(copy: &RefusalCopy, current: &str) -> String {
    let id = id_line(match copy.names {
        NamedRequest::Earlier => EARLIER_ID,
        NamedRequest::Nobody => "",
        NamedRequest::Current => current,
    });
    let not_run = match copy.states_not_run {
        true => "Not-Executed: 1\r\n",
        false => "",
    };
    let status = copy.status;
    format!("HTTP/1.1 {status} Status\r\n{id}{not_run}Content-Length: 0\r\n\r\n")
}

async fn write_copy(
    stream: &mut TcpStream,
    sound: &Response,
    copy: &RefusalCopy,
) -> io::Result<bool> {
    let refusal = refusal_text(copy, &sound.id);
    let framed = sound.framed(Framing::Chunked);
    let text = match copy.place {
        CopyPlace::Before => refusal + &framed,
        CopyPlace::After => framed + &refusal,
        CopyPlace::BetweenChunks => {
            let second = chunk(&sound.parts[1]);
            framed.replacen(&second, &refusal, 1)
        }
        CopyPlace::WithinHead(bytes) => {
            let head = sound.head();
            let head = head.trim_end();
            head[..bytes.min(head.len())].to_owned() + &refusal
        }
    };
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

async fn write_error(
    stream: &mut TcpStream,
    sound: &Response,
    error: &ErrorResponse,
) -> io::Result<bool> {
    let content_type = error.content_type;
    let content_type = content_type.map_or_else(String::new, |t| format!("Content-Type: {t}\r\n"));
    let (status, body) = (error.status, error.body);
    let head = format!(
        "HTTP/1.1 {status} Status\r\nAttempt-Id: {}\r\n{}{content_type}",
        sound.id, sound.stamp
    );
    let text = match error.framing {
        Framing::Chunked if body.is_empty() => {
            format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
        }
        Framing::Chunked => format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
            chunk(body)
        ),
        Framing::Length => format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()),
        Framing::Unframed => format!("{head}Connection: close\r\n\r\n{body}"),
    };
    stream.write_all(text.as_bytes()).await?;
    Ok(error.framing != Framing::Unframed)
}

async fn write_cut(
    stream: &mut TcpStream,
    sound: &Response,
    cut: &CutResponse,
) -> io::Result<bool> {
    let framed = sound.framed(cut.framing);
    let written = &framed[..cut.bytes.min(framed.len())];
    stream.write_all(cut.interim.as_bytes()).await?;
    stream.write_all(written.as_bytes()).await?;
    if written.len() == framed.len() && cut.framing != Framing::Unframed {
        return Ok(true);
    }
    if cut.end == ConnectionEnd::Reset {
        tokio::time::sleep(READING_TIME).await;
        SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(false)
}

async fn write_broken(stream: &mut TcpStream, sound: &Response, last: u64) -> io::Result<bool> {
    let events: String = (1..=last).map(|id| chunk(&event_text(id))).collect();
    let part = chunk(&format!("id: {}\nda", last + 1));
    let text = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n{events}{part}",
        sound.head()
    );
    stream.write_all(text.as_bytes()).await?;
    // The peer reads the events ahead of the end of the connection.
    tokio::time::sleep(READING_TIME).await;
    Ok(false)
}
