//! Clients of the platform services: the Object API and the host list.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::http::{Body, call, full};
use crate::uri_text::{escape, escape_path};

/// Response header that carries the version of an object.
pub const VERSION_HEADER: &str = "x-version";

/// Why a call to the platform failed.
#[derive(Debug, Error, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The object does not exist.
    #[error("no such object")]
    NotFound,
    /// The precondition of the write does not hold.
    #[error("the object is not at the expected version")]
    Conflict,
    /// The platform rejected the call, or it could not be built.
    #[error("the platform rejected the call: {0}")]
    Refused(String),
    /// No usable response arrived, so the call may or may not have taken effect.
    #[error("no response from the platform: {0}")]
    Lost(String),
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key.
    pub key: String,
    /// Version; increases with each change.
    pub version: u64,
    /// Value.
    pub value: String,
}

/// Precondition of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    Version(u64),
}

/// Number of calls made, by kind.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads.
    pub reads: AtomicU64,
    /// Writes.
    pub writes: AtomicU64,
    /// Watches, counted when they are opened.
    pub watches: AtomicU64,
}

/// Client of the Object API. Clones share the counters.
#[derive(Clone, Debug)]
pub struct ObjectApiClient {
    addr: String,
    timeout: Duration,
    calls: Arc<CallCounters>,
}

impl ObjectApiClient {
    /// Creates a client of the service at `addr`, `ip:port`, that waits at most `timeout` for a
    /// response.
    pub fn new(addr: &str, timeout: Duration) -> ObjectApiClient {
        ObjectApiClient {
            addr: addr.to_owned(),
            timeout,
            calls: Arc::default(),
        }
    }

    /// Returns the counters of the calls made.
    pub fn calls(&self) -> &CallCounters {
        &self.calls
    }

    /// Reads the object `key`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] if the object does not exist, or another [`PlatformError`] if the
    /// call failed.
    pub async fn get(&self, key: &str) -> Result<Object, PlatformError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let res = self
            .call(Method::GET, &object_path(key), None, "", 0)
            .await?;
        let version = version_header(&res)
            .ok_or_else(|| no_response("the response has no valid x-version header"))?;
        let value = String::from_utf8_lossy(res.body()).into_owned();
        Ok(Object {
            key: key.to_owned(),
            version,
            value,
        })
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] if the call failed.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Object>, PlatformError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let path = format!("/v1/list?prefix={}", escape(prefix));
        let res = self.call(Method::GET, &path, None, "", 0).await?;
        serde_json::from_slice(res.body()).map_err(|e| no_response(&e.to_string()))
    }

    /// Writes `value` under `key` if the precondition `expect` holds, and returns the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] if the precondition does not hold, [`PlatformError::Lost`] if the
    /// write may or may not have taken effect.
    pub async fn put(
        &self,
        key: &str,
        value: &str,
        expect: Precondition,
    ) -> Result<u64, PlatformError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let path = object_path(key);
        let res = self
            .call(Method::PUT, &path, Some(expect), value, 0)
            .await?;
        version_header(&res)
            .ok_or_else(|| no_response("the response has no valid x-version header"))
    }

    /// Deletes `key` if it is at `version`.
    ///
    /// # Errors
    ///
    /// Same as [`ObjectApiClient::put`].
    pub async fn delete(&self, key: &str, version: u64) -> Result<(), PlatformError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let path = object_path(key);
        let expect = Some(Precondition::Version(version));
        self.call(Method::DELETE, &path, expect, "", 0)
            .await
            .map(|_| ())
    }

    /// Long-polls, for at most `wait`, until the object `key` has a version above `after`, and
    /// returns it.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] if the object did not change in that time.
    pub async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Object, PlatformError> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let ms = wait.as_millis();
        let key = escape(key);
        let path = format!("/v1/watch?key={key}&after={after}&wait_ms={ms}");
        let res = self.call(Method::GET, &path, None, "", ms as u64).await?;
        serde_json::from_slice(res.body()).map_err(|e| no_response(&e.to_string()))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        expect: Option<Precondition>,
        value: &str,
        wait_ms: u64,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.addr);
        req = match expect {
            None => req,
            Some(Precondition::Absent) => req.header("if-none-match", "*"),
            Some(Precondition::Version(v)) => req.header("if-match", v),
        };
        let req: Request<Body> = req
            .body(full(value.to_owned()))
            .map_err(|e| PlatformError::Refused(e.to_string()))?;
        let timeout = self.timeout + Duration::from_millis(wait_ms);
        let res = call(&self.addr, req, timeout)
            .await
            .map_err(|e| no_response(&e.to_string()))?;
        match res.status() {
            status if status.is_success() => Ok(res),
            StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
            StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
            status => Err(PlatformError::Refused(status.to_string())),
        }
    }
}

fn object_path(key: &str) -> String {
    format!("/v1/objects/{}", escape_path(key))
}

fn version_header(res: &Response<Bytes>) -> Option<u64> {
    res.headers()
        .get(VERSION_HEADER)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn no_response(reason: &str) -> PlatformError {
    PlatformError::Lost(reason.to_owned())
}

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Leaving the fleet.
    Leaving,
}

/// One entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the upstream or entry host.
    pub name: String,
    /// State according to the list.
    pub state: HostState,
}

/// Client of the host list.
#[derive(Clone, Debug)]
pub struct HostListClient {
    addr: String,
    timeout: Duration,
}

impl HostListClient {
    /// Creates a client of the list at `addr`, `ip:port`, that waits at most `timeout` for a response.
    pub fn new(addr: &str, timeout: Duration) -> HostListClient {
        HostListClient {
            addr: addr.to_owned(),
            timeout,
        }
    }

    /// Fetches the host list.
    ///
    /// # Errors
    ///
    /// A [`PlatformError`] if the call failed.
    pub async fn read(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let req = Request::get("/v1/hosts").header("host", &self.addr);
        let req = req
            .body(full(""))
            .map_err(|e| PlatformError::Refused(e.to_string()))?;
        let res = call(&self.addr, req, self.timeout)
            .await
            .map_err(|e| no_response(&e.to_string()))?;
        if !res.status().is_success() {
            return Err(PlatformError::Refused(res.status().to_string()));
        }
        serde_json::from_slice(res.body()).map_err(|e| no_response(&e.to_string()))
    }
}
