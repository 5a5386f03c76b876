//! Lifecycle of one request.

use proptest::prelude::*;
use stoatjunction_core::life::{RequestLifecycle, TransitionError};
use stoatjunction_core::prelude::*;
use yare::parameterized;

fn ticket(seq: u64) -> TicketId {
    TicketId {
        gateway: GatewayId(1),
        seq,
    }
}

fn granted(deadline: u64) -> RequestLifecycle {
    let mut life = RequestLifecycle::new(Time(deadline));
    life.enqueue(ticket(1)).expect("queued");
    life.grant(ticket(1)).expect("granted");
    life
}

#[test]
fn a_grant_for_an_earlier_ticket_is_rejected() {
    let mut life = RequestLifecycle::new(Time(10));
    life.enqueue(ticket(1)).expect("queued");
    life.enqueue(ticket(2)).expect("queued again");

    let stale = life.grant(ticket(1));

    assert_eq!(stale, Err(TransitionError::StaleTicket));
    assert_eq!(life.grant(ticket(2)), Ok(()));
}

#[parameterized(
    before = { 9, Ok(()) },
    at = { 10, Err(TransitionError::PastDeadline) },
    long_after_a_pause = { 1_000_000, Err(TransitionError::PastDeadline) },
)]
fn the_deadline_is_checked_at_dispatch(now: u64, expected: Result<(), TransitionError>) {
    let mut life = granted(10);

    let dispatched = life.dispatch(Time(now));

    assert_eq!(dispatched, expected);
}

#[test]
fn the_outcome_reflects_what_is_known() {
    let mut life = granted(10);
    assert_eq!(life.outcome(), Outcome::NotRun);

    life.dispatch(Time(1)).expect("dispatched");
    assert_eq!(life.outcome(), Outcome::Unknown);

    life.record_answer_started();
    assert_eq!(life.outcome(), Outcome::Ran);
}

#[test]
fn not_started_is_rejected_after_the_answer_started() {
    let mut life = granted(10);
    life.dispatch(Time(1)).expect("dispatched");
    life.record_answer_started();

    assert_eq!(life.record_not_started(), Err(TransitionError::WrongStage));
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    Enqueue(u64),
    Grant(u64),
    ReleaseGrant,
    Dispatch(u64),
    NotStarted,
    AnswerStarted,
    End,
}

fn transition() -> impl Strategy<Value = Transition> {
    prop_oneof![
        (0..4u64).prop_map(Transition::Enqueue),
        (0..4u64).prop_map(Transition::Grant),
        Just(Transition::ReleaseGrant),
        (0..20u64).prop_map(Transition::Dispatch),
        Just(Transition::NotStarted),
        Just(Transition::AnswerStarted),
        Just(Transition::End),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_dispatches_twice(transitions in prop::collection::vec(transition(), 1..60)) {
        let mut life = RequestLifecycle::new(Time(10));
        let mut running = 0;
        let mut ends = 0;
        for transition in transitions {
            match transition {
                Transition::Enqueue(n) => drop(life.enqueue(ticket(n))),
                Transition::Grant(n) => drop(life.grant(ticket(n))),
                Transition::ReleaseGrant => drop(life.release_grant()),
                Transition::Dispatch(at) => running += u32::from(life.dispatch(Time(at)).is_ok()),
                Transition::NotStarted => running -= u32::from(life.record_not_started().is_ok()),
                Transition::AnswerStarted => life.record_answer_started(),
                Transition::End => ends += u32::from(life.end()),
            }
            prop_assert!(running <= 1);
            prop_assert!(ends <= 1);
            prop_assert_eq!(life.outcome() == Outcome::NotRun, running == 0);
        }
    }
}
