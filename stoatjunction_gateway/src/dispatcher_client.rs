//! What the gateway knows of dispatchers, and its requests' line to them.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::id::{GatewayId, ShardId, TicketId};
use stoatjunction_core::membership::{Member, shard_owner};
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::{FinishReport, Ticket};
use stoatjunction_core::spillover::ShardSummary;
use stoatjunction_net::bundle::SignedBundle;
use stoatjunction_net::link::LinkTx;
use stoatjunction_net::message::{
    Digest, Hello, LeavingSource, LeavingStatus, News, Notice, RunningMessage, TicketMessage,
};
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Time for which a dispatcher that could not be reached is passed over.
const SHUN: Duration = Duration::from_secs(2);

/// What a dispatcher, or the loss of one, has to say to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The request may be dispatched.
    Granted {
        ticket: TicketId,
        upstream: String,
        alone: bool,
    },
    /// The shard gave the request up.
    Declined {
        ticket: TicketId,
        code: Code,
        floor: Option<Tier>,
        retry: Span,
    },
    /// Another dispatcher owns the shard now.
    Moved { ticket: TicketId },
    /// The running request has to be cancelled.
    Revoked { ticket: TicketId },
}

/// Line from the hub to one request.
pub(crate) type TurnTx = mpsc::UnboundedSender<Turn>;

/// A link to a dispatcher.
#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    tx: LinkTx<Request>,
}

/// A request that a dispatcher holds, or that runs.
#[derive(Debug)]
struct Held {
    shard: ShardId,
    host: String,
    ticket: Ticket,
    tx: TurnTx,
    /// How it runs, once it was dispatched.
    running: Option<Dispatched>,
}

#[derive(Clone, Debug)]
struct Dispatched {
    upstream: String,
    at: Time,
    alone: bool,
}

#[derive(Debug, Default)]
struct Inner {
    peers: IndexMap<String, Peer>,
    members: IndexMap<String, Member>,
    wanted: IndexSet<String>,
    shunned: IndexMap<String, Instant>,
    subscribed: Option<String>,
    held: IndexMap<TicketId, Held>,
    next_seq: u64,
    summaries: IndexMap<ShardId, ShardSummary>,
    leaving: IndexMap<(String, LeavingSource), LeavingStatus>,
    quarantine: Quarantine,
    bundle: Option<Arc<Bundle>>,
    signed: Option<SignedBundle>,
}

/// The gateway's view of the dispatchers.
#[derive(Debug)]
pub(crate) struct Hub {
    pub(crate) id: GatewayId,
    cfg: DaemonSettings,
    clock: Clock,
    timeline: Timeline,
    inner: Mutex<Inner>,
    changed: Notify,
}

impl Hub {
    pub(crate) fn new(cfg: &DaemonSettings, clock: Clock, timeline: Timeline) -> Hub {
        Hub {
            id: GatewayId(fastrand::u64(..)),
            cfg: cfg.clone(),
            clock,
            timeline,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// The bundle in force.
    pub(crate) fn bundle(&self) -> Option<Arc<Bundle>> {
        self.lock().bundle.clone()
    }

    /// What shards said of themselves.
    pub(crate) fn summaries(&self) -> IndexMap<ShardId, ShardSummary> {
        self.lock().summaries.clone()
    }

    /// True when the request with this fingerprint must be refused.
    pub(crate) fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.lock().quarantine.is_quarantined(fingerprint)
    }

    /// True when the request with this fingerprint has to run alone.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        self.lock().quarantine.is_suspect(fingerprint)
    }

    /// True when any source says that the upstream is leaving.
    pub(crate) fn is_leaving(&self, upstream: &str) -> bool {
        let inner = self.lock();
        [LeavingSource::HostList, LeavingSource::Operator]
            .iter()
            .any(|s| {
                inner
                    .leaving
                    .get(&(upstream.to_owned(), *s))
                    .is_some_and(|m| m.leaving)
            })
    }

    /// Addresses that should be linked with.
    pub(crate) fn wanted(&self) -> Vec<String> {
        let inner = self.lock();
        let is_wanted = |m: &&Member| m.dc == self.cfg.dc || inner.wanted.contains(&m.host);
        let mut addrs: Vec<String> = inner
            .members
            .values()
            .filter(is_wanted)
            .map(|m| m.addr.clone())
            .collect();
        addrs.extend(self.cfg.seeds.iter().cloned());
        addrs.sort();
        addrs.dedup();
        addrs
    }

    /// A host whose link is up and that owns `shard`; waits at most `limit` for a link.
    pub(crate) async fn reach(&self, shard: &ShardId, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            let changed = self.changed.notified();
            if let Some(host) = self.try_reach(shard) {
                return Some(host);
            }
            if tokio::time::timeout_at(until, changed).await.is_err() {
                self.shun(shard);
                return None;
            }
        }
    }

    fn try_reach(&self, shard: &ShardId) -> Option<String> {
        let mut inner = self.lock();
        let owner = inner.owner(shard, &self.cfg.dc)?;
        if inner.peers.contains_key(&owner) {
            return Some(owner);
        }
        inner.wanted.insert(owner);
        None
    }

    fn shun(&self, shard: &ShardId) {
        let mut inner = self.lock();
        if let Some(owner) = inner.owner(shard, &self.cfg.dc) {
            inner.shunned.insert(owner, Instant::now());
        }
    }

    /// Queues `call`'s ticket at `host`. The ticket is made by `make` from its new number.
    pub(crate) fn enqueue<F>(
        &self,
        host: &str,
        shard: &ShardId,
        tx: &TurnTx,
        make: F,
    ) -> Option<TicketId>
    where
        F: FnOnce(TicketId) -> Ticket,
    {
        let mut inner = self.lock();
        inner.next_seq += 1;
        let id = TicketId {
            gateway: self.id,
            seq: inner.next_seq,
        };
        let ticket = make(id);
        let message = TicketMessage::from_ticket(&ticket, self.clock.now());
        let peer = inner.peers.get(host)?;
        let request = Request::Enqueue {
            shard: shard.clone(),
            ticket: Box::new(message),
        };
        if !peer.tx.send(request) {
            return None;
        }
        let held = Held {
            shard: shard.clone(),
            host: host.to_owned(),
            ticket,
            tx: tx.clone(),
            running: None,
        };
        inner.held.insert(id, held);
        Some(id)
    }

    /// Takes a ticket back that was not dispatched.
    pub(crate) fn withdraw(&self, id: TicketId) {
        let mut inner = self.lock();
        let Some(held) = inner.held.swap_remove(&id) else {
            return;
        };
        inner.send(
            &held.host,
            Request::Withdraw {
                shard: held.shard,
                ticket: id,
            },
        );
    }

    /// Forgets a ticket that its dispatcher gave up.
    pub(crate) fn forget(&self, id: TicketId) {
        self.lock().held.swap_remove(&id);
    }

    /// Records that the ticket was dispatched to `upstream`.
    pub(crate) fn dispatched(&self, id: TicketId, upstream: &str, alone: bool) {
        let mut inner = self.lock();
        let now = self.clock.now();
        let Some(held) = inner.held.get_mut(&id) else {
            return;
        };
        held.running = Some(Dispatched {
            upstream: upstream.to_owned(),
            at: now,
            alone,
        });
        let (host, shard) = (held.host.clone(), held.shard.clone());
        inner.send(&host, Request::Dispatched { shard, ticket: id });
    }

    /// Records how a dispatched ticket ended, with the dispatcher that granted it and with the
    /// shard's present owner.
    pub(crate) fn finished(&self, id: TicketId, report: FinishReport) {
        let mut inner = self.lock();
        let Some(held) = inner.held.swap_remove(&id) else {
            return;
        };
        let owner = inner.owner(&held.shard, &self.cfg.dc);
        let finished = Request::Finished {
            shard: held.shard,
            ticket: id,
            report,
        };
        if let Some(owner) = owner.filter(|o| *o != held.host) {
            inner.send(&owner, finished.clone());
        }
        inner.send(&held.host, finished);
    }

    /// A link to `member` came up. False when there is one already, through another address.
    pub(crate) fn peer_up(&self, member: Member, tx: LinkTx<Request>, hello: Hello) -> bool {
        let mut inner = self.lock();
        if inner.peers.contains_key(&member.host) {
            return false;
        }
        // A dispatcher that hears from the gateway on a new link forgets what the old one held.
        tx.send(Request::Hello(hello));
        self.timeline
            .record("dispatcher_up", &[("dispatcher", &member.host)]);
        let host = member.host.clone();
        let fresh = host.clone();
        inner.shunned.swap_remove(&host);
        inner.members.insert(host.clone(), member.clone());
        inner.peers.insert(host, Peer { member, tx });
        self.settle(&mut inner, Some(&fresh));
        drop(inner);
        self.changed.notify_waiters();
        true
    }

    /// Waits until there is no link to `host`.
    pub(crate) async fn until_gone(&self, host: &str) {
        loop {
            let changed = self.changed.notified();
            if !self.lock().peers.contains_key(host) {
                return;
            }
            changed.await;
        }
    }

    /// The link to `host` is gone.
    pub(crate) fn peer_gone(&self, host: &str) {
        let mut inner = self.lock();
        self.timeline
            .record("dispatcher_gone", &[("dispatcher", host)]);
        inner.peers.shift_remove(host);
        if inner.subscribed.as_deref() == Some(host) {
            inner.subscribed = None;
        }
        for (id, held) in inner
            .held
            .iter()
            .filter(|(_, h)| h.host == host && h.running.is_none())
        {
            let _ = held.tx.send(Turn::Moved { ticket: *id });
        }
        self.settle(&mut inner, None);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Takes in a message from `host`.
    pub(crate) fn take(&self, host: &str, notice: Notice) {
        match notice {
            Notice::Welcome(_) => {}
            Notice::Grant {
                ticket,
                upstream,
                alone,
            } => {
                if !self.turn(
                    ticket,
                    Turn::Granted {
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
                self.turn(
                    ticket,
                    Turn::Declined {
                        ticket,
                        code,
                        floor,
                        retry,
                    },
                );
            }
            Notice::Revoke { ticket } => {
                self.turn(ticket, Turn::Revoked { ticket });
            }
            Notice::Digest(digest) => self.take_digest(host, digest),
            Notice::News(news) => self.take_news(*news),
            Notice::Bundle(signed) => self.install(*signed),
        }
    }

    fn turn(&self, id: TicketId, turn: Turn) -> bool {
        let inner = self.lock();
        inner
            .held
            .get(&id)
            .is_some_and(|held| held.tx.send(turn).is_ok())
    }

    /// Gives a grant back that came for a ticket not held any more.
    fn return_grant(&self, host: &str, ticket: TicketId) {
        let inner = self.lock();
        let shards: Vec<ShardId> = inner.summaries.keys().cloned().collect();
        for shard in shards {
            inner.send(host, Request::Withdraw { shard, ticket });
        }
    }

    fn take_digest(&self, host: &str, digest: Digest) {
        self.timeline.observe(digest.stamp);
        let mut inner = self.lock();
        let newer = digest.bundle > inner.bundle_number();
        if let Some(peer) = inner.peers.get_mut(host) {
            peer.member.stopping = digest.stopping;
        }
        if newer {
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
        self.settle(&mut inner, None);
        drop(inner);
        self.changed.notify_waiters();
    }

    fn take_news(&self, news: News) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for heard in news.members {
            inner
                .members
                .insert(heard.member.host.clone(), heard.member);
        }
        for mark in news.leaving {
            let key = (mark.upstream.clone(), mark.source);
            if inner
                .leaving
                .get(&key)
                .is_none_or(|known| known.stamp < mark.stamp)
            {
                inner.leaving.insert(key, mark);
            }
        }
        for verdict in news.verdicts {
            inner.quarantine.merge(verdict, now);
        }
        for summary in news.shards {
            inner.summaries.insert(summary.shard.clone(), summary);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Takes a bundle into force when its number is higher and everything about it is in order.
    fn install(&self, mut signed: SignedBundle) {
        let mut inner = self.lock();
        let number = signed.record.number;
        if number <= inner.bundle_number() {
            return;
        }
        let held = inner
            .signed
            .as_ref()
            .map_or(Vec::new(), |s| s.parts.clone());
        signed.fill_missing_parts(&held);
        let text = number.to_string();
        match signed.verify_and_parse(&self.cfg.operators) {
            Err(e) => {
                let error = e.to_string();
                self.timeline
                    .record("bundle_rejected", &[("number", &text), ("error", &error)]);
            }
            Ok(bundle) => {
                inner.bundle = Some(Arc::new(bundle));
                inner.signed = Some(signed);
                self.timeline
                    .record("bundle_in_force", &[("number", &text)]);
            }
        }
    }

    /// After a change of links: subscribes to one dispatcher, moves queued requests to the owners
    /// of their shards, and declares running ones there; `fresh` knows nothing of them yet.
    fn settle(&self, inner: &mut Inner, fresh: Option<&str>) {
        inner.subscribe(&self.cfg.dc);
        let tickets: Vec<TicketId> = inner.held.keys().copied().collect();
        for id in tickets {
            let held = &inner.held[&id];
            let owner = inner.owner(&held.shard, &self.cfg.dc);
            let Some(owner) = owner.filter(|o| inner.peers.contains_key(o)) else {
                continue;
            };
            let moved = owner != held.host;
            if held.running.is_some() && (moved || fresh == Some(owner.as_str())) {
                self.declare(inner, id, owner);
            } else if moved {
                let _ = held.tx.send(Turn::Moved { ticket: id });
            }
        }
    }

    /// Tells `owner` of a running request, and the dispatcher that held it before that it no
    /// longer counts there.
    fn declare(&self, inner: &mut Inner, id: TicketId, owner: String) {
        let now = self.clock.now();
        let held = &inner.held[&id];
        let (shard, before) = (held.shard.clone(), held.host.clone());
        let Some(run) = &held.running else { return };
        let running = Box::new(RunningMessage {
            ticket: TicketMessage::from_ticket(&held.ticket, now),
            upstream: run.upstream.clone(),
            age: now.since(run.at),
            alone: run.alone,
        });
        inner.send(
            &owner,
            Request::Running {
                shard: shard.clone(),
                running,
            },
        );
        if before == owner {
            return;
        }
        let report = FinishReport::default();
        inner.send(
            &before,
            Request::Finished {
                shard,
                ticket: id,
                report,
            },
        );
        if let Some(held) = inner.held.get_mut(&id) {
            held.host = owner;
        }
    }

    /// Hosts of the linked dispatchers.
    pub(crate) fn linked(&self) -> Vec<String> {
        self.lock().peers.keys().cloned().collect()
    }

    /// Number of requests that dispatchers hold or that run.
    pub(crate) fn held(&self) -> usize {
        self.lock().held.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the hub panics")
    }
}

impl Inner {
    fn bundle_number(&self) -> u64 {
        self.bundle.as_ref().map_or(0, |b| b.number)
    }

    fn send(&self, host: &str, request: Request) {
        if let Some(peer) = self.peers.get(host) {
            peer.tx.send(request);
        }
    }

    /// The owner of `shard`: in the own data centre among the linked dispatchers, elsewhere among
    /// the known ones that were not found unreachable just now.
    fn owner(&self, shard: &ShardId, dc: &str) -> Option<String> {
        let owner = if shard.dc == dc {
            let peers = self.peers.values().map(|p| &p.member);
            let live = peers.filter(|m| m.dc == dc && !m.stopping);
            shard_owner(live.map(|m| m.host.as_str()), shard)
        } else {
            let known = self
                .members
                .values()
                .filter(|m| m.dc == shard.dc && !m.stopping);
            let open = known.filter(|m| !self.is_shunned(&m.host));
            shard_owner(open.map(|m| m.host.as_str()), shard)
        };
        owner.map(str::to_owned)
    }

    fn is_shunned(&self, host: &str) -> bool {
        self.shunned.get(host).is_some_and(|at| at.elapsed() < SHUN)
    }

    fn subscribe(&mut self, dc: &str) {
        if self
            .subscribed
            .as_ref()
            .is_some_and(|h| self.peers.contains_key(h))
        {
            return;
        }
        let local = self
            .peers
            .iter()
            .find(|(_, p)| p.member.dc == dc && !p.member.stopping);
        let Some((host, peer)) = local else { return };
        if peer.tx.send(Request::Subscribe) {
            self.subscribed = Some(host.clone());
        }
    }
}
