//! Shared entry point of the daemon programs: command line, settings, logging and exit codes.

use std::ffi::OsString;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use pico_args::Arguments;

use crate::admin::StoppedEarly;
use crate::logging;
use crate::settings::DaemonSettings;
use crate::stop::{StopRx, on_signals};

/// Worker threads of the runtime. Entry hosts are small, and at a few hundred requests per second the
/// work stealing of idle threads costs more than further threads gain.
const WORKER_THREADS: usize = 2;
/// Exit code after a failure.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;
/// Exit code after a shutdown that cut requests off.
const EXIT_CUT: u8 = 3;

const OPTIONS: &str = "
Options:
  --config FILE      settings in INI, see docs/SETTINGS.md
  --check            check the settings and exit
  --log-level LEVEL  off, error, warn, info or debug (default: info)
  --help             print this text
  --version          print the version

Exit codes: 0 stopped with everything drained, 1 failed, 2 wrong usage or settings,
3 stopped with requests cut off.";

/// A daemon program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Role of the process, used in log lines.
    pub name: &'static str,
    /// First lines of the help text.
    pub help: &'static str,
    /// Version.
    pub version: &'static str,
}

/// Outcome of the shutdown of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests in progress were finished.
    Drained,
    /// Some requests were cut off.
    Cut,
}

impl ShutdownOutcome {
    /// Returns [`ShutdownOutcome::Drained`] if `drained`, otherwise [`ShutdownOutcome::Cut`].
    pub fn from_drained(drained: bool) -> ShutdownOutcome {
        if drained {
            ShutdownOutcome::Drained
        } else {
            ShutdownOutcome::Cut
        }
    }
}

enum Command {
    Help,
    Version,
    Run {
        config: PathBuf,
        check: bool,
        level: LevelFilter,
    },
}

/// Parses the command line, loads the settings and runs `body`, which receives the stop signal.
pub fn main<F, Fut>(program: Program, body: F) -> ExitCode
where
    F: FnOnce(DaemonSettings, StopRx) -> Fut,
    Fut: Future<Output = miette::Result<ShutdownOutcome>>,
{
    let command = match parse(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(message) => {
            logging::report(&format!("{message}\n\n{}\n{OPTIONS}", program.help));
            logging::finish();
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let exit_code = execute(program, command, body);
    logging::finish();
    exit_code
}

fn execute<F, Fut>(program: Program, command: Command, body: F) -> ExitCode
where
    F: FnOnce(DaemonSettings, StopRx) -> Fut,
    Fut: Future<Output = miette::Result<ShutdownOutcome>>,
{
    match command {
        Command::Help => {
            logging::print(&format!("{}\n{OPTIONS}", program.help));
            ExitCode::SUCCESS
        }
        Command::Version => {
            logging::print(&format!(
                "stoatjunction-{} {}",
                program.name, program.version
            ));
            ExitCode::SUCCESS
        }
        Command::Run {
            config,
            check,
            level,
        } => match DaemonSettings::load(&config) {
            Err(report) => {
                logging::report(&format!("{report:?}"));
                ExitCode::from(EXIT_USAGE)
            }
            Ok(_) if check => {
                logging::print(&format!("{}: settings are valid", config.display()));
                ExitCode::SUCCESS
            }
            Ok(cfg) => {
                logging::start(level, program.name, &cfg.host);
                run(cfg, body)
            }
        },
    }
}

fn run<F, Fut>(cfg: DaemonSettings, body: F) -> ExitCode
where
    F: FnOnce(DaemonSettings, StopRx) -> Fut,
    Fut: Future<Output = miette::Result<ShutdownOutcome>>,
{
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let runtime = builder.worker_threads(WORKER_THREADS).enable_all().build();
    let outcome = runtime
        .map_err(|e| miette::miette!("cannot start the runtime: {e}"))
        .and_then(|rt| {
            rt.block_on(async {
                let stop = on_signals()
                    .map_err(|e| miette::miette!("cannot install the signal handlers: {e}"))?;
                body(cfg, stop).await
            })
        });
    match outcome {
        Ok(ShutdownOutcome::Drained) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Cut) => ExitCode::from(EXIT_CUT),
        Err(report) if report.downcast_ref::<StoppedEarly>().is_some() => ExitCode::SUCCESS,
        Err(report) => {
            logging::report(&format!("{report:?}"));
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn parse(args: Vec<OsString>) -> Result<Command, String> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains("--version") {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let level = args
        .opt_value_from_str("--log-level")
        .map_err(|e| e.to_string())?;
    let config = args
        .value_from_os_str("--config", |s| Ok::<_, String>(PathBuf::from(s)))
        .map_err(|e| e.to_string())?;
    let unknown = args.finish();
    if !unknown.is_empty() {
        return Err(format!("unknown arguments: {unknown:?}"));
    }
    Ok(Command::Run {
        config,
        check,
        level: level.unwrap_or(LevelFilter::Info),
    })
}
