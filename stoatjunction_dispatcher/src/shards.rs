//! Shards of this dispatcher: ownership, scheduling rounds, and the summaries sent to peers.

use stoatjunction_core::id::ShardId;
use stoatjunction_core::membership::shard_owner;
use stoatjunction_core::shard::{Action, Shard, UpstreamSpec};
use stoatjunction_core::spillover::ShardSummary;
use stoatjunction_net::message::Notice;

use crate::state::State;

impl State {
    /// Returns the shard `id`, and creates it if this dispatcher does not hold it. Ownership is not
    /// checked: if two dispatchers hold a shard, requests in their queues may be granted out of
    /// order, but no guarantee to callers is broken.
    pub(crate) fn shard_mut(&mut self, id: &ShardId) -> &mut Shard {
        if !self.shards.contains_key(id) {
            let now = self.now();
            let mut shard = Shard::new(id.clone(), self.shard_cfg.clone(), now);
            self.update_upstreams(&mut shard);
            self.timeline
                .record("shard_held", &[("shard", &id.to_string())]);
            self.shards.insert(id.clone(), shard);
        }
        &mut self.shards[id]
    }

    fn update_upstreams(&self, shard: &mut Shard) {
        let Some(bundle) = &self.bundle else { return };
        let listed = bundle.upstreams_of(shard.id());
        let specs: Vec<UpstreamSpec> = listed.iter().map(|(_, u)| u.spec.clone()).collect();
        shard.set_upstreams(specs);
        for (name, _) in listed {
            shard.set_leaving(name, self.is_leaving(name));
        }
    }

    /// Sets the upstreams of every shard from the bundle in force.
    pub(crate) fn apply_bundle(&mut self) {
        let mut shards = std::mem::take(&mut self.shards);
        for shard in shards.values_mut() {
            self.update_upstreams(shard);
        }
        self.shards = shards;
        self.update_ownership();
    }

    /// Creates the shards that this host owns and drops idle shards that it does not own.
    pub(crate) fn update_ownership(&mut self) {
        let Some(bundle) = self.bundle.clone() else {
            return;
        };
        let hosts = self.live_hosts();
        let is_own = |id: &ShardId| {
            let owner = shard_owner(hosts.iter().map(String::as_str), id);
            id.dc == self.own_member.dc && owner == Some(self.own_member.host.as_str())
        };
        let all = bundle.services.keys().flat_map(|s| bundle.shards_of(s));
        self.owned_shards = all.filter(is_own).collect();
        for id in self.owned_shards.clone() {
            self.shard_mut(&id);
        }
        let owned = &self.owned_shards;
        self.shards
            .retain(|id, shard| owned.contains(id) || !shard.is_idle());
    }

    /// Runs a scheduling round of every shard and sends the resulting actions to the gateways.
    pub(crate) fn schedule_shards(&mut self) {
        let now = self.now();
        let mut shards = std::mem::take(&mut self.shards);
        for shard in shards.values_mut() {
            for action in shard.schedule(now, &self.quarantine) {
                self.send_action(action);
            }
        }
        self.shards = shards;
    }

    fn send_action(&self, action: Action) {
        let (ticket, notice) = match action {
            Action::Grant {
                ticket,
                upstream,
                alone,
            } => {
                let facts = [("ticket", &*ticket.to_string()), ("upstream", &*upstream)];
                self.timeline.record("granted", &facts);
                (
                    ticket,
                    Notice::Grant {
                        ticket,
                        upstream,
                        alone,
                    },
                )
            }
            Action::Decline {
                ticket,
                code,
                floor,
                retry,
            } => {
                let facts = [
                    ("ticket", &*ticket.to_string()),
                    ("code", &*code.to_string()),
                ];
                self.timeline.record("declined", &facts);
                (
                    ticket,
                    Notice::Decline {
                        ticket,
                        code,
                        floor,
                        retry,
                    },
                )
            }
            Action::Revoke { ticket } => {
                self.timeline
                    .record("revoked", &[("ticket", &ticket.to_string())]);
                (ticket, Notice::Revoke { ticket })
            }
        };
        if let Some(tx) = self.gateway_tx(ticket.gateway) {
            tx.send(notice);
        }
    }

    /// Queues the changed summaries of owned shards for the next gossip message.
    pub(crate) fn update_summaries(&mut self) {
        let now = self.now();
        for id in &self.owned_shards {
            let Some(shard) = self.shards.get(id) else {
                continue;
            };
            let summary = round_down_to_powers_of_two(shard.summary(now));
            if self.shard_summaries.get(id) != Some(&summary) {
                self.shard_summaries.insert(id.clone(), summary.clone());
                self.pending_updates.shards.push(summary);
            }
        }
    }

    /// Records the gauges of queued and running requests.
    pub(crate) fn record_gauges(&self) {
        let now = self.now();
        for (id, shard) in &self.shards {
            let name = id.to_string();
            let tags = [("shard", name.as_str())];
            self.metrics.gauge("queued", shard.queued() as u64, &tags);
            self.metrics.gauge("running", shard.running() as u64, &tags);
            let ages = shard.queue_ages(now);
            for (tier, age) in oldest_by_tier(&ages) {
                let tier = tier.to_string();
                let tags = [("shard", name.as_str()), ("tier", tier.as_str())];
                self.metrics.gauge("queue_age_ms", age, &tags);
            }
        }
    }
}

/// Rounds the counts of a summary down to powers of two, so that small changes are not gossiped.
fn round_down_to_powers_of_two(summary: ShardSummary) -> ShardSummary {
    let round = |n: u32| if n == 0 { 0 } else { 1 << n.ilog2() };
    ShardSummary {
        free: round(summary.free),
        queued: round(summary.queued),
        ..summary
    }
}

fn oldest_by_tier(
    ages: &[(stoatjunction_core::id::Tier, stoatjunction_core::time::Span)],
) -> std::collections::BTreeMap<stoatjunction_core::id::Tier, u64> {
    let mut oldest = std::collections::BTreeMap::new();
    for (tier, age) in ages {
        let oldest_ms: &mut u64 = oldest.entry(*tier).or_default();
        *oldest_ms = (*oldest_ms).max(age.as_millis());
    }
    oldest
}
