//! Sans-I/O decision logic of stoatjunction.
//!
//! Types in this crate take events and the current time and return actions. Nothing in it reads a
//! clock, uses a global random source, opens a socket or starts a thread, so the same code runs in
//! the daemons, in property tests and in the experiment command.

pub mod arena;
pub mod claim;
pub mod code;
pub mod entry;
pub mod estimate;
pub mod hash;
pub mod id;
pub mod life;
pub mod membership;
pub mod prefix;
pub mod prelude;
pub mod quarantine;
pub mod retry;
pub mod shard;
pub mod spillover;
pub mod time;
