//! Checks that come before any decision: the key, the size and the deadline.

use std::{cell::Cell, rc::Rc, time::Duration};

use actix_http::{HttpMessage, Request, Response, body::BoxBody};
use bytes::Bytes;
use cyclamengauge_core::request::{ExecutionState, Refusal, RefusalReason};

use crate::{
    client_api,
    http::{self, BodyError},
    node::{AccountEntry, Node},
};

/// Header with the time in which the caller wants the whole answer.
const DEADLINE_MS: &str = "x-deadline-ms";

/// When to come back if the instance has no memory for a body.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// When to come back if the instance is starting or shutting down.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Finds the account by the request's key.
pub(crate) fn account(node: &Node, request: &Request) -> Result<AccountEntry, Response<BoxBody>> {
    if !node.is_ready() {
        return Err(not_ready(node));
    }
    let header = request.headers().get("authorization");
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let key = text.strip_prefix("Bearer ").unwrap_or("").trim();
    let directory = node.directory.borrow();
    let found = directory.account(key).cloned();
    found.ok_or_else(|| {
        let detail = "the key in `Authorization: Bearer` belongs to no account";
        http::problem(401, "wrong-key", detail, ExecutionState::NotExecuted, None)
    })
}

/// The time in which the answer must be complete.
pub(crate) fn deadline(
    node: &Node,
    request: &Request,
    account: &AccountEntry,
    default_ms: u32,
) -> Result<Duration, Response<BoxBody>> {
    let limits = node.settings.caller_limits.unwrap_or_default();
    let fallback_ms = match default_ms {
        0 => limits.default_deadline_ms,
        given => given,
    };
    let asked_ms = match request.headers().get(DEADLINE_MS) {
        None => u64::from(fallback_ms),
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
    let most_ms = match account.max_deadline_ms {
        0 => u64::from(limits.default_deadline_ms),
        given => u64::from(given),
    };
    Ok(Duration::from_millis(asked_ms.min(most_ms)))
}

/// A body held in memory; its bytes are counted until it is dropped.
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    node: Rc<Node>,
    counted: usize,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        subtract(&self.node.buffered_bytes, self.counted);
    }
}

/// Reads the body within the bounds of size, memory and time.
pub(crate) async fn body(
    node: &Rc<Node>,
    request: &mut Request,
) -> Result<HeldBody, Response<BoxBody>> {
    let limits = node.settings.caller_limits.unwrap_or_default();
    let max_body = limits.max_body_bytes as usize;
    let announced = request
        .headers()
        .get("content-length")
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|length| length > max_body) {
        return Err(body_problem(BodyError::TooLarge));
    }
    // A body without a length counts as the largest until it has arrived.
    let counted = announced.unwrap_or(max_body);
    let most = limits.max_buffered_bytes as usize;
    if node.buffered_bytes.get() + counted > most {
        return Err(client_api::refuse(&Refusal {
            reason: RefusalReason::InstanceFull,
            ran: ExecutionState::NotExecuted,
            retry_after: Some(FULL_RETRY),
        }));
    }
    node.buffered_bytes.set(node.buffered_bytes.get() + counted);
    let mut held = HeldBody {
        bytes: Bytes::new(),
        node: Rc::clone(node),
        counted,
    };
    let timeout = Duration::from_millis(u64::from(limits.body_timeout_ms));
    let payload = request.take_payload();
    held.bytes = http::collect(payload, max_body, timeout)
        .await
        .map_err(body_problem)?;
    let surplus = held.counted.saturating_sub(held.bytes.len());
    subtract(&node.buffered_bytes, surplus);
    held.counted -= surplus;
    Ok(held)
}

fn not_ready(node: &Node) -> Response<BoxBody> {
    let reason = match node.closing.get() {
        true => RefusalReason::ShuttingDown,
        false => RefusalReason::NotConfigured,
    };
    client_api::refuse(&Refusal {
        reason,
        ran: ExecutionState::NotExecuted,
        retry_after: Some(NOT_READY_RETRY),
    })
}

fn body_problem(err: BodyError) -> Response<BoxBody> {
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
