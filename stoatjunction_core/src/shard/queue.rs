//! Request queue: strict priority between tiers, weighted fair queueing between the organisations
//! of a tier, earliest deadline first within an organisation.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::Ticket;
use crate::id::{GatewayId, TicketId, Tier};
use crate::time::{Span, Time};

/// A queued request with estimates of its work and duration.
#[derive(Clone, Debug)]
pub(super) struct QueuedRequest {
    pub(super) ticket: Ticket,
    /// Estimated seconds that it occupies a slot.
    pub(super) work: f64,
    /// Bit set of the roles that may serve it.
    pub(super) role_mask: u64,
    /// Expected answer length in tokens.
    pub(super) expected_output: f64,
    /// Answer length in tokens that is planned for.
    pub(super) planned_output: f64,
    /// Time needed on the fastest upstream with no queue, for a short answer.
    pub(super) min_duration: Option<Span>,
    /// Time needed on the fastest upstream with no queue, for `planned_output`, with a margin.
    pub(super) planned_duration: Option<Span>,
    pub(super) enqueued: Time,
}

#[derive(Clone, Debug, Default)]
struct Organisation {
    /// Granted work divided by the organisation's share, in seconds (start-time fair queueing,
    /// Goyal, Vin and Cheng 1996).
    virtual_time: f64,
    /// Queued work in seconds.
    work: f64,
    requests: BTreeMap<(Time, TicketId), QueuedRequest>,
}

#[derive(Clone, Debug, Default)]
struct TierQueue {
    organisations: IndexMap<String, Organisation>,
    /// Virtual time of the latest grant, at which an idle organisation resumes.
    virtual_time: f64,
    work: f64,
    count: usize,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    tiers: BTreeMap<Tier, TierQueue>,
    positions: IndexMap<TicketId, (Tier, String, Time)>,
    deadlines: BTreeSet<(Time, TicketId)>,
}

/// Number of organisations in a tier above which idle ones without virtual time ahead are dropped.
const MAX_IDLE_ORGANISATIONS: usize = 4_096;

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(super) fn push(&mut self, queued: QueuedRequest) {
        let ticket = &queued.ticket;
        let id = ticket.id;
        self.remove(id);
        let position = (ticket.tier, ticket.organisation.clone(), ticket.deadline);
        self.positions.insert(id, position);
        self.deadlines.insert((ticket.deadline, id));
        let tier = self.tiers.entry(ticket.tier).or_default();
        tier.work += queued.work;
        tier.count += 1;
        let tier_virtual_time = tier.virtual_time;
        let org = tier
            .organisations
            .entry(ticket.organisation.clone())
            .or_default();
        if org.requests.is_empty() {
            org.virtual_time = org.virtual_time.max(tier_virtual_time);
        }
        org.work += queued.work;
        org.requests.insert((ticket.deadline, id), queued);
    }

    pub(super) fn remove(&mut self, id: TicketId) -> Option<QueuedRequest> {
        let (tier, name, deadline) = self.positions.swap_remove(&id)?;
        let tier = self.tiers.get_mut(&tier)?;
        let org = tier.organisations.get_mut(&name)?;
        let queued = org.requests.remove(&(deadline, id))?;
        self.deadlines.remove(&(deadline, id));
        tier.count -= 1;
        org.work = (org.work - queued.work).max(0.0);
        tier.work = (tier.work - queued.work).max(0.0);
        tier.prune_idle();
        Some(queued)
    }

    /// Removes a granted request and charges its work to the organisation.
    pub(super) fn take_granted(&mut self, id: TicketId) -> Option<QueuedRequest> {
        let queued = self.remove(id)?;
        let tier = self.tiers.get_mut(&queued.ticket.tier)?;
        let org = tier
            .organisations
            .entry(queued.ticket.organisation.clone())
            .or_default();
        tier.virtual_time = tier.virtual_time.max(org.virtual_time);
        org.virtual_time += queued.work / f64::from(queued.ticket.share.max(1));
        Some(queued)
    }

    pub(super) fn get(&self, id: TicketId) -> Option<&QueuedRequest> {
        let (tier, name, deadline) = self.positions.get(&id)?;
        self.tiers
            .get(tier)?
            .organisations
            .get(name)?
            .requests
            .get(&(*deadline, id))
    }

    /// Iterates over all requests, highest tier first and in service order within a tier.
    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.tiers.values().flat_map(TierQueue::in_order)
    }

    /// Returns the requests whose deadline has passed at `now`.
    pub(super) fn past_deadline(&self, now: Time) -> Vec<TicketId> {
        self.deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= now)
            .map(|(_, id)| *id)
            .collect()
    }

    /// Returns the work of all requests in seconds.
    pub(super) fn work(&self) -> f64 {
        self.tiers.values().map(|t| t.work).sum()
    }

    pub(super) fn lowest_tier(&self) -> Option<Tier> {
        self.tiers
            .iter()
            .rev()
            .find(|(_, t)| !t.is_empty())
            .map(|(tier, _)| *tier)
    }

    pub(super) fn ids_of_gateway(&self, gateway: GatewayId) -> Vec<TicketId> {
        self.positions
            .keys()
            .filter(|id| id.gateway == gateway)
            .copied()
            .collect()
    }

    /// Estimates the work in seconds served before a new request of `organisation` in `tier`: all
    /// work of higher tiers, and the part of its own tier that fair queueing puts ahead.
    pub(super) fn work_ahead(&self, tier: Tier, organisation: &str) -> f64 {
        let higher: f64 = self.tiers.range(..tier).map(|(_, t)| t.work).sum();
        let Some(own_tier) = self.tiers.get(&tier) else {
            return higher;
        };
        let own_work = own_tier
            .organisations
            .get(organisation)
            .map_or(0.0, |o| o.work);
        let active = own_tier
            .organisations
            .values()
            .filter(|o| !o.requests.is_empty())
            .count();
        higher + own_tier.work.min(own_work * active.max(1) as f64)
    }

    /// Returns the request to drop when the queue is over its limit: the one with the latest
    /// deadline, from the organisation with the most queued work in the lowest tier.
    pub(super) fn shed_candidate(&self) -> Option<&QueuedRequest> {
        let (_, tier) = self.tiers.iter().rev().find(|(_, t)| !t.is_empty())?;
        let heaviest = tier
            .organisations
            .values()
            .max_by(|a, b| a.work.total_cmp(&b.work))?;
        heaviest.requests.values().next_back()
    }
}

impl TierQueue {
    fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn in_order(&self) -> impl Iterator<Item = &QueuedRequest> {
        let mut active: Vec<&Organisation> = self
            .organisations
            .values()
            .filter(|o| !o.requests.is_empty())
            .collect();
        active.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
        active.into_iter().flat_map(|o| o.requests.values())
    }

    fn prune_idle(&mut self) {
        if self.organisations.len() > MAX_IDLE_ORGANISATIONS {
            let tier_virtual_time = self.virtual_time;
            self.organisations
                .retain(|_, o| !o.requests.is_empty() || o.virtual_time > tier_virtual_time);
        }
    }
}
