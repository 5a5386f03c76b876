//! Runs of a shard: their slots, reservations and ends, and what is learned from them.

use super::{FinishReport, MAX_KNOWN_HARMLESS, Run, Shard, Ticket};
use crate::id::{TicketId, UpstreamKey};
use crate::time::{Span, Time};

impl Shard {
    pub(super) fn add_run(&mut self, run: Run) {
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.running += 1;
        }
        self.runs.insert(run.ticket.id, run);
    }

    pub(super) fn remove_run(&mut self, id: TicketId, now: Time) -> Option<Run> {
        let run = self.runs.swap_remove(&id)?;
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.running -= 1;
            let prefill = f64::from(run.uncached) * u.prefill_pace.get();
            let prefill_left = now.until(run.first_token).min(Span::from_secs_f64(prefill));
            u.cancel_prefill(prefill_left, now);
        }
        self.victims.retain(|_, victim| *victim != id);
        if self.reserved.is_some_and(|(_, holder)| holder == id) {
            self.reserved = None;
        }
        Some(run)
    }

    pub(super) fn release_reservations_of(&mut self, id: TicketId) {
        self.victims.swap_remove(&id);
        if self.reserved.is_some_and(|(_, holder)| holder == id) && !self.runs.contains_key(&id) {
            self.reserved = None;
        }
    }

    pub(super) fn release_expired_runs(&mut self, now: Time) {
        let ttl = self.cfg.grant_ttl;
        let orphan_timeout = self.cfg.orphan_timeout;
        let is_expired = |r: &Run| {
            let unconfirmed = r.dispatched.is_none() && now.since(r.granted) > ttl;
            let timed_out = r
                .orphan_since
                .is_some_and(|since| now.since(since) > orphan_timeout);
            unconfirmed || timed_out
        };
        let expired: Vec<TicketId> = self
            .runs
            .iter()
            .filter(|(_, r)| is_expired(r))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_run(id, now);
        }
    }

    /// Frees orphaned runs that the latest load report shows to have ended.
    pub(super) fn release_finished_orphans(&mut self, key: UpstreamKey, now: Time) {
        let Some(u) = self.upstreams.get(key) else {
            return;
        };
        let Some(report) = u
            .report
            .filter(|r| now.since(r.sampled) <= self.cfg.report_max_age)
        else {
            return;
        };
        let on_upstream = |r: &&Run| r.upstream == key;
        let connected = self
            .runs
            .values()
            .filter(on_upstream)
            .filter(|r| r.orphan_since.is_none())
            .count();
        let mut orphans: Vec<TicketId> = self
            .runs
            .values()
            .filter(on_upstream)
            .filter(|r| r.orphan_since.is_some_and(|since| report.sampled > since))
            .map(|r| r.ticket.id)
            .collect();
        let still_active = (report.active as usize)
            .saturating_sub(connected)
            .min(orphans.len());
        for id in orphans.drain(still_active..) {
            self.remove_run(id, now);
        }
    }

    pub(super) fn learn_from(&mut self, run: &Run, report: FinishReport) {
        if self.cfg.features.lengths {
            let t = &run.ticket;
            self.lengths
                .observe(&t.kind, &t.organisation, report.output_tokens);
        }
        if self.known_harmless.insert(run.ticket.fingerprint)
            && self.known_harmless.len() > MAX_KNOWN_HARMLESS
        {
            self.known_harmless.swap_remove_index(0);
        }
        if !self.cfg.features.rates {
            return;
        }
        if let Some(u) = self.upstreams.get_mut(run.upstream) {
            u.learn(report, run.queued_prefill, run.uncached);
        }
    }

    pub(super) fn role_mask(&mut self, ticket: &Ticket) -> u64 {
        if ticket.roles.is_empty() {
            return u64::MAX;
        }
        let roles = &mut self.roles;
        ticket.roles.iter().fold(0, |mask, role| {
            mask | 1 << roles.insert_full(role.clone()).0
        })
    }
}
