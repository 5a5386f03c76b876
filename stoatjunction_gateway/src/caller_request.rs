//! Validation of callers' requests.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderMap};
use stoatjunction_core::prefix::{estimate_tokens, prefix_hashes};
use stoatjunction_core::quarantine::fingerprint;
use stoatjunction_core::shard::Ticket;
use stoatjunction_net::bundle::{Credential, Kind};
use stoatjunction_net::prelude::*;

use crate::refusal::Refusal;

/// Header with the time allowed for the answer, in milliseconds from arrival.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key, under which a request takes effect at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A validated request of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    /// Request ID, which callers and upstreams see too.
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) kind_name: String,
    pub(crate) kind: Kind,
    pub(crate) credential: Credential,
    pub(crate) share: u32,
    pub(crate) key: Option<String>,
    pub(crate) arrival: Time,
    pub(crate) deadline: Time,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: u64,
    pub(crate) marks: Vec<u32>,
}

impl CallerRequest {
    /// Validates `req` against `bundle` and reads its body.
    pub(crate) async fn parse(
        id: &str,
        req: Request<Incoming>,
        bundle: &Bundle,
        arrival: Time,
    ) -> Result<CallerRequest, Refusal> {
        let path = req.uri().path().to_owned();
        let (service, kind_name) = parse_path(&path)?;
        let credential = authenticate(req.headers(), bundle)?;
        if !bundle.services.contains_key(service) {
            return Err(Refusal::new(
                Code::UnknownService,
                format!("no service `{service}`"),
            ));
        }
        let Some(kind) = bundle.kind(service, kind_name) else {
            let detail = format!("service `{service}` has no kind `{kind_name}`");
            return Err(Refusal::new(Code::UnknownKind, detail));
        };
        let deadline = arrival + parse_deadline(req.headers(), kind)?;
        let key = parse_key(req.headers(), kind)?;
        let body = read_body(req, bundle.limits.max_body).await?;
        let organisation = bundle.organisations.get(&credential.organisation);
        Ok(CallerRequest {
            id: id.to_owned(),
            service: service.to_owned(),
            kind_name: kind_name.to_owned(),
            kind: kind.clone(),
            share: organisation.map_or(1, |o| o.share),
            key,
            arrival,
            deadline,
            fingerprint: fingerprint(&credential.organisation, kind_name, &body),
            marks: prefix_hashes(&body),
            credential,
            body,
        })
    }

    /// Creates the ticket `id` for queueing the request at a shard.
    pub(crate) fn ticket(&self, id: TicketId) -> Ticket {
        Ticket {
            id,
            tier: self.credential.tier,
            organisation: self.credential.organisation.clone(),
            share: self.share,
            kind: self.kind_name.clone(),
            arrival: self.arrival,
            deadline: self.deadline,
            input_tokens: estimate_tokens(self.body.len()),
            output_hint: self.kind.output_hint,
            marks: self.marks.clone(),
            fingerprint: self.fingerprint,
            cancellable: self.kind.cancellable,
            roles: self.kind.roles.clone(),
        }
    }
}

fn parse_path(path: &str) -> Result<(&str, &str), Refusal> {
    let suffix = path.strip_prefix("/v1/services/");
    let parts = suffix.and_then(|r| r.split_once('/'));
    let valid = parts.filter(|(s, k)| !s.is_empty() && !k.is_empty() && !k.contains('/'));
    valid.ok_or_else(|| {
        Refusal::new(
            Code::NoSuchPath,
            "the path must be /v1/services/{service}/{kind}",
        )
    })
}

fn authenticate(headers: &HeaderMap, bundle: &Bundle) -> Result<Credential, Refusal> {
    let unauthenticated = || {
        let detail = "the header `Authorization: Bearer SECRET` with a known secret is required";
        Refusal::new(Code::Unauthenticated, detail)
    };
    let value = headers.get(AUTHORIZATION).ok_or_else(unauthenticated)?;
    let secret = value
        .to_str()
        .ok()
        .and_then(|v| v.strip_prefix("Bearer "))
        .ok_or_else(unauthenticated)?;
    bundle
        .credential(secret)
        .cloned()
        .ok_or_else(unauthenticated)
}

fn parse_deadline(headers: &HeaderMap, kind: &Kind) -> Result<Span, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(kind.deadline);
    };
    let max = kind.max_deadline.as_millis();
    let ms = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse::<u64>().ok());
    ms.filter(|ms| (1..=max).contains(ms))
        .map(Span::from_millis)
        .ok_or_else(|| {
            let detail =
                format!("`{DEADLINE_HEADER}` must be a number of milliseconds in 1..={max}");
            Refusal::new(Code::BadDeadline, detail)
        })
}

fn parse_key(headers: &HeaderMap, kind: &Kind) -> Result<Option<String>, Refusal> {
    if kind.idempotent {
        return Ok(None);
    }
    let Some(value) = headers.get(KEY_HEADER) else {
        let detail = "requests that take effect at most once require the header `Idempotency-Key`";
        return Err(Refusal::new(Code::KeyRequired, detail));
    };
    let key = value.to_str().ok().map(str::trim);
    let key = key.filter(|k| !k.is_empty() && k.len() <= MAX_KEY_BYTES);
    let detail = format!("`Idempotency-Key` must be 1 to {MAX_KEY_BYTES} visible characters");
    key.map(|k| Some(k.to_owned()))
        .ok_or_else(|| Refusal::new(Code::BadHeader, detail))
}

async fn read_body(req: Request<Incoming>, max: usize) -> Result<Bytes, Refusal> {
    match Limited::new(req.into_body(), max).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let detail = format!("the body is larger than {max} bytes");
            Err(Refusal::new(Code::BodyTooLarge, detail))
        }
        Err(_) => Err(Refusal::new(
            Code::BodyIncomplete,
            "the body could not be read completely",
        )),
    }
}
