//! Room in the memory of the engines of a pool: an engine crashes when the requests that it runs exceed its memory. What
//! it holds is the sum of prompt and maximum output tokens of its runs at all hosts, as these report it.

use indexmap::{IndexMap, IndexSet};

use super::placement_request::{PlacementRequest, Precedence};
use super::pool::{Pool, RunKey, UpstreamKey};
use super::slot_allocation::HostDemand;
use crate::hash;
use crate::time::{Span, Time};

/// Part of an engine's memory that is filled, since reports of other hosts are late.
const MAX_FILL: f64 = 0.95;
/// The same at an upstream that another host fills. With one limit for all hosts, many of them would send
/// requests to the same engine when room becomes free, and exceed its memory.
const MAX_SHARED_FILL: f64 = 0.4;
/// Time after a request has waited for room in which this host uses other hosts' upstreams only if it wins a draw: other
/// hosts have requests that wait for the same room.
const CONTENTION_TIME: Span = Span::from_millis(1_000);
/// Part of an engine's memory up to which a host that may not fill it sends small requests there: requests that fit
/// even if all hosts send one at once.
const MAX_SMALL_FILL: f64 = 0.8;
/// Part of an engine's memory up to which the winner of the draw may fill it if another host owns it, so that memory
/// does not stay unused when one host gets more requests than others.
const MAX_DRAWN_FILL: f64 = 0.6;
/// Average number of draw intervals between two wins for the same upstream, over all hosts.
const DRAW_INTERVALS: u64 = 4;
/// Interval between two draws, in which the other hosts learn what the winner sends.
const DRAW_INTERVAL: Span = Span::from_millis(30);
/// Time before the last moment at which a request may start in time from which it keeps room free for itself.
const CLAIM_TIME: Span = Span::from_millis(500);
/// Age at which a report of another host expires: the host is gone, or its runs have ended.
const MAX_REPORT_AGE: Span = Span::from_millis(1_500);
/// Milliseconds by which an empty upstream is preferred to one whose memory is full, so that long prompts that arrive at
/// several hosts at the same time are spread.
const FULL_MEMORY_PENALTY_MS: f64 = 40.0;

/// Tokens by upstream.
type HeldTokens = IndexMap<UpstreamKey, u64>;

/// Room that a waiting request keeps free at an upstream.
#[derive(Clone, Copy, Debug)]
struct Claim {
    upstream: UpstreamKey,
    tokens: u64,
    /// Identifies the request.
    salt: u64,
    /// Position of the request in the queue.
    position: (Precedence, Time),
}

/// An upstream that a request does not fit in now.
#[derive(Clone, Copy, Debug)]
pub(super) struct FullUpstream {
    key: UpstreamKey,
    held: u64,
    /// Milliseconds until the first event if the request were sent there.
    ms: f64,
}

/// Memory of the engines of a pool and what is held of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Room {
    /// Tokens that one engine holds; 0 if the memory is not known.
    capacity: u64,
    runs: IndexMap<RunKey, (UpstreamKey, u64)>,
    own: HeldTokens,
    peers: HeldTokens,
    reports: IndexMap<u64, (Vec<(UpstreamKey, u64)>, Time)>,
    claims: Vec<Claim>,
    /// Number of the hosts among which the upstreams of the data centre are divided, and the number of this host.
    sharers: u64,
    own_id: u64,
    /// Time at which a request last waited for room here.
    waited_at: Option<Time>,
    /// Upstreams that this host may fill.
    filled_here: IndexSet<UpstreamKey>,
}

impl Room {
    /// Returns whether this host wins the draw for an upstream that another host fills.
    fn wins_draw(&self, key: UpstreamKey, now: Time) -> bool {
        let draw = hash::mix(self.own_id ^ hash::mix(u64::from(key.0) ^ (now.0 / DRAW_INTERVAL.0)));
        draw.is_multiple_of(DRAW_INTERVALS * self.sharers)
    }

    /// Returns what the runs of all hosts hold at an upstream, with what other hosts claim.
    fn held(&self, key: UpstreamKey) -> u64 {
        let of = |held: &HeldTokens| held.get(&key).copied().unwrap_or(0);
        of(&self.own) + of(&self.peers)
    }

    /// Returns what waiting requests of this host claim at an upstream that are ahead of `request`.
    fn claimed_ahead(&self, key: UpstreamKey, request: &PlacementRequest) -> u64 {
        let position = position(request);
        let claims = self.claims.iter().filter(|c| c.upstream == key);
        let ahead = claims.filter(|c| c.salt != request.salt && c.position <= position);
        ahead.map(|c| c.tokens).sum()
    }

    /// Frees what a run holds.
    pub(super) fn release(&mut self, run: RunKey) {
        if let Some((key, tokens)) = self.runs.swap_remove(&run) {
            subtract(&mut self.own, key, tokens);
        }
    }

    fn remove_report(&mut self, reporter: u64) {
        if let Some((held, _)) = self.reports.swap_remove(&reporter) {
            for (key, tokens) in held {
                subtract(&mut self.peers, key, tokens);
            }
        }
    }
}

fn subtract(held: &mut HeldTokens, key: UpstreamKey, tokens: u64) {
    if let Some(sum) = held.get_mut(&key) {
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            held.swap_remove(&key);
        }
    }
}

fn position(request: &PlacementRequest) -> (Precedence, Time) {
    (request.precedence(), request.due_at)
}

impl Pool {
    /// Sets the tokens that the memory of one engine holds; 0 if it is not known.
    pub fn set_cache_tokens(&mut self, tokens: u64) {
        self.room.capacity = tokens;
    }

    /// Divides the upstreams of the data centre among its reachable hosts: each may fill its own ones, and leaves a part of
    /// the others free. Reports of what the others send are late, and many hosts may wait for the same room.
    pub(super) fn divide_room(&mut self, local_hosts: &[HostDemand], own: u64) {
        let reachable = local_hosts.iter().filter(|h| !h.unreachable || h.id == own);
        let mut hosts: Vec<u64> = reachable.map(|h| h.id).collect();
        hosts.sort_unstable();
        let index = hosts.iter().position(|id| *id == own).unwrap_or(0);
        let local = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.listed.dc == self.dc && !self.is_leaving(u));
        let mut local: Vec<(u64, UpstreamKey)> = local.map(|(key, u)| (u.number, key)).collect();
        local.sort_unstable();
        let count = hosts.len().max(1);
        let filled_here = local.iter().skip(index).step_by(count);
        self.room.filled_here = filled_here.map(|(_, key)| *key).collect();
        self.room.sharers = count as u64;
        self.room.own_id = own;
    }

    /// Returns whether a request of that many tokens is larger than the memory of an empty engine.
    pub fn exceeds_memory(&self, tokens: u64) -> bool {
        self.room.capacity > 0 && tokens > self.room.capacity
    }

    /// Records the tokens that a run holds until its end.
    pub fn hold_tokens(&mut self, run: RunKey, tokens: u64) {
        let Some(upstream) = self.runs.get(run).map(|r| r.upstream) else {
            return;
        };
        if self.room.capacity > 0 && tokens > 0 {
            self.room.runs.insert(run, (upstream, tokens));
            *self.room.own.entry(upstream).or_default() += tokens;
        }
    }

    /// Returns the tokens that the runs of all hosts hold at an upstream.
    pub fn held_tokens(&self, key: UpstreamKey) -> u64 {
        self.room.held(key)
    }

    /// Returns the tokens that this host reports for an upstream: those of its runs, and those that its waiting requests
    /// claim, so that other hosts leave this room as well.
    pub fn reported_tokens(&self, key: UpstreamKey) -> u64 {
        let claims = self.room.claims.iter().filter(|c| c.upstream == key);
        let claimed: u64 = claims.map(|c| c.tokens).sum();
        self.room.own.get(&key).copied().unwrap_or(0) + claimed
    }

    /// Replaces the tokens that another host reported before, and drops reports that are too old.
    pub fn set_peer_tokens(&mut self, peer: u64, held: Vec<(UpstreamKey, u64)>, now: Time) {
        let reports = self.room.reports.iter();
        let is_old = |at: Time| now.since(at) >= MAX_REPORT_AGE;
        let old = reports.filter(|(_, (_, at))| is_old(*at)).map(|(p, _)| *p);
        let old: Vec<u64> = old.chain(std::iter::once(peer)).collect();
        for peer in old {
            self.room.remove_report(peer);
        }
        for (key, tokens) in &held {
            *self.room.peers.entry(*key).or_default() += tokens;
        }
        if !held.is_empty() {
            self.room.reports.insert(peer, (held, now));
        }
    }

    /// Drops the tokens that another host reported.
    pub(super) fn forget_peer_tokens(&mut self, peer: u64) {
        self.room.remove_report(peer);
    }

    /// Forgets the room that waiting requests claim. The next pass over the queue makes the claims anew.
    pub(super) fn clear_claims(&mut self) {
        self.room.claims.clear();
    }

    /// Returns whether the memory of an upstream has room for a request.
    pub(super) fn has_room(&self, key: UpstreamKey, request: &PlacementRequest, now: Time) -> bool {
        let (capacity, tokens) = (self.room.capacity, request.tokens);
        if capacity == 0 || tokens == 0 {
            return true;
        }
        let held = self.room.held(key) + self.room.claimed_ahead(key, request);
        if held == 0 && self.may_fill(key) {
            return tokens <= capacity;
        }
        held.saturating_add(tokens) as f64 <= self.fill(key, tokens, now) * capacity as f64
    }

    /// Returns whether this host is the one that may fill an upstream.
    fn may_fill(&self, key: UpstreamKey) -> bool {
        self.room.sharers < 2 || self.room.filled_here.contains(&key)
    }

    /// Returns the part of an upstream's memory up to which this host may fill it with a request.
    fn fill(&self, key: UpstreamKey, tokens: u64, now: Time) -> f64 {
        if self.may_fill(key) {
            return MAX_FILL;
        }
        // If all hosts send one such request at the same moment, they fit.
        let of_all_hosts = tokens.saturating_mul(self.room.sharers) as f64;
        if of_all_hosts <= (MAX_FILL - MAX_SMALL_FILL) * self.room.capacity as f64 {
            return MAX_SMALL_FILL;
        }
        let is_contended = self
            .room
            .waited_at
            .is_some_and(|at| now.since(at) < CONTENTION_TIME);
        match (self.room.wins_draw(key, now), is_contended) {
            (true, _) => MAX_DRAWN_FILL,
            (false, false) => MAX_SHARED_FILL,
            (false, true) => 0.0,
        }
    }

    /// Returns the cost of an upstream in milliseconds for the part of its memory that is held.
    pub(super) fn memory_penalty_ms(&self, key: UpstreamKey) -> f64 {
        if self.room.capacity == 0 {
            return 0.0;
        }
        FULL_MEMORY_PENALTY_MS * self.room.held(key) as f64 / self.room.capacity as f64
    }

    /// Returns the upstream that holds less, of `best` and the one at `key`, in neither of which a request fits now.
    pub(super) fn less_full(
        &self,
        best: Option<FullUpstream>,
        key: UpstreamKey,
        ms: f64,
    ) -> Option<FullUpstream> {
        let held = self.room.held(key);
        let other = FullUpstream { key, held, ms };
        Some(best.filter(|b| b.held <= held).unwrap_or(other))
    }

    /// Sets whether a request that fits in no upstream now waits, and returns the upstream at which it then keeps room
    /// free for itself: the one that holds the least, once it has to start soon. Until then less urgent requests may
    /// overtake it.
    pub(super) fn wait_for_room(
        &self,
        request: &mut PlacementRequest,
        full: FullUpstream,
        now: Time,
    ) -> Option<FullUpstream> {
        let starts_by = request
            .due_at
            .saturating_sub(Span::from_secs_f64(full.ms / 1e3));
        if !request.late && now > starts_by {
            request.late = true;
            request.wait_until = now + request.late_wait;
        }
        if now >= request.wait_until {
            return None;
        }
        request.waits_for_room = true;
        (!request.late && now + CLAIM_TIME >= starts_by).then_some(full)
    }

    /// Records that a request waits for room, and where it keeps room free for itself.
    pub(super) fn record_wait_for_room(
        &mut self,
        request: &PlacementRequest,
        claimed: Option<FullUpstream>,
        now: Time,
    ) {
        self.room.waited_at = Some(now);
        let Some(full) = claimed else {
            return;
        };
        self.room.claims.retain(|c| c.salt != request.salt);
        self.room.claims.push(Claim {
            upstream: full.key,
            tokens: request.tokens,
            salt: request.salt,
            position: position(request),
        });
    }
}
