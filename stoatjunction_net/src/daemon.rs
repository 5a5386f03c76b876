//! What the main functions of the daemons share: command line, settings, logs, exit codes.

use std::ffi::OsString;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use pico_args::Arguments;

use crate::logging;
use crate::settings::DaemonSettings;
use crate::stop::{StopRx, on_signals};

/// Threads that serve requests and links. Entry hosts are small, and idle threads that look for work
/// cost more than they bring at a few hundred requests a second.
const WORKERS: usize = 2;
/// Exit code after a failure.
const FAILED: u8 = 1;
/// Exit code for wrong usage or settings.
const USAGE: u8 = 2;
/// Exit code after a stop that cut requests off.
const CUT: u8 = 3;

const OPTIONS: &str = "
Options:
  --config FILE      settings in INI, see docs/SETTINGS.md
  --check            only check the settings
  --log-level LEVEL  off, error, warn, info or debug (default: info)
  --help             print this text
  --version          print the version

Exit codes: 0 stopped with everything drained, 1 failed, 2 wrong usage or settings,
3 stopped with requests cut off.";

/// A daemon program.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Role of the process, as logs name it.
    pub name: &'static str,
    /// First lines of the help.
    pub help: &'static str,
    /// Version.
    pub version: &'static str,
}

/// How a daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Everything in progress was finished.
    Drained,
    /// Some requests were cut off.
    Cut,
}

impl ShutdownOutcome {
    /// How a daemon ended that drained everything, or not.
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

/// Runs `body` with the settings that the command line names, until it ends or signals stop it.
pub fn main<F, Fut>(program: Program, body: F) -> ExitCode
where
    F: FnOnce(DaemonSettings, StopRx) -> Fut,
    Fut: Future<Output = miette::Result<ShutdownOutcome>>,
{
    let command = match parse(std::env::args_os().skip(1).collect()) {
        Ok(command) => command,
        Err(message) => {
            eprintln!("{message}\n\n{}\n{OPTIONS}", program.help);
            return ExitCode::from(USAGE);
        }
    };
    match command {
        Command::Help => {
            println!("{}\n{OPTIONS}", program.help);
            ExitCode::SUCCESS
        }
        Command::Version => {
            println!("stoatjunction-{} {}", program.name, program.version);
            ExitCode::SUCCESS
        }
        Command::Run {
            config,
            check,
            level,
        } => match DaemonSettings::load(&config) {
            Err(report) => {
                eprintln!("{report:?}");
                ExitCode::from(USAGE)
            }
            Ok(_) if check => {
                println!("{}: in order", config.display());
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
    let runtime = builder.worker_threads(WORKERS).enable_all().build();
    let ended = runtime
        .map_err(|e| miette::miette!("runtime: {e}"))
        .and_then(|rt| {
            rt.block_on(async {
                let stop = on_signals().map_err(|e| miette::miette!("signals: {e}"))?;
                body(cfg, stop).await
            })
        });
    match ended {
        Ok(ShutdownOutcome::Drained) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Cut) => ExitCode::from(CUT),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(FAILED)
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
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}"));
    }
    Ok(Command::Run {
        config,
        check,
        level: level.unwrap_or(LevelFilter::Info),
    })
}
