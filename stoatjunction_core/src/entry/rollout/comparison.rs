//! Comparison of the target version with the others, which may be evaluated after each response.
//!
//! Each function returns the logarithm of an e-value: a likelihood ratio, averaged over how much worse the target may
//! be, against the hypothesis that it is not worse than the upper end of what the others show. If the target is not worse, the
//! ratio ever exceeds `x` with a probability of at most `1 / x`, however often it is evaluated.

use indexmap::IndexMap;

use super::evidence::{RouteCounts, RouteEvidence};

/// Parts of the way from the others' rate to 1 at which the target's rate is assumed to be.
const EXCESSES: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 0.95];
/// Lowest bits of a row's key, which hold the period of the order.
const PERIOD_BITS: u32 = 0xf;
/// Number of periods.
pub(super) const PERIODS: u32 = 10;
/// First period of the ramp, and the number of its periods: one for each share of the target, as a burst would otherwise
/// weigh more at the side whose share is higher by then.
pub(super) const RAMP_PERIOD: u32 = 6;
pub(super) const RAMP_PERIODS: u32 = 2;
/// Period in which the target gets all requests.
pub(super) const FULL_PERIOD: u32 = 8;
/// Period in which the target gets a part of the requests again, since something looked wrong in the full phase.
pub(super) const RECHECK_PERIOD: u32 = 9;
/// Multiple of the others' rate in earlier periods that the target may have in the full phase, when there are no others
/// at the same time.
const FULL_FACTOR: f64 = 1.5;
/// Rate beyond that.
const FULL_ALLOWANCE: f64 = 0.03;
/// Standard errors that are added to the others' rate.
const BASELINE_ERRORS: f64 = 1.0;
/// Others' rate from which on nothing can be told.
const MAX_BASELINE: f64 = 0.95;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Measure {
    Failures,
    SlowResponses,
}

impl Measure {
    fn of(self, counts: &RouteCounts) -> f64 {
        match self {
            Measure::Failures => f64::from(counts.failures),
            Measure::SlowResponses => f64::from(counts.slow),
        }
    }

    /// Returns the multiple of the others' rate that is no fault yet, and what is added to it. Forecasts of upstreams
    /// that are hardly known are bad, so more of their responses seem slow.
    const fn tolerance(self) -> (f64, f64) {
        match self {
            Measure::Failures => (1.0, 0.004),
            Measure::SlowResponses => (2.0, 0.15),
        }
    }
}

/// Returns the key of a route's counts in a period.
pub(super) fn row_key(route: u32, period: u32) -> u32 {
    (route & !PERIOD_BITS) | period
}

/// Returns whether a key is of the full phase.
pub(super) fn is_of_full_period(key: u32) -> bool {
    key & PERIOD_BITS == FULL_PERIOD
}

/// Returns whether a key is of a time in which the target gets all requests, or did before a comparison.
pub(super) fn is_of_late_period(key: u32) -> bool {
    key & PERIOD_BITS >= FULL_PERIOD
}

/// Returns whether a key is of the times in which the versions are compared again.
pub(super) fn is_of_recheck_period(key: u32) -> bool {
    key & PERIOD_BITS == RECHECK_PERIOD
}

/// Trials and events of the target, and of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cell {
    pub(super) target: (f64, f64),
    pub(super) others: (f64, f64),
}

/// Logarithms of the likelihood ratios for each of the assumed excesses.
type Ratios = [f64; EXCESSES.len()];

impl Cell {
    fn add(&mut self, row: &RouteEvidence, measure: Measure) {
        self.target.0 += f64::from(row.target.responses);
        self.target.1 += measure.of(&row.target);
        self.others.0 += f64::from(row.other.responses);
        self.others.1 += measure.of(&row.other);
    }

    /// Returns the ratios against the hypothesis that the target's rate is at most `factor` times that of the others,
    /// plus `allowance`.
    fn ratios(&self, factor: f64, allowance: f64) -> Ratios {
        let (trials, events) = self.target;
        let (other_trials, other_events) = self.others;
        let rate = (other_events + 0.5) / (other_trials + 1.0);
        let error = (rate * (1.0 - rate) / (other_trials + 1.0)).sqrt();
        let base = factor * (rate + BASELINE_ERRORS * error) + allowance;
        if trials == 0.0 || base >= MAX_BASELINE {
            return Ratios::default();
        }
        let for_others = EXCESSES.map(|excess| (trials - events) * (1.0 - excess).ln());
        if events == 0.0 {
            return for_others;
        }
        std::array::from_fn(|n| {
            let assumed = base + (1.0 - base) * EXCESSES[n];
            events * (assumed / base).ln() + for_others[n]
        })
    }
}

/// Returns the logarithm of the e-value of a single cell.
pub(super) fn cell_evidence(cell: &Cell, factor: f64, allowance: f64) -> f64 {
    log_mean(&cell.ratios(factor, allowance))
}

/// Returns the logarithm of the e-value that the target is worse by `measure`: on one route or on all, from the start or
/// from the beginning of any period on. Periods are compared each for itself, as bursts change the rates of both sides.
pub(super) fn evidence<'a, I>(rows: I, measure: Measure) -> f64
where
    I: Iterator<Item = &'a RouteEvidence>,
{
    let mut cells: IndexMap<u32, [Cell; PERIODS as usize]> = IndexMap::new();
    for row in rows {
        let period = (row.route & PERIOD_BITS).min(PERIODS - 1) as usize;
        let periods = cells.entry(row.route & !PERIOD_BITS).or_default();
        periods[period].add(row, measure);
    }
    let routes: Vec<[Cell; PERIODS as usize]> = cells.into_values().collect();
    let by_route: Vec<PeriodRatios> = routes.iter().map(|r| ratios_of(r, None, measure)).collect();
    let pooled: [Cell; PERIODS as usize] =
        std::array::from_fn(|n| Cell::pooled(routes.iter().map(|r| r[n])));
    let early = Cell::pooled(routes.iter().map(early_sum));
    let pooled = ratios_of(&pooled, Some(early), measure);
    let from_start: Vec<Ratios> = by_route.iter().map(|r| r.from_start).collect();
    let from_start = on_any_or_all(&from_start, &pooled.from_start);
    let since = |period: usize| {
        let routes: Vec<Ratios> = by_route.iter().map(|r| r.since[period]).collect();
        on_any_or_all(&routes, &pooled.since[period])
    };
    let since: Vec<f64> = (0..PERIODS as usize).map(since).collect();
    log_mean(&[from_start, log_mean(&since)])
}

/// Ratios over the periods of one route, or of all routes together.
struct PeriodRatios {
    /// From the start, where the canary phase counts as one period.
    from_start: Ratios,
    /// From the beginning of each period on.
    since: [Ratios; PERIODS as usize],
}

/// Returns the sum of the periods before the ramp.
fn early_sum(periods: &[Cell; PERIODS as usize]) -> Cell {
    let early = periods[..RAMP_PERIOD as usize].iter();
    early.fold(Cell::default(), |sum, cell| sum.plus(cell))
}

/// Returns the ratios over the periods. `early` replaces the sum of those before the ramp.
fn ratios_of(
    periods: &[Cell; PERIODS as usize],
    early: Option<Cell>,
    measure: Measure,
) -> PeriodRatios {
    let (factor, allowance) = measure.tolerance();
    let ramp = &periods[RAMP_PERIOD as usize..FULL_PERIOD as usize];
    let later = ramp.iter().chain([&periods[RECHECK_PERIOD as usize]]);
    let later = later.map(|cell| cell.ratios(factor, allowance));
    let early = early.unwrap_or_else(|| early_sum(periods));
    let from_start = later.fold(early.ratios(factor, allowance), |a, b| plus(&a, &b));
    let mut since = [Ratios::default(); PERIODS as usize];
    let mut sum = Ratios::default();
    for period in (0..PERIODS as usize).rev() {
        if period as u32 != FULL_PERIOD {
            sum = plus(&sum, &periods[period].ratios(factor, allowance));
        }
        since[period] = sum;
    }
    PeriodRatios { from_start, since }
}

/// Returns the logarithm of the e-value that the target is worse in the full phase than the others were before.
/// `seen` holds what has been checked already. A burst of failures of both versions looks the same, so that this is only
/// a reason to compare the versions again.
pub(super) fn full_evidence<'a, I>(rows: I, seen: &IndexMap<u32, RouteCounts>) -> f64
where
    I: Iterator<Item = &'a RouteEvidence>,
{
    let measures = [Measure::Failures, Measure::SlowResponses];
    let mut cells: IndexMap<u32, [Cell; 2]> = IndexMap::new();
    for row in rows {
        let cells = cells.entry(row.route & !PERIOD_BITS).or_default();
        for (cell, measure) in cells.iter_mut().zip(measures) {
            let mut added = Cell::default();
            added.add(row, measure);
            match is_of_full_period(row.route) {
                true => {
                    let seen = seen.get(&row.route).copied().unwrap_or_default();
                    cell.target.0 += added.target.0 - f64::from(seen.responses);
                    cell.target.1 += added.target.1 - measure.of(&seen);
                }
                false => cell.others = Cell::plus(cell, &added).others,
            }
        }
    }
    let of_measure = |(n, measure): (usize, Measure)| {
        let (factor, allowance) = measure.tolerance();
        let (factor, allowance) = (factor * FULL_FACTOR, allowance + FULL_ALLOWANCE);
        let routes = cells.values();
        let routes: Vec<Ratios> = routes.map(|c| c[n].ratios(factor, allowance)).collect();
        let pooled = Cell::pooled(cells.values().map(|c| c[n]));
        on_any_or_all(&routes, &pooled.ratios(factor, allowance))
    };
    let all = measures.into_iter().enumerate().map(of_measure);
    all.fold(f64::NEG_INFINITY, f64::max)
}

impl Cell {
    /// Returns the counts of all routes together. The others' rate is that which they would have with the target's
    /// requests by route, and their trials are as many as have the same variance, as the routes fail at different rates.
    fn pooled(routes: impl Iterator<Item = Cell> + Clone) -> Cell {
        let sum = routes
            .clone()
            .fold(Cell::default(), |sum, cell| sum.plus(&cell));
        if sum.target.0 == 0.0 || sum.others.0 == 0.0 {
            return sum;
        }
        let usual = sum.others.1 / sum.others.0;
        let (mut rate, mut variance) = (0.0, 0.0);
        for cell in routes {
            let weight = cell.target.0 / sum.target.0;
            let (trials, events) = cell.others;
            rate += weight * if trials > 0.0 { events / trials } else { usual };
            variance += weight * weight / trials.max(1.0);
        }
        let trials = 1.0 / variance;
        Cell {
            target: sum.target,
            others: (trials, trials * rate),
        }
    }

    fn plus(&self, other: &Cell) -> Cell {
        Cell {
            target: (
                self.target.0 + other.target.0,
                self.target.1 + other.target.1,
            ),
            others: (
                self.others.0 + other.others.0,
                self.others.1 + other.others.1,
            ),
        }
    }
}

/// Returns the logarithm of the e-value that the target is worse on one of the routes, equally on all of them, or on
/// all of them taken together, where each has too few responses of the others to tell their rate.
fn on_any_or_all(routes: &[Ratios], pooled: &Ratios) -> f64 {
    let all = routes
        .iter()
        .fold(Ratios::default(), |sum, r| plus(&sum, r));
    let each: Vec<f64> = routes.iter().map(|r| log_mean(r)).collect();
    log_mean(&[log_mean(&all), log_mean(&each), log_mean(pooled)])
}

fn plus(a: &Ratios, b: &Ratios) -> Ratios {
    std::array::from_fn(|n| a[n] + b[n])
}

/// Returns the logarithm of the mean of numbers that are given by their logarithms; 0 for none.
fn log_mean(logs: &[f64]) -> f64 {
    if logs.is_empty() {
        return 0.0;
    }
    let highest = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let sum: f64 = logs.iter().map(|log| (log - highest).exp()).sum();
    highest + (sum / logs.len() as f64).ln()
}
