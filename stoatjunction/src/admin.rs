//! Client of the admin interfaces of the daemons.

use std::time::Duration;

use serde_json::Value;
use stoatjunction_net::http::{call, full};

use crate::config::{Config, Endpoint};
use crate::output::errln;

/// Timeout of a request to one daemon.
const DAEMON_TIMEOUT: Duration = Duration::from_secs(2);

/// Responses by daemon; `None` if the request failed.
pub type Responses = Vec<(Endpoint, Option<Value>)>;

/// Requests `path` from every daemon whose name ends with `role`; an empty role selects all daemons.
pub async fn call_daemons(cfg: &Config, role: &str, method: &str, path: &str) -> Responses {
    let mut tasks = Vec::new();
    for endpoint in cfg.endpoints.iter().filter(|e| e.name.ends_with(role)) {
        let (endpoint, token) = (endpoint.clone(), cfg.admin_token.clone());
        let (method, path) = (method.to_owned(), path.to_owned());
        tasks.push(tokio::spawn(async move {
            let response = call_daemon(&endpoint.addr, &token, &method, &path).await;
            (endpoint, response)
        }));
    }
    let mut responses = Vec::new();
    for task in tasks {
        responses.extend(task.await);
    }
    responses
}

async fn call_daemon(addr: &str, token: &str, method: &str, path: &str) -> Option<Value> {
    let req = hyper::Request::builder()
        .method(method)
        .uri(format!("/v1/admin/{path}"))
        .header("host", addr)
        .header("authorization", format!("Bearer {token}"))
        .body(full(""))
        .ok()?;
    let res = call(addr, req, DAEMON_TIMEOUT).await.ok()?;
    res.status()
        .is_success()
        .then(|| serde_json::from_slice(res.body()).ok())?
}

/// Prints to standard error which daemons sent no valid response.
pub fn print_unresponsive(responses: &Responses) {
    for (endpoint, _) in responses.iter().filter(|(_, r)| r.is_none()) {
        errln!("no response from {} at {}", endpoint.name, endpoint.addr);
    }
}

/// Formats the field `key` of `value` as text, or as a dash if it is missing.
pub fn field_text(value: &Value, key: &str) -> String {
    match &value[key] {
        Value::Null => "-".to_owned(),
        Value::String(s) => s.clone(),
        other => other.to_string(),
    }
}
