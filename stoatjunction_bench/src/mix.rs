//! Random mix of requests to the services of a layout.

use serde_json::json;

use crate::client::{ClientRequest, ClientResponse};
use crate::layout::{Layout, secret};
use stoatjunction_standin::engine::expected_answer;

/// Filler text that prompts are made of.
const FILLER: &str = "the scooter was brought in with a fault and the line was tested twice. ";

/// A request with its expected answer.
#[derive(Clone, Debug)]
pub struct SampleRequest {
    /// The request.
    pub request: ClientRequest,
    /// Index of the caller's tier in the layout.
    pub tier: usize,
    /// Body of the complete answer.
    pub expected: String,
    /// Tag under which upstreams record the request.
    pub tag: String,
}

impl SampleRequest {
    /// Returns true if `response` is the complete answer to this request.
    pub fn is_answered_by(&self, response: &ClientResponse) -> bool {
        response.is_answer() && response.body == self.expected
    }
}

/// Returns a request body for an engine and the expected answer.
pub fn engine_body(tag: &str, prompt_chars: usize, tokens: u32) -> (String, String) {
    let prompt = FILLER.repeat(prompt_chars / FILLER.len() + 1);
    let body = json!({"prompt": prompt, "tag": tag, "max_tokens": tokens}).to_string();
    (body, expected_answer(tag, tokens))
}

/// Returns a request body for a plain service and the expected answer.
pub fn plain_body(tag: &str, work_ms: u64) -> (String, String) {
    let body = json!({"tag": tag, "work_ms": work_ms}).to_string();
    (body, json!({"tag": tag, "result": "done"}).to_string())
}

/// Draws request number `n` of a mix over all kinds, tiers and organisations of `layout`.
pub fn draw_sample_request(layout: &Layout, rng: &mut fastrand::Rng, n: usize) -> SampleRequest {
    let kind = &layout.kinds[n % layout.kinds.len()];
    let (service, name) = kind.name.split_once('.').unwrap_or((kind.name, ""));
    let tier = rng.usize(..layout.tiers.len());
    let (organisation, _) = layout.organisations[rng.usize(..layout.organisations.len())];
    let tag = format!("{organisation}-{name}-{n}-{:04x}", rng.u16(..));
    let is_plain = layout
        .upstreams
        .iter()
        .any(|u| u.service == service && u.is_plain());
    let (body, expected) = if is_plain {
        plain_body(&tag, rng.u64(1..30))
    } else {
        let tokens = (3.0 * 100f64.powf(rng.f64() * 0.7)) as u32;
        engine_body(&tag, rng.usize(20..6_000), tokens)
    };
    let needs_key = kind.settings.contains("idempotent = false");
    let request = ClientRequest {
        service: service.to_owned(),
        kind: name.to_owned(),
        secret: secret(organisation, layout.tiers[tier]),
        body,
        deadline_ms: None,
        key: needs_key.then(|| format!("key-{tag}")),
    };
    SampleRequest {
        request,
        tier,
        expected,
        tag,
    }
}
