//! Limits that upstreams name: what hosts that hear of each other late send together, which upstream
//! gets what exceeds a limit, and what ends one.

use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{Decision, PlacementRequest, Pool, RunKey, UpstreamKey};
use stoatjunction_core::entry::queue::Queue;
use stoatjunction_core::entry::rate_limiter::Reporter;
use stoatjunction_core::entry::upstream_limits::SendingHost;
use stoatjunction_core::entry::upstream_list::ListedUpstream;
use stoatjunction_core::time::{Span, Time};
use yare::parameterized;

const START: Time = Time(60_000_000);
/// Span in which the users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time after the first naming from which they count, in milliseconds.
const COUNTED_FROM_MS: u64 = 3_000;
const RUN_TIME: Span = Span::from_millis(50);
/// Time until the head of a response arrives.
const HEAD_TIME: Span = Span::from_millis(10);

fn ms(n: u64) -> Time {
    START + Span::from_millis(n)
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

/// Returns a pool with the upstreams "limited" and "free", of which the first names a limit.
fn limited_pool(rate: Option<f64>) -> Pool {
    let mut pool = Pool::new("here", 1);
    pool.set_upstreams([listed("limited", 1), listed("free", 1)].iter(), START);
    record(&mut pool, rate, START);
    pool
}

fn number(pool: &Pool) -> u64 {
    let found = pool.upstreams().find(|(_, u)| u.listed.id == "limited");
    found.map(|(_, u)| u.number).unwrap()
}

fn record(pool: &mut Pool, rate: Option<f64>, stated_at: Time) -> bool {
    let number = number(pool);
    pool.record_limit(number, rate, stated_at, stated_at)
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

/// Sends as many requests at `now` as the pool places at once, up to `max`, and returns how many each
/// upstream got.
fn send_all(pool: &mut Pool, max: usize, now: Time) -> (usize, usize) {
    let (mut limited, mut free) = (0, 0);
    for _ in 0..max {
        let Decision::Place(key) = pool.decide(&mut request(now), now) else {
            break;
        };
        pool.start_run(key, &[], now);
        match pool.upstream(key).unwrap().listed.id.as_str() {
            "limited" => limited += 1,
            _ => free += 1,
        }
    }
    (limited, free)
}

#[test]
fn what_exceeds_a_limit_goes_to_another_upstream() {
    let mut pool = limited_pool(Some(2.0));

    let (limited, free) = send_all(&mut pool, 20, ms(5_000));

    assert!(limited <= 2, "{limited}");
    assert_eq!(free, 8);
}

#[test]
fn a_request_waits_for_a_limit_if_that_ends_in_time() {
    let mut pool = limited_pool(Some(4.0));
    send_all(&mut pool, 20, ms(5_000));
    let mut queue = Queue::default();
    queue.push(1, request(ms(5_000)));

    let at_once = queue.next_decided(&mut pool, ms(5_000));
    let later = queue.next_decided(&mut pool, ms(5_300)).unwrap();

    assert!(at_once.is_none());
    assert!(matches!(later.2, Decision::Place(_)), "{:?}", later.2);
}

#[test]
fn a_request_that_no_upstream_takes_in_time_is_refused_at_once_with_the_time_to_come_back() {
    let mut pool = Pool::new("here", 1);
    pool.set_upstreams([listed("limited", 1)].iter(), START);
    record(&mut pool, Some(0.5), START);
    send_all(&mut pool, 9, ms(9_000));

    let decision = pool.decide(&mut request(ms(9_000)), ms(9_000));

    let Decision::Refuse(retry_after) = decision else {
        panic!("{decision:?}")
    };
    assert!(retry_after > Span::from_millis(400), "{retry_after:?}");
    assert!(retry_after <= Span::from_millis(2_000), "{retry_after:?}");
}

#[test]
fn requests_beyond_what_a_limit_admits_in_time_are_refused_when_they_arrive() {
    let mut pool = Pool::new("here", 1);
    pool.set_upstreams([listed("limited", 1)].iter(), START);
    record(&mut pool, Some(10.0), START);
    let mut queue = Queue::default();
    let now = ms(9_000);

    let mut refused = 0;
    for id in 0..40 {
        let mut request = request(now);
        let decision = match queue.has_request_ahead_of(&request) {
            true => pool.decide_behind_others(&mut request, now),
            false => pool.decide(&mut request, now),
        };
        match decision {
            Decision::Place(key) => drop(pool.start_run(key, &[], now)),
            Decision::Refuse(_) => refused += 1,
            Decision::Wait => queue.push(id, request),
        }
        assert!(queue.next_decided(&mut pool, now).is_none());
    }

    // Six go at once, and four more within the 400 ms in which they can be on time.
    assert!((3..=6).contains(&queue.len()), "{} wait", queue.len());
    assert!(refused >= 28, "{refused}");
}

#[test]
fn an_upstream_whose_limit_may_have_ended_gets_the_next_request() {
    let mut pool = limited_pool(Some(2.0));
    for _ in 0..9 {
        let run = pool.start_run(UpstreamKey(0), &[], ms(0));
        pool.record_first_event(run, ms(20));
        pool.end_run(run, Some(RunOutcome::Success), ms(20));
    }
    let sent_to = |pool: &mut Pool, now| {
        let decision = pool.decide(&mut request(now), now);
        let Decision::Place(key) = decision else {
            panic!("{decision:?}")
        };
        pool.upstream(key).unwrap().listed.id.clone()
    };

    let number = number(&pool);
    pool.record_limit(number, Some(2.0), ms(20_000), ms(20_000));
    let (soon, later) = (
        sent_to(&mut pool, ms(20_100)),
        sent_to(&mut pool, ms(21_100)),
    );

    assert_eq!((soon.as_str(), later.as_str()), ("free", "limited"));
}

#[test]
fn an_upstream_that_fails_does_not_get_all_that_exceeds_the_limit_of_the_sound_one() {
    let mut pool = limited_pool(Some(1.0));
    let failing = UpstreamKey(1);
    for second in 0..8 {
        let run = pool.start_run(failing, &[], ms(second));
        pool.end_run(run, Some(RunOutcome::Broken), ms(second));
    }

    let (limited, failing) = send_all(&mut pool, 20, ms(20_000));

    // One request at a time shows whether it works again.
    assert_eq!((limited, failing), (1, 1));
}

#[test]
fn a_request_that_was_not_sent_is_not_charged() {
    let mut pool = limited_pool(Some(1.0));
    let key = UpstreamKey(0);
    assert_eq!(pool.upstream(key).unwrap().listed.id, "limited");

    for _ in 0..10 {
        let run = pool.start_run(key, &[], ms(5_000));
        pool.cancel_run(run, None, ms(5_000));
    }

    let limited = number(&pool);
    assert_eq!(pool.limits().delay(limited, ms(5_000)), Some(Span::ZERO));
}

/// What ends a limit.
enum End {
    NothingSaid,
    AnswerWithoutLimit,
    OtherIncarnation,
    OlderStatement,
    GoneFromTheListAndBack,
}

#[parameterized(
    nothing = { End::NothingSaid, true },
    an_answer_without_it = { End::AnswerWithoutLimit, false },
    another_incarnation = { End::OtherIncarnation, false },
    an_older_statement_of_another_host = { End::OlderStatement, true },
    an_entry_that_is_missing_for_a_while = { End::GoneFromTheListAndBack, true },
)]
fn a_limit_holds_until_the_upstream_says_otherwise(end: End, holds: bool) {
    let mut pool = limited_pool(Some(2.0));
    record(&mut pool, Some(2.0), ms(1_000));

    match end {
        End::NothingSaid => {}
        End::AnswerWithoutLimit => assert!(record(&mut pool, None, ms(2_000))),
        End::OtherIncarnation => {
            pool.set_upstreams([listed("limited", 2), listed("free", 1)].iter(), ms(2_000));
        }
        End::OlderStatement => {
            let number = number(&pool);
            assert!(!pool.record_limit(number, None, ms(500), ms(2_000)));
        }
        End::GoneFromTheListAndBack => {
            pool.set_upstreams([listed("free", 1)].iter(), ms(2_000));
            pool.expire_statements(ms(2_500));
            pool.set_upstreams([listed("limited", 1), listed("free", 1)].iter(), ms(3_000));
        }
    }

    let (limited, _) = send_all(&mut pool, 20, ms(60_000));
    assert_eq!(limited <= 2, holds, "{limited}");
}

#[test]
fn an_upstream_that_takes_nothing_is_still_asked_now_and_then() {
    let mut pool = limited_pool(Some(0.0));

    let mut sent = 0;
    for second in 0..60 {
        let now = ms(second * 1_000);
        let limited = number(&pool);
        if pool.limits().delay(limited, now) == Some(Span::ZERO) {
            let run = pool.start_run(UpstreamKey(0), &[], now);
            pool.end_run(run, Some(RunOutcome::Success), now);
            sent += 1;
        }
    }

    assert!((10..=16).contains(&sent), "{sent} in a minute");
}

/// Hosts that send to one upstream, which names a limit in each response.
struct Fleet {
    hosts: Vec<(Pool, Queue)>,
    /// Hosts that hear no other.
    isolated: usize,
    limit: f64,
    report_interval_ms: u64,
    rng: fastrand::Rng,
    /// Time and host of each request that the upstream got.
    arrivals: Vec<(u64, usize)>,
    runs: Vec<(Time, Time, usize, RunKey)>,
}

impl Fleet {
    fn new(hosts: usize, isolated: usize, limit: f64, report_interval_ms: u64) -> Fleet {
        let mut fleet = Fleet {
            hosts: Vec::new(),
            isolated,
            limit,
            report_interval_ms,
            rng: fastrand::Rng::with_seed(5),
            arrivals: Vec::new(),
            runs: Vec::new(),
        };
        for _ in 0..hosts {
            let mut pool = Pool::new("here", fleet.rng.u64(..));
            pool.set_upstreams([listed("limited", 1)].iter(), START);
            fleet.hosts.push((pool, Queue::default()));
        }
        for host in 0..hosts {
            fleet.update_hosts(host);
        }
        fleet
    }

    fn hears(&self, host: usize, other: usize) -> bool {
        host != other && host >= self.isolated && other >= self.isolated
    }

    fn update_hosts(&mut self, host: usize) {
        let sender = |n: usize| SendingHost {
            number: n as u64,
            dc: if n.is_multiple_of(2) { "here" } else { "there" }.to_owned(),
        };
        let others = (0..self.hosts.len()).filter(|n| self.hears(host, *n));
        let others: Vec<SendingHost> = others.map(sender).collect();
        let (reachable, known) = (others.len() + 1, self.hosts.len());
        let limits = self.hosts[host].0.limits_mut();
        limits.limiter_mut().set_reachable(reachable, known, START);
        limits.set_hosts(sender(host), others);
    }

    fn report(&mut self, host: usize, now: Time) {
        let limits = self.hosts[host].0.limits();
        let (usage, said) = (limits.own_usage(now), limits.reports(now, || 0));
        let reporter = Reporter {
            id: host as u64 + 1,
            hosts: 1,
            reported_at: now,
        };
        for other in 0..self.hosts.len() {
            if !self.hears(other, host) {
                continue;
            }
            let pool = &mut self.hosts[other].0;
            for report in &said {
                let stated_at = now.saturating_sub(Span::from_millis(report.age));
                pool.record_limit(report.upstream, report.rate, stated_at, now);
            }
            pool.limits_mut().record_usage(reporter, &usage, now);
        }
    }

    fn end_runs(&mut self, now: Time) {
        for (head_at, end_at, host, run) in &mut self.runs {
            let pool = &mut self.hosts[*host].0;
            if now >= *head_at {
                record(pool, Some(self.limit), *head_at);
            }
            if now >= *end_at {
                pool.end_run(*run, Some(RunOutcome::Success), now);
            }
        }
        self.runs.retain(|(_, end_at, _, _)| now < *end_at);
    }

    fn place(&mut self, host: usize, now_ms: u64) {
        let (pool, queue) = &mut self.hosts[host];
        let now = ms(now_ms);
        while let Some((_, _, decision)) = queue.next_decided(pool, now) {
            if let Decision::Place(key) = decision {
                let run = pool.start_run(key, &[], now);
                self.arrivals.push((now_ms, host));
                self.runs.push((now + HEAD_TIME, now + RUN_TIME, host, run));
            }
        }
    }

    /// Simulates callers that would send ten times the limit at the least, at all hosts.
    fn run(&mut self, time_ms: u64) {
        let per_ms = (self.limit * 10.0).max(10.0 * self.hosts.len() as f64) / 1e3;
        for now_ms in 0..time_ms {
            let now = ms(now_ms);
            self.end_runs(now);
            for host in 0..self.hosts.len() {
                let chance = per_ms / self.hosts.len() as f64;
                if self.rng.f64() < chance {
                    let salt = self.rng.u64(..);
                    let request = PlacementRequest {
                        salt,
                        ..request(now)
                    };
                    self.hosts[host].1.push(salt, request);
                }
                self.place(host, now_ms);
                if (now_ms + host as u64 * 13).is_multiple_of(self.report_interval_ms) {
                    self.report(host, now);
                }
            }
        }
    }

    /// Returns the most requests that the upstream got in a window that counts, from the hosts that are
    /// in touch.
    fn most_in_a_window(&self) -> usize {
        let counted = self.arrivals.iter();
        let counted = counted.filter(|(at, host)| *at >= COUNTED_FROM_MS && *host >= self.isolated);
        let times: Vec<u64> = counted.map(|(at, _)| *at).collect();
        let in_window = |from: &u64| {
            let span = times.iter().skip_while(|at| *at < from);
            span.take_while(|at| **at < from + WINDOW_MS).count()
        };
        times.iter().map(in_window).max().unwrap_or(0)
    }
}

#[parameterized(
    one_host = { 1, 0, 2.3, 20 },
    few_hosts = { 7, 0, 2.3, 20 },
    few_hosts_and_a_very_low_limit = { 7, 0, 0.4, 20 },
    few_hosts_and_a_high_limit = { 7, 0, 20.0, 20 },
    many_hosts = { 24, 0, 2.3, 60 },
    many_hosts_and_a_higher_limit = { 24, 0, 8.0, 60 },
    a_large_fleet = { 64, 0, 2.3, 250 },
    a_large_fleet_and_a_very_low_limit = { 64, 0, 0.4, 250 },
    a_large_fleet_and_a_high_limit = { 64, 0, 20.0, 250 },
    a_third_isolated = { 24, 8, 2.3, 60 },
    all_but_one_isolated = { 7, 6, 2.3, 20 },
)]
fn all_hosts_together_keep_to_a_limit(hosts: usize, isolated: usize, limit: f64, interval_ms: u64) {
    let mut fleet = Fleet::new(hosts, isolated, limit, interval_ms);

    fleet.run(20_000);

    let allowed = (1.5 * limit * WINDOW_MS as f64 / 1e3 + 5.0) as usize;
    let most = fleet.most_in_a_window();
    assert!(most <= allowed, "{most} in a window, allowed {allowed}");
    // The hosts in touch use most of their share.
    let share = limit * (hosts - isolated) as f64 / hosts as f64;
    let counted = fleet.arrivals.iter();
    let used = counted.filter(|(at, host)| *at >= COUNTED_FROM_MS && *host >= isolated);
    let used = used.count() as f64 / 17.0;
    assert!(used >= 0.75 * share, "{used} of {share} a second");
}
