//! Commands for hosts, shards, the quarantine and upstreams.

use pico_args::Arguments;
use serde_json::{Value, json};
use stoatjunction_net::uri_text::escape;

use crate::admin::{Responses, call_daemons, field_text, print_unresponsive};
use crate::cli::{CommandError, check_no_arguments_left, take_positional, usage_error};
use crate::config::Config;
use crate::output::outln;

/// Runs the command named `command`.
pub async fn run(
    command: &str,
    mut args: Arguments,
    cfg: &Config,
    json: bool,
) -> Result<(), CommandError> {
    match command {
        "hosts" => print_lists(cfg, "hosts", json, print_host, args).await,
        "shards" => print_lists(cfg, "shards", json, print_shard, args).await,
        "quarantine" => match args.subcommand()?.as_deref() {
            Some("release") => {
                let fingerprint = take_positional(&mut args, "FINGERPRINT")?;
                let path = format!("quarantine/release?fingerprint={}", escape(&fingerprint));
                post_change(cfg, &path, args).await
            }
            Some(other) => Err(usage_error(format!("unknown quarantine command `{other}`"))),
            None => print_lists(cfg, "quarantine", json, print_verdict, args).await,
        },
        "drain" | "undrain" => {
            let upstream = take_positional(&mut args, "UPSTREAM")?;
            let path = format!("upstreams/{command}?name={}", escape(&upstream));
            post_change(cfg, &path, args).await
        }
        other => Err(usage_error(format!("unknown command `{other}`"))),
    }
}

/// Prints the items that each dispatcher lists under `path`.
async fn print_lists<F>(
    cfg: &Config,
    path: &str,
    json: bool,
    print_item: F,
    args: Arguments,
) -> Result<(), CommandError>
where
    F: Fn(&str, &Value),
{
    check_no_arguments_left(args)?;
    let responses = call_daemons(cfg, "dispatcher", "GET", path).await;
    for (endpoint, response) in &responses {
        let Some(response) = response else { continue };
        if json {
            outln!("{}", json!({"process": endpoint.name, path: response}));
            continue;
        }
        for item in response.as_array().into_iter().flatten() {
            print_item(&endpoint.name, item);
        }
    }
    print_unresponsive(&responses);
    Ok(())
}

/// Posts a change to every dispatcher and prints the first successful response. One success is
/// enough, because the dispatchers gossip the change.
async fn post_change(cfg: &Config, path: &str, args: Arguments) -> Result<(), CommandError> {
    check_no_arguments_left(args)?;
    let responses: Responses = call_daemons(cfg, "dispatcher", "POST", path).await;
    let first = responses
        .iter()
        .find_map(|(e, r)| r.as_ref().map(|r| (e, r)));
    print_unresponsive(&responses);
    match first {
        Some((endpoint, response)) => {
            outln!("{}: {response}", endpoint.name);
            Ok(())
        }
        None => Err(miette::miette!("no dispatcher accepted the change").into()),
    }
}

fn print_host(dispatcher: &str, host: &Value) {
    outln!(
        "{dispatcher:<24} sees {:<16} dc={} bundle={} linked={} stopping={} heard_ms={}",
        field_text(host, "host"),
        field_text(host, "dc"),
        field_text(host, "bundle"),
        field_text(host, "linked"),
        field_text(host, "stopping"),
        field_text(host, "heard_ms")
    );
}

fn print_shard(dispatcher: &str, shard: &Value) {
    outln!(
        "{:<24} at {dispatcher} owned={} queued={} running={}",
        field_text(shard, "shard"),
        field_text(shard, "owned"),
        field_text(shard, "queued"),
        field_text(shard, "running")
    );
    for upstream in shard["upstreams"].as_array().into_iter().flatten() {
        outln!(
            "  {:<16} serving={} running={}/{} foreign={} token_pace_s={:.4}",
            field_text(upstream, "name"),
            field_text(upstream, "serving"),
            field_text(upstream, "running"),
            field_text(upstream, "slots"),
            field_text(upstream, "foreign"),
            upstream["token_pace"].as_f64().unwrap_or(0.0)
        );
    }
}

fn print_verdict(dispatcher: &str, verdict: &Value) {
    let fingerprint = verdict["fingerprint"].as_u64().unwrap_or(0);
    outln!(
        "{dispatcher:<24} {fingerprint:016x} {}",
        field_text(verdict, "standing")
    );
}
