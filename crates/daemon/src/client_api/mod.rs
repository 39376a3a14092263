/*!
The HTTP interface for clients: OpenAI-compatible completions and calls to plain
services.
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

/// Path prefix of calls to plain services.
const SERVICES_PATH_PREFIX: &str = "/services/";

/// Handles one request of a client.
pub async fn handle(node: Rc<Node>, request: Request) -> Response<BoxBody> {
    let path = request.path().to_owned();
    let method = request.method().as_str().to_owned();
    match (method.as_str(), path.as_str()) {
        ("GET", "/ready") => http::readiness(node.is_ready()),
        ("POST", "/v1/completions") => {
            completions::handle(node, request, completions::Endpoint::Completions).await
        }
        ("POST", "/v1/chat/completions") => {
            completions::handle(node, request, completions::Endpoint::ChatCompletions).await
        }
        (_, "/v1/completions" | "/v1/chat/completions") => method_not_allowed(),
        (_, path) if path.starts_with(SERVICES_PATH_PREFIX) => {
            services::handle(node, request).await
        }
        _ => http::problem(
            404,
            "not-found",
            "there is nothing at this path",
            ExecutionState::NotExecuted,
            None,
        ),
    }
}

fn method_not_allowed() -> Response<BoxBody> {
    http::problem(
        405,
        "wrong-method",
        "only POST is allowed here",
        ExecutionState::NotExecuted,
        None,
    )
}

/// Creates the error response to a refused request.
pub(crate) fn refusal_response(refusal: &Refusal) -> Response<BoxBody> {
    let reason = refusal.reason;
    http::problem(
        reason.http_status(),
        reason.name(),
        refusal_detail(reason),
        refusal.ran,
        refusal.retry_after,
    )
}

/// Returns the text that clients receive for a refusal reason.
pub(crate) fn refusal_detail(reason: RefusalReason) -> &'static str {
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
        RefusalReason::Interrupted => "this instance ends before the answer is complete",
        RefusalReason::DeadlineExceeded => "the deadline passed",
        RefusalReason::TargetsFailed => "the targets failed and no retry is left",
        RefusalReason::NotConfigured => "this instance has no configuration for the request yet",
    }
}
