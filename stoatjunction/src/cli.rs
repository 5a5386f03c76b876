//! Commands and their arguments.

use std::fmt::Display;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::config::{Config, generate_key};
use crate::{bundle, claims, explain, explain_placement, fleet, timeline};

/// Text of `--help`.
pub const HELP: &str = "\
Command line for the operators of stoatjunction.

Usage: stoatjunction COMMAND [ARGUMENTS] [--config FILE] [--json]

Bundles:
  key FILE                        generate a private key in FILE and print the public key
  bundle check FILE               check a bundle and report all errors
  bundle diff FILE                print the lines that differ from the accepted bundle
  bundle propose FILE --note TEXT propose FILE as the next bundle
  bundle approve NUMBER           approve another operator's bundle
  bundle accept NUMBER            bring an approved bundle into force
  bundle history                  list all bundles with their proposers and approvers
  bundle status                   show the bundle in force at each process, and which lag behind

Hosts and requests:
  timeline [--request ID] [--host NAME] [--upstream NAME] [--since-ms N]
                                  print the events of all processes, sorted by time
  hosts                           list the entry hosts as each dispatcher sees them
  shards                          list the shards with their owners and upstreams
  quarantine                      list the fingerprints and their state
  quarantine release FINGERPRINT  clear a fingerprint
  drain UPSTREAM                  send no new requests to an upstream
  undrain UPSTREAM                send requests to a drained upstream again
  claims unknown                  list the claims whose outcome is unknown
  claims resolve OBJECT ran|not_run
                                  record the outcome of such a claim

  explain-placement ADDRESS --host HOST --path PATH [--organisation NAME] [--service NAME]
                    [--tokens IN,OUT] [--prompt PART:TOKENS,...] [--deadline-ms N]
                    [--stream-version NAME]
                                  print where an entry host, by the address of its metrics, would
                                  place a request now, and why; nothing is sent or changed

Logs:
  explain ID [FILE...]            summarise how a request ended and why, from the log files of
                                  any hosts (default: standard input)

Options:
  --config FILE  operator's settings in INI (default: stoatjunction.ini)
  --json         print JSON
  --help         print this text
  --version      print the version

Exit codes: 0 success, 1 failure, 2 invalid arguments.";

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
        .ok_or_else(|| usage_error("missing COMMAND"))?;
    match command.as_str() {
        "key" => Ok(generate_key(&take_positional(&mut args, "FILE")?)?),
        "bundle" => bundle::run(args, &config, json).await,
        "explain" => explain::run(args),
        "explain-placement" => explain_placement::run(args, json).await,
        "timeline" => timeline::run(args, &Config::load(&config)?, json).await,
        "claims" => claims::run(args, &Config::load(&config)?, json).await,
        other => fleet::run(other, args, &Config::load(&config)?, json).await,
    }
}

/// Removes and returns the next positional argument; `name` is its name in the help text.
pub fn take_positional(args: &mut Arguments, name: &str) -> Result<String, CommandError> {
    args.free_from_str()
        .map_err(|_| usage_error(format!("missing argument {name}")))
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
