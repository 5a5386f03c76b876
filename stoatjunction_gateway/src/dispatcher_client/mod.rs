//! Client of the dispatchers: their links, the tickets queued at them, and the state that they
//! report.

mod notices;

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
    Hello, LeavingSource, LeavingStatus, RunningMessage, TicketMessage,
};
use stoatjunction_net::prelude::*;
use stoatjunction_net::settings::DaemonSettings;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Time for which a dispatcher without a link is skipped after a wait for the link timed out.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(2);

/// Event of a ticket, caused by its dispatcher or by a change of the links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TicketEvent {
    /// The request may be dispatched.
    Granted {
        ticket: TicketId,
        upstream: String,
        alone: bool,
    },
    /// The shard declined the request.
    Declined {
        ticket: TicketId,
        code: Code,
        floor: Option<Tier>,
        retry: Span,
    },
    /// Another dispatcher owns the shard now.
    Moved { ticket: TicketId },
    /// The request is preempted by a higher tier: it leaves the queue, or its run is cancelled.
    Revoked { ticket: TicketId },
}

/// Sender of ticket events to one request.
pub(crate) type TicketEventTx = mpsc::UnboundedSender<TicketEvent>;

/// A link to a dispatcher.
#[derive(Clone, Debug)]
struct DispatcherLink {
    member: Member,
    tx: LinkTx<Request>,
}

/// A ticket that is queued at a dispatcher or running.
#[derive(Debug)]
struct ActiveTicket {
    shard: ShardId,
    host: String,
    ticket: Ticket,
    events: TicketEventTx,
    /// Its run, once it was dispatched.
    run: Option<ActiveRun>,
}

/// The run of a dispatched ticket.
#[derive(Clone, Debug)]
struct ActiveRun {
    upstream: String,
    dispatched_at: Time,
    alone: bool,
}

/// State of the client.
#[derive(Debug, Default)]
struct Inner {
    links: IndexMap<String, DispatcherLink>,
    members: IndexMap<String, Member>,
    /// Hosts in other data centres to which a request needed a link.
    wanted_hosts: IndexSet<String>,
    /// Hosts that could not be reached, with the time of the latest attempt.
    unreachable: IndexMap<String, Instant>,
    /// Host of the dispatcher that sends news.
    subscribed: Option<String>,
    tickets: IndexMap<TicketId, ActiveTicket>,
    next_seq: u64,
    summaries: IndexMap<ShardId, ShardSummary>,
    leaving: IndexMap<(String, LeavingSource), LeavingStatus>,
    quarantine: Quarantine,
    bundle: Option<Arc<Bundle>>,
    signed: Option<SignedBundle>,
}

/// Client of the dispatchers, shared by all requests of a gateway.
#[derive(Debug)]
pub(crate) struct DispatcherClient {
    pub(crate) id: GatewayId,
    cfg: DaemonSettings,
    clock: Clock,
    timeline: Timeline,
    inner: Mutex<Inner>,
    changed: Notify,
}

impl DispatcherClient {
    pub(crate) fn new(cfg: &DaemonSettings, clock: Clock, timeline: Timeline) -> DispatcherClient {
        DispatcherClient {
            id: GatewayId(fastrand::u64(..)),
            cfg: cfg.clone(),
            clock,
            timeline,
            inner: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the configuration bundle in force.
    pub(crate) fn bundle(&self) -> Option<Arc<Bundle>> {
        self.lock().bundle.clone()
    }

    /// Returns the latest load summary of each shard.
    pub(crate) fn summaries(&self) -> IndexMap<ShardId, ShardSummary> {
        self.lock().summaries.clone()
    }

    /// Returns true when requests with this fingerprint must be refused.
    pub(crate) fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.lock().quarantine.is_quarantined(fingerprint)
    }

    /// Returns true when requests with this fingerprint have to run alone on their upstream.
    pub(crate) fn is_suspect(&self, fingerprint: u64) -> bool {
        self.lock().quarantine.is_suspect(fingerprint)
    }

    /// Returns true when any source marks the upstream as leaving.
    pub(crate) fn is_leaving(&self, upstream: &str) -> bool {
        let inner = self.lock();
        [LeavingSource::HostList, LeavingSource::Operator]
            .iter()
            .any(|s| {
                inner
                    .leaving
                    .get(&(upstream.to_owned(), *s))
                    .is_some_and(|status| status.leaving)
            })
    }

    /// Returns the addresses of dispatchers that should have a link: those of the local data
    /// centre, those that a request needed, and the seeds.
    pub(crate) fn wanted_addrs(&self) -> Vec<String> {
        let inner = self.lock();
        let is_wanted = |m: &&Member| m.dc == self.cfg.dc || inner.wanted_hosts.contains(&m.host);
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

    /// Returns the host that owns `shard` once it has a link. After `timeout` it marks the owner as
    /// unreachable and returns `None`.
    pub(crate) async fn wait_for_owner(
        &self,
        shard: &ShardId,
        timeout: Duration,
    ) -> Option<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let changed = self.changed.notified();
            if let Some(host) = self.linked_owner(shard) {
                return Some(host);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                self.mark_unreachable(shard);
                return None;
            }
        }
    }

    fn linked_owner(&self, shard: &ShardId) -> Option<String> {
        let mut inner = self.lock();
        let owner = inner.owner(shard, &self.cfg.dc)?;
        if inner.links.contains_key(&owner) {
            return Some(owner);
        }
        inner.wanted_hosts.insert(owner);
        None
    }

    fn mark_unreachable(&self, shard: &ShardId) {
        let mut inner = self.lock();
        if let Some(owner) = inner.owner(shard, &self.cfg.dc) {
            inner.unreachable.insert(owner, Instant::now());
        }
    }

    /// Queues a new ticket at `host`; `make_ticket` builds it from its ID. Returns `None` when the
    /// link is gone.
    pub(crate) fn enqueue<F>(
        &self,
        host: &str,
        shard: &ShardId,
        events: &TicketEventTx,
        make_ticket: F,
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
        let ticket = make_ticket(id);
        let message = TicketMessage::from_ticket(&ticket, self.clock.now());
        let link = inner.links.get(host)?;
        let request = Request::Enqueue {
            shard: shard.clone(),
            ticket: Box::new(message),
        };
        if !link.tx.send(request) {
            return None;
        }
        let entry = ActiveTicket {
            shard: shard.clone(),
            host: host.to_owned(),
            ticket,
            events: events.clone(),
            run: None,
        };
        inner.tickets.insert(id, entry);
        Some(id)
    }

    /// Withdraws a ticket that was not dispatched.
    pub(crate) fn withdraw(&self, id: TicketId) {
        let mut inner = self.lock();
        let Some(entry) = inner.tickets.swap_remove(&id) else {
            return;
        };
        inner.send(
            &entry.host,
            Request::Withdraw {
                shard: entry.shard,
                ticket: id,
            },
        );
    }

    /// Removes a ticket that its dispatcher declined.
    pub(crate) fn remove_ticket(&self, id: TicketId) {
        self.lock().tickets.swap_remove(&id);
    }

    /// Records that the ticket was dispatched to `upstream`.
    pub(crate) fn record_dispatched(&self, id: TicketId, upstream: &str, alone: bool) {
        let mut inner = self.lock();
        let now = self.clock.now();
        let Some(entry) = inner.tickets.get_mut(&id) else {
            return;
        };
        entry.run = Some(ActiveRun {
            upstream: upstream.to_owned(),
            dispatched_at: now,
            alone,
        });
        let (host, shard) = (entry.host.clone(), entry.shard.clone());
        inner.send(&host, Request::Dispatched { shard, ticket: id });
    }

    /// Reports the end of a dispatched ticket to the dispatcher that granted it and to the current
    /// owner of the shard.
    pub(crate) fn record_finished(&self, id: TicketId, report: FinishReport) {
        let mut inner = self.lock();
        let Some(entry) = inner.tickets.swap_remove(&id) else {
            return;
        };
        let owner = inner.owner(&entry.shard, &self.cfg.dc);
        let finished = Request::Finished {
            shard: entry.shard,
            ticket: id,
            report,
        };
        if let Some(owner) = owner.filter(|o| *o != entry.host) {
            inner.send(&owner, finished.clone());
        }
        inner.send(&entry.host, finished);
    }

    /// Registers a new link to `member`. Returns false when there is one already, through another
    /// address.
    pub(crate) fn link_up(&self, member: Member, tx: LinkTx<Request>, hello: Hello) -> bool {
        let mut inner = self.lock();
        if inner.links.contains_key(&member.host) {
            return false;
        }
        // The hello makes the dispatcher drop the tickets of this gateway's previous link.
        tx.send(Request::Hello(hello));
        self.timeline
            .record("dispatcher_up", &[("dispatcher", &member.host)]);
        let host = member.host.clone();
        let new_host = host.clone();
        inner.unreachable.swap_remove(&host);
        inner.members.insert(host.clone(), member.clone());
        inner.links.insert(host, DispatcherLink { member, tx });
        self.update_after_link_change(&mut inner, Some(&new_host));
        drop(inner);
        self.changed.notify_waiters();
        true
    }

    /// Waits until there is no link to `host`.
    pub(crate) async fn wait_link_down(&self, host: &str) {
        loop {
            let changed = self.changed.notified();
            if !self.lock().links.contains_key(host) {
                return;
            }
            changed.await;
        }
    }

    /// Removes the link to `host` and moves the requests that are queued there.
    pub(crate) fn link_down(&self, host: &str) {
        let mut inner = self.lock();
        self.timeline
            .record("dispatcher_gone", &[("dispatcher", host)]);
        inner.links.shift_remove(host);
        if inner.subscribed.as_deref() == Some(host) {
            inner.subscribed = None;
        }
        for (id, entry) in inner
            .tickets
            .iter()
            .filter(|(_, t)| t.host == host && t.run.is_none())
        {
            let _ = entry.events.send(TicketEvent::Moved { ticket: *id });
        }
        self.update_after_link_change(&mut inner, None);
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Updates subscription and tickets after a change of links or owners: subscribes to one
    /// dispatcher, moves queued tickets to the owners of their shards, and announces running ones
    /// to owners that do not know them: new owners, and `new_host`, whose link just came up.
    fn update_after_link_change(&self, inner: &mut Inner, new_host: Option<&str>) {
        inner.subscribe(&self.cfg.dc);
        let tickets: Vec<TicketId> = inner.tickets.keys().copied().collect();
        for id in tickets {
            let entry = &inner.tickets[&id];
            let owner = inner.owner(&entry.shard, &self.cfg.dc);
            let Some(owner) = owner.filter(|o| inner.links.contains_key(o)) else {
                continue;
            };
            let owner_changed = owner != entry.host;
            if entry.run.is_some() && (owner_changed || new_host == Some(owner.as_str())) {
                self.announce_run(inner, id, owner);
            } else if owner_changed {
                let _ = entry.events.send(TicketEvent::Moved { ticket: id });
            }
        }
    }

    /// Announces a running ticket to `owner`, and reports it as finished to its previous dispatcher.
    fn announce_run(&self, inner: &mut Inner, id: TicketId, owner: String) {
        let now = self.clock.now();
        let entry = &inner.tickets[&id];
        let (shard, previous) = (entry.shard.clone(), entry.host.clone());
        let Some(run) = &entry.run else { return };
        let running = Box::new(RunningMessage {
            ticket: TicketMessage::from_ticket(&entry.ticket, now),
            upstream: run.upstream.clone(),
            age: now.since(run.dispatched_at),
            alone: run.alone,
        });
        inner.send(
            &owner,
            Request::Running {
                shard: shard.clone(),
                running,
            },
        );
        if previous == owner {
            return;
        }
        let report = FinishReport::default();
        inner.send(
            &previous,
            Request::Finished {
                shard,
                ticket: id,
                report,
            },
        );
        if let Some(entry) = inner.tickets.get_mut(&id) {
            entry.host = owner;
        }
    }

    /// Returns the hosts of the linked dispatchers.
    pub(crate) fn linked_hosts(&self) -> Vec<String> {
        self.lock().links.keys().cloned().collect()
    }

    /// Returns the number of tickets that are queued or running.
    pub(crate) fn active_tickets(&self) -> usize {
        self.lock().tickets.len()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("dispatcher client lock is not poisoned")
    }
}

impl Inner {
    fn bundle_number(&self) -> u64 {
        self.bundle.as_ref().map_or(0, |b| b.number)
    }

    fn send(&self, host: &str, request: Request) {
        if let Some(link) = self.links.get(host) {
            link.tx.send(request);
        }
    }

    /// Returns the owner of `shard`: for the local data centre among the linked dispatchers, for
    /// others among the known ones that were not marked unreachable recently.
    fn owner(&self, shard: &ShardId, dc: &str) -> Option<String> {
        let owner = if shard.dc == dc {
            let links = self.links.values().map(|l| &l.member);
            let live = links.filter(|m| m.dc == dc && !m.stopping);
            shard_owner(live.map(|m| m.host.as_str()), shard)
        } else {
            let known = self
                .members
                .values()
                .filter(|m| m.dc == shard.dc && !m.stopping);
            let reachable = known.filter(|m| !self.is_unreachable(&m.host));
            shard_owner(reachable.map(|m| m.host.as_str()), shard)
        };
        owner.map(str::to_owned)
    }

    fn is_unreachable(&self, host: &str) -> bool {
        self.unreachable
            .get(host)
            .is_some_and(|marked_at| marked_at.elapsed() < UNREACHABLE_PERIOD)
    }

    fn subscribe(&mut self, dc: &str) {
        if self
            .subscribed
            .as_ref()
            .is_some_and(|h| self.links.contains_key(h))
        {
            return;
        }
        let local = self
            .links
            .iter()
            .find(|(_, l)| l.member.dc == dc && !l.member.stopping);
        let Some((host, link)) = local else { return };
        if link.tx.send(Request::Subscribe) {
            self.subscribed = Some(host.clone());
        }
    }
}
