//! The `timeline` command: merges the events of all processes, sorted by time.

use pico_args::Arguments;
use stoatjunction_net::event::Event;

use crate::admin::{call_daemons, print_unresponsive};
use crate::cli::{CommandError, check_no_arguments_left};
use crate::config::Config;
use crate::output::outln;

/// Selection of the events to print.
#[derive(Debug, Default)]
struct EventFilter {
    request: Option<String>,
    host: Option<String>,
    upstream: Option<String>,
    since_ms: u64,
}

impl EventFilter {
    fn selects(&self, event: &Event) -> bool {
        let fact_matches = |key: &str, wanted: &Option<String>| {
            wanted
                .as_ref()
                .is_none_or(|w| event.facts.get(key) == Some(w))
        };
        fact_matches("request", &self.request)
            && fact_matches("upstream", &self.upstream)
            && self.host.as_ref().is_none_or(|h| event.host == *h)
            && event.wall_ms() >= self.since_ms
    }
}

/// Runs the `timeline` command.
pub async fn run(mut args: Arguments, cfg: &Config, json: bool) -> Result<(), CommandError> {
    let filter = EventFilter {
        request: args.opt_value_from_str("--request")?,
        host: args.opt_value_from_str("--host")?,
        upstream: args.opt_value_from_str("--upstream")?,
        since_ms: args.opt_value_from_str("--since-ms")?.unwrap_or(0),
    };
    check_no_arguments_left(args)?;
    let responses = call_daemons(cfg, "", "GET", "events").await;
    let values = responses.iter().filter_map(|(_, r)| r.clone());
    let all = values
        .filter_map(|v| serde_json::from_value::<Vec<Event>>(v).ok())
        .flatten();
    let mut events: Vec<Event> = all.filter(|e| filter.selects(e)).collect();
    events.sort_by(|a, b| (a.stamp, &a.host).cmp(&(b.stamp, &b.host)));
    for event in &events {
        if json {
            outln!("{}", serde_json::to_string(event).unwrap_or_default());
        } else {
            outln!(
                "{} {}/{} {}",
                event.wall_ms(),
                event.host,
                event.process,
                event.line()
            );
        }
    }
    print_unresponsive(&responses);
    Ok(())
}
