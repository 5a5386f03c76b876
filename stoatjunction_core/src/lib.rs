//! Decision logic of stoatjunction, free of input and output.
//!
//! Every type here takes events and the current time and gives back actions. Nothing in this
//! crate reads a clock, draws from a global random source, opens a socket or starts a thread, so
//! the same code runs in the daemons, in property tests and in the experiment command.

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
