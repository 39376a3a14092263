//! Constructors of the responses that the servers send.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, MessageBody},
};
use bytes::Bytes;
use cyclamengauge_core::request::ExecutionState;
use serde::Serialize;

/// Prefix of the `type` of problem documents.
const PROBLEM_TYPE_PREFIX: &str = "urn:cyclamengauge:problem:";

/// Problem document as in RFC 9457, with the members `ran` and `retry_after_s`.
#[derive(Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    ran: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Creates a response with the JSON text `body`.
pub fn json(status: u16, body: impl Into<Bytes>) -> Response<BoxBody> {
    with_content_type(status, "application/json", body.into())
}

/// Creates a response with the plain text `body`.
pub fn text(status: u16, body: impl Into<Bytes>) -> Response<BoxBody> {
    with_content_type(status, "text/plain; charset=utf-8", body.into())
}

/// Creates the response to a readiness check: status 200 if ready, 503 if not.
pub fn readiness(ready: bool) -> Response<BoxBody> {
    match ready {
        true => text(200, "ready\n"),
        false => text(503, "not ready\n"),
    }
}

/// Creates an error response of type `application/problem+json`.
///
/// `ran` says whether the request may have run. `retry_after` is the delay after which
/// the client may retry, rounded up to full seconds.
pub fn problem(
    status: u16,
    kind: &str,
    detail: &str,
    ran: ExecutionState,
    retry_after: Option<Duration>,
) -> Response<BoxBody> {
    let retry_after_s = retry_after.map(ceil_seconds);
    let problem = Problem {
        r#type: format!("{PROBLEM_TYPE_PREFIX}{kind}"),
        title: kind,
        status,
        detail,
        ran: ran.to_string(),
        retry_after_s,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut builder = Response::build(status_code(status));
    builder.insert_header(("content-type", "application/problem+json"));
    if let Some(seconds) = retry_after_s {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder
        .body(BoxBody::new(Bytes::from(body)))
        .map_into_boxed_body()
}

/// Creates a response with status 200 that streams server-sent events.
pub fn event_stream(body: impl MessageBody + 'static) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .body(BoxBody::new(body))
        .map_into_boxed_body()
}

fn with_content_type(status: u16, content_type: &str, body: Bytes) -> Response<BoxBody> {
    Response::build(status_code(status))
        .insert_header(("content-type", content_type))
        .body(BoxBody::new(body))
        .map_into_boxed_body()
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn ceil_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1_000) as u64
}
