//! Names of the HTTP headers that callers, the daemon and upstreams exchange, and of the upstreams' report.

use http::HeaderName;

/// The names of a deployment, by default the product's own.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, a new one for each retry by the caller; echoed in the response.
    pub request_id: HeaderName,
    /// Time in milliseconds that the caller will wait.
    pub deadline: HeaderName,
    /// API key of the caller's organisation.
    pub key: HeaderName,
    /// Name of the organisation, as passed to the upstream.
    pub organisation: HeaderName,
    /// Id of the only upstream that may run the request.
    pub expected_upstream: HeaderName,
    /// Proof that a response was made by the upstream.
    pub signature: HeaderName,
    /// The upstream's statement that it did not run the request.
    pub not_run: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: HeaderName,
    /// Ids and token counts of the parts of the prompt.
    pub prompt: HeaderName,
    /// Numbers of running requests, waiting requests and slots of the upstream.
    pub load: HeaderName,
    /// Requests a second that the upstream takes from all hosts together.
    pub limit: HeaderName,
    /// The upstream's announcement that it leaves.
    pub leaving: HeaderName,
    /// Id of the last event that the reader of a stream has received.
    pub last_event: HeaderName,
    /// Id of the caller's request that brought the first event of a stream that it takes up again.
    pub first_attempt: HeaderName,
    /// Path at which an upstream reports on itself, in JSON.
    pub report_path: String,
    /// Field of that report with the start of the upstream, in milliseconds since the Unix epoch.
    pub report_born: String,
    /// Headers that callers may not pass on to upstreams.
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
            signature: HeaderName::from_static("x-signature"),
            not_run: HeaderName::from_static("x-not-started"),
            tokens: HeaderName::from_static("x-tokens"),
            prompt: HeaderName::from_static("x-prompt-parts"),
            load: HeaderName::from_static("x-load"),
            limit: HeaderName::from_static("x-limit"),
            leaving: HeaderName::from_static("x-leaving"),
            last_event: HeaderName::from_static("last-event-id"),
            first_attempt: HeaderName::from_static("x-resumes"),
            report_path: "/report".to_owned(),
            report_born: "born".to_owned(),
            reserved: Vec::new(),
        }
    }
}
