//! An upstream that is leaving receives no new work after 3 s.

mod common;

use std::time::Duration;

use common::{Fleet, call_admin, engine_request, small_layout};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::HostState;
use stoatjunction_standin::object_api::ObjectFaults;
use yare::parameterized;

/// The bound that the users state.
const BOUND: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
enum Word {
    /// The host list, which lags by half a second.
    HostList,
    /// The upstream itself.
    Upstream,
    /// An operator, at one dispatcher, while the platform is down.
    OperatorInOutage,
}

#[parameterized(
    by_the_lagging_host_list = { Word::HostList },
    by_its_own_word = { Word::Upstream },
    by_an_operator_at_one_host_with_the_platform_down = { Word::OperatorInOutage },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn nothing_new_starts_after_the_bound(word: Word) {
    // Arrange
    let fleet = Fleet::start(small_layout(2, 2, 4)).await;
    let mut asked = Vec::new();

    // Act
    match word {
        Word::HostList => fleet.world.hosts.list.set("dc1-a", HostState::Leaving),
        Word::Upstream => fleet.engine("dc1-a").set_leaving(true),
        Word::OperatorInOutage => {
            let outage = ObjectFaults {
                outage: true,
                ..ObjectFaults::default()
            };
            fleet.world.objects.api.set_faults(outage);
            fleet.world.hosts.list.set_outage(true);
            let elsewhere = fleet.hosts[3].dispatcher_admin();
            call_admin(&elsewhere, "POST", "upstreams/drain?name=dc1-a").await;
        }
    }
    let said = wall_ms();
    let load_until = tokio::time::Instant::now() + BOUND + Duration::from_secs(1);
    let mut n = 0;
    while tokio::time::Instant::now() < load_until {
        let sample = engine_request("acme", "gold", &format!("l{n}"), 5);
        asked.push((sample.clone(), fleet.spawn_request(n % 4, &sample.ask)));
        n += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    // Assert
    for (sample, asked) in asked {
        let got = asked.await.expect("caller runs").expect("a response comes");
        assert!(sample.is_answered_by(&got), "{got:?}");
    }
    let bound = said + BOUND.as_millis() as u64;
    let late = fleet.engine("dc1-a").record().starts;
    let late: Vec<_> = late.iter().filter(|s| s.at_ms > bound).collect();
    assert!(late.is_empty(), "{late:?}");
}
