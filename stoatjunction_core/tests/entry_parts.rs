//! Routes, suspects, soundness, forecasts and prompt parts of an entry host.

use stoatjunction_core::entry::config::{Configuration, Organisation, Route, RouteKind};
use stoatjunction_core::entry::engine::{Factor, Line};
use stoatjunction_core::entry::health::{Health, Outcome};
use stoatjunction_core::entry::parts::{Part, Parts};
use stoatjunction_core::entry::pool::NodeKey;
use stoatjunction_core::entry::route_table::{RouteError, RouteTable, choose_service};
use stoatjunction_core::entry::suspects::{Crash, MAX_CRASHES, PoisonRequests};
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
fn requests_find_their_route(
    host: &str,
    path: &str,
    key: Option<&str>,
    found: Result<&str, RouteError>,
) {
    let routes = routes();

    let admitted = routes.resolve(host, path, key);

    assert_eq!(admitted.map(|(r, _)| r.name.as_str()), found);
}

#[test]
fn a_key_on_an_open_route_still_names_its_organisation() {
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
fn splits_follow_their_weights(draw: f64, service: &str) {
    assert_eq!(choose_service(&route("r", "/"), draw), Some(service));
}

#[test]
fn a_request_is_sent_no_more_after_its_third_break_whichever_hosts_saw_them() {
    let mut suspects = PoisonRequests::default();
    let b = |attempt| Crash {
        fingerprint: 1,
        attempt,
    };

    for sending in 0..MAX_CRASHES as u64 {
        assert!(!suspects.is_barred(1));
        suspects.record_crash(b(sending), NOW);
    }

    assert!(suspects.is_barred(1));
    assert!(!suspects.is_barred(2));
}

#[test]
fn a_break_that_is_told_twice_counts_once_and_a_whole_answer_clears() {
    let mut suspects = PoisonRequests::default();
    let b = Crash {
        fingerprint: 1,
        attempt: 9,
    };

    let news: Vec<bool> = (0..MAX_CRASHES)
        .map(|_| suspects.record_crash(b, NOW))
        .collect();

    assert_eq!(news, [true, false, false]);
    suspects.clear(1);
    assert!(suspects.record_crash(b, NOW));
}

#[parameterized(
    unreachable = { Outcome::Unreachable, 2 },
    broken = { Outcome::Broken, 3 },
    silent = { Outcome::Silent, 3 },
    errors = { Outcome::Error, 5 },
    sheds = { Outcome::Shed, 5 },
)]
fn an_upstream_that_only_fails_is_avoided_within_a_few_runs(outcome: Outcome, runs: usize) {
    let mut health = Health::default();

    for _ in 0..runs {
        health.observe(outcome, NOW);
    }

    assert!(health.is_avoided(NOW));
}

#[test]
fn an_upstream_with_the_usual_errors_of_an_application_is_not_avoided() {
    let mut health = Health::default();

    for n in 0..100 {
        let outcome = if n % 7 == 0 {
            Outcome::Error
        } else {
            Outcome::Good
        };
        health.observe(outcome, NOW);
    }

    assert!(!health.is_avoided(NOW));
}

#[test]
fn an_avoided_upstream_is_tried_again_and_one_good_run_brings_it_back() {
    let mut health = Health::default();
    for _ in 0..3 {
        health.observe(Outcome::Unreachable, NOW);
    }
    let later = NOW + Span::from_millis(3_100);

    assert!(!health.is_avoided(later));
    assert!(health.is_on_trial());
    health.observe(Outcome::Good, later);
    assert!(!health.is_on_trial());
}

#[test]
fn the_forecast_learns_how_long_prompts_take() {
    let mut line = Line::default();

    for n in 0..400 {
        let tokens = f64::from(n % 20) * 500.0;
        line.observe(tokens, 50.0 + tokens * 0.02);
    }

    assert!((line.at(0.0) - 50.0).abs() < 5.0, "{}", line.at(0.0));
    assert!(
        (line.at(8_000.0) - 210.0).abs() < 15.0,
        "{}",
        line.at(8_000.0)
    );
}

#[test]
fn an_upstreams_factor_follows_its_own_runs_and_heeds_others() {
    let (mut own, mut told) = (Factor::default(), Factor::default());

    for _ in 0..10 {
        own.observe(2.5);
        told.hear(2.5, 50);
    }

    assert!(own.get() > 2.0, "{}", own.get());
    assert!(told.get() > 1.8, "{}", told.get());
}

#[test]
fn a_part_is_unread_from_the_first_gap_on() {
    let part = |id| Part { id, tokens: 100 };
    let prompt = [part(1), part(2), part(3)];
    let (here, there) = (NodeKey(0), NodeKey(1));
    let mut parts = Parts::default();
    parts.read(1, here, NOW);
    parts.read(3, here, NOW);

    assert_eq!(parts.unread(&prompt, here), 200);
    assert_eq!(parts.unread(&prompt, there), 300);
    parts.forget(here);
    assert_eq!(parts.unread(&prompt, here), 300);
}
