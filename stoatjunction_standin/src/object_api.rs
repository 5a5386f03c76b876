//! Stand-in for the platform's Object API: versions, conditional writes, watches, rate limits and
//! outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stoatjunction_net::admin::query_value;
use stoatjunction_net::http::{Body, serve};
use stoatjunction_net::platform::{Object, VERSION_HEADER};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::reply::{broken, json, number, text};
use crate::uri_text::decode_segment;

/// Maximum size of a value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Time after which a hanging call fails without a response.
const HANG_TIME: Duration = Duration::from_secs(30);

/// Rate limits of the Object API.
#[derive(Clone, Copy, Debug)]
pub struct ObjectApiSettings {
    /// Maximum number of writes per second.
    pub writes_per_s: u32,
    /// Maximum number of reads per second.
    pub reads_per_s: u32,
}

impl Default for ObjectApiSettings {
    fn default() -> Self {
        ObjectApiSettings {
            writes_per_s: 500,
            reads_per_s: 2_000,
        }
    }
}

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectFaults {
    /// Every call is refused with 503.
    pub outage: bool,
    /// Every call hangs.
    pub hang: bool,
    /// Delay added to every call.
    pub slow: Duration,
    /// Number of following writes that take effect but whose responses are lost.
    pub lose_responses: u32,
    /// Number of following writes that are lost before they take effect.
    pub lose_writes: u32,
}

/// Numbers of calls received, including refused ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectCalls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

type Objects = BTreeMap<String, (u64, String)>;

#[derive(Debug)]
struct Inner {
    cfg: ObjectApiSettings,
    objects: Objects,
    saved: Objects,
    revision: u64,
    faults: ObjectFaults,
    calls: ObjectCalls,
    rate_window_start: Instant,
    reads: u32,
    writes: u32,
}

/// State of an Object API, shared by its clones.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    inner: Arc<Mutex<Inner>>,
    changed: watch::Sender<u64>,
}

/// A running Object API server.
#[derive(Debug)]
pub struct ObjectApiServer {
    /// Address of the server.
    pub addr: SocketAddr,
    /// State of the Object API.
    pub api: ObjectApi,
    task: JoinHandle<()>,
}

impl Drop for ObjectApiServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ObjectApiServer {
    /// Starts an Object API on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start(addr: &str, cfg: ObjectApiSettings) -> std::io::Result<ObjectApiServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let inner = Inner {
            cfg,
            objects: Objects::new(),
            saved: Objects::new(),
            revision: 0,
            faults: ObjectFaults::default(),
            calls: ObjectCalls::default(),
            rate_window_start: Instant::now(),
            reads: 0,
            writes: 0,
        };
        let api = ObjectApi {
            inner: Arc::new(Mutex::new(inner)),
            changed: watch::Sender::new(0),
        };
        let shared = api.clone();
        let task = tokio::spawn(async move {
            let (_open, closed) = watch::channel(false);
            serve(listener, closed, move |req, _| {
                let api = shared.clone();
                async move { api.handle(req).await }
            })
            .await;
        });
        Ok(ObjectApiServer { addr, api, task })
    }
}

impl ObjectApi {
    /// Sets the injected faults.
    pub fn set_faults(&self, faults: ObjectFaults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls received so far.
    pub fn calls(&self) -> ObjectCalls {
        self.lock().calls
    }

    /// Returns the value of `key`.
    pub fn value(&self, key: &str) -> Option<String> {
        self.lock().objects.get(key).map(|(_, v)| v.clone())
    }

    /// Returns the keys that start with `prefix`.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock()
            .objects
            .keys()
            .filter(|k| k.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Saves a copy of all objects for [`ObjectApi::restore`].
    pub fn save(&self) {
        let mut inner = self.lock();
        inner.saved = inner.objects.clone();
    }

    /// Restores the objects saved last, like a platform that is restored from a backup.
    pub fn restore(&self) {
        let mut inner = self.lock();
        inner.objects = inner.saved.clone();
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        if path == "/v1/control" {
            return self.control(&query);
        }
        let faults = self.lock().faults;
        if faults.hang {
            tokio::time::sleep(HANG_TIME).await;
            return broken();
        }
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if faults.outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let is_write = matches!(*req.method(), Method::PUT | Method::DELETE);
        if !self.admit(is_write) {
            return text(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/v1/list") => self.list(&query),
            (Method::GET, "/v1/watch") => self.watch(&query).await,
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => match decode_segment(key) {
                    Ok(key) => self.object(method, key, req).await,
                    Err(_) => text(StatusCode::BAD_REQUEST, "malformed path"),
                },
                None => text(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    fn admit(&self, is_write: bool) -> bool {
        let mut inner = self.lock();
        if inner.rate_window_start.elapsed() >= Duration::from_secs(1) {
            inner.rate_window_start = Instant::now();
            inner.reads = 0;
            inner.writes = 0;
        }
        if is_write {
            inner.calls.writes += 1;
            inner.writes += 1;
            return inner.writes <= inner.cfg.writes_per_s;
        }
        inner.calls.reads += 1;
        inner.reads += 1;
        inner.reads <= inner.cfg.reads_per_s
    }

    async fn object(&self, method: Method, key: String, req: Request<Incoming>) -> Response<Body> {
        if method == Method::GET {
            return match self.lock().objects.get(&key) {
                Some((version, value)) => versioned(*version, value.clone()),
                None => text(StatusCode::NOT_FOUND, "no such object"),
            };
        }
        let header = |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok());
        let absent = header("if-none-match") == Some("*");
        let version = header("if-match").and_then(|v| v.parse::<u64>().ok());
        let Ok(body) = req.into_body().collect().await.map(|b| b.to_bytes()) else {
            return text(StatusCode::BAD_REQUEST, "incomplete body");
        };
        if body.len() > MAX_VALUE_BYTES {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "value too large");
        }
        if self.consume_loss(|f| &mut f.lose_writes) {
            return broken();
        }
        let value = String::from_utf8_lossy(&body).into_owned();
        let written = self.write(&method, &key, absent, version, value);
        if self.consume_loss(|f| &mut f.lose_responses) {
            return broken();
        }
        match written {
            Some(version) => versioned(version, String::new()),
            None => text(StatusCode::PRECONDITION_FAILED, "version differs"),
        }
    }

    fn consume_loss<F>(&self, counter: F) -> bool
    where
        F: Fn(&mut ObjectFaults) -> &mut u32,
    {
        let mut inner = self.lock();
        let remaining = counter(&mut inner.faults);
        let lose = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        lose
    }

    fn write(
        &self,
        method: &Method,
        key: &str,
        absent: bool,
        version: Option<u64>,
        value: String,
    ) -> Option<u64> {
        let mut inner = self.lock();
        let current = inner.objects.get(key).map(|(v, _)| *v);
        let allowed = match (absent, version) {
            (true, _) => current.is_none(),
            (false, Some(v)) => current == Some(v),
            (false, None) => false,
        };
        if !allowed {
            return None;
        }
        inner.revision += 1;
        let revision = inner.revision;
        if *method == Method::DELETE {
            inner.objects.remove(key);
        } else {
            inner.objects.insert(key.to_owned(), (revision, value));
        }
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
        Some(revision)
    }

    fn list(&self, query: &str) -> Response<Body> {
        let Ok(prefix) = decode_segment(query_value(query, "prefix").unwrap_or("")) else {
            return text(StatusCode::BAD_REQUEST, "malformed query");
        };
        let inner = self.lock();
        let found: Vec<Object> = inner
            .objects
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .map(|(key, (version, value))| Object {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        json(&found)
    }

    async fn watch(&self, query: &str) -> Response<Body> {
        self.lock().calls.watches += 1;
        let Ok(key) = decode_segment(query_value(query, "key").unwrap_or("")) else {
            return text(StatusCode::BAD_REQUEST, "malformed query");
        };
        let after = number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let found = self.lock().objects.get(&key).cloned();
            if let Some((version, value)) = found.filter(|(v, _)| *v != after) {
                return json(&Object {
                    key,
                    version,
                    value,
                });
            }
            if tokio::time::timeout_at(deadline, changed.changed())
                .await
                .is_err()
            {
                return text(StatusCode::NOT_FOUND, "no change");
            }
        }
    }

    fn control(&self, query: &str) -> Response<Body> {
        let mut inner = self.lock();
        let flag = |key: &str| query_value(query, key).map(|v| v == "true");
        let faults = &mut inner.faults;
        faults.outage = flag("outage").unwrap_or(faults.outage);
        faults.hang = flag("hang").unwrap_or(faults.hang);
        faults.slow = number(query, "slow_ms").map_or(faults.slow, Duration::from_millis);
        let lose_responses = number(query, "lose_answers").map(|n| n as u32);
        faults.lose_responses = lose_responses.unwrap_or(faults.lose_responses);
        text(StatusCode::OK, "set")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("objects lock is not poisoned")
    }
}

fn versioned(version: u64, value: String) -> Response<Body> {
    let mut res = text(StatusCode::OK, value);
    res.headers_mut().insert(VERSION_HEADER, version.into());
    res
}
