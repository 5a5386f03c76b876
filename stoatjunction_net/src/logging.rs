//! Logging to standard error, one line of `key=value` pairs per event. The number of lines per second
//! is limited; the next line that is written carries the number of suppressed lines. Nothing waits for standard error
//! and nothing fails with it: it may be a pipe that nobody reads, or closed.

use std::io::{self, Write};
use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use log::{Level, LevelFilter};

use crate::clock::wall_ms;
use crate::event::quoted;
use crate::log_writer::{LineQueue, LineQueueConfig, LineWriter};

/// Time that the lines of a process get to be written before it ends.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// The same for a panic, which may end the process without returning.
const PANIC_FLUSH_TIME: Duration = Duration::from_millis(100);

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

/// Starts logging at `level` to standard error, with `process` and `host` in each line. Panics are logged, too. Further
/// calls in the same process have no effect.
pub fn start(level: LevelFilter, process: &'static str, host: &str) {
    let host = host.to_owned();
    let lines: Box<dyn Write + Send> = Box::new(LineWriter::new(queue().clone()));
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = wall_ms();
            let level = record.level().as_str().to_ascii_lowercase();
            let message = one_line(message.to_string());
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
        .chain(lines);
    if dispatch.apply().is_ok() {
        panic::set_hook(Box::new(report_panic));
    }
}

/// Returns a message as one line: names of other writers, of which it may hold some, may hold line ends.
fn one_line(message: String) -> String {
    if !message.contains(char::is_control) {
        return message;
    }
    let escaped = message.chars().map(|c| match c.is_control() {
        true => c.escape_default().to_string(),
        false => c.to_string(),
    });
    escaped.collect()
}

/// Writes text to standard error like a log line, also before logging is started.
pub fn report(text: &str) {
    queue().push(format!("{}\n", text.trim_end()).as_bytes());
}

/// Gives the lines that wait a moment to be written; to be called before the process ends.
pub fn finish() {
    if let Some(queue) = QUEUE.get() {
        queue.flush(FLUSH_TIME);
    }
}

/// Writes text to standard output. A reader that is gone is no failure of the command.
pub fn print(text: &str) {
    let mut out = io::stdout().lock();
    let _reader_may_be_gone = writeln!(out, "{text}").and_then(|()| out.flush());
}

static QUEUE: OnceLock<LineQueue> = OnceLock::new();

/// Returns the lines that wait for standard error. Without a thread to write them, they are dropped.
fn queue() -> &'static LineQueue {
    QUEUE.get_or_init(|| {
        let cfg = LineQueueConfig::default();
        let started = LineQueue::start(cfg, io::stderr());
        started.unwrap_or_else(|_| LineQueue::without_output(cfg))
    })
}

/// Logs a panic without the logger, which may be in use at that moment.
fn report_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string);
    let thread = std::thread::current();
    report(&format!(
        "at={} level=error event=panic thread={} place={} message={}",
        wall_ms(),
        thread.name().unwrap_or("-"),
        place.as_deref().unwrap_or("-"),
        quoted(message_of(info)),
    ));
    queue().flush(PANIC_FLUSH_TIME);
}

fn message_of<'a>(info: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = info.payload();
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied())
        .unwrap_or("-")
}
