//! HeaderNames of the headers by which callers, the daemon and upstreams tell each other things.

use http::HeaderName;

/// The header names of a deployment. The defaults are the product's own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one sending of a request by its caller; echoed in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait.
    pub deadline: HeaderName,
    /// Key of the caller's organisation.
    pub key: HeaderName,
    /// Name of the organisation, for the upstream.
    pub organisation: HeaderName,
    /// Id of the upstream that alone may run the request.
    pub expected_upstream: HeaderName,
    /// Proof of the upstream that an answer is its own.
    pub receipt: HeaderName,
    /// Statement of the upstream that it did not run the request.
    pub not_run: HeaderName,
    /// Numbers of tokens of the prompt and, at most, of the answer.
    pub tokens: HeaderName,
    /// Parts of the prompt.
    pub prompt: HeaderName,
    /// Running requests, waiting requests and slots of the upstream.
    pub load: HeaderName,
    /// Id of the last event a stream's reader has.
    pub last_event: HeaderName,
    /// Headers that only the system may set for upstreams.
    pub reserved: Vec<HeaderName>,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request_id: HeaderName::from_static("x-request-id"),
            deadline: HeaderName::from_static("x-deadline-ms"),
            key: HeaderName::from_static("x-key"),
            organisation: HeaderName::from_static("x-organisation"),
            expected_upstream: HeaderName::from_static("x-expected-upstream"),
            receipt: HeaderName::from_static("x-receipt"),
            not_run: HeaderName::from_static("x-not-started"),
            tokens: HeaderName::from_static("x-tokens"),
            prompt: HeaderName::from_static("x-prompt-parts"),
            load: HeaderName::from_static("x-load"),
            last_event: HeaderName::from_static("last-event-id"),
            reserved: Vec::new(),
        }
    }
}
