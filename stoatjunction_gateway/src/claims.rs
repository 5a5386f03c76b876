//! Claims on idempotency keys, stored in the platform's Object API.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use stoatjunction_core::claim::{Claim, ClaimAttempt, ClaimState, Decision, StoredAnswer, decide};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::{PlatformError, Precondition};
use stoatjunction_net::prelude::*;

use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::refusal::Refusal;

/// Delay between attempts to acquire a claim, and initial delay between attempts to write its final
/// state.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to write the final state of a claim.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(5_000);
/// Maximum number of attempts to write the final state of a claim.
const MAX_FINALIZE_ATTEMPTS: u32 = 120;

/// A claim that this gateway holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    object: String,
    claim: Claim,
}

/// Result of acquiring a claim.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// The claim is held, so the request may be dispatched.
    Acquired(HeldClaim),
    /// An earlier request with this key was answered.
    Answered(StoredAnswer),
}

impl HeldClaim {
    fn new(cx: &Context, request: &CallerRequest, key: &str) -> HeldClaim {
        let organisation = &request.credential.organisation;
        let time_left_ms = cx.clock.now().until(request.deadline).as_millis();
        HeldClaim {
            object: object_key(organisation, &request.service, &request.kind_name, key),
            claim: Claim {
                token: format!("{:032x}", fastrand::u128(..)),
                host: cx.cfg.host.clone(),
                incarnation: cx.dispatchers.id.to_string(),
                body_hash: hex::encode(Sha256::digest(&request.body)),
                holds_until_ms: wall_ms() + time_left_ms,
                state: ClaimState::Running,
            },
        }
    }

    fn decide(&self, found: &Claim) -> Decision {
        let claim = &self.claim;
        let attempt = ClaimAttempt {
            token: &claim.token,
            host: &claim.host,
            incarnation: &claim.incarnation,
            body_hash: &claim.body_hash,
            now_ms: wall_ms(),
        };
        decide(found, attempt)
    }
}

/// Returns the key of the claim object. The parts are hashed, each with its length, so that no
/// choice of names leads to the key of another request.
pub(crate) fn object_key(organisation: &str, service: &str, kind: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [organisation, service, kind, key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    format!("claim/{}", hex::encode(hash.finalize()))
}

/// Claims the idempotency key of `request`. Only [`ClaimResult::Acquired`] allows a dispatch.
pub(crate) async fn acquire(
    cx: &Arc<Context>,
    request: &CallerRequest,
    key: &str,
) -> Result<ClaimResult, Refusal> {
    let held = HeldClaim::new(cx, request, key);
    let mut expect = Precondition::Absent;
    let mut may_exist = false;
    loop {
        if cx.clock.now() >= request.deadline {
            return Err(claim_unavailable(
                cx,
                held,
                may_exist,
                "the deadline passed",
            ));
        }
        match write_claim(cx, &held.object, &held.claim, expect).await {
            Ok(()) => return Ok(ClaimResult::Acquired(held)),
            Err(PlatformError::Conflict) => {}
            Err(PlatformError::Lost(_)) => may_exist = true,
            Err(e) => return Err(claim_unavailable(cx, held, may_exist, &e.to_string())),
        }
        match read_claim(cx, &held.object).await {
            Ok((found, version)) => match held.decide(&found) {
                Decision::OwnClaim => return Ok(ClaimResult::Acquired(held)),
                Decision::TakeOver => expect = Precondition::Version(version),
                Decision::Answer(answer) => return Ok(ClaimResult::Answered(answer)),
                Decision::Refuse(code) => return Err(refusal_for(code)),
            },
            Err(PlatformError::NotFound) => expect = Precondition::Absent,
            Err(PlatformError::Lost(_)) => {}
            Err(e) => return Err(claim_unavailable(cx, held, may_exist, &e.to_string())),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Writes the final state of a claim in the background, with retries.
pub(crate) fn finalize(cx: &Arc<Context>, held: HeldClaim, state: ClaimState) {
    let in_flight = cx.in_flight.enter();
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut delay = RETRY_DELAY;
        for _ in 0..MAX_FINALIZE_ATTEMPTS {
            if try_finalize(&cx, &held, &state).await {
                drop(in_flight);
                return;
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        cx.timeline
            .record("claim_unsettled", &[("claim", &held.object)]);
    });
}

/// Returns true when the claim is in `state`, or no longer held by this attempt.
async fn try_finalize(cx: &Context, held: &HeldClaim, state: &ClaimState) -> bool {
    let (found, version) = match read_claim(cx, &held.object).await {
        Ok(found) => found,
        Err(PlatformError::NotFound) => return true,
        Err(_) => return false,
    };
    if found.token != held.claim.token || found.state == *state {
        return true;
    }
    let final_claim = Claim {
        state: state.clone(),
        ..held.claim.clone()
    };
    write_claim(
        cx,
        &held.object,
        &final_claim,
        Precondition::Version(version),
    )
    .await
    .is_ok()
}

async fn write_claim(
    cx: &Context,
    object: &str,
    claim: &Claim,
    expect: Precondition,
) -> Result<(), PlatformError> {
    cx.metrics
        .count("platform_calls", 1, &[("kind", "claim_write")]);
    let value = serde_json::to_string(claim).map_err(|e| PlatformError::Refused(e.to_string()))?;
    cx.platform.put(object, &value, expect).await.map(|_| ())
}

async fn read_claim(cx: &Context, object: &str) -> Result<(Claim, u64), PlatformError> {
    cx.metrics
        .count("platform_calls", 1, &[("kind", "claim_read")]);
    let object = cx.platform.get(object).await?;
    let claim = serde_json::from_str(&object.value);
    let claim = claim.map_err(|e| PlatformError::Refused(e.to_string()))?;
    Ok((claim, object.version))
}

fn claim_unavailable(cx: &Arc<Context>, held: HeldClaim, may_exist: bool, reason: &str) -> Refusal {
    if may_exist {
        finalize(cx, held, ClaimState::Released);
    }
    log::warn!("event=claim_unavailable reason={reason:?}");
    Refusal::new(
        Code::ClaimUnavailable,
        "the idempotency key could not be claimed, so the request was not run",
    )
}

fn refusal_for(code: Code) -> Refusal {
    let detail = match code {
        Code::KeyConflict => "the key was used before with another body",
        Code::InProgress => "another request with this key is running",
        Code::AnswerNotKept => "the request was answered before, but its answer was not kept",
        _ => "an earlier request with this key may or may not have taken effect",
    };
    Refusal::new(code, detail)
}
