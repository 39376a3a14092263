//! Answers in the shapes that the project uses.

use std::time::Duration;

use actix_http::{
    Response, StatusCode,
    body::{BoxBody, MessageBody},
};
use bytes::Bytes;
use cyclamengauge_core::request::ExecutionState;
use serde::Serialize;

/// Prefix of the types of problems.
const PROBLEM_TYPE: &str = "urn:cyclamengauge:problem:";

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

/// An answer of JSON.
pub fn json(status: u16, body: impl Into<Bytes>) -> Response<BoxBody> {
    typed(status, "application/json", body.into())
}

/// An answer of plain text.
pub fn text(status: u16, body: impl Into<Bytes>) -> Response<BoxBody> {
    typed(status, "text/plain; charset=utf-8", body.into())
}

/// The answer to a question for readiness.
pub fn readiness(ready: bool) -> Response<BoxBody> {
    match ready {
        true => text(200, "ready\n"),
        false => text(503, "not ready\n"),
    }
}

/// An answer that tells of a problem, as `application/problem+json`.
///
/// `ran` says what may have run; `retry_after` when a new try is worth while.
pub fn problem(
    status: u16,
    kind: &str,
    detail: &str,
    ran: ExecutionState,
    retry_after: Option<Duration>,
) -> Response<BoxBody> {
    let retry_after_s = retry_after.map(whole_seconds);
    let problem = Problem {
        r#type: format!("{PROBLEM_TYPE}{kind}"),
        title: kind,
        status,
        detail,
        ran: ran.to_string(),
        retry_after_s,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut builder = Response::build(code(status));
    builder.insert_header(("content-type", "application/problem+json"));
    if let Some(seconds) = retry_after_s {
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder
        .body(BoxBody::new(Bytes::from(body)))
        .map_into_boxed_body()
}

/// A stream of server-sent events.
pub fn streamed(body: impl MessageBody + 'static) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "text/event-stream"))
        .insert_header(("cache-control", "no-store"))
        .body(BoxBody::new(body))
        .map_into_boxed_body()
}

fn typed(status: u16, content_type: &str, body: Bytes) -> Response<BoxBody> {
    Response::build(code(status))
        .insert_header(("content-type", content_type))
        .body(BoxBody::new(body))
        .map_into_boxed_body()
}

fn code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1_000) as u64
}
