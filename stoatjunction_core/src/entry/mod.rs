//! Decisions of an entry host that forwards requests by routes: where a request may go, whether it
//! is within its organisation's limit, when and on which upstream it runs, and when it is refused.
//!
//! Hosts decide for themselves, each from its own runs and what the others last said of theirs.

pub mod budget;
pub mod config;
pub mod health;
pub mod latency;
pub mod limit;
mod peer_reports;
mod placement;
pub mod placement_request;
pub mod pool;
pub mod prompt_cache;
pub mod queue;
pub mod rate;
pub mod route;
pub mod share;
pub mod suspects;
pub mod upstream;
pub mod view;
