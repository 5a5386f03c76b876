//! Each request is dispatched to an engine at most once.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_bench::mix::Sample;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

/// More requests than slots, so that some run, some are granted and some queue.
fn batch(count: usize, tokens: u32) -> Vec<Sample> {
    (0..count)
        .map(|n| engine_request("acme", "gold", &format!("once-{n}"), tokens))
        .collect()
}

async fn answers_once(fleet: &Fleet, samples: &[Sample], asked: Vec<Asked>) {
    for (sample, asked) in samples.iter().zip(asked) {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{}: {got:?}", sample.tag);
        assert_eq!(fleet.world.starts_of(&sample.tag), 1, "{}", sample.tag);
    }
}

type Asked = tokio::task::JoinHandle<std::io::Result<stoatjunction_bench::client::Got>>;

#[derive(Clone, Copy)]
enum Harm {
    Kill,
    Freeze,
    Silence,
}

#[parameterized(
    killed = { Harm::Kill },
    frozen_then_woken = { Harm::Freeze },
    link_silent = { Harm::Silence },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_lost_owner_costs_no_answer_and_no_second_run(harm: Harm) {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 1)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let samples = batch(8, 60);
    let asked: Vec<Asked> = samples
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 2, &s.ask))
        .collect();
    wait_until("both engines are at work", || async {
        fleet.active_requests() == 2
    })
    .await;

    // Act
    match harm {
        Harm::Kill => fleet.dispatchers[owner].kill(),
        Harm::Freeze => fleet.dispatchers[owner].signal(Signal::SIGSTOP),
        Harm::Silence => {
            fleet.dispatcher_proxies[owner].set_fault(Fault::FreezeExisting);
            fleet.local_dispatcher_proxies[owner].set_fault(Fault::FreezeExisting);
        }
    }
    if let Harm::Freeze = harm {
        let other = fleet.hosts[1 - owner].gateway_admin();
        wait_until("the freeze is noticed", || {
            fleet.has_event(&other, "dispatcher_gone")
        })
        .await;
        fleet.dispatchers[owner].signal(Signal::SIGCONT);
    }

    // Assert
    answers_once(&fleet, &samples, asked).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_owners_at_once_run_nothing_twice() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 1)).await;
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::Cut);
    for host in &fleet.hosts {
        let admin = host.dispatcher_admin();
        wait_until("the peer is gone", || fleet.has_event(&admin, "peer_gone")).await;
    }
    let samples = batch(10, 30);

    // Act
    let asked = samples
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 2, &s.ask))
        .collect();

    // Assert
    answers_once(&fleet, &samples, asked).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grant_that_comes_after_its_ticket_runs_nothing() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let mut sample = engine_request("acme", "gold", "late-grant", 10);
    sample.ask.deadline_ms = Some(400);
    fleet.local_dispatcher_proxies[0].set_fault(Fault::Freeze {
        outbound: false,
        inbound: true,
    });

    // Act
    let got = fleet.get(0, &sample.ask).await;
    fleet.local_dispatcher_proxies[0].set_fault(Fault::None);
    let next = engine_request("acme", "gold", "next", 10);
    let after = fleet.get(0, &next.ask).await;

    // Assert
    let problem = got.problem().expect("a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (2003, "not_run"));
    assert!(next.is_answered_by(&after), "{after:?}");
    assert_eq!(fleet.world.starts_of("late-grant"), 0);
}

/// Bytes of a request that reach the upstream before the cut; load reports are shorter than each.
#[parameterized(
    in_the_head = { 70, 3001 },
    in_the_body = { 250, 3002 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_connection_cut_within_the_request_ends_truthfully(bytes: u64, code: u16) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::CutAfter(bytes)));
    let sample = engine_request("acme", "gold", "cut", 10);

    // Act
    let got = fleet.get(0, &sample.ask).await;

    // Assert
    let problem = got.problem().expect("a refusal");
    assert_eq!(problem.code, code, "{problem:?}");
    assert_eq!(problem.outcome, "unknown");
    assert_eq!(fleet.world.starts_of("cut"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_cut_after_the_request_is_resumed_at_the_same_engine() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let sample = engine_request("acme", "gold", "resumed", 100);
    let asked = fleet.spawn_request(0, &sample.ask);
    wait_until("the request runs", || async {
        fleet.active_requests() == 1
    })
    .await;

    // Act
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::Cut));
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::None));

    // Assert
    answers_once(&fleet, &[sample], vec![asked]).await;
}
