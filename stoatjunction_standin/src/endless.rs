//! Responses that never end.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::scripted_upstream::{EndlessPart, Pace};

/// Bytes that are written at once when sending fast.
const BLOCK_BYTES: usize = 16 * 1024;
/// Bytes of a large event that are sent at once.
const LARGE_EVENT_BYTES: usize = 1_000_000;

/// Sends a response that begins with `head` and whose part never ends, until the peer closes the
/// connection.
///
/// # Errors
///
/// The I/O error by which the connection ended.
pub(crate) async fn send(
    stream: &mut TcpStream,
    head: &str,
    part: EndlessPart,
    pace: Pace,
) -> io::Result<bool> {
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let event_stream =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let (beginning, repeated) = match part {
        EndlessPart::SmallChunks => (format!("{event_stream}6\r\ndata: \r\n"), "1\r\nx\r\n"),
        EndlessPart::Head => (head.to_owned(), "X-More: 0123456789abcdef\r\n"),
        EndlessPart::Interim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
        EndlessPart::ChunkSize => (chunked, "0"),
        EndlessPart::Event => (format!("{event_stream}7fffffff\r\ndata: "), "x"),
        EndlessPart::LargeEvent => {
            let begun = "x".repeat(LARGE_EVENT_BYTES);
            (format!("{event_stream}7fffffff\r\ndata: {begun}"), "x")
        }
        EndlessPart::Body => (format!("{head}\r\n"), "x"),
        EndlessPart::Trailers => (format!("{chunked}0\r\n"), "X-More: 0123456789abcdef\r\n"),
        EndlessPart::Line => (String::new(), "x"),
        EndlessPart::SmallHeaders => (head.to_owned(), "a:b\r\n"),
        EndlessPart::FoldedHeader => (format!("{head}X-More: a\r\n"), " more\r\n"),
        EndlessPart::ChunkExtension => (format!("{chunked}1"), ";a=b"),
        EndlessPart::LongBody => {
            let length = format!("Content-Length: {}", u64::MAX / 2);
            (format!("{head}{length}\r\n\r\n"), "x")
        }
        EndlessPart::ErrorBody => {
            let head = head.replace("200 OK", "500 Internal Server Error");
            (format!("{head}\r\n"), "x")
        }
        EndlessPart::AfterBody => (format!("{head}Content-Length: 2\r\n\r\nok"), "x"),
        EndlessPart::AfterLastChunk => (format!("{chunked}2\r\nok\r\n0\r\n\r\n"), "x"),
        EndlessPart::AfterNoContent => {
            let head = head.replace("200 OK", "204 No Content");
            (format!("{head}\r\n"), "x")
        }
    };
    stream.write_all(beginning.as_bytes()).await?;
    match pace {
        Pace::Slow(interval) => trickle(stream, repeated, interval).await,
        Pace::Fast => {
            let block = repeated.repeat(BLOCK_BYTES.div_ceil(repeated.len()));
            loop {
                stream.write_all(block.as_bytes()).await?;
            }
        }
    }
}

/// Sends the bytes again and again, one in each interval, until the peer closes the connection.
///
/// # Errors
///
/// The I/O error by which the connection ended.
pub(crate) async fn trickle(
    stream: &mut TcpStream,
    bytes: &str,
    interval: Duration,
) -> io::Result<bool> {
    loop {
        for byte in bytes.bytes() {
            stream.write_all(&[byte]).await?;
            tokio::time::sleep(interval).await;
        }
    }
}
