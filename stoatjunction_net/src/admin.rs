//! The admin interface that every daemon serves on a listener of its own, with a bearer token.
//!
//! Paths under `/v1/admin/`: `status`, `events`, `metrics`, and what the daemon adds.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::http::{Method, StatusCode};
use warp::{Filter, Reply};

use crate::event::Timeline;
use crate::metrics::Metrics;

/// Answers a path below `/v1/admin/` that only the daemon knows: method, path and query to a
/// value, or `None` when there is no such path.
pub type AdminHandler = Arc<dyn Fn(&Method, &str, &str) -> Option<Value> + Send + Sync>;

/// What the admin interface shows.
#[derive(Clone)]
pub struct Admin {
    /// Bearer token that every call must carry.
    pub token: String,
    /// Events of the process.
    pub timeline: Timeline,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The daemon's own paths.
    pub handler: AdminHandler,
}

/// Serves the admin interface on `listener` until `closed` turns true.
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
        if self.token.is_empty() || !same(auth.unwrap_or(""), &expected) {
            return json_reply(
                StatusCode::UNAUTHORIZED,
                &json!({"error": "unauthenticated"}),
            );
        }
        let Some(name) = path.strip_prefix("/v1/admin/") else {
            return json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such path"}));
        };
        let own = match (method, name) {
            (&Method::GET, "events") => Some(json!(self.timeline.events())),
            (&Method::GET, "metrics") => Some(json!(self.metrics.totals())),
            _ => (self.handler)(method, name, query),
        };
        match own {
            Some(value) => json_reply(StatusCode::OK, &value),
            None => json_reply(StatusCode::NOT_FOUND, &json!({"error": "no such path"})),
        }
    }
}

/// Compares two texts in a time that does not depend on where they differ.
fn same(a: &str, b: &str) -> bool {
    let differing = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differing == 0
}

fn json_reply(status: StatusCode, value: &Value) -> warp::reply::Response {
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}

/// The value of `key` in a query string, without decoding.
pub fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|(_, v)| v)
}

/// Binds `addr`, naming it in the error.
///
/// # Errors
///
/// A report when the address cannot be had.
pub async fn bind(addr: &str) -> miette::Result<(TcpListener, SocketAddr)> {
    let bound = TcpListener::bind(addr).await;
    let listener = bound.map_err(|e| miette::miette!("cannot listen on {addr}: {e}"))?;
    let local = listener
        .local_addr()
        .map_err(|e| miette::miette!("{addr}: {e}"))?;
    Ok((listener, local))
}
