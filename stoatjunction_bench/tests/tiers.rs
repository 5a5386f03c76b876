//! A higher tier's call is never shed while a lower tier's call is still being served.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, engine_request, small_layout, uncancellable_request, wait_until};
use stoatjunction_bench::client::{Got, send};
use stoatjunction_bench::mix::Sample;
use tokio::task::JoinHandle;
use yare::parameterized;

/// Codes by which calls are shed.
const SHED: [u16; 3] = [2001, 2004, 2008];
/// Difference between two observers' times that is allowed for.
const SLACK: Duration = Duration::from_millis(50);
const TIERS: [&str; 4] = ["gold", "silver", "bronze", "batch"];

/// A call as its caller saw it.
struct Seen {
    tier: usize,
    begun: Instant,
    ended: Instant,
    got: Got,
}

type Watched = JoinHandle<Seen>;

fn watch(fleet: &Fleet, host: usize, tier: usize, sample: &Sample) -> Watched {
    let (addr, ask) = (fleet.hosts[host].gateway(), sample.ask.clone());
    tokio::spawn(async move {
        let begun = Instant::now();
        let got = send(&addr, &ask).await.expect("a response comes");
        Seen {
            tier,
            begun: begun + got.first,
            ended: Instant::now(),
            got,
        }
    })
}

/// Four tiers in turn at about three times what the engines can do.
async fn overload(fleet: &Fleet, calls: usize) -> Vec<Watched> {
    let mut watched = Vec::new();
    for n in 0..calls {
        let tier = n % 4;
        let mut sample = engine_request("acme", TIERS[tier], &format!("o{n}"), 60);
        sample.ask.deadline_ms = Some(4_000);
        watched.push(watch(fleet, n % fleet.hosts.len(), tier, &sample));
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    watched
}

async fn all(watched: Vec<Watched>) -> Vec<Seen> {
    let mut seen = Vec::new();
    for w in watched {
        seen.push(w.await.expect("caller runs"));
    }
    seen
}

/// For every call that was shed, no lower tier's call was being served at that time.
fn assert_tier_order(seen: &[Seen]) {
    for shed in seen.iter().filter(|s| SHED.contains(&s.got.code())) {
        let lower = seen.iter().find(|s| {
            let served = s.got.is_answer();
            let then = s.begun + SLACK < shed.ended && shed.ended + SLACK < s.ended;
            s.tier > shed.tier && served && then
        });
        let what = lower.map(|l| (l.tier, l.ended - l.begun));
        assert!(
            lower.is_none(),
            "tier {} shed while served: {what:?}",
            shed.tier
        );
    }
}

/// The highest tier alone is within the capacity, so every call of it is answered whole.
fn assert_highest_tier_whole(seen: &[Seen]) {
    let highest: Vec<&Seen> = seen.iter().filter(|s| s.tier == 0).collect();
    let whole = highest.iter().filter(|s| s.got.is_answer()).count();
    assert_eq!(whole, highest.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn four_tiers_at_three_times_the_capacity_keep_their_order() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 4)).await;

    // Act
    let watched = overload(&fleet, 240).await;
    let seen = all(watched).await;

    // Assert
    assert_tier_order(&seen);
    assert_highest_tier_whole(&seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_order_holds_while_the_owner_changes() {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 4)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;

    // Act
    let mut watched = overload(&fleet, 80).await;
    fleet.dispatchers[owner].kill();
    watched.extend(overload(&fleet, 120).await);
    let seen = all(watched).await;

    // Assert
    assert_tier_order(&seen);
    assert_highest_tier_whole(&seen);
}

#[parameterized(
    in_the_same_data_centre = { 1 },
    in_another_data_centre_only = { 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lower_tier_running_everywhere_gives_way(dcs: usize) {
    // Arrange
    let fleet = Fleet::start(small_layout(dcs, 1, 1)).await;
    let mut blockers = Vec::new();
    if dcs == 2 {
        // The caller's own data centre is full with its own tier.
        for n in 0..2 {
            let sample = uncancellable_request("acme", "gold", &format!("own{n}"), 800);
            blockers.push(fleet.spawn_request(0, &sample.ask));
        }
        wait_until("the own data centre is full", || async {
            fleet.active_requests() == 2
        })
        .await;
    }
    let lower: Vec<Sample> = (0..2)
        .map(|n| engine_request("bolt", "batch", &format!("low{n}"), 1_000))
        .collect();
    let served: Vec<_> = lower
        .iter()
        .map(|s| fleet.spawn_request(dcs - 1, &s.ask))
        .collect();
    wait_until("all slots are taken", || async {
        fleet.active_requests() == 2 * dcs as u32
    })
    .await;

    // Act
    let mut sample = engine_request("acme", "gold", "high", 50);
    sample.ask.deadline_ms = Some(3_000);
    let got = fleet.get(0, &sample.ask).await;

    // Assert
    assert!(sample.is_answered_by(&got), "{got:?}");
    let cancelled: usize = fleet
        .world
        .upstreams
        .values()
        .map(|u| u.record().cancelled.len())
        .sum();
    assert_eq!(cancelled, 1, "one run gives way");
    drop((served, blockers));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_storm_of_the_lowest_tier_does_not_reach_the_highest() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 2)).await;
    let storm: Vec<_> = (0..40)
        .map(|n| {
            let addr = fleet.hosts[n % 2].gateway();
            let mut sample = engine_request("bolt", "batch", &format!("storm{n}"), 100);
            sample.ask.deadline_ms = Some(2_000);
            tokio::spawn(async move {
                // It ignores Retry-After and comes back at once.
                loop {
                    let _ = send(&addr, &sample.ask).await;
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
    let mut whole = 0;
    for n in 0..30 {
        let mut sample = engine_request("acme", "gold", &format!("calm{n}"), 20);
        sample.ask.deadline_ms = Some(4_000);
        whole += usize::from(sample.is_answered_by(&fleet.get(n % 2, &sample.ask).await));
    }
    storm.iter().for_each(|s| s.abort());

    // Assert
    assert_eq!(whole, 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_organisation_does_not_crowd_out_a_small_one() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 2)).await;
    let crowd: Vec<_> = (0..120)
        .map(|n| {
            let mut sample = engine_request("acme", "gold", &format!("crowd{n}"), 60);
            sample.ask.deadline_ms = Some(6_000);
            fleet.spawn_request(0, &sample.ask)
        })
        .collect();
    wait_until("the slots are full", || async {
        fleet.active_requests() == 4
    })
    .await;

    // Act
    let few: Vec<Sample> = (0..6)
        .map(|n| engine_request("bolt", "gold", &format!("few{n}"), 60))
        .collect();
    let asked: Vec<_> = few
        .iter()
        .map(|s| {
            let mut ask = s.ask.clone();
            ask.deadline_ms = Some(6_000);
            fleet.spawn_request(0, &ask)
        })
        .collect();

    // Assert
    for (sample, asked) in few.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
    crowd.iter().for_each(|c| c.abort());
}
