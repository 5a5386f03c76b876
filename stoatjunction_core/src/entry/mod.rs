//! Decisions of an entry host, which forwards requests by routes: which service a request goes to,
//! whether it is within its organisation's limit, when and on which upstream it runs, and when it
//! is refused.
//!
//! Each host decides on its own, from the requests that it runs and the last reports of the others.

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
