//! Claims on idempotency keys in the platform's Object API.

use std::sync::Arc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use stoatjunction_core::claim::{Asker, Claim, ClaimState, Found, StoredAnswer, judge};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::{PlatformError, Precondition};
use stoatjunction_net::prelude::*;

use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::refusal::Refusal;

/// Pause between two attempts to settle a claim.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two attempts to write a claim's final state.
const MAX_PAUSE: Duration = Duration::from_millis(5_000);
/// Attempts to write a claim's final state.
const ATTEMPTS: u32 = 120;

/// A claim that this gateway holds.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    object: String,
    claim: Claim,
}

/// What came of asking for a claim.
#[derive(Debug)]
pub(crate) enum Asked {
    /// The request may be dispatched.
    Held(Holding),
    /// The key was answered before.
    Answered(StoredAnswer),
}

impl Holding {
    fn new(cx: &Context, request: &CallerRequest, key: &str) -> Holding {
        let organisation = &request.credential.organisation;
        let left = cx.clock.now().until(request.deadline).as_millis();
        Holding {
            object: object_key(organisation, &request.service, &request.kind_name, key),
            claim: Claim {
                token: format!("{:032x}", fastrand::u128(..)),
                host: cx.cfg.host.clone(),
                incarnation: cx.dispatchers.id.to_string(),
                body_hash: hex::encode(Sha256::digest(&request.body)),
                holds_until_ms: wall_ms() + left,
                state: ClaimState::Running,
            },
        }
    }

    fn judge(&self, found: &Claim) -> Found {
        let own = &self.claim;
        let asker = Asker {
            token: &own.token,
            host: &own.host,
            incarnation: &own.incarnation,
            body_hash: &own.body_hash,
            now_ms: wall_ms(),
        };
        judge(found, asker)
    }
}

/// Key of the claim object. The parts are hashed, so that no name can break out of its place.
pub(crate) fn object_key(organisation: &str, service: &str, kind: &str, key: &str) -> String {
    let mut hash = Sha256::new();
    for part in [organisation, service, kind, key] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    format!("claim/{}", hex::encode(hash.finalize()))
}

/// Claims the key of `call`. Only [`Asked::Held`] allows a dispatch.
pub(crate) async fn ask(
    cx: &Arc<Context>,
    request: &CallerRequest,
    key: &str,
) -> Result<Asked, Refusal> {
    let holding = Holding::new(cx, request, key);
    let mut expect = Precondition::Absent;
    let mut may_exist = false;
    loop {
        if cx.clock.now() >= request.deadline {
            return Err(unavailable(cx, holding, may_exist, "the deadline passed"));
        }
        match put(cx, &holding.object, &holding.claim, expect).await {
            Ok(()) => return Ok(Asked::Held(holding)),
            Err(PlatformError::Conflict) => {}
            Err(PlatformError::Lost(_)) => may_exist = true,
            Err(e) => return Err(unavailable(cx, holding, may_exist, &e.to_string())),
        }
        match read(cx, &holding.object).await {
            Ok((found, version)) => match holding.judge(&found) {
                Found::Ours => return Ok(Asked::Held(holding)),
                Found::TakeOver => expect = Precondition::Version(version),
                Found::Answer(answer) => return Ok(Asked::Answered(answer)),
                Found::Refuse(code) => return Err(found_refusal(code)),
            },
            Err(PlatformError::NotFound) => expect = Precondition::Absent,
            Err(PlatformError::Lost(_)) => {}
            Err(e) => return Err(unavailable(cx, holding, may_exist, &e.to_string())),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Writes the final state of a claim in the background, again and again until it is written.
pub(crate) fn settle(cx: &Arc<Context>, holding: Holding, state: ClaimState) {
    let in_flight = cx.in_flight.enter();
    let cx = cx.clone();
    tokio::spawn(async move {
        let mut pause = PAUSE;
        for _ in 0..ATTEMPTS {
            if try_settle(&cx, &holding, &state).await {
                drop(in_flight);
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        cx.timeline
            .record("claim_unsettled", &[("claim", &holding.object)]);
    });
}

/// True when the claim stands in `state`, or is not ours to change.
async fn try_settle(cx: &Context, holding: &Holding, state: &ClaimState) -> bool {
    let (found, version) = match read(cx, &holding.object).await {
        Ok(found) => found,
        Err(PlatformError::NotFound) => return true,
        Err(_) => return false,
    };
    if found.token != holding.claim.token || found.state == *state {
        return true;
    }
    let settled = Claim {
        state: state.clone(),
        ..holding.claim.clone()
    };
    put(
        cx,
        &holding.object,
        &settled,
        Precondition::Version(version),
    )
    .await
    .is_ok()
}

async fn put(
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

async fn read(cx: &Context, object: &str) -> Result<(Claim, u64), PlatformError> {
    cx.metrics
        .count("platform_calls", 1, &[("kind", "claim_read")]);
    let object = cx.platform.get(object).await?;
    let claim = serde_json::from_str(&object.value);
    let claim = claim.map_err(|e| PlatformError::Refused(e.to_string()))?;
    Ok((claim, object.version))
}

fn unavailable(cx: &Arc<Context>, holding: Holding, may_exist: bool, why: &str) -> Refusal {
    if may_exist {
        settle(cx, holding, ClaimState::Released);
    }
    log::warn!("event=claim_unavailable reason={why:?}");
    Refusal::new(
        Code::ClaimUnavailable,
        "the key could not be recorded, so nothing was run",
    )
}

fn found_refusal(code: Code) -> Refusal {
    let detail = match code {
        Code::KeyConflict => "the key was used before with another body",
        Code::InProgress => "a request with this key is running now",
        Code::AnswerNotKept => "the request was answered before, but its answer was not kept",
        _ => "an earlier request with this key may or may not have taken effect",
    };
    Refusal::new(code, detail)
}
