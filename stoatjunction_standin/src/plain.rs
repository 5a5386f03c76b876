//! Stand-in for a plain service: one response per request, and a count of runs per idempotency key.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stoatjunction_net::admin::query_value;
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::http::{Body, serve};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::engine::{EngineRecord, Start};
use crate::reply::{json as json_reply, text};

/// Request body of a plain service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainRequest {
    /// Tag that is returned in the response.
    pub tag: String,
    /// Processing time in milliseconds.
    pub work_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    record: EngineRecord,
    active: u32,
    leaving: bool,
    incarnation: u64,
}

/// State of a plain service, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct PlainService {
    inner: Arc<Mutex<Inner>>,
}

/// A running plain service on a socket.
#[derive(Debug)]
pub struct PlainServer {
    /// Address of the server.
    pub addr: SocketAddr,
    /// State of the service.
    pub service: PlainService,
    task: JoinHandle<()>,
}

impl Drop for PlainServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PlainServer {
    /// Starts a plain service on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start(addr: &str) -> std::io::Result<PlainServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let service = PlainService::default();
        service.lock().incarnation = fastrand::u64(1..);
        let shared = service.clone();
        let task = tokio::spawn(async move {
            let (_open, closed) = watch::channel(false);
            serve(listener, closed, move |req, _| {
                let service = shared.clone();
                async move { service.handle(req).await }
            })
            .await;
        });
        Ok(PlainServer {
            addr,
            service,
            task,
        })
    }
}

impl PlainService {
    /// Returns the record of what the service did so far.
    pub fn record(&self) -> EngineRecord {
        self.lock().record.clone()
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or("").to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/run") => self.run(req).await,
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/v1/record") => json_reply(&self.record()),
            (&Method::POST, "/v1/control") => {
                if let Some(flag) = query_value(&query, "leaving") {
                    self.lock().leaving = flag == "true";
                }
                text(StatusCode::OK, "set")
            }
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
        let request: PlainRequest = serde_json::from_slice(&body).unwrap_or_default();
        if self.lock().leaving {
            let mut res = text(StatusCode::SERVICE_UNAVAILABLE, "not started");
            res.headers_mut().insert("x-not-started", 1.into());
            res.headers_mut().insert("x-leaving", 1.into());
            return res;
        }
        let tag = request.tag.clone();
        let start = Start {
            id: id.clone(),
            tag: tag.clone(),
            key,
            at_ms: wall_ms(),
        };
        self.admit(start);
        // The work continues after the client disconnects, as in a service with side effects.
        let service = self.clone();
        let work = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(request.work_ms)).await;
            service.end(id);
        });
        let _ = work.await;
        json_reply(&json!({"tag": tag, "result": "done"}))
    }

    fn admit(&self, start: Start) {
        let mut inner = self.lock();
        inner.active += 1;
        inner.record.record_start(start);
    }

    fn end(&self, id: String) {
        let mut inner = self.lock();
        inner.active -= 1;
        inner.record.finished.push(id);
    }

    fn load(&self) -> Response<Body> {
        let inner = self.lock();
        json_reply(&json!({
            "active": inner.active,
            "incarnation": inner.incarnation,
            "age_ms": 0,
            "leaving": inner.leaving,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("service lock is not poisoned")
    }
}
