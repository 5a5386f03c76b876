//! Reply to a caller: a response that is streamed as the answer arrives, or one refusal.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use stoatjunction_net::http::{Body, BodyError, BodyFrame, channel_body, full};
use tokio::sync::{mpsc, oneshot};

use crate::refusal::Refusal;

/// Maximum number of body frames that are buffered for a slow caller.
const MAX_PENDING_FRAMES: usize = 256;

/// Sender of one response.
#[derive(Debug)]
pub(crate) struct Reply {
    request: String,
    head: Option<oneshot::Sender<Response<Body>>>,
    body: Option<mpsc::Sender<BodyFrame>>,
}

impl Reply {
    /// Creates the reply to the request with the ID `request`, and the receiver of its response.
    pub(crate) fn new(request: &str) -> (Reply, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        (
            Reply {
                request: request.to_owned(),
                head: Some(tx),
                body: None,
            },
            rx,
        )
    }

    /// Sends data of the answer, with the response head first. Returns false when the caller has
    /// disconnected.
    pub(crate) async fn send_data(&mut self, content_type: &str, data: Bytes) -> bool {
        if !self.start_body(content_type) {
            return false;
        }
        let Some(body) = &self.body else { return false };
        data.is_empty() || body.send(Ok(Frame::data(data))).await.is_ok()
    }

    /// Ends the body.
    pub(crate) fn finish(&mut self, content_type: &str) {
        self.start_body(content_type);
        self.body = None;
    }

    /// Sends a complete answer at once.
    pub(crate) fn send_all(&mut self, content_type: &str, data: Bytes) {
        let res = self.build_response(content_type, full(data));
        self.send_head(res);
    }

    /// Ends with a refusal: as the response when nothing was sent, otherwise by aborting the body,
    /// so that the caller does not take it for complete.
    pub(crate) async fn refuse(&mut self, refusal: &Refusal) {
        if let Some(body) = self.body.take() {
            let error: BodyError = format!("code {}", refusal.code.number()).into();
            let _ = body.send(Err(error)).await;
            return;
        }
        let res = refusal.response(&self.request);
        self.send_head(res);
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn caller_gone(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    fn start_body(&mut self, content_type: &str) -> bool {
        if self.head.is_none() {
            return self.body.is_some();
        }
        let (tx, rx) = mpsc::channel(MAX_PENDING_FRAMES);
        let body = channel_body(rx);
        self.body = Some(tx);
        let res = self.build_response(content_type, body);
        self.send_head(res)
    }

    fn build_response(&self, content_type: &str, body: Body) -> Response<Body> {
        let res = Response::builder()
            .header(CONTENT_TYPE, content_type)
            .header("x-request-id", &self.request)
            .body(body);
        res.unwrap_or_else(|_| Response::new(full("")))
    }

    fn send_head(&mut self, res: Response<Body>) -> bool {
        self.head.take().is_some_and(|head| head.send(res).is_ok())
    }
}
