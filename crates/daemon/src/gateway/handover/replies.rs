//! Responses to peers that hand requests over.

use std::time::Duration;

use actix_http::{
    Response,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};

use crate::{
    gateway::{
        handover::{
            codec::Origin,
            outcome::{ERROR_HEADER, OUTCOME_HEADER, Outcome, RETRY_AFTER_HEADER, TARGET_HEADER},
        },
        response::{GatewayError, UNMARKED_END_HEADER},
    },
    http as server,
};

/// Marks a response as that of a target, for the peer.
pub fn mark_answered(
    response: Response<BoxBody>,
    origin: &Origin,
    has_marked_end: bool,
) -> Response<BoxBody> {
    let mut response = mark(response, origin, Outcome::Answered);
    if !has_marked_end {
        insert(&mut response, UNMARKED_END_HEADER, "1");
    }
    response
}

/// Builds the response for the peer if the attempt has failed.
pub fn error_response(error: GatewayError, origin: &Origin) -> Response<BoxBody> {
    let outcome = match error {
        GatewayError::TargetFailed | GatewayError::Interrupted => Outcome::Broken,
        GatewayError::TimedOut => Outcome::NoResponse,
        _ if origin.was_sent.get() => Outcome::NotExecuted,
        _ => Outcome::NotSent,
    };
    let refusal = refuse(error.name(), error.retry_after());
    mark(refusal, origin, outcome)
}

fn mark(mut response: Response<BoxBody>, origin: &Origin, outcome: Outcome) -> Response<BoxBody> {
    insert(&mut response, OUTCOME_HEADER, outcome.name());
    if let Some(target) = &*origin.target.borrow() {
        insert(&mut response, TARGET_HEADER, target.as_str());
    }
    response
}

/// Builds a response that says why the request was not sent to a target.
pub fn refuse(error: &'static str, retry_after: Option<Duration>) -> Response<BoxBody> {
    let mut response = server::text(503, "");
    insert(&mut response, OUTCOME_HEADER, Outcome::NotSent.name());
    insert(&mut response, ERROR_HEADER, error);
    if let Some(delay) = retry_after {
        let delay_ms = delay.as_millis().to_string();
        insert(&mut response, RETRY_AFTER_HEADER, &delay_ms);
    }
    response
}

/// Sets a header.
pub fn insert(response: &mut Response<BoxBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        let name = HeaderName::from_static(name);
        response.headers_mut().insert(name, value);
    }
}
