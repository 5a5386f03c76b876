//! Builders of the stand-ins' responses.

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use serde::Serialize;
use stoatjunction_net::http::{Body, BodyError, full};

/// Returns a response with `status` and a text body.
pub(crate) fn text<T>(status: StatusCode, content: T) -> Response<Body>
where
    T: Into<Bytes>,
{
    let mut res = Response::new(full(content));
    *res.status_mut() = status;
    res
}

/// Returns a response with a JSON body.
pub(crate) fn json<T>(value: &T) -> Response<Body>
where
    T: Serialize,
{
    let content = serde_json::to_vec(value).unwrap_or_default();
    let mut res = text(StatusCode::OK, content);
    let json = hyper::header::HeaderValue::from_static("application/json");
    res.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    res
}

/// Returns a response whose body fails, so that the client cannot know whether the request took
/// effect.
pub(crate) fn broken() -> Response<Body> {
    let error: BodyError = "response lost".into();
    let frames = stream::iter([Err::<Frame<Bytes>, BodyError>(error)]);
    Response::new(BodyExt::boxed(StreamBody::new(frames)))
}

/// Returns the numeric value of `key` in a query string.
pub(crate) fn number(query: &str, key: &str) -> Option<u64> {
    stoatjunction_net::admin::query_value(query, key)?
        .parse()
        .ok()
}
