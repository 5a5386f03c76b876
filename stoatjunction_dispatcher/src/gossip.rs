//! Gossip of state changes: the full state when a link opens, then each change as it occurs.

use stoatjunction_core::membership::Member;
use stoatjunction_core::quarantine::{QuarantineState, Verdict};
use stoatjunction_core::time::Span;
use stoatjunction_net::message::{
    Digest, GossipUpdate, LeavingSource, LeavingStatus, MemberAge, Notice, Request,
};

use crate::state::State;

impl State {
    /// Returns the full gossiped state of this dispatcher.
    pub(crate) fn full_update(&self) -> GossipUpdate {
        let now = self.now();
        let known = self.members.iter().map(|r| MemberAge {
            member: r.member.clone(),
            age: now.since(r.last_seen),
        });
        let own = MemberAge {
            member: self.own_member.clone(),
            age: Span::ZERO,
        };
        GossipUpdate {
            members: std::iter::once(own).chain(known).collect(),
            leaving: self.leaving_statuses.values().cloned().collect(),
            verdicts: self.quarantine.verdicts().collect(),
            shards: self.shard_summaries.values().cloned().collect(),
        }
    }

    /// Merges a received update and queues the changes for forwarding.
    pub(crate) fn merge_update(&mut self, update: GossipUpdate) {
        let now = self.now();
        for reported in update.members {
            self.merge_member(reported);
        }
        for status in update.leaving {
            self.merge_leaving_status(status);
        }
        for verdict in update.verdicts {
            if self.quarantine.merge(verdict, now) {
                self.publish_verdict(verdict);
            }
        }
        for summary in update.shards {
            let is_peer_shard = !self.owned_shards.contains(&summary.shard);
            if is_peer_shard && self.shard_summaries.get(&summary.shard) != Some(&summary) {
                self.shard_summaries
                    .insert(summary.shard.clone(), summary.clone());
                self.pending_updates.shards.push(summary);
            }
        }
    }

    /// Records direct contact with `member`, and queues the member for gossip if it is new or
    /// changed.
    pub(crate) fn record_contact(&mut self, member: &Member) {
        let now = self.now();
        let known = self.members.get(&member.host).map(|r| &r.member);
        if known != Some(member) {
            let age = Span::ZERO;
            self.pending_updates.members.push(MemberAge {
                member: member.clone(),
                age,
            });
        }
        self.members.record_heartbeat(member.clone(), now);
    }

    fn merge_member(&mut self, reported: MemberAge) {
        if reported.member.host == self.own_member.host {
            return;
        }
        let now = self.now();
        let known = self
            .members
            .get(&reported.member.host)
            .map(|r| r.member.clone());
        self.members
            .record_indirect(reported.member.clone(), reported.age, now);
        if known.as_ref() != Some(&reported.member) {
            self.pending_updates.members.push(reported);
        }
    }

    /// Merges the leaving status that a source reports for an upstream; the later timestamp wins.
    pub(crate) fn merge_leaving_status(&mut self, status: LeavingStatus) {
        self.timeline.observe(status.stamp);
        let key = (status.upstream.clone(), status.source);
        if self
            .leaving_statuses
            .get(&key)
            .is_some_and(|known| known.stamp >= status.stamp)
        {
            return;
        }
        let was_leaving = self.is_leaving(&status.upstream);
        self.leaving_statuses.insert(key, status.clone());
        let is_leaving = self.is_leaving(&status.upstream);
        if was_leaving != is_leaving {
            let leaving_text = is_leaving.to_string();
            self.timeline.record(
                "upstream_leaving",
                &[("upstream", &status.upstream), ("leaving", &leaving_text)],
            );
        }
        for shard in self.shards.values_mut() {
            shard.set_leaving(&status.upstream, is_leaving);
        }
        self.pending_updates.leaving.push(status);
    }

    /// Records a leaving status of an upstream that this host received from `source`, unless it is
    /// already known.
    pub(crate) fn set_leaving_status(
        &mut self,
        upstream: &str,
        source: LeavingSource,
        leaving: bool,
    ) {
        let key = (upstream.to_owned(), source);
        if self
            .leaving_statuses
            .get(&key)
            .map_or(!leaving, |known| known.leaving == leaving)
        {
            return;
        }
        let stamp = self.timeline.stamp();
        self.merge_leaving_status(LeavingStatus {
            upstream: upstream.to_owned(),
            source,
            leaving,
            stamp,
        });
    }

    /// Records a verdict in the timeline and queues it for gossip.
    pub(crate) fn publish_verdict(&mut self, verdict: Verdict) {
        let name = match verdict.state {
            QuarantineState::Suspect => "request_suspect",
            QuarantineState::Cleared => "request_cleared",
            QuarantineState::Quarantined => "request_quarantined",
        };
        let fingerprint = format!("{:016x}", verdict.fingerprint);
        self.timeline.record(name, &[("fingerprint", &fingerprint)]);
        self.pending_updates.verdicts.push(verdict);
    }

    /// Sends the queued update to peers and subscribed gateways.
    pub(crate) fn send_pending_updates(&mut self) {
        if self.pending_updates.is_empty() {
            return;
        }
        let update = std::mem::take(&mut self.pending_updates);
        for tx in self.outgoing_peers.values() {
            tx.send(Request::GossipUpdate(Box::new(update.clone())));
        }
        for gateway in self.gateways.values().filter(|g| g.subscribed) {
            gateway
                .tx
                .send(Notice::GossipUpdate(Box::new(update.clone())));
        }
    }

    /// Sends the digest over every link after it changed.
    pub(crate) fn broadcast_digest(&self) {
        let digest = self.digest();
        for tx in self.outgoing_peers.values() {
            tx.send(Request::Digest(digest.clone()));
        }
        for gateway in self.gateways.values() {
            gateway.tx.send(Notice::Digest(digest.clone()));
        }
        for peer in self.incoming_peers.values() {
            peer.tx.send(Notice::Digest(digest.clone()));
        }
    }

    /// Merges the digest of the dispatcher on `host`, and requests its bundle if it is newer.
    pub(crate) fn merge_digest(&mut self, host: &str, digest: Digest) {
        self.timeline.observe(digest.stamp);
        self.peer_bundle_numbers
            .insert(host.to_owned(), digest.bundle);
        let now = self.now();
        if let Some(record) = self.members.get(host) {
            let mut member = record.member.clone();
            member.stopping = digest.stopping;
            self.members.record_heartbeat(member, now);
        }
        if digest.bundle > self.bundle_number() {
            self.request_bundle(host, digest.bundle);
        }
    }
}
