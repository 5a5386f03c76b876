//! Configuration of an entry host, after validation.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::time::Span;

/// Kind of a route's requests: whether they may be retried and whether the response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Once,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another upstream can resume after the last event id.
    Resumable,
}

impl RouteKind {
    /// Returns whether requests may be retried although they may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Resumable)
    }

    /// Returns whether another upstream can continue the response.
    pub fn is_resumable(self) -> bool {
        self == RouteKind::Resumable
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }
}

/// Rule that assigns requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique among the routes.
    pub name: String,
    /// Host name in the request, without a port.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Kind of its requests.
    pub repeat: RouteKind,
    /// Time after which a request is refused or its response aborted.
    pub timeout: Span,
    /// Target latency of a response, or of the first event of a stream.
    pub aim: Span,
    /// Target for the gap between two events of a stream.
    pub pause: Option<Span>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services with their weights in the traffic split.
    pub targets: Vec<(String, u32)>,
    /// Largest number of attempts for one request.
    pub attempts: u32,
    /// True when requests without an API key are admitted.
    pub anonymous: bool,
}

/// Group of upstreams that serve the same requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// True when its upstreams are model inference engines.
    pub engine: bool,
    /// Requests that an engine runs at once; 0 to use the value in the list of upstreams.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens; 0 for other services.
    pub cache_tokens: u64,
    /// Connections that one upstream accepts.
    pub connections: u32,
}

/// Holder of API keys, whose requests share a priority and a rate limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// API keys.
    pub keys: Vec<String>,
    /// Priority of its requests, compared before that of the route; 0 is the highest.
    pub priority: u8,
    /// Units a second over all hosts; 0 for no limit.
    pub rate: u64,
    /// Capacity of its token bucket in units.
    pub burst: u64,
    /// True when units are tokens, not requests.
    pub by_tokens: bool,
    /// Tokens charged for a request that states no token count.
    pub plain_tokens: u64,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub header_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time within which a request head must arrive.
    pub header_timeout: Span,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Span,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            header_bytes: 16_384,
            body_bytes: 4_194_304,
            header_timeout: Span::from_millis(3_000),
            idle_timeout: Span::from_millis(15_000),
        }
    }
}

/// Configuration of all routes, services and organisations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number; the highest is the latest.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Organisations; when empty, requests need no API key.
    pub organisations: Vec<Organisation>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
}
