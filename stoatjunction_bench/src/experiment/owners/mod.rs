//! Compares owners of pools with the allocation of slots to hosts, in virtual time: many hosts, their load reports and
//! messages, emulated upstreams, and failures.

mod asks;
mod events;
mod hosts;
mod load;
mod measures;
mod simulation;
mod upstream;

pub use self::load::{Scenario, Service};
pub use self::measures::{Measures, Outcomes};
pub use self::simulation::{Play, Variant, play};

/// What to compare.
#[derive(Clone, Debug)]
pub struct OwnersOptions {
    /// Sizes of fleets.
    pub hosts: Vec<usize>,
    /// Scenarios with their names.
    pub scenarios: Vec<(&'static str, Scenario)>,
    /// Variants with their names.
    pub variants: Vec<(&'static str, Variant)>,
    /// Services.
    pub services: Vec<Service>,
    /// Demand in parts of what the upstreams complete.
    pub loads: Vec<f64>,
    /// Number of seeds.
    pub seeds: u64,
}

/// Plays all variants with the same requests, and prints one row of a table for each.
pub fn compare(options: &OwnersOptions) {
    println!("{}", measures::table_head());
    for hosts in &options.hosts {
        for service in &options.services {
            for load in &options.loads {
                for (name, scenario) in &options.scenarios {
                    let base = Play {
                        variant: Variant::Allocation,
                        service: *service,
                        scenario: *scenario,
                        hosts: *hosts,
                        load: *load,
                        seed: 1,
                    };
                    compare_variants(options, &base, name);
                }
            }
        }
    }
}

fn compare_variants(options: &OwnersOptions, base: &Play, scenario: &str) {
    for (variant_name, variant) in &options.variants {
        let measured = play_seeds(base, *variant, options.seeds);
        println!(
            "| {} | {} | {} | {scenario} | {variant_name} | {} |",
            base.hosts,
            base.service.label(),
            base.load,
            measures::table_cells(&measured)
        );
    }
}

/// Plays a variant with the seeds from 1 on and returns the sum of the results.
pub fn play_seeds(base: &Play, variant: Variant, seeds: u64) -> Measures {
    let mut sum = Measures::default();
    for seed in 1..=seeds {
        sum.add(&play(Play {
            variant,
            seed,
            ..*base
        }));
    }
    sum
}
