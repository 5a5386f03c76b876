//! Event streams of a scripted upstream that are framed, written and ended in a given way.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time for which the peer can read what was written before its connection is reset.
const READING_TIME: Duration = Duration::from_millis(20);

/// Shape of an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamShape {
    /// Id of the last event.
    pub last: u64,
    /// Events that are written at once.
    pub batch: u64,
    /// Time between two writes.
    pub gap: Duration,
    /// How the body is framed.
    pub framing: Framing,
    /// How a run ends that takes no stream up; one that does is whole.
    pub end: StreamEnd,
    /// Whether runs that take a stream up begin after the event that they name.
    pub resumes: bool,
    /// Event that is left out by runs that take a stream up and begin two events or more before it.
    pub left_out: Option<u64>,
}

impl Default for StreamShape {
    fn default() -> StreamShape {
        StreamShape {
            last: 9,
            batch: 1,
            gap: Duration::from_millis(5),
            framing: Framing::Chunked,
            end: StreamEnd::Whole,
            resumes: true,
            left_out: None,
        }
    }
}

/// How the body of a response is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// By its length.
    Length,
    /// Its end is the end of the connection.
    Unframed,
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With its last event.
    Whole,
    /// The connection is closed after so many bytes of the body.
    Closed(usize),
    /// The connection is reset after so many bytes of the body.
    Reset(usize),
    /// The process ends after so many bytes of the body: the kernel closes its connections and its listener.
    Killed(usize),
}

/// What happens to the connection after a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum After {
    /// It is used again.
    Keep,
    /// It is closed.
    Close,
    /// The process ends.
    Kill,
}

/// Returns an event of a stream.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Writes a stream behind the lines of `head`, which has no framing header.
pub(crate) async fn send(
    stream: &mut TcpStream,
    head: &str,
    shape: &StreamShape,
    last_received: Option<u64>,
) -> io::Result<After> {
    let first = match shape.resumes {
        true => last_received.unwrap_or(0) + 1,
        false => 1,
    };
    let left_out = shape.left_out;
    let left_out = left_out.filter(|id| last_received.is_some() && first + 1 < *id);
    let events: Vec<String> = (first..=shape.last)
        .filter(|id| Some(*id) != left_out)
        .map(event_text)
        .collect();
    let end = match last_received {
        Some(_) => StreamEnd::Whole,
        None => shape.end,
    };
    let mut left = match end {
        StreamEnd::Whole => usize::MAX,
        StreamEnd::Closed(bytes) | StreamEnd::Reset(bytes) | StreamEnd::Killed(bytes) => bytes,
    };
    let length = events.iter().map(String::len).sum::<usize>();
    let framing = match shape.framing {
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::Length => format!("Content-Length: {length}\r\n"),
        Framing::Unframed => "Connection: close\r\n".to_owned(),
    };
    stream
        .write_all(format!("{head}{framing}\r\n").as_bytes())
        .await?;
    for batch in events.chunks(shape.batch.max(1) as usize) {
        let text = batch.concat();
        let part = &text[..text.len().min(left)];
        if !part.is_empty() {
            write_part(stream, part, shape.framing).await?;
        }
        left -= part.len();
        if left == 0 {
            break;
        }
        tokio::time::sleep(shape.gap).await;
    }
    finish(stream, shape.framing, end).await
}

async fn write_part(stream: &mut TcpStream, part: &str, framing: Framing) -> io::Result<()> {
    let written = match framing {
        Framing::Chunked => format!("{:x}\r\n{part}\r\n", part.len()),
        Framing::Length | Framing::Unframed => part.to_owned(),
    };
    stream.write_all(written.as_bytes()).await
}

async fn finish(stream: &mut TcpStream, framing: Framing, end: StreamEnd) -> io::Result<After> {
    match (end, framing) {
        (StreamEnd::Whole, Framing::Chunked) => {
            stream.write_all(b"0\r\n\r\n").await?;
            Ok(After::Keep)
        }
        (StreamEnd::Whole, Framing::Length) => Ok(After::Keep),
        (StreamEnd::Whole, Framing::Unframed) | (StreamEnd::Closed(_), _) => Ok(After::Close),
        (StreamEnd::Reset(_), _) => {
            tokio::time::sleep(READING_TIME).await;
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            Ok(After::Close)
        }
        (StreamEnd::Killed(_), _) => Ok(After::Kill),
    }
}
