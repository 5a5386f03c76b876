//! Learned capacity of one upstream: how many concurrent runs it handles well, from the times of the runs that
//! completed there.
//!
//! The learned number is raised by one run at a time and lowered when runs take too long. Additive increase with a
//! multiplicative decrease is that of congestion control in TCP (Chiu and Jain, 1989); comparing the time of a run with
//! the time at low concurrency follows TCP Vegas (Brakmo and Peterson, 1995) and the adaptive concurrency limits of
//! Netflix (2018). Unlike these, a limit is set by what callers accept, not by the first sign of queueing.

use super::pace::StatedPace;
use crate::time::{Span, Time};

/// Multiple of the time at low concurrency that is always accepted.
const ACCEPTED_FACTOR: f64 = 2.0;
/// Part of the accepted time within which a run has to be for its concurrency to be exceeded. The margin keeps a
/// number that is just bearable from being raised and lowered in turn.
const GOOD_PART: f64 = 0.8;
/// Multiple of the accepted time from which on a single run lowers the number all the way to what it shows to be
/// bearable; a run that took only a little too long may have been an outlier.
const SEVERE_FACTOR: f64 = 1.5;
/// Part of the way to the bearable number by which any other run that took too long lowers the learned number.
const MILD_STEP: f64 = 0.25;
/// Least time between two increases. Recovery from 1 to 8 runs takes [`RETRY_TIME`] and seven of these intervals.
const RAISE_INTERVAL: Span = Span::from_millis(150);
/// Time within which the number is at most halved, so that one stall of the machine, which delays all runs at once,
/// does not reduce it to one run.
const DECREASE_INTERVAL: Span = Span::from_millis(200);
/// Time after which a concurrency at which runs took too long is tried again.
const RETRY_TIME: Span = Span::from_millis(600);
/// Part of the listed slots up to which concurrency counts as low.
const LOW_CONCURRENCY_PART: f64 = 0.25;
/// Weight of one run in the time at low concurrency.
const LOW_SAMPLE_WEIGHT: f64 = 0.2;
/// Part of the time at low concurrency below which also runs at high concurrency lower that time.
const LOWER_RATIO: f64 = 0.67;
/// Least interval between two log lines on an upstream.
const LOG_INTERVAL: Span = Span::from_millis(1_000);

/// What an upstream states of its load in a response. Values that are missing or cannot be numbers are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadStatement {
    /// Running requests.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: Option<u32>,
    /// How long work takes at this moment; 100 is the usual value.
    pub pace: Option<u32>,
}

/// A run whose time shows how well its upstream handled it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ObservedRun {
    /// Runs in progress at its start, itself included.
    pub(super) concurrency: u32,
    /// Runs in progress at its end, itself included, as far as the hosts have reported them by then. Some of them may
    /// have begun before it, unknown to this host.
    pub(super) end_concurrency: u32,
    /// Milliseconds that it took.
    pub(super) ms: f64,
    /// Milliseconds that the pool's forecast gives an average upstream for it.
    pub(super) predicted_ms: f64,
    /// Logarithm of the stated pace at its start, relative to the usual one.
    pub(super) log_pace: f64,
    /// False if it was given up after `ms` without a response.
    pub(super) is_complete: bool,
}

/// Learned number of an upstream, as reported to other hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedNumber {
    /// Concurrent runs, from 1 to the listed slots.
    pub runs: f64,
    /// Time since the run from which it was learned.
    pub age: Span,
    /// Trust in the stated pace, from 0 to 1, if enough runs were compared with it.
    pub trust: Option<f64>,
}

/// Capacity of one upstream. Before the upstream has stated a pace, to any host, nothing is learned and the listed slots
/// apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamCapacity {
    /// True once the upstream has stated a pace.
    is_stated: bool,
    /// Concurrent runs that it handles well; `None` before anything is learned.
    learned: Option<f64>,
    /// Time of the run from which `learned` is, at any host.
    learned_at: Time,
    /// The number at the start of the current [`DECREASE_INTERVAL`].
    decrease: Option<(f64, Time)>,
    /// Lowest concurrency at which a run took too long, and when.
    too_slow: Option<(u32, Time)>,
    /// Highest concurrency at which a run completed well.
    proven: u32,
    /// Time of runs at low concurrency relative to the forecast of the pool.
    low_ratio: Option<f64>,
    /// Slots that the upstream stated last.
    stated_slots: Option<u32>,
    pub(super) pace: StatedPace,
    logged: Option<(u32, Time)>,
}

impl UpstreamCapacity {
    /// Returns whether the upstream takes part in the learning.
    pub fn is_stated(&self) -> bool {
        self.is_stated
    }

    /// Returns the concurrent runs that an upstream with this many listed slots should get.
    pub fn number(&self, listed: u32) -> u32 {
        if !self.is_stated || listed == 0 {
            return listed;
        }
        let learned = self.learned.map_or(listed, |n| n.floor() as u32);
        let stated = self.stated_slots.unwrap_or(listed).max(self.proven);
        listed.min(learned).min(stated).max(1)
    }

    /// Returns the factor of the stated pace on the time of a run that starts now.
    pub fn pace_factor(&self, now: Time) -> f64 {
        self.pace.factor(now)
    }

    /// Returns the pace that applies now, and the usual one if none is known.
    pub fn current_pace(&self, now: Time) -> f64 {
        f64::from(super::pace::USUAL_PACE) * self.pace.factor(now)
    }

    /// Records the slots and the pace that the upstream stated.
    pub(super) fn state(&mut self, statement: &LoadStatement, now: Time) {
        if let Some(pace) = statement.pace.and_then(super::pace::plausible_pace) {
            self.is_stated = true;
            self.pace.state(pace, now);
        }
        if let Some(slots) = statement.slots.filter(|s| *s > 0) {
            self.stated_slots = Some(slots);
        }
    }

    /// Records a pace that the upstream stated to another host at `at`.
    pub(super) fn record_peer_pace(&mut self, pace: u32, at: Time) {
        self.is_stated |= super::pace::plausible_pace(pace).is_some();
        self.pace.state(pace, at);
    }

    /// Records how long a run took. `target_ms` is what callers accept at most, if known.
    pub(super) fn observe(
        &mut self,
        run: ObservedRun,
        listed: u32,
        target_ms: Option<f64>,
        now: Time,
    ) {
        if !self.is_stated || listed == 0 || run.concurrency == 0 {
            return;
        }
        let predicted_ms = run.predicted_ms.max(f64::MIN_POSITIVE);
        let ratio = run.ms / predicted_ms;
        let (mean_pace, highest_pace) = self.pace.run_factors(run.log_pace, now);
        let low_ms = predicted_ms * self.low_ratio.unwrap_or(1.0) * highest_pace;
        let accepted_ms = target_ms.unwrap_or(0.0).max(ACCEPTED_FACTOR * low_ms);
        if run.is_complete {
            self.pace.observe(ratio, run.log_pace, now);
            self.observe_low(ratio / mean_pace, run.concurrency, listed);
        }
        if run.ms > accepted_ms {
            let concurrency = run.concurrency.max(run.end_concurrency);
            // A run that waited for a slot there says nothing about concurrency.
            if concurrency <= listed {
                self.lower(concurrency, run.ms / accepted_ms, listed, now);
            }
        } else if run.is_complete && run.ms <= GOOD_PART * accepted_ms {
            self.proven = self.proven.max(run.concurrency.min(listed));
            self.raise(run.concurrency, listed, now);
        }
    }

    /// Records that the upstream refused a run as one too many.
    pub(super) fn record_shed(&mut self, concurrency: u32) {
        self.proven = self.proven.min(concurrency.saturating_sub(1));
    }

    fn observe_low(&mut self, ratio: f64, concurrency: u32, listed: u32) {
        let low_concurrency = (f64::from(listed) * LOW_CONCURRENCY_PART).max(1.0) as u32;
        let is_low = concurrency <= low_concurrency;
        match &mut self.low_ratio {
            None if is_low => self.low_ratio = Some(ratio),
            Some(low) if is_low || ratio < *low * LOWER_RATIO => {
                let log = low.ln() + (ratio.ln() - low.ln()) * LOW_SAMPLE_WEIGHT;
                *low = log.exp();
            }
            _ => {}
        }
    }

    /// Lowers the number below the concurrency of a run that took `excess` times what is accepted. The time of runs is
    /// assumed to grow in proportion to the concurrency, as when they share a processor.
    fn lower(&mut self, concurrency: u32, excess: f64, listed: u32, now: Time) {
        // A run that was alone says nothing about concurrency.
        if concurrency < 2 {
            return;
        }
        let bearable = (f64::from(concurrency) / excess) as u32;
        let bearable = bearable.clamp(1, concurrency - 1);
        self.proven = self.proven.min(bearable);
        let level = match self.too_slow {
            Some((level, at)) if now.since(at) < RETRY_TIME => level.min(concurrency),
            _ => concurrency,
        };
        self.too_slow = Some((level, now));
        let current = self.learned.unwrap_or(f64::from(listed));
        let target = f64::from(bearable);
        if target >= current {
            return;
        }
        let before = match self.decrease {
            Some((before, at)) if now.since(at) < DECREASE_INTERVAL => before,
            _ => current,
        };
        if before == current {
            self.decrease = Some((current, now));
        }
        let step = if excess >= SEVERE_FACTOR {
            1.0
        } else {
            MILD_STEP
        };
        let lowered = current + (target - current) * step;
        self.learned = Some(lowered.max(before / 2.0).max(1.0));
        self.learned_at = now;
    }

    /// Raises the number by one if a run at it completed well.
    fn raise(&mut self, concurrency: u32, listed: u32, now: Time) {
        let Some(learned) = self.learned else {
            return;
        };
        let current = learned.floor() as u32;
        if concurrency < current || current >= listed {
            return;
        }
        let was_too_slow = self
            .too_slow
            .is_some_and(|(level, at)| current + 1 >= level && now.since(at) < RETRY_TIME);
        if was_too_slow || now.since(self.learned_at) < RAISE_INTERVAL {
            return;
        }
        self.learned = Some(f64::from(current + 1));
        self.learned_at = now;
    }

    /// Returns what other hosts are told of the learned number; `None` before anything is learned.
    pub(super) fn report(&self, now: Time) -> Option<LearnedNumber> {
        let runs = self.learned.filter(|_| self.is_stated)?;
        Some(LearnedNumber {
            runs,
            age: now.since(self.learned_at),
            trust: self.pace.own_trust(),
        })
    }

    /// Applies what another host has learned, if it is from a later run.
    pub(super) fn record_peer(&mut self, report: &LearnedNumber, listed: u32, now: Time) {
        if let Some(trust) = report.trust {
            self.pace.set_peer_trust(trust);
        }
        self.is_stated = true;
        let at = now.saturating_sub(report.age);
        let is_later = self.learned.is_none() || at > self.learned_at;
        if !is_later || !report.runs.is_finite() {
            return;
        }
        let runs = report.runs.clamp(1.0, f64::from(listed.max(1)));
        let before = self.learned.unwrap_or(f64::from(listed));
        if runs < before {
            self.too_slow = Some((runs.floor() as u32 + 1, at));
        }
        self.learned = Some(runs);
        self.learned_at = at;
    }

    /// Returns the number if it has changed since it was last returned here, at most once per [`LOG_INTERVAL`], and the
    /// number before.
    pub(super) fn take_change(&mut self, listed: u32, now: Time) -> Option<(u32, u32)> {
        let number = self.number(listed);
        let (before, at) = self.logged.unwrap_or((listed, Time::default()));
        let is_due = self.logged.is_none() || now.since(at) >= LOG_INTERVAL;
        if number == before || !is_due {
            return None;
        }
        self.logged = Some((number, now));
        Some((before, number))
    }
}
