//! Each request is dispatched to an engine at most once.

mod common;

use common::{Fleet, engine_request, small_layout, wait_until};
use nix::sys::signal::Signal;
use stoatjunction_bench::mix::SampleRequest;
use stoatjunction_standin::proxy::Fault;
use yare::parameterized;

/// `count` requests to an engine. The tests send more than there are slots, so that some run, some are
/// granted and some queue.
fn engine_requests(count: usize, tokens: u32) -> Vec<SampleRequest> {
    (0..count)
        .map(|n| engine_request("acme", "gold", &format!("once-{n}"), tokens))
        .collect()
}

async fn assert_answered_once(
    fleet: &Fleet,
    sample_requests: &[SampleRequest],
    pending: Vec<PendingResponse>,
) {
    for (sample_request, pending) in sample_requests.iter().zip(pending) {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(
            sample_request.is_answered_by(&response),
            "{}: {response:?}",
            sample_request.tag
        );
        assert_eq!(
            fleet.environment.start_count(&sample_request.tag),
            1,
            "{}",
            sample_request.tag
        );
    }
}

type PendingResponse =
    tokio::task::JoinHandle<std::io::Result<stoatjunction_bench::client::ClientResponse>>;

/// Fault of the dispatcher that owns the shard.
#[derive(Clone, Copy)]
enum OwnerFault {
    /// SIGKILL.
    Kill,
    /// SIGSTOP until the other host notices, then SIGCONT.
    Freeze,
    /// The existing links stay open but forward nothing more; new links work.
    StallLinks,
}

#[parameterized(
    killed = { OwnerFault::Kill },
    frozen_then_resumed = { OwnerFault::Freeze },
    links_stalled = { OwnerFault::StallLinks },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_failed_shard_owner_loses_no_answer_and_causes_no_second_run(fault: OwnerFault) {
    // Arrange
    let mut fleet = Fleet::start(small_layout(1, 2, 1)).await;
    let owner = fleet.owner_of("dc1", "assistant").await;
    let sample_requests = engine_requests(8, 60);
    let pending: Vec<PendingResponse> = sample_requests
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 2, &s.request))
        .collect();
    wait_until("both engines run a request", || async {
        fleet.active_requests() == 2
    })
    .await;

    // Act
    match fault {
        OwnerFault::Kill => fleet.dispatchers[owner].kill(),
        OwnerFault::Freeze => fleet.dispatchers[owner].freeze().await,
        OwnerFault::StallLinks => {
            fleet.dispatcher_proxies[owner].set_fault(Fault::FreezeExisting);
            fleet.local_dispatcher_proxies[owner].set_fault(Fault::FreezeExisting);
        }
    }
    if let OwnerFault::Freeze = fault {
        let other_admin_addr = fleet.hosts[1 - owner].gateway_admin_addr();
        wait_until("the other gateway drops the frozen dispatcher", || {
            fleet.has_event(&other_admin_addr, "dispatcher_gone")
        })
        .await;
        fleet.dispatchers[owner].send_signal(Signal::SIGCONT);
    }

    // Assert
    assert_answered_once(&fleet, &sample_requests, pending).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_owners_at_once_run_nothing_twice() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 2, 1)).await;
    Fleet::set_fault_for_all(&fleet.dispatcher_proxies, Fault::Cut);
    for host in &fleet.hosts {
        let addr = host.dispatcher_admin_addr();
        wait_until("the peer is gone", || fleet.has_event(&addr, "peer_gone")).await;
    }
    let sample_requests = engine_requests(10, 30);

    // Act
    let pending = sample_requests
        .iter()
        .enumerate()
        .map(|(n, s)| fleet.spawn_request(n % 2, &s.request))
        .collect();

    // Assert
    assert_answered_once(&fleet, &sample_requests, pending).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grant_that_arrives_after_the_deadline_runs_nothing() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let mut sample_request = engine_request("acme", "gold", "late-grant", 10);
    sample_request.request.deadline_ms = Some(400);
    fleet.local_dispatcher_proxies[0].set_fault(Fault::Freeze {
        outbound: false,
        inbound: true,
    });

    // Act
    let response = fleet.get(0, &sample_request.request).await;
    fleet.local_dispatcher_proxies[0].set_fault(Fault::None);
    let next = engine_request("acme", "gold", "next", 10);
    let after = fleet.get(0, &next.request).await;

    // Assert
    let problem = response.problem().expect("response is a refusal");
    assert_eq!((problem.code, problem.outcome.as_str()), (2003, "not_run"));
    assert!(next.is_answered_by(&after), "{after:?}");
    assert_eq!(fleet.environment.start_count("late-grant"), 0);
}

/// `bytes` of the request reach the upstream before the cut. Requests for load reports are shorter than
/// that, so they pass.
#[parameterized(
    in_the_head = { 70, 3001 },
    in_the_body = { 250, 3002 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_connection_cut_within_the_request_has_an_unknown_outcome(bytes: u64, code: u16) {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    fleet
        .upstream_proxies
        .values()
        .for_each(|p| p.set_fault(Fault::CutAfter(bytes)));
    let sample_request = engine_request("acme", "gold", "cut", 10);

    // Act
    let response = fleet.get(0, &sample_request.request).await;

    // Assert
    let problem = response.problem().expect("response is a refusal");
    assert_eq!(problem.code, code, "{problem:?}");
    assert_eq!(problem.outcome, "unknown");
    assert_eq!(fleet.environment.start_count("cut"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_cut_after_the_request_is_resumed_at_the_same_engine() {
    // Arrange
    let fleet = Fleet::start(small_layout(1, 1, 1)).await;
    let sample_request = engine_request("acme", "gold", "resumed", 100);
    let pending = fleet.spawn_request(0, &sample_request.request);
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
    assert_answered_once(&fleet, &[sample_request], vec![pending]).await;
}
