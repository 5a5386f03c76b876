//! Links between processes: one `h2` stream each way on one connection, carrying `bincode`
//! messages behind a length of four bytes. Both ends send heartbeats; an end that hears nothing
//! for the timeout closes the link.

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

/// Largest message in bytes.
const MAX_MESSAGE: usize = 64 * 1024 * 1024;
/// Flow-control window of a link in bytes.
const WINDOW: u32 = 16 * 1024 * 1024;
/// Length of the prefix of each message in bytes.
const PREFIX: usize = 4;
/// Messages sent in one write at the most.
const BATCH: usize = 256;

/// Settings of a link.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Longest silence before a heartbeat is sent.
    pub heartbeat: Duration,
    /// Silence after which the link counts as dead.
    pub timeout: Duration,
    /// Messages waiting to be sent before the link counts as dead.
    pub queue: usize,
    /// Bytes and messages over all links of the process.
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

/// Counters over all links of a process.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Bytes of messages sent, with their prefixes.
    pub sent_bytes: AtomicU64,
    /// Bytes of messages received, with their prefixes.
    pub received_bytes: AtomicU64,
    /// Messages sent, heartbeats included.
    pub sent_messages: AtomicU64,
}

impl TrafficCounters {
    /// The counters by name, for the admin interface.
    pub fn totals(&self) -> serde_json::Value {
        serde_json::json!({
            "sent_bytes": self.sent_bytes.load(Ordering::Relaxed),
            "received_bytes": self.received_bytes.load(Ordering::Relaxed),
            "sent_messages": self.sent_messages.load(Ordering::Relaxed),
        })
    }
}

/// Sending end of a link. Dropping all clones closes the link.
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
    /// Hands `message` over for sending. False when the link is gone or its queue full.
    pub fn send(&self, message: M) -> bool {
        self.tx.try_send(message).is_ok()
    }

    /// True once the link is gone.
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }
}

/// Receiving end of a link; it yields `None` once the link is gone.
pub type LinkRx<M> = mpsc::Receiver<M>;

/// Opens a link to `addr`.
///
/// # Errors
///
/// An I/O error when the peer cannot be reached within the timeout of `cfg`.
pub async fn connect<Out, In>(
    addr: &str,
    cfg: LinkSettings,
) -> io::Result<(LinkTx<Out>, LinkRx<In>)>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let limit = cfg.timeout;
    let opened = timeout(limit, open(addr)).await;
    let (send, res) = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let answered = timeout(limit, res).await;
    let answered = answered.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    let recv = answered.map_err(io::Error::other)?.into_body();
    Ok(pump(send, recv, cfg))
}

async fn open(addr: &str) -> io::Result<(SendStream<Bytes>, h2::client::ResponseFuture)> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let builder = h2::client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .clone();
    let (sender, conn) = builder.handshake(stream).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        let _ended_by_either_side = conn.await;
    });
    let mut sender = sender.ready().await.map_err(io::Error::other)?;
    let req = http::Request::post("http://link/v1/link")
        .body(())
        .map_err(io::Error::other)?;
    let (res, send) = sender.send_request(req, false).map_err(io::Error::other)?;
    Ok((send, res))
}

/// Takes the link that the peer opens on `stream`.
///
/// # Errors
///
/// An I/O error when the peer does not open one within the timeout of `cfg`.
pub async fn accept<Out, In>(
    stream: TcpStream,
    cfg: LinkSettings,
) -> io::Result<(LinkTx<Out>, LinkRx<In>)>
where
    Out: Serialize + Send + 'static,
    In: DeserializeOwned + Send + 'static,
{
    stream.set_nodelay(true)?;
    let limit = cfg.timeout;
    let opened = timeout(limit, take_stream(stream)).await;
    let (send, recv) = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(pump(send, recv, cfg))
}

async fn take_stream(stream: TcpStream) -> io::Result<(SendStream<Bytes>, RecvStream)> {
    let builder = h2::server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
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
        // Polling the connection drives the link's stream; further streams are refused.
        while let Some(Ok((_, mut surplus))) = conn.accept().await {
            surplus.send_reset(h2::Reason::REFUSED_STREAM);
        }
    });
    Ok((send, req.into_body()))
}

fn pump<Out, In>(
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
        // Whichever direction ends first ends the link.
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
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        let got = timeout(cfg.heartbeat, rx.recv_many(&mut batch, BATCH)).await;
        let mut buf = BytesMut::new();
        match got {
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
    let mut heard = Instant::now();
    loop {
        let Ok(Some(Ok(data))) = tokio::time::timeout_at(heard + cfg.timeout, recv.data()).await
        else {
            return;
        };
        heard = Instant::now();
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
                    log::warn!("event=link_garbled error={:?}", e.to_string());
                    return;
                }
            }
        }
    }
}

/// Appends `message` with its prefix to `buf`.
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
        Err(e) => log::error!("event=encode_failed error={:?}", e.to_string()),
    }
}

/// Takes the next message from the front of `buf`; heartbeats are passed over.
///
/// # Errors
///
/// An I/O error when the bytes are not a message.
pub fn decode<M>(buf: &mut BytesMut) -> io::Result<Option<M>>
where
    M: DeserializeOwned,
{
    loop {
        if buf.len() < PREFIX {
            return Ok(None);
        }
        let len = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
        if len > MAX_MESSAGE {
            return Err(io::Error::other("message too long"));
        }
        if buf.len() < PREFIX + len {
            return Ok(None);
        }
        buf.advance(PREFIX);
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
