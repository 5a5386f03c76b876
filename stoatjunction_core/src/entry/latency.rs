//! Forecast of the latency of a stream's first event: a linear model over the prompt tokens to
//! prefill, learned for the whole pool, and a slowdown for each upstream.

/// Weight that the past observations keep with each new one.
const DECAY: f64 = 0.995;
/// Least weight of one observation in the slowdown of an upstream.
const MIN_SAMPLE_WEIGHT: f64 = 0.15;
/// Latency of an empty prompt in milliseconds before anything is observed.
const INITIAL_BASE_MS: f64 = 60.0;
/// Milliseconds per prompt token before anything is observed.
const INITIAL_MS_PER_TOKEN: f64 = 0.012;
/// Prompt length of the second point of the initial fit.
const INITIAL_POINT_TOKENS: f64 = 10_000.0;
/// Weight of each point of the initial fit, in observations.
const INITIAL_POINT_WEIGHT: f64 = 4.0;
/// Bounds of the slowdown of an upstream.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.2, 8.0);

/// Weighted linear regression of milliseconds (y) over prompt tokens (x), as running sums.
#[derive(Clone, Debug)]
pub struct LatencyModel {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Default for LatencyModel {
    fn default() -> LatencyModel {
        let mut model = LatencyModel {
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        model.add(0.0, INITIAL_BASE_MS, INITIAL_POINT_WEIGHT);
        let second = INITIAL_BASE_MS + INITIAL_MS_PER_TOKEN * INITIAL_POINT_TOKENS;
        model.add(INITIAL_POINT_TOKENS, second, INITIAL_POINT_WEIGHT);
        model
    }
}

impl LatencyModel {
    /// Returns the milliseconds until the first event when `tokens` have to be prefilled.
    pub fn predict(&self, tokens: f64) -> f64 {
        let (base, slope) = self.fit();
        base + slope * tokens
    }

    /// Returns the milliseconds per prompt token.
    pub fn ms_per_token(&self) -> f64 {
        self.fit().1
    }

    /// Records that the first event came after `ms` when `tokens` had to be prefilled.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        for sum in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.add(tokens, ms, 1.0);
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.n += weight;
        self.x += weight * tokens;
        self.y += weight * ms;
        self.xx += weight * tokens * tokens;
        self.xy += weight * tokens * ms;
    }

    fn fit(&self) -> (f64, f64) {
        let spread = self.n * self.xx - self.x * self.x;
        let slope = if spread > 0.0 {
            (self.n * self.xy - self.x * self.y) / spread
        } else {
            INITIAL_MS_PER_TOKEN
        };
        let slope = slope.max(INITIAL_MS_PER_TOKEN / 20.0);
        let base = (self.y - slope * self.x) / self.n;
        (base.max(1.0), slope)
    }
}

/// Ratio of the latency of an upstream to that of its pool, as a moving average of logarithms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    log: f64,
    count: u32,
    learned_from_peer: bool,
}

impl Slowdown {
    /// Returns the ratio; above 1 is slower than the pool.
    pub fn get(&self) -> f64 {
        self.log.exp()
    }

    /// Returns whether this host or another one has observed the upstream.
    pub fn is_known(&self) -> bool {
        self.learned_from_peer || self.count > 0
    }

    /// Returns the number of own observations.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Records a latency of `ratio` times the forecast for the pool.
    pub fn observe(&mut self, ratio: f64) {
        let log = ratio.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1).ln();
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / (f64::from(self.count) + 2.0));
        self.log += (log - self.log) * weight;
        self.count = self.count.saturating_add(1);
    }

    /// Merges a slowdown that another host derived from `count` observations.
    pub fn observe_peer(&mut self, slowdown: f64, count: u32) {
        let log = slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1).ln();
        let weight = f64::from(count) / f64::from(count + self.count + 8);
        self.log += (log - self.log) * weight * PEER_WEIGHT;
        self.learned_from_peer = true;
    }
}

/// Largest part of the difference to another host's slowdown that one report corrects.
const PEER_WEIGHT: f64 = 0.3;
