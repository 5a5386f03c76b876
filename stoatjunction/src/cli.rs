//! Commands and their arguments.

use std::fmt::Display;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::config::{Config, generate_key};
use crate::{bundle, claims, explain, fleet, timeline};

/// Text of `--help`.
pub const HELP: &str = "\
Operators' command line of stoatjunction.

Usage: stoatjunction COMMAND [ARGUMENTS] [--config FILE] [--json]

Bundles:
  key FILE                        make a private key; prints the public one
  bundle check FILE               check a bundle and report every fault
  bundle diff FILE                lines that differ from the accepted bundle
  bundle propose FILE --note TEXT propose it as the next bundle
  bundle approve NUMBER           approve another operator's bundle
  bundle accept NUMBER            bring an approved bundle into force
  bundle history                  all bundles with who proposed and approved them
  bundle status                   the number in force on every host, and who lags

The fleet:
  timeline [--request ID] [--host NAME] [--upstream NAME] [--since-ms N]
                                  events of all processes in one line of time
  hosts                           entry hosts as each dispatcher sees them
  shards                          shards, their owners and upstreams
  quarantine [release FINGERPRINT]
  drain UPSTREAM                  give an upstream no new work
  undrain UPSTREAM
  claims unknown                  keys whose outcome has to be resolved
  claims resolve OBJECT ran|not_run

Logs:
  explain ID [FILE...]            how a request ended and why, from log files of any hosts
                                  (standard input without files)

Options:
  --config FILE  operator's settings in INI (default: stoatjunction.ini)
  --json         print JSON
  --help         print this text
  --version      print the version

Exit codes: 0 done, 1 failed, 2 wrong usage.";

/// Error of a command.
#[derive(Debug)]
pub enum CommandError {
    /// The arguments are invalid.
    Usage(String),
    /// The command failed.
    Failed(miette::Report),
}

impl From<miette::Report> for CommandError {
    fn from(report: miette::Report) -> CommandError {
        CommandError::Failed(report)
    }
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> CommandError {
        usage_error(error)
    }
}

/// Creates an error for invalid arguments.
pub fn usage_error<M>(message: M) -> CommandError
where
    M: Display,
{
    CommandError::Usage(message.to_string())
}

/// Runs the command that `args` specify.
pub async fn run(mut args: Arguments) -> Result<(), CommandError> {
    let json = args.contains("--json");
    let config: Option<PathBuf> = args.opt_value_from_str("--config")?;
    let config = config.unwrap_or_else(|| PathBuf::from("stoatjunction.ini"));
    let command = args
        .subcommand()?
        .ok_or_else(|| usage_error("a command is needed"))?;
    match command.as_str() {
        "key" => Ok(generate_key(&take_positional(&mut args, "FILE")?)?),
        "bundle" => bundle::run(args, &config, json).await,
        "explain" => explain::run(args),
        "timeline" => timeline::run(args, &Config::load(&config)?, json).await,
        "claims" => claims::run(args, &Config::load(&config)?, json).await,
        other => fleet::run(other, args, &Config::load(&config)?, json).await,
    }
}

/// Removes and returns the next positional argument; `name` is its name in the help text.
pub fn take_positional(args: &mut Arguments, name: &str) -> Result<String, CommandError> {
    args.free_from_str()
        .map_err(|_| usage_error(format!("{name} is needed")))
}

/// Checks that no arguments are left.
pub fn check_no_arguments_left(args: Arguments) -> Result<(), CommandError> {
    let rest = args.finish();
    if rest.is_empty() {
        Ok(())
    } else {
        Err(usage_error(format!("unknown arguments: {rest:?}")))
    }
}
