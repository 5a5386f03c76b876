//! HTTP server of the engine stand-in.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use stoatjunction_core::prefix::{estimate_tokens, prefix_hashes};
use stoatjunction_core::time::Span;
use stoatjunction_net::admin::query_value;
use stoatjunction_net::clock::{Clock, wall_ms};
use stoatjunction_net::http::{Body, BodyFrame, channel_body, serve};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;

use super::model::{EngineModel, EngineRequest, EngineSettings, Token};
use super::record::{EngineRecord, Start};
use crate::reply::{json as json_reply, number, text};

/// Content type of responses: one JSON object per chunk and line.
const CHUNKS_CONTENT_TYPE: &str = "application/x-ndjson";
/// Interval between load samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of load samples kept.
const MAX_SAMPLES: usize = 64;
/// Maximum number of cache events kept. A reader that missed an older one gets a response that
/// reports a gap.
const MAX_CACHE_EVENTS: usize = 1_024;

/// Request body of an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PromptRequest {
    /// Text of the prompt.
    pub prompt: String,
    /// Tag that the tokens of the answer consist of.
    pub tag: String,
    /// Output length in tokens. Only the engine reads it; no other component knows the length.
    pub max_tokens: u32,
    /// True if the request crashes the engine.
    pub poison: bool,
}

/// Returns the whole answer that an engine generates for a prompt with `tag` and `max_tokens`.
pub fn expected_answer(tag: &str, max_tokens: u32) -> String {
    (0..max_tokens).map(|i| token_text(tag, i)).collect()
}

fn token_text(tag: &str, index: u32) -> String {
    format!("{tag}.{index} ")
}

/// Fault injected into the chunks of responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChunkFault {
    /// No fault.
    #[default]
    None,
    /// Every chunk is sent twice.
    Duplicated,
    /// Neighbouring chunks are swapped.
    Swapped,
    /// Chunks of another request are interleaved.
    Foreign,
}

#[derive(Clone, Debug, Default)]
struct Answer {
    tag: String,
    chunks: Vec<(u64, String)>,
    length: u64,
    done: bool,
}

#[derive(Debug)]
struct Inner {
    model: EngineModel,
    cfg: EngineSettings,
    answers: IndexMap<String, Answer>,
    poison: Vec<String>,
    record: EngineRecord,
    incarnation: u64,
    started_ms: u64,
    leaving: bool,
    refusing: bool,
    chunk_fault: ChunkFault,
    report_lag: Duration,
    samples: VecDeque<LoadSample>,
    cache_first: u64,
    cache_events: VecDeque<u32>,
}

#[derive(Clone, Copy, Debug)]
struct LoadSample {
    at_ms: u64,
    active: u32,
    steps: u64,
    decode: Span,
}

/// State of an engine, shared by its connections and its clones.
#[derive(Clone, Debug)]
pub struct Engine {
    inner: Arc<Mutex<Inner>>,
    admitted: Arc<Notify>,
    progress: watch::Sender<u64>,
    crash: mpsc::UnboundedSender<Duration>,
    clock: Clock,
}

/// A running engine on a socket.
#[derive(Debug)]
pub struct EngineServer {
    /// Address of the server.
    pub addr: SocketAddr,
    /// State of the engine.
    pub engine: Engine,
    task: JoinHandle<()>,
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl EngineServer {
    /// Starts an engine on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start(addr: &str, cfg: EngineSettings) -> std::io::Result<EngineServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (crash, crashes) = mpsc::unbounded_channel();
        let inner = Inner {
            model: EngineModel::new(cfg.clone()),
            cfg,
            answers: IndexMap::new(),
            poison: Vec::new(),
            record: EngineRecord::default(),
            incarnation: fastrand::u64(1..),
            started_ms: wall_ms(),
            leaving: false,
            refusing: false,
            chunk_fault: ChunkFault::None,
            report_lag: Duration::from_millis(200),
            samples: VecDeque::new(),
            cache_first: 1,
            cache_events: VecDeque::new(),
        };
        let engine = Engine {
            inner: Arc::new(Mutex::new(inner)),
            admitted: Arc::new(Notify::new()),
            progress: watch::Sender::new(0),
            crash,
            clock: Clock::start(),
        };
        let task = tokio::spawn(engine.clone().supervise(listener, addr, crashes));
        Ok(EngineServer { addr, engine, task })
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Engine {
    /// Returns the record of what the engine did so far.
    pub fn record(&self) -> EngineRecord {
        self.lock().record.clone()
    }

    /// Returns the number of running requests.
    pub fn active(&self) -> u32 {
        self.lock().model.active()
    }

    /// Multiplies the duration of every following step by `factor`.
    pub fn set_slowdown(&self, factor: f64) {
        self.lock().model.set_slowdown(factor);
    }

    /// Sets whether the engine reports that it is leaving and refuses new requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Injects a fault into all chunks sent from now on.
    pub fn set_chunk_fault(&self, chunk_fault: ChunkFault) {
        self.lock().chunk_fault = chunk_fault;
    }

    /// Drops all state and connections, and restarts the engine after `downtime`.
    pub fn crash(&self, downtime: Duration) {
        let _ = self.crash.send(downtime);
    }

    async fn supervise(
        self,
        mut listener: TcpListener,
        addr: SocketAddr,
        mut crashes: mpsc::UnboundedReceiver<Duration>,
    ) {
        loop {
            let engine = self.clone();
            let (_open, closed) = watch::channel(false);
            let server = AbortOnDrop(tokio::spawn(serve(listener, closed, move |req, _| {
                let engine = engine.clone();
                async move { engine.handle(req).await }
            })));
            let stepper = AbortOnDrop(tokio::spawn(self.clone().run_steps()));
            let sampler = AbortOnDrop(tokio::spawn(self.clone().sample_load()));
            let Some(downtime) = crashes.recv().await else {
                return;
            };
            drop((server, stepper, sampler));
            self.reset();
            tokio::time::sleep(downtime).await;
            while crashes.try_recv().is_ok() {}
            listener = loop {
                match TcpListener::bind(addr).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(SAMPLE_INTERVAL).await,
                }
            };
            self.lock().started_ms = wall_ms();
        }
    }

    fn reset(&self) {
        let mut inner = self.lock();
        inner.record.crashes += 1;
        inner.model = EngineModel::new(inner.cfg.clone());
        inner.answers.clear();
        inner.poison.clear();
        inner.samples.clear();
        inner.cache_events.clear();
        inner.cache_first = 1;
        inner.incarnation = fastrand::u64(1..);
    }

    /// Steps the model in real time.
    async fn run_steps(self) {
        loop {
            let work = self.admitted.notified();
            let begun = self.lock().model.begin_step();
            let Some(span) = begun else {
                work.await;
                continue;
            };
            tokio::time::sleep(span.into()).await;
            self.end_step(span);
        }
    }

    fn end_step(&self, span: Span) {
        let mut inner = self.lock();
        let tokens = inner.model.end_step(span);
        for Token { id, index, last } in tokens {
            if inner.poison.contains(&id) {
                let _ = self.crash.send(Duration::from_millis(400));
                return;
            }
            let Some(answer) = inner.answers.get_mut(&id) else {
                continue;
            };
            let data = token_text(&answer.tag, index);
            let off = answer.length;
            answer.length += data.len() as u64;
            answer.chunks.push((off, data));
            answer.done = last;
            if last {
                inner.record.finished.push(id);
            }
        }
        let evicted = inner.model.take_evicted();
        inner.cache_events.extend(evicted);
        while inner.cache_events.len() > MAX_CACHE_EVENTS {
            inner.cache_events.pop_front();
            inner.cache_first += 1;
        }
        drop(inner);
        self.progress.send_modify(|n| *n += 1);
    }

    async fn sample_load(self) {
        let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
        loop {
            ticks.tick().await;
            let mut inner = self.lock();
            let (steps, decode) = inner.model.decode_totals();
            let active = inner.model.active();
            inner.samples.push_back(LoadSample {
                at_ms: wall_ms(),
                active,
                steps,
                decode,
            });
            if inner.samples.len() > MAX_SAMPLES {
                inner.samples.pop_front();
            }
        }
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/run") => self.run(req).await,
            (&Method::GET, "/v1/resume") => self.resume(&query),
            (&Method::POST, "/v1/cancel") => self.cancel(&query),
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/v1/cache-events") => self.cache(&query),
            (&Method::GET, "/v1/record") => json_reply(&self.record()),
            (&Method::POST, "/v1/control") => self.control(&query),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn run(&self, req: Request<Incoming>) -> Response<Body> {
        let header = |name: &str| {
            req.headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned)
        };
        let id = header("x-request-id").unwrap_or_default();
        let key = header("idempotency-key");
        let Ok(body) = req.into_body().collect().await.map(|b| b.to_bytes()) else {
            return text(StatusCode::BAD_REQUEST, "incomplete body");
        };
        let prompt: PromptRequest = serde_json::from_slice(&body).unwrap_or_default();
        if let Some(refusal) = self.refusal() {
            return refusal;
        }
        self.admit(&id, key, &prompt, &body);
        self.stream(&id, 0)
    }

    fn refusal(&self) -> Option<Response<Body>> {
        let inner = self.lock();
        if !inner.leaving && !inner.refusing {
            return None;
        }
        let res = Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header("x-not-started", "1");
        let res = if inner.leaving {
            res.header("x-leaving", "1")
        } else {
            res
        };
        res.body(stoatjunction_net::http::full("not started")).ok()
    }

    fn admit(&self, id: &str, key: Option<String>, prompt: &PromptRequest, body: &[u8]) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let engine_req = EngineRequest {
            id: id.to_owned(),
            prompt_tokens: estimate_tokens(body.len()),
            marks: prefix_hashes(body),
            output_tokens: prompt.max_tokens.max(1),
        };
        let prompt_tokens = engine_req.prompt_tokens;
        let cached = inner.model.admit(engine_req, now);
        inner.record.cached_tokens += u64::from(cached);
        inner.record.prefill_tokens += u64::from(prompt_tokens - cached);
        let tag = prompt.tag.clone();
        inner.record.record_start(Start {
            id: id.to_owned(),
            tag: tag.clone(),
            key,
            at_ms: wall_ms(),
        });
        inner.answers.insert(
            id.to_owned(),
            Answer {
                tag,
                ..Answer::default()
            },
        );
        if prompt.poison {
            inner.poison.push(id.to_owned());
        }
        drop(inner);
        self.admitted.notify_waiters();
    }

    fn resume(&self, query: &str) -> Response<Body> {
        let id = query_value(query, "id").unwrap_or("").to_owned();
        let off = number(query, "off").unwrap_or(0);
        if self.lock().answers.contains_key(&id) {
            return self.stream(&id, off);
        }
        let uptime = wall_ms().saturating_sub(self.lock().started_ms);
        let mut res = text(StatusCode::NOT_FOUND, "no such request");
        res.headers_mut().insert("x-uptime-ms", uptime.into());
        res
    }

    /// Returns the answer to `id` from byte `off` on, streamed as it is generated.
    fn stream(&self, id: &str, off: u64) -> Response<Body> {
        let (tx, rx) = mpsc::channel(64);
        tokio::spawn(self.clone().send_chunks(id.to_owned(), off, tx));
        let res = Response::builder()
            .header("content-type", CHUNKS_CONTENT_TYPE)
            .body(channel_body(rx));
        res.unwrap_or_else(|_| text(StatusCode::INTERNAL_SERVER_ERROR, ""))
    }

    async fn send_chunks(self, id: String, off: u64, tx: mpsc::Sender<BodyFrame>) {
        let mut progress = self.progress.subscribe();
        let mut sent = self.chunks_before(&id, off);
        loop {
            let Some((chunks, end, chunk_fault)) = self.chunks_after(&id, sent) else {
                return;
            };
            sent += chunks.len();
            let mut out = chunk_lines(&id, &chunks, chunk_fault);
            if let Some(length) = end {
                out.push_str(&json!({"id": id, "off": length, "end": true}).to_string());
                out.push('\n');
            }
            if !out.is_empty() && tx.send(Ok(Frame::data(out.into()))).await.is_err() {
                return;
            }
            if end.is_some() || progress.changed().await.is_err() {
                return;
            }
        }
    }

    fn chunks_before(&self, id: &str, off: u64) -> usize {
        let inner = self.lock();
        inner.answers.get(id).map_or(0, |a| {
            a.chunks
                .iter()
                .take_while(|(start, data)| start + data.len() as u64 <= off)
                .count()
        })
    }

    /// Returns the chunks from index `sent` on, the length once the answer is complete, and the chunk
    /// fault.
    #[allow(clippy::type_complexity)]
    fn chunks_after(
        &self,
        id: &str,
        sent: usize,
    ) -> Option<(Vec<(u64, String)>, Option<u64>, ChunkFault)> {
        let inner = self.lock();
        let answer = inner.answers.get(id)?;
        let end = answer.done.then_some(answer.length);
        Some((
            answer.chunks[sent.min(answer.chunks.len())..].to_vec(),
            end,
            inner.chunk_fault,
        ))
    }

    fn cancel(&self, query: &str) -> Response<Body> {
        let id = query_value(query, "id").unwrap_or("").to_owned();
        let mut inner = self.lock();
        let was_running = inner.model.cancel(&id).is_some();
        inner.answers.shift_remove(&id);
        if was_running {
            inner.record.cancelled.push(id);
        }
        text(StatusCode::OK, "cancelled")
    }

    fn load(&self) -> Response<Body> {
        let inner = self.lock();
        let now = wall_ms();
        let sampled_by = now.saturating_sub(inner.report_lag.as_millis() as u64);
        let latest = inner.samples.iter().rev().find(|s| s.at_ms <= sampled_by);
        let oldest = inner.samples.front();
        let pace = latest.zip(oldest).and_then(|(s, first)| {
            let steps = s.steps.saturating_sub(first.steps);
            (steps > 0).then(|| (s.decode - first.decode).as_secs_f64() / steps as f64)
        });
        json_reply(&json!({
            "active": latest.map_or(0, |s| s.active),
            "incarnation": inner.incarnation,
            "age_ms": latest.map_or(0, |s| now.saturating_sub(s.at_ms)),
            "token_pace_s": pace,
            "leaving": inner.leaving,
        }))
    }

    fn cache(&self, query: &str) -> Response<Body> {
        let after = number(query, "after").unwrap_or(0);
        let inner = self.lock();
        let last = inner.cache_first + inner.cache_events.len() as u64 - 1;
        let last_read = after.min(last);
        let gap = last_read + 1 < inner.cache_first || after > last;
        let skip = (last_read + 1).saturating_sub(inner.cache_first) as usize;
        let evicted: Vec<u32> = inner.cache_events.iter().skip(skip).copied().collect();
        json_reply(&json!({"last": last, "gap": gap, "evicted": evicted}))
    }

    fn control(&self, query: &str) -> Response<Body> {
        if let Some(ms) = number(query, "crash_ms") {
            self.crash(Duration::from_millis(ms));
        }
        let mut inner = self.lock();
        if let Some(factor) = query_value(query, "slow").and_then(|f| f.parse().ok()) {
            inner.model.set_slowdown(factor);
        }
        if let Some(ms) = number(query, "lag_ms") {
            inner.report_lag = Duration::from_millis(ms);
        }
        if let Some(flag) = query_value(query, "leaving") {
            inner.leaving = flag == "true";
        }
        if let Some(flag) = query_value(query, "refusing") {
            inner.refusing = flag == "true";
        }
        if let Some(chunk_fault) = query_value(query, "disorder") {
            inner.chunk_fault = match chunk_fault {
                "twice" => ChunkFault::Duplicated,
                "swapped" => ChunkFault::Swapped,
                "foreign" => ChunkFault::Foreign,
                _ => ChunkFault::None,
            };
        }
        text(StatusCode::OK, "set")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("engine lock is not poisoned")
    }
}

/// Returns the chunks as lines with `chunk_fault` applied.
fn chunk_lines(id: &str, chunks: &[(u64, String)], chunk_fault: ChunkFault) -> String {
    let line =
        |(off, data): &(u64, String)| format!("{}\n", json!({"id": id, "off": off, "data": data}));
    match chunk_fault {
        ChunkFault::None => chunks.iter().map(line).collect(),
        ChunkFault::Duplicated => chunks.iter().flat_map(|c| [line(c), line(c)]).collect(),
        ChunkFault::Swapped => chunks
            .chunks(2)
            .flat_map(|pair| pair.iter().rev())
            .map(line)
            .collect(),
        ChunkFault::Foreign => chunks
            .iter()
            .map(|c| {
                let foreign = json!({"id": "another", "off": c.0, "data": "foreign "});
                format!("{foreign}\n{}", line(c))
            })
            .collect(),
    }
}
