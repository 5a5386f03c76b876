//! What the admin interface shows of a gateway.

use serde_json::{Value, json};

use crate::context::Context;

/// Answers a path of the admin interface.
pub(crate) fn admin(cx: &Context, method: &str, path: &str) -> Option<Value> {
    match (method, path) {
        ("GET", "status") => Some(json!({
            "host": cx.cfg.host,
            "process": "gateway",
            "dc": cx.cfg.dc,
            "bundle": cx.hub.bundle().map_or(0, |b| b.number),
            "dispatchers": cx.hub.linked(),
            "requests": cx.busy.count(),
            "held": cx.hub.held(),
            "incarnation": cx.hub.id.to_string(),
            "control": cx.cfg.link.traffic.totals(),
        })),
        _ => None,
    }
}
