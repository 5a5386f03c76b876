//! Commands about bundles.

use std::collections::HashSet;
use std::path::Path;

use miette::miette;
use pico_args::Arguments;
use serde_json::json;
use stoatjunction_net::bundle::{Record, RecordState, StoreError, parse};

use crate::admin::{ask_all, print_silent, text};
use crate::cli::{Failure, done, free, usage};
use crate::config::Config;

/// Runs `bundle ...`.
pub async fn run(mut args: Arguments, config: &Path, json: bool) -> Result<(), Failure> {
    let command = args
        .subcommand()?
        .ok_or_else(|| usage("a bundle command is needed"))?;
    if command == "check" {
        let file = free(&mut args, "FILE")?;
        done(args)?;
        return Ok(check(&file)?);
    }
    let cfg = Config::load(config)?;
    match command.as_str() {
        "diff" => {
            let file = free(&mut args, "FILE")?;
            done(args)?;
            diff(&cfg, &file).await?;
        }
        "propose" => {
            let note: String = args.value_from_str("--note")?;
            let file = free(&mut args, "FILE")?;
            done(args)?;
            propose(&cfg, &file, &note).await?;
        }
        "approve" => {
            let number = number(&mut args)?;
            done(args)?;
            let key = cfg.signing_key()?;
            let store = cfg.bundles();
            let approved = store.approve(number, &cfg.operator, &key, &cfg.keys).await;
            print_record(&approved.map_err(report)?);
        }
        "accept" => {
            let number = number(&mut args)?;
            done(args)?;
            let store = cfg.bundles();
            store
                .accept(number, &cfg.operator, &cfg.keys)
                .await
                .map_err(report)?;
            println!("bundle {number} is accepted");
        }
        "history" => {
            done(args)?;
            let records = cfg.bundles().records().await.map_err(report)?;
            if json {
                println!("{}", json!(records));
            } else {
                records.iter().for_each(print_record);
            }
        }
        "status" => {
            done(args)?;
            status(&cfg, json).await?;
        }
        other => return Err(usage(format!("no bundle command `{other}`"))),
    }
    Ok(())
}

fn number(args: &mut Arguments) -> Result<u64, Failure> {
    let text = free(args, "NUMBER")?;
    text.parse()
        .map_err(|_| usage(format!("`{text}` is not a number")))
}

fn report(error: StoreError) -> miette::Report {
    miette!("{error}")
}

fn read(file: &str) -> miette::Result<String> {
    std::fs::read_to_string(file).map_err(|e| miette!("{file}: {e}"))
}

fn check(file: &str) -> miette::Result<()> {
    let bundle = parse(file, &read(file)?)?;
    println!(
        "{file}: in order, {} tiers, {} services, {} kinds, {} upstreams, {} organisations, \
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

/// Prints the lines of either side that the other lacks, each with its section.
async fn diff(cfg: &Config, file: &str) -> miette::Result<()> {
    let new = read(file)?;
    let store = cfg.bundles();
    let (accepted, _) = store.accepted().await.map_err(report)?;
    let old = if accepted.number == 0 {
        String::new()
    } else {
        store
            .fetch(accepted.number, &[])
            .await
            .map_err(report)?
            .parts
            .concat()
    };
    let (old, new) = (with_sections(&old), with_sections(&new));
    let (old_set, new_set): (HashSet<&String>, HashSet<&String>) =
        (old.iter().collect(), new.iter().collect());
    println!("against bundle {}:", accepted.number);
    old.iter()
        .filter(|l| !new_set.contains(l))
        .for_each(|l| println!("- {l}"));
    new.iter()
        .filter(|l| !old_set.contains(l))
        .for_each(|l| println!("+ {l}"));
    Ok(())
}

fn with_sections(text: &str) -> Vec<String> {
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
    let text = read(file)?;
    parse(file, &text)?;
    let key = cfg.signing_key()?;
    let store = cfg.bundles();
    let record = store
        .propose(&text, note, &cfg.operator, &key)
        .await
        .map_err(report)?;
    print_record(&record);
    Ok(())
}

fn print_record(record: &Record) {
    let state = match record.state() {
        RecordState::Proposed => "proposed",
        RecordState::Approved => "approved",
    };
    println!(
        "bundle {} {state}: proposed by {}, approved by {}, {} parts, note: {}",
        record.number,
        record.proposer,
        record.approver.as_deref().unwrap_or("nobody yet"),
        record.parts.len(),
        record.note
    );
}

async fn status(cfg: &Config, json: bool) -> miette::Result<()> {
    let accepted = cfg.bundles().accepted().await.map(|(a, _)| a);
    let answers = ask_all(cfg, "", "GET", "status").await;
    let highest = answers
        .iter()
        .filter_map(|(_, a)| a.as_ref()?["bundle"].as_u64())
        .max();
    let target = accepted
        .as_ref()
        .map_or(0, |a| a.number)
        .max(highest.unwrap_or(0));
    if json {
        let hosts: Vec<_> = answers
            .iter()
            .map(|(e, a)| json!({"process": e.name, "bundle": a.as_ref().map(|a| &a["bundle"])}))
            .collect();
        println!("{}", json!({"target": target, "processes": hosts}));
        return Ok(());
    }
    match &accepted {
        Ok(a) => println!("accepted in the platform: bundle {} by {}", a.number, a.by),
        Err(e) => println!("the platform gives no answer: {e}"),
    }
    for (endpoint, answer) in &answers {
        let Some(answer) = answer else { continue };
        let lags = answer["bundle"].as_u64() != Some(target);
        let mark = if lags { "  LAGS" } else { "" };
        println!(
            "{:<28} bundle {}{mark}",
            endpoint.name,
            text(answer, "bundle")
        );
    }
    print_silent(&answers);
    Ok(())
}
