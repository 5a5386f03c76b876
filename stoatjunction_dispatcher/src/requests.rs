//! What the dispatcher does with the messages of gateways, and when their links close.

use stoatjunction_core::id::GatewayId;
use stoatjunction_core::membership::Member;
use stoatjunction_net::bundle::Protocol;
use stoatjunction_net::message::{Notice, Request};

use crate::event::LinkId;
use crate::state::State;

impl State {
    pub(crate) fn handle_request(&mut self, link: LinkId, request: Request) {
        let now = self.now();
        match request {
            Request::Hello(_) => {}
            Request::Enqueue { shard, ticket } => {
                self.metrics.count("enqueued", 1, &[]);
                self.shard_mut(&shard).enqueue(ticket.into_ticket(now), now);
            }
            Request::Withdraw { shard, ticket } => self.shard_mut(&shard).withdraw(ticket, now),
            Request::Dispatched { shard, ticket } => self.shard_mut(&shard).confirm(ticket, now),
            Request::Finished {
                shard,
                ticket,
                report,
            } => {
                let signal = self.shard_mut(&shard).finish(ticket, report, now);
                self.record_crash_signal(signal);
            }
            Request::Running { shard, running } => {
                self.shard_mut(&shard)
                    .adopt_run(running.into_running(now), now);
            }
            Request::Subscribe => self.subscribe(link),
            Request::FetchBundle { number, have } => {
                if let (Some(notice), Some(tx)) = (
                    self.bundle_notice(number, &have),
                    self.accepted_link_tx(link),
                ) {
                    tx.send(notice);
                }
            }
            Request::Digest(digest) => {
                if let Some(host) = self
                    .incoming_peers
                    .get(&link)
                    .map(|p| p.member.host.clone())
                {
                    self.merge_digest(&host, digest);
                }
            }
            Request::GossipUpdate(update) => self.merge_update(*update),
        }
    }

    pub(crate) fn subscribe(&mut self, link: LinkId) {
        let update = self.full_update();
        if let Some(gateway) = self.gateways.get_mut(&link) {
            gateway.subscribed = true;
            gateway.tx.send(Notice::GossipUpdate(Box::new(update)));
        }
    }

    pub(crate) fn accepted_link_tx(
        &self,
        link: LinkId,
    ) -> Option<&stoatjunction_net::link::LinkTx<Notice>> {
        let gateway = self.gateways.get(&link).map(|g| &g.tx);
        gateway.or_else(|| self.incoming_peers.get(&link).map(|p| &p.tx))
    }

    pub(crate) fn handle_link_closed(&mut self, link: LinkId) {
        self.incoming_peers.swap_remove(&link);
        let Some(gateway) = self.gateways.shift_remove(&link) else {
            return;
        };
        self.timeline
            .record("gateway_gone", &[("gateway", &gateway.host)]);
        // The gateway may have opened a new link before the old one was detected as closed.
        if self.gateway_tx(gateway.id).is_none() {
            self.disconnect_gateway(gateway.id);
        }
    }

    pub(crate) fn disconnect_gateway(&mut self, id: GatewayId) {
        let now = self.now();
        for shard in self.shards.values_mut() {
            shard.disconnect_gateway(id, now);
        }
    }

    /// Marks every peer with an open link as alive: heartbeats close the link of a dead peer.
    pub(crate) fn refresh_linked_members(&mut self) {
        let now = self.now();
        let linked: Vec<Member> = self
            .members
            .iter()
            .map(|r| r.member.clone())
            .filter(|m| {
                let outgoing = self.outgoing_peers.contains_key(&m.host);
                outgoing
                    || self
                        .incoming_peers
                        .values()
                        .any(|p| p.member.host == m.host)
            })
            .collect();
        for member in linked {
            self.members.record_heartbeat(member, now);
        }
    }

    pub(crate) fn polled_upstreams(&self) -> Vec<(String, String, Protocol)> {
        let Some(bundle) = &self.bundle else {
            return Vec::new();
        };
        let upstreams = self.shards.keys().flat_map(|id| bundle.upstreams_of(id));
        upstreams
            .map(|(name, u)| (name.to_owned(), u.addr.clone(), u.protocol))
            .collect()
    }
}
