//! A call that may not be repeated takes effect once at most.

mod common;

use std::time::Duration;

use common::{Fleet, book, small, talk, until};
use nix::sys::signal::Signal;
use stoatjunction_standin::object_api::ObjectFaults;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

async fn claimed(fleet: &Fleet) {
    let api = &fleet.world.objects.api;
    until("the key is claimed", || async {
        !api.keys("claim/").is_empty()
    })
    .await;
}

/// A fleet of two hosts whose dispatchers are frozen, so that a claimed order waits for its grant.
async fn fleet_without_grants() -> Fleet {
    let fleet = Fleet::start_with(small(1, 2, 2), |_, cfg| {
        cfg.link.timeout = Duration::from_secs(30);
    })
    .await;
    fleet
        .dispatchers
        .iter()
        .for_each(|d| d.signal(Signal::SIGSTOP));
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_every_entry_host_at_once_runs_once() {
    // Arrange
    let fleet = Fleet::start(small(2, 2, 2)).await;
    let sample = book("k1", "parallel", 200);

    // Act
    let asked: Vec<_> = (0..8).map(|n| fleet.ask(n % 4, &sample.ask)).collect();

    // Assert
    let mut answers = 0;
    for asked in asked {
        let got = asked.await.expect("caller runs").expect("a response comes");
        answers += usize::from(sample.is_answered_by(&got));
        assert!(sample.is_answered_by(&got) || got.code() == 4001, "{got:?}");
    }
    assert!(answers >= 1);
    assert_eq!(fleet.world.starts_of("parallel"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_gets_the_first_answer_and_another_body_a_conflict() {
    // Arrange
    let fleet = Fleet::start(small(1, 2, 2)).await;
    let sample = book("k2", "sequence", 10);
    let other = book("k2", "another", 10);
    assert!(sample.is_answered_by(&fleet.get(0, &sample.ask).await));
    let api = &fleet.world.objects.api;
    until("the answer is kept", || async {
        let keys = api.keys("claim/");
        keys.iter()
            .any(|k| api.value(k).is_some_and(|v| v.contains("done")))
    })
    .await;

    // Act
    let again = fleet.get(1, &sample.ask).await;
    let conflict = fleet.get(1, &other.ask).await;

    // Assert
    assert!(sample.is_answered_by(&again), "{again:?}");
    assert_eq!(conflict.code(), 4003);
    assert_eq!(fleet.world.starts_of("sequence"), 1);
    assert_eq!(fleet.world.starts_of("another"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_killed_between_claim_and_dispatch_leaves_nothing_to_run() {
    // Arrange
    let mut fleet = fleet_without_grants().await;
    let mut sample = book("k3", "unsent", 10);
    sample.ask.deadline_ms = Some(1_500);
    let asked = fleet.ask(0, &sample.ask);
    claimed(&fleet).await;

    // Act
    fleet.gateways[0].kill();
    fleet
        .dispatchers
        .iter()
        .for_each(|d| d.signal(Signal::SIGCONT));
    let _ = asked.await;
    let again = fleet.get(1, &sample.ask).await;
    let api = fleet.hosts[1].clone();
    until("the holder counts as gone", || async {
        let got = stoatjunction_bench::client::send(&api.gateway(), &sample.ask).await;
        got.is_ok_and(|g| g.code() == 4002)
    })
    .await;

    // Assert
    assert!(matches!(again.code(), 4001 | 4002), "{again:?}");
    assert_eq!(fleet.world.starts_of("unsent"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_killed_after_dispatch_is_not_repeated() {
    // Arrange
    let mut fleet = Fleet::start(small(1, 2, 2)).await;
    let sample = book("k4", "sent", 1_000);
    let asked = fleet.ask(0, &sample.ask);
    until("the order runs", || async {
        fleet.world.starts_of("sent") == 1
    })
    .await;

    // Act
    fleet.gateways[0].kill();
    let _ = asked.await;
    let other_host = fleet.get(1, &sample.ask).await;
    fleet.gateways[0].restart();
    let host = fleet.hosts[0].gateway();
    stoatjunction_bench::fleet::wait_ready(&host)
        .await
        .expect("it comes back");
    let same_host = fleet.get(0, &sample.ask).await;

    // Assert
    assert_eq!(other_host.code(), 4001, "{other_host:?}");
    assert_eq!(same_host.code(), 4002, "{same_host:?}");
    assert_eq!(fleet.world.starts_of("sent"), 1);
}

#[parameterized(
    refusing = { ObjectFaults { outage: true, ..ObjectFaults::default() } },
    hanging = { ObjectFaults { hang: true, ..ObjectFaults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn without_the_platform_orders_are_refused_as_not_run_and_the_rest_goes_on(
    faults: ObjectFaults,
) {
    // Arrange
    let fleet = Fleet::start(small(1, 1, 2)).await;
    fleet.world.objects.api.set_faults(faults);
    let mut order = book("k5", "refused", 10);
    order.ask.deadline_ms = Some(1_500);
    let question = talk("acme", "gold", "goes-on", 10);

    // Act
    let refused = fleet.get(0, &order.ask).await;
    let answered = fleet.get(0, &question.ask).await;

    // Assert
    let problem = refused.problem().expect("a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (4004, "not_run"));
    assert!(refused.retry_after.is_some());
    assert!(question.is_answered_by(&answered), "{answered:?}");
    assert_eq!(fleet.world.starts_of("refused"), 0);
}

#[parameterized(
    answer_lost = { ObjectFaults { lose_responses: 1, ..ObjectFaults::default() } },
    two_answers_lost = { ObjectFaults { lose_responses: 2, ..ObjectFaults::default() } },
    write_lost = { ObjectFaults { lose_writes: 1, ..ObjectFaults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lost_answer_of_the_platform_is_settled_by_reading_back(faults: ObjectFaults) {
    // Arrange
    let fleet = Fleet::start(small(1, 2, 2)).await;
    fleet.world.objects.api.set_faults(faults);
    let sample = book("k6", "lost", 10);

    // Act
    let got = fleet.get(0, &sample.ask).await;

    // Assert
    assert!(sample.is_answered_by(&got), "{got:?}");
    assert_eq!(fleet.world.starts_of("lost"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_past_its_deadline_runs_nothing_when_it_wakes() {
    // Arrange
    let fleet = fleet_without_grants().await;
    let mut sample = book("k7", "paused", 10);
    sample.ask.deadline_ms = Some(1_000);
    let asked = fleet.ask(0, &sample.ask);
    claimed(&fleet).await;

    // Act
    fleet.gateways[0].signal(Signal::SIGSTOP);
    fleet
        .dispatchers
        .iter()
        .for_each(|d| d.signal(Signal::SIGCONT));
    let other = fleet.hosts[1].gateway();
    until("the deadline is past for others", || async {
        let got = stoatjunction_bench::client::send(&other, &sample.ask).await;
        got.is_ok_and(|g| g.code() == 4002)
    })
    .await;
    fleet.gateways[0].signal(Signal::SIGCONT);
    let got = asked.await.expect("caller runs").expect("a response comes");

    // Assert
    let problem = got.problem().expect("a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (2003, "not_run"));
    assert_eq!(fleet.world.starts_of("paused"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_killed_in_a_platform_outage_repeats_nothing() {
    // Arrange
    let mut fleet = Fleet::start(small(1, 2, 2)).await;
    let sample = book("k8", "twofold", 1_500);
    let asked = fleet.ask(0, &sample.ask);
    until("the order runs", || async {
        fleet.world.starts_of("twofold") == 1
    })
    .await;

    // Act
    Fleet::set_all(&fleet.platform_proxies, Fault::Cut);
    fleet.gateways[0].kill();
    let _ = asked.await;
    let mut during = sample.clone();
    during.ask.deadline_ms = Some(800);
    let in_outage = fleet.get(1, &during.ask).await;
    Fleet::set_all(&fleet.platform_proxies, Fault::None);
    let after = fleet.get(1, &sample.ask).await;

    // Assert
    assert_eq!(in_outage.code(), 4004, "{in_outage:?}");
    assert!(matches!(after.code(), 4001 | 4002), "{after:?}");
    assert_eq!(fleet.world.starts_of("twofold"), 1);
}
