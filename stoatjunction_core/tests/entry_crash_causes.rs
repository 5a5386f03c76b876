//! What crashes upstreams: what bars a request, what is forgotten, and what hosts report to each other.

use proptest::prelude::*;
use stoatjunction_core::entry::crash::{Cause, Crash, CrashReport, CrashedRun};
use stoatjunction_core::entry::crash_causes::{CrashCauses, MAX_CRASHES};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const NOW: Time = Time(3_600_000_000);
const REQUEST: Cause = Cause::Request(7);

fn crash(attempt: u64) -> Crash {
    Crash {
        cause: REQUEST,
        attempt,
    }
}

fn after(secs: u64) -> Time {
    NOW + Span::from_millis(secs * 1_000)
}

/// Returns what is known after this many crashes.
fn after_crashes(count: u64) -> CrashCauses {
    let mut known = CrashCauses::default();
    for attempt in 0..count {
        assert!(known.record_crash(crash(attempt), CrashedRun::default(), NOW));
    }
    known
}

fn all_reports(known: &mut CrashCauses, now: Time) -> Vec<CrashReport> {
    known.reports(usize::MAX, now, || 0)
}

fn merge_all(known: &mut CrashCauses, reports: &[CrashReport], now: Time) {
    for report in reports {
        known.merge(report, now);
    }
}

#[test]
fn a_request_is_barred_after_its_third_crash() {
    for count in 0..=MAX_CRASHES as u64 {
        let known = after_crashes(count);

        assert_eq!(known.is_barred(&[REQUEST]), count >= 3);
        assert!(!known.is_barred(&[Cause::Request(8)]));
    }
}

#[test]
fn a_crash_that_is_seen_in_several_ways_counts_once() {
    let mut known = CrashCauses::default();

    let counted = [(); 4].map(|()| known.record_crash(crash(1), CrashedRun::default(), NOW));

    assert_eq!(counted, [true, false, false, false]);
    assert!(!known.is_barred(&[REQUEST]));
}

#[test]
fn a_whole_response_refutes_earlier_crashes_and_late_reports_of_them() {
    let mut known = after_crashes(2);
    let reports = all_reports(&mut known, after(1));

    assert_eq!(known.clear(&[REQUEST], after(1)), 2);
    merge_all(&mut known, &reports, after(1));

    assert_eq!(known.crash_count(REQUEST), 0);
    assert!(known.record_crash(crash(1), CrashedRun::default(), after(2)));
}

#[test]
fn crashes_of_many_other_requests_do_not_unbar_a_request() {
    let mut known = after_crashes(3);

    for fingerprint in 1_000..20_000 {
        let other = Crash {
            cause: Cause::Request(fingerprint),
            attempt: 1,
        };
        known.record_crash(other, CrashedRun::default(), after(1));
    }

    assert!(known.is_barred(&[REQUEST]));
}

#[parameterized(
    a_minute_later = { 61, true },
    ten_minutes_later = { 600, false },
)]
fn a_request_that_does_not_come_again_is_forgotten_at_last(secs: u64, barred: bool) {
    let mut known = after_crashes(3);

    known.expire(after(secs));

    assert_eq!(known.is_barred(&[REQUEST]), barred);
}

#[test]
fn a_request_that_keeps_coming_stays_barred() {
    let mut known = after_crashes(3);

    for minutes in 1..60 {
        known.record_refusal(&[REQUEST], after(60 * minutes));
        known.expire(after(60 * minutes));
    }

    assert!(known.is_barred(&[REQUEST]));
}

#[parameterized(
    one_crash_each = { [1, 1, 1] },
    none_and_two = { [0, 2, 1] },
)]
fn hosts_that_saw_different_crashes_agree_after_reports_in_any_order(counts: [u64; 3]) {
    let mut hosts: Vec<CrashCauses> = Vec::new();
    let mut attempt = 0;
    for count in counts {
        let mut host = CrashCauses::default();
        for _ in 0..count {
            host.record_crash(crash(attempt), CrashedRun::default(), NOW);
            attempt += 1;
        }
        hosts.push(host);
    }

    // Reports reach the next host only, and the first round runs backwards.
    for round in [[2, 1, 0], [0, 1, 2], [1, 2, 0]] {
        for from in round {
            let reports = all_reports(&mut hosts[from], after(1));
            merge_all(&mut hosts[(from + 1) % 3], &reports, after(1));
        }
    }

    for host in &hosts {
        assert!(host.is_barred(&[REQUEST]));
    }
}

#[test]
fn hosts_do_not_remind_each_other_of_a_crash_for_ever() {
    let (mut a, mut b) = (after_crashes(3), CrashCauses::default());

    for secs in 1..700 {
        a.expire(after(secs));
        b.expire(after(secs));
        let reports = all_reports(&mut a, after(secs));
        merge_all(&mut b, &reports, after(secs));
        let reports = all_reports(&mut b, after(secs));
        merge_all(&mut a, &reports, after(secs));
    }

    assert_eq!(a.crash_count(REQUEST), 0);
    assert_eq!(b.crash_count(REQUEST), 0);
}

#[test]
fn reports_name_the_requests_with_the_most_crashes_first() {
    let mut known = after_crashes(3);
    for fingerprint in 1_000..1_100 {
        let other = Crash {
            cause: Cause::Request(fingerprint),
            attempt: 1,
        };
        known.record_crash(other, CrashedRun::default(), NOW);
    }

    let reports = known.reports(4, after(1), || 0);

    assert_eq!(reports.len(), 4);
    assert_eq!(reports[0].cause, REQUEST);
}

#[test]
fn only_a_further_crash_of_a_request_is_news() {
    let mut known = CrashCauses::default();

    let news = [1, 2, 2, 3].map(|attempt| {
        known.record_crash(crash(attempt), CrashedRun::default(), NOW);
        known.take_update()
    });

    assert_eq!(news, [false, true, false, true]);
}

#[test]
fn crashes_are_stored_by_the_host_that_saw_them_and_after_a_while_by_others() {
    let mut seen = after_crashes(2);
    let mut heard = CrashCauses::default();
    merge_all(&mut heard, &all_reports(&mut seen, NOW), NOW);

    assert_eq!(seen.unstored(true, NOW).len(), 2);
    assert_eq!(heard.unstored(true, NOW).len(), 0);
    assert_eq!(heard.unstored(true, after(2)).len(), 2);
    assert_eq!(heard.unstored(false, after(2)).len(), 0);
    assert_eq!(after_crashes(1).unstored(true, after(2)).len(), 0);
}

#[test]
fn crashes_that_the_store_lost_are_stored_again() {
    let mut known = after_crashes(3);
    for attempt in 0..3 {
        known.set_stored(crash(attempt), true);
    }
    assert!(known.unstored(true, after(9)).is_empty());

    known.set_none_stored();
    known.restore(
        crash(1),
        CrashedRun::default(),
        Span::from_millis(9_000),
        after(9),
    );

    assert_eq!(known.unstored(true, after(9)), [crash(0), crash(2)]);
}

#[test]
fn a_stored_crash_that_is_refuted_is_removed_from_the_store_once() {
    let mut known = after_crashes(2);
    known.set_stored(crash(0), true);

    known.clear(&[REQUEST], after(1));

    assert_eq!(known.next_obsolete(), Some(crash(0)));
    known.set_removed(crash(0));
    assert_eq!(known.next_obsolete(), None);
    assert!(known.unstored(true, after(9)).is_empty());
}

#[test]
fn a_crash_that_an_operator_removes_from_the_store_counts_at_no_host() {
    let mut hosts = [after_crashes(3), CrashCauses::default()];
    let reports = all_reports(&mut hosts[0], NOW);
    merge_all(&mut hosts[1], &reports, NOW + Span::from_millis(5));

    for attempt in 0..3 {
        hosts[0].record_removal(crash(attempt));
    }
    let reports = all_reports(&mut hosts[1], after(1));
    merge_all(&mut hosts[0], &reports, after(1));
    let reports = all_reports(&mut hosts[0], after(1));
    merge_all(&mut hosts[1], &reports, after(1));

    for host in &hosts {
        assert_eq!(host.crash_count(REQUEST), 0);
    }
}

#[parameterized(
    recent = { 5, true },
    an_hour_old = { 3_600, true },
    two_days_old = { 172_800, false },
)]
fn a_host_that_starts_takes_stored_crashes_over(secs: u64, barred: bool) {
    let mut known = CrashCauses::default();

    for attempt in 0..3 {
        known.restore(
            crash(attempt),
            CrashedRun::default(),
            Span::from_millis(secs * 1_000),
            NOW,
        );
    }

    assert_eq!(known.is_barred(&[REQUEST]), barred);
    assert_eq!(known.next_obsolete().is_some(), !barred);
    assert!(known.unstored(true, after(9)).is_empty());
}

/// What happens in a fleet of hosts that know of one request.
#[derive(Clone, Debug)]
enum Step {
    Crash { host: usize },
    Clear { host: usize },
    Report { from: usize, to: usize },
    Restart { host: usize },
    Pass { ms: u64 },
}

const HOSTS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => host.clone().prop_map(|host| Step::Crash { host }),
        1 => host.clone().prop_map(|host| Step::Clear { host }),
        6 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Report { from, to }),
        1 => host.prop_map(|host| Step::Restart { host }),
        4 => (1_u64..100).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// Plays the steps; returns the hosts and the time afterwards.
fn play(steps: &[Step]) -> (Vec<CrashCauses>, Time) {
    let mut hosts = vec![CrashCauses::default(); HOSTS];
    let (mut now, mut attempt) = (NOW, 0);
    for step in steps {
        match *step {
            Step::Crash { host } => {
                attempt += 1;
                hosts[host].record_crash(crash(attempt), CrashedRun::default(), now);
            }
            Step::Clear { host } => {
                hosts[host].clear(&[REQUEST], now);
            }
            Step::Report { from, to } => {
                let reports = all_reports(&mut hosts[from], now);
                merge_all(&mut hosts[to], &reports, now);
            }
            Step::Restart { host } => hosts[host] = CrashCauses::default(),
            Step::Pass { ms } => now = now + Span::from_millis(ms),
        }
    }
    (hosts, now)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn hosts_agree_once_each_has_heard_all_others(steps in prop::collection::vec(step(), 0..40)) {
        let (mut hosts, now) = play(&steps);
        let known: usize = hosts.iter().map(|h| h.crash_count(REQUEST)).max().unwrap();

        for _ in 0..2 {
            for from in 0..HOSTS {
                let reports = all_reports(&mut hosts[from], now);
                for host in &mut hosts {
                    merge_all(host, &reports, now);
                }
            }
        }

        let counts: Vec<usize> = hosts.iter().map(|h| h.crash_count(REQUEST)).collect();
        prop_assert!(counts.iter().all(|c| *c == counts[0]), "{counts:?}");
        let cleared = steps.iter().any(|s| matches!(s, Step::Clear { .. }));
        prop_assert!(cleared || counts[0] >= known, "{counts:?}, {known} before");
    }
}
