//! Logs: one line of `key=value` pairs for each event, to standard error.

use log::LevelFilter;

use crate::clock::wall_ms;

/// Sends log lines at `level` and above to standard error, marked with `process` and `host`.
/// Later calls in the same process change nothing.
pub fn start(level: LevelFilter, process: &'static str, host: &str) {
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            let at = wall_ms();
            let level = record.level().as_str().to_ascii_lowercase();
            out.finish(format_args!(
                "at={at} level={level} process={process} host={host} {message}"
            ));
        })
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
