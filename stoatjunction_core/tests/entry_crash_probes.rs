//! When a barred request is probed: what hosts grant each other, and when a host asks.

use stoatjunction_core::entry::crash::{Cause, Crash, CrashedRun};
use stoatjunction_core::entry::crash_causes::{CrashCauses, MAX_CRASHES};
use stoatjunction_core::entry::crash_probes::{
    MAX_PROBES, PROBE_INTERVAL, ProbeRecord, ProbeRefusal, grant,
};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const NOW: Time = Time(3_600_000_000);
const REQUEST: Cause = Cause::Request(7);
const PART: Cause = Cause::PromptPart(9);

fn secs(secs: u64) -> Span {
    Span::from_millis(secs * 1_000)
}

fn record(age_secs: u64, count: u32) -> ProbeRecord {
    ProbeRecord {
        cause: REQUEST,
        age: secs(age_secs),
        count,
    }
}

fn barred() -> CrashCauses {
    let mut known = CrashCauses::default();
    for attempt in 0..MAX_CRASHES as u64 {
        let crash = Crash {
            cause: REQUEST,
            attempt,
        };
        known.record_crash(crash, CrashedRun::default(), NOW);
    }
    known
}

#[parameterized(
    first = { &[], Ok(1) },
    soon_after_the_first = { &[record(119, 1)], Err(ProbeRefusal::After(secs(1))) },
    after_the_first = { &[record(120, 1)], Ok(2) },
    soon_after_the_second = { &[record(239, 2)], Err(ProbeRefusal::After(secs(1))) },
    after_the_second = { &[record(240, 2)], Ok(3) },
    after_the_third = { &[record(80_000, MAX_PROBES)], Err(ProbeRefusal::Exhausted) },
    a_day_after_the_third = { &[record(86_400, MAX_PROBES)], Ok(1) },
)]
fn probes_are_granted_in_growing_intervals_and_three_times(
    records: &[ProbeRecord],
    expected: Result<u32, ProbeRefusal>,
) {
    let granted = grant(records, &[REQUEST], |_| false);

    let count = |records: Vec<ProbeRecord>| {
        let of_cause = records.iter().find(|r| r.cause == REQUEST);
        of_cause.map_or(0, |r| r.count)
    };
    assert_eq!(granted.map(count), expected);
}

#[test]
fn probes_before_a_whole_response_do_not_count() {
    let granted = grant(&[record(5, MAX_PROBES)], &[REQUEST], |_| true);

    assert_eq!(granted.unwrap(), [record(0, 1)]);
}

#[test]
fn a_request_that_two_causes_bar_is_probed_only_if_both_may_be() {
    let granted = grant(&[record(5, 1)], &[PART, REQUEST], |_| false);

    assert_eq!(granted, Err(ProbeRefusal::After(secs(115))));
}

#[test]
fn a_host_asks_for_a_probe_once_the_crashes_are_old_however_often_the_request_was_refused() {
    let mut known = barred();
    let due = |known: &CrashCauses, at: Time| !known.probes_due(&[REQUEST], secs(2), at).is_empty();

    for n in 0..60 {
        known.record_refusal(&[REQUEST], NOW + secs(n));
        assert!(!due(&known, NOW + secs(n)));
    }
    assert!(!due(&known, NOW + PROBE_INTERVAL));
    assert!(due(&known, NOW + PROBE_INTERVAL + secs(2)));

    known.postpone_probes(&[REQUEST], NOW + secs(90));
    assert!(!due(&known, NOW + secs(89)));
    assert!(due(&known, NOW + secs(90)));
    known.clear(&[REQUEST], NOW + secs(90));
    assert!(!due(&known, NOW + secs(91)));
    assert!(known.is_refuted_since(REQUEST, NOW + secs(90)));
}

#[test]
fn a_host_asks_for_no_probe_of_what_is_not_barred() {
    let known = barred();

    assert!(
        known
            .probes_due(&[PART], Span::ZERO, NOW + secs(900))
            .is_empty()
    );
}
