//! Which parts of prompts are to blame for crashes of upstreams, and which only ran beside the one that is.

use fastrand::Rng;
use stoatjunction_core::entry::crash::{Cause, Crash, CrashedRun};
use stoatjunction_core::entry::crash_causes::CrashCauses;
use stoatjunction_core::entry::crash_explanation::BLAMED_CRASHES;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(90_000_000_000);
/// Duration of a run until it ends with its upstream.
const RUN: Span = Span::from_millis(100);

fn part(id: u64) -> Cause {
    Cause::PromptPart(id)
}

fn at_ms(ms: u64) -> Time {
    START + Span::from_millis(ms)
}

/// Records that an upstream crashed under runs with these parts, which were sent a moment before.
fn crash(known: &mut CrashCauses, upstream: u64, parts: &[u64], at: Time) {
    let run = CrashedRun {
        upstream,
        lasted: RUN,
    };
    for id in parts {
        let crash = Crash {
            cause: part(*id),
            attempt: upstream,
        };
        known.record_crash(crash, run, at);
    }
}

/// Returns what is known after crashes one after the other, each under a run with these parts.
fn after_crashes(runs: &[&[u64]]) -> CrashCauses {
    let mut known = CrashCauses::default();
    for (n, parts) in (1..).zip(runs) {
        crash(&mut known, n, parts, at_ms(200 * n));
    }
    known
}

#[test]
fn a_part_is_barred_after_four_crashes_one_after_the_other() {
    for count in 0..=BLAMED_CRASHES {
        let known = after_crashes(&[&[1][..]].repeat(count));

        assert_eq!(known.is_barred(&[part(1)]), count == BLAMED_CRASHES);
        assert!(!known.is_barred(&[part(2)]));
    }
}

#[test]
fn a_part_that_came_with_some_of_the_crashes_is_not_blamed() {
    let known = after_crashes(&[&[1, 2], &[1, 3], &[1, 2], &[1, 2], &[1, 2]]);

    assert!(known.is_barred(&[part(1), part(9)]));
    assert!(!known.is_barred(&[part(2)]));
    assert!(!known.is_barred(&[part(2), part(3)]));
}

#[test]
fn parts_that_were_at_the_same_crashes_bar_a_request_only_together() {
    let known = after_crashes(&[&[1, 2][..]; 4]);

    assert!(known.is_barred(&[part(1), part(2)]));
    assert!(!known.is_barred(&[part(1)]));
    assert!(!known.is_barred(&[part(2)]));
}

#[test]
fn a_further_crash_tells_parts_apart_that_had_always_come_together() {
    let mut known = after_crashes(&[&[1, 2][..]; 4]);

    crash(&mut known, 5, &[1], at_ms(2_000));

    assert!(known.is_barred(&[part(1)]));
    assert!(!known.is_barred(&[part(2)]));
}

#[test]
fn a_second_deadly_part_is_found_beside_the_first() {
    let known = after_crashes(&[&[1], &[2], &[1], &[2], &[1], &[2], &[1], &[2], &[1]]);

    assert!(known.is_barred(&[part(1)]));
    assert!(known.is_barred(&[part(2)]));
}

#[test]
fn upstreams_that_are_lost_at_the_same_moment_blame_nothing() {
    let mut known = CrashCauses::default();

    for upstream in 0..20 {
        crash(&mut known, upstream, &[1], at_ms(1_000 + upstream));
    }

    assert!(!known.is_barred(&[part(1)]));
}

#[test]
fn a_whole_response_clears_a_part() {
    let mut known = after_crashes(&[&[1][..]; 3]);

    known.clear(&[part(1)], at_ms(900));
    crash(&mut known, 9, &[1], at_ms(1_200));

    assert!(!known.is_barred(&[part(1)]));
}

#[test]
fn a_request_that_ran_beside_a_deadly_part_is_not_barred() {
    let request = Cause::Request(7);
    let mut known = CrashCauses::default();
    for n in 1..=4 {
        let run = CrashedRun {
            upstream: n,
            lasted: RUN,
        };
        let beside = Crash {
            cause: request,
            attempt: 100 + n,
        };
        known.record_crash(beside, run, at_ms(200 * n));
        crash(&mut known, n, &[1], at_ms(200 * n));
    }

    assert!(known.is_barred(&[Cause::Request(8), part(1)]));
    assert!(!known.is_barred(&[request, part(2)]));
}

#[parameterized(
    a_second_later = { 1 },
    an_hour_later = { 3_600 },
)]
fn a_host_that_starts_bars_a_part_by_what_is_stored(secs: u64) {
    let known = after_crashes(&[&[1, 2], &[1], &[1, 2], &[1]]);
    let now = at_ms(1_000);

    let mut started = CrashCauses::default();
    for stored in known.unstored(true, now) {
        let (run, age) = known.run_and_age(stored, now).unwrap();
        let age = age + Span::from_millis(1_000 * secs);
        started.restore(stored, run, age, now);
    }

    assert!(started.is_barred(&[part(1)]));
    assert!(!started.is_barred(&[part(2)]));
}

#[test]
fn a_host_that_starts_blames_nothing_for_upstreams_that_were_lost_together_before() {
    let mut known = CrashCauses::default();
    for upstream in 1..=20 {
        crash(&mut known, upstream, &[1], at_ms(1_000 + upstream));
    }
    let now = at_ms(20_000);

    let mut started = CrashCauses::default();
    for report in known.reports(16, now, || 0) {
        started.merge(&report, now);
    }

    assert!(!started.is_barred(&[part(1)]));
}

#[test]
fn only_parts_that_bar_requests_are_stored() {
    let known = after_crashes(&[&[1, 2], &[1], &[1, 2]]);

    assert!(known.unstored(true, at_ms(9_000)).is_empty());
}

#[test]
fn a_host_learns_from_another_that_a_part_is_sound() {
    let mut blames = after_crashes(&[&[1][..]; 4]);
    let mut knows = after_crashes(&[&[1]]);
    knows.clear(&[part(1)], at_ms(1_000));
    let now = at_ms(1_100);

    for report in blames.reports(16, now, || 0) {
        knows.merge(&report, now);
    }
    assert!(knows.take_update());
    for report in knows.reports(1, now, || 0) {
        blames.merge(&report, now);
    }

    assert!(!blames.is_barred(&[part(1)]));
}

/// Load of a service of the users: upstreams, hosts, requests a second and how many of them are deadly.
#[derive(Clone, Copy)]
struct Load {
    upstreams: usize,
    hosts: usize,
    rate: f64,
    deadly_share: f64,
    subjects: u64,
}

/// What came of the requests.
#[derive(Debug, Default)]
struct Outcome {
    ends: Vec<Time>,
    deadly_sent: Vec<Time>,
    sound_asked: usize,
    sound_barred: usize,
}

struct PlayedRun {
    host: usize,
    upstream: usize,
    causes: Vec<Cause>,
    began_at: Time,
    ends_at: Time,
    is_deadly: bool,
}

const DEADLY: u64 = 1;
const COMMON: u64 = 2;
/// First of the parts that requests about one subject share.
const FIRST_SUBJECT: u64 = 100;
/// Time from the sending of a deadly request to the end of its upstream, and of other requests to their end.
const DEADLY_RUN_MS: u64 = 160;
const SOUND_RUN_MS: u64 = 1_200;
/// Time for which an upstream is down.
const DOWN: Span = Span::from_millis(3_300);
/// Time until all hosts have a report.
const REPORT_DELAY: Span = Span::from_millis(40);

/// Plays requests for 30 s, a step every 5 ms.
fn play(load: Load, seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut hosts = vec![CrashCauses::default(); load.hosts];
    let mut up_since = vec![(START, 0_u64); load.upstreams];
    let mut runs: Vec<PlayedRun> = Vec::new();
    let mut reports: Vec<(Time, usize, Crash)> = Vec::new();
    let mut outcome = Outcome::default();
    let mut number = 0;
    for step in 0..6_000_u64 {
        let now = at_ms(5 * step);
        let (done, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(|r| r.ends_at <= now);
        runs = left;
        for run in done {
            if !run.is_deadly {
                hosts[run.host].clear(&run.causes, now);
                continue;
            }
            outcome.ends.push(now);
            let (ended, others): (Vec<_>, Vec<_>) =
                runs.into_iter().partition(|r| r.upstream == run.upstream);
            runs = others;
            let incarnation = up_since[run.upstream].1;
            number += 1;
            up_since[run.upstream] = (now + DOWN, number);
            for ended in ended.into_iter().chain([run]) {
                for cause in ended.causes {
                    let crash = Crash {
                        cause,
                        attempt: incarnation * 1_000 + ended.upstream as u64 + 1,
                    };
                    let run = CrashedRun {
                        upstream: crash.attempt,
                        lasted: now.since(ended.began_at),
                    };
                    hosts[ended.host].record_crash(crash, run, now);
                    reports.push((now + REPORT_DELAY, ended.host, crash));
                }
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = reports.into_iter().partition(|r| r.0 <= now);
        reports = later;
        for (_, from, crash) in due {
            let Some(report) = hosts[from].report_of(crash, now) else {
                continue;
            };
            for (_, host) in hosts.iter_mut().enumerate().filter(|(n, _)| *n != from) {
                host.merge(&report, now);
            }
        }
        if rng.f64() >= load.rate * 0.005 {
            continue;
        }
        let host = rng.usize(..load.hosts);
        let is_deadly = now >= at_ms(4_000) && rng.f64() < load.deadly_share;
        let subject = FIRST_SUBJECT + (rng.f64().powi(3) * load.subjects as f64) as u64;
        let middle = if is_deadly { DEADLY } else { subject };
        let causes = vec![Cause::Request(rng.u64(..)), part(COMMON), part(middle)];
        let up: Vec<usize> = (0..load.upstreams)
            .filter(|n| up_since[*n].0 <= now)
            .collect();
        let is_barred = hosts[host].is_barred(&causes);
        outcome.sound_asked += usize::from(!is_deadly);
        outcome.sound_barred += usize::from(!is_deadly && is_barred);
        let Some(upstream) = rng.choice(up).filter(|_| !is_barred) else {
            continue;
        };
        if is_deadly {
            outcome.deadly_sent.push(now);
        }
        let run_ms = if is_deadly {
            DEADLY_RUN_MS
        } else {
            SOUND_RUN_MS
        };
        runs.push(PlayedRun {
            host,
            upstream,
            causes,
            began_at: now,
            ends_at: now + Span::from_millis(run_ms),
            is_deadly,
        });
    }
    outcome
}

#[parameterized(
    few_subjects = { Load { upstreams: 12, hosts: 7, rate: 32.0, deadly_share: 0.05, subjects: 20 } },
    many_subjects = { Load { upstreams: 12, hosts: 7, rate: 32.0, deadly_share: 0.05, subjects: 400 } },
    rarely = { Load { upstreams: 12, hosts: 7, rate: 32.0, deadly_share: 0.01, subjects: 100 } },
    a_fifth = { Load { upstreams: 12, hosts: 8, rate: 40.0, deadly_share: 0.2, subjects: 100 } },
    large = { Load { upstreams: 200, hosts: 60, rate: 150.0, deadly_share: 0.05, subjects: 1_000 } },
)]
fn a_fleet_stops_sending_a_deadly_part_and_goes_on_with_the_others(load: Load) {
    let stable = Span::from_millis(3_000);
    for seed in 0..10 {
        let outcome = play(load, seed);

        let fifth = outcome.ends.get(4).copied().unwrap_or(at_ms(60_000));
        let late = outcome
            .deadly_sent
            .iter()
            .filter(|at| **at > fifth + stable);
        assert!(late.count() <= 3, "seed {seed}: {:?}", outcome.ends);
        let barred = outcome.sound_barred as f64 / outcome.sound_asked as f64;
        assert!(
            barred < 0.002,
            "seed {seed}: {barred} of the sound requests"
        );
    }
}
