//! The experiment command: the policy against baselines, its ablations, and the users' targets.

use std::path::Path;

use stoatjunction_core::id::Tier;
use stoatjunction_core::shard::Features;
use stoatjunction_core::time::{Span, Time};

use crate::experiment::{Baseline, Policy, SimulationOptions, Workload, print_table, simulate};

/// What to compare.
#[derive(Clone, Debug)]
pub struct ComparisonOptions {
    /// Offered loads in multiples of the capacity.
    pub loads: Vec<f64>,
    /// Seed of the requests.
    pub seed: u64,
    /// Also run the policy with each of its parts switched off.
    pub ablate: bool,
    /// Print JSON, one report a line, in place of tables.
    pub json: bool,
}

/// Reads loads such as `0.5,1,3`.
///
/// # Errors
///
/// A report when one is not a number above zero.
pub fn parse_loads(text: &str) -> miette::Result<Vec<f64>> {
    let parse = |word: &str| {
        let load = word
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|l| *l > 0.0 && *l <= 10.0);
        load.ok_or_else(|| miette::miette!("`{word}` is not a load in 0..=10"))
    };
    text.split(',').map(parse).collect()
}

/// Runs the comparison on the workload in `file` and prints it.
///
/// # Errors
///
/// A report when the workload cannot be read.
pub fn run(file: &Path, options: &ComparisonOptions) -> miette::Result<()> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| miette::miette!("{name}: {e}"))?;
    let load = Workload::parse(&name, &text)?;
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
                .map(|o| simulate(&load, o)),
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
        load.capacity(),
        options.seed
    );
    print_table(&reports);
    print_targets(&load, options.seed);
    Ok(())
}

fn policies(base: &SimulationOptions, ablate: bool) -> Vec<SimulationOptions> {
    let all = Features::default();
    let named = |name: &str, policy| SimulationOptions {
        name: name.to_owned(),
        policy,
        ..base.clone()
    };
    let mut policies = vec![base.clone()];
    policies.extend(Baseline::ALL.map(|b| named(b.name(), Policy::Baseline(b))));
    if ablate {
        let without = [
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
        policies.extend(without.map(|(name, f)| named(name, Policy::Shard(f))));
    }
    policies
}

fn print_targets(load: &Workload, seed: u64) {
    println!("\ntargets:");
    let at = |factor| SimulationOptions {
        factor,
        seed,
        ..SimulationOptions::default()
    };
    let crowded = simulate(load, &at(3.0));
    let alone = simulate(
        load,
        &SimulationOptions {
            lowest_tier: Tier(0),
            ..at(3.0)
        },
    );
    let kept = crowded.tiers[0].good as f64 / alone.tiers[0].good.max(1) as f64;
    line(
        "top-tier goodput kept at 3x",
        kept * 100.0,
        ">= 99%",
        kept >= 0.99,
    );
    let busy = simulate(load, &at(1.5));
    let wasted = busy.wasted_share() * 100.0;
    line("wasted prefill at 1.5x", wasted, "<= 2%", wasted <= 2.0);
    let now = simulate(load, &at(1.0));
    let oracle = simulate(
        load,
        &SimulationOptions {
            exact_cache: true,
            ..at(1.0)
        },
    );
    let hit = now.cached_share() / oracle.cached_share().max(f64::MIN_POSITIVE) * 100.0;
    line(
        "cached share against exact knowledge at 1x",
        hit,
        ">= 95%",
        hit >= 95.0,
    );
    let engine_slowdown = Some((0, Time(0) + Span::from_millis(30_000), 10_000));
    let whole = simulate(load, &at(0.7));
    let hurt = simulate(
        load,
        &SimulationOptions {
            engine_slowdown,
            ..at(0.7)
        },
    );
    for (tier, (before, after)) in whole.tiers.iter().zip(&hurt.tiers).enumerate() {
        println!(
            "  one worker at a tenth from 30 s on, 0.7x, tier {tier}: good {:.1}% -> {:.1}%, \
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

fn line(what: &str, value: f64, target: &str, met: bool) {
    let verdict = if met { "met" } else { "MISSED" };
    println!("  {what}: {value:.2}% (target {target}) {verdict}");
}
