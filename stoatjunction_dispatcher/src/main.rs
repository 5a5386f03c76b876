//! The dispatcher daemon.

use std::process::ExitCode;

use stoatjunction_core::shard::ShardSettings;
use stoatjunction_net::daemon::{self, Program, ShutdownOutcome};

const HELP: &str = "\
Dispatcher of stoatjunction: queues, tier order and choice of upstream.

Usage: stoatjunction-dispatcher --config FILE [--check] [--log-level LEVEL]";

fn main() -> ExitCode {
    let program = Program {
        name: "dispatcher",
        help: HELP,
        version: env!("CARGO_PKG_VERSION"),
    };
    daemon::main(program, |cfg, stop| async move {
        let dispatcher =
            stoatjunction_dispatcher::start(cfg, ShardSettings::default(), stop).await?;
        Ok(ShutdownOutcome::from_drained(
            dispatcher.ended.await.unwrap_or(false),
        ))
    })
}
