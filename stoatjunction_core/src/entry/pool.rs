//! The upstreams of one service as one host sees them, and the choice among them.
//!
//! Load answered: bursts that a pool cannot take whole. An upstream's own queue knows no ranks and
//! keeps what can no longer be in time, so a call goes out only when a place is free, to the
//! upstream with the earliest first event, and is refused at once when none can be in time.

use indexmap::IndexMap;

use super::engine::Line;
use super::health::Outcome;
pub use super::need::{Need, Order};
use super::node::number_of;
pub use super::node::{Load, Node};
use super::parts::{Part, Parts};
use super::rate::Rate;
use super::share::{self, Member, Offer};
use super::view::Listed;
use crate::arena::{Arena, Key};
use crate::hash;
use crate::time::{Span, Time};

/// Time after which another host's word on its load counts no more.
const PEER_AGE: Span = Span::from_millis(1_500);
/// Milliseconds that a run in another data centre has to save, for the bytes between them.
const FAR_MS: f64 = 6.0;
/// The same while hosts of other data centres tell of their loads only now and then.
const FAR_APART_MS: f64 = 60.0;
/// Milliseconds that a full batch costs against an empty one.
const CROWD_MS: f64 = 30.0;
/// Milliseconds that a token costs in the choice, beyond its reading: it delays the neighbours.
const NEIGHBOUR: f64 = 0.3;
/// Milliseconds that a place of another host has to save.
const AWAY_MS: f64 = 25.0;
/// Places for each host that is known without which dealing them out does not pay.
const LEAST_PLACES: f64 = 3.0;
/// Milliseconds over which a host's choices are spread by chance, so that not all choose the same.
const SPREAD_MS: f64 = 2.0;
/// The same for places of other hosts, of which it hears late.
const AWAY_SPREAD_MS: f64 = 20.0;
/// Time over which the demand of callers is counted.
const DEMAND_MEMORY: Span = Span::from_millis(3_000);
/// Mean time of a run before anything is learned, in milliseconds.
const RUN_HINT: f64 = 800.0;
/// Weight of a run in the mean time of runs.
const RUN_WEIGHT: f64 = 0.02;
/// Factor on forecasts of an upstream that started a moment ago.
const COLD: f64 = 1.7;

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
struct Run {
    node: NodeKey,
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
    dc: String,
    nodes: Arena<NodeKey, Node>,
    by_id: IndexMap<String, NodeKey>,
    by_number: IndexMap<u64, NodeKey>,
    peers: IndexMap<u64, (Vec<(NodeKey, Load)>, Time)>,
    far_ms: f64,
    runs: Arena<RunKey, Run>,
    parts: Parts,
    line: Line,
    run_ms: f64,
    best_factor: f64,
    seed: u64,
    waiting: Counts,
    rivals: IndexMap<u64, (Counts, Time)>,
    demand: Rate,
    /// Hosts among which places are dealt out; 0 when they are not.
    dealers: u32,
}

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
            far_ms: FAR_MS,
            runs: Arena::default(),
            parts: Parts::default(),
            line: Line::default(),
            run_ms: RUN_HINT,
            best_factor: 1.0,
            seed,
            waiting: Counts::new(),
            rivals: IndexMap::new(),
            demand: Rate::new(DEMAND_MEMORY),
            dealers: 0,
        }
    }

    /// Takes the newest list of the service's upstreams.
    pub fn set_nodes<'a, I>(&mut self, listed: I, now: Time)
    where
        I: Iterator<Item = &'a Listed>,
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

    fn set_node(&mut self, l: &Listed, now: Time) {
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
    fn room(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.room(now)).sum()
    }

    /// All places of the upstreams in use.
    pub fn places(&self, now: Time) -> u32 {
        self.usable(now).map(|(_, n)| n.listed.slots).sum()
    }

    fn usable(&self, now: Time) -> impl Iterator<Item = (NodeKey, &Node)> {
        let sound = move |n: &Node| !n.listed.draining && !n.health.is_avoided(now);
        let any = self.nodes.iter().any(|(_, n)| sound(n));
        self.nodes
            .iter()
            .filter(move |(_, n)| !n.listed.draining && (sound(n) || !any))
    }

    /// Milliseconds until the first event of a prompt of which `unread` tokens are to be read.
    pub fn forecast(&self, node: &Node, unread: u32, now: Time) -> f64 {
        let load = node.load(now);
        let tokens = f64::from(load.unread) + f64::from(unread);
        let cold = if now < node.cold_until { COLD } else { 1.0 };
        self.wait_ms(node, now) + self.line.at(tokens) * self.factor(node) * cold
    }

    /// An upstream's factor. One of which nothing is known is taken for as good as the best, so
    /// that it is tried.
    fn factor(&self, node: &Node) -> f64 {
        let own = node.factor.get();
        if node.factor.is_known() {
            own
        } else {
            own.min(self.best_factor)
        }
    }

    /// True when another upstream than `key` and those in `tried` has a free place.
    pub fn has_other(&self, key: NodeKey, tried: &[NodeKey], now: Time) -> bool {
        let has_place = |n: &Node| n.running(now) < n.listed.slots;
        self.usable(now)
            .any(|(k, n)| k != key && !tried.contains(&k) && has_place(n))
    }

    /// Milliseconds until the first event of a run that has just begun.
    pub fn forecast_of(&self, run: RunKey, now: Time) -> f64 {
        let node = self.runs.get(run).and_then(|r| self.nodes.get(r.node));
        node.map_or(0.0, |n| self.forecast(n, 0, now))
    }

    fn wait_ms(&self, node: &Node, now: Time) -> f64 {
        let slots = node.listed.slots.max(1);
        let over = (node.running(now) + 1).saturating_sub(slots);
        f64::from(over) * self.run_ms * node.factor.get() / f64::from(slots)
    }

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
    pub fn deal(&mut self, members: &[Member], own: u64, others: &[Hosts]) {
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
        for dealt in share::deal(members, own, &self.offers()) {
            if let Some(node) = self.nodes.get_mut(dealt.key) {
                node.dealt = Some(dealt.own);
                node.kept += dealt.silent;
            }
        }
    }

    /// What the upstreams of this data centre offer.
    fn offers(&self) -> Vec<Offer> {
        let here = self.nodes.iter();
        let here = here.filter(|(_, n)| n.listed.dc == self.dc && !n.listed.draining);
        let offer = |(key, n): (NodeKey, &Node)| Offer {
            key,
            number: n.number,
            slots: n.listed.slots,
        };
        here.map(offer).collect()
    }

    /// Decides on a call. One that can no longer be in time becomes a late one: to come back would
    /// gain it nothing, and it still gets a place when there is room to spare.
    pub fn decide(&mut self, need: &mut Need, now: Time) -> Verdict {
        let mut best: Option<(f64, f64, NodeKey, bool)> = None;
        let mut open = 0;
        self.seed = hash::mix(self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15));
        for (key, node) in self.usable(now) {
            if need.tried.contains(&key) {
                continue;
            }
            open += 1;
            let trial = node.health.is_on_trial();
            if trial && (node.own.running > 0 || !need.idempotent) && self.nodes.len() > 1 {
                continue;
            }
            let unread = self.parts.unread(&need.prompt, key);
            let ms = self.forecast(node, unread, now);
            let cost = ms + self.extra_cost(node, key, unread, now);
            let has_place = node.has_place(now);
            let better = best.is_none_or(|(c, _, _, p)| (!has_place, cost) < (!p, c));
            if better {
                best = Some((cost, ms, key, has_place));
            }
        }
        let Some((_, ms, key, has_place)) = best else {
            return self.without_upstream(need, open, now);
        };
        let first_event = now + Span::from_secs_f64(ms / 1e3);
        if !need.late && first_event > need.in_time {
            need.late = true;
            need.wait_until = now + need.late_wait;
        }
        let is_own = self.nodes.get(key).is_some_and(Node::has_own_place);
        let has_turn = || is_own || self.has_turn(need, now);
        if has_place && self.has_spare(need, now) && has_turn() {
            return Verdict::Place(key);
        }
        if now >= need.wait_until {
            return Verdict::Refuse(self.backlog(now));
        }
        Verdict::Wait
    }

    fn without_upstream(&self, need: &Need, open: u32, now: Time) -> Verdict {
        if open > 0 && now < need.wait_until {
            return Verdict::Wait;
        }
        Verdict::Refuse(self.backlog(now))
    }

    fn extra_cost(&self, node: &Node, key: NodeKey, unread: u32, now: Time) -> f64 {
        let slots = f64::from(node.listed.slots.max(1));
        let crowd = CROWD_MS * f64::from(node.running(now)) / slots;
        let far = if node.listed.dc == self.dc {
            0.0
        } else {
            FAR_MS
        };
        let (away, spread) = match node.dealt {
            Some(_) if !node.has_own_place() => (AWAY_MS, AWAY_SPREAD_MS),
            _ => (0.0, SPREAD_MS),
        };
        let neighbours = self.line.slope() * f64::from(unread) * NEIGHBOUR;
        let draw = hash::mix(self.seed ^ u64::from(key.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        crowd + far + away + neighbours + spread * draw
    }

    /// True when the call's rank may take one of the free places: the last ones are kept for the
    /// urgent.
    fn has_spare(&self, need: &Need, now: Time) -> bool {
        let places = f64::from(self.places(now));
        let steps = f64::from(need.rank.1.min(3)) + if need.late { 2.0 } else { 0.0 };
        f64::from(self.free(now)) > RESERVE * steps * places
    }

    /// Draws for the free places among the waiting calls of all hosts, the more urgent first, so
    /// that places which become free at once are not taken by every host.
    fn has_turn(&self, need: &Need, now: Time) -> bool {
        let order = need.order();
        let fresh = self.rivals.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < RIVAL_AGE);
        let (mut ahead, mut same) = (0_u32, 0_u32);
        for (counts, _) in fresh {
            for (other, n) in counts {
                match other.cmp(&order) {
                    std::cmp::Ordering::Less => ahead += u32::from(*n),
                    std::cmp::Ordering::Equal => same += u32::from(*n),
                    std::cmp::Ordering::Greater => {}
                }
            }
        }
        if same == 0 && ahead == 0 && self.dealers < 2 {
            return true;
        }
        let own = self.waiting.iter().find(|(o, _)| *o == order);
        let own = own.map_or(1, |(_, n)| u32::from(*n).max(1));
        // Besides those that wait, any host's next caller may find its own places full.
        let own = own + self.dealers / 2;
        let left = f64::from(self.room(now).saturating_sub(ahead));
        let draw = hash::mix(need.salt ^ (now.0 / TURN.0)) >> 40;
        let draw = draw as f64 / (1_u64 << 24) as f64;
        draw * f64::from(same + own) < left
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

    /// Time after which a call that is refused now may find room.
    pub fn backlog(&self, now: Time) -> Span {
        let over: f64 = self
            .usable(now)
            .map(|(_, n)| self.wait_ms(n, now))
            .fold(f64::INFINITY, f64::min);
        let ms = if over.is_finite() { over } else { self.run_ms };
        Span::from_secs_f64((ms + self.run_ms) / 1e3)
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

    /// Records another host's placing of a prompt's part.
    pub fn heard_part(&mut self, part: u32, key: NodeKey, now: Time) {
        self.parts.read(part, key, now);
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
            self.run_ms += (ms - self.run_ms) * RUN_WEIGHT;
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

    /// Forgets the loads of hosts that have been silent for too long.
    pub fn forget_silent(&mut self, now: Time) {
        let silent = self.peers.iter();
        let silent: Vec<u64> = silent
            .filter(|(_, (_, at))| now.since(*at) >= PEER_AGE)
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
        self.far_ms = if far_apart { FAR_APART_MS } else { FAR_MS };
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

/// Time after which another host's word on its queue counts no more.
const RIVAL_AGE: Span = Span::from_millis(400);
/// Time between two draws; the others have heard of the first by then.
const TURN: Span = Span::from_millis(30);
/// Part of all places that each step of rank leaves free.
const RESERVE: f64 = 0.008;
