//! Status of a gateway for the admin interface.

use serde_json::{Value, json};

use crate::context::Context;

/// Handles a request to the admin interface; `None` for an unknown path.
pub(crate) fn handle(cx: &Context, method: &str, path: &str) -> Option<Value> {
    match (method, path) {
        ("GET", "status") => Some(json!({
            "host": cx.cfg.host,
            "process": "gateway",
            "dc": cx.cfg.dc,
            "bundle": cx.dispatchers.bundle().map_or(0, |b| b.number),
            "dispatchers": cx.dispatchers.linked_hosts(),
            "requests": cx.in_flight.count(),
            "held": cx.dispatchers.active_tickets(),
            "incarnation": cx.dispatchers.id.to_string(),
            "control": cx.cfg.link.traffic.totals(),
        })),
        _ => None,
    }
}
