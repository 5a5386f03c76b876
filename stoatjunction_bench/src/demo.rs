//! The whole path inside one process, with a short mixed load and a summary by tier.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::task::JoinSet;

use crate::client::{ClientResponse, send};
use crate::fleet::LocalFleet;
use crate::layout::{Layout, secret};
use crate::mix::{SampleRequest, sample_request};

/// Results of one tier.
#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    whole: usize,
    refused: IndexMap<u16, usize>,
    wrong: usize,
    first_ms: Vec<u64>,
}

/// Brings `layout` up, sends `requests` mixed requests and prints what came of them. With `stay`
/// it goes on serving until the process is interrupted.
///
/// # Errors
///
/// A report when something cannot be started, or when an answer was not that of its request.
pub async fn run(layout: Layout, requests: usize, stay: bool) -> miette::Result<()> {
    let fleet = LocalFleet::start(layout).await?;
    print_how_to_call(&fleet);
    let tallies = load(&fleet, requests).await;
    print_summary(&fleet.environment.layout, &tallies);
    if stay {
        println!("\nServing until interrupted.");
        let _ = tokio::signal::ctrl_c().await;
    }
    let drained = fleet.stop().await;
    println!("stopped, everything drained: {drained}");
    let wrong: usize = tallies.values().map(|t| t.wrong).sum();
    if wrong > 0 {
        return Err(miette::miette!(
            "{wrong} answers were not whole or not their request's own"
        ));
    }
    Ok(())
}

fn print_how_to_call(fleet: &LocalFleet) {
    let layout = &fleet.environment.layout;
    println!("{} entry hosts are ready:", fleet.hosts.len());
    for host in &fleet.hosts {
        println!("  {:<18} http://{}", host.name, host.gateway_addr());
    }
    let Some(host) = fleet.hosts.first() else {
        return;
    };
    let (service, kind) = layout.kinds[0].name.split_once('.').unwrap_or_default();
    let secret = secret(layout.organisations[0].0, layout.tiers[0]);
    println!("\nCall it (with --stay, while it serves):");
    println!(
        "  curl -N -H 'Authorization: Bearer {secret}' -H 'X-Deadline-Ms: 8000' \\\n    \
         -d '{{\"prompt\":\"hello\",\"tag\":\"mine\",\"max_tokens\":20}}' \\\n    \
         http://{}/v1/services/{service}/{kind}\n",
        host.gateway_addr()
    );
}

async fn load(fleet: &LocalFleet, requests: usize) -> IndexMap<usize, Tally> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tasks: JoinSet<(SampleRequest, std::io::Result<ClientResponse>)> = JoinSet::new();
    for n in 0..requests {
        let sample = sample_request(&fleet.environment.layout, &mut rng, n);
        let addr = fleet.hosts[n % fleet.hosts.len()].gateway_addr();
        tasks.spawn(async move {
            let res = send(&addr, &sample.request).await;
            (sample, res)
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut tallies: IndexMap<usize, Tally> = IndexMap::new();
    while let Some(Ok((sample, res))) = tasks.join_next().await {
        count(tallies.entry(sample.tier).or_default(), &sample, res);
    }
    tallies.sort_keys();
    tallies
}

fn count(tally: &mut Tally, sample: &SampleRequest, res: std::io::Result<ClientResponse>) {
    tally.sent += 1;
    match res {
        Ok(res) if sample.is_answered_by(&res) => {
            tally.whole += 1;
            tally
                .first_ms
                .push(res.time_to_first_byte.as_millis() as u64);
        }
        Ok(res) if res.problem().is_some() => *tally.refused.entry(res.code()).or_default() += 1,
        _ => tally.wrong += 1,
    }
}

fn print_summary(layout: &Layout, tallies: &IndexMap<usize, Tally>) {
    println!(
        "{:<12} {:>5} {:>6} {:>8} {:>6} {:>14}",
        "tier", "sent", "whole", "refused", "wrong", "first p50 ms"
    );
    for (tier, t) in tallies {
        let mut first = t.first_ms.clone();
        first.sort_unstable();
        let median = first.get(first.len() / 2).copied().unwrap_or(0);
        let refused: usize = t.refused.values().sum();
        println!(
            "{:<12} {:>5} {:>6} {:>8} {:>6} {:>14}",
            layout.tiers[*tier], t.sent, t.whole, refused, t.wrong, median
        );
    }
}
