//! The accepted configuration of an entry host.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::time::Span;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Once,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another upstream may go on with from an event's id.
    Resumable,
}

impl RouteKind {
    /// True for requests that may be sent again after they may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::Resumable)
    }

    /// True when the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::Resumable)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Span,
    /// Time within which an answer, or the first event of a stream, is in time.
    pub aim: Span,
    /// Longest pause between events that is still in time.
    pub pause: Option<Span>,
    /// Rank of the requests: 0 is the highest.
    pub priority: u8,
    /// Services with the weights by which requests are split.
    pub targets: Vec<(String, u32)>,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// True when no key is asked for.
    pub anonymous: bool,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// True when its upstreams are model engines.
    pub engine: bool,
    /// Requests an engine runs at once; 0 when only the list of upstreams says so.
    pub slots: u32,
    /// Tokens an engine's cache holds; 0 for plain services.
    pub cache_tokens: u64,
    /// Connections an upstream accepts.
    pub connections: u32,
}

/// One organisation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Rank of its requests, before the rank of the route.
    pub priority: u8,
    /// Units a second over all hosts; 0 for no limit.
    pub rate: u64,
    /// Units beyond the rate that may come at once.
    pub burst: u64,
    /// True when units are tokens, not requests.
    pub by_tokens: bool,
    /// Tokens that a request without a count stands for.
    pub plain_tokens: u64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Longest time that a head may take.
    pub header_timeout: Span,
    /// Longest time that a connection may be idle.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; higher is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Organisations; empty when no keys are asked for.
    pub organisations: Vec<Organisation>,
    /// What callers may send.
    pub limits: CallerLimits,
}
