//! Decisions of the owner of a small service: the host that decides for all hosts on the slots of its upstreams.
//!
//! Where a service has fewer slots than its hosts can divide, each host learns too late what the others send, and full
//! upstreams refuse what others could run (docs/design/pool-owners.md). Hosts that hear nothing of the owner decide alone,
//! so what the owner knows may be incomplete: the reports of hosts correct it.

use indexmap::IndexMap;

use super::peer_reports::MIN_SLOTS_PER_HOST;
use crate::time::{Span, Time};

/// Age up to which a granted run need not be in the report of its host, which may have been sent before.
const GRANT_GRACE: Span = Span::from_millis(40);
/// Time without a report after which the runs of a host are forgotten.
const REPORT_EXPIRY: Span = Span::from_millis(1_000);
/// Time for which an upstream that was full gets no runs.
const FULL_TIME: Span = Span::from_millis(100);
/// Cost in milliseconds of an upstream whose slots are all in use, in proportion below that.
const FULL_BATCH_MS: f64 = 30.0;
/// Share of the slots that requests leave free for each priority below the most urgent.
const RESERVE_PER_PRIORITY: f64 = 0.008;

/// Returns whether a service has so few slots for the hosts of a fleet that an owner decides on them. Otherwise they are
/// allocated to hosts.
pub fn needs_owner(slots: u32, hosts: usize) -> bool {
    f64::from(slots) < MIN_SLOTS_PER_HOST * hosts as f64
}

/// What a host says of a request to the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask {
    /// Identifier of the request, different for each of its attempts.
    pub id: u64,
    /// Number of the host.
    pub host: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Time that an idle upstream needs to read the prompt.
    pub prefill: Span,
    /// Time from which on the request is late unless it has a slot.
    pub due_at: Time,
    /// Time until which it may wait for a slot.
    pub wait_until: Time,
    /// Time that it may wait once it is late; `None` if that changes nothing.
    pub late_wait: Option<Span>,
    /// True when it is late: it goes behind all others.
    pub is_late: bool,
    /// True when it waits for a slot if none is free.
    pub may_queue: bool,
}

/// What the owner replies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The request has a slot of this upstream, which costs so many milliseconds.
    Granted(u64, f64),
    /// The request waits for a slot.
    Queued,
    /// The request gets no slot.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct OwnedUpstream {
    number: u64,
    slots: u32,
    running: u32,
    prefill_until: Time,
    full_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    host: u64,
    upstream: u64,
    granted_at: Time,
}

/// An owner's knowledge of its upstreams and of the requests that wait for their slots.
#[derive(Clone, Debug, Default)]
pub struct PoolOwner {
    upstreams: Vec<OwnedUpstream>,
    grants: IndexMap<u64, Grant>,
    reported_at: IndexMap<u64, Time>,
    queue: Vec<Ask>,
}

impl PoolOwner {
    /// Creates the state of an owner of upstreams with so many slots each, without any known runs.
    pub fn new(upstreams: &[u64], slots: u32) -> PoolOwner {
        let owned = |number: &u64| OwnedUpstream {
            number: *number,
            slots,
            running: 0,
            prefill_until: Time(0),
            full_until: Time(0),
        };
        PoolOwner {
            upstreams: upstreams.iter().map(owned).collect(),
            ..PoolOwner::default()
        }
    }

    /// Returns the free slots, less the requests that wait for them.
    pub fn free_slots(&self) -> i64 {
        let free = |u: &OwnedUpstream| i64::from(u.slots) - i64::from(u.running);
        self.upstreams.iter().map(free).sum::<i64>() - self.queue.len() as i64
    }

    /// Returns the slots of all upstreams.
    pub fn total_slots(&self) -> u32 {
        self.upstreams.iter().map(|u| u.slots).sum()
    }

    /// Corrects the prefill that an upstream has to do, in milliseconds from now.
    pub fn set_prefill(&mut self, upstream: u64, pending_ms: f64, now: Time) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.prefill_until = now + Span::from_secs_f64(pending_ms / 1e3);
        }
    }

    fn upstream_mut(&mut self, number: u64) -> Option<&mut OwnedUpstream> {
        self.upstreams.iter_mut().find(|u| u.number == number)
    }

    /// Decides on a request. Asking again for the same request gives the same slot.
    pub fn ask(&mut self, ask: Ask, now: Time) -> Answer {
        if let Some(grant) = self.grants.get(&ask.id) {
            return Answer::Granted(grant.upstream, 0.0);
        }
        if self.queue.iter().any(|a| a.id == ask.id) {
            return Answer::Queued;
        }
        let is_first = self.queue.iter().all(|a| sort_key(a) > sort_key(&ask));
        if is_first && let Some(answer) = self.grant(&ask, now) {
            return answer;
        }
        if !ask.may_queue || now >= ask.wait_until {
            return Answer::Refused;
        }
        let index = self
            .queue
            .partition_point(|a| sort_key(a) <= sort_key(&ask));
        self.queue.insert(index, ask);
        Answer::Queued
    }

    fn grant(&mut self, ask: &Ask, now: Time) -> Option<Answer> {
        let reserve =
            RESERVE_PER_PRIORITY * f64::from(ask.priority) * f64::from(self.total_slots());
        let is_free = |u: &&mut OwnedUpstream| u.running < u.slots && now >= u.full_until;
        let free: u32 = self
            .upstreams
            .iter()
            .map(|u| u.slots.saturating_sub(u.running))
            .sum();
        if f64::from(free) <= reserve {
            return None;
        }
        let best = self.upstreams.iter_mut().filter(is_free);
        let best = best.min_by(|a, b| cost_ms(a, now).total_cmp(&cost_ms(b, now)))?;
        let cost = cost_ms(best, now);
        best.prefill_until = best.prefill_until.max(now) + ask.prefill;
        best.running += 1;
        let grant = Grant {
            host: ask.host,
            upstream: best.number,
            granted_at: now,
        };
        self.grants.insert(ask.id, grant);
        Some(Answer::Granted(grant.upstream, cost))
    }

    /// Removes and returns a waiting request that gets a slot or is refused now.
    pub fn next_decided(&mut self, now: Time) -> Option<(Ask, Answer)> {
        self.mark_late(now);
        if let Some(index) = self.queue.iter().position(|a| now >= a.wait_until) {
            return Some((self.queue.remove(index), Answer::Refused));
        }
        let first = *self.queue.first()?;
        let answer = self.grant(&first, now)?;
        Some((self.queue.remove(0), answer))
    }

    /// Moves requests that are late now behind all others.
    fn mark_late(&mut self, now: Time) {
        let is_due = |a: &Ask| !a.is_late && now >= a.due_at;
        if !self.queue.iter().any(is_due) {
            return;
        }
        for ask in self.queue.iter_mut().filter(|a| is_due(a)) {
            ask.is_late = true;
            ask.wait_until = ask.late_wait.map_or(ask.wait_until, |wait| now + wait);
        }
        self.queue.sort_by_key(sort_key);
    }

    /// Records that a run ended, or that its host does not need the slot or wait for it any more.
    pub fn end(&mut self, id: u64) {
        self.queue.retain(|a| a.id != id);
        if let Some(grant) = self.grants.swap_remove(&id)
            && let Some(u) = self.upstream_mut(grant.upstream)
        {
            u.running = u.running.saturating_sub(1);
        }
    }

    /// Records that an upstream refused a run.
    pub fn mark_full(&mut self, upstream: u64, now: Time) {
        if let Some(u) = self.upstream_mut(upstream) {
            u.full_until = now + FULL_TIME;
        }
    }

    /// Replaces what is known of a host's runs by its own report.
    pub fn reconcile(&mut self, host: u64, runs: &[(u64, u64)], now: Time) {
        self.reported_at.insert(host, now);
        let is_gone = |id: &u64, g: &Grant| {
            g.host == host
                && now.since(g.granted_at) > GRANT_GRACE
                && !runs.iter().any(|r| r.0 == *id)
        };
        self.end_where(is_gone);
        for (id, upstream) in runs {
            if self.grants.contains_key(id) {
                continue;
            }
            if let Some(u) = self.upstream_mut(*upstream) {
                u.running += 1;
                let grant = Grant {
                    host,
                    upstream: *upstream,
                    granted_at: now,
                };
                self.grants.insert(*id, grant);
            }
        }
    }

    /// Forgets the runs of hosts that report no more.
    pub fn expire(&mut self, now: Time) {
        let reported_at = self.reported_at.clone();
        self.end_where(|_, g| {
            let at = reported_at.get(&g.host).copied().unwrap_or(g.granted_at);
            now.since(at.max(g.granted_at)) > REPORT_EXPIRY
        });
    }

    fn end_where<F>(&mut self, is_gone: F)
    where
        F: Fn(&u64, &Grant) -> bool,
    {
        let gone = self.grants.iter().filter(|(id, g)| is_gone(id, g));
        let gone: Vec<u64> = gone.map(|(id, _)| *id).collect();
        for id in gone {
            self.end(id);
        }
    }
}

fn sort_key(ask: &Ask) -> (bool, u8, Time) {
    (ask.is_late, ask.priority, ask.due_at)
}

fn cost_ms(upstream: &OwnedUpstream, now: Time) -> f64 {
    let batch = f64::from(upstream.running) / f64::from(upstream.slots.max(1));
    now.until(upstream.prefill_until).as_secs_f64() * 1e3 + FULL_BATCH_MS * batch
}
