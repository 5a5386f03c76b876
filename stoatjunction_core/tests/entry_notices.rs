//! Upstreams that say that they leave or want a pause: what a host does then, and what hosts that hear
//! of it late, in any order and more than once make of it.

use stoatjunction_core::entry::pool::{Decision, PlacementRequest, Pool, UpstreamKey};
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::entry::upstream_notices::{
    EarlyNotices, NoticeReport, Statement, UpstreamNotices,
};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
const UPSTREAM: u64 = 7;
/// Longest time after a pause within which a host comes back.
const LONGEST_RETURN: Span = Span::from_millis(500);

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
}

fn pause(length_ms: u64) -> Statement {
    Statement::Pause(Span::from_millis(length_ms))
}

fn listed(id: &str, born: u64) -> ListedUpstream {
    ListedUpstream {
        id: id.to_owned(),
        dc: "here".to_owned(),
        slots: 8,
        born,
        ..ListedUpstream::default()
    }
}

/// Returns a pool with the upstreams of these ids.
fn pool_of(ids: &[&str]) -> Pool {
    let mut pool = Pool::new("here", 1);
    let all: Vec<ListedUpstream> = ids.iter().map(|id| listed(id, 1)).collect();
    pool.set_upstreams(all.iter(), START);
    pool
}

fn key(pool: &Pool, id: &str) -> UpstreamKey {
    let found = pool.upstreams().find(|(_, u)| u.listed.id == id);
    found.map(|(key, _)| key).unwrap()
}

fn request(now: Time) -> PlacementRequest {
    PlacementRequest {
        due_at: now + Span::from_millis(400),
        wait_until: now + Span::from_millis(400),
        late_wait: Span::from_millis(100),
        idempotent: true,
        ..PlacementRequest::default()
    }
}

fn left_ms(notices: &UpstreamNotices, now: Time) -> u64 {
    notices.pause_left(UPSTREAM, now).as_millis()
}

#[parameterized(
    longer = { 1_000, 4_000, 4_000 },
    shorter = { 4_000, 1_000, 1_000 },
    none_any_more = { 4_000, 0, 0 },
)]
fn a_later_pause_replaces_an_earlier_one(first_ms: u64, second_ms: u64, expected_ms: u64) {
    let mut notices = UpstreamNotices::new(1);
    notices.record(UPSTREAM, pause(first_ms), START);

    notices.record(UPSTREAM, pause(second_ms), ms(100));

    let left = left_ms(&notices, ms(100));
    let longest = expected_ms + expected_ms / 10;
    assert!((expected_ms..=longest).contains(&left), "{left}");
}

#[test]
fn an_answer_that_was_under_way_before_a_pause_does_not_end_it() {
    let mut notices = UpstreamNotices::new(1);
    notices.record(UPSTREAM, pause(4_000), ms(100));

    let has_changed = notices.record(UPSTREAM, pause(0), START);

    assert!(!has_changed);
    assert!(left_ms(&notices, ms(100)) >= 4_000);
}

#[parameterized(
    negative = { -1.0, None },
    not_a_number = { f64::NAN, None },
    infinite = { f64::INFINITY, None },
    far_too_long = { 1e9, Some(30_000) },
    fraction = { 0.25, Some(250) },
)]
fn absurd_pauses_are_ignored_or_bounded(seconds: f64, expected_ms: Option<u64>) {
    let statement = Statement::pause(seconds);

    assert_eq!(statement, expected_ms.map(pause));
}

/// Two hosts repeat a pause to each other, each report delayed and its age rounded.
#[test]
fn repeated_reports_do_not_make_a_pause_longer() {
    let (mut a, mut b) = (UpstreamNotices::new(1), UpstreamNotices::new(2));
    a.record(UPSTREAM, pause(2_000), START);

    for n in 0..100 {
        let at = ms(n * 40);
        let (from_a, from_b) = (a.reports(at, || 0), b.reports(at, || 0));
        let arrival = ms(n * 40 + 30);
        for report in &from_a {
            b.record_report(report, arrival);
        }
        for report in &from_b {
            a.record_report(report, arrival);
        }
    }

    let end = START + Span::from_millis(2_000) + LONGEST_RETURN;
    assert_eq!((left_ms(&a, end), left_ms(&b, end)), (0, 0));
}

#[test]
fn a_host_that_hears_of_a_pause_late_keeps_the_rest_of_it() {
    let (mut a, mut b) = (UpstreamNotices::new(1), UpstreamNotices::new(2));
    a.record(UPSTREAM, pause(4_000), START);

    for report in a.reports(ms(1_500), || 0) {
        b.record_report(&report, ms(1_500));
    }

    let left = left_ms(&b, ms(1_500));
    assert!((2_500..=2_900).contains(&left), "{left}");
}

#[test]
fn hosts_come_back_one_after_the_other() {
    let hosts: Vec<UpstreamNotices> = (0..295)
        .map(|seed| {
            let mut notices = UpstreamNotices::new(seed);
            notices.record(UPSTREAM, pause(4_000), START);
            notices
        })
        .collect();
    let back_at = |ms_after: u64| {
        let now = ms(4_000 + ms_after);
        hosts.iter().filter(|h| left_ms(h, now) == 0).count()
    };

    // Spread over the tenth of the pause after its end, with no more than twice the mean in a part.
    let counts: Vec<usize> = (0..=10).map(|n| back_at(n * 40)).collect();

    assert_eq!(counts[10], hosts.len());
    for pair in counts.windows(2) {
        assert!(pair[1] - pair[0] <= hosts.len() / 5, "{counts:?}");
    }
}

#[test]
fn notices_of_an_upstream_that_is_long_gone_are_forgotten() {
    let mut notices = UpstreamNotices::new(1);
    notices.record(UPSTREAM, Statement::Leaving, START);

    notices.expire(|_| false, ms(30_000));
    let soon_after = notices.is_leaving(UPSTREAM);
    notices.expire(|_| false, ms(60_000));

    assert!(soon_after);
    assert!(!notices.is_leaving(UPSTREAM));
}

#[test]
fn an_upstream_that_leaves_gets_nothing_until_it_starts_again() {
    let mut pool = pool_of(&["leaving"]);
    let leaving = key(&pool, "leaving");
    pool.record_statement(leaving, Statement::Leaving, START);

    // Listed again as before, as by a host whose list is older than the announcement.
    pool.set_upstreams([listed("leaving", 1)].iter(), START);
    let as_before = pool.decide(&mut request(START), START);
    pool.set_upstreams([listed("leaving", 2)].iter(), START);
    let started_again = pool.decide(&mut request(START), START);

    assert!(matches!(as_before, Decision::Refuse(_)), "{as_before:?}");
    assert!(
        matches!(started_again, Decision::Place(_)),
        "{started_again:?}"
    );
}

#[test]
fn a_placed_request_may_no_longer_be_sent_once_its_upstream_leaves() {
    let mut pool = pool_of(&["leaving", "other"]);
    let leaving = key(&pool, "leaving");
    let before = pool.may_send(leaving, START);

    pool.record_statement(leaving, Statement::Leaving, START);

    assert!(before);
    assert!(!pool.may_send(leaving, START));
    assert_eq!(
        pool.decide(&mut request(START), START),
        Decision::Place(key(&pool, "other"))
    );
}

#[parameterized(
    ends_in_time = { 200, true },
    ends_too_late = { 4_000, false },
)]
fn requests_wait_for_the_end_of_a_pause_only_if_it_comes_in_time(length_ms: u64, waits: bool) {
    let mut pool = pool_of(&["paused"]);
    let paused = key(&pool, "paused");
    pool.record_statement(paused, pause(length_ms), START);

    let decision = pool.decide(&mut request(START), START);

    match decision {
        Decision::Wait => assert!(waits),
        Decision::Refuse(retry_after) => {
            assert!(!waits);
            assert!(
                retry_after >= Span::from_millis(length_ms),
                "{retry_after:?}"
            );
        }
        Decision::Place(_) => panic!("sent in the pause"),
    }
}

#[test]
fn a_paused_upstream_is_used_again_after_its_pause() {
    let mut pool = pool_of(&["paused"]);
    let paused = key(&pool, "paused");
    pool.record_statement(paused, pause(1_000), START);
    let after = ms(1_100);

    let decision = pool.decide(&mut request(after), after);

    assert_eq!(decision, Decision::Place(paused));
}

fn report(upstream: u64) -> NoticeReport {
    NoticeReport {
        upstream,
        leaving_age: Some(100),
        pause: Some((50, 4_000)),
    }
}

#[test]
fn a_report_on_an_upstream_that_is_not_listed_yet_is_kept_and_ages() {
    let mut early = EarlyNotices::default();
    early.keep(report(7), ms(0));

    assert!(early.take(|number| number == 8, ms(10)).is_empty());
    let taken = early.take(|number| number == 7, ms(30));

    let expected = NoticeReport {
        leaving_age: Some(130),
        pause: Some((80, 4_000)),
        ..report(7)
    };
    assert_eq!(taken, [expected]);
    assert!(early.take(|_| true, ms(40)).is_empty());
}

#[test]
fn reports_on_upstreams_that_are_never_listed_are_forgotten() {
    let mut early = EarlyNotices::default();
    early.keep(report(7), ms(0));

    early.keep(report(8), ms(61_000));

    let taken = early.take(|_| true, ms(61_000));
    assert_eq!(taken.iter().map(|r| r.upstream).collect::<Vec<u64>>(), [8]);
}

#[test]
fn an_upstream_gets_one_request_after_a_pause_until_it_has_answered() {
    let mut pool = pool_of(&["a"]);
    let a = key(&pool, "a");
    pool.record_statement(a, pause(1_000), ms(0));
    let back = ms(1_500);

    let mut first = request(back);
    assert_eq!(pool.decide(&mut first, back), Decision::Place(a));
    let probe = pool.start_run(a, &[], back);
    let mut second = request(back);
    assert_eq!(pool.decide(&mut second, back), Decision::Wait);

    pool.record_response(a, back, ms(1_550));
    assert_eq!(pool.decide(&mut second, ms(1_550)), Decision::Place(a));
    pool.end_run(probe, None, ms(1_600));
}

#[test]
fn another_request_probes_an_upstream_after_a_probe_without_an_answer() {
    let mut pool = pool_of(&["a"]);
    let a = key(&pool, "a");
    pool.record_statement(a, pause(1_000), ms(0));
    let probe = pool.start_run(a, &[], ms(1_500));

    pool.end_run(probe, None, ms(1_600));

    let mut next = request(ms(1_600));
    assert_eq!(pool.decide(&mut next, ms(1_600)), Decision::Place(a));
}

#[test]
fn an_answer_to_a_request_from_before_the_pause_proves_nothing() {
    let mut pool = pool_of(&["a"]);
    let a = key(&pool, "a");
    pool.record_statement(a, pause(1_000), ms(0));
    pool.start_run(a, &[], ms(1_500));

    pool.record_response(a, ms(500), ms(1_550));

    let mut next = request(ms(1_550));
    assert_eq!(pool.decide(&mut next, ms(1_550)), Decision::Wait);
}
