//! Decisions of an entry host that forwards requests by routes: where a request may go, whether it
//! is within its organisation's limit, when and on which upstream it runs, and when it is refused.
//!
//! Hosts decide for themselves, each from its own runs and what the others last said of theirs.

mod choice;
pub mod config;
pub mod decaying_rate;
pub mod engine;
pub mod health;
mod hearsay;
pub mod limit;
pub mod need;
pub mod node;
pub mod parts;
pub mod pool;
pub mod queue;
pub mod retry_budget;
pub mod route_table;
pub mod share;
pub mod suspects;
pub mod upstream_list;
