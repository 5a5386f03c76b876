//! Final answers of the daemon's own.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response};
use stoatjunction_core::code::Code;
use stoatjunction_core::time::Span;

use crate::body::Body;
use crate::names::Names;

/// A final answer that is not the one asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Span>,
}

impl Refusal {
    /// A refusal without advice.
    pub(crate) fn new(code: Code) -> Refusal {
        Refusal {
            code,
            retry_after: None,
        }
    }

    /// A refusal of a request that may come back after `retry_after`.
    pub(crate) fn with_retry_after(code: Code, retry_after: Span) -> Refusal {
        Refusal {
            code,
            retry_after: Some(retry_after),
        }
    }

    /// The refusal as a response to the request with `id`.
    pub(crate) fn response(&self, names: &Names, id: Option<&HeaderValue>) -> Response<Body> {
        let text = format!(
            "{{\"code\":{},\"title\":\"{}\",\"outcome\":\"{}\"}}",
            self.code.number(),
            self.code.slug(),
            self.code.outcome()
        );
        let mut res = Response::new(Body::whole(Bytes::from(text)));
        *res.status_mut() =
            http::StatusCode::from_u16(self.code.status()).expect("codes have valid statuses");
        let headers = res.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(CONTENT_TYPE, kind);
        if let Some(id) = id {
            headers.insert(names.request_id.clone(), id.clone());
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            let value = HeaderValue::from_str(&seconds).expect("digits and a point");
            headers.insert(RETRY_AFTER, value);
        }
        res
    }
}
