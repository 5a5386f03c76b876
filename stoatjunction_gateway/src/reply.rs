//! The caller's end of a request: a head and body that are sent as the answer comes in, or one
//! refusal.

use bytes::Bytes;
use hyper::Response;
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use stoatjunction_net::http::{Body, BodyError, BodyFrame, channel_body, full};
use tokio::sync::{mpsc, oneshot};

use crate::refusal::Refusal;

/// Pieces of an answer that wait for a slow caller.
const PENDING: usize = 256;

/// Sending end of one answer.
#[derive(Debug)]
pub(crate) struct Reply {
    request: String,
    head: Option<oneshot::Sender<Response<Body>>>,
    body: Option<mpsc::Sender<BodyFrame>>,
}

impl Reply {
    /// The reply to `request`, and where its head comes out.
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

    /// Sends a piece of the answer, and its head before the first. False when the caller is gone.
    pub(crate) async fn piece(&mut self, content_type: &str, data: Bytes) -> bool {
        if !self.begin(content_type) {
            return false;
        }
        let Some(body) = &self.body else { return false };
        data.is_empty() || body.send(Ok(Frame::data(data))).await.is_ok()
    }

    /// Ends the answer cleanly.
    pub(crate) fn finish(&mut self, content_type: &str) {
        self.begin(content_type);
        self.body = None;
    }

    /// Sends a whole answer at once.
    pub(crate) fn whole(&mut self, content_type: &str, data: Bytes) {
        let res = self.head_of(content_type, full(data));
        self.send_head(res);
    }

    /// Ends with a refusal: as the response when nothing was sent, otherwise as a visible break.
    pub(crate) async fn refuse(&mut self, refusal: &Refusal) {
        if let Some(body) = self.body.take() {
            let broken: BodyError = format!("code {}", refusal.code.number()).into();
            let _ = body.send(Err(broken)).await;
            return;
        }
        let res = refusal.response(&self.request);
        self.send_head(res);
    }

    /// Waits until the caller is gone.
    pub(crate) async fn gone(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    fn begin(&mut self, content_type: &str) -> bool {
        if self.head.is_none() {
            return self.body.is_some();
        }
        let (tx, rx) = mpsc::channel(PENDING);
        let body = channel_body(rx);
        self.body = Some(tx);
        let res = self.head_of(content_type, body);
        self.send_head(res)
    }

    fn head_of(&self, content_type: &str, body: Body) -> Response<Body> {
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
