//! Command line of the demo and the experiment.

use std::process::ExitCode;

use pico_args::Arguments;
use stoatjunction_bench::{compare, compare_owners, demo, layout};

const HELP: &str = "\
Demo and experiment commands of stoatjunction.

Usage: stoatjunction-bench COMMAND [OPTIONS]

Commands:
  demo        run all daemons in one process: [--layout andina|hollinshead] [--requests N] [--stay]
  experiment  compare the policy with baselines in virtual time: --workload FILE
              [--loads 0.5,1,1.5,3] [--seed N] [--ablate] [--json]
  experiment owners
              compare owners of pools with the allocation of slots to hosts in virtual time:
              [--hosts 7,70,295] [--scenario NAME,...] [--variant NAME,...]
              [--service engines,plain] [--loads 0.75,0.9] [--seeds N]

Exit codes: 0 done, 1 failed, 2 wrong usage.";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("stoatjunction-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Ok(runtime) = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

async fn run(mut args: Arguments) -> miette::Result<()> {
    let usage_error = |e: pico_args::Error| miette::miette!("{e}\n\n{HELP}");
    match args.subcommand().map_err(usage_error)?.as_deref() {
        Some("demo") => {
            let name: Option<String> = args.opt_value_from_str("--layout").map_err(usage_error)?;
            let requests = args
                .opt_value_from_str("--requests")
                .map_err(usage_error)?
                .unwrap_or(200);
            let stay = args.contains("--stay");
            let layout = match name.as_deref() {
                None | Some("andina") => layout::andina(),
                Some("hollinshead") => layout::hollinshead(),
                Some(other) => return Err(miette::miette!("--layout: unknown layout `{other}`")),
            };
            demo::run(layout, requests, stay).await
        }
        Some("experiment")
            if args.clone().subcommand().ok().flatten().as_deref() == Some("owners") =>
        {
            let _ = args.subcommand();
            let mut list = |name: &'static str| -> miette::Result<Option<String>> {
                args.opt_value_from_str(name).map_err(usage_error)
            };
            compare_owners::run(&compare_owners::OwnersArguments {
                hosts: list("--hosts")?,
                scenarios: list("--scenario")?,
                variants: list("--variant")?,
                services: list("--service")?,
                loads: list("--loads")?,
                seeds: list("--seeds")?,
            })
        }
        Some("experiment") => {
            let file: std::path::PathBuf =
                args.value_from_str("--workload").map_err(usage_error)?;
            let loads: Option<String> = args.opt_value_from_str("--loads").map_err(usage_error)?;
            let options = compare::ComparisonOptions {
                loads: compare::parse_loads(loads.as_deref().unwrap_or("0.5,1,1.5,3"))?,
                seed: args
                    .opt_value_from_str("--seed")
                    .map_err(usage_error)?
                    .unwrap_or(1),
                ablate: args.contains("--ablate"),
                json: args.contains("--json"),
            };
            compare::run(&file, &options)
        }
        _ => Err(miette::miette!("{HELP}")),
    }
}
