//! How hosts ask owners, what owners do with messages, and when a host decides alone.

use stoatjunction_core::hash::mix;
use stoatjunction_core::time::{Span, Time};

use super::events::{Event, Message};
use super::hosts::DATAGRAM_CPU;
use super::simulation::{Simulation, Variant};
use super::upstream::PREFILL_TOKENS_PER_MS;
use stoatjunction_core::entry::pool_owner::{Answer, Ask, PoolOwner};

/// Time without a reply after which a host asks again.
const ASK_AGAIN: Span = Span::from_millis(15);
/// Time without a reply of the owner after which a host decides alone.
const GIVE_UP: Span = Span::from_millis(45);
/// Time for which an owner that did not reply is not asked.
const SUSPECT_TIME: Span = Span::from_millis(1_000);
/// Interval in which a host looks after its requests that wait at owners.
const WATCH_INTERVAL: Span = Span::from_millis(24);
/// Silence of an owner after which it is asked whether it works.
const PING_AFTER: Span = Span::from_millis(20);
/// Time after which a request asks again that got no slot from three owners.
const PROBE_AGAIN: Span = Span::from_millis(20);
/// Upstreams whose owners a request asks.
const PROBES: usize = 3;
/// Latency of a datagram within a data centre and between two.
const LOCAL_LATENCY: Span = Span(100);
const REMOTE_LATENCY: Span = Span(500);
/// Part of a core that a host has.
const CORE_SHARE: f64 = 0.12;
/// Factor on the time to handle a message at a slow host.
const SLOW_FACTOR: u64 = 40;
/// Share of free slots from which on another part takes requests of a full one.
const REDIRECT_FREE: f64 = 0.1;
/// Age up to which a free share is used.
const MAX_STATUS_AGE: Span = Span::from_millis(400);

/// What a request is doing while it asks.
#[derive(Clone, Debug, Default)]
pub(super) struct AskState {
    number: u64,
    asking: Option<Asking>,
}

#[derive(Clone, Debug)]
struct Asking {
    since: Time,
    is_queued: bool,
    is_redirected: bool,
    heard: usize,
    /// Parts and owners asked.
    asked: Vec<(usize, usize)>,
    /// Parts, owners and upstreams offered, with their costs.
    offers: Vec<(usize, usize, u32, f64)>,
}

impl AskState {
    /// Begins a new state: replies to earlier ones no longer count.
    pub(super) fn begin(&mut self) {
        self.number += 1;
        self.asking = None;
    }

    pub(super) fn forget(&mut self) {
        self.begin();
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }
}

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message, now: Time) {
        if from == to {
            return self.events.push(now, Event::Handle(to, message));
        }
        self.fleet.hosts[from].traffic.count(1, message.bytes());
        if self.loses_datagram() || !self.fleet.delivers(from, to, now) {
            return;
        }
        let is_local = self.fleet.hosts[from].dc == self.fleet.hosts[to].dc;
        let latency = if is_local {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        };
        self.events.push(now + latency, Event::Deliver(to, message));
    }

    /// Puts a datagram behind those that the host has to handle already.
    pub(super) fn deliver(&mut self, to: usize, message: Message, now: Time) {
        let is_slow = self
            .slow
            .is_some_and(|(host, until)| host == to && now < until);
        let host = &mut self.fleet.hosts[to];
        if !host.is_alive {
            return;
        }
        host.traffic.count(1, message.bytes());
        let factor = if is_slow { SLOW_FACTOR } else { 1 };
        let cost = Span((DATAGRAM_CPU.0 as f64 * 2.0 / CORE_SHARE) as u64 * factor);
        host.busy_until = host.busy_until.max(now).max(host.frozen_until) + cost;
        self.events
            .push(host.busy_until, Event::Handle(to, message));
    }

    fn owner_of(&self, host: usize, part: usize, now: Time) -> Option<usize> {
        let is_suspect = |n: &usize| {
            let until = self.fleet.hosts[host].suspects.get(n);
            until.is_some_and(|until| now < *until)
        };
        let ranked = self.ranks[part].iter().copied();
        ranked
            .into_iter()
            .find(|n| self.fleet.hears(host, *n, now) && !is_suspect(n))
    }

    fn part_of(&self, upstream: u32) -> Option<usize> {
        self.parts.iter().position(|p| p.contains(&upstream))
    }

    fn new_ask(&self, index: usize, may_queue: bool) -> Ask {
        let call = &self.calls[index];
        let prefill_ms = f64::from(call.planned.kind.prompt_tokens) / PREFILL_TOKENS_PER_MS;
        Ask {
            id: call.id(index),
            host: call.host as u64,
            priority: call.request.priority.1,
            prefill: Span::from_secs_f64(prefill_ms / 1e3),
            due_at: call.late_at(),
            wait_until: call.request.wait_until,
            late_wait: call
                .request
                .target_at
                .is_none()
                .then_some(call.request.late_wait),
            is_late: call.request.late,
            may_queue,
        }
    }

    /// Asks the owner of a part for a slot, or decides alone if there is no owner.
    pub(super) fn ask_owner(&mut self, index: usize, now: Time) {
        let part = self.choose_part(index, now);
        self.ask_part(index, part, false, now);
    }

    fn ask_part(&mut self, index: usize, part: usize, is_redirected: bool, now: Time) {
        let host = self.calls[index].host;
        let Some(owner) = self.owner_of(host, part, now) else {
            return self.decide_alone(index, now);
        };
        self.calls[index].ask.begin();
        self.calls[index].ask.asking = Some(Asking::new(vec![(part, owner)], is_redirected, now));
        if self.fleet.hosts[host].asked.insert(part, owner) != Some(owner) {
            self.send_runs(host, part, owner, now);
        }
        self.send_asks(index, true, now);
    }

    fn send_asks(&mut self, index: usize, may_queue: bool, now: Time) {
        let ask = self.new_ask(index, may_queue);
        let asked = self.calls[index]
            .ask
            .asking
            .as_ref()
            .map(|a| a.asked.clone());
        for (part, owner) in asked.unwrap_or_default() {
            self.send(ask.host as usize, owner, Message::Ask { part, ask }, now);
        }
        let state = self.calls[index].ask.number();
        self.events
            .push(now + ASK_AGAIN, Event::Check(index, state));
    }

    /// Returns the part to ask: of two parts of the data centre the one with more free slots.
    fn choose_part(&self, index: usize, now: Time) -> usize {
        let call = &self.calls[index];
        let host = &self.fleet.hosts[call.host];
        let is_local = |p: &usize| self.fleet.upstream_dc(self.parts[*p][0] as usize) == host.dc;
        let local: Vec<usize> = (0..self.parts.len()).filter(is_local).collect();
        if local.is_empty() || self.parts.len() == 1 {
            return 0;
        }
        let draw = mix(call.request.salt ^ call.ask.number()) as usize;
        let first = draw % local.len();
        let second = match local.len() {
            1 => first,
            count => (first + 1 + (draw >> 16) % (count - 1)) % count,
        };
        let (first, second) = (local[first], local[second]);
        let free = |part: usize| match host.free_by_part.get(&part) {
            Some((free, at)) if now.since(*at) < MAX_STATUS_AGE => *free,
            _ => 0.5,
        };
        if free(second) > free(first) {
            second
        } else {
            first
        }
    }

    /// Looks after a request whose replies are due.
    pub(super) fn check(&mut self, index: usize, state: u64, now: Time) {
        let call = &self.calls[index];
        if call.ask.number() != state || !self.fleet.hosts[call.host].is_alive {
            return;
        }
        let until = self.fleet.hosts[call.host].frozen_until;
        if now < until {
            return self.events.push(until, Event::Check(index, state));
        }
        let Some(asking) = call.ask.asking.clone() else {
            return;
        };
        if self.play.variant == Variant::Probes {
            return self.end_probe(index, &asking, now);
        }
        if asking.is_queued {
            return;
        }
        if now.since(asking.since) >= GIVE_UP {
            return self.give_up(index, &asking, now);
        }
        self.send_asks(index, true, now);
    }

    /// Decides alone, since an owner does not reply.
    fn give_up(&mut self, index: usize, asking: &Asking, now: Time) {
        let (host, id) = (self.calls[index].host, self.calls[index].id(index));
        for (part, owner) in &asking.asked {
            self.fleet.hosts[host]
                .suspects
                .insert(*owner, now + SUSPECT_TIME);
            self.send(host, *owner, Message::End { part: *part, id }, now);
        }
        self.measures.alone += 1;
        if !asking.is_queued {
            let after_ms = now.since(asking.since).as_secs_f64() * 1e3;
            self.measures.alone_after_ms = self.measures.alone_after_ms.max(after_ms);
        }
        self.decide_alone(index, now);
    }

    /// Looks after the requests of a host that wait at owners: they are decided on alone once an owner is silent.
    pub(super) fn watch(&mut self, host: usize, now: Time) {
        let until = self.fleet.hosts[host].frozen_until;
        if now < until {
            return self.events.push(until, Event::Watch(host));
        }
        let waiting = self.waiting_at_owners(host);
        if !self.fleet.hosts[host].is_active(now) || waiting.is_empty() {
            self.fleet.hosts[host].is_watching = false;
            return;
        }
        let mut pinged = Vec::new();
        for index in waiting {
            let Some(asking) = self.calls[index].ask.asking.clone() else {
                continue;
            };
            let owner = asking.asked[0].1;
            let heard = self.fleet.hosts[host].owner_heard.get(&owner).copied();
            let silence = now.since(heard.unwrap_or(asking.since));
            if silence >= GIVE_UP {
                self.give_up(index, &asking, now);
            } else if silence >= PING_AFTER && !pinged.contains(&owner) {
                pinged.push(owner);
                self.send(host, owner, Message::Ping { host }, now);
            }
        }
        self.events.push(now + WATCH_INTERVAL, Event::Watch(host));
    }

    fn waiting_at_owners(&mut self, host: usize) -> Vec<usize> {
        let calls = &self.calls;
        let waiting = &mut self.fleet.hosts[host].waiting_calls;
        waiting.retain(|(index, state)| {
            let call = &calls[*index];
            call.host == host && call.ask.number() == *state && call.ask.asking.is_some()
        });
        waiting.iter().map(|(index, _)| *index).collect()
    }

    /// Asks the owners of the three upstreams that seem the least loaded.
    pub(super) fn probe(&mut self, index: usize, now: Time) {
        self.begin_probe(index, now, now);
    }

    fn begin_probe(&mut self, index: usize, since: Time, now: Time) {
        let call = &self.calls[index];
        let (host, tried) = (call.host, call.request.tried.clone());
        let h = &self.fleet.hosts[host];
        let draw = mix(call.request.salt ^ call.ask.number());
        let upstreams = h.pool.upstreams().filter(|(k, _)| !tried.contains(k));
        let mut ranked: Vec<_> = upstreams
            .map(|(key, u)| {
                let is_full = u.running(now) >= u.slots();
                let is_remote = self.fleet.upstream_dc(key.0 as usize) != h.dc;
                let is_remote = is_remote && self.upstream_count_is_large();
                (
                    (
                        is_full,
                        is_remote,
                        u.running(now),
                        mix(draw ^ u64::from(key.0)),
                    ),
                    key.0,
                )
            })
            .collect();
        ranked.sort_unstable();
        let chosen = ranked
            .into_iter()
            .take(PROBES)
            .filter_map(|(_, upstream)| self.part_of(upstream));
        let asked: Vec<(usize, usize)> = chosen
            .filter_map(|part| Some((part, self.owner_of(host, part, now)?)))
            .collect();
        if asked.is_empty() {
            return self.decide_alone(index, now);
        }
        self.calls[index].ask.begin();
        self.calls[index].ask.asking = Some(Asking::new(asked.clone(), false, since));
        for (part, owner) in asked {
            if self.fleet.hosts[host].asked.insert(part, owner) != Some(owner) {
                self.send_runs(host, part, owner, now);
            }
        }
        self.send_asks(index, false, now);
    }

    fn upstream_count_is_large(&self) -> bool {
        self.parts.len() > 2 * PROBES * self.fleet.dcs
    }

    /// Chooses the best offer, or asks again.
    fn end_probe(&mut self, index: usize, asking: &Asking, now: Time) {
        let (host, id) = (self.calls[index].host, self.calls[index].id(index));
        let best = asking.offers.iter().min_by(|a, b| a.3.total_cmp(&b.3));
        if let Some((part, owner, upstream, _)) = best.copied() {
            for (other, other_owner) in asking.asked.iter().filter(|(p, _)| *p != part) {
                self.send(host, *other_owner, Message::End { part: *other, id }, now);
            }
            self.calls[index].ask.asking = None;
            return self.start(index, upstream, Some((part, owner)), now);
        }
        if asking.heard == 0 {
            for (part, owner) in &asking.asked {
                self.send(host, *owner, Message::End { part: *part, id }, now);
                self.fleet.hosts[host]
                    .suspects
                    .insert(*owner, now + SUSPECT_TIME);
            }
            if now.since(asking.since) >= GIVE_UP {
                self.measures.alone += 1;
                return self.decide_alone(index, now);
            }
            return self.begin_probe(index, asking.since, now);
        }
        self.wait_for_probe(index, now);
    }

    fn wait_for_probe(&mut self, index: usize, now: Time) {
        let late_at = self.calls[index].late_at();
        let request = &mut self.calls[index].request;
        if !request.late && now >= late_at {
            request.late = true;
            if request.target_at.is_none() {
                request.wait_until = now + request.late_wait;
            }
        }
        if now >= request.wait_until {
            return self.refuse(index, Span::ZERO, now);
        }
        self.calls[index].ask.begin();
        let state = self.calls[index].ask.number();
        self.events
            .push(now + PROBE_AGAIN, Event::Decide(index, state));
    }

    /// Decides on a request again unless it has changed its state.
    pub(super) fn decide_again(&mut self, index: usize, state: u64, now: Time) {
        let call = &self.calls[index];
        if call.ask.number() == state && self.fleet.hosts[call.host].is_alive {
            self.decide(index, now);
        }
    }

    pub(super) fn handle_message(&mut self, to: usize, message: Message, now: Time) {
        let host = &self.fleet.hosts[to];
        if !host.is_alive {
            return;
        }
        if now < host.frozen_until {
            return self
                .events
                .push(host.frozen_until, Event::Handle(to, message));
        }
        match message {
            Message::Ask { part, ask } => self.handle_ask(to, part, ask, now),
            Message::Answer {
                part,
                owner,
                id,
                answer,
                free,
            } => {
                self.hear_owner(to, owner, now);
                self.fleet.hosts[to].free_by_part.insert(part, (free, now));
                self.handle_answer(to, part, owner, id, answer, now);
            }
            Message::Redirect { owner, id, part } => {
                self.hear_owner(to, owner, now);
                if let Some(index) = self.asking_call(id) {
                    self.ask_part(index, part, true, now);
                }
            }
            Message::End { part, id } => {
                self.owner_mut(to, part).end(id);
                self.drain_owners(to, now);
            }
            Message::Full { part, upstream } => {
                self.owner_mut(to, part).mark_full(u64::from(upstream), now)
            }
            Message::Runs { part, host, runs } => {
                self.owner_mut(to, part).reconcile(host as u64, &runs, now);
                self.drain_owners(to, now);
            }
            Message::Ping { host } => self.send(to, host, Message::Pong { owner: to }, now),
            Message::Pong { owner } => self.hear_owner(to, owner, now),
            Message::Status { part, free } => {
                self.fleet.hosts[to].free_by_part.insert(part, (free, now));
            }
        }
    }

    fn hear_owner(&mut self, host: usize, owner: usize, now: Time) {
        self.fleet.hosts[host].owner_heard.insert(owner, now);
    }

    fn asking_call(&self, id: u64) -> Option<usize> {
        let index = (id >> 16) as usize;
        let call = &self.calls[index];
        (call.id(index) == id && call.ask.asking.is_some()).then_some(index)
    }

    fn owner_mut(&mut self, host: usize, part: usize) -> &mut PoolOwner {
        let slots = self.play.service.slots();
        let upstreams: Vec<u64> = self.parts[part].iter().map(|u| u64::from(*u)).collect();
        let owners = &mut self.fleet.hosts[host].owners;
        owners
            .entry(part)
            .or_insert_with(|| PoolOwner::new(&upstreams, slots))
    }

    fn handle_ask(&mut self, to: usize, part: usize, ask: Ask, now: Time) {
        let upstreams = self.parts[part].len();
        self.fleet.hosts[to].traffic.count_decision(upstreams);
        let is_queue_ask = ask.may_queue && self.owner_mut(to, part).free_slots() <= 0;
        if is_queue_ask
            && !self.is_redirected(&ask)
            && let Some(other) = self.part_with_free_slots(to, part, now)
        {
            let message = Message::Redirect {
                owner: to,
                id: ask.id,
                part: other,
            };
            return self.send(to, ask.host as usize, message, now);
        }
        let answer = self.owner_mut(to, part).ask(ask, now);
        self.send_answer(to, part, &ask, answer, now);
    }

    fn is_redirected(&self, ask: &Ask) -> bool {
        let asking = self.calls[(ask.id >> 16) as usize].ask.asking.as_ref();
        asking.is_none_or(|a| a.is_redirected)
    }

    /// Returns the part with the most free slots, as its owner last said.
    fn part_with_free_slots(&mut self, owner: usize, part: usize, now: Time) -> Option<usize> {
        let statuses = &mut self.fleet.hosts[owner].free_by_part;
        let fresh = statuses.iter_mut().filter(|(p, (free, at))| {
            **p != part && now.since(*at) < MAX_STATUS_AGE && *free >= REDIRECT_FREE
        });
        let (other, (free, _)) = fresh.max_by(|a, b| a.1.0.total_cmp(&b.1.0))?;
        let slots = self.parts[*other].len() as f64 * f64::from(self.play.service.slots());
        *free -= 1.0 / slots;
        Some(*other)
    }

    fn send_answer(&mut self, owner: usize, part: usize, ask: &Ask, answer: Answer, now: Time) {
        let state = self.owner_mut(owner, part);
        let free = state.free_slots() as f64 / f64::from(state.total_slots().max(1));
        let id = ask.id;
        let message = Message::Answer {
            part,
            owner,
            id,
            answer,
            free,
        };
        self.send(owner, ask.host as usize, message, now);
    }

    fn handle_answer(
        &mut self,
        host: usize,
        part: usize,
        owner: usize,
        id: u64,
        answer: Answer,
        now: Time,
    ) {
        let is_probe = self.play.variant == Variant::Probes;
        let Some(index) = self.asking_call(id) else {
            let is_running = self.fleet.hosts[host].runs.values().any(|r| r.id == id);
            if matches!(answer, Answer::Granted(..)) && !is_running {
                self.send(host, owner, Message::End { part, id }, now);
            }
            return;
        };
        let Some(asking) = &mut self.calls[index].ask.asking else {
            return;
        };
        asking.heard += 1;
        match answer {
            Answer::Granted(upstream, cost) if is_probe => {
                asking.offers.push((part, owner, upstream as u32, cost));
            }
            Answer::Granted(upstream, _) => {
                self.calls[index].ask.asking = None;
                return self.start(index, upstream as u32, Some((part, owner)), now);
            }
            Answer::Queued => {
                if !std::mem::replace(&mut asking.is_queued, true) {
                    self.begin_watch(host, index, now);
                }
                return;
            }
            Answer::Refused if is_probe => {}
            Answer::Refused => return self.refuse(index, Span::ZERO, now),
        }
        let asking = asking.clone();
        if asking.heard >= asking.asked.len() {
            self.end_probe(index, &asking, now);
        }
    }

    fn begin_watch(&mut self, host: usize, index: usize, now: Time) {
        let state = self.calls[index].ask.number();
        let h = &mut self.fleet.hosts[host];
        h.waiting_calls.push((index, state));
        if !std::mem::replace(&mut h.is_watching, true) {
            self.events.push(now + WATCH_INTERVAL, Event::Watch(host));
        }
    }

    /// Sends replies to the requests that waited at this owner and are decided on now.
    pub(super) fn drain_owners(&mut self, host: usize, now: Time) {
        let parts: Vec<usize> = self.fleet.hosts[host].owners.keys().copied().collect();
        for part in parts {
            while let Some((ask, answer)) = self.owner_mut(host, part).next_decided(now) {
                self.send_answer(host, part, &ask, answer, now);
            }
        }
    }

    fn send_runs(&mut self, host: usize, part: usize, owner: usize, now: Time) {
        let mut runs = self.fleet.hosts[host].run_list();
        runs.retain(|(_, upstream)| self.parts[part].contains(&(*upstream as u32)));
        self.send(host, owner, Message::Runs { part, host, runs }, now);
    }

    /// Reports the runs of a host to the owners that it asks, and the free slots of its parts to other owners.
    pub(super) fn report_to_owners(&mut self, host: usize, now: Time) {
        if !self.fleet.hosts[host].is_active(now) {
            return;
        }
        let asked: Vec<usize> = self.fleet.hosts[host].asked.keys().copied().collect();
        for part in asked {
            if let Some(owner) = self.owner_of(host, part, now) {
                self.fleet.hosts[host].asked.insert(part, owner);
                self.send_runs(host, part, owner, now);
            }
        }
        let owned: Vec<usize> = self.fleet.hosts[host].owners.keys().copied().collect();
        for part in owned {
            let state = self.owner_mut(host, part);
            state.expire(now);
            let free = state.free_slots() as f64 / f64::from(state.total_slots().max(1));
            if self.play.variant != Variant::Probes {
                self.send_status(host, part, free, now);
            }
        }
    }

    fn send_status(&mut self, host: usize, part: usize, free: f64, now: Time) {
        let others: Vec<usize> = (0..self.parts.len())
            .filter(|p| *p != part)
            .filter_map(|p| self.owner_of(host, p, now))
            .collect();
        for other in others {
            self.send(host, other, Message::Status { part, free }, now);
        }
    }

    /// Tells an owner that an upstream did not run a request.
    pub(super) fn tell_not_run(
        &mut self,
        host: usize,
        owner: Option<(usize, usize)>,
        id: u64,
        upstream: u32,
        now: Time,
    ) {
        if self.play.variant == Variant::Bound {
            self.bound.end(id);
            self.bound.mark_full(u64::from(upstream), now);
        }
        if let Some((part, owner)) = owner {
            self.send(host, owner, Message::Full { part, upstream }, now);
            self.send(host, owner, Message::End { part, id }, now);
        }
    }

    /// Tells the owner of an upstream that a run has ended.
    pub(super) fn tell_end(
        &mut self,
        host: usize,
        owner: Option<(usize, usize)>,
        id: u64,
        upstream: u32,
        now: Time,
    ) {
        let part = match owner {
            Some((part, _)) => Some(part),
            None => self.part_of(upstream),
        };
        let Some(part) = part else {
            return;
        };
        if let Some(owner) = self.fleet.hosts[host].asked.get(&part).copied() {
            self.send(host, owner, Message::End { part, id }, now);
        }
        if let Some((_, granted_by)) = owner
            && self.fleet.hosts[host].asked.get(&part) != Some(&granted_by)
        {
            self.send(host, granted_by, Message::End { part, id }, now);
        }
    }

    pub(super) fn ask_bound(&mut self, index: usize, now: Time) {
        self.calls[index].ask.begin();
        self.update_bound(now);
        let ask = self.new_ask(index, true);
        match self.bound.ask(ask, now) {
            Answer::Granted(upstream, _) => self.start(index, upstream as u32, None, now),
            Answer::Queued => {}
            Answer::Refused => self.refuse(index, Span::ZERO, now),
        }
    }

    /// Records the end of a run for the bound, which gives its slot to a waiting request.
    pub(super) fn bound_ended(&mut self, id: Option<u64>, now: Time) {
        if let Some(id) = id {
            self.bound.end(id);
        }
        self.drain_bound(now);
    }

    pub(super) fn drain_bound(&mut self, now: Time) {
        if self.play.variant != Variant::Bound {
            return;
        }
        self.update_bound(now);
        while let Some((ask, answer)) = self.bound.next_decided(now) {
            let index = (ask.id >> 16) as usize;
            if self.calls[index].id(index) != ask.id {
                self.bound.end(ask.id);
                continue;
            }
            match answer {
                Answer::Granted(upstream, _) => self.start(index, upstream as u32, None, now),
                _ => self.refuse(index, Span::ZERO, now),
            }
        }
    }
}

impl Asking {
    fn new(asked: Vec<(usize, usize)>, is_redirected: bool, since: Time) -> Asking {
        Asking {
            since,
            is_queued: false,
            is_redirected,
            heard: 0,
            asked,
            offers: Vec::new(),
        }
    }
}
