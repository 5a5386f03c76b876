//! Paths of the admin interface: state queries and operator commands.

use serde_json::{Value, json};
use stoatjunction_net::admin::query_value;
use stoatjunction_net::message::LeavingSource;
use stoatjunction_net::uri_text::unescape;

use crate::state::State;

impl State {
    /// Handles a request to the admin interface. Returns `None` for an unknown path or an invalid
    /// query.
    pub(crate) fn handle_admin(&mut self, method: &str, path: &str, query: &str) -> Option<Value> {
        match (method, path) {
            ("GET", "status") => Some(self.status_json()),
            ("GET", "hosts") => Some(self.hosts_json()),
            ("GET", "shards") => Some(self.shards_json()),
            ("GET", "quarantine") => Some(json!(self.quarantine.verdicts().collect::<Vec<_>>())),
            ("POST", "quarantine/release") => self.release_fingerprint(query),
            ("POST", "upstreams/drain") => self.set_draining(query, true),
            ("POST", "upstreams/undrain") => self.set_draining(query, false),
            _ => None,
        }
    }

    fn status_json(&self) -> Value {
        json!({
            "host": self.own_member.host,
            "process": "dispatcher",
            "dc": self.own_member.dc,
            "bundle": self.bundle_number(),
            "stopping": self.own_member.stopping,
            "gateways": self.gateways.values().map(|g| g.host.clone()).collect::<Vec<_>>(),
            "peers": self.outgoing_peers.keys().collect::<Vec<_>>(),
            "incarnation": format!("{:016x}", self.own_member.incarnation),
            "control": self.cfg.link.traffic.totals(),
        })
    }

    fn hosts_json(&self) -> Value {
        let now = self.now();
        let others = self.members.iter().map(|r| {
            json!({
                "host": r.member.host,
                "dc": r.member.dc,
                "addr": r.member.addr,
                "stopping": r.member.stopping,
                "linked": self.outgoing_peers.contains_key(&r.member.host),
                "heard_ms": now.since(r.last_seen).as_millis(),
                "bundle": self.peer_bundle_numbers.get(&r.member.host),
            })
        });
        Value::Array(others.collect())
    }

    fn shards_json(&self) -> Value {
        let now = self.now();
        let shards = self.shards.iter().map(|(id, shard)| {
            json!({
                "shard": id.to_string(),
                "owned": self.owned_shards.contains(id),
                "queued": shard.queued(),
                "running": shard.running(),
                "upstreams": shard.upstream_status(now),
            })
        });
        Value::Array(shards.collect())
    }

    fn release_fingerprint(&mut self, query: &str) -> Option<Value> {
        let text = query_value(query, "fingerprint")?;
        let fingerprint = u64::from_str_radix(text, 16).ok()?;
        let verdict = self.quarantine.release(fingerprint, self.now());
        if let Some(verdict) = verdict {
            self.publish_verdict(verdict);
            self.send_pending_updates();
        }
        Some(json!({"released": verdict.is_some()}))
    }

    fn set_draining(&mut self, query: &str, leaving: bool) -> Option<Value> {
        let upstream = unescape(query_value(query, "name")?)?.into_owned();
        self.bundle.as_ref()?.upstreams.get(&upstream)?;
        self.set_leaving_status(&upstream, LeavingSource::Operator, leaving);
        self.send_pending_updates();
        Some(json!({"upstream": upstream, "leaving": self.is_leaving(&upstream)}))
    }
}
