//! Giving up: expiry, revocation of lower tiers' runs, and shedding.

use super::queue::Queued;
use super::{Action, Run, Shard};
use crate::code::Code;
use crate::id::{TicketId, Tier, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::time::{Span, Time};

/// Factor by which the predicted wait must exceed the time left before a call is shed early.
const WAIT_FACTOR: f64 = 1.5;

impl Shard {
    /// Declines quarantined requests: all of them, or those queued since the last round.
    pub(super) fn refuse_quarantined(&mut self, all: bool, quarantine: &Quarantine) {
        let is_refused = |q: &&Queued| quarantine.is_quarantined(q.ticket.fingerprint);
        let refused: Vec<TicketId> = if all {
            self.queue
                .iter()
                .filter(is_refused)
                .map(|q| q.ticket.id)
                .collect()
        } else {
            let fresh = self.fresh.iter().filter_map(|id| self.queue.get(*id));
            fresh.filter(is_refused).map(|q| q.ticket.id).collect()
        };
        for id in refused {
            self.decline(id, Code::Quarantined, Span::ZERO);
        }
    }

    /// Declines requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Time) {
        for id in self.queue.past_deadline(now) {
            let retry = self.backlog();
            self.decline(id, Code::Expired, retry);
        }
    }

    /// Revokes runs of lower tiers for requests that cannot wait any longer.
    pub(super) fn preempt(&mut self, now: Time, quarantine: &Quarantine) {
        let Some(lowest) = self.runs.values().map(|r| r.ticket.tier).max() else {
            return;
        };
        let urgent: Vec<TicketId> = self
            .queue
            .iter()
            .take_while(|q| lowest.is_below(q.ticket.tier))
            .filter(|q| !quarantine.is_suspect(q.ticket.fingerprint))
            .take(self.cfg.scan_limit)
            .enumerate()
            .filter(|(_, q)| !self.victims.contains_key(&q.ticket.id))
            .filter(|(ahead, q)| self.is_urgent(q, *ahead, now))
            .map(|(_, q)| q.ticket.id)
            .collect();
        for id in urgent {
            self.revoke_for(id, now);
        }
    }

    /// Sheds what was queued since the last round and cannot be served in time.
    pub(super) fn shed_fresh(&mut self, now: Time) {
        for id in std::mem::take(&mut self.fresh) {
            let hopeless = self.queue.get(id).and_then(|q| self.hopeless(q, now, true));
            if let Some((id, code)) = hopeless {
                let retry = self.backlog();
                self.decline(id, code, retry);
            }
        }
    }

    /// Sheds what cannot be served in time, but nothing while a lower tier is being served.
    pub(super) fn shed(&mut self, now: Time) {
        let hopeless: Vec<(TicketId, Code)> = self
            .queue
            .iter()
            .filter_map(|q| self.hopeless(q, now, false))
            .collect();
        for (id, code) in hopeless {
            let retry = self.backlog();
            self.decline(id, code, retry);
        }
        while self.queue.len() > self.cfg.queue_limit {
            let Some(last) = self.queue.last_in_order() else {
                break;
            };
            let id = last.ticket.id;
            let retry = self.backlog();
            self.decline(id, Code::Shed, retry);
        }
    }

    fn hopeless(&self, q: &Queued, now: Time, fresh: bool) -> Option<(TicketId, Code)> {
        let id = q.ticket.id;
        if self.eligible(q.mask).next().is_none() {
            let waited = now.since(q.enqueued) >= self.cfg.outage_grace;
            return waited.then_some((id, Code::NoUpstream));
        }
        let t = &q.ticket;
        let shortest = q.shortest.unwrap_or(Span::ZERO);
        let left = now.until(t.deadline);
        let infeasible = t.arrival + shortest > t.deadline;
        let too_late = shortest > left;
        let too_long = fresh && self.predicted_wait(q) > WAIT_FACTOR * left.as_secs_f64();
        let hopeless = infeasible || too_late || too_long;
        if !hopeless || !self.cfg.features.infeasible || self.serves_below(q).is_some() {
            return None;
        }
        let code = if infeasible {
            Code::Infeasible
        } else {
            Code::Overloaded
        };
        Some((id, code))
    }

    /// Seconds until the queue ahead of a request is worked off.
    fn predicted_wait(&self, q: &Queued) -> f64 {
        let ahead = self.queue.work_ahead(q.ticket.tier, &q.ticket.organisation) - q.work;
        let slots: u32 = self.eligible(q.mask).map(|(_, u)| u.spec.slots).sum();
        ahead.max(0.0) / f64::from(slots.max(1))
    }

    /// Time to work off all that is queued.
    fn backlog(&self) -> Span {
        let work = self.queue.work();
        let slots: u32 = self.eligible(u64::MAX).map(|(_, u)| u.spec.slots).sum();
        Span::from_secs_f64(work / f64::from(slots.max(1)))
    }

    /// True when a request with `ahead` others before it would come too late if it waited for runs
    /// to end by themselves.
    fn is_urgent(&self, q: &Queued, ahead: usize, now: Time) -> bool {
        if now.since(q.enqueued) < self.cfg.preemption_delay {
            return false;
        }
        let need = q.safe.or(q.shortest).unwrap_or(Span::ZERO);
        if now + need > q.ticket.deadline {
            return false;
        }
        let wait = Span::from_secs_f64((ahead + 1) as f64 * self.between_ends.get());
        now + wait + need + self.cfg.preemption_margin >= q.ticket.deadline
    }

    /// Lowest tier below the request's own that runs, unrevoked, where the request could run.
    fn serves_below(&self, q: &Queued) -> Option<Tier> {
        self.lower_runs(q).map(|r| r.ticket.tier).max()
    }

    fn lower_runs<'a>(&'a self, q: &'a Queued) -> impl Iterator<Item = &'a Run> {
        self.runs
            .values()
            .filter(|r| r.ticket.tier.is_below(q.ticket.tier) && !r.revoking)
            .filter(|r| {
                let u = self.upstreams.get(r.upstream);
                u.is_some_and(|u| u.is_serving() && q.mask & (1 << u.role) != 0)
            })
    }

    /// True when the request would end in time if it began on the upstream now.
    fn would_be_in_time(&self, q: &Queued, key: UpstreamKey, now: Time) -> bool {
        let u = self.upstreams.get(key);
        u.is_some_and(|u| now + self.forecast(u, q, now).latest_end <= q.ticket.deadline)
    }

    fn revoke_for(&mut self, id: TicketId, now: Time) {
        let Some(q) = self.queue.get(id) else { return };
        let by_progress = self.cfg.features.least_progress;
        let progress = |r: &Run| {
            let run_for = now.since(r.dispatched.unwrap_or(now));
            if by_progress {
                (prefilled(r, now), run_for)
            } else {
                (0, Span::ZERO)
            }
        };
        let victim = self
            .lower_runs(q)
            .filter(|r| r.ticket.cancellable && self.would_be_in_time(q, r.upstream, now))
            .min_by_key(|r| (std::cmp::Reverse(r.ticket.tier), progress(r)))
            .map(|r| r.ticket.id);
        let Some(victim) = victim else { return };
        if let Some(run) = self.runs.get_mut(&victim) {
            run.revoking = true;
        }
        self.victims.insert(id, victim);
        self.actions.push(Action::Revoke { ticket: victim });
    }

    fn decline(&mut self, id: TicketId, code: Code, retry: Span) {
        let Some(q) = self.queue.get(id) else { return };
        let floor = self.serves_below(q);
        self.queue.remove(id);
        self.release_victim_of(id);
        self.actions.push(Action::Decline {
            ticket: id,
            code,
            floor,
            retry,
        });
    }
}

/// Prompt tokens of a run that its upstream is believed to have processed.
fn prefilled(r: &Run, now: Time) -> u32 {
    let begun = r.dispatched.unwrap_or(now) + r.ahead;
    let needed = begun
        .until(r.first_token)
        .as_secs_f64()
        .max(f64::MIN_POSITIVE);
    let share = now.since(begun).as_secs_f64() / needed;
    (f64::from(r.uncached) * share.min(1.0)) as u32
}
