//! The `bundle` commands.

use std::collections::HashSet;
use std::path::Path;

use miette::miette;
use pico_args::Arguments;
use serde_json::json;
use stoatjunction_net::bundle::{Record, RecordState, StoreError, parse};

use crate::admin::{call_daemons, field_text, print_unresponsive};
use crate::cli::{CommandError, check_no_arguments_left, take_positional, usage_error};
use crate::config::Config;
use crate::output::outln;

/// Runs a `bundle` command.
pub async fn run(mut args: Arguments, config: &Path, json: bool) -> Result<(), CommandError> {
    let command = args
        .subcommand()?
        .ok_or_else(|| usage_error("missing bundle command"))?;
    if command == "check" {
        let file = take_positional(&mut args, "FILE")?;
        check_no_arguments_left(args)?;
        return Ok(check_file(&file)?);
    }
    let cfg = Config::load(config)?;
    match command.as_str() {
        "diff" => {
            let file = take_positional(&mut args, "FILE")?;
            check_no_arguments_left(args)?;
            print_diff(&cfg, &file).await?;
        }
        "propose" => {
            let note: String = args.value_from_str("--note")?;
            let file = take_positional(&mut args, "FILE")?;
            check_no_arguments_left(args)?;
            propose(&cfg, &file, &note).await?;
        }
        "approve" => {
            let number = parse_number(&mut args)?;
            check_no_arguments_left(args)?;
            let key = cfg.signing_key()?;
            let store = cfg.bundle_store();
            let approved = store.approve(number, &cfg.operator, &key, &cfg.keys).await;
            print_record(&approved.map_err(to_report)?);
        }
        "accept" => {
            let number = parse_number(&mut args)?;
            check_no_arguments_left(args)?;
            let store = cfg.bundle_store();
            store
                .accept(number, &cfg.operator, &cfg.keys)
                .await
                .map_err(to_report)?;
            outln!("bundle {number} is accepted");
        }
        "history" => {
            check_no_arguments_left(args)?;
            let records = cfg.bundle_store().records().await.map_err(to_report)?;
            if json {
                outln!("{}", json!(records));
            } else {
                records.iter().for_each(print_record);
            }
        }
        "status" => {
            check_no_arguments_left(args)?;
            print_status(&cfg, json).await?;
        }
        other => return Err(usage_error(format!("unknown bundle command `{other}`"))),
    }
    Ok(())
}

fn parse_number(args: &mut Arguments) -> Result<u64, CommandError> {
    let text = take_positional(args, "NUMBER")?;
    text.parse()
        .map_err(|_| usage_error(format!("`{text}` is not a bundle number")))
}

fn to_report(error: StoreError) -> miette::Report {
    miette!("{error}")
}

fn read_file(file: &str) -> miette::Result<String> {
    std::fs::read_to_string(file).map_err(|e| miette!("{file}: {e}"))
}

fn check_file(file: &str) -> miette::Result<()> {
    let bundle = parse(file, &read_file(file)?)?;
    outln!(
        "{file}: valid, {} tiers, {} services, {} kinds, {} upstreams, {} organisations, \
         {} credentials",
        bundle.tiers.len(),
        bundle.services.len(),
        bundle.kinds.len(),
        bundle.upstreams.len(),
        bundle.organisations.len(),
        bundle.credentials.len()
    );
    Ok(())
}

/// Prints the lines that only the accepted bundle or only the file has, each with its section.
async fn print_diff(cfg: &Config, file: &str) -> miette::Result<()> {
    let new = read_file(file)?;
    let store = cfg.bundle_store();
    let (accepted, _) = store.accepted().await.map_err(to_report)?;
    let old = if accepted.number == 0 {
        String::new()
    } else {
        store
            .fetch(accepted.number, &[])
            .await
            .map_err(to_report)?
            .parts
            .concat()
    };
    let (old, new) = (lines_with_section(&old), lines_with_section(&new));
    let (old_set, new_set): (HashSet<&String>, HashSet<&String>) =
        (old.iter().collect(), new.iter().collect());
    outln!("compared with bundle {}:", accepted.number);
    old.iter()
        .filter(|l| !new_set.contains(l))
        .for_each(|l| outln!("- {l}"));
    new.iter()
        .filter(|l| !old_set.contains(l))
        .for_each(|l| outln!("+ {l}"));
    Ok(())
}

/// Returns the lines without comments and blank lines, each prefixed with its section header.
fn lines_with_section(text: &str) -> Vec<String> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for line in text
        .lines()
        .map(str::trim)
        .filter(|l| !l.is_empty() && !l.starts_with(';'))
    {
        if line.starts_with('[') {
            section = line.to_owned();
            lines.push(section.clone());
        } else {
            lines.push(format!("{section} {line}"));
        }
    }
    lines
}

async fn propose(cfg: &Config, file: &str, note: &str) -> miette::Result<()> {
    let text = read_file(file)?;
    parse(file, &text)?;
    let key = cfg.signing_key()?;
    let store = cfg.bundle_store();
    let record = store
        .propose(&text, note, &cfg.operator, &key)
        .await
        .map_err(to_report)?;
    print_record(&record);
    Ok(())
}

fn print_record(record: &Record) {
    let state = match record.state() {
        RecordState::Proposed => "proposed",
        RecordState::Approved => "approved",
    };
    outln!(
        "bundle {} {state}: proposed by {}, approved by {}, {} parts, note: {}",
        record.number,
        record.proposer,
        record.approver.as_deref().unwrap_or("nobody yet"),
        record.parts.len(),
        record.note
    );
}

async fn print_status(cfg: &Config, json: bool) -> miette::Result<()> {
    let accepted = cfg.bundle_store().accepted().await.map(|(a, _)| a);
    let responses = call_daemons(cfg, "", "GET", "status").await;
    let highest = responses
        .iter()
        .filter_map(|(_, r)| r.as_ref()?["bundle"].as_u64())
        .max();
    let target = accepted
        .as_ref()
        .map_or(0, |a| a.number)
        .max(highest.unwrap_or(0));
    if json {
        let processes: Vec<_> = responses
            .iter()
            .map(|(e, r)| json!({"process": e.name, "bundle": r.as_ref().map(|r| &r["bundle"])}))
            .collect();
        outln!("{}", json!({"target": target, "processes": processes}));
        return Ok(());
    }
    match &accepted {
        Ok(a) => outln!("accepted in the platform: bundle {} by {}", a.number, a.by),
        Err(e) => outln!("cannot read the accepted bundle from the platform: {e}"),
    }
    for (endpoint, response) in &responses {
        let Some(response) = response else { continue };
        let lags = response["bundle"].as_u64() != Some(target);
        let suffix = if lags { "  LAGS" } else { "" };
        outln!(
            "{:<28} bundle {}{suffix}",
            endpoint.name,
            field_text(response, "bundle")
        );
    }
    print_unresponsive(&responses);
    Ok(())
}
