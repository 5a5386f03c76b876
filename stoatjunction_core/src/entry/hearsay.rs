//! What other hosts say of a pool: what they run and what waits there, and which places are whose.

use super::node::{Load, Node};
use super::pool::{Counts, NodeKey, Pool};
use super::share::{self, HostDemand, UpstreamSlots};
use crate::time::{Span, Time};

/// Time after which another host's word on its load counts no more.
const PEER_AGE: Span = Span::from_millis(1_500);
/// Mean times of a run after which it counts no more, since what it told of has ended by then.
const PEER_AGE_RUNS: f64 = 2.0;
/// Time for which it counts at least.
const LEAST_PEER_AGE: Span = Span::from_millis(40);
/// Places for each host that is known without which dealing them out does not pay.
const LEAST_PLACES: f64 = 3.0;

/// The hosts of one data centre as this host sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hosts {
    /// The data centre.
    pub dc: String,
    /// Hosts that are known there.
    pub known: u32,
    /// Those of them that are not heard.
    pub silent: u32,
    /// Places of an upstream that are left to its owners, since their placings are heard of late.
    pub kept: u32,
}

impl Hosts {
    /// Places of an upstream with `slots` that are left to others: what the silent ones may use
    /// unheard, and what is kept.
    fn kept_of(&self, slots: u32) -> u32 {
        let silent = f64::from(self.silent) / f64::from(self.known.max(1));
        self.kept + (f64::from(slots) * silent).ceil() as u32
    }
}

impl Pool {
    /// Counts a call that a caller asks for.
    pub fn asked(&mut self, now: Time) {
        self.demand.add(1.0, now);
    }

    /// Calls that callers have asked for of late, a second.
    pub fn demand(&self, now: Time) -> f64 {
        self.demand.get(now)
    }

    /// Deals out the places of this data centre among the hosts that are known there, `own` being
    /// this one, and sets how many places are left to `others`, the hosts by data centre.
    pub fn deal(&mut self, members: &[HostDemand], own: u64, others: &[Hosts]) {
        let known: u32 = others.iter().map(|h| h.known).sum();
        let places: u32 = self.nodes.iter().map(|(_, n)| n.listed.slots).sum();
        let is_worth_it = f64::from(places) >= LEAST_PLACES * f64::from(known);
        for (_, node) in self.nodes.iter_mut() {
            let hosts = others.iter().find(|h| h.dc == node.listed.dc);
            let kept = hosts.map_or(0, |h| match h.dc == self.dc {
                true => h.kept,
                false => h.kept_of(node.listed.slots),
            });
            node.kept = if is_worth_it { kept } else { 0 };
            node.dealt = None;
        }
        self.dealers = 0;
        if !is_worth_it || members.len() < 2 {
            return;
        }
        self.dealers = members.len() as u32;
        for dealt in share::allocate_slots(members, own, &self.offers()) {
            if let Some(node) = self.nodes.get_mut(dealt.key) {
                node.dealt = Some(dealt.own);
                node.kept += dealt.silent;
            }
        }
    }

    /// What the upstreams of this data centre offer.
    fn offers(&self) -> Vec<UpstreamSlots> {
        let here = self.nodes.iter();
        let here = here.filter(|(_, n)| n.listed.dc == self.dc && !n.listed.draining);
        let offer = |(key, n): (NodeKey, &Node)| UpstreamSlots {
            key,
            number: n.number,
            slots: n.listed.slots,
        };
        here.map(offer).collect()
    }

    /// Takes in what waits on this host.
    pub fn set_waiting(&mut self, waiting: Counts) {
        self.waiting = waiting;
    }

    /// Calls that wait on this host.
    pub fn waiting(&self) -> &Counts {
        &self.waiting
    }

    /// Takes in what waits on another host.
    pub fn heard_waiting(&mut self, peer: u64, waiting: Counts, now: Time) {
        self.rivals.insert(peer, (waiting, now));
    }

    /// Records another host's placing of a prompt's part.
    pub fn heard_part(&mut self, part: u32, key: NodeKey, now: Time) {
        self.parts.read(part, key, now);
    }

    /// Takes in all that another host runs, in place of what it said before.
    pub fn heard(&mut self, peer: u64, loads: Vec<(NodeKey, Load)>, now: Time) {
        self.forget_loads(peer);
        for (key, load) in &loads {
            if let Some(node) = self.nodes.get_mut(*key) {
                node.others.running += load.running;
                node.others.unread += load.unread;
            }
        }
        self.peers.insert(peer, (loads, now));
    }

    /// Forgets the loads of hosts that have been silent for too long. Load answered: plain calls of 20
    /// to 60 ms, of which data centres hear four times a second: what ran when a word was spoken would
    /// seem to fill their upstreams until the next.
    pub fn forget_silent(&mut self, now: Time) {
        let runs = Span::from_secs_f64(self.run_ms * PEER_AGE_RUNS / 1e3);
        let most = runs.max(LEAST_PEER_AGE).min(PEER_AGE);
        let silent = self.peers.iter();
        let silent: Vec<u64> = silent
            .filter(|(_, (_, at))| now.since(*at) >= most)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in silent {
            self.forget_loads(peer);
        }
    }

    fn forget_loads(&mut self, peer: u64) {
        let Some((loads, _)) = self.peers.swap_remove(&peer) else {
            return;
        };
        for (key, load) in loads {
            if let Some(node) = self.nodes.get_mut(key) {
                node.others.running = node.others.running.saturating_sub(load.running);
                node.others.unread = node.others.unread.saturating_sub(load.unread);
            }
        }
    }

    /// Says whether hosts of other data centres tell of their loads only now and then. Upstreams
    /// there are then used only when those nearby are much worse.
    pub fn set_far_apart(&mut self, far_apart: bool) {
        self.far_apart = far_apart;
    }

    /// Takes in how much slower than the pool another host found an upstream.
    pub fn heard_factor(&mut self, key: NodeKey, factor: f64, count: u32) {
        if let Some(node) = self.nodes.get_mut(key) {
            node.factor.hear(factor, count);
        }
    }

    /// Forgets a host's load.
    pub fn forget_peer(&mut self, peer: u64) {
        self.forget_loads(peer);
        self.rivals.swap_remove(&peer);
    }
}
