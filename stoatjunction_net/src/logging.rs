//! Logs: one line of `key=value` pairs for each event, to standard error. A process writes a bounded
//! number of lines a second; what is left out is counted in the next line that is written.

use std::sync::atomic::{AtomicU64, Ordering};

use log::{Level, LevelFilter};

use crate::clock::wall_ms;

/// Lines a second that tell of failures and changes.
const INFORMING: u64 = 80;
/// Lines a second up to which what went well is told too.
const DETAILED: u64 = 25;

/// Lines that may still be written in the present second.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    second: AtomicU64,
    used: AtomicU64,
    left_out: AtomicU64,
}

impl LogRateLimiter {
    /// A budget of which nothing is used.
    pub const fn new() -> LogRateLimiter {
        LogRateLimiter {
            second: AtomicU64::new(0),
            used: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// True when a line of `level` may be written in the second `now`. Warnings always may.
    pub fn allows(&self, level: Level, now: u64) -> bool {
        if self.second.swap(now, Ordering::Relaxed) != now {
            self.used.store(0, Ordering::Relaxed);
        }
        let most = match level {
            Level::Error | Level::Warn => return true,
            Level::Info => INFORMING,
            Level::Debug | Level::Trace => DETAILED,
        };
        if self.used.load(Ordering::Relaxed) >= most {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.used.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Lines left out since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.left_out.swap(0, Ordering::Relaxed)
    }
}

static BUDGET: LogRateLimiter = LogRateLimiter::new();

/// Sends log lines at `level` and above to standard error, marked with `process` and `host`.
/// Later calls in the same process change nothing.
pub fn start(level: LevelFilter, process: &'static str, host: &str) {
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = wall_ms();
            let level = record.level().as_str().to_ascii_lowercase();
            match BUDGET.take_suppressed() {
                0 => out.finish(format_args!(
                    "at={at} level={level} process={process} host={host} {message}"
                )),
                n => out.finish(format_args!(
                    "at={at} level={level} process={process} host={host} {message} left_out={n}"
                )),
            }
        })
        .filter(|metadata| BUDGET.allows(metadata.level(), wall_ms() / 1_000))
        .level(LevelFilter::Warn)
        .level_for("stoatjunction_net", level)
        .level_for("stoatjunction_entry", level)
        .level_for("stoatjunction_gateway", level)
        .level_for("stoatjunction_platform", level)
        .level_for("stoatjunction_dispatcher", level)
        .level_for("stoatjunction_standin", level)
        .level_for("stoatjunction_bench", level)
        .chain(std::io::stderr());
    let _already_started = dispatch.apply();
}
