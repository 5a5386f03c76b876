//! Links between processes: one bidirectional HTTP/2 stream per connection that carries `bincode`
//! messages, each behind a length prefix of four bytes. Both ends send heartbeats; an end that
//! receives nothing for the timeout closes the link.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::outgoing;

/// Largest message that is accepted, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// HTTP/2 flow-control window of a link, in bytes.
const FLOW_CONTROL_WINDOW: u32 = 16 * 1024 * 1024;
/// Length of the prefix of each message, in bytes.
const PREFIX_BYTES: usize = 4;
/// Largest number of messages sent in one write.
const MAX_BATCH: usize = 256;

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Time without a message to send after which a heartbeat is sent.
    pub heartbeat: Duration,
    /// Time without received data after which the link is closed.
    pub timeout: Duration,
    /// Capacity of the send and receive queues, in messages. A link whose send queue is full counts
    /// as dead.
    pub queue: usize,
    /// Counters shared by all links of the process.
    pub traffic: Arc<TrafficCounters>,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            heartbeat: Duration::from_millis(250),
            timeout: Duration::from_millis(1_000),
            queue: 16_384,
            traffic: Arc::default(),
        }
    }
}

/// Traffic counters over all links of a process.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Bytes sent, including length prefixes and heartbeats.
    pub sent_bytes: AtomicU64,
    /// Bytes received, including length prefixes and heartbeats.
    pub received_bytes: AtomicU64,
    /// Writes to a link: batches of messages, and heartbeats.
    pub sent_messages: AtomicU64,
}

impl TrafficCounters {
    /// Returns the counters by name, for the admin interface.
    pub fn totals(&self) -> serde_json::Value {
        serde_json::json!({
            "sent_bytes": self.sent_bytes.load(Ordering::Relaxed),
            "received_bytes": self.received_bytes.load(Ordering::Relaxed),
            "sent_messages": self.sent_messages.load(Ordering::Relaxed),
        })
    }
}

/// Sending end of a link. The link closes when all clones are dropped.
#[derive(Debug)]
pub struct LinkTx<M> {
    tx: mpsc::Sender<M>,
}

impl<M> Clone for LinkTx<M> {
    fn clone(&self) -> Self {
        LinkTx {
            tx: self.tx.clone(),
        }
    }
}

impl<M> LinkTx<M> {
    /// Queues `message` for sending. Returns false if the link is closed or its queue is full.
    pub fn send(&self, message: M) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// Returns true once the link is closed.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

/// Receiving end of a link; yields `None` once the link is closed.
pub type LinkRx<M> = mpsc::Receiver<M>;

/// Opens a link to `addr`.
///
/// # Errors
///
/// An I/O error if the peer cannot be reached within the timeout of `cfg`.
pub async fn connect<Out, In>(
    addr: &str,
    cfg: LinkSettings,
) -> io::Result<(LinkTx<Out>, LinkRx<In>)>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let open_timeout = cfg.timeout;
    let opened = timeout(open_timeout, open_stream(addr)).await;
    let (send, res) = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let response = timeout(open_timeout, res).await;
    let response = response.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    let recv = response.map_err(io::Error::other)?.into_body();
    Ok(spawn_io_task(send, recv, cfg))
}

async fn open_stream(addr: &str) -> io::Result<(SendStream<Bytes>, h2::client::ResponseFuture)> {
    let stream = outgoing::connect(addr).await?;
    stream.set_nodelay(true)?;
    let builder = h2::client::Builder::new()
        .initial_window_size(FLOW_CONTROL_WINDOW)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW)
        .clone();
    let (sender, conn) = builder.handshake(stream).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        let _result = conn.await;
    });
    let mut sender = sender.ready().await.map_err(io::Error::other)?;
    let req = http::Request::post("http://link/v1/link")
        .body(())
        .map_err(io::Error::other)?;
    let (res, send) = sender.send_request(req, false).map_err(io::Error::other)?;
    Ok((send, res))
}

/// Accepts the link that the peer opens on `stream`.
///
/// # Errors
///
/// An I/O error if the peer does not open a link within the timeout of `cfg`.
pub async fn accept<Out, In>(
    stream: TcpStream,
    cfg: LinkSettings,
) -> io::Result<(LinkTx<Out>, LinkRx<In>)>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned + Send + 'static,
{
    stream.set_nodelay(true)?;
    let open_timeout = cfg.timeout;
    let opened = timeout(open_timeout, accept_stream(stream)).await;
    let (send, recv) = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(spawn_io_task(send, recv, cfg))
}

async fn accept_stream(stream: TcpStream) -> io::Result<(SendStream<Bytes>, RecvStream)> {
    let builder = h2::server::Builder::new()
        .initial_window_size(FLOW_CONTROL_WINDOW)
        .initial_connection_window_size(FLOW_CONTROL_WINDOW)
        .clone();
    let mut conn = builder.handshake(stream).await.map_err(io::Error::other)?;
    let Some(opened) = conn.accept().await else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let (req, mut respond) = opened.map_err(io::Error::other)?;
    let res = http::Response::new(());
    let send = respond
        .send_response(res, false)
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The connection must be polled for the link's stream to make progress; a link uses one
        // stream, so any other is refused.
        while let Some(Ok((_, mut extra_stream))) = conn.accept().await {
            extra_stream.send_reset(h2::Reason::REFUSED_STREAM);
        }
    });
    Ok((send, req.into_body()))
}

fn spawn_io_task<Out, In>(
    send: SendStream<Bytes>,
    recv: RecvStream,
    cfg: LinkSettings,
) -> (LinkTx<Out>, LinkRx<In>)
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let (out_tx, out_rx) = mpsc::channel(cfg.queue);
    let (in_tx, in_rx) = mpsc::channel(cfg.queue);
    tokio::spawn(async move {
        // The link ends as soon as either direction ends.
        tokio::select! {
            () = send_loop(send, out_rx, &cfg) => {}
            () = receive_loop(recv, in_tx, &cfg) => {}
        }
    });
    (LinkTx { tx: out_tx }, in_rx)
}

async fn send_loop<M>(mut send: SendStream<Bytes>, mut rx: mpsc::Receiver<M>, cfg: &LinkSettings)
where
    M: Serialize,
{
    let mut batch = Vec::with_capacity(MAX_BATCH);
    loop {
        let received = timeout(cfg.heartbeat, rx.recv_many(&mut batch, MAX_BATCH)).await;
        let mut buf = BytesMut::new();
        match received {
            Ok(0) => {
                let _ = send.send_data(Bytes::new(), true);
                return;
            }
            Ok(_) => batch.drain(..).for_each(|m| encode(&m, &mut buf)),
            Err(_) => buf.put_u32(0),
        }
        cfg.traffic
            .sent_bytes
            .fetch_add(buf.len() as u64, Ordering::Relaxed);
        cfg.traffic.sent_messages.fetch_add(1, Ordering::Relaxed);
        if send.send_data(buf.freeze(), false).is_err() {
            return;
        }
    }
}

async fn receive_loop<M>(mut recv: RecvStream, tx: mpsc::Sender<M>, cfg: &LinkSettings)
where
    M: DeserializeOwned,
{
    let mut buf = BytesMut::new();
    let mut last_received = Instant::now();
    loop {
        let Ok(Some(Ok(data))) =
            tokio::time::timeout_at(last_received + cfg.timeout, recv.data()).await
        else {
            return;
        };
        last_received = Instant::now();
        cfg.traffic
            .received_bytes
            .fetch_add(data.len() as u64, Ordering::Relaxed);
        let _ = recv.flow_control().release_capacity(data.len());
        buf.extend_from_slice(&data);
        loop {
            match decode(&mut buf) {
                Ok(None) => break,
                Ok(Some(message)) => {
                    if tx.send(message).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    log::warn!("event=link_message_invalid error={:?}", e.to_string());
                    return;
                }
            }
        }
    }
}

/// Appends `message` with its length prefix to `buf`. A message that cannot be encoded is logged
/// and left out.
pub fn encode<M>(message: &M, buf: &mut BytesMut)
where
    M: Serialize,
{
    let content = bincode::serde::encode_to_vec(message, bincode::config::standard());
    match content {
        Ok(content) => {
            buf.put_u32(content.len() as u32);
            buf.put_slice(&content);
        }
        Err(e) => log::error!("event=link_message_encode_failed error={:?}", e.to_string()),
    }
}

/// Removes the next message from the front of `buf`, skipping heartbeats. Returns `None` until a
/// whole message is buffered.
///
/// # Errors
///
/// An I/O error if the message is too long or cannot be decoded.
pub fn decode<M>(buf: &mut BytesMut) -> io::Result<Option<M>>
where
    M: DeserializeOwned,
{
    loop {
        if buf.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let len = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
        if len > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("message exceeds the size limit of a link"));
        }
        if buf.len() < PREFIX_BYTES + len {
            return Ok(None);
        }
        buf.advance(PREFIX_BYTES);
        if len == 0 {
            continue;
        }
        let content = buf.split_to(len);
        let decoded = bincode::serde::decode_from_slice(&content, bincode::config::standard());
        return decoded
            .map(|(message, _)| Some(message))
            .map_err(io::Error::other);
    }
}
