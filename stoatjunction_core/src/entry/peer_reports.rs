//! What other hosts say of a pool: what they run and what waits there, and which slots are whose.

use super::pool::{Pool, UpstreamKey, WaitingCounts};
use super::share::{self, Member, Offer};
use super::upstream::{Load, Upstream};
use crate::time::{Span, Time};

/// Time after which another host's word on its load counts no more.
const MAX_PEER_LOAD_AGE: Span = Span::from_millis(1_500);
/// Mean times of a run after which it counts no more, since what it told of has ended by then.
const MAX_PEER_LOAD_AGE_RUNS: f64 = 2.0;
/// Time for which it counts at least.
const MIN_PEER_LOAD_AGE: Span = Span::from_millis(40);
/// Places for each host that is known without which dealing them out does not pay.
const MIN_SLOTS_PER_HOST: f64 = 3.0;

/// The hosts of one data centre as this host sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentreHosts {
    /// The data centre.
    pub dc: String,
    /// DataCentreHosts that are known there.
    pub known: u32,
    /// Those of them that are not heard.
    pub silent: u32,
    /// Places of an upstream that are left to its owners, since their placings are heard of late.
    pub reserved_slots: u32,
}

impl DataCentreHosts {
    /// Places of an upstream with `slots` that are left to others: what the silent ones may use
    /// unheard, and what is reserved.
    fn reserved_of(&self, slots: u32) -> u32 {
        let silent = f64::from(self.silent) / f64::from(self.known.max(1));
        self.reserved_slots + (f64::from(slots) * silent).ceil() as u32
    }
}

impl Pool {
    /// Counts a call that a caller asks for.
    pub fn record_arrival(&mut self, now: Time) {
        self.demand.add(1.0, now);
    }

    /// Calls that callers have asked for of late, a second.
    pub fn demand(&self, now: Time) -> f64 {
        self.demand.get(now)
    }

    /// Deals out the slots of this data centre among the hosts that are known there, `own` being
    /// this one, and sets how many slots are left to `others`, the hosts by data centre.
    pub fn partition_slots(&mut self, members: &[Member], own: u64, others: &[DataCentreHosts]) {
        let known: u32 = others.iter().map(|h| h.known).sum();
        let slots: u32 = self.upstreams.iter().map(|(_, u)| u.listed.slots).sum();
        let is_worth_it = f64::from(slots) >= MIN_SLOTS_PER_HOST * f64::from(known);
        for (_, upstream) in self.upstreams.iter_mut() {
            let hosts = others.iter().find(|h| h.dc == upstream.listed.dc);
            let reserved = hosts.map_or(0, |h| match h.dc == self.dc {
                true => h.reserved_slots,
                false => h.reserved_of(upstream.listed.slots),
            });
            upstream.reserved_slots = if is_worth_it { reserved } else { 0 };
            upstream.owned_slots = None;
        }
        self.slot_sharers = 0;
        if !is_worth_it || members.len() < 2 {
            return;
        }
        self.slot_sharers = members.len() as u32;
        for dealt in share::deal(members, own, &self.offers()) {
            if let Some(upstream) = self.upstreams.get_mut(dealt.key) {
                upstream.owned_slots = Some(dealt.own);
                upstream.reserved_slots += dealt.silent;
            }
        }
    }

    /// What the upstreams of this data centre offer.
    fn offers(&self) -> Vec<Offer> {
        let local = self.upstreams.iter();
        let local = local.filter(|(_, u)| u.listed.dc == self.dc && !u.listed.draining);
        let offer = |(key, u): (UpstreamKey, &Upstream)| Offer {
            key,
            number: u.number,
            slots: u.listed.slots,
        };
        local.map(offer).collect()
    }

    /// Takes in what waits on this host.
    pub fn set_waiting(&mut self, waiting: WaitingCounts) {
        self.waiting = waiting;
    }

    /// Calls that wait on this host.
    pub fn waiting(&self) -> &WaitingCounts {
        &self.waiting
    }

    /// Takes in what waits on another host.
    pub fn set_peer_waiting(&mut self, peer: u64, waiting: WaitingCounts, now: Time) {
        self.peer_waiting.insert(peer, (waiting, now));
    }

    /// Records another host's placing of a prompt's part.
    pub fn record_peer_prompt_part(&mut self, part: u32, key: UpstreamKey, now: Time) {
        self.prompt_cache.record(part, key, now);
    }

    /// Takes in all that another host runs, in place of what it said before.
    pub fn set_peer_load(&mut self, peer: u64, loads: Vec<(UpstreamKey, Load)>, now: Time) {
        self.remove_peer_load(peer);
        for (key, load) in &loads {
            if let Some(upstream) = self.upstreams.get_mut(*key) {
                upstream.others.running += load.running;
                upstream.others.pending_prefill_tokens += load.pending_prefill_tokens;
            }
        }
        self.peer_loads.insert(peer, (loads, now));
    }

    /// Forgets the loads of hosts that have been silent for too long. Load answered: plain calls of 20
    /// to 60 ms, of which data centres hear four times a second: what ran when a word was spoken would
    /// seem to fill their upstreams until the next.
    pub fn expire_peer_loads(&mut self, now: Time) {
        let runs = Span::from_secs_f64(self.mean_run_ms * MAX_PEER_LOAD_AGE_RUNS / 1e3);
        let max_age = runs.max(MIN_PEER_LOAD_AGE).min(MAX_PEER_LOAD_AGE);
        let loads = self.peer_loads.iter();
        let expired: Vec<u64> = loads
            .filter(|(_, (_, at))| now.since(*at) >= max_age)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in expired {
            self.remove_peer_load(peer);
        }
    }

    fn remove_peer_load(&mut self, peer: u64) {
        let Some((loads, _)) = self.peer_loads.swap_remove(&peer) else {
            return;
        };
        for (key, load) in loads {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.others.running = upstream.others.running.saturating_sub(load.running);
                upstream.others.pending_prefill_tokens = upstream
                    .others
                    .pending_prefill_tokens
                    .saturating_sub(load.pending_prefill_tokens);
            }
        }
    }

    /// Says whether hosts of other data centres tell of their loads only now and then. Upstreams
    /// there are then used only when those nearby are much worse.
    pub fn set_sparse_remote_reports(&mut self, sparse_remote_reports: bool) {
        self.sparse_remote_reports = sparse_remote_reports;
    }

    /// Takes in how much slower than the pool another host found an upstream.
    pub fn record_peer_slowdown(&mut self, key: UpstreamKey, slowdown: f64, count: u32) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.slowdown.observe_peer(slowdown, count);
        }
    }

    /// Forgets a host's load.
    pub fn forget_peer(&mut self, peer: u64) {
        self.remove_peer_load(peer);
        self.peer_waiting.swap_remove(&peer);
    }
}
