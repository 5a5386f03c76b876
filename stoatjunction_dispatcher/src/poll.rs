//! Polling of upstreams for load reports and cache events.

use std::time::Duration;

use hyper::Request;
use serde::{Deserialize, Serialize};
use stoatjunction_core::shard::LoadReport;
use stoatjunction_core::time::Span;
use stoatjunction_net::bundle::Protocol;
use stoatjunction_net::clock::Clock;
use stoatjunction_net::http::{call, full};
use tokio::sync::mpsc;

use crate::event::Event;

/// Time between two load requests.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a request; an upstream whose load request times out is marked as down.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of load requests per read of the cache events.
const CACHE_EVENTS_ROUNDS: u64 = 4;

/// Body of a load report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LoadReportBody {
    active: u32,
    incarnation: u64,
    age_ms: u64,
    token_pace_s: Option<f64>,
    leaving: bool,
}

/// Body of a cache event response, which only engines serve.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
struct CacheEventsBody {
    last: u64,
    gap: bool,
    evicted: Vec<u32>,
}

/// Polls an upstream until the event receiver is dropped or the task is aborted.
pub(crate) async fn poll(
    clock: Clock,
    upstream: String,
    addr: String,
    protocol: Protocol,
    tx: mpsc::Sender<Event>,
) {
    let mut ticks = tokio::time::interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut seen = 0;
    let mut last_read_at = clock.now();
    for round in 0u64.. {
        ticks.tick().await;
        let event = match get_json::<LoadReportBody>(&addr, "/v1/load").await {
            Some(body) => Event::LoadReport {
                upstream: upstream.clone(),
                report: load_report(&body, clock),
            },
            None => Event::UpstreamDown {
                upstream: upstream.clone(),
            },
        };
        if tx.send(event).await.is_err() {
            return;
        }
        if protocol == Protocol::Plain || round % CACHE_EVENTS_ROUNDS != 0 {
            continue;
        }
        let path = format!("/v1/cache-events?after={seen}");
        let Some(body) = get_json::<CacheEventsBody>(&addr, &path).await else {
            continue;
        };
        seen = body.last;
        let gap_before = body.gap.then_some(last_read_at);
        last_read_at = clock.now();
        let event = Event::CacheEvents {
            upstream: upstream.clone(),
            evicted: body.evicted,
            gap_before,
        };
        if tx.send(event).await.is_err() {
            return;
        }
    }
}

fn load_report(body: &LoadReportBody, clock: Clock) -> LoadReport {
    LoadReport {
        sampled: clock.now().saturating_sub(Span::from_millis(body.age_ms)),
        active: body.active,
        incarnation: body.incarnation,
        token_pace: body.token_pace_s,
        leaving: body.leaving,
    }
}

async fn get_json<T>(addr: &str, path: &str) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let req = Request::get(path)
        .header("host", addr)
        .body(full(""))
        .ok()?;
    let res = call(addr, req, REQUEST_TIMEOUT).await.ok()?;
    if !res.status().is_success() {
        return None;
    }
    serde_json::from_slice(res.body()).ok()
}
