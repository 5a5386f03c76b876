//! The command that compares owners of pools with the allocation of slots to hosts.

use std::str::FromStr;

use crate::compare::parse_loads;
use crate::experiment::owners::{OwnersOptions, Scenario, Service, Variant, compare};

/// Fleets that the comparison plays.
const HOSTS: std::ops::RangeInclusive<usize> = 4..=400;

/// Arguments of the command as given; lists are separated by commas.
#[derive(Clone, Debug, Default)]
pub struct OwnersArguments {
    /// Sizes of fleets.
    pub hosts: Option<String>,
    /// Names of scenarios.
    pub scenarios: Option<String>,
    /// Names of variants.
    pub variants: Option<String>,
    /// Names of services.
    pub services: Option<String>,
    /// Demand in parts of what the upstreams complete.
    pub loads: Option<String>,
    /// Number of seeds.
    pub seeds: Option<String>,
}

/// Runs the comparison and prints its table.
///
/// # Errors
///
/// Returns a report that names the first argument that is not valid.
pub fn run(arguments: &OwnersArguments) -> miette::Result<()> {
    let services = [("engines", Service::Engines), ("plain", Service::Plain)];
    let services = choose("--service", arguments.services.as_deref(), &services)?;
    let options = OwnersOptions {
        hosts: parse_hosts(arguments.hosts.as_deref().unwrap_or("7,70,295"))?,
        scenarios: choose("--scenario", arguments.scenarios.as_deref(), &Scenario::ALL)?,
        variants: choose("--variant", arguments.variants.as_deref(), &Variant::ALL)?,
        services: services.into_iter().map(|(_, service)| service).collect(),
        loads: parse_loads(arguments.loads.as_deref().unwrap_or("0.75,0.9"))?,
        seeds: parse("--seeds", arguments.seeds.as_deref().unwrap_or("4"))?,
    };
    compare(&options);
    Ok(())
}

fn parse<T: FromStr>(name: &str, text: &str) -> miette::Result<T> {
    let value = text.trim().parse();
    value.map_err(|_| miette::miette!("{name}: `{text}` is not a number"))
}

fn parse_hosts(text: &str) -> miette::Result<Vec<usize>> {
    let parse_item = |item: &str| {
        let hosts = parse("--hosts", item)?;
        match HOSTS.contains(&hosts) {
            true => Ok(hosts),
            false => Err(miette::miette!(
                "--hosts: `{item}` is not between 4 and 400"
            )),
        }
    };
    text.split(',').map(parse_item).collect()
}

/// Returns the items of `all` that are named, or all of them if no names are given.
fn choose<T: Copy>(
    argument: &str,
    names: Option<&str>,
    all: &[(&'static str, T)],
) -> miette::Result<Vec<(&'static str, T)>> {
    let Some(names) = names else {
        return Ok(all.to_vec());
    };
    let find = |name: &str| {
        let found = all.iter().find(|(n, _)| *n == name.trim());
        found
            .copied()
            .ok_or_else(|| miette::miette!("{argument}: unknown name `{name}`"))
    };
    names.split(',').map(find).collect()
}
