//! What other hosts report about a pool (their running and waiting requests), and the allocation of
//! slots to hosts.

use super::pool::{Pool, UpstreamKey, WaitingCounts};
use super::slot_allocation::{self, HostDemand, UpstreamSlots};
use super::upstream::{Load, Upstream};
use crate::time::{Span, Time};

/// Age at which the load report of another host expires.
const MAX_PEER_LOAD_AGE: Span = Span::from_millis(1_500);
/// Mean run durations after which a load report expires, since the runs in it have ended by then.
const MAX_PEER_LOAD_AGE_RUNS: f64 = 2.0;
/// Age up to which a load report never expires.
const MIN_PEER_LOAD_AGE: Span = Span::from_millis(40);
/// Slots for each known host below which they are not allocated to hosts.
pub(super) const MIN_SLOTS_PER_HOST: f64 = 3.0;

/// The hosts of one data centre as seen by this host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentreHosts {
    /// Name of the data centre.
    pub dc: String,
    /// Number of known hosts.
    pub known: u32,
    /// Number of known hosts that are currently unreachable.
    pub unreachable: u32,
    /// Slots of each upstream that are left to other hosts, whose placements are reported late.
    pub reserved_slots: u32,
}

impl DataCentreHosts {
    /// Returns how many of the `slots` of an upstream are left to other hosts: the reserved ones
    /// and the share of unreachable hosts, whose runs are unknown.
    fn reserved_of(&self, slots: u32) -> u32 {
        let unreachable_part = f64::from(self.unreachable) / f64::from(self.known.max(1));
        self.reserved_slots + (f64::from(slots) * unreachable_part).ceil() as u32
    }
}

impl Pool {
    /// Counts an incoming request.
    pub fn record_arrival(&mut self, now: Time) {
        self.demand.add(1.0, now);
    }

    /// Returns the recent rate of incoming requests per second.
    pub fn demand(&self, now: Time) -> f64 {
        self.demand.get(now)
    }

    /// Allocates the slots of the local data centre to `local_hosts`, of which `own` is this host,
    /// and sets how many slots of each upstream are reserved for the other hosts in `hosts_by_dc`.
    pub fn allocate_slots(
        &mut self,
        local_hosts: &[HostDemand],
        own: u64,
        hosts_by_dc: &[DataCentreHosts],
    ) {
        self.divide_room(local_hosts, own);
        let known: u32 = hosts_by_dc.iter().map(|h| h.known).sum();
        let slots: u32 = self.upstreams.iter().map(|(_, u)| u.listed.slots).sum();
        let is_worth_it = f64::from(slots) >= MIN_SLOTS_PER_HOST * f64::from(known);
        for (_, upstream) in self.upstreams.iter_mut() {
            let hosts = hosts_by_dc.iter().find(|h| h.dc == upstream.listed.dc);
            let reserved = hosts.map_or(0, |h| match h.dc == self.dc {
                true => h.reserved_slots,
                false => h.reserved_of(upstream.listed.slots),
            });
            let is_limited = self.limits.is_limited(upstream.number);
            upstream.reserved_slots = if is_worth_it && !is_limited {
                reserved
            } else {
                0
            };
            upstream.owned_slots = None;
        }
        self.slot_sharers = 0;
        if !is_worth_it || local_hosts.len() < 2 {
            return;
        }
        self.slot_sharers = local_hosts.len() as u32;
        for allocation in slot_allocation::allocate_slots(local_hosts, own, &self.local_slots()) {
            if let Some(upstream) = self.upstreams.get_mut(allocation.key) {
                upstream.owned_slots = Some(allocation.own);
                upstream.reserved_slots += allocation.unreachable;
            }
        }
    }

    /// Returns whether slots are allocated to this host and others.
    pub fn has_allocated_slots(&self) -> bool {
        self.slot_sharers > 0
    }

    /// Returns the slots of the local upstreams that don't leave. Those of upstreams that name a
    /// limit are nobody's: most of them stay free.
    fn local_slots(&self) -> Vec<UpstreamSlots> {
        let local = self.upstreams.iter();
        let local = local.filter(|(_, u)| u.listed.dc == self.dc && !self.is_leaving(u));
        let local = local.filter(|(_, u)| !self.limits.is_limited(u.number));
        let slots_of = |(key, u): (UpstreamKey, &Upstream)| UpstreamSlots {
            key,
            number: u.number,
            slots: u.listed.slots,
        };
        local.map(slots_of).collect()
    }

    /// Sets the waiting requests of this host.
    pub fn set_waiting(&mut self, waiting: WaitingCounts) {
        self.waiting = waiting;
    }

    /// Returns the waiting requests of this host.
    pub fn waiting(&self) -> &WaitingCounts {
        &self.waiting
    }

    /// Sets the waiting requests of another host.
    pub fn set_peer_waiting(&mut self, peer: u64, waiting: WaitingCounts, now: Time) {
        self.peer_waiting.insert(peer, (waiting, now));
    }

    /// Records that another host sent a prompt part to an upstream.
    pub fn record_peer_prompt_part(&mut self, part: u32, key: UpstreamKey, now: Time) {
        self.prompt_cache.record(part, key, now);
    }

    /// Replaces the load that another host reported before.
    pub fn set_peer_load(&mut self, peer: u64, loads: Vec<(UpstreamKey, Load)>, now: Time) {
        self.remove_peer_load(peer);
        for (key, load) in &loads {
            if let Some(upstream) = self.upstreams.get_mut(*key) {
                upstream.peer_load = upstream.peer_load.saturating_add(*load);
            }
        }
        self.peer_loads.insert(peer, (loads, now));
    }

    /// Drops load reports that are too old.
    ///
    /// Plain requests take 20 to 60 ms, while other data centres report four times a second.
    /// Without an expiry in terms of run durations, runs that have ended long ago would make their
    /// upstreams look full until the next report.
    pub fn expire_peer_loads(&mut self, now: Time) {
        for peer in self.expired_peer_loads(now) {
            self.remove_peer_load(peer);
        }
    }

    /// Returns the hosts whose load reports are too old.
    pub(super) fn expired_peer_loads(&self, now: Time) -> Vec<u64> {
        let runs = Span::from_secs_f64(self.mean_run_ms * MAX_PEER_LOAD_AGE_RUNS / 1e3);
        let max_age = runs.max(MIN_PEER_LOAD_AGE).min(MAX_PEER_LOAD_AGE);
        let expired = self.peer_loads.iter();
        let expired = expired.filter(|(_, (_, at))| now.since(*at) >= max_age);
        expired.map(|(peer, _)| *peer).collect()
    }

    fn remove_peer_load(&mut self, peer: u64) {
        let Some((loads, _)) = self.peer_loads.swap_remove(&peer) else {
            return;
        };
        for (key, load) in loads {
            if let Some(upstream) = self.upstreams.get_mut(key) {
                upstream.peer_load.running =
                    upstream.peer_load.running.saturating_sub(load.running);
                upstream.peer_load.pending_prefill_tokens = upstream
                    .peer_load
                    .pending_prefill_tokens
                    .saturating_sub(load.pending_prefill_tokens);
            }
        }
    }

    /// Sets whether hosts of other data centres report their loads infrequently. Upstreams there
    /// are then only used when the local ones are much worse.
    pub fn set_sparse_remote_reports(&mut self, sparse_remote_reports: bool) {
        self.sparse_remote_reports = sparse_remote_reports;
    }

    /// Merges the slowdown of an upstream that another host measured.
    pub fn record_peer_slowdown(&mut self, key: UpstreamKey, slowdown: f64, count: u32) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.slowdown.observe_peer(slowdown, count);
        }
    }

    /// Drops all reports of another host.
    pub fn forget_peer(&mut self, peer: u64) {
        self.remove_peer_load(peer);
        self.forget_peer_tokens(peer);
        self.peer_waiting.swap_remove(&peer);
    }
}
