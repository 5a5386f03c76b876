//! The demo command: all daemons and stand-ins in one process, under a short mixed load.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::task::JoinSet;

use crate::client::{ClientResponse, send};
use crate::fleet::LocalFleet;
use crate::layout::{Layout, secret};
use crate::mix::{SampleRequest, draw_sample_request};

/// Results of one tier.
#[derive(Debug, Default)]
struct TierStats {
    sent: usize,
    complete: usize,
    refused: IndexMap<u16, usize>,
    wrong: usize,
    first_ms: Vec<u64>,
}

/// Starts `layout`, sends `requests` mixed requests and prints a summary by tier. With `stay` it
/// keeps serving until the process is interrupted.
///
/// # Errors
///
/// Returns a report if a component cannot be started, or if a response is neither the complete
/// answer to its request nor a refusal.
pub async fn run(layout: Layout, requests: usize, stay: bool) -> miette::Result<()> {
    let fleet = LocalFleet::start(layout).await?;
    print_example_request(&fleet);
    let tier_stats = send_requests(&fleet, requests).await;
    print_summary(&fleet.environment.layout, &tier_stats);
    if stay {
        println!("\nServing until interrupted.");
        let _ = tokio::signal::ctrl_c().await;
    }
    let drained = fleet.stop().await;
    println!("stopped; all requests drained: {drained}");
    let wrong: usize = tier_stats.values().map(|t| t.wrong).sum();
    if wrong > 0 {
        return Err(miette::miette!(
            "{wrong} responses were incomplete or did not match their request"
        ));
    }
    Ok(())
}

fn print_example_request(fleet: &LocalFleet) {
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
    println!("\nExample request (the fleet keeps serving only with --stay):");
    println!(
        "  curl -N -H 'Authorization: Bearer {secret}' -H 'X-Deadline-Ms: 8000' \\\n    \
         -d '{{\"prompt\":\"hello\",\"tag\":\"mine\",\"max_tokens\":20}}' \\\n    \
         http://{}/v1/services/{service}/{kind}\n",
        host.gateway_addr()
    );
}

async fn send_requests(fleet: &LocalFleet, requests: usize) -> IndexMap<usize, TierStats> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tasks: JoinSet<(SampleRequest, std::io::Result<ClientResponse>)> = JoinSet::new();
    for n in 0..requests {
        let sample_request = draw_sample_request(&fleet.environment.layout, &mut rng, n);
        let addr = fleet.hosts[n % fleet.hosts.len()].gateway_addr();
        tasks.spawn(async move {
            let res = send(&addr, &sample_request.request).await;
            (sample_request, res)
        });
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut tier_stats: IndexMap<usize, TierStats> = IndexMap::new();
    while let Some(Ok((sample_request, res))) = tasks.join_next().await {
        record_response(
            tier_stats.entry(sample_request.tier).or_default(),
            &sample_request,
            res,
        );
    }
    tier_stats.sort_keys();
    tier_stats
}

fn record_response(
    stats: &mut TierStats,
    sample_request: &SampleRequest,
    res: std::io::Result<ClientResponse>,
) {
    stats.sent += 1;
    match res {
        Ok(res) if sample_request.is_answered_by(&res) => {
            stats.complete += 1;
            stats
                .first_ms
                .push(res.time_to_first_byte.as_millis() as u64);
        }
        Ok(res) if res.problem().is_some() => *stats.refused.entry(res.code()).or_default() += 1,
        _ => stats.wrong += 1,
    }
}

fn print_summary(layout: &Layout, tier_stats: &IndexMap<usize, TierStats>) {
    println!(
        "{:<12} {:>5} {:>6} {:>8} {:>6} {:>14}",
        "tier", "sent", "whole", "refused", "wrong", "first p50 ms"
    );
    for (tier, t) in tier_stats {
        let mut first = t.first_ms.clone();
        first.sort_unstable();
        let median = first.get(first.len() / 2).copied().unwrap_or(0);
        let refused: usize = t.refused.values().sum();
        println!(
            "{:<12} {:>5} {:>6} {:>8} {:>6} {:>14}",
            layout.tiers[*tier], t.sent, t.complete, refused, t.wrong, median
        );
    }
}
