//! Logging to standard error, one line of `key=value` pairs per event. The number of lines per second
//! is limited; the next line that is written carries the number of suppressed lines.

use std::sync::atomic::{AtomicU64, Ordering};

use log::{Level, LevelFilter};

use crate::clock::wall_ms;

/// Lines per second above which info lines, which report failures and changes, are suppressed.
const INFO_LINES_PER_S: u64 = 80;
/// Lines per second above which debug and trace lines, which report successes, are suppressed.
const DEBUG_LINES_PER_S: u64 = 25;

/// Limits the number of log lines per second.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    second: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

impl LogRateLimiter {
    /// Creates a rate limiter that has not counted any line.
    pub const fn new() -> LogRateLimiter {
        LogRateLimiter {
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Returns true if a line of `level` may be written in the second `now`. Warnings and errors are
    /// always allowed and do not count towards the limits.
    pub fn allows(&self, level: Level, now: u64) -> bool {
        if self.second.swap(now, Ordering::Relaxed) != now {
            self.written.store(0, Ordering::Relaxed);
        }
        let limit = match level {
            Level::Error | Level::Warn => return true,
            Level::Info => INFO_LINES_PER_S,
            Level::Debug | Level::Trace => DEBUG_LINES_PER_S,
        };
        if self.written.load(Ordering::Relaxed) >= limit {
            self.suppressed.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.written.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Returns the number of lines suppressed since the last call.
    pub fn take_suppressed(&self) -> u64 {
        self.suppressed.swap(0, Ordering::Relaxed)
    }
}

static RATE_LIMITER: LogRateLimiter = LogRateLimiter::new();

/// Starts logging at `level` to standard error, with `process` and `host` in each line. Further calls
/// in the same process have no effect.
pub fn start(level: LevelFilter, process: &'static str, host: &str) {
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = wall_ms();
            let level = record.level().as_str().to_ascii_lowercase();
            match RATE_LIMITER.take_suppressed() {
                0 => out.finish(format_args!(
                    "at={at} level={level} process={process} host={host} {message}"
                )),
                n => out.finish(format_args!(
                    "at={at} level={level} process={process} host={host} {message} left_out={n}"
                )),
            }
        })
        .filter(|metadata| RATE_LIMITER.allows(metadata.level(), wall_ms() / 1_000))
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
