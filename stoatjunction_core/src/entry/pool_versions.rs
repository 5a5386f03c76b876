//! The software versions of the upstreams of a pool: which may have begun a stream, and which an upstream surely has.

use super::list_doubt::ListDoubt;
use super::pool::{Pool, UpstreamKey};
use super::software_version::SoftwareVersion;
use super::upstream::{RESTART_TIME, Upstream, upstream_number};
use crate::time::{Span, Time};

/// Time between two refused connections of an upstream from which on the later one is recorded.
const MIN_NEWS: Span = Span::from_millis(500);

impl Pool {
    /// Returns the versions that may have begun streams that callers take up: those of listed upstreams, and
    /// those that were listed lately.
    pub fn recent_versions(&self, now: Time) -> Vec<SoftwareVersion> {
        let listed = self.upstreams.iter().map(|(_, u)| u.version);
        let mut versions: Vec<SoftwareVersion> =
            listed.chain(self.former_versions.recent(now)).collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether any upstream that surely is of this version takes requests, now or later.
    pub fn serves_version(&self, version: SoftwareVersion, now: Time) -> bool {
        let mut upstreams = self.upstreams.iter();
        upstreams.any(|(_, u)| self.is_surely(u, version, now) && !self.is_leaving(u))
    }

    /// Returns whether a run that was placed on the upstream `key`, named `id` and listed as of `version`, surely runs
    /// at that version. It does not if the upstream may have started again as another one before.
    pub fn runs_surely_at(
        &self,
        key: UpstreamKey,
        id: &str,
        version: SoftwareVersion,
        now: Time,
    ) -> bool {
        if let Some(upstream) = self.upstreams.get(key) {
            return self.is_surely(upstream, version, now);
        }
        let successor = self.by_id.get(id).and_then(|key| self.upstreams.get(*key));
        successor.is_none_or(|u| u.version == version)
    }

    /// Returns whether `number` is that of the upstream named `id` which started at `born`.
    pub fn is_number_of(number: u64, id: &str, born: u64) -> bool {
        number == upstream_number(id, born)
    }

    pub(super) fn is_surely(
        &self,
        upstream: &Upstream,
        version: SoftwareVersion,
        now: Time,
    ) -> bool {
        let broke_at = upstream.broke_at;
        let may_differ = broke_at.is_some_and(|at| self.list_doubt.may_have_restarted(at))
            || (upstream.was_down_lately(now) && self.may_have_restarted_as_another(now));
        upstream.version == version && !may_differ
    }

    /// Returns whether an upstream that was down may be back as another version: there are others.
    fn may_have_restarted_as_another(&self, now: Time) -> bool {
        self.recent_versions(now).len() > 1
    }

    /// Returns when a run at the upstream broke off, at any host, if that was so lately that the upstream may have started
    /// again without an entry that says so.
    pub fn broke_lately(&self, key: UpstreamKey, now: Time) -> Option<Time> {
        let broke_at = self.upstreams.get(key)?.broke_at?;
        (now.since(broke_at) < RESTART_TIME).then_some(broke_at)
    }

    /// Records that the upstream, asked at this time, reported the start that the list names.
    pub fn record_start_confirmed(&mut self, key: UpstreamKey, asked_at: Time) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.broke_at = upstream.broke_at.filter(|at| *at >= asked_at);
        }
    }

    /// Returns the numbers of upstreams that were down lately, and how long ago, for other hosts: these may have
    /// started since and may not have tried them.
    pub fn lately_down(&self, now: Time) -> Vec<(u64, Span)> {
        let down = self.upstreams.iter().filter_map(|(_, u)| u.down_for(now));
        let down: Vec<(u64, Span)> = down.collect();
        match down.is_empty() || self.may_have_restarted_as_another(now) {
            true => down,
            false => Vec::new(),
        }
    }

    /// Records that the upstream with this number refused a connection, of this host or of another one. Refusals that a
    /// host meets while it is cut off say nothing about the upstream.
    pub fn record_down(&mut self, number: u64, at: Time) {
        let key = self.by_number.get(&number);
        if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) {
            // What hosts report to each other gets later each time by the time that it is under way.
            let is_newer = |known: Time| at >= known + MIN_NEWS;
            if upstream.down_at.is_none_or(is_newer) {
                upstream.down_at = Some(at);
            }
        }
    }

    /// Sets whether the list of upstreams may be old.
    pub fn set_list_doubt(&mut self, list_doubt: ListDoubt) {
        self.list_doubt = list_doubt;
    }

    /// Records that a run at the upstream with this number broke off, at any host.
    pub fn record_break(&mut self, number: u64, now: Time) {
        let key = self.by_number.get(&number);
        if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) {
            upstream.broke_at = Some(now);
        }
    }
}
