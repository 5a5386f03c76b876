//! Routes, circuit breakers, latency forecasts and the prompt cache index of an
//! entry host.

use stoatjunction_core::entry::config::{Configuration, Organisation, Route, RouteKind};
use stoatjunction_core::entry::health::{Health, RunOutcome};
use stoatjunction_core::entry::latency::{LatencyModel, Slowdown};
use stoatjunction_core::entry::pool::UpstreamKey;
use stoatjunction_core::entry::prompt_cache::{PromptCacheIndex, PromptPart};
use stoatjunction_core::entry::route_table::{RouteError, RouteTable, choose_service};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const NOW: Time = Time(60_000_000);

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Some.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: RouteKind::Safe,
        timeout: Span::from_millis(1_000),
        aim: Span::from_millis(100),
        pause: None,
        priority: 0,
        targets: vec![("a".to_owned(), 9), ("b".to_owned(), 1)],
        attempts: 2,
        anonymous: false,
    }
}

fn routes() -> RouteTable {
    let open = Route {
        anonymous: true,
        ..route("open", "/open/")
    };
    let organisation = Organisation {
        name: "org".to_owned(),
        keys: vec!["key".to_owned()],
        ..Organisation::default()
    };
    RouteTable::new(Configuration {
        routes: vec![route("short", "/a/"), route("long", "/a/b/"), open],
        organisations: vec![organisation],
        ..Configuration::default()
    })
}

#[parameterized(
    longest_prefix = { "some.example", "/a/b/c", Some("key"), Ok("long") },
    shorter_prefix = { "some.example", "/a/c", Some("key"), Ok("short") },
    port_and_case = { "SOME.example:80", "/a/c", Some("key"), Ok("short") },
    unknown_host = { "other.example", "/a/c", Some("key"), Err(RouteError::NoRoute) },
    unknown_path = { "some.example", "/b/", Some("key"), Err(RouteError::NoRoute) },
    no_route_before_no_key = { "some.example", "/b/", None, Err(RouteError::NoRoute) },
    no_key = { "some.example", "/a/c", None, Err(RouteError::UnknownKey) },
    unknown_key = { "some.example", "/a/c", Some("old"), Err(RouteError::UnknownKey) },
    open_route = { "some.example", "/open/", None, Ok("open") },
)]
fn requests_match_their_route(
    host: &str,
    path: &str,
    key: Option<&str>,
    expected: Result<&str, RouteError>,
) {
    let routes = routes();

    let resolved = routes.resolve(host, path, key);

    assert_eq!(resolved.map(|(r, _)| r.name.as_str()), expected);
}

#[test]
fn a_key_on_an_anonymous_route_still_identifies_its_organisation() {
    let routes = routes();

    let (_, organisation) = routes
        .resolve("some.example", "/open/", Some("key"))
        .unwrap();

    assert_eq!(organisation.unwrap().name, "org");
}

#[parameterized(
    first = { 0.0, "a" },
    last_of_first = { 0.89, "a" },
    second = { 0.91, "b" },
)]
fn traffic_splits_follow_their_weights(draw: f64, service: &str) {
    assert_eq!(choose_service(&route("r", "/"), draw), Some(service));
}

#[parameterized(
    unreachable = { RunOutcome::Unreachable, 2 },
    broken = { RunOutcome::Broken, 3 },
    timed_out = { RunOutcome::TimedOut, 3 },
    errors = { RunOutcome::Error, 5 },
    shed = { RunOutcome::Shed, 5 },
)]
fn a_failing_upstream_opens_its_circuit_within_a_few_runs(outcome: RunOutcome, runs: usize) {
    let mut health = Health::default();

    for _ in 0..runs {
        health.observe(outcome, NOW);
    }

    assert!(health.is_circuit_open(NOW));
}

#[test]
fn occasional_application_errors_do_not_open_the_circuit() {
    let mut health = Health::default();

    for n in 0..100 {
        let outcome = if n % 7 == 0 {
            RunOutcome::Error
        } else {
            RunOutcome::Success
        };
        health.observe(outcome, NOW);
    }

    assert!(!health.is_circuit_open(NOW));
}

#[test]
fn an_open_circuit_half_opens_and_one_success_closes_it() {
    let mut health = Health::default();
    for _ in 0..3 {
        health.observe(RunOutcome::Unreachable, NOW);
    }
    let later = NOW + Span::from_millis(3_100);

    assert!(!health.is_circuit_open(later));
    assert!(health.is_half_open());
    health.observe(RunOutcome::Success, later);
    assert!(!health.is_half_open());
}

#[test]
fn the_latency_model_learns_the_cost_of_prompts() {
    let mut latency = LatencyModel::default();

    for n in 0..400 {
        let tokens = f64::from(n % 20) * 500.0;
        latency.observe(tokens, 50.0 + tokens * 0.02);
    }

    assert!(
        (latency.predict(0.0) - 50.0).abs() < 5.0,
        "{}",
        latency.predict(0.0)
    );
    assert!(
        (latency.predict(8_000.0) - 210.0).abs() < 15.0,
        "{}",
        latency.predict(8_000.0)
    );
}

#[test]
fn a_slowdown_follows_own_runs_and_reports_of_peers() {
    let (mut own, mut reported) = (Slowdown::default(), Slowdown::default());

    for _ in 0..10 {
        own.observe(2.5);
        reported.observe_peer(2.5, 50);
    }

    assert!(own.get() > 2.0, "{}", own.get());
    assert!(reported.get() > 1.8, "{}", reported.get());
}

#[test]
fn a_prompt_is_uncached_from_the_first_missing_part_on() {
    let part = |id| PromptPart { id, tokens: 100 };
    let prompt = [part(1), part(2), part(3)];
    let (first, second) = (UpstreamKey(0), UpstreamKey(1));
    let mut cache = PromptCacheIndex::default();
    cache.record(1, first, NOW);
    cache.record(3, first, NOW);

    assert_eq!(cache.uncached_tokens(&prompt, first), 200);
    assert_eq!(cache.uncached_tokens(&prompt, second), 300);
    cache.forget(first);
    assert_eq!(cache.uncached_tokens(&prompt, first), 300);
}
