//! Common types, meant to be imported with a glob.

pub use stoatjunction_core::prelude::*;

pub use crate::bundle::Bundle;
pub use crate::clock::Clock;
pub use crate::event::{Event, Timeline};
pub use crate::message::{Notice, Request};
pub use crate::metrics::Metrics;
