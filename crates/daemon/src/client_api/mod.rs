/*!
The interface for callers: completions in the OpenAI-compatible shape, and
calls to plain services.
*/

mod completion_request;
mod completions;
mod request_checks;
mod service_call;
mod services;

use std::rc::Rc;

use actix_http::{Request, Response, body::BoxBody};
use cyclamengauge_core::request::{ExecutionState, Refusal, RefusalReason};

use crate::{http, node::Node};

/// Prefix of calls to plain services.
const SERVICES: &str = "/services/";

/// Answers one request of a caller.
pub async fn handle(node: Rc<Node>, request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/ready") => http::readiness(node.is_ready()),
        ("POST", "/v1/completions") => {
            completions::handle(node, request, completions::Shape::Text).await
        }
        ("POST", "/v1/chat/completions") => {
            completions::handle(node, request, completions::Shape::Chat).await
        }
        (_, "/v1/completions" | "/v1/chat/completions") => wrong_method(),
        (_, path) if path.starts_with(SERVICES) => services::handle(node, request).await,
        _ => http::problem(
            404,
            "not-found",
            "there is nothing at this path",
            ExecutionState::NotExecuted,
            None,
        ),
    }
}

fn wrong_method() -> Response<BoxBody> {
    http::problem(
        405,
        "wrong-method",
        "only POST is allowed here",
        ExecutionState::NotExecuted,
        None,
    )
}

/// The answer to a refused request.
pub(crate) fn refuse(refusal: &Refusal) -> Response<BoxBody> {
    let reason = refusal.reason;
    http::problem(
        reason.http_status(),
        reason.name(),
        detail(reason),
        refusal.ran,
        refusal.retry_after,
    )
}

/// What a caller should know about a reason.
pub(crate) fn detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::RateLimited => "the account is above its rate",
        RefusalReason::TooManyConcurrent => "the account has too many requests in progress",
        RefusalReason::OverFairShare => "capacity is short and the account is above its share",
        RefusalReason::DeadlineUnreachable => "the answer could not be complete by the deadline",
        RefusalReason::InstanceFull => "this instance has all the requests it may hold",
        RefusalReason::NoEngine => "no engine serves the model now",
        RefusalReason::PromptTooLong => "the prompt needs more memory than the fleet has",
        RefusalReason::Quarantined => "this content has crashed engines",
        RefusalReason::UnderSuspicion => {
            "this content was on an engine that crashed; a verdict is due"
        }
        RefusalReason::ShuttingDown => "this instance is shutting down; another one will serve you",
        RefusalReason::DeadlineExceeded => "the deadline passed",
        RefusalReason::TargetsFailed => "the targets failed and no retry is left",
        RefusalReason::NotConfigured => "this instance has no configuration for the request yet",
    }
}
