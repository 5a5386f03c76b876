//! Dispatcher daemon: queues and schedules the requests of the shards that it owns, tracks the
//! membership of the dispatchers, and distributes the configuration bundle.

mod admin;
mod bundles;
mod crash_detector;
mod daemon;
mod event;
mod gossip;
mod host_list;
mod listener;
mod peers;
mod poll;
mod requests;
mod shards;
mod state;

pub use self::daemon::{Dispatcher, start};
