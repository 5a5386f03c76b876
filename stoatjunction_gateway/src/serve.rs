//! Serving of one request from its acceptance to its single final answer.

use std::sync::Arc;

use stoatjunction_core::claim::{ClaimState, StoredAnswer};
use stoatjunction_core::life::RequestLifecycle;
use stoatjunction_core::prefix::estimate_tokens;
use stoatjunction_net::prelude::*;

use crate::caller_request::CallerRequest;
use crate::claims::{self, ClaimResult};
use crate::context::Context;
use crate::grant_search::{Grant, GrantSearch, SearchError, TicketEvents};
use crate::refusal::Refusal;
use crate::reply::Reply;
use crate::run::{Run, RunEnd};

/// End of a request.
#[derive(Debug)]
enum RequestEnd {
    Answered {
        content_type: String,
        body: Option<bytes::Bytes>,
    },
    Refused(Refusal),
    CallerGone(Outcome),
}

/// Serves `request` and sends its final answer on `reply`.
pub(crate) async fn serve(
    cx: Arc<Context>,
    bundle: Arc<Bundle>,
    request: CallerRequest,
    mut reply: Reply,
) {
    let _in_flight = cx.in_flight.enter();
    let tier = request.credential.tier.to_string();
    let facts = [
        ("request", request.id.as_str()),
        ("kind", request.kind_name.as_str()),
        ("organisation", request.credential.organisation.as_str()),
        ("tier", tier.as_str()),
    ];
    cx.timeline.record("accepted", &facts);
    let end = match request.key.clone() {
        None => place_and_run(&cx, &bundle, &request, &mut reply, 0).await,
        Some(key) => serve_with_key(&cx, &bundle, &request, &key, &mut reply).await,
    };
    finish(&cx, &request, end, &mut reply).await;
}

/// Serves a request that may take effect at most once: it runs only under a claim on its key.
async fn serve_with_key(
    cx: &Arc<Context>,
    bundle: &Bundle,
    request: &CallerRequest,
    key: &str,
    reply: &mut Reply,
) -> RequestEnd {
    let held = match claims::acquire(cx, request, key).await {
        Ok(ClaimResult::Acquired(held)) => held,
        Ok(ClaimResult::Answered(answer)) => return send_stored_answer(answer, reply),
        Err(refusal) => return RequestEnd::Refused(refusal),
    };
    let end = place_and_run(cx, bundle, request, reply, bundle.limits.max_kept_answer).await;
    let outcome = match &end {
        RequestEnd::Answered { .. } => Outcome::Ran,
        RequestEnd::Refused(refusal) => refusal.outcome,
        RequestEnd::CallerGone(outcome) => *outcome,
    };
    let state = match (&end, outcome) {
        (RequestEnd::Answered { content_type, body }, _) => ClaimState::Done {
            answer: body.as_ref().map(|body| StoredAnswer {
                content_type: content_type.clone(),
                body_hex: hex::encode(body),
            }),
        },
        (_, Outcome::NotRun) => ClaimState::Released,
        (_, Outcome::Ran | Outcome::Unknown) => ClaimState::Unknown,
    };
    claims::finalize(cx, held, state);
    end
}

/// Sends the stored answer of an earlier request.
fn send_stored_answer(answer: StoredAnswer, reply: &mut Reply) -> RequestEnd {
    match hex::decode(&answer.body_hex) {
        Ok(body) => {
            reply.send_all(&answer.content_type, body.into());
            RequestEnd::Answered {
                content_type: answer.content_type,
                body: None,
            }
        }
        Err(_) => {
            let detail = "the stored answer cannot be decoded";
            RequestEnd::Refused(Refusal::new(Code::AnswerNotKept, detail))
        }
    }
}

/// Places and runs the request. It is placed again only while no upstream has started it.
async fn place_and_run(
    cx: &Context,
    bundle: &Bundle,
    request: &CallerRequest,
    reply: &mut Reply,
    max_kept_bytes: usize,
) -> RequestEnd {
    let mut lifecycle = RequestLifecycle::new(request.deadline);
    let mut events = TicketEvents::new();
    let mut search = GrantSearch::new(cx, bundle, request);
    loop {
        let grant = match search
            .find_grant(cx, request, &mut lifecycle, &mut events, reply)
            .await
        {
            Ok(grant) => grant,
            Err(SearchError::Refused(refusal)) => return RequestEnd::Refused(refusal),
            Err(SearchError::CallerGone) => return RequestEnd::CallerGone(lifecycle.outcome()),
        };
        let Some(upstream) = bundle.upstreams.get(&grant.upstream) else {
            // The dispatcher's bundle is newer than the one that the request was validated against.
            cx.dispatchers.withdraw(grant.ticket);
            let _ = lifecycle.release_grant();
            search = GrantSearch::new(cx, bundle, request);
            continue;
        };
        let mut run = Run::new(cx, request, &grant, upstream, max_kept_bytes);
        let end = run.execute(&mut lifecycle, &mut events, reply).await;
        record_run(cx, request, &grant, &run, &end);
        match end {
            RunEnd::NotStarted { .. } => {
                let _ = lifecycle.release_grant();
            }
            end => return request_end(end, &lifecycle),
        }
    }
}

fn record_run(cx: &Context, request: &CallerRequest, grant: &Grant, run: &Run<'_>, end: &RunEnd) {
    if *end == RunEnd::Expired {
        cx.dispatchers.withdraw(grant.ticket);
        return;
    }
    cx.dispatchers
        .record_finished(grant.ticket, run.finish_report(end));
    let cause = match end {
        RunEnd::Late => "late",
        RunEnd::Revoked => "revoked",
        RunEnd::CallerGone => "caller_gone",
        RunEnd::Broken { crashed: true } => "crash",
        RunEnd::Broken { crashed: false } => "broken",
        _ => "",
    };
    if !cause.is_empty() {
        let wasted = i64::from(estimate_tokens(request.body.len()));
        cx.metrics
            .count("wasted_prefill_tokens", wasted, &[("cause", cause)]);
    }
    let result = if cause.is_empty() { "ended" } else { cause };
    let facts = [
        ("request", request.id.as_str()),
        ("ticket", &grant.ticket.to_string()),
        ("upstream", grant.upstream.as_str()),
        ("result", result),
    ];
    cx.timeline.record("run", &facts);
    if let Some(delay) = run.first_token_delay() {
        let tier = request.credential.tier.to_string();
        let ms = delay.as_millis() as i64;
        cx.metrics.count("first_token_ms", ms, &[("tier", &tier)]);
    }
}

fn request_end(end: RunEnd, lifecycle: &RequestLifecycle) -> RequestEnd {
    let refuse = |code, detail: &str| {
        let outcome = lifecycle.outcome();
        RequestEnd::Refused(Refusal::new(code, detail).with_outcome(outcome))
    };
    match end {
        RunEnd::Complete { content_type, body } => RequestEnd::Answered { content_type, body },
        RunEnd::Expired => refuse(
            Code::Expired,
            "the deadline passed before the request was dispatched",
        ),
        RunEnd::ErrorStatus(status) => refuse(
            Code::UpstreamError,
            &format!("the upstream responded with status {status}"),
        ),
        RunEnd::Broken { .. } => refuse(
            Code::UpstreamBroken,
            "the upstream's response was interrupted before it was complete",
        ),
        RunEnd::Late => refuse(
            Code::Late,
            "the deadline passed while the request was running",
        ),
        RunEnd::Revoked => refuse(
            Code::Preempted,
            "the run was cancelled in favour of a higher tier",
        ),
        RunEnd::CallerGone => RequestEnd::CallerGone(lifecycle.outcome()),
        RunEnd::NotStarted { .. } => refuse(Code::Internal, "internal error in stoatjunction"),
    }
}

async fn finish(cx: &Context, request: &CallerRequest, end: RequestEnd, reply: &mut Reply) {
    let tier = request.credential.tier.to_string();
    let organisation = request.credential.organisation.as_str();
    let tags = [
        ("tier", tier.as_str()),
        ("kind", request.kind_name.as_str()),
        ("organisation", organisation),
    ];
    match end {
        RequestEnd::Answered { .. } => {
            cx.timeline.record("answered", &[("request", &request.id)]);
            cx.metrics.count("answered", 1, &tags);
        }
        RequestEnd::CallerGone(outcome) => {
            let facts = [
                ("request", request.id.as_str()),
                ("outcome", outcome.as_str()),
            ];
            cx.timeline.record("caller_gone", &facts);
            cx.metrics.count("caller_gone", 1, &tags);
        }
        RequestEnd::Refused(refusal) => {
            let code = refusal.code.to_string();
            let facts = [
                ("request", request.id.as_str()),
                ("code", code.as_str()),
                ("outcome", refusal.outcome.as_str()),
            ];
            cx.timeline.record("refused", &facts);
            cx.metrics
                .count("refused", 1, &[("tier", &tier), ("code", &code)]);
            reply.refuse(&refusal).await;
        }
    }
}
