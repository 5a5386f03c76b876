//! Baseline load balancing algorithms to compare the policy with.

use std::collections::VecDeque;

/// A baseline load balancing algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// A random engine.
    Random,
    /// The engines in rotation.
    RoundRobin,
    /// The engine with the fewest requests assigned to it and not yet ended.
    LeastOutstanding,
    /// The engine with the fewest requests in its last load report.
    LeastReported,
    /// One queue in order of arrival; the engine with the fewest requests and a free slot is next.
    Fifo,
}

impl Baseline {
    /// All baselines.
    pub const ALL: [Baseline; 5] = [
        Baseline::Random,
        Baseline::RoundRobin,
        Baseline::LeastOutstanding,
        Baseline::LeastReported,
        Baseline::Fifo,
    ];

    /// Returns the name used in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::RoundRobin => "round-robin",
            Baseline::LeastOutstanding => "least-outstanding",
            Baseline::LeastReported => "least-reported",
            Baseline::Fifo => "fifo",
        }
    }
}

/// The state of an engine that a baseline decides on.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EngineView {
    /// Whether the role of the engine may serve the request.
    pub(super) allowed: bool,
    /// Requests assigned to the engine and not yet ended.
    pub(super) outstanding: u32,
    /// Requests that ran on the engine at its last load sample.
    pub(super) reported: u32,
    pub(super) slots: u32,
}

/// State of a baseline.
#[derive(Clone, Debug)]
pub(super) struct BaselineScheduler {
    baseline: Baseline,
    rng: fastrand::Rng,
    round_robin_index: usize,
    pub(super) queue: VecDeque<usize>,
}

impl BaselineScheduler {
    pub(super) fn new(baseline: Baseline, seed: u64) -> BaselineScheduler {
        let rng = fastrand::Rng::with_seed(seed);
        BaselineScheduler {
            baseline,
            rng,
            round_robin_index: 0,
            queue: VecDeque::new(),
        }
    }

    /// Returns the engine for the next request, or `None` while the request has to wait.
    pub(super) fn choose_engine(&mut self, engines: &[EngineView]) -> Option<usize> {
        let allowed: Vec<usize> = (0..engines.len()).filter(|i| engines[*i].allowed).collect();
        match self.baseline {
            Baseline::Random => Some(allowed[self.rng.usize(..allowed.len())]),
            Baseline::RoundRobin => {
                self.round_robin_index += 1;
                Some(allowed[self.round_robin_index % allowed.len()])
            }
            Baseline::LeastOutstanding => allowed
                .into_iter()
                .min_by_key(|i| (engines[*i].outstanding, *i)),
            Baseline::LeastReported => allowed
                .into_iter()
                .min_by_key(|i| (engines[*i].reported, *i)),
            Baseline::Fifo => allowed
                .into_iter()
                .filter(|i| engines[*i].outstanding < engines[*i].slots)
                .min_by_key(|i| (engines[*i].outstanding, *i)),
        }
    }
}
