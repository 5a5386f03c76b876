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
const STEP_IN_DELAY: Span = Span::from_millis(300);
/// Further delay of each host after the one before it.
const STEP_IN_INTERVAL: Span = Span::from_millis(50);
/// Hosts that step in one by one. Behind them twice as many do in each further two intervals: when so
/// many have met no response, the last host must not come too late for the configuration.
const SINGLE_STEPS: u32 = 8;

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
    /// It follows the store for itself, like all hosts of a small fleet.
    Independent,
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
            Role::Independent => "independent",
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

/// Returns the time without enough followers after which the host this many places behind them steps in.
pub fn step_in_delay(place: u32) -> Span {
    let single = place.min(SINGLE_STEPS);
    let doublings = f64::from(place.max(SINGLE_STEPS)) / f64::from(SINGLE_STEPS);
    let intervals = f64::from(single) + 2.0 * doublings.log2();
    STEP_IN_DELAY + Span::from_secs_f64(STEP_IN_INTERVAL.as_secs_f64() * intervals)
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
        self.role_above(FEW_HOSTS, own, others, wanted, now)
    }

    /// Returns this host's role as [`FollowerElection::role`] does, but in a group of any size: only a host that
    /// hears no other is independent.
    pub fn role_of_few<I>(&mut self, own: u64, others: I, wanted: usize, now: Time) -> Role
    where
        I: Iterator<Item = Candidate>,
    {
        self.role_above(1, own, others, wanted, now)
    }

    /// Returns this host's role if there are more than `independent` hosts; up to so many, each is independent.
    fn role_above<I>(
        &mut self,
        independent: usize,
        own: u64,
        others: I,
        wanted: usize,
        now: Time,
    ) -> Role
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
        if hosts <= independent {
            *self = FollowerElection::default();
            return Role::Independent;
        }
        if before < wanted {
            *self = FollowerElection::default();
            return Role::Follower;
        }
        if following >= wanted {
            *self = FollowerElection::default();
            return Role::Reader;
        }
        let place = (before - wanted) as u32;
        let since = *self.lacking_since.get_or_insert(now);
        self.stands_in |= now.since(since) >= step_in_delay(place);
        match self.stands_in {
            true => Role::StandIn(place + 1),
            false => Role::Reader,
        }
    }
}
