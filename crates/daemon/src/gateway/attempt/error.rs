//! How an attempt failed.

use http::Response;

use crate::{
    gateway::{
        Gateway,
        attempt::{client_request::ClientRequest, guards::InFlightGuard},
        memory::HeldBody,
        response::GatewayError,
    },
    telemetry::trace::TraceEvent,
};

/// How an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// The request was not sent.
    NotSent,
    /// The target refused the request without executing it.
    NotExecuted,
    /// The target returned a server error, with a complete body.
    ErrorResponse(Box<Response<HeldBody>>),
    /// The connection broke or the response is invalid; the request may have been
    /// executed.
    Broken,
    /// No response, or not the whole body, arrived in time; the request may have been
    /// executed.
    NoResponse,
    /// A peer did not send the request to a target, for a reason that holds at every
    /// instance.
    Refused(GatewayError),
}

impl AttemptError {
    /// Whether the target may have executed the request.
    pub fn may_have_executed(&self) -> bool {
        match self {
            Self::NotSent | Self::NotExecuted | Self::Refused(_) => false,
            Self::ErrorResponse(_) | Self::Broken | Self::NoResponse => true,
        }
    }

    /// Whether the request was sent to the target.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent | Self::Refused(_))
    }

    /// Stable name, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::NotExecuted => "not run",
            Self::ErrorResponse(_) => "answered with a failure",
            Self::Broken => "broke off",
            Self::NoResponse => "silent",
            Self::Refused(_) => "refused by peer",
        }
    }
}

/// Counts and logs a failed attempt; returns the failure.
pub fn log_failure(
    gateway: &Gateway,
    request: &ClientRequest,
    in_flight: &InFlightGuard,
    failure: AttemptError,
    err: &anyhow::Error,
) -> AttemptError {
    metrics::counter!("cyclamengauge_try_failures_total", "failure" => failure.name()).increment(1);
    request.trace.add(TraceEvent::AttemptFailed {
        target: in_flight.target.clone(),
        failure: failure.name(),
        cause: format!("{err:#}"),
        retries_left: gateway.retries_left(&request.service),
    });
    failure
}
