//! Checks of a client request before it is scheduled: API key, deadline and body size.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::Bytes;
use cyclamengauge_core::request::{ExecutionState, Refusal, RefusalReason};

use crate::{
    client_api,
    http::{self, BodyError},
    node::{AccountEntry, Node},
};

/// Request header with the time limit for the complete response, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Retry delay that clients receive if the limit on buffered bodies is reached.
const INSTANCE_FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Retry delay that clients receive while the instance starts or shuts down.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Finds the account of the API key in the `Authorization` header.
///
/// # Errors
///
/// The error response, if the instance is not ready or the key belongs to no account.
pub(crate) fn authenticate(
    node: &Node,
    request: &Request,
) -> Result<AccountEntry, Response<BoxBody>> {
    if !node.is_ready() {
        return Err(not_ready_response(node));
    }
    let header = request.headers().get("authorization");
    let authorization = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let key = authorization.strip_prefix("Bearer ").unwrap_or("").trim();
    let directory = node.directory.borrow();
    let account = directory.account(key).cloned();
    account.ok_or_else(|| {
        let detail = "the key in `Authorization: Bearer` belongs to no account";
        http::problem(401, "wrong-key", detail, ExecutionState::NotExecuted, None)
    })
}

/// Returns the time within which the response must be complete.
///
/// The client sets the limit in a request header. Without the header,
/// `service_default_ms` applies or, if that is 0, the default in the settings. The
/// account's maximum caps the limit; an account without a maximum has the default in the
/// settings as its maximum.
///
/// # Errors
///
/// The error response, if the header is not a number of milliseconds above 0.
pub(crate) fn time_limit(
    node: &Node,
    request: &Request,
    account: &AccountEntry,
    service_default_ms: u32,
) -> Result<Duration, Response<BoxBody>> {
    let limits = node.settings.caller_limits.unwrap_or_default();
    let default_ms = match service_default_ms {
        0 => limits.default_deadline_ms,
        service_default_ms => service_default_ms,
    };
    let requested_ms = match request.headers().get(DEADLINE_HEADER) {
        None => u64::from(default_ms),
        Some(value) => {
            let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
            parsed.filter(|ms| *ms > 0).ok_or_else(|| {
                let detail = "X-Deadline-Ms is not a number of milliseconds above 0";
                http::problem(
                    400,
                    "bad-deadline",
                    detail,
                    ExecutionState::NotExecuted,
                    None,
                )
            })?
        }
    };
    let max_ms = match account.max_deadline_ms {
        0 => u64::from(limits.default_deadline_ms),
        max_ms => u64::from(max_ms),
    };
    Ok(Duration::from_millis(requested_ms.min(max_ms)))
}

/// A request body in memory. Until it is dropped, its size counts towards the
/// instance's limit on buffered bodies.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    node: Rc<Node>,
    counted_bytes: usize,
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        subtract(&self.node.buffered_bytes, self.counted_bytes);
    }
}

/// Reads the request body.
///
/// # Errors
///
/// The error response, if the body exceeds the size limit or the timeout, breaks off, or
/// does not fit into the limit on buffered bodies.
pub(crate) async fn read_body(
    node: &Rc<Node>,
    request: &mut Request,
) -> Result<BufferedBody, Response<BoxBody>> {
    let limits = node.settings.caller_limits.unwrap_or_default();
    let max_body_bytes = limits.max_body_bytes as usize;
    let content_length = request
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > max_body_bytes) {
        return Err(body_error_response(BodyError::TooLarge));
    }
    // A body without a `Content-Length` counts with the size limit until it has been
    // received.
    let counted_bytes = content_length.unwrap_or(max_body_bytes);
    let max_buffered_bytes = limits.max_buffered_bytes as usize;
    if node.buffered_bytes.get() + counted_bytes > max_buffered_bytes {
        return Err(client_api::refusal_response(&Refusal {
            reason: RefusalReason::InstanceFull,
            ran: ExecutionState::NotExecuted,
            retry_after: Some(INSTANCE_FULL_RETRY_DELAY),
        }));
    }
    node.buffered_bytes
        .set(node.buffered_bytes.get() + counted_bytes);
    let mut body = BufferedBody {
        bytes: Bytes::new(),
        node: Rc::clone(node),
        counted_bytes,
    };
    let timeout = Duration::from_millis(u64::from(limits.body_timeout_ms));
    body.bytes = http::collect(request, max_body_bytes, timeout)
        .await
        .map_err(body_error_response)?;
    let surplus_bytes = body.counted_bytes.saturating_sub(body.bytes.len());
    subtract(&node.buffered_bytes, surplus_bytes);
    body.counted_bytes -= surplus_bytes;
    Ok(body)
}

/// Creates the error response while the instance starts or shuts down.
pub(crate) fn not_ready_response(node: &Node) -> Response<BoxBody> {
    let reason = match node.shutting_down.get() {
        true => RefusalReason::ShuttingDown,
        false => RefusalReason::NotConfigured,
    };
    client_api::refusal_response(&Refusal {
        reason,
        ran: ExecutionState::NotExecuted,
        retry_after: Some(NOT_READY_RETRY_DELAY),
    })
}

fn body_error_response(err: BodyError) -> Response<BoxBody> {
    let (status, kind) = match err {
        BodyError::TooLarge => (413, "body-too-large"),
        BodyError::TooSlow => (408, "body-too-slow"),
        BodyError::Broken => (400, "body-broken-off"),
    };
    http::problem(
        status,
        kind,
        &err.to_string(),
        ExecutionState::NotExecuted,
        None,
    )
}

fn subtract(counter: &Cell<usize>, amount: usize) {
    counter.set(counter.get().saturating_sub(amount));
}
