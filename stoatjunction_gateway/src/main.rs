//! The gateway daemon.

use std::process::ExitCode;

use stoatjunction_net::daemon::{self, Program, ShutdownOutcome};

const HELP: &str = "\
Gateway of stoatjunction: accepts callers' requests and runs them on the upstreams.

Usage: stoatjunction-gateway --config FILE [--check] [--log-level LEVEL]";

fn main() -> ExitCode {
    let program = Program {
        name: "gateway",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
    };
    daemon::main(program, |cfg, stop| async move {
        let gateway = stoatjunction_gateway::start(cfg, stop).await?;
        Ok(ShutdownOutcome::from_drained(
            gateway.ended.await.unwrap_or(false),
        ))
    })
}
