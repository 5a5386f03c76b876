//! The entry daemon: one process a host that takes callers' requests by routes and forwards them.
//!
//! Everything runs on one thread. Controllers read and write the [`state`]; the decisions are those
//! of [`stoatjunction_core::entry`].

mod call;
mod catch_up;
pub mod clock;
mod connections;
pub mod daemon;
pub mod events;
mod exchange;
mod followers;
mod forward;
mod gossip;
pub mod header_names;
mod heartbeat;
mod ingress;
mod place;
mod pump;
mod refusal;
mod relay;
pub mod settings;
mod snapshot;
mod sockets;
pub mod state;
pub mod store_watch;
mod stream;
