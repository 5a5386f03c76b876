//! What the cases have in common: a small deployment, its configuration, and clients.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::{Bounds, Host, Place};
use crate::http::{Conn, Message};
use crate::record::Record;
use crate::server::{Answers, Server};
use crate::store::Store;

pub const API_KEY: &str = "key-of-member";
const READY_LIMIT: Duration = Duration::from_secs(10);

/// A small deployment: hosts, servers of one service, and the store.
pub struct Deployment {
    pub place: Place,
    pub record: Record,
    pub store: Store,
    pub servers: Vec<Server>,
    pub hosts: Vec<Host>,
}

impl Deployment {
    /// Starts it and waits until all hosts are ready.
    pub fn start(
        record: &Record,
        bounds: Bounds,
        hosts: u8,
        servers: u8,
        answers: Answers,
        tenant: &str,
    ) -> Result<Deployment, String> {
        let place = Place::find().map_err(text)?;
        let store = Store::start(place.store()).map_err(text)?;
        store.put("config", "main", &configuration(1, tenant));
        let mut deployment = Deployment {
            place,
            record: record.clone(),
            store,
            servers: Vec::new(),
            hosts: Vec::new(),
        };
        for n in 0..servers {
            deployment.add_server(&format!("i-server{n}"), 10 + n, answers)?;
        }
        for n in 1..=hosts {
            let host = Host::start(&deployment.place, n, "here", bounds, true).map_err(text)?;
            deployment.hosts.push(host);
        }
        for host in &deployment.hosts {
            if !host.wait_ready(&deployment.place, READY_LIMIT) {
                return Err(format!("host {} is not ready", host.number));
            }
        }
        record.add("all hosts are ready");
        Ok(deployment)
    }

    pub fn add_server(&mut self, id: &str, address: u8, answers: Answers) -> Result<(), String> {
        let addr = self.place.server(address);
        let server = Server::start(id, "pool", addr, answers, &self.store, &self.record);
        self.servers.push(server.map_err(text)?);
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        let _may_be_gone = std::fs::remove_dir_all(&self.place.folder);
    }
}

pub fn text<E: ToString>(error: E) -> String {
    error.to_string()
}

/// Returns a configuration with a route of each kind.
pub fn configuration(version: u64, tenant: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumes: bool| {
        let target_ms = if kind == "streaming" { 600 } else { 300 };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"calls.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":15000,\"target-latency-ms\":{target_ms},\"priority\":0,\"service\":\"pool\",\"attempts\":{attempts},\"allow-anonymous\":false,\"stream-resumption\":{resumes},\"gap-target-ms\":400}}"
        )
    };
    let routes = [
        route("read", "safe", 1, false),
        route("book", "unsafe", 1, false),
        route("stream", "streaming", 1, false),
        route("resumed", "streaming", 2, true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health-check-path\":\"/health\",\"connection-limit\":360}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"{tenant}\",\"api-keys\":[\"{API_KEY}\"],\"unit\":\"tokens\",\"uncached-tokens\":200,\"rate-per-s\":0,\"burst\":0}}]}}",
        routes.join(",")
    )
}

/// Returns the bytes of a request on a route.
pub fn request(route: &str, id: &str, time_limit_ms: u64) -> Vec<u8> {
    let body = format!("body of {id}");
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {time_limit_ms}\r\nX-Api-Key: {API_KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Returns the bytes of a look-up, which is the same each time but for its id.
pub fn look_up(id: &str, time_limit_ms: u64) -> Vec<u8> {
    format!(
        "GET /read/status HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: {id}\r\nDeadline-Milliseconds: {time_limit_ms}\r\nX-Api-Key: {API_KEY}\r\n\r\n"
    )
    .into_bytes()
}

/// Sends a request on a new connection and returns the response; `None` if the connection ends without one.
pub fn exchange(to: SocketAddr, req: &[u8]) -> io::Result<Option<Message>> {
    let mut conn = Conn::open(to)?;
    conn.write(req)?;
    conn.read_message()
}
