//! Deadline expiry, preemption of lower tiers and load shedding.

use super::queue::QueuedRequest;
use super::{Action, Run, Shard};
use crate::code::Code;
use crate::id::{TicketId, Tier, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::time::{Span, Time};

/// Ratio of predicted wait to remaining time above which a newly queued request is shed.
const SHED_WAIT_FACTOR: f64 = 1.5;

impl Shard {
    /// Declines quarantined requests: all of them, or only those queued since the last round.
    pub(super) fn refuse_quarantined(&mut self, all: bool, quarantine: &Quarantine) {
        let is_quarantined = |q: &&QueuedRequest| quarantine.is_quarantined(q.ticket.fingerprint);
        let quarantined: Vec<TicketId> = if all {
            self.queue
                .iter()
                .filter(is_quarantined)
                .map(|q| q.ticket.id)
                .collect()
        } else {
            let newly_queued = self
                .newly_queued
                .iter()
                .filter_map(|id| self.queue.get(*id));
            newly_queued
                .filter(is_quarantined)
                .map(|q| q.ticket.id)
                .collect()
        };
        for id in quarantined {
            self.decline(id, Code::Quarantined, Span::ZERO);
        }
    }

    /// Declines requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Time) {
        for id in self.queue.past_deadline(now) {
            let retry = self.backlog_duration();
            self.decline(id, Code::Expired, retry);
        }
    }

    /// Revokes runs of lower tiers for requests that would otherwise miss their deadline.
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

    /// Sheds requests queued since the last round that cannot meet their deadline.
    pub(super) fn shed_newly_queued(&mut self, now: Time) {
        for id in std::mem::take(&mut self.newly_queued) {
            let shed = self
                .queue
                .get(id)
                .and_then(|q| self.shed_reason(q, now, true));
            if let Some((id, code)) = shed {
                let retry = self.backlog_duration();
                self.decline(id, code, retry);
            }
        }
    }

    /// Declines requests queued since the last round that could not meet their deadline even alone, whatever runs.
    pub(super) fn decline_infeasible(&mut self, now: Time) {
        let newly_queued = self
            .newly_queued
            .iter()
            .filter_map(|id| self.queue.get(*id));
        let shed = newly_queued.filter_map(|q| self.shed_reason(q, now, true));
        let infeasible = shed.filter(|(_, code)| *code == Code::Infeasible);
        let infeasible: Vec<TicketId> = infeasible.map(|(id, _)| id).collect();
        for id in infeasible {
            self.decline(id, Code::Infeasible, self.backlog_duration());
        }
    }

    /// Sheds requests that cannot meet their deadline, except those that could use an upstream on
    /// which a lower tier runs. Also trims the queue to its limit.
    pub(super) fn shed(&mut self, now: Time) {
        let shed: Vec<(TicketId, Code)> = self
            .queue
            .iter()
            .filter_map(|q| self.shed_reason(q, now, false))
            .collect();
        for (id, code) in shed {
            let retry = self.backlog_duration();
            self.decline(id, code, retry);
        }
        while self.queue.len() > self.cfg.queue_limit {
            let Some(candidate) = self.queue.shed_candidate() else {
                break;
            };
            let id = candidate.ticket.id;
            let retry = self.backlog_duration();
            self.decline(id, Code::Shed, retry);
        }
    }

    /// Returns the code to decline a request with, or `None` when it may still be served.
    fn shed_reason(
        &self,
        q: &QueuedRequest,
        now: Time,
        newly_queued: bool,
    ) -> Option<(TicketId, Code)> {
        let id = q.ticket.id;
        if self.eligible(q.role_mask).next().is_none() {
            let waited = now.since(q.enqueued) >= self.cfg.outage_grace;
            return waited.then_some((id, Code::NoUpstream));
        }
        let t = &q.ticket;
        let min_duration = q.min_duration.unwrap_or(Span::ZERO);
        let time_left = now.until(t.deadline);
        let infeasible = t.arrival + min_duration > t.deadline;
        let too_late = min_duration > time_left;
        let wait_too_long =
            newly_queued && self.predicted_wait(q) > SHED_WAIT_FACTOR * time_left.as_secs_f64();
        let misses_deadline = infeasible || too_late || wait_too_long;
        if !misses_deadline || !self.cfg.features.infeasible || self.serves_below(q).is_some() {
            return None;
        }
        let code = if infeasible {
            Code::Infeasible
        } else {
            Code::Overloaded
        };
        Some((id, code))
    }

    /// Estimates the seconds until the work queued ahead of a request is done.
    fn predicted_wait(&self, q: &QueuedRequest) -> f64 {
        let ahead = self.queue.work_ahead(q.ticket.tier, &q.ticket.organisation) - q.work;
        let slots: u32 = self.eligible(q.role_mask).map(|(_, u)| u.spec.slots).sum();
        ahead.max(0.0) / f64::from(slots.max(1))
    }

    /// Estimates the time until all queued work is done.
    fn backlog_duration(&self) -> Span {
        let work = self.queue.work();
        let slots: u32 = self.eligible(u64::MAX).map(|(_, u)| u.spec.slots).sum();
        Span::from_secs_f64(work / f64::from(slots.max(1)))
    }

    /// Returns true when a request with `ahead` others before it would miss its deadline by waiting
    /// for runs to complete.
    fn is_urgent(&self, q: &QueuedRequest, ahead: usize, now: Time) -> bool {
        if now.since(q.enqueued) < self.cfg.preemption_delay {
            return false;
        }
        let duration = q.planned_duration.or(q.min_duration).unwrap_or(Span::ZERO);
        if now + duration > q.ticket.deadline {
            return false;
        }
        let wait = Span::from_secs_f64((ahead + 1) as f64 * self.run_end_interval.get());
        now + wait + duration + self.cfg.preemption_margin >= q.ticket.deadline
    }

    /// Returns the lowest tier below the request's own with an unrevoked run on an upstream that
    /// the request could use.
    fn serves_below(&self, q: &QueuedRequest) -> Option<Tier> {
        self.lower_runs(q).map(|r| r.ticket.tier).max()
    }

    fn lower_runs<'a>(&'a self, q: &'a QueuedRequest) -> impl Iterator<Item = &'a Run> {
        self.runs
            .values()
            .filter(|r| r.ticket.tier.is_below(q.ticket.tier) && !r.revoking)
            .filter(|r| {
                let u = self.upstreams.get(r.upstream);
                u.is_some_and(|u| u.is_serving() && q.role_mask & (1 << u.role) != 0)
            })
    }

    /// Returns true when the request would meet its deadline if it started on the upstream now.
    fn would_meet_deadline(&self, q: &QueuedRequest, key: UpstreamKey, now: Time) -> bool {
        let u = self.upstreams.get(key);
        u.is_some_and(|u| now + self.forecast(u, q, now).latest_end <= q.ticket.deadline)
    }

    fn revoke_for(&mut self, id: TicketId, now: Time) {
        let Some(q) = self.queue.get(id) else { return };
        let least_progress = self.cfg.features.least_progress;
        let progress = |r: &Run| {
            let run_time = now.since(r.dispatched.unwrap_or(now));
            if least_progress {
                (prefilled_tokens(r, now), run_time)
            } else {
                (0, Span::ZERO)
            }
        };
        let victim = self
            .lower_runs(q)
            .filter(|r| r.ticket.cancellable && self.would_meet_deadline(q, r.upstream, now))
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
        self.release_reservations_of(id);
        self.actions.push(Action::Decline {
            ticket: id,
            code,
            floor,
            retry,
        });
    }
}

/// Estimates the prompt tokens of a run that its upstream has processed.
fn prefilled_tokens(r: &Run, now: Time) -> u32 {
    let prefill_start = r.dispatched.unwrap_or(now) + r.queued_prefill;
    let duration = prefill_start
        .until(r.first_token)
        .as_secs_f64()
        .max(f64::MIN_POSITIVE);
    let share = now.since(prefill_start).as_secs_f64() / duration;
    (f64::from(r.uncached) * share.min(1.0)) as u32
}
