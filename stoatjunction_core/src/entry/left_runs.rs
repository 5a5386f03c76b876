//! Runs that nobody waits for any more: their callers left, or another attempt began. Upstreams may go on with them until
//! their time is up, and end under them. The upstream is looked at until then, so that such an end is not missed.

use indexmap::IndexMap;

use crate::time::{Span, Time};

/// Interval between two looks at an upstream. One that has ended is away for longer.
pub const LOOK_INTERVAL: Span = Span::from_millis(1_500);
/// Age of the last byte from an upstream up to which it surely goes on: the next look comes before it could be back.
const FRESH: Span = Span::from_millis(500);
/// Runs that are watched at once; the first ones give way.
const MAX_RUNS: usize = 512;

/// A run that nobody waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeftRun<R> {
    /// The run.
    pub run: R,
    /// Time of the last byte from the upstream when the run was left.
    pub last_byte_at: Time,
    /// Time at which that silence becomes suspicious.
    pub suspicious_at: Time,
    /// Time from which on the upstream no longer works on it.
    pub until: Time,
}

/// What follows from a look at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// It went on for as long as any run could last.
    Done,
    /// It goes on, as far as is known.
    Later,
    /// It may have ended: whether it takes connections has to be found out.
    Ask,
}

/// The runs that nobody waits for, by the number of their upstream.
#[derive(Clone, Debug)]
pub struct LeftRuns<R> {
    upstreams: IndexMap<u64, Vec<Watched<R>>>,
}

#[derive(Clone, Copy, Debug)]
struct Watched<R> {
    left: LeftRun<R>,
    /// True once there was a look after the silence had become suspicious.
    is_looked_at: bool,
}

impl<R> Default for LeftRuns<R> {
    fn default() -> LeftRuns<R> {
        LeftRuns {
            upstreams: IndexMap::new(),
        }
    }
}

impl<R> LeftRuns<R> {
    /// Adds a run on an upstream. Returns the run that is no longer watched for it, if there are too many.
    pub fn add(&mut self, upstream: u64, run: LeftRun<R>) -> Option<LeftRun<R>> {
        let dropped = (self.len() >= MAX_RUNS)
            .then(|| self.drop_first())
            .flatten();
        let watched = Watched {
            left: run,
            is_looked_at: false,
        };
        self.upstreams.entry(upstream).or_default().push(watched);
        dropped
    }

    /// Returns the number of runs.
    pub fn len(&self) -> usize {
        self.upstreams.values().map(Vec::len).sum()
    }

    /// Returns whether there is no run.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns whether any run on the upstream is watched.
    pub fn has(&self, upstream: u64) -> bool {
        self.upstreams.contains_key(&upstream)
    }

    /// Returns the time of the next look at an upstream, `now` being that of the latest one.
    pub fn next_look(&self, upstream: u64, now: Time) -> Time {
        let runs = self.upstreams.get(&upstream).into_iter().flatten();
        let first_looks = runs.filter(|r| !r.is_looked_at);
        let first_looks = first_looks.map(|r| r.left.suspicious_at.max(now));
        first_looks.fold(now + LOOK_INTERVAL, Time::min)
    }

    /// Looks at an upstream that has sent its last byte at `last_byte_at`.
    pub fn look(&mut self, upstream: u64, last_byte_at: Time, now: Time) -> Look {
        self.confirm(upstream, last_byte_at);
        let Some(runs) = self.upstreams.get_mut(&upstream) else {
            return Look::Done;
        };
        let is_fresh = now.since(last_byte_at) < FRESH;
        let mut must_ask = false;
        for watched in runs {
            let left = &watched.left;
            let is_suspicious = now >= left.suspicious_at;
            let is_silent = is_suspicious && last_byte_at <= left.last_byte_at;
            let is_stale = watched.is_looked_at && !is_fresh;
            must_ask |= is_silent || is_stale || now >= left.until;
            watched.is_looked_at |= is_suspicious;
        }
        match must_ask {
            true => Look::Ask,
            false => Look::Later,
        }
    }

    /// Records that an upstream went on at a time, since its start under the same number.
    pub fn confirm(&mut self, upstream: u64, at: Time) {
        let Some(runs) = self.upstreams.get_mut(&upstream) else {
            return;
        };
        runs.retain(|r| r.left.until > at);
        if runs.is_empty() {
            self.upstreams.swap_remove(&upstream);
        }
    }

    /// Removes the runs on an upstream: it has ended, or stops as planned.
    pub fn take(&mut self, upstream: u64) -> Vec<LeftRun<R>> {
        let runs = self.upstreams.swap_remove(&upstream);
        let runs = runs.unwrap_or_default().into_iter();
        runs.map(|r| r.left).collect()
    }

    fn drop_first(&mut self) -> Option<LeftRun<R>> {
        let (upstream, runs) = self.upstreams.first_mut()?;
        let (upstream, first) = (*upstream, runs.remove(0));
        if runs.is_empty() {
            self.upstreams.shift_remove(&upstream);
        }
        Some(first.left)
    }
}
