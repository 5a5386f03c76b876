//! The dispatcher: owns shards of its data centre's pools, keeps the membership of the entry
//! hosts, and spreads the configuration bundle.

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
mod shards;
mod state;

pub use self::daemon::{Dispatcher, start};
