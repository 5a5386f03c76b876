//! Which parts of prompts explain the crashes of upstreams.
//!
//! A crash ends all runs of an upstream, so that most parts that come with it are innocent. A part that is to
//! blame was there at all of its crashes, and no request with it ever ran to its end. The smallest set of parts
//! that explains the crashes is looked for: the part with the most crashes one after the other first, then
//! the next one among the crashes that it leaves unexplained. Parts that were there at just the same crashes
//! can't be told apart, and only bar a request together.

use indexmap::IndexSet;

use super::crash::Cause;
use crate::time::{Span, Time};

/// Crashes one after the other that blame a part. The operators allow five, and few requests after.
pub const BLAMED_CRASHES: usize = 4;

/// Difference between two hosts' views of the time of a crash: reports take a while and name ages in
/// milliseconds.
const VIEW_DIFFERENCE: Span = Span::from_millis(5);

/// A crash of an upstream while it ran a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    /// Number of the upstream, another one after each start.
    pub upstream: u64,
    /// Time at which the request was sent.
    pub began_at: Time,
    /// Time of the crash.
    pub ended_at: Time,
}

/// Crashes under each part.
pub type PartCrashes = Vec<(Cause, Vec<PartCrash>)>;

/// Parts of prompts that explain crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Parts that are to blame; those of a group together.
    groups: Vec<Vec<Cause>>,
    /// Upstreams that crashed under them.
    upstreams: IndexSet<u64>,
}

impl Explanation {
    /// Finds the parts that explain these crashes.
    pub fn of(mut crashes: PartCrashes) -> Explanation {
        let mut explanation = Explanation::default();
        loop {
            let counted = crashes.iter().map(|(_, c)| (count_in_a_row(c), c.len()));
            let Some((index, (count, _))) = counted.enumerate().max_by_key(|(_, c)| *c) else {
                return explanation;
            };
            if count < BLAMED_CRASHES {
                return explanation;
            }
            let ended = upstreams(&crashes[index].1);
            let group = crashes.iter().filter(|(_, c)| upstreams(c) == ended);
            explanation
                .groups
                .push(group.map(|(cause, _)| *cause).collect());
            for (_, left) in &mut crashes {
                left.retain(|c| !ended.contains(&c.upstream));
            }
            explanation.upstreams.extend(ended);
        }
    }

    /// Returns the group of parts for which a request with these causes must not be sent; none if it may be.
    pub fn barring(&self, causes: &[Cause]) -> &[Cause] {
        let is_held = |group: &&Vec<Cause>| group.iter().all(|cause| causes.contains(cause));
        self.groups.iter().find(is_held).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a part is to blame, alone or together with others.
    pub fn holds(&self, cause: Cause) -> bool {
        self.groups.iter().any(|group| group.contains(&cause))
    }

    /// Returns whether a part explains the crash of an upstream.
    pub fn explains(&self, upstream: u64) -> bool {
        self.upstreams.contains(&upstream)
    }

    /// Returns the number of groups of parts that are to blame.
    pub fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns whether no part is to blame.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }
}

/// Returns the largest number of crashes of which each ended a run that was sent after the one before. Many
/// upstreams that are lost at the same moment count as one: they say nothing about what they ran.
fn count_in_a_row(crashes: &[PartCrash]) -> usize {
    let mut in_order: Vec<&PartCrash> = crashes.iter().collect();
    in_order.sort_unstable_by_key(|c| c.ended_at);
    let mut last = Time::default();
    let in_a_row = in_order.into_iter().filter(|c| {
        let follows = c.began_at + VIEW_DIFFERENCE >= last;
        if follows {
            last = c.ended_at;
        }
        follows
    });
    in_a_row.count()
}

fn upstreams(crashes: &[PartCrash]) -> IndexSet<u64> {
    crashes.iter().map(|c| c.upstream).collect()
}
