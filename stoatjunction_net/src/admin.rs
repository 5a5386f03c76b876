//! Admin interface that every daemon serves on a separate listener, protected by a bearer token.
//!
//! Serves `events` and `metrics` below `/v1/admin/`; the daemon serves `status` and its own paths.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use miette::Diagnostic;
use serde_json::{Value, json};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::http::{Method, StatusCode};
use warp::{Filter, Reply};

use crate::event::Timeline;
use crate::listening::open_when_possible;
use crate::metrics::Metrics;
use crate::stop::{self, Stop, StopRx};

/// A stop was requested before the process could listen.
#[derive(Clone, Copy, Debug, Diagnostic, Error)]
#[error("stopped before it could listen")]
pub struct StoppedEarly;

/// Handler of the daemon's own paths below `/v1/admin/`. Receives the method, the path below
/// `/v1/admin/` and the query, and returns `None` for an unknown path.
pub type AdminHandler = Arc<dyn Fn(&Method, &str, &str) -> Option<Value> + Send + Sync>;

/// State that the admin interface serves.
#[derive(Clone)]
pub struct Admin {
    /// Bearer token that every request must carry.
    pub token: String,
    /// Events of the process.
    pub timeline: Timeline,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Handler of the daemon's own paths.
    pub handler: AdminHandler,
}

/// Serves the admin interface on `listener` until `closed` becomes true.
pub async fn serve(listener: TcpListener, admin: Admin, mut closed: watch::Receiver<bool>) {
    let route = warp::method()
        .and(warp::path::full())
        .and(warp::query::raw().or_else(|_| async { Ok::<_, Infallible>((String::new(),)) }))
        .and(warp::header::optional::<String>("authorization"))
        .map(
            move |method, path: warp::path::FullPath, query: String, auth: Option<String>| {
                admin.reply(&method, path.as_str(), &query, auth.as_deref())
            },
        );
    warp::serve(route)
        .incoming(listener)
        .graceful(async move {
            let _ = closed.wait_for(|closed| *closed).await;
        })
        .run()
        .await;
}

impl Admin {
    fn reply(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        auth: Option<&str>,
    ) -> warp::reply::Response {
        let expected = format!("Bearer {}", self.token);
        if self.token.is_empty() || !constant_time_eq(auth.unwrap_or(""), &expected) {
            return json_reply(
                StatusCode::UNAUTHORIZED,
                &json!({"error": "unauthenticated"}),
            );
        }
        let Some(name) = path.strip_prefix("/v1/admin/") else {
            return json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such path"}));
        };
        let value = match (method, name) {
            (&Method::GET, "events") => Some(json!(self.timeline.events())),
            (&Method::GET, "metrics") => Some(json!(self.metrics.totals())),
            _ => (self.handler)(method, name, query),
        };
        match value {
            Some(value) => json_reply(StatusCode::OK, &value),
            None => json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        }
    }
}

/// Compares two strings in constant time, so that response times do not reveal the token.
fn constant_time_eq(a: &str, b: &str) -> bool {
    let difference = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && difference == 0
}

fn json_reply(status: StatusCode, value: &Value) -> warp::reply::Response {
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}

/// Returns the value of `key` in a query string, without percent-decoding it.
pub fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|(_, v)| v)
}

/// Binds a listener to `addr` as soon as that is possible, and returns it with its local address.
///
/// # Errors
///
/// A report that names `addr` if it cannot be bound, or [`StoppedEarly`].
pub async fn bind(addr: &str, stop: &StopRx) -> miette::Result<(TcpListener, SocketAddr)> {
    let bound = tokio::select! {
        bound = open_when_possible(addr, "listener", || TcpListener::bind(addr)) => bound,
        () = stop::wait(stop, Stop::Graceful) => return Err(StoppedEarly.into()),
    };
    let listener = bound.map_err(|e| miette::miette!("cannot listen on {addr}: {e}"))?;
    let local = listener
        .local_addr()
        .map_err(|e| miette::miette!("cannot read the local address of {addr}: {e}"))?;
    Ok((listener, local))
}
