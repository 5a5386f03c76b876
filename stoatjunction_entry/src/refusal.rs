//! Error responses that the daemon itself returns.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use stoatjunction_core::code::Code;
use stoatjunction_core::time::Span;

use crate::body::Body;
use crate::header_names::HeaderNames;

/// Refusal of a request, with its error code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Span>,
}

impl Refusal {
    /// Creates a refusal without a retry-after.
    pub(crate) fn new(code: Code) -> Refusal {
        Refusal {
            code,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may be retried after `retry_after`.
    pub(crate) fn with_retry_after(code: Code, retry_after: Span) -> Refusal {
        Refusal {
            code,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal as a response to the request with `id`.
    pub(crate) fn response(&self, names: &HeaderNames, id: Option<&HeaderValue>) -> Response<Body> {
        let text = format!(
            "{{\"code\":{},\"title\":\"{}\",\"outcome\":\"{}\"}}",
            self.code.number(),
            self.code.slug(),
            self.code.outcome()
        );
        let mut res = Response::new(Body::full(Bytes::from(text)));
        *res.status_mut() =
            http::StatusCode::from_u16(self.code.status()).expect("each code has a valid status");
        let headers = res.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, content_type);
        if let Some(id) = id {
            headers.insert(names.request_id.clone(), id.clone());
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let value =
                HeaderValue::from_str(&seconds).expect("a decimal number is a valid header value");
            headers.insert(RETRY_AFTER, value);
        }
        res
    }
}
