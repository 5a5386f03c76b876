//! A request is never shed while a request of a lower tier is being served.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, engine_request, small_layout, uncancellable_request, wait_until};
use stoatjunction_bench::client::{ClientResponse, send};
use stoatjunction_bench::mix::SampleRequest;
use tokio::task::JoinHandle;
use yare::parameterized;

/// Codes of the refusals that shed a request.
const SHED: [u16; 3] = [2001, 2004, 2008];
/// Tolerated difference between the times that two callers observe.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(50);
const TIERS: [&str; 4] = ["gold", "silver", "bronze", "batch"];

/// A response and its times, as the caller observed them.
struct Observation {
    tier: usize,
    answer_started_at: Instant,
    ended_at: Instant,
    response: ClientResponse,
}

type ObservedRequest = JoinHandle<Observation>;

fn observe(
    fleet: &Fleet,
    host: usize,
    tier: usize,
    sample_request: &SampleRequest,
) -> ObservedRequest {
    let (addr, request) = (
        fleet.hosts[host].gateway_addr(),
        sample_request.request.clone(),
    );
    tokio::spawn(async move {
        let sent_at = Instant::now();
        let response = send(&addr, &request).await.expect("response is received");
        Observation {
            tier,
            answer_started_at: sent_at + response.time_to_first_byte,
            ended_at: Instant::now(),
            response,
        }
    })
}

/// Sends `count` requests of four tiers in turn, at about three times the capacity of the engines.
async fn send_overload(fleet: &Fleet, count: usize) -> Vec<ObservedRequest> {
    let mut pending = Vec::new();
    for n in 0..count {
        let tier = n % 4;
        let mut sample_request = engine_request("acme", TIERS[tier], &format!("o{n}"), 60);
        sample_request.request.deadline_ms = Some(4_000);
        pending.push(observe(fleet, n % fleet.hosts.len(), tier, &sample_request));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    pending
}

async fn await_all(pending: Vec<ObservedRequest>) -> Vec<Observation> {
    let mut observations = Vec::new();
    for request in pending {
        observations.push(request.await.expect("request task does not panic"));
    }
    observations
}

/// Asserts that no request of a lower tier was being served when a request was shed.
fn assert_tier_order(observations: &[Observation]) {
    for shed in observations
        .iter()
        .filter(|o| SHED.contains(&o.response.code()))
    {
        let lower = observations.iter().find(|o| {
            let answered = o.response.is_answer();
            let at_that_time = o.answer_started_at + CLOCK_TOLERANCE < shed.ended_at
                && shed.ended_at + CLOCK_TOLERANCE < o.ended_at;
            o.tier > shed.tier && answered && at_that_time
        });
        let running_lower = lower.map(|l| (l.tier, l.ended_at - l.answer_started_at));
        assert!(
            lower.is_none(),
            "tier {} was shed while a lower tier was served (tier, duration): {running_lower:?}",
            shed.tier
        );
    }
}

/// Asserts that every request of the highest tier, which alone is within the capacity, is answered
/// completely.
fn assert_highest_tier_answered(observations: &[Observation]) {
    let highest: Vec<&Observation> = observations.iter().filter(|o| o.tier == 0).collect();
    let answered = highest.iter().filter(|o| o.response.is_answer()).count();
    assert_eq!(answered, highest.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn four_tiers_are_shed_in_order_at_three_times_the_capacity() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;

    // Act
    let pending = send_overload(&fleet, 240).await;
    let observations = await_all(pending).await;

    // Assert
    assert_tier_order(&observations);
    assert_highest_tier_answered(&observations);
}

#[tokio::test(flavor = "multi_thread")]
async fn tiers_are_shed_in_order_while_the_shard_owner_changes() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;

    // Act
    let mut pending = send_overload(&fleet, 80).await;
    fleet.dispatchers[owner].kill();
    pending.extend(send_overload(&fleet, 120).await);
    let observations = await_all(pending).await;

    // Assert
    assert_tier_order(&observations);
    assert_highest_tier_answered(&observations);
}

#[parameterized(
    in_the_same_data_centre = { 1 },
    in_another_data_centre_only = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lower_tier_that_fills_all_slots_is_preempted(dcs: usize) {
    // Arrange
    let fleet = Fleet::start(small_layout(dcs, 1, 1)).await;
    let mut pending_blockers = Vec::new();
    if dcs == 2 {
        // Uncancellable requests of the same tier fill the caller's data centre.
        for n in 0..2 {
            let sample_request = uncancellable_request("acme", "gold", &format!("own{n}"), 800);
            pending_blockers.push(fleet.spawn_request(0, &sample_request.request));
        }
        wait_until("the caller's data centre is full", || async {
            fleet.active_requests() == 2
        })
        .await;
    }
    let lower: Vec<SampleRequest> = (0..2)
        .map(|n| engine_request("bolt", "batch", &format!("low{n}"), 1_000))
        .collect();
    let pending_lower: Vec<_> = lower
        .iter()
        .map(|s| fleet.spawn_request(dcs - 1, &s.request))
        .collect();
    wait_until("all slots are taken", || async {
        fleet.active_requests() == 2 * dcs as u32
    })
    .await;

    // Act
    let mut sample_request = engine_request("acme", "gold", "high", 50);
    sample_request.request.deadline_ms = Some(3_000);
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    assert!(sample_request.is_answered_by(&response), "{response:?}");
    let cancelled: usize = fleet
        .environment
        .upstreams
        .values()
        .map(|u| u.record().cancelled.len())
        .sum();
    assert_eq!(cancelled, 1, "one run is preempted");
    drop((pending_lower, pending_blockers));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_storm_of_the_lowest_tier_does_not_affect_the_highest() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let storm_tasks: Vec<_> = (0..40)
        .map(|n| {
            let addr = fleet.hosts[n % 2].gateway_addr();
            let mut sample_request = engine_request("bolt", "batch", &format!("storm{n}"), 100);
            sample_request.request.deadline_ms = Some(2_000);
            tokio::spawn(async move {
                // Ignores Retry-After and retries 5 ms after each response.
                loop {
                    let _ = send(&addr, &sample_request.request).await;
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            })
        })
        .collect();
    wait_until("the slots are full", || async {
        fleet.active_requests() >= 4
    })
    .await;

    // Act
    let mut answered = 0;
    for n in 0..30 {
        let mut sample_request = engine_request("acme", "gold", &format!("calm{n}"), 20);
        sample_request.request.deadline_ms = Some(4_000);
        answered += usize::from(
            sample_request.is_answered_by(&fleet.get(n % 2, &sample_request.request).await),
        );
    }
    storm_tasks.iter().for_each(|t| t.abort());

    // Assert
    assert_eq!(answered, 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_organisation_does_not_starve_a_small_one() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let pending_large: Vec<_> = (0..120)
        .map(|n| {
            let mut sample_request = engine_request("acme", "gold", &format!("crowd{n}"), 60);
            sample_request.request.deadline_ms = Some(6_000);
            fleet.spawn_request(0, &sample_request.request)
        })
        .collect();
    wait_until("the slots are full", || async {
        fleet.active_requests() == 4
    })
    .await;

    // Act
    let small_sample_requests: Vec<SampleRequest> = (0..6)
        .map(|n| engine_request("bolt", "gold", &format!("few{n}"), 60))
        .collect();
    let pending_small: Vec<_> = small_sample_requests
        .iter()
        .map(|s| {
            let mut request = s.request.clone();
            request.deadline_ms = Some(6_000);
            fleet.spawn_request(0, &request)
        })
        .collect();

    // Assert
    for (sample_request, pending) in small_sample_requests.iter().zip(pending_small) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(sample_request.is_answered_by(&response), "{response:?}");
    }
    pending_large.iter().for_each(|p| p.abort());
}
