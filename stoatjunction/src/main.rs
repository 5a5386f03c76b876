//! The operators' command line.

mod admin;
mod bundle;
mod claims;
mod cli;
mod config;
mod explain;
mod explain_placement;
mod fleet;
mod output;
mod timeline;

use std::process::ExitCode;

use pico_args::Arguments;

use crate::output::{errln, outln};

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        outln!("{}", cli::HELP);
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        outln!("stoatjunction {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(cli::run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cli::CommandError::Usage(message)) => {
            errln!("{message}\n\n{}", cli::HELP);
            ExitCode::from(EXIT_USAGE)
        }
        Err(cli::CommandError::Failed(report)) => {
            errln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
