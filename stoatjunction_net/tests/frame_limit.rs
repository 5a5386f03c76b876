//! Frames without end break a connection; requests and data do not.

use std::io;

use stoatjunction_net::frame_limit::limit_frames;
use stoatjunction_net::read_limit::ReadCounter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use yare::parameterized;

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
/// Bytes that are far more than the limit.
const MANY_BYTES: usize = 1 << 20;

fn frame(kind: u8, payload: usize) -> Vec<u8> {
    let mut frame = (payload as u32).to_be_bytes()[1..].to_vec();
    frame.extend([kind, 0, 0, 0, 0, 1]);
    // Looks like headers of further frames if the length is read wrongly.
    frame.extend(vec![PING; payload]);
    frame
}

/// Reads the frame again and again, in pieces of `piece` bytes, with progress after each frame if `is_progress`.
async fn read(frame: Vec<u8>, piece: usize, is_progress: bool) -> io::Result<usize> {
    let counter = ReadCounter::default();
    let (mut peer, io) = tokio::io::duplex(piece);
    let mut io = limit_frames(io, counter.clone());
    let frames = frame.repeat(MANY_BYTES / frame.len());
    let sent = tokio::spawn(async move {
        peer.write_all(PREFACE).await?;
        peer.write_all(&frames).await
    });
    let mut total = 0;
    let mut buf = vec![0; piece];
    loop {
        match io.read(&mut buf).await? {
            0 => break,
            len => total += len,
        }
        if is_progress {
            counter.reset();
        }
    }
    let _reader_may_have_left = sent.await;
    Ok(total - PREFACE.len())
}

#[parameterized(
    pings = { frame(PING, 8), 4_096 },
    pings_in_small_pieces = { frame(PING, 8), 5 },
    settings = { frame(SETTINGS, 0), 4_096 },
    headers = { frame(HEADERS, 1_000), 4_096 },
    empty_data = { frame(DATA, 0), 4_096 },
    settings_between_data = { [frame(SETTINGS, 0), frame(DATA, 1)].concat(), 4_096 },
)]
#[test_macro(tokio::test)]
async fn frames_without_end_break_the_connection(frame: Vec<u8>, piece: usize) {
    let read = read(frame, piece, false).await;

    assert_eq!(read.unwrap_err().kind(), io::ErrorKind::InvalidData);
}

#[parameterized(
    data = { frame(DATA, 16_384), 4_096, false },
    data_in_single_bytes = { frame(DATA, 100), 1, false },
    short_data = { frame(DATA, 1), 4_096, false },
    headers_of_requests = { frame(HEADERS, 1_000), 4_096, true },
)]
#[test_macro(tokio::test)]
async fn data_and_frames_with_progress_pass(frame: Vec<u8>, piece: usize, is_progress: bool) {
    let expected = MANY_BYTES / frame.len() * frame.len();

    let read = read(frame, piece, is_progress).await;

    assert_eq!(read.unwrap(), expected);
}
