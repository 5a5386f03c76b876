//! Forecast of the first event of a stream: a straight line over the prompt tokens to be read,
//! learned for the whole pool, and a factor for each upstream's own speed.

/// Weight that old observations keep with each new one.
const KEEP: f64 = 0.995;
/// Weight of one observation in an upstream's factor.
const WEIGHT: f64 = 0.15;
/// Delay of the first event of an empty prompt before anything is learned, in milliseconds.
const BASE_HINT: f64 = 60.0;
/// Milliseconds a prompt token takes before anything is learned.
const TOKEN_HINT: f64 = 0.012;
/// Prompt length of the second hint.
const HINT_TOKENS: f64 = 10_000.0;
/// Weight of each hint, in observations.
const HINT_WEIGHT: f64 = 4.0;
/// Bounds of an upstream's factor.
const FACTOR: (f64, f64) = (0.2, 8.0);

/// Sums of a weighted straight-line fit.
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
        let mut line = LatencyModel {
            n: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        line.add(0.0, BASE_HINT, HINT_WEIGHT);
        let far = BASE_HINT + TOKEN_HINT * HINT_TOKENS;
        line.add(HINT_TOKENS, far, HINT_WEIGHT);
        line
    }
}

impl LatencyModel {
    /// Milliseconds to the first event when `tokens` are to be read.
    pub fn predict(&self, tokens: f64) -> f64 {
        let (base, slope) = self.fit();
        base + slope * tokens
    }

    /// Milliseconds that one token takes.
    pub fn ms_per_token(&self) -> f64 {
        self.fit().1
    }

    /// Takes in that the first event came after `ms` when `tokens` were to be read.
    pub fn observe(&mut self, tokens: f64, ms: f64) {
        for sum in [
            &mut self.n,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= KEEP;
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
            TOKEN_HINT
        };
        let slope = slope.max(TOKEN_HINT / 20.0);
        let base = (self.y - slope * self.x) / self.n;
        (base.max(1.0), slope)
    }
}

/// How much slower an upstream is than the pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    log: f64,
    count: u32,
    learned_from_peer: bool,
}

impl Slowdown {
    /// The factor.
    pub fn get(&self) -> f64 {
        self.log.exp()
    }

    /// True when anything was observed, here or by another host.
    pub fn is_known(&self) -> bool {
        self.learned_from_peer || self.count > 0
    }

    /// Observations made.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Takes in that something took `ratio` times the forecast for the whole pool.
    pub fn observe(&mut self, ratio: f64) {
        let log = ratio.clamp(FACTOR.0, FACTOR.1).ln();
        let weight = WEIGHT.max(1.0 / (f64::from(self.count) + 2.0));
        self.log += (log - self.log) * weight;
        self.count = self.count.saturating_add(1);
    }

    /// Takes in what another host learned from `count` observations.
    pub fn observe_peer(&mut self, factor: f64, count: u32) {
        let log = factor.clamp(FACTOR.0, FACTOR.1).ln();
        let weight = f64::from(count) / f64::from(count + self.count + 8);
        self.log += (log - self.log) * weight * PEER_WEIGHT;
        self.learned_from_peer = true;
    }
}

/// Part of another host's lesson that is taken over at each hearing.
const PEER_WEIGHT: f64 = 0.3;
