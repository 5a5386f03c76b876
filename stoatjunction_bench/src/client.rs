//! A caller.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use serde::Deserialize;
use stoatjunction_net::http::{connect, full};

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_secs(5);

/// A request as a caller sends it.
#[derive(Clone, Debug, Default)]
pub struct ClientRequest {
    /// Service.
    pub service: String,
    /// Kind.
    pub kind: String,
    /// Secret of the credential.
    pub secret: String,
    /// Body.
    pub body: String,
    /// Time for the answer in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Idempotency key.
    pub key: Option<String>,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, as far as it came.
    pub body: String,
    /// True when the body ended cleanly.
    pub whole: bool,
    /// Seconds of the Retry-After header.
    pub retry_after: Option<u64>,
    /// Time to the first byte of the body.
    pub time_to_first_byte: Duration,
    /// Time to its end.
    pub total_time: Duration,
}

/// A refusal's body.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Problem {
    /// Numbered result code.
    pub code: u16,
    /// Outcome class.
    pub outcome: String,
    /// Explanation.
    pub detail: String,
    /// Request number.
    pub request: String,
}

impl ClientResponse {
    /// True for a whole answer.
    pub fn is_answer(&self) -> bool {
        self.status == 200 && self.whole
    }

    /// The refusal, when it is one.
    pub fn problem(&self) -> Option<Problem> {
        serde_json::from_str(&self.body)
            .ok()
            .filter(|_| self.status != 200)
    }

    /// Number of the refusal's code, or 0.
    pub fn code(&self) -> u16 {
        self.problem().map_or(0, |p| p.code)
    }
}

/// Sends `request` to the gateway at `addr` and reads all that comes back.
///
/// # Errors
///
/// An I/O error when no response head came.
pub async fn send(addr: &str, request: &ClientRequest) -> std::io::Result<ClientResponse> {
    let begun = Instant::now();
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
    let mut sender = connect(addr, CONNECT).await?;
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
    let mut first = None;
    let whole = loop {
        match body.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                first.get_or_insert_with(|| begun.elapsed());
                content.extend_from_slice(&frame.into_data().unwrap_or(Bytes::new()));
            }
        }
    };
    let total_time = begun.elapsed();
    let body = String::from_utf8_lossy(&content).into_owned();
    Ok(ClientResponse {
        status,
        body,
        whole,
        retry_after,
        time_to_first_byte: first.unwrap_or(total_time),
        total_time,
    })
}
