//! Runs that nobody waits for: an end of their upstream is noticed for as long as they may last.

use proptest::prelude::*;
use stoatjunction_core::entry::left_runs::{LOOK_INTERVAL, LeftRun, LeftRuns, Look};
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const UPSTREAM: u64 = 3;
const LEFT_AT: Time = Time(50_000_000);
/// Shortest time for which an upstream that has ended is away.
const AWAY_MS: u64 = 2_000;

fn at(ms: u64) -> Time {
    LEFT_AT + Span::from_millis(ms)
}

fn left(run: u32, until_ms: u64) -> LeftRun<u32> {
    LeftRun {
        run,
        last_byte_at: LEFT_AT,
        suspicious_at: at(100),
        until: at(until_ms),
    }
}

/// Watches a run on an upstream that sends a byte at intervals until it ends. Returns whether the end was found, and the
/// number of questions.
fn watch(until_ms: u64, ends_ms: Option<u64>, byte_interval_ms: u64) -> (bool, usize) {
    let mut runs = LeftRuns::default();
    runs.add(UPSTREAM, left(1, until_ms));
    let mut questions = 0;
    let mut now = LEFT_AT;
    loop {
        now = runs.next_look(UPSTREAM, now);
        let elapsed = now.since(LEFT_AT).as_millis();
        let alive_for = ends_ms.map_or(elapsed, |end| end.min(elapsed));
        let last_byte = alive_for / byte_interval_ms * byte_interval_ms;
        match runs.look(UPSTREAM, at(last_byte), now) {
            Look::Done => return (false, questions),
            Look::Later => {}
            Look::Ask => {
                questions += 1;
                let is_away = ends_ms.is_some_and(|end| (end..end + AWAY_MS).contains(&elapsed));
                if is_away {
                    return (runs.take(UPSTREAM).len() == 1, questions);
                }
                runs.confirm(UPSTREAM, now);
                if !runs.has(UPSTREAM) {
                    return (false, questions);
                }
            }
        }
    }
}

/// Guards against requests that are never barred since their callers leave before the upstream ends.
#[parameterized(
    soon = { 600, 60, 10_000 },
    after_the_target = { 600, 350, 10_000 },
    on_a_busy_upstream = { 600, 350, 20 },
    late_in_a_long_run = { 15_000, 14_900, 10_000 },
    late_in_a_long_run_on_a_busy_upstream = { 15_000, 14_900, 20 },
)]
fn an_end_under_a_left_run_is_noticed(until_ms: u64, ends_ms: u64, byte_interval_ms: u64) {
    let (is_found, _) = watch(until_ms, Some(ends_ms), byte_interval_ms);

    assert!(is_found);
}

#[parameterized(
    busy = { 20, 0 },
    silent = { 10_000, 2 },
)]
fn an_upstream_that_goes_on_is_asked_rarely(byte_interval_ms: u64, questions: usize) {
    let watched = watch(600, None, byte_interval_ms);

    assert_eq!(watched, (false, questions));
}

#[test]
fn the_first_of_too_many_runs_gives_way() {
    let mut runs = LeftRuns::default();
    let dropped: Vec<u32> = (0..600)
        .filter_map(|n| runs.add(u64::from(n), left(n, 600)))
        .map(|r| r.run)
        .collect();

    assert_eq!(runs.len(), 512);
    assert_eq!(dropped, (0..88).collect::<Vec<u32>>());
}

proptest! {
    #[test]
    fn any_end_under_a_left_run_is_noticed(
        until_ms in 200_u64..16_000,
        part in 0.0..1.0_f64,
        byte_interval_ms in 1_u64..20_000,
    ) {
        let ends_ms = (until_ms as f64 * part) as u64;

        let (is_found, _) = watch(until_ms, Some(ends_ms), byte_interval_ms);

        prop_assert!(is_found);
    }

    #[test]
    fn no_run_is_watched_for_much_longer_than_it_may_last(until_ms in 0_u64..16_000) {
        let mut runs = LeftRuns::default();
        runs.add(UPSTREAM, left(1, until_ms));
        let mut now = LEFT_AT;
        while runs.has(UPSTREAM) {
            now = runs.next_look(UPSTREAM, now);
            if runs.look(UPSTREAM, LEFT_AT, now) == Look::Ask {
                runs.confirm(UPSTREAM, now);
            }
        }

        prop_assert!(now < at(until_ms) + LOOK_INTERVAL + LOOK_INTERVAL);
    }
}
