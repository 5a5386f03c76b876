//! Which hosts follow the platform's store, for themselves and for the others.
//!
//! Calls to the store are billed and its rates are shared by all hosts, so few hosts follow it: those
//! with the lowest numbers of the reachable ones, which all hosts know without a vote. The others step
//! in one after the other while these get no response. Without that order a store that cuts its watches
//! makes a whole fleet list anew at once, which happened at 295 hosts: hundreds of calls in eight seconds
//! from 50 hosts of which two were to follow.

use crate::time::{Span, Time};

/// Hosts up to which each one follows the store: fewer would save little.
const FEW_HOSTS: usize = 10;
/// Followers that a fleet has at least, over all of its data centres.
const FLEET_FOLLOWERS: usize = 4;
/// Time without enough followers after which others step in, enough for one that lost its watch to list
/// anew and to say so.
const STEP_IN_DELAY: Span = Span::from_millis(400);
/// Further delay of each host after the one before it.
const STEP_IN_INTERVAL: Span = Span::from_millis(50);
/// Longest delay: the bounds of the configuration are a few seconds.
const MAX_STEP_IN_DELAY: Span = Span::from_millis(1_200);

/// Another host that may follow the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the host, the same on all hosts.
    pub number: u64,
    /// True while it follows the store and gets responses.
    pub follows: bool,
}

/// Whether this host follows the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It gets the state from other hosts.
    Reader,
    /// It is one of those that follow the store for the others.
    Follower,
    /// It follows the store because these get no response, this many places behind them.
    StandIn(u32),
}

impl Role {
    /// Returns whether the host follows the store.
    pub fn follows(self) -> bool {
        self != Role::Reader
    }

    /// Returns the name of the role in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Role::Reader => "reader",
            Role::Follower => "follower",
            Role::StandIn(_) => "stand_in",
        }
    }
}

/// Number of followers that each of `data_centres` has, or the whole fleet if it is one group.
pub fn wanted_followers(data_centres: usize) -> usize {
    FLEET_FOLLOWERS.div_ceil(data_centres.max(1))
}

/// This host's part in the election.
#[derive(Clone, Copy, Debug, Default)]
pub struct FollowerElection {
    /// Time since which too few hosts before this one have followed the store.
    lacking_since: Option<Time>,
    stands_in: bool,
}

impl FollowerElection {
    /// Returns this host's role among the reachable `others` of its group, of which `wanted` are to
    /// follow the store.
    pub fn role<I>(&mut self, own: u64, others: I, wanted: usize, now: Time) -> Role
    where
        I: Iterator<Item = Candidate>,
    {
        let (mut hosts, mut before, mut following) = (1, 0, 0);
        for other in others {
            hosts += 1;
            if other.number < own {
                before += 1;
                following += usize::from(other.follows);
            }
        }
        if hosts <= FEW_HOSTS || before < wanted {
            *self = FollowerElection::default();
            return Role::Follower;
        }
        if following >= wanted {
            *self = FollowerElection::default();
            return Role::Reader;
        }
        let place = (before - wanted) as u32;
        let since = *self.lacking_since.get_or_insert(now);
        let delay = STEP_IN_DELAY + Span(STEP_IN_INTERVAL.0 * u64::from(place));
        self.stands_in |= now.since(since) >= delay.min(MAX_STEP_IN_DELAY);
        match self.stands_in {
            true => Role::StandIn(place + 1),
            false => Role::Reader,
        }
    }
}
