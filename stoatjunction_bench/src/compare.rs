//! The experiment command: compares the policy with baselines, ablations and the users' targets.

use std::path::Path;

use stoatjunction_core::id::Tier;
use stoatjunction_core::shard::Features;
use stoatjunction_core::time::{Span, Time};

use crate::experiment::{Baseline, Policy, SimulationOptions, Workload, print_table, simulate};

/// Options of the experiment command.
#[derive(Clone, Debug)]
pub struct ComparisonOptions {
    /// Offered loads in multiples of the capacity.
    pub loads: Vec<f64>,
    /// Seed of the requests.
    pub seed: u64,
    /// Also simulate the policy with each of its features disabled in turn.
    pub ablate: bool,
    /// Print one JSON report per line instead of tables.
    pub json: bool,
}

/// Parses a comma-separated list of loads such as `0.5,1,3`.
///
/// # Errors
///
/// Returns a report if an item is not a number above 0 and at most 10.
pub fn parse_loads(text: &str) -> miette::Result<Vec<f64>> {
    let parse = |item: &str| {
        let load = item
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|l| *l > 0.0 && *l <= 10.0);
        load.ok_or_else(|| miette::miette!("load `{item}` is not a number above 0 and at most 10"))
    };
    text.split(',').map(parse).collect()
}

/// Runs the comparison on the workload in `file` and prints the results.
///
/// # Errors
///
/// Returns a report if the workload cannot be read or is invalid.
pub fn run(file: &Path, options: &ComparisonOptions) -> miette::Result<()> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| miette::miette!("{name}: {e}"))?;
    let workload = Workload::parse(&name, &text)?;
    let mut reports = Vec::new();
    for factor in &options.loads {
        let base = SimulationOptions {
            factor: *factor,
            seed: options.seed,
            ..SimulationOptions::default()
        };
        reports.extend(
            policies(&base, options.ablate)
                .iter()
                .map(|o| simulate(&workload, o)),
        );
    }
    if options.json {
        for report in &reports {
            println!("{}", serde_json::to_string(report).unwrap_or_default());
        }
        return Ok(());
    }
    println!(
        "{name}: capacity {:.1} requests/s, seed {}",
        workload.capacity(),
        options.seed
    );
    print_table(&reports);
    print_targets(&workload, options.seed);
    Ok(())
}

fn policies(base: &SimulationOptions, ablate: bool) -> Vec<SimulationOptions> {
    let all = Features::default();
    let with_policy = |name: &str, policy| SimulationOptions {
        name: name.to_owned(),
        policy,
        ..base.clone()
    };
    let mut policies = vec![base.clone()];
    policies.extend(Baseline::ALL.map(|b| with_policy(b.name(), Policy::Baseline(b))));
    if ablate {
        let ablations = [
            (
                "- lengths",
                Features {
                    lengths: false,
                    ..all
                },
            ),
            (
                "- prefixes",
                Features {
                    prefixes: false,
                    ..all
                },
            ),
            (
                "- rates",
                Features {
                    rates: false,
                    ..all
                },
            ),
            (
                "- least progress",
                Features {
                    least_progress: false,
                    ..all
                },
            ),
            (
                "- infeasible",
                Features {
                    infeasible: false,
                    ..all
                },
            ),
        ];
        policies.extend(ablations.map(|(name, f)| with_policy(name, Policy::Shard(f))));
    }
    policies
}

fn print_targets(workload: &Workload, seed: u64) {
    println!("\ntargets:");
    let options_at = |factor| SimulationOptions {
        factor,
        seed,
        ..SimulationOptions::default()
    };
    let overloaded = simulate(workload, &options_at(3.0));
    let top_tier_only = simulate(
        workload,
        &SimulationOptions {
            lowest_tier: Tier(0),
            ..options_at(3.0)
        },
    );
    let kept_share = overloaded.tiers[0].good as f64 / top_tier_only.tiers[0].good.max(1) as f64;
    print_target(
        "top-tier goodput kept at 3x",
        kept_share * 100.0,
        ">= 99%",
        kept_share >= 0.99,
    );
    let moderate_overload = simulate(workload, &options_at(1.5));
    let wasted = moderate_overload.wasted_share() * 100.0;
    print_target("wasted prefill at 1.5x", wasted, "<= 2%", wasted <= 2.0);
    let estimated = simulate(workload, &options_at(1.0));
    let exact = simulate(
        workload,
        &SimulationOptions {
            exact_cache: true,
            ..options_at(1.0)
        },
    );
    let relative_hit_rate =
        estimated.cached_share() / exact.cached_share().max(f64::MIN_POSITIVE) * 100.0;
    print_target(
        "cached share relative to exact cache state at 1x",
        relative_hit_rate,
        ">= 95%",
        relative_hit_rate >= 95.0,
    );
    let engine_slowdown = Some((0, Time(0) + Span::from_millis(30_000), 10_000));
    let undisturbed = simulate(workload, &options_at(0.7));
    let slowed = simulate(
        workload,
        &SimulationOptions {
            engine_slowdown,
            ..options_at(0.7)
        },
    );
    for (tier, (before, after)) in undisturbed.tiers.iter().zip(&slowed.tiers).enumerate() {
        println!(
            "  one engine slowed down tenfold from 30 s on, 0.7x, tier {tier}: good {:.1}% -> {:.1}%, \
             late {} -> {}, first token p95 {} -> {} ms",
            before.goodput() * 100.0,
            after.goodput() * 100.0,
            before.late,
            after.late,
            before.first_ms.1,
            after.first_ms.1
        );
    }
}

fn print_target(what: &str, value: f64, target: &str, met: bool) {
    let verdict = if met { "met" } else { "MISSED" };
    println!("  {what}: {value:.2}% (target {target}) {verdict}");
}
