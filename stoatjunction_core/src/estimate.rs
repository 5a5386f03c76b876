//! Learned estimates: answer lengths by kind and organisation, rates by upstream.

use indexmap::IndexMap;

/// Weight of a new observation in a moving average.
const WEIGHT: f64 = 0.2;
/// Most (kind, organisation) pairs remembered by one shard.
const MAX_PAIRS: usize = 8_192;
/// Observations after which an organisation's own average is used.
const ENOUGH: u32 = 5;

/// A moving average that starts from a hint.
#[derive(Clone, Copy, Debug)]
pub struct MovingAverage {
    value: f64,
    count: u32,
}

impl MovingAverage {
    /// An average that reads `hint` until the first observation.
    pub fn new(hint: f64) -> MovingAverage {
        MovingAverage {
            value: hint,
            count: 0,
        }
    }

    /// Takes in one observation.
    pub fn observe(&mut self, sample: f64) {
        self.value += (sample - self.value) * WEIGHT;
        self.count = self.count.saturating_add(1);
    }

    /// Current value.
    pub fn get(&self) -> f64 {
        self.value
    }

    /// Number of observations.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Spread of the logarithm of answer lengths while nothing is learned.
const SPREAD_HINT: f64 = 0.7;
/// Standard deviations above the mean that a cautious estimate lies at (95 in 100 are shorter).
const CAUTION: f64 = 1.0;

/// Mean and spread of the logarithm of answer lengths.
#[derive(Clone, Copy, Debug)]
struct LogLength {
    mean: MovingAverage,
    variance: MovingAverage,
}

impl LogLength {
    fn new(log: f64) -> LogLength {
        let variance = MovingAverage::new(SPREAD_HINT * SPREAD_HINT);
        LogLength {
            mean: MovingAverage::new(log),
            variance,
        }
    }

    fn observe(&mut self, log: f64) {
        let off = log - self.mean.get();
        self.variance.observe(off * off);
        self.mean.observe(log);
    }
}

/// An estimated answer length in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    /// As long as a usual answer.
    pub typical: f64,
    /// Longer than 95 answers in 100.
    pub conservative: f64,
}

/// Answer lengths in tokens, averaged over their logarithms since they range a hundredfold.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    by_kind: IndexMap<String, LogLength>,
    by_pair: IndexMap<(String, String), LogLength>,
}

impl LengthEstimator {
    /// Records that an answer of `tokens` was given.
    pub fn observe(&mut self, kind: &str, organisation: &str, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        let of_kind = self
            .by_kind
            .entry(kind.to_owned())
            .or_insert(LogLength::new(log));
        of_kind.observe(log);
        let pair = (kind.to_owned(), organisation.to_owned());
        if self.by_pair.len() >= MAX_PAIRS && !self.by_pair.contains_key(&pair) {
            self.by_pair.swap_remove_index(0);
        }
        self.by_pair
            .entry(pair)
            .or_insert(LogLength::new(log))
            .observe(log);
    }

    /// Expected length, from `hint` when nothing is known.
    pub fn expect(&self, kind: &str, organisation: &str, hint: u32) -> LengthEstimate {
        let pair = self
            .by_pair
            .get(&(kind.to_owned(), organisation.to_owned()));
        let known = pair
            .filter(|l| l.mean.count() >= ENOUGH)
            .or_else(|| self.by_kind.get(kind));
        let known = known
            .copied()
            .unwrap_or(LogLength::new(f64::from(hint.max(1)).ln()));
        let (mean, spread) = (known.mean.get(), known.variance.get().sqrt());
        LengthEstimate {
            typical: mean.exp(),
            conservative: (mean + CAUTION * spread).exp(),
        }
    }
}
