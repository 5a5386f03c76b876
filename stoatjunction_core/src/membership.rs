//! Membership and liveness of dispatchers, and shard ownership by rendezvous hashing.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash::hash_parts;
use crate::id::ShardId;
use crate::time::{Span, Time};

/// One dispatcher process, as announced in its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Data centre of the host.
    pub dc: String,
    /// Address of the control listener, `ip:port`.
    pub addr: String,
    /// Random number generated when the process starts.
    pub incarnation: u64,
    /// True once the process shuts down and accepts no new work.
    pub stopping: bool,
}

/// A member and the time of its last heartbeat.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The member.
    pub member: Member,
    /// Time of the last heartbeat, received directly or reported by another member.
    pub last_seen: Time,
    /// Time of the last heartbeat received directly, if any.
    pub direct_at: Option<Time>,
}

/// Known members by host.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    known: IndexMap<String, MemberRecord>,
}

impl MemberTable {
    /// Records a heartbeat received directly from `member`.
    pub fn record_heartbeat(&mut self, member: Member, now: Time) {
        let record = MemberRecord {
            last_seen: now,
            direct_at: Some(now),
            member,
        };
        self.known.insert(record.member.host.clone(), record);
    }

    /// Records a report by another member of a heartbeat that `member` sent `age` ago. Older reports
    /// than the known heartbeat are ignored.
    pub fn record_indirect(&mut self, member: Member, age: Span, now: Time) {
        let last_seen = now.saturating_sub(age);
        match self.known.get_mut(&member.host) {
            None => {
                let host = member.host.clone();
                self.known.insert(
                    host,
                    MemberRecord {
                        member,
                        last_seen,
                        direct_at: None,
                    },
                );
            }
            Some(known) if last_seen > known.last_seen => {
                known.last_seen = last_seen;
                known.member = member;
            }
            Some(_) => {}
        }
    }

    /// Removes members whose last heartbeat is older than `timeout`.
    pub fn expire(&mut self, timeout: Span, now: Time) {
        self.known.retain(|_, r| now.since(r.last_seen) <= timeout);
    }

    /// Iterates over all known members.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.known.values()
    }

    /// Returns the member on `host`.
    pub fn get(&self, host: &str) -> Option<&MemberRecord> {
        self.known.get(host)
    }

    /// Returns the members of data centre `dc` that sent a heartbeat directly within `timeout` and are
    /// not shutting down.
    pub fn live_in_dc<'a>(
        &'a self,
        dc: &'a str,
        timeout: Span,
        now: Time,
    ) -> impl Iterator<Item = &'a Member> {
        self.known
            .values()
            .filter(move |r| r.member.dc == dc && !r.member.stopping)
            .filter(move |r| r.direct_at.is_some_and(|t| now.since(t) <= timeout))
            .map(|r| &r.member)
    }
}

/// Returns the rendezvous-hashing weight of `host` for `key` (Thaler and Ravishankar 1998). The
/// live host with the largest weight owns the key.
pub fn rendezvous_weight(host: &str, key: &str) -> u64 {
    hash_parts(&[host.as_bytes(), key.as_bytes()])
}

/// Returns the owner of `key` among `hosts`.
pub fn owner<'a, I>(hosts: I, key: &str) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    hosts
        .into_iter()
        .max_by_key(|host| (rendezvous_weight(host, key), *host))
}

/// Returns the owner of `shard` among `hosts`.
pub fn shard_owner<'a, I>(hosts: I, shard: &ShardId) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    owner(hosts, &shard.to_string())
}

/// Returns true when `host` has one of the `count` largest weights for `key` among `hosts`.
pub fn is_elected<'a, I>(hosts: I, host: &str, key: &str, count: usize) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    let own_weight = (rendezvous_weight(host, key), host);
    let larger = hosts
        .into_iter()
        .filter(|h| (rendezvous_weight(h, key), *h) > own_weight)
        .count();
    larger < count
}
