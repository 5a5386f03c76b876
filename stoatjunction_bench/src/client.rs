//! HTTP client that sends requests as a caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use serde::Deserialize;
use stoatjunction_net::http::{connect, full};

/// Timeout for connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A request from a caller.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Name of the service.
    pub service: String,
    /// Name of the kind, without its service.
    pub kind: String,
    /// Secret of the credential, sent as a bearer token.
    pub secret: String,
    /// Body.
    pub body: String,
    /// Deadline in milliseconds; `None` for the default of the kind.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub key: Option<String>,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received up to its regular end.
    pub is_complete: bool,
    /// Value of the `Retry-After` header in seconds.
    pub retry_after: Option<u64>,
    /// Time to the first frame of the body, including the time to connect.
    pub time_to_first_byte: Duration,
    /// Time to the end of the body, including the time to connect.
    pub total_time: Duration,
}

/// Body of a refusal.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Problem {
    /// Numbered result code.
    pub code: u16,
    /// Outcome class.
    pub outcome: String,
    /// Explanation.
    pub detail: String,
    /// Identifier of the request.
    pub request: String,
}

impl ClientResponse {
    /// Returns true for an answer that was received completely.
    pub fn is_answer(&self) -> bool {
        self.status == 200 && self.is_complete
    }

    /// Returns the body of a refusal, or `None` for any other response.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_str(&self.body)
            .ok()
            .filter(|_| self.status != 200)
    }

    /// Returns the numeric code of a refusal, or 0 for any other response.
    pub fn code(&self) -> u16 {
        self.problem().map_or(0, |p| p.code)
    }
}

/// Sends `request` to the gateway at `addr` and reads the response to its end.
///
/// # Errors
///
/// Returns an I/O error if no response head is received.
pub async fn send(addr: &str, request: &ClientRequest) -> std::io::Result<ClientResponse> {
    let started_at = Instant::now();
    let path = format!("/v1/services/{}/{}", request.service, request.kind);
    let mut req = Request::post(path)
        .header("host", addr)
        .header("authorization", format!("Bearer {}", request.secret));
    if let Some(ms) = request.deadline_ms {
        req = req.header("x-deadline-ms", ms);
    }
    if let Some(key) = &request.key {
        req = req.header("idempotency-key", key);
    }
    let req = req
        .body(full(request.body.clone()))
        .map_err(std::io::Error::other)?;
    let mut sender = connect(addr, CONNECT_TIMEOUT).await?;
    let res = sender
        .send_request(req)
        .await
        .map_err(std::io::Error::other)?;
    let status = res.status().as_u16();
    let retry_after = res
        .headers()
        .get("retry-after")
        .and_then(|v| v.to_str().ok()?.parse().ok());
    let mut body = res.into_body();
    let mut content: Vec<u8> = Vec::new();
    let mut first_byte_time = None;
    let is_complete = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                first_byte_time.get_or_insert_with(|| started_at.elapsed());
                content.extend_from_slice(&frame.into_data().unwrap_or(Bytes::new()));
            }
        }
    };
    let total_time = started_at.elapsed();
    let body = String::from_utf8_lossy(&content).into_owned();
    Ok(ClientResponse {
        status,
        body,
        is_complete,
        retry_after,
        time_to_first_byte: first_byte_time.unwrap_or(total_time),
        total_time,
    })
}
