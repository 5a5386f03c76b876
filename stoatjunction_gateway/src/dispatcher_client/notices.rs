//! What the client does with the messages of dispatchers.

use std::sync::Arc;

use stoatjunction_core::id::{ShardId, TicketId};
use stoatjunction_net::bundle::SignedBundle;
use stoatjunction_net::message::{Digest, GossipUpdate, Notice};
use stoatjunction_net::prelude::*;

use super::{DispatcherClient, TicketEvent};

impl DispatcherClient {
    /// Handles a message from `host`.
    pub(crate) fn handle_notice(&self, host: &str, notice: Notice) {
        match notice {
            Notice::Welcome(_) => {}
            Notice::Grant {
                ticket,
                upstream,
                alone,
            } => {
                if !self.send_event(
                    ticket,
                    TicketEvent::Granted {
                        ticket,
                        upstream,
                        alone,
                    },
                ) {
                    self.return_grant(host, ticket);
                }
            }
            Notice::Decline {
                ticket,
                code,
                floor,
                retry,
            } => {
                self.send_event(
                    ticket,
                    TicketEvent::Declined {
                        ticket,
                        code,
                        floor,
                        retry,
                    },
                );
            }
            Notice::Revoke { ticket } => {
                self.send_event(ticket, TicketEvent::Revoked { ticket });
            }
            Notice::Digest(digest) => self.apply_digest(host, digest),
            Notice::GossipUpdate(update) => self.apply_update(*update),
            Notice::Bundle(signed) => self.install_bundle(*signed),
        }
    }

    fn send_event(&self, id: TicketId, event: TicketEvent) -> bool {
        let inner = self.lock();
        inner
            .tickets
            .get(&id)
            .is_some_and(|entry| entry.events.send(event).is_ok())
    }

    /// Returns a grant for a ticket that is no longer active. A grant does not name its shard, so
    /// the withdrawal goes to all known shards.
    fn return_grant(&self, host: &str, ticket: TicketId) {
        let inner = self.lock();
        let shards: Vec<ShardId> = inner.summaries.keys().cloned().collect();
        for shard in shards {
            inner.send(host, Request::Withdraw { shard, ticket });
        }
    }

    fn apply_digest(&self, host: &str, digest: Digest) {
        self.timeline.observe(digest.stamp);
        let mut inner = self.lock();
        let is_newer = digest.bundle > inner.bundle_number();
        if let Some(link) = inner.links.get_mut(host) {
            link.member.stopping = digest.stopping;
        }
        if is_newer {
            let have = inner
                .signed
                .as_ref()
                .map_or(Vec::new(), |s| s.record.parts.clone());
            inner.send(
                host,
                Request::FetchBundle {
                    number: digest.bundle,
                    have,
                },
            );
        }
        self.update_after_link_change(&mut inner, None);
        drop(inner);
        self.changed.notify_waiters();
    }

    fn apply_update(&self, update: GossipUpdate) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for reported in update.members {
            inner
                .members
                .insert(reported.member.host.clone(), reported.member);
        }
        for status in update.leaving {
            let key = (status.upstream.clone(), status.source);
            if inner
                .leaving
                .get(&key)
                .is_none_or(|known| known.stamp < status.stamp)
            {
                inner.leaving.insert(key, status);
            }
        }
        for verdict in update.verdicts {
            inner.quarantine.merge(verdict, now);
        }
        for summary in update.shards {
            inner.summaries.insert(summary.shard.clone(), summary);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Puts a bundle into force when its number is higher and it is valid.
    fn install_bundle(&self, mut signed: SignedBundle) {
        let mut inner = self.lock();
        let number = signed.record.number;
        if number <= inner.bundle_number() {
            return;
        }
        let known_parts = inner
            .signed
            .as_ref()
            .map_or(Vec::new(), |s| s.parts.clone());
        signed.fill_missing_parts(&known_parts);
        let number_text = number.to_string();
        match signed.verify_and_parse(&self.cfg.operators) {
            Err(e) => {
                let error = e.to_string();
                self.timeline.record(
                    "bundle_rejected",
                    &[("number", &number_text), ("error", &error)],
                );
            }
            Ok(bundle) => {
                inner.bundle = Some(Arc::new(bundle));
                inner.signed = Some(signed);
                self.timeline
                    .record("bundle_in_force", &[("number", &number_text)]);
            }
        }
    }
}
