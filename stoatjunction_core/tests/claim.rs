//! Decisions on an existing claim.

use stoatjunction_core::claim::{
    CLOCK_SKEW_MS, Claim, ClaimAttempt, ClaimState, Decision, StoredAnswer, decide,
};
use stoatjunction_core::code::Code;
use yare::parameterized;

const HOLDS_UNTIL: u64 = 10_000;

fn answer() -> StoredAnswer {
    StoredAnswer {
        content_type: "text/plain".to_owned(),
        body_hex: "6f6b".to_owned(),
    }
}

fn claim(state: ClaimState) -> Claim {
    Claim {
        token: "other".to_owned(),
        host: "a".to_owned(),
        incarnation: "1".to_owned(),
        body_hash: "h".to_owned(),
        holds_until_ms: HOLDS_UNTIL,
        state,
    }
}

fn attempt<'a>() -> ClaimAttempt<'a> {
    ClaimAttempt {
        token: "own",
        host: "b",
        incarnation: "2",
        body_hash: "h",
        now_ms: 5_000,
    }
}

fn same_host<'a>() -> ClaimAttempt<'a> {
    ClaimAttempt {
        host: "a",
        ..attempt()
    }
}

fn after(ms: u64) -> ClaimAttempt<'static> {
    ClaimAttempt {
        now_ms: HOLDS_UNTIL + ms,
        ..attempt()
    }
}

#[parameterized(
    own_token = { Claim { token: "own".to_owned(), ..claim(ClaimState::Running) }, attempt(), Decision::OwnClaim },
    running = { claim(ClaimState::Running), attempt(), Decision::Refuse(Code::InProgress) },
    within_the_clock_skew = { claim(ClaimState::Running), after(CLOCK_SKEW_MS), Decision::Refuse(Code::InProgress) },
    holder_lapsed = { claim(ClaimState::Running), after(CLOCK_SKEW_MS + 1), Decision::Refuse(Code::OutcomeUnknown) },
    holder_was_restarted = { claim(ClaimState::Running), same_host(), Decision::Refuse(Code::OutcomeUnknown) },
    answered = { claim(ClaimState::Done { answer: Some(answer()) }), attempt(), Decision::Answer(answer()) },
    answer_too_large = { claim(ClaimState::Done { answer: None }), attempt(), Decision::Refuse(Code::AnswerNotKept) },
    released = { claim(ClaimState::Released), attempt(), Decision::TakeOver },
    outcome_unknown = { claim(ClaimState::Unknown), attempt(), Decision::Refuse(Code::OutcomeUnknown) },
    another_body = { claim(ClaimState::Released), ClaimAttempt { body_hash: "g", ..attempt() }, Decision::Refuse(Code::KeyConflict) },
)]
fn existing_claim_gives_the_expected_decision(
    found: Claim,
    attempt: ClaimAttempt<'_>,
    expected: Decision,
) {
    assert_eq!(decide(&found, attempt), expected);
}
