//! Common types, intended for glob imports.

pub use crate::code::{Code, Outcome};
pub use crate::id::{GatewayId, ShardId, TicketId, Tier, UpstreamKey};
pub use crate::time::{Span, Time};
