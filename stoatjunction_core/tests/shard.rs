//! Examples of scheduling decisions of one shard.

use stoatjunction_core::prelude::*;
use stoatjunction_core::quarantine::Quarantine;
use stoatjunction_core::shard::{
    Action, FinishReport, LoadReport, Running, Serving, Shard, ShardSettings, Ticket, UpstreamSpec,
};
use yare::parameterized;

const SECOND: u64 = 1_000_000;

fn spec(name: &str, slots: u32) -> UpstreamSpec {
    UpstreamSpec {
        name: name.to_owned(),
        role: "any".to_owned(),
        slots,
        prefill_rate: 10_000.0,
        decode_rate: 100.0,
        cache_tokens: 10_000,
    }
}

fn report(at: u64, active: u32) -> LoadReport {
    LoadReport {
        sampled: Time(at),
        active,
        incarnation: 1,
        ..LoadReport::default()
    }
}

/// Returns a shard past its takeover grace with upstreams of the given slots, all up.
fn shard(slots: &[u32]) -> Shard {
    shard_since(Time(0), slots)
}

/// Returns a shard that this process owns since `created`.
fn shard_since(created: Time, slots: &[u32]) -> Shard {
    let id = ShardId {
        dc: "d".to_owned(),
        service: "s".to_owned(),
        index: 0,
    };
    let mut shard = Shard::new(id, ShardSettings::default(), created);
    let specs: Vec<UpstreamSpec> = slots
        .iter()
        .enumerate()
        .map(|(i, s)| spec(&format!("u{i}"), *s))
        .collect();
    shard.set_upstreams(specs.clone());
    for spec in specs {
        shard.record_load(&spec.name, report(SECOND, 0), Time(SECOND));
    }
    shard
}

fn ticket(seq: u64, tier: u8) -> Ticket {
    Ticket {
        id: TicketId {
            gateway: GatewayId(1),
            seq,
        },
        tier: Tier(tier),
        organisation: "o".to_owned(),
        share: 1,
        kind: "k".to_owned(),
        arrival: Time(SECOND),
        deadline: Time(31 * SECOND),
        input_tokens: 100,
        output_hint: 100,
        fingerprint: seq,
        cancellable: true,
        ..Ticket::default()
    }
}

fn granted(actions: &[Action]) -> Vec<u64> {
    let granted = actions.iter().filter_map(|a| match a {
        Action::Grant { ticket, .. } => Some(ticket.seq),
        _ => None,
    });
    granted.collect()
}

fn schedule(shard: &mut Shard, at: u64) -> Vec<Action> {
    shard.schedule(Time(at), &Quarantine::default())
}

#[test]
fn higher_tiers_are_granted_first() {
    let mut shard = shard(&[2]);
    for (seq, tier) in [(1, 3), (2, 1), (3, 0), (4, 2)] {
        shard.enqueue(ticket(seq, tier), Time(SECOND));
    }

    let actions = schedule(&mut shard, SECOND);

    assert_eq!(granted(&actions), [3, 2]);
}

#[test]
fn organisations_of_a_tier_share_its_slots() {
    let mut shard = shard(&[6]);
    for seq in 1..=8 {
        shard.enqueue(ticket(seq, 0), Time(SECOND));
    }
    for seq in 9..=10 {
        let small = Ticket {
            organisation: "small".to_owned(),
            ..ticket(seq, 0)
        };
        shard.enqueue(small, Time(SECOND));
    }

    let granted = granted(&schedule(&mut shard, SECOND));

    assert!(granted.contains(&9) && granted.contains(&10), "{granted:?}");
}

#[test]
fn an_unconfirmed_grant_expires() {
    let mut shard = shard(&[1]);
    shard.enqueue(ticket(1, 0), Time(SECOND));
    shard.enqueue(ticket(2, 0), Time(SECOND));
    assert_eq!(granted(&schedule(&mut shard, SECOND)), [1]);

    assert_eq!(granted(&schedule(&mut shard, 3 * SECOND)), []);
    assert_eq!(granted(&schedule(&mut shard, 3 * SECOND + 1)), [2]);
}

#[test]
fn slots_used_by_others_count_as_occupied() {
    let mut shard = shard(&[2]);
    shard.record_load("u0", report(SECOND, 2), Time(SECOND));
    shard.enqueue(ticket(1, 0), Time(SECOND));

    assert_eq!(granted(&schedule(&mut shard, SECOND)), []);
}

#[test]
fn an_adopted_run_is_not_counted_twice() {
    let mut shard = shard(&[2]);
    let running = Running {
        ticket: ticket(9, 0),
        upstream: "u0".to_owned(),
        age: Span(SECOND / 2),
        alone: false,
    };
    shard.adopt_run(running, Time(SECOND));
    shard.record_load("u0", report(SECOND, 1), Time(SECOND));
    shard.enqueue(ticket(1, 0), Time(SECOND));

    assert_eq!(granted(&schedule(&mut shard, SECOND)), [1]);
}

#[test]
fn slots_of_a_disconnected_gateway_stay_occupied_until_a_load_report_frees_them() {
    let mut shard = shard(&[1]);
    let orphan = Ticket {
        id: TicketId {
            gateway: GatewayId(2),
            seq: 1,
        },
        ..ticket(1, 0)
    };
    shard.enqueue(orphan.clone(), Time(SECOND));
    schedule(&mut shard, SECOND);
    shard.confirm(orphan.id, Time(SECOND));
    shard.disconnect_gateway(GatewayId(2), Time(2 * SECOND));
    shard.enqueue(ticket(2, 0), Time(2 * SECOND));
    assert_eq!(granted(&schedule(&mut shard, 2 * SECOND)), []);

    shard.record_load("u0", report(2 * SECOND + 1, 0), Time(2 * SECOND + 1));

    assert_eq!(granted(&schedule(&mut shard, 2 * SECOND + 1)), [2]);
}

#[derive(Clone, Copy)]
enum Unavailable {
    Leaving,
    Down,
    NotListed,
    ReportedLeaving,
}

#[parameterized(
    leaving = { Unavailable::Leaving, Serving::Leaving },
    down = { Unavailable::Down, Serving::Down },
    not_listed = { Unavailable::NotListed, Serving::Leaving },
    reported_leaving = { Unavailable::ReportedLeaving, Serving::Leaving },
)]
fn an_unavailable_upstream_gets_no_work(unavailable: Unavailable, serving: Serving) {
    let mut shard = shard(&[4, 4]);
    match unavailable {
        Unavailable::Leaving => shard.set_leaving("u0", true),
        Unavailable::Down => shard.mark_upstream_down("u0"),
        Unavailable::NotListed => shard.set_upstreams(vec![spec("u1", 4)]),
        Unavailable::ReportedLeaving => {
            let leaving = LoadReport {
                leaving: true,
                ..report(SECOND, 0)
            };
            shard.record_load("u0", leaving, Time(SECOND));
        }
    }
    (1..=8).for_each(|seq| shard.enqueue(ticket(seq, 0), Time(SECOND)));

    let actions = schedule(&mut shard, SECOND);

    let granted_to_it =
        |a: &&Action| matches!(a, Action::Grant { upstream, .. } if upstream == "u0");
    assert_eq!(actions.iter().filter(granted_to_it).count(), 0);
    assert_eq!(granted(&actions).len(), 4);
    assert_eq!(shard.upstream_status(Time(SECOND))[0].serving, serving);
}

#[test]
fn an_urgent_request_preempts_the_lower_tier_run_with_the_least_progress() {
    let mut shard = shard(&[2]);
    for seq in 1..=2 {
        shard.enqueue(ticket(seq, 2), Time(SECOND));
    }
    schedule(&mut shard, SECOND);
    shard.confirm(ticket(1, 2).id, Time(SECOND));
    shard.confirm(ticket(2, 2).id, Time(SECOND + 50));
    // The time left is enough for a long answer, but not for waiting as well.
    let deadline = Time(4 * SECOND + 900_000);
    let high = Ticket {
        arrival: Time(2 * SECOND),
        deadline,
        ..ticket(3, 0)
    };
    shard.enqueue(high, Time(2 * SECOND));
    assert_eq!(schedule(&mut shard, 2 * SECOND), []);

    let actions = schedule(&mut shard, 2 * SECOND + 220_000);

    assert_eq!(
        actions,
        [Action::Revoke {
            ticket: ticket(2, 2).id
        }]
    );
    assert_eq!(
        schedule(&mut shard, 2 * SECOND + 300_000),
        [],
        "one run is revoked for one request"
    );
}

#[test]
fn nothing_is_shed_while_a_lower_tier_runs_that_cannot_be_cancelled() {
    let mut shard = shard(&[1]);
    let lower = Ticket {
        cancellable: false,
        ..ticket(1, 3)
    };
    shard.enqueue(lower, Time(SECOND));
    schedule(&mut shard, SECOND);
    shard.confirm(ticket(1, 3).id, Time(SECOND));
    let deadline = Time(4 * SECOND);
    shard.enqueue(
        Ticket {
            deadline,
            ..ticket(2, 0)
        },
        Time(SECOND),
    );

    let before = schedule(&mut shard, 4 * SECOND - 1);
    let at_the_deadline = schedule(&mut shard, 4 * SECOND);

    assert_eq!(before, []);
    let expired = matches!(
        at_the_deadline[..],
        [Action::Decline {
            code: Code::Expired,
            ..
        }]
    );
    assert!(expired, "{at_the_deadline:?}");
}

#[parameterized(
    no_time_at_all = { 1_050_000, Code::Infeasible },
    enough_time = { 31 * SECOND, Code::Internal },
)]
fn an_infeasible_request_is_declined_at_once(deadline: u64, expected: Code) {
    let mut shard = shard(&[1]);
    shard.enqueue(
        Ticket {
            deadline: Time(deadline),
            ..ticket(1, 0)
        },
        Time(SECOND),
    );

    let actions = schedule(&mut shard, SECOND);

    let code = actions.iter().find_map(|a| match a {
        Action::Decline { code, .. } => Some(*code),
        _ => None,
    });
    assert_eq!(code.unwrap_or(Code::Internal), expected);
}

/// Guards against infeasible requests that expire while a new owner learns what runs.
#[test]
fn an_infeasible_request_is_declined_at_once_by_a_new_owner() {
    let mut shard = shard_since(Time(SECOND - 1), &[1]);
    shard.enqueue(
        Ticket {
            deadline: Time(1_050_000),
            ..ticket(1, 0)
        },
        Time(SECOND),
    );
    shard.enqueue(ticket(2, 0), Time(SECOND));

    let actions = schedule(&mut shard, SECOND);

    let declined = matches!(
        actions[..],
        [Action::Decline {
            code: Code::Infeasible,
            ..
        }]
    );
    assert!(declined, "{actions:?}");
    assert_eq!(granted(&schedule(&mut shard, 2 * SECOND)), [2]);
}

#[test]
fn requests_go_to_the_upstream_that_caches_their_prefix() {
    let mut shard = shard(&[4, 4]);
    let long = |seq| Ticket {
        input_tokens: 2_048,
        marks: vec![1, 2, 3, 4],
        ..ticket(seq, 0)
    };
    let upstream_of = |actions: &[Action]| match actions {
        [Action::Grant { upstream, .. }] => upstream.clone(),
        other => panic!("{other:?}"),
    };
    shard.enqueue(long(1), Time(SECOND));
    let first = upstream_of(&schedule(&mut shard, SECOND));
    shard.confirm(long(1).id, Time(SECOND));
    let complete = FinishReport {
        whole: true,
        output_tokens: 1,
        ..FinishReport::default()
    };
    shard.finish(long(1).id, complete, Time(SECOND));

    shard.enqueue(long(2), Time(5 * SECOND));

    assert_eq!(upstream_of(&schedule(&mut shard, 5 * SECOND)), first);
}

#[test]
fn a_suspect_waits_for_an_empty_upstream_and_runs_alone() {
    let mut shard = shard(&[2]);
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(2, false, Time(SECOND));
    shard.enqueue(ticket(1, 0), Time(SECOND));
    shard.schedule(Time(SECOND), &quarantine);
    shard.confirm(ticket(1, 0).id, Time(SECOND));
    shard.enqueue(ticket(2, 0), Time(SECOND));
    shard.enqueue(ticket(3, 0), Time(SECOND));
    assert_eq!(shard.schedule(Time(SECOND), &quarantine), []);

    let complete = FinishReport {
        whole: true,
        output_tokens: 9,
        ..FinishReport::default()
    };
    shard.finish(ticket(1, 0).id, complete, Time(SECOND));
    let early = shard.schedule(Time(SECOND + 1), &quarantine);
    let actions = shard.schedule(Time(SECOND + 100_000), &quarantine);

    assert_eq!(early, [], "a verdict may be in transit");
    let alone =
        matches!(&actions[..], [Action::Grant { ticket, alone: true, .. }] if ticket.seq == 2);
    assert!(alone, "{actions:?}");
}

#[test]
fn identical_requests_run_one_at_a_time_until_one_completes() {
    let mut shard = shard(&[4]);
    let duplicate = Ticket {
        fingerprint: 1,
        ..ticket(2, 0)
    };
    shard.enqueue(ticket(1, 0), Time(SECOND));
    shard.enqueue(duplicate.clone(), Time(SECOND));
    assert_eq!(granted(&schedule(&mut shard, SECOND)), [1]);
    shard.confirm(ticket(1, 0).id, Time(SECOND));

    let complete = FinishReport {
        whole: true,
        output_tokens: 9,
        ..FinishReport::default()
    };
    shard.finish(ticket(1, 0).id, complete, Time(SECOND));

    assert_eq!(granted(&schedule(&mut shard, SECOND + 1)), [2]);
}

#[test]
fn a_quarantined_request_is_declined_in_the_round_it_is_queued_in() {
    let mut shard = shard(&[2]);
    let mut quarantine = Quarantine::default();
    shard.schedule(Time(SECOND), &quarantine);
    quarantine.record_crash(1, false, Time(SECOND));
    quarantine.record_crash(1, true, Time(SECOND));
    shard.enqueue(ticket(1, 0), Time(SECOND + 1));

    let actions = shard.schedule(Time(SECOND + 1), &quarantine);

    let declined = matches!(
        actions[..],
        [Action::Decline {
            code: Code::Quarantined,
            ..
        }]
    );
    assert!(declined, "{actions:?}");
}
