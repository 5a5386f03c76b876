//! MemberTable of the entry tier, their liveness, and which of them owns a shard.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::hash::hash_parts;
use crate::id::ShardId;
use crate::time::{Span, Time};

/// One dispatcher process, as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Data centre of the host.
    pub dc: String,
    /// Address of the control listener, `ip:port`.
    pub addr: String,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// True once the process takes no new work.
    pub stopping: bool,
}

/// A member with the time it was last heard of.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// The member.
    pub member: Member,
    /// When it was last heard, directly or through another member.
    pub last_seen: Time,
    /// Time at which it was last heard directly, if ever.
    pub direct_at: Option<Time>,
}

/// All known members.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    known: IndexMap<String, MemberRecord>,
}

impl MemberTable {
    /// Records a heartbeat straight from `member`.
    pub fn record_heartbeat(&mut self, member: Member, now: Time) {
        let heard = MemberRecord {
            last_seen: now,
            direct_at: Some(now),
            member,
        };
        self.known.insert(heard.member.host.clone(), heard);
    }

    /// Records that another member heard `member` `age` ago.
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

    /// Forgets members not heard of for `limit`.
    pub fn expire(&mut self, limit: Span, now: Time) {
        self.known.retain(|_, h| now.since(h.last_seen) <= limit);
    }

    /// All known members with the time since they were heard of.
    pub fn iter(&self) -> impl Iterator<Item = &MemberRecord> {
        self.known.values()
    }

    /// The member on `host`.
    pub fn get(&self, host: &str) -> Option<&MemberRecord> {
        self.known.get(host)
    }

    /// MemberTable of data centre `dc` that were heard directly within `limit` and are not stopping.
    pub fn live_in_dc<'a>(
        &'a self,
        dc: &'a str,
        limit: Span,
        now: Time,
    ) -> impl Iterator<Item = &'a Member> {
        self.known
            .values()
            .filter(move |h| h.member.dc == dc && !h.member.stopping)
            .filter(move |h| h.direct_at.is_some_and(|t| now.since(t) <= limit))
            .map(|h| &h.member)
    }
}

/// Weight of `host` for `subject`; the live host with the largest weight owns the subject.
/// (Rendezvous hashing, Thaler and Ravishankar 1998.)
pub fn rendezvous_weight(host: &str, subject: &str) -> u64 {
    hash_parts(&[host.as_bytes(), subject.as_bytes()])
}

/// The owner of `subject` among `hosts`.
pub fn owner<'a, I>(hosts: I, subject: &str) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    hosts
        .into_iter()
        .max_by_key(|host| (rendezvous_weight(host, subject), *host))
}

/// The owner of `shard` among `hosts`.
pub fn shard_owner<'a, I>(hosts: I, shard: &ShardId) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    owner(hosts, &shard.to_string())
}

/// True when `host` is among the first `count` owners of `subject`.
pub fn is_elected<'a, I>(hosts: I, host: &str, subject: &str, count: usize) -> bool
where
    I: IntoIterator<Item = &'a str>,
{
    let own = (rendezvous_weight(host, subject), host);
    let ahead = hosts
        .into_iter()
        .filter(|h| (rendezvous_weight(h, subject), *h) > own)
        .count();
    ahead < count
}
