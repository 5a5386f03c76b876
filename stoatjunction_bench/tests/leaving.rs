//! An upstream that is leaving receives no new work after 3 s.

mod common;

use std::time::Duration;

use common::{Fleet, call_admin, engine_request, small_layout};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::HostState;
use stoatjunction_standin::object_api::ObjectFaults;
use yare::parameterized;

/// Required time within which a leaving upstream receives its last new request.
const NEW_WORK_BOUND: Duration = Duration::from_secs(3);

/// What marks the upstream as leaving.
#[derive(Clone, Copy)]
enum LeavingSignal {
    /// The host list, which shows the change 500 ms late.
    HostList,
    /// The upstream, in its load reports.
    Upstream,
    /// An operator, at one dispatcher of another data centre, while the platform is down.
    OperatorInOutage,
}

#[parameterized(
    by_the_lagging_host_list = { LeavingSignal::HostList },
    by_the_upstream_itself = { LeavingSignal::Upstream },
    by_an_operator_in_a_platform_outage = { LeavingSignal::OperatorInOutage },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_leaving_upstream_receives_no_new_work_after_the_bound(signal: LeavingSignal) {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 4)).await;
    let mut pending = Vec::new();

    // Act
    match signal {
        LeavingSignal::HostList => fleet
            .environment
            .host_list
            .list
            .set("dc1-a", HostState::Leaving),
        LeavingSignal::Upstream => fleet.engine("dc1-a").set_leaving(true),
        LeavingSignal::OperatorInOutage => {
            let outage = ObjectFaults {
                outage: true,
                ..ObjectFaults::default()
            };
            fleet.environment.object_api.api.set_faults(outage);
            fleet.environment.host_list.list.set_outage(true);
            let remote_admin_addr = fleet.hosts[3].dispatcher_admin_addr();
            call_admin(&remote_admin_addr, "POST", "upstreams/drain?name=dc1-a").await;
        }
    }
    let signalled_at_ms = wall_ms();
    let load_end = tokio::time::Instant::now() + NEW_WORK_BOUND + Duration::from_secs(1);
    let mut n = 0;
    while tokio::time::Instant::now() < load_end {
        let sample_request = engine_request("acme", "gold", &format!("l{n}"), 5);
        pending.push((
            sample_request.clone(),
            fleet.spawn_request(n % 4, &sample_request.request),
        ));
        n += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    // Assert
    for (sample_request, pending) in pending {
        let response = pending
            .await
            .expect("request task does not panic")
            .expect("response is received");
        assert!(sample_request.is_answered_by(&response), "{response:?}");
    }
    let last_allowed_ms = signalled_at_ms + NEW_WORK_BOUND.as_millis() as u64;
    let late_starts = fleet.engine("dc1-a").record().starts;
    let late_starts: Vec<_> = late_starts
        .iter()
        .filter(|s| s.at_ms > last_allowed_ms)
        .collect();
    assert!(late_starts.is_empty(), "{late_starts:?}");
}
