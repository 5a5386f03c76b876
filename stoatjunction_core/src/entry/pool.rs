//! The upstreams of one service as one host sees them, and its own runs there.

use indexmap::IndexMap;

use super::decaying_rate::DecayingRate;
use super::engine::Line;
use super::health::Outcome;
pub use super::hearsay::Hosts;
pub use super::need::{Need, Order};
use super::node::number_of;
pub use super::node::{Load, Node};
use super::parts::{Part, Parts};
use super::upstream_list::ListedUpstream;
use crate::arena::{Arena, Key};
use crate::time::{Span, Time};

/// Time over which the demand of callers is counted.
const DEMAND_MEMORY: Span = Span::from_millis(3_000);
/// Mean time of a run before anything is learned, in milliseconds.
const RUN_HINT: f64 = 800.0;
/// Least weight of a run in the mean time of runs.
const RUN_WEIGHT: f64 = 0.02;

/// Position of an upstream in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeKey(pub u32);

impl Key for NodeKey {
    fn from_index(index: usize) -> Self {
        NodeKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// A run of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey(u32);

impl Key for RunKey {
    fn from_index(index: usize) -> Self {
        RunKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) node: NodeKey,
    unread: u32,
    ahead: u32,
    begun: Time,
    had_place: bool,
    first: bool,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to the upstream.
    Place(NodeKey),
    /// Keep it until something changes.
    Wait,
    /// Refuse it; there may be room after the time.
    Refuse(Span),
}

/// The upstreams of a service.
#[derive(Clone, Debug)]
pub struct Pool {
    pub(super) dc: String,
    pub(super) nodes: Arena<NodeKey, Node>,
    pub(super) by_id: IndexMap<String, NodeKey>,
    pub(super) by_number: IndexMap<u64, NodeKey>,
    pub(super) peers: IndexMap<u64, (Vec<(NodeKey, Load)>, Time)>,
    /// True while hosts of other data centres tell of their loads only now and then.
    pub(super) far_apart: bool,
    pub(super) runs: Arena<RunKey, Run>,
    pub(super) parts: Parts,
    pub(super) line: Line,
    pub(super) run_ms: f64,
    pub(super) runs_seen: u32,
    pub(super) best_factor: f64,
    pub(super) seed: u64,
    pub(super) waiting: Counts,
    pub(super) rivals: IndexMap<u64, (Counts, Time)>,
    pub(super) demand: DecayingRate,
    /// Hosts among which places are dealt out; 0 when they are not.
    pub(super) dealers: u32,
}

/// Numbers of waiting calls by order.
pub type Counts = Vec<(Order, u16)>;

impl Pool {
    /// A pool without upstreams, seen from data centre `dc`. `seed` differs between hosts, so that
    /// they do not all choose the same of two equal upstreams.
    pub fn new(dc: &str, seed: u64) -> Pool {
        Pool {
            dc: dc.to_owned(),
            nodes: Arena::default(),
            by_id: IndexMap::new(),
            by_number: IndexMap::new(),
            peers: IndexMap::new(),
            far_apart: false,
            runs: Arena::default(),
            parts: Parts::default(),
            line: Line::default(),
            run_ms: RUN_HINT,
            runs_seen: 0,
            best_factor: 1.0,
            seed,
            waiting: Counts::new(),
            rivals: IndexMap::new(),
            demand: DecayingRate::new(DEMAND_MEMORY),
            dealers: 0,
        }
    }

    /// Takes the newest list of the service's upstreams.
    pub fn set_nodes<'a, I>(&mut self, listed: I, now: Time)
    where
        I: Iterator<Item = &'a ListedUpstream>,
    {
        let mut seen = Vec::new();
        for l in listed {
            seen.push(l.id.clone());
            self.set_node(l, now);
        }
        let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !seen.contains(id))
            .cloned()
            .collect();
        for id in gone {
            self.drop_node(&id);
        }
    }

    fn set_node(&mut self, l: &ListedUpstream, now: Time) {
        let known = self.by_id.get(&l.id).copied();
        if let Some(key) = known
            && let Some(node) = self.nodes.get_mut(key)
            && node.listed.born == l.born
            && node.listed.addr == l.addr
        {
            node.listed = l.clone();
            return;
        }
        self.drop_node(&l.id);
        let key = self.nodes.insert(Node::new(l, now));
        self.by_id.insert(l.id.clone(), key);
        self.by_number.insert(number_of(&l.id, l.born), key);
    }

    fn drop_node(&mut self, id: &str) {
        let Some(key) = self.by_id.shift_remove(id) else {
            return;
        };
        if let Some(node) = self.nodes.remove(key) {
            self.by_number.swap_remove(&node.number);
        }
        self.parts.forget(key);
        for (loads, _) in self.peers.values_mut() {
            loads.retain(|(k, _)| *k != key);
        }
    }

    /// The upstream of a key, while it is listed.
    pub fn node(&self, key: NodeKey) -> Option<&Node> {
        self.nodes.get(key)
    }

    /// The key of the upstream with a number.
    pub fn key(&self, number: u64) -> Option<NodeKey> {
        self.by_number.get(&number).copied()
    }

    /// All upstreams.
    pub fn nodes(&self) -> impl Iterator<Item = (NodeKey, &Node)> {
        self.nodes.iter()
    }

    /// Places that are free over all upstreams in use.
    pub fn free(&self, now: Time) -> u32 {
        self.usable(now)
            .map(|(_, n)| n.listed.slots.saturating_sub(n.running(now)))
            .sum()
    }

    /// Places that are free and not left to other hosts.
    pub(super) fn room(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.room(now)).sum()
    }

    /// All places of the upstreams in use.
    pub fn places(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.listed.slots).sum()
    }

    pub(super) fn usable(&self, now: Time) -> impl Iterator<Item = (NodeKey, &Node)> {
        let sound = move |n: &Node| !n.listed.draining && !n.health.is_avoided(now);
        let any = self.nodes.iter().any(|(_, n)| sound(n));
        self.nodes
            .iter()
            .filter(move |(_, n)| !n.listed.draining && (sound(n) || !any))
    }

    /// Records that a call was sent.
    pub fn started(&mut self, key: NodeKey, prompt: &[Part], now: Time) -> RunKey {
        let unread = self.parts.unread(prompt, key);
        let mut ahead = 0;
        let mut had_place = false;
        if let Some(node) = self.nodes.get_mut(key) {
            let load = node.load(now);
            ahead = load.unread;
            had_place = load.running < node.listed.slots;
            node.own.running += 1;
            node.own.unread += unread;
        }
        for part in prompt {
            self.parts.read(part.id, key, now);
        }
        self.runs.insert(Run {
            node: key,
            unread,
            ahead,
            begun: now,
            had_place,
            first: false,
        })
    }

    /// Records the first event, or the head of a plain answer.
    pub fn first(&mut self, run: RunKey, now: Time) {
        let Some(r) = self.runs.get_mut(run) else {
            return;
        };
        if std::mem::replace(&mut r.first, true) {
            return;
        }
        let r = *r;
        let Some(node) = self.nodes.get_mut(r.node) else {
            return;
        };
        node.own.unread = node.own.unread.saturating_sub(r.unread);
        if !r.had_place {
            return;
        }
        let ms = now.since(r.begun).as_secs_f64() * 1e3;
        let tokens = f64::from(r.ahead) + f64::from(r.unread);
        let usual = self.line.at(tokens);
        let factor = node.factor.get();
        node.factor.observe(ms / usual);
        self.line.observe(tokens, ms / factor);
        let known = self.nodes.iter().filter(|(_, n)| n.factor.is_known());
        self.best_factor = known.map(|(_, n)| n.factor.get()).fold(1.0, f64::min);
    }

    /// Records the end of a run.
    pub fn ended(&mut self, run: RunKey, outcome: Option<Outcome>, now: Time) {
        let Some(r) = self.runs.remove(run) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(r.node) else {
            return;
        };
        node.own.running = node.own.running.saturating_sub(1);
        if !r.first {
            node.own.unread = node.own.unread.saturating_sub(r.unread);
        }
        if outcome == Some(Outcome::Good) && r.first {
            let ms = now.since(r.begun).as_secs_f64() * 1e3 / node.factor.get();
            self.runs_seen = self.runs_seen.saturating_add(1);
            let weight = RUN_WEIGHT.max(1.0 / f64::from(self.runs_seen));
            self.run_ms += (ms - self.run_ms) * weight;
        }
        if let Some(outcome) = outcome {
            node.health.observe(outcome, now);
        }
        if outcome == Some(Outcome::Shed) {
            node.found_full(now);
        }
        if matches!(outcome, Some(Outcome::Broken | Outcome::Unreachable)) && !r.first {
            self.parts.forget(r.node);
        }
    }

    /// Records an outcome that is not the end of a run.
    pub fn observe(&mut self, key: NodeKey, outcome: Outcome, now: Time) {
        if let Some(node) = self.nodes.get_mut(key) {
            node.health.observe(outcome, now);
        }
    }

    /// Takes in what an upstream said of its load in an answer.
    pub fn reported(&mut self, key: NodeKey, running: u32, waiting: u32, now: Time) {
        if let Some(node) = self.nodes.get_mut(key) {
            let known = node.own.running + node.others.running;
            node.excess = (running + waiting).saturating_sub(known);
            node.excess_at = now;
        }
    }
}
