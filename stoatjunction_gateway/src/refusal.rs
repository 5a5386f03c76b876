//! Refusals: a code, whether the request took effect, and when to retry.

use bytes::Bytes;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use serde::Serialize;
use stoatjunction_core::code::Retry;
use stoatjunction_core::retry::retry_after;
use stoatjunction_net::http::{Body, full};
use stoatjunction_net::prelude::*;

/// Final answer to a request that was not completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) outcome: Outcome,
    pub(crate) retry: Option<Span>,
    pub(crate) detail: String,
}

/// Body of a refusal: problem details as of RFC 9457.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: u16,
    outcome: Outcome,
    detail: &'a str,
    request: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Refusal {
    /// Creates a refusal with the default outcome of `code`.
    pub(crate) fn new<D>(code: Code, detail: D) -> Refusal
    where
        D: Into<String>,
    {
        let retry = (code.retry() != Retry::Never).then_some(Span::ZERO);
        Refusal {
            code,
            outcome: code.outcome(),
            retry,
            detail: detail.into(),
        }
    }

    /// Replaces the outcome.
    pub(crate) fn with_outcome(self, outcome: Outcome) -> Refusal {
        Refusal { outcome, ..self }
    }

    /// Sets the time that a shard expects to need, from which the retry-after time is derived.
    /// Refusals that must not be retried stay without one.
    pub(crate) fn with_retry_after(self, wait: Span) -> Refusal {
        let retry = self.retry.map(|_| wait);
        Refusal { retry, ..self }
    }

    /// Builds the response to the request with the ID `request`.
    pub(crate) fn response(&self, request: &str) -> Response<Body> {
        let retry_after_s = self.retry.map(|wait| {
            let delay = retry_after(wait, fastrand::f64());
            delay.as_secs_f64().ceil() as u64
        });
        let problem = Problem {
            r#type: format!("urn:stoatjunction:code:{}", self.code.number()),
            title: self.code.slug(),
            status: self.code.status(),
            code: self.code.number(),
            outcome: self.outcome,
            detail: &self.detail,
            request,
            retry_after_s,
        };
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        let mut res = Response::builder()
            .status(self.code.status())
            .header(CONTENT_TYPE, "application/problem+json")
            .header("x-request-id", request);
        if let Some(seconds) = retry_after_s {
            res = res.header(RETRY_AFTER, seconds);
        }
        let res = res.body(full(Bytes::from(body)));
        res.unwrap_or_else(|_| Response::new(full("")))
    }
}
