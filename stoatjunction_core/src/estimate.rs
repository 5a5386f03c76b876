//! Moving averages, and estimates of answer lengths by kind and organisation.

use indexmap::IndexMap;

/// Smoothing factor: weight of a new observation in a moving average.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Maximum number of (kind, organisation) pairs remembered by one shard.
const MAX_PAIRS: usize = 8_192;
/// Number of observations from which an organisation's own average is used instead of that of the
/// kind.
const MIN_PAIR_SAMPLES: u32 = 5;

/// An exponential moving average that starts from a hint.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: f64,
    count: u32,
}

impl MovingAverage {
    /// Creates an average with the value `hint` until the first observation.
    pub fn new(hint: f64) -> MovingAverage {
        MovingAverage {
            value: hint,
            count: 0,
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, sample: f64) {
        self.value += (sample - self.value) * SMOOTHING_FACTOR;
        self.count = self.count.saturating_add(1);
    }

    /// Returns the current value.
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Returns the number of observations.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Standard deviation of the logarithm of answer lengths assumed before any are observed.
const INITIAL_DEVIATION: f64 = 0.7;
/// Distance of the conservative estimate from the mean, in standard deviations (95 in 100 answers
/// are shorter).
const CONSERVATIVE_DEVIATIONS: f64 = 1.0;

/// Mean and variance of the logarithm of answer lengths.
#[derive(Clone, Copy, Debug)]
struct LogLength {
    mean: MovingAverage,
    variance: MovingAverage,
}

impl LogLength {
    fn new(log: f64) -> LogLength {
        let variance = MovingAverage::new(INITIAL_DEVIATION * INITIAL_DEVIATION);
        LogLength {
            mean: MovingAverage::new(log),
            variance,
        }
    }

    fn observe(&mut self, log: f64) {
        let deviation = log - self.mean.get();
        self.variance.observe(deviation * deviation);
        self.mean.observe(log);
    }
}

/// An estimated answer length in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// Length of a typical answer.
    pub typical: f64,
    /// Length that 95 answers in 100 stay below.
    pub conservative: f64,
}

/// Estimator of answer lengths in tokens. It averages logarithms, since lengths vary by a factor
/// of a hundred.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    by_kind: IndexMap<String, LogLength>,
    by_pair: IndexMap<(String, String), LogLength>,
}

impl LengthEstimator {
    /// Records an answer of `tokens` tokens.
    pub fn observe(&mut self, kind: &str, organisation: &str, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        let kind_length = self
            .by_kind
            .entry(kind.to_owned())
            .or_insert(LogLength::new(log));
        kind_length.observe(log);
        let pair = (kind.to_owned(), organisation.to_owned());
        if self.by_pair.len() >= MAX_PAIRS && !self.by_pair.contains_key(&pair) {
            self.by_pair.swap_remove_index(0);
        }
        self.by_pair
            .entry(pair)
            .or_insert(LogLength::new(log))
            .observe(log);
    }

    /// Estimates the length of an answer, from `hint` when none was observed.
    pub fn expect(&self, kind: &str, organisation: &str, hint: u32) -> LengthEstimate {
        let pair = self
            .by_pair
            .get(&(kind.to_owned(), organisation.to_owned()));
        let known = pair
            .filter(|l| l.mean.count() >= MIN_PAIR_SAMPLES)
            .or_else(|| self.by_kind.get(kind));
        let length = known
            .copied()
            .unwrap_or(LogLength::new(f64::from(hint.max(1)).ln()));
        let (mean, deviation) = (length.mean.get(), length.variance.get().sqrt());
        LengthEstimate {
            typical: mean.exp(),
            conservative: (mean + CONSERVATIVE_DEVIATIONS * deviation).exp(),
        }
    }
}
