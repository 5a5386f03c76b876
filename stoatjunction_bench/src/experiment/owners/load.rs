//! Callers of the experiment: kinds of requests, scenarios, and the requests drawn for a seed.

use stoatjunction_core::time::{Span, Time};

use super::upstream::{PREFILL_TOKENS_PER_MS, decode_step};

/// Start of the virtual time.
pub(super) const START: Time = Time(60_000_000);
/// Time at which a burst or a failure begins.
pub(super) const FAULT_AT: Time = Time(START.0 + 4_000_000);
/// Time from which on requests are counted.
pub(super) const COUNT_FROM: Time = Time(START.0 + 3_000_000);
/// Time at which the last request arrives.
pub(super) const ARRIVALS_END: Time = Time(START.0 + 10_000_000);
/// Length of a burst.
const BURST_LENGTH: Span = Span::from_millis(2_500);
/// Demand in a burst, in parts of the usual one.
const BURST_FACTOR: f64 = 1.9;
/// Demand of ten organisations of which two send six times as much, in parts of the usual one.
const UNEVEN_FACTOR: f64 = 2.0;
/// One in this many hosts receives what the two organisations send beyond the usual.
const UNEVEN_HOSTS: usize = 5;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    pub(super) name: &'static str,
    pub(super) weight: f64,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    /// Mean duration of a plain call; zero for streams.
    pub(super) plain_run: Span,
    pub(super) target: Span,
    pub(super) deadline: Span,
    pub(super) priority: u8,
}

const STREAM: Kind = Kind {
    name: "",
    weight: 1.0,
    prompt_tokens: 0,
    output_tokens: 0,
    plain_run: Span::ZERO,
    target: Span::from_millis(800),
    deadline: Span::from_millis(10_000),
    priority: 0,
};

/// The streams, which engines run.
pub(super) const STREAMS: [Kind; 3] = [
    Kind {
        name: "long",
        weight: 15.0,
        prompt_tokens: 6_610,
        output_tokens: 380,
        target: Span::from_millis(1_200),
        ..STREAM
    },
    Kind {
        name: "short",
        weight: 25.0,
        prompt_tokens: 628,
        output_tokens: 290,
        priority: 1,
        ..STREAM
    },
    Kind {
        name: "small",
        weight: 30.0,
        prompt_tokens: 1_800,
        output_tokens: 20,
        target: Span::from_millis(400),
        deadline: Span::from_millis(5_000),
        priority: 2,
        ..STREAM
    },
];

/// The plain calls.
pub(super) const PLAIN_CALLS: [Kind; 1] = [Kind {
    name: "plain",
    plain_run: Span::from_millis(60),
    target: Span::from_millis(300),
    deadline: Span::from_millis(3_000),
    ..STREAM
}];

/// A service of the experiment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Streams to engines of 7 slots, 4.8 slots for each host.
    Engines,
    /// Plain calls to 6 upstreams of 6 slots.
    Plain,
}

impl Service {
    /// Both services.
    pub const ALL: [Service; 2] = [Service::Engines, Service::Plain];

    pub(super) const fn label(self) -> &'static str {
        match self {
            Service::Engines => "engines",
            Service::Plain => "plain",
        }
    }

    pub(super) const fn slots(self) -> u32 {
        match self {
            Service::Engines => 7,
            Service::Plain => 6,
        }
    }

    /// Returns the number of upstreams in a fleet of `hosts` hosts.
    pub(super) fn upstreams(self, hosts: usize) -> usize {
        match self {
            Service::Engines => ((hosts * 204) as f64 / 295.0).round() as usize,
            Service::Plain => 6,
        }
    }

    pub(super) const fn kinds(self) -> &'static [Kind] {
        match self {
            Service::Engines => &STREAMS,
            Service::Plain => &PLAIN_CALLS,
        }
    }

    /// Returns the mean run duration in milliseconds while all slots of an upstream are busy.
    pub(super) fn full_run_ms(self) -> f64 {
        let slots = f64::from(self.slots());
        let step_ms = decode_step(self.slots() as usize).as_secs_f64() * 1e3;
        let total: f64 = self.kinds().iter().map(|k| k.weight).sum();
        let run_ms = |k: &Kind| match self {
            Service::Plain => k.plain_run.as_secs_f64() * 1e3,
            Service::Engines => {
                let prefill_ms = f64::from(k.prompt_tokens) / PREFILL_TOKENS_PER_MS;
                f64::from(k.output_tokens) * step_ms + slots * prefill_ms
            }
        };
        let weighted = self.kinds().iter().map(|k| k.weight / total * run_ms(k));
        weighted.sum()
    }
}

/// What happens in a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Calm,
    /// Demand is 1.9 times the usual for 2.5 s.
    Burst,
    /// Two of ten organisations send six times their load for 2.5 s, what is beyond the usual to a fifth of the hosts.
    Uneven,
    /// The host that owns the first part is killed.
    OwnerKilled,
    /// All hosts are killed and start again.
    AllKilled,
    /// A data centre is cut off from the others for 3 s.
    Partition,
    /// Two in 100 datagrams are lost.
    Lossy,
    /// The host that owns the first part is frozen for 3 s.
    OwnerFrozen,
    /// The host that owns the first part handles messages 40 times slower for 3 s.
    OwnerSlow,
    /// Half of the hosts receive nothing from the owner of the first part for 3 s, which makes two owners.
    OneWay,
}

impl Scenario {
    /// All scenarios with their names.
    pub const ALL: [(&'static str, Scenario); 10] = [
        ("calm", Scenario::Calm),
        ("burst", Scenario::Burst),
        ("uneven", Scenario::Uneven),
        ("owner-killed", Scenario::OwnerKilled),
        ("all-killed", Scenario::AllKilled),
        ("partition", Scenario::Partition),
        ("lossy", Scenario::Lossy),
        ("owner-frozen", Scenario::OwnerFrozen),
        ("owner-slow", Scenario::OwnerSlow),
        ("one-way", Scenario::OneWay),
    ];

    fn demand_at(self, at: Time) -> f64 {
        let is_on = at >= FAULT_AT && at < FAULT_AT + BURST_LENGTH;
        match self {
            Scenario::Burst if is_on => BURST_FACTOR,
            Scenario::Uneven if is_on => UNEVEN_FACTOR,
            _ => 1.0,
        }
    }
}

/// A request that a caller sends.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedCall {
    pub(super) at: Time,
    pub(super) host: usize,
    pub(super) kind: Kind,
    pub(super) salt: u64,
    /// Duration of a plain call.
    pub(super) plain_run: Span,
}

/// Draws the requests of a play: the same ones for all variants.
pub(super) fn draw_calls(
    service: Service,
    scenario: Scenario,
    hosts: usize,
    load: f64,
    seed: u64,
) -> Vec<PlannedCall> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let slots = service.upstreams(hosts) as f64 * f64::from(service.slots());
    let usual_rate = load * slots / service.full_run_ms() * 1e3;
    let mut calls = Vec::new();
    let mut at = START;
    loop {
        let factor = scenario.demand_at(at);
        let gap_s = -(1.0 - rng.f64()).ln() / (usual_rate * factor);
        at = at + Span::from_secs_f64(gap_s);
        if at >= ARRIVALS_END {
            return calls;
        }
        let is_extra = rng.f64() * factor > 1.0 && scenario == Scenario::Uneven;
        let host = rng.usize(0..hosts);
        let kind = draw_kind(service, &mut rng);
        calls.push(PlannedCall {
            at,
            host: match is_extra {
                true => host / UNEVEN_HOSTS * UNEVEN_HOSTS,
                false => host,
            },
            kind,
            salt: rng.u64(..),
            plain_run: Span((kind.plain_run.0 as f64 * (0.5 + rng.f64())) as u64),
        });
    }
}

fn draw_kind(service: Service, rng: &mut fastrand::Rng) -> Kind {
    let kinds = service.kinds();
    let total: f64 = kinds.iter().map(|k| k.weight).sum();
    let mut left = rng.f64() * total;
    for kind in kinds {
        if left < kind.weight {
            return *kind;
        }
        left -= kind.weight;
    }
    kinds[0]
}
