//! The entry daemon: one process a host that takes callers' requests by routes and forwards them.
//!
//! Everything runs on one thread. Controllers read and write the [`board`]; the decisions are those
//! of [`stoatjunction_core::entry`].

mod admission;
mod attempt;
mod beat;
pub mod board;
mod body;
mod catch_up;
pub mod clock;
mod connection_pool;
pub mod daemon;
pub mod event_filter;
pub mod feed;
mod followers;
mod forward;
mod ingress;
mod mirror;
pub mod names;
mod peers;
mod placement;
mod refusal;
mod relay;
pub mod settings;
mod sockets;
mod stream;
