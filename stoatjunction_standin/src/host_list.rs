//! Stand-in for the platform's host list, which shows changes after a lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use stoatjunction_net::admin::query_value;
use stoatjunction_net::http::{Body, serve};
use stoatjunction_net::platform::{HostState, ListedHost};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::reply::{json, number, text};

#[derive(Debug, Default)]
struct Inner {
    visible: IndexMap<String, HostState>,
    pending: Vec<(Instant, String, HostState)>,
    lag: Duration,
    outage: bool,
}

/// State of a host list, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    inner: Arc<Mutex<Inner>>,
}

/// A running host list server.
#[derive(Debug)]
pub struct HostListServer {
    /// Address of the server.
    pub addr: SocketAddr,
    /// State of the host list.
    pub list: HostList,
    task: JoinHandle<()>,
}

impl Drop for HostListServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HostListServer {
    /// Starts a host list on `addr` that shows changes after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the address cannot be bound.
    pub async fn start(addr: &str, lag: Duration) -> std::io::Result<HostListServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let list = HostList::default();
        list.lock().lag = lag;
        let shared = list.clone();
        let task = tokio::spawn(async move {
            let (_open, closed) = watch::channel(false);
            serve(listener, closed, move |req, _| {
                let list = shared.clone();
                async move { list.handle(&req) }
            })
            .await;
        });
        Ok(HostListServer { addr, list, task })
    }
}

impl HostList {
    /// Changes the state of a host. The list shows the change after its lag.
    pub fn set(&self, name: &str, state: HostState) {
        let mut inner = self.lock();
        let visible_at = Instant::now() + inner.lag;
        inner.pending.push((visible_at, name.to_owned(), state));
    }

    /// Makes the list refuse requests for hosts while `outage` is true.
    pub fn set_outage(&self, outage: bool) {
        self.lock().outage = outage;
    }

    fn handle(&self, req: &Request<Incoming>) -> Response<Body> {
        let query = req.uri().query().unwrap_or("");
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/v1/hosts") => self.list(),
            (&Method::POST, "/v1/control") => self.control(query),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn list(&self) -> Response<Body> {
        let mut inner = self.lock();
        if inner.outage {
            return text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let now = Instant::now();
        let (due, pending) = inner
            .pending
            .drain(..)
            .partition(|(visible_at, _, _)| *visible_at <= now);
        inner.pending = pending;
        let due: Vec<(Instant, String, HostState)> = due;
        inner
            .visible
            .extend(due.into_iter().map(|(_, name, state)| (name, state)));
        let visible: Vec<ListedHost> = inner
            .visible
            .iter()
            .map(|(name, state)| ListedHost {
                name: name.clone(),
                state: *state,
            })
            .collect();
        json(&visible)
    }

    fn control(&self, query: &str) -> Response<Body> {
        if let Some(ms) = number(query, "lag_ms") {
            self.lock().lag = Duration::from_millis(ms);
        }
        let state = match query_value(query, "state") {
            Some("leaving") => HostState::Leaving,
            _ => HostState::Live,
        };
        if let Some(name) = query_value(query, "name") {
            self.set(name, state);
        }
        text(StatusCode::OK, "set")
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("host list lock is not poisoned")
    }
}
