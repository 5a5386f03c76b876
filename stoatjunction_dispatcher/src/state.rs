//! State of a dispatcher, shared by the event loop, the background tasks and the admin interface.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::id::{GatewayId, ShardId};
use stoatjunction_core::membership::{Member, MemberTable};
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::{Shard, ShardSettings};
use stoatjunction_core::spillover::ShardSummary;
use stoatjunction_core::time::Time;
use stoatjunction_net::bundle::SignedBundle;
use stoatjunction_net::link::LinkTx;
use stoatjunction_net::message::{
    Digest, GossipUpdate, LeavingSource, LeavingStatus, Notice, Request,
};
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;

use crate::crash_detector::CrashDetector;
use crate::event::LinkId;

/// An accepted link from a gateway.
#[derive(Debug)]
pub(crate) struct GatewayLink {
    pub(crate) id: GatewayId,
    pub(crate) host: String,
    pub(crate) tx: LinkTx<Notice>,
    pub(crate) subscribed: bool,
}

/// An accepted link from another dispatcher.
#[derive(Debug)]
pub(crate) struct PeerLink {
    pub(crate) member: Member,
    pub(crate) tx: LinkTx<Notice>,
}

/// State of a dispatcher.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) cfg: DaemonSettings,
    pub(crate) shard_cfg: ShardSettings,
    pub(crate) clock: Clock,
    pub(crate) timeline: Timeline,
    pub(crate) metrics: Metrics,
    /// Membership entry of this dispatcher.
    pub(crate) own_member: Member,
    pub(crate) members: MemberTable,
    /// Shards held by this dispatcher: owned ones, and others that are not idle yet.
    pub(crate) shards: IndexMap<ShardId, Shard>,
    pub(crate) owned_shards: IndexSet<ShardId>,
    pub(crate) gateways: IndexMap<LinkId, GatewayLink>,
    /// Links that other dispatchers opened.
    pub(crate) incoming_peers: IndexMap<LinkId, PeerLink>,
    /// Links that this dispatcher opened, by host.
    pub(crate) outgoing_peers: IndexMap<String, LinkTx<Request>>,
    pub(crate) quarantine: Quarantine,
    /// Leaving statuses by upstream and source.
    pub(crate) leaving_statuses: IndexMap<(String, LeavingSource), LeavingStatus>,
    /// Latest summaries of all known shards, of this and other dispatchers.
    pub(crate) shard_summaries: IndexMap<ShardId, ShardSummary>,
    pub(crate) crash_detector: CrashDetector,
    /// Bundle in force.
    pub(crate) bundle: Option<Arc<Bundle>>,
    /// Signed form of the bundle in force, as served to peers and gateways.
    pub(crate) signed_bundle: Option<SignedBundle>,
    /// Last reported numbers of the bundles in force on other hosts.
    pub(crate) peer_bundle_numbers: HashMap<String, u64>,
    /// Changes that were not gossiped yet.
    pub(crate) pending_updates: GossipUpdate,
}

impl State {
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn bundle_number(&self) -> u64 {
        self.bundle.as_ref().map_or(0, |b| b.number)
    }

    pub(crate) fn digest(&self) -> Digest {
        Digest {
            bundle: self.bundle_number(),
            stopping: self.own_member.stopping,
            stamp: self.timeline.stamp(),
        }
    }

    /// Returns the hosts of this data centre that are alive and not shutting down, including this
    /// one.
    pub(crate) fn live_hosts(&self) -> Vec<String> {
        let timeout = self.cfg.link.timeout.into();
        let live = self.members.live_in_dc(&self.cfg.dc, timeout, self.now());
        let mut hosts: Vec<String> = live.map(|m| m.host.clone()).collect();
        if !self.own_member.stopping {
            hosts.push(self.own_member.host.clone());
        }
        hosts
    }

    /// Returns the sender of the newest link of gateway `id`.
    pub(crate) fn gateway_tx(&self, id: GatewayId) -> Option<&LinkTx<Notice>> {
        self.gateways
            .values()
            .rev()
            .find(|g| g.id == id)
            .map(|g| &g.tx)
    }

    /// Returns true if any source reports that the upstream is leaving.
    pub(crate) fn is_leaving(&self, upstream: &str) -> bool {
        [LeavingSource::HostList, LeavingSource::Operator]
            .iter()
            .any(|s| {
                self.leaving_statuses
                    .get(&(upstream.to_owned(), *s))
                    .is_some_and(|status| status.leaving)
            })
    }
}
