//! Stand-in for the users' upstreams that replies by a script, including all kinds of failures. It
//! writes to the socket directly, since some replies violate HTTP.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

pub use crate::crash::CrashMode;
use crate::crash::{self, Poison, Status};
use crate::defect::DefectState;
pub use crate::defect::{Defect, Effect};
use crate::drawn_stream::{self, DrawnRun, RunDraw, RunRequest};
use crate::endless;
use crate::faulty_reply::{self, FaultyReply};
use crate::listener::stop_listening;
use crate::reserved_port::ReservedPort;
use crate::stream_shape::{self, After, StreamShape};

/// Interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two bytes of a stream that has stalled.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(20);
/// Path at which the upstream reports its start.
const REPORT_PATH: &str = "/stoatjunction/report";
/// Start of an upstream that was never started again, in milliseconds since the Unix epoch.
pub const FIRST_BORN: u64 = 1_700_000_000_000;
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// How the upstream replies to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Responds with 200, the upstream's id and the length of the received body.
    Echo,
    /// Replies by path: streams nine events below /stream/ and /resumed/, otherwise like `Echo`.
    ByPath,
    /// Responds with this status.
    Status(u16),
    /// Responds with this status and states that the request was not run.
    NotRun(u16),
    /// Streams events up to this id, starting after Last-Event-Id.
    Stream(u64),
    /// Streams events up to this id and half of the next one, then closes the connection.
    Cut(u64),
    /// Streams events up to this id, then sends nothing until the peer closes the connection.
    Stall(u64),
    /// Runs the request and closes the connection without a response.
    CloseWithoutResponse,
    /// Like `Echo`, followed by a second response that belongs to no request.
    ExtraResponse,
    /// Like `Echo`, and sends a copy of the response before the next one on the same connection.
    LateCopy {
        /// Whether the copy names the request that it belongs to.
        has_id: bool,
    },
    /// Streams events up to this id with this time between them.
    SlowStream(u64, Duration),
    /// Streams events up to this id with data of this many bytes, as fast as the peer reads.
    LargeStream(u64, usize),
    /// The same, but closes the connection once the peer has not read for this time.
    AbortUnread(u64, usize, Duration),
    /// A stream of this shape.
    Shaped(StreamShape),
    /// Runs the request and mixes responses up.
    Faulty(FaultyReply),
    /// A stream of which each run is drawn; below /stream/ and /resumed/, with its last event at the end of the path.
    Drawn(RunDraw),
    /// A stream up to this event that begins after a time.
    LateStream(u64, Duration),
    /// Streams events up to this id, then these bytes again and again, one at a time, until the peer closes
    /// the connection.
    Trickle(u64, &'static str),
    /// Sends this part of a response without end, until the peer closes the connection.
    Endless(EndlessPart, Pace),
    /// Like `Echo`, but the body has no length and ends when the connection is closed.
    CloseDelimited,
    /// Like `Echo`, but without the upstream's signature.
    NoSignature,
    /// Sends bytes that are not HTTP and closes the connection.
    Garbage,
    /// Never replies.
    Hang,
}

/// Part of a response that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// Headers.
    Head,
    /// Interim responses.
    Interim,
    /// The line with the size of a chunk.
    ChunkSize,
    /// One event of a stream.
    Event,
    /// One event of a stream, in chunks of a byte each.
    SmallChunks,
    /// One event of a stream, after a megabyte of it.
    LargeEvent,
    /// A body without length.
    Body,
    /// Trailers after the last chunk.
    Trailers,
    /// Bytes that are no HTTP and have no line end, in place of a response.
    Line,
    /// Headers of a few bytes each.
    SmallHeaders,
    /// Lines that continue a header.
    FoldedHeader,
    /// The extension of a chunk.
    ChunkExtension,
    /// A body of a huge length.
    LongBody,
    /// The body of a response with status 500.
    ErrorBody,
    /// Bytes after a whole response with a length.
    AfterBody,
    /// Bytes after the last chunk of a whole response.
    AfterLastChunk,
    /// Bytes after a response that has no body.
    AfterNoContent,
}

/// How fast an endless part is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// As fast as the peer reads.
    Fast,
    /// A byte in each of these intervals.
    Slow(Duration),
}

/// A request received by the upstream.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// False if the upstream stated that it did not run the request.
    pub ran: bool,
}

impl ReceivedRequest {
    /// Returns the value of a header, given its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns whether the path or a part of the prompt contains `marker`.
    pub(crate) fn holds(&self, marker: &str) -> bool {
        let prompt = self.header("prompt-prefix").unwrap_or_default();
        self.line.contains(marker) || prompt.contains(marker)
    }
}

/// A crash of the upstream under a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Time of the crash.
    pub at: Instant,
    /// Request line.
    pub line: String,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Reply>,
    default: Option<Reply>,
    received: Vec<ReceivedRequest>,
    connections: usize,
    open: usize,
    /// What the upstream says of itself in all responses, by header name.
    statements: BTreeMap<String, String>,
    arrivals: Vec<Instant>,
    poison: Option<Poison>,
    crashes: Vec<Crash>,
    /// Version of its software that the events of its streams name.
    version: Option<String>,
    /// Start that it reports.
    born: u64,
    report_mode: ReportMode,
    /// Number of requests for its report.
    reports: usize,
    /// Connections beyond this number are reset.
    connection_limit: Option<usize>,
    /// Rest of a connection after which whatever comes next on it is reset.
    max_rest: Option<Duration>,
    /// Number of connections that were reset for either reason.
    resets: usize,
    /// Time that each request takes before its reply.
    work_time: Duration,
    /// Requests being handled.
    running: usize,
    defect: Option<DefectState>,
    /// Replies to requests whose path contains a text.
    by_path: Vec<(String, Reply)>,
    /// Number of responses that were aborted because they were not read.
    aborted: usize,
    /// Runs of drawn streams, the oldest first.
    drawn_runs: Vec<DrawnRun>,
}

/// How the upstream replies to requests for its report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportMode {
    /// It reports its start.
    #[default]
    Born,
    /// The report does not name its start.
    WithoutBorn,
    /// It never replies.
    Silent,
}

/// A running scripted upstream.
#[derive(Clone, Debug)]
pub struct ScriptedUpstream {
    id: String,
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    status: Arc<watch::Sender<Status>>,
    _port: Arc<ReservedPort>,
}

impl ScriptedUpstream {
    /// Starts an upstream on a free port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<ScriptedUpstream> {
        let port = ReservedPort::new()?;
        let listener = crash::bind(port.addr())?;
        let upstream = ScriptedUpstream {
            id: id.to_owned(),
            addr: port.addr(),
            state: Arc::new(Mutex::new(State {
                born: FIRST_BORN,
                ..State::default()
            })),
            status: Arc::new(watch::channel(Status::Up).0),
            _port: Arc::new(port),
        };
        tokio::spawn(upstream.clone().run(listener));
        Ok(upstream)
    }

    /// Accepts connections until the upstream crashes, and again once it is restarted.
    async fn run(self, mut listener: TcpListener) {
        let mut status = self.status.subscribe();
        loop {
            let mut connections = JoinSet::new();
            let ended = tokio::select! {
                () = self.accept(&listener, &mut connections) => return,
                ended = status.wait_for(|s| *s != Status::Up) => ended.map(|s| *s),
            };
            let Ok(ended) = ended else { return };
            if ended == Status::Down {
                // A process that ends refuses connections before its open ones are closed.
                stop_listening(listener);
                drop(connections);
                let _sender_is_held = status.wait_for(|s| *s == Status::Up).await;
            } else {
                let _filling = crash::stop_accepting(&listener).await;
                let _sender_is_held = status.wait_for(|s| *s == Status::Up).await;
                drop((connections, listener));
            }
            listener = match crash::bind(self.addr) {
                Ok(listener) => listener,
                Err(_) => return,
            };
        }
    }

    async fn accept(&self, listener: &TcpListener, connections: &mut JoinSet<()>) {
        while let Ok((stream, _)) = listener.accept().await {
            while connections.try_join_next().is_some() {}
            if self.is_at_limit() {
                self.reset(&stream);
                continue;
            }
            let upstream = self.clone();
            let open = OpenConnection::new(&upstream.state);
            connections.spawn(async move {
                let _open = open;
                let mut status = upstream.status.subscribe();
                let (mut stream, mut buf) = (stream, Vec::new());
                let went_dark = tokio::select! {
                    _closed = upstream.serve(&mut stream, &mut buf) => false,
                    ended = status.wait_for(|s| *s == Status::Dark) => ended.is_ok(),
                };
                if went_dark {
                    std::future::pending::<()>().await;
                }
            });
        }
    }

    /// Returns the id of the upstream.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Appends replies for the next requests to the script.
    pub fn extend_script<I>(&self, replies: I)
    where
        I: IntoIterator<Item = Reply>,
    {
        self.lock().script.extend(replies);
    }

    /// Sets the reply when the script is empty.
    pub fn set_default(&self, reply: Reply) {
        self.lock().default = Some(reply);
    }

    /// Sets the reply to requests whose path contains `marker`.
    pub fn reply_on(&self, marker: &str, reply: Reply) {
        self.lock().by_path.push((marker.to_owned(), reply));
    }

    /// Returns the number of responses that were aborted because they were not read.
    pub fn aborted_count(&self) -> usize {
        self.lock().aborted
    }

    /// Returns the runs of drawn streams, the oldest first.
    pub fn drawn_runs(&self) -> Vec<DrawnRun> {
        self.lock().drawn_runs.clone()
    }

    /// Crashes in this way whenever a request whose path or prompt contains `marker` is received.
    pub fn crash_on(&self, marker: &str, mode: CrashMode) {
        let marker = marker.to_owned();
        self.lock().poison = Some(Poison { marker, mode });
    }

    /// Names a limit in requests a second in all responses from now on, or none.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.say("Server-Limit", limit);
    }

    /// Names this version of its software in the events of its streams from now on.
    pub fn set_version(&self, version: &str) {
        self.lock().version = Some(version.to_owned());
    }

    /// Reports this start from now on, in milliseconds since the Unix epoch.
    pub fn set_born(&self, born: u64) {
        self.lock().born = born;
    }

    /// Sets how it replies to requests for its report.
    pub fn set_report_mode(&self, mode: ReportMode) {
        self.lock().report_mode = mode;
    }

    /// Returns the number of requests for its report. They are not among [`ScriptedUpstream::received`].
    pub fn report_count(&self) -> usize {
        self.lock().reports
    }

    /// Takes this time for each request from now on before it replies.
    pub fn set_work_time(&self, work_time: Duration) {
        self.lock().work_time = work_time;
    }

    /// Handles some of the requests badly from now on.
    pub fn set_defect(&self, defect: Defect) {
        self.lock().defect = Some(DefectState::new(defect));
    }

    /// Returns when each request was received that was handled badly, the oldest first.
    pub fn bad_replies(&self) -> Vec<Instant> {
        let state = self.lock();
        let defect = state.defect.as_ref();
        defect.map_or_else(Vec::new, |d| d.affected_at().to_vec())
    }

    /// Sends the header in all responses from now on, or no longer.
    pub fn say(&self, header: &str, value: Option<&str>) {
        let statements = &mut self.lock().statements;
        match value {
            Some(value) => statements.insert(header.to_owned(), value.to_owned()),
            None => statements.remove(header),
        };
    }

    /// Resets connections beyond this number from now on, or none.
    pub fn set_connection_limit(&self, limit: Option<usize>) {
        self.lock().connection_limit = limit;
    }

    /// Forgets connections that rest for longer from now on, and resets them when something comes; or forgets none.
    pub fn set_max_rest(&self, max_rest: Option<Duration>) {
        self.lock().max_rest = max_rest;
    }

    /// Returns the number of connections that were reset beyond the limit or after a rest.
    pub fn reset_count(&self) -> usize {
        self.lock().resets
    }

    fn is_at_limit(&self) -> bool {
        let state = self.lock();
        state.connection_limit.is_some_and(|max| state.open >= max)
    }

    /// Has a connection reset when it is dropped.
    fn reset(&self, stream: &TcpStream) {
        self.lock().resets += 1;
        if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
            log::warn!("event=connection_not_reset reason={e}");
        }
    }

    /// Waits for the next bytes on a connection, and returns whether the upstream has forgotten it meanwhile.
    async fn is_forgotten(&self, stream: &TcpStream) -> io::Result<bool> {
        let rests_since = Instant::now();
        let bytes = stream.peek(&mut [0]).await?;
        let max_rest = self.lock().max_rest;
        Ok(bytes > 0 && max_rest.is_some_and(|max| rests_since.elapsed() > max))
    }

    /// Returns when each request arrived, the oldest first.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Returns the crashes so far, the oldest first.
    pub fn crashes(&self) -> Vec<Crash> {
        self.lock().crashes.clone()
    }

    /// Returns whether the upstream has crashed and was not started again.
    pub fn is_crashed(&self) -> bool {
        *self.status.borrow() != Status::Up
    }

    /// Ends the upstream: its connections are closed and new ones are refused.
    pub fn stop(&self) {
        self.status.send_replace(Status::Down);
    }

    /// Starts the upstream again after a crash, at the same address. It reports another start from now on.
    pub fn restart(&self) {
        self.lock().born += 1;
        self.status.send_replace(Status::Up);
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.lock().received.clone()
    }

    /// Returns the number of connections accepted so far.
    pub fn total_connections(&self) -> usize {
        self.lock().connections
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().open
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("upstream lock is not poisoned")
    }

    async fn serve(&self, stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
        let mut late_copy = Vec::new();
        let mut is_used = false;
        loop {
            if std::mem::replace(&mut is_used, true)
                && buf.is_empty()
                && self.is_forgotten(stream).await?
            {
                self.reset(stream);
                return Ok(());
            }
            let Some(mut req) = read_request(stream, buf).await? else {
                return Ok(());
            };
            stream.write_all(&std::mem::take(&mut late_copy)).await?;
            if req.line.split(' ').nth(1) == Some(REPORT_PATH) {
                self.report(stream).await?;
                continue;
            }
            if !self.is_meant(&req) {
                req.ran = false;
                self.lock().received.push(req.clone());
                self.perform(stream, &req, Reply::NotRun(421)).await?;
                continue;
            }
            let poison = self.lock().poison.clone();
            if let Some(poison) = poison.filter(|p| req.holds(&p.marker)) {
                return self.crash(stream, req, poison.mode).await;
            }
            let (reply, delay, _running) = {
                let mut state = self.lock();
                let default = state.default.clone().unwrap_or(Reply::Echo);
                let by_path = state.by_path.iter().find(|(m, _)| req.line.contains(m));
                let by_path = by_path.map(|(_, reply)| reply.clone());
                let reply = by_path.or_else(|| state.script.pop_front());
                let mut reply = reply.unwrap_or(default);
                let mut delay = state.work_time;
                state.running += 1;
                let running = state.running;
                match state.defect.as_mut().and_then(|d| d.next(&req, running)) {
                    Some(Effect::Reply(bad)) => reply = bad,
                    Some(Effect::Delay(by)) => delay += by,
                    None => {}
                }
                req.ran = !matches!(reply, Reply::NotRun(_));
                state.received.push(req.clone());
                state.arrivals.push(Instant::now());
                (reply, delay, RunningRequest(self.state.clone()))
            };
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if let Reply::LateCopy { has_id } = reply {
                late_copy = self.echo(&req, has_id);
            }
            if !self.perform(stream, &req, reply).await? {
                return Ok(());
            }
        }
    }

    /// Returns whether the request is meant for this upstream: it names this one or none.
    fn is_meant(&self, req: &ReceivedRequest) -> bool {
        let expected = req.header("expected-instance");
        expected.is_none_or(|id| id == self.id)
    }

    /// Replies to a request for the report.
    async fn report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let (mode, born) = {
            let mut state = self.lock();
            state.reports += 1;
            (state.report_mode, state.born)
        };
        let body = match mode {
            ReportMode::Born => format!("{{\"id\":\"{}\",\"born\":{born}}}", self.id),
            ReportMode::WithoutBorn => format!("{{\"id\":\"{}\"}}", self.id),
            ReportMode::Silent => std::future::pending().await,
        };
        stream.write_all(&frame(200, "-", "", &body)).await
    }

    /// Returns the response to a request, which names it or not.
    fn echo(&self, req: &ReceivedRequest, has_id: bool) -> Vec<u8> {
        let id = req.header("attempt-id").unwrap_or_default();
        let body = format!("{} {}", self.id, req.body.len());
        let stamp = format!("Server-Stamp: {}\r\n", self.id);
        let framed = frame(200, id, &stamp, &body);
        if has_id {
            return framed;
        }
        let text = String::from_utf8_lossy(&framed);
        text.replace(&format!("Attempt-Id: {id}\r\n"), "")
            .into_bytes()
    }

    /// Begins the response as far as `mode` says, and ends the upstream.
    async fn crash(
        &self,
        stream: &mut TcpStream,
        req: ReceivedRequest,
        mode: CrashMode,
    ) -> io::Result<()> {
        self.lock().received.push(req.clone());
        if mode.begins_response() {
            let id = req.header("attempt-id").unwrap_or_default();
            stream
                .write_all(crash::begun_response(&self.id, id, &req.line).as_bytes())
                .await?;
            // Lets the sender read the beginning before the connection is reset.
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        if let CrashMode::Late(delay) = mode {
            tokio::time::sleep(delay).await;
        }
        self.lock().crashes.push(Crash {
            at: Instant::now(),
            line: req.line,
        });
        self.status.send_replace(mode.status());
        std::future::pending().await
    }

    fn statement_headers(&self) -> String {
        let state = self.lock();
        let lines = state.statements.iter();
        lines.map(|(n, v)| format!("{n}: {v}\r\n")).collect()
    }

    /// Sends a reply. Returns true if the connection can be reused.
    async fn perform(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        reply: Reply,
    ) -> io::Result<bool> {
        let id = req.header("attempt-id").unwrap_or_default();
        let said = self.statement_headers();
        let stamp = format!("Server-Stamp: {}\r\n{said}", self.id);
        let body = format!("{} {}", self.id, req.body.len());
        let stream_paths = ["/stream/", "/resumed/"];
        let is_stream = stream_paths.iter().any(|p| req.line.contains(p));
        match reply {
            Reply::ByPath if is_stream => return self.stream(stream, req, 9, End::Complete).await,
            Reply::Echo | Reply::ByPath | Reply::LateCopy { .. } => {
                stream.write_all(&frame(200, id, &stamp, &body)).await?;
            }
            Reply::Status(code) => stream.write_all(&frame(code, id, &stamp, &body)).await?,
            Reply::NotRun(code) => {
                let header = format!("Not-Executed: 1\r\n{said}");
                stream.write_all(&frame(code, id, &header, "")).await?;
            }
            Reply::NoSignature => stream.write_all(&frame(200, id, "", &body)).await?,
            Reply::ExtraResponse => {
                stream.write_all(&frame(200, id, &stamp, &body)).await?;
                let extra = frame(200, "another", &stamp, "not yours");
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
            Reply::CloseWithoutResponse => return Ok(false),
            Reply::Hang => return Ok(wait_closed(stream).await),
            Reply::Stream(last) => return self.stream(stream, req, last, End::Complete).await,
            Reply::Cut(last) => return self.stream(stream, req, last, End::Cut).await,
            Reply::Stall(last) => return self.stream(stream, req, last, End::Stall).await,
            Reply::Shaped(shape) => return self.shaped_stream(stream, req, &shape).await,
            Reply::Faulty(faulty) => {
                return faulty_reply::send(stream, &self.id, &stamp, req, &faulty).await;
            }
            Reply::Drawn(draw) => return self.drawn_stream(stream, req, &draw).await,
            Reply::LateStream(last, delay) => {
                tokio::time::sleep(delay).await;
                return self.stream(stream, req, last, End::Complete).await;
            }
            Reply::SlowStream(last, gap) => {
                let end = End::Complete;
                return self.stream_events(stream, req, last, gap, end).await;
            }
            Reply::LargeStream(last, bytes) => {
                return self.large_stream(stream, req, last, bytes, None).await;
            }
            Reply::AbortUnread(last, bytes, unread_for) => {
                let limit = Some(unread_for);
                return self.large_stream(stream, req, last, bytes, limit).await;
            }
            Reply::Trickle(last, bytes) => {
                return self.stream(stream, req, last, End::Trickle(bytes)).await;
            }
            Reply::Endless(part, pace) => {
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\n{stamp}");
                return endless::send(stream, &head, part, pace).await;
            }
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
        self.stream_events(stream, req, last, EVENT_INTERVAL, end)
            .await
    }

    /// Streams large events. Closes the connection once nothing could be written for `unread_limit`.
    async fn large_stream(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        last: u64,
        bytes: usize,
        unread_limit: Option<Duration>,
    ) -> io::Result<bool> {
        let head = self.stream_head(req);
        stream.write_all(head.as_bytes()).await?;
        let data = "x".repeat(bytes);
        for event in 1..=last {
            let text = format!("id: {event}\ndata: {data}\n\n");
            let written = write_chunk(stream, &text);
            match unread_limit {
                None => written.await?,
                Some(limit) => match tokio::time::timeout(limit, written).await {
                    Ok(written) => written?,
                    Err(_) => {
                        self.lock().aborted += 1;
                        return Ok(false);
                    }
                },
            }
        }
        stream.write_all(b"0\r\n\r\n").await.map(|()| true)
    }

    /// Streams events in a given shape, and ends with its process if the shape says so.
    async fn shaped_stream(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        shape: &StreamShape,
    ) -> io::Result<bool> {
        let head = self.unframed_head(req);
        let last_received = req.header("last-event-id").and_then(|v| v.parse().ok());
        let after = stream_shape::send(stream, &head, shape, last_received).await?;
        self.end_run(after).await
    }

    /// Streams events in a run that is drawn.
    async fn drawn_stream(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        draw: &RunDraw,
    ) -> io::Result<bool> {
        let head = self.unframed_head(req);
        let planned = drawn_stream::plan(
            draw,
            RunRequest {
                path: req.line.split(' ').nth(1).unwrap_or_default().to_owned(),
                attempt: req.header("attempt-id").unwrap_or_default().to_owned(),
                last_received: req.header("last-event-id").and_then(|v| v.parse().ok()),
                upstream: self.id.clone(),
                version: self.lock().version.clone().unwrap_or_default(),
            },
        );
        let index = {
            let mut state = self.lock();
            state.drawn_runs.push(planned.run.clone());
            state.drawn_runs.len() - 1
        };
        let after = planned.send(stream, &head).await?;
        self.lock().drawn_runs[index].has_ended = true;
        self.end_run(after).await
    }

    /// Returns whether the connection can be reused after a run of a stream, unless the process ends with it.
    async fn end_run(&self, after: After) -> io::Result<bool> {
        match after {
            After::Keep => Ok(true),
            After::Close => Ok(false),
            After::Kill => {
                self.status.send_replace(Status::Down);
                std::future::pending().await
            }
        }
    }

    /// Returns the head of the response that streams events in chunks.
    fn stream_head(&self, req: &ReceivedRequest) -> String {
        let head = self.unframed_head(req);
        format!("{head}Transfer-Encoding: chunked\r\n\r\n")
    }

    /// Returns the lines of that head that do not frame the body.
    fn unframed_head(&self, req: &ReceivedRequest) -> String {
        let id = req.header("attempt-id").unwrap_or_default();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\nServer-Stamp: {}\r\n{}",
            self.id,
            self.statement_headers()
        )
    }

    async fn stream_events(
        &self,
        stream: &mut TcpStream,
        req: &ReceivedRequest,
        last: u64,
        gap: Duration,
        end: End,
    ) -> io::Result<bool> {
        let head = self.stream_head(req);
        stream.write_all(head.as_bytes()).await?;
        let last_received: u64 = req
            .header("last-event-id")
            .map_or(0, |v| v.parse().unwrap_or(0));
        for event in last_received + 1..=last {
            let version = self.lock().version.clone();
            let version = version.map_or_else(String::new, |v| format!(" of {v}"));
            let text = format!("id: {event}\ndata: piece {event}{version}\n\n");
            write_chunk(stream, &text).await?;
            tokio::time::sleep(gap).await;
        }
        match end {
            End::Complete => stream.write_all(b"0\r\n\r\n").await.map(|()| true),
            End::Cut => {
                let partial = format!("id: {}\nda", last + 1);
                write_chunk(stream, &partial).await.map(|()| false)
            }
            End::Stall => Ok(wait_closed(stream).await),
            End::Trickle(bytes) => loop {
                for byte in bytes.chars() {
                    write_chunk(stream, &byte.to_string()).await?;
                    tokio::time::sleep(TRICKLE_INTERVAL).await;
                }
            },
        }
    }
}

/// Counts a connection until it is dropped.
struct OpenConnection(Arc<Mutex<State>>);

impl OpenConnection {
    fn new(state: &Arc<Mutex<State>>) -> OpenConnection {
        let mut s = state.lock().expect("upstream lock is not poisoned");
        s.connections += 1;
        s.open += 1;
        OpenConnection(state.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().expect("upstream lock is not poisoned").open -= 1;
    }
}

/// Counts a request as running until it is dropped.
struct RunningRequest(Arc<Mutex<State>>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.0.lock().expect("upstream lock is not poisoned");
        state.running -= 1;
    }
}

/// How an event stream ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Complete,
    Cut,
    Stall,
    Trickle(&'static str),
}

/// Waits until the peer closes the connection. Returns false: the connection cannot be reused.
async fn wait_closed(stream: &mut TcpStream) -> bool {
    let mut rest = [0; 1];
    let _closed_by_peer = stream.read(&mut rest).await;
    false
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let framed = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(framed.as_bytes()).await
}

/// Returns a response whose body is framed by Content-Length.
fn frame(code: u16, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {code} Status\r\nAttempt-Id: {id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    head.into_bytes()
}

/// Reads one request. Returns `None` when the connection ends.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    let end = loop {
        if let Some(blank_line) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break blank_line + 4;
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
