//! Reasons for error responses that the instance itself generates.

use std::time::Duration;

use actix_http::{
    Response,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};
use cyclamengauge_core::request::ExecutionState;
use cyclamengauge_platform::headers;

use crate::http as server;

/// Reason for an error response that the instance itself generates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The instance has not loaded a configuration yet.
    NotConfigured,
    /// The loaded configuration rejects the request, but may be outdated.
    StaleConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The key belongs to no account.
    WrongKey,
    /// The request is malformed, or its body breaks off.
    BadRequest,
    /// The body did not arrive in time, or gave way to others as it stalled.
    BodyTooSlow,
    /// The body exceeds the limit of the configuration.
    BodyTooLarge,
    /// The request content has crashed engines before.
    ContentCrashesEngines,
    /// A part of the prompt has crashed engines before.
    PartCrashesEngines,
    /// No target of the service is usable.
    NoTarget,
    /// Neither this instance nor a peer reaches a target of the service. Holds the time
    /// after which a retry may succeed.
    TargetsUnreachable(Duration),
    /// The targets have no free slot or memory, or could not be reached. Holds the
    /// time after which a retry is likely to succeed.
    TargetsBusy(Duration),
    /// The limits that the usable targets named are reached. Holds the time after which a
    /// retry is likely to succeed.
    TargetsAtLimit(Duration),
    /// The usable targets want no requests of this instance at present. Holds the time
    /// after which a retry is likely to succeed.
    TargetsPaused(Duration),
    /// The expected wait in the long-prompt queue exceeds the request's limit. Holds
    /// the time after which a retry is likely to succeed.
    Overloaded(Duration),
    /// The prompt needs more KV memory than the engines have.
    PromptTooLong,
    /// There is no memory for the body. Holds the time after which a retry may succeed.
    MemoryShort(Duration),
    /// The instance is shutting down.
    ShuttingDown,
    /// The process ends before the response is complete; the request may have been executed.
    Interrupted,
    /// A target failed; the request may have been executed.
    TargetFailed,
    /// The deadline passed; the request may have been executed.
    TimedOut,
}

impl GatewayError {
    /// Stable name, used in problem documents, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::StaleConfiguration => "configuration-stale",
            Self::NoRoute => "no-route",
            Self::WrongKey => "wrong-key",
            Self::BadRequest => "bad-request",
            Self::BodyTooSlow => "body-too-slow",
            Self::BodyTooLarge => "body-too-large",
            Self::ContentCrashesEngines => "content-crashes-engines",
            Self::PartCrashesEngines => "prompt-part-crashes-engines",
            Self::NoTarget => "no-target",
            Self::TargetsUnreachable(_) => "targets-unreachable",
            Self::TargetsBusy(_) => "targets-busy",
            Self::TargetsAtLimit(_) => "targets-at-limit",
            Self::TargetsPaused(_) => "targets-paused",
            Self::Overloaded(_) => "overloaded",
            Self::PromptTooLong => "prompt-too-long",
            Self::MemoryShort(_) => "memory-short",
            Self::ShuttingDown => "shutting-down",
            Self::Interrupted => "interrupted",
            Self::TargetFailed => "target-failed",
            Self::TimedOut => "timed-out",
        }
    }

    /// HTTP status of the response.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::WrongKey => 401,
            Self::NoRoute => 404,
            Self::BodyTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::TargetFailed | Self::Interrupted => 502,
            Self::TimedOut => 504,
            Self::NotConfigured
            | Self::StaleConfiguration
            | Self::ContentCrashesEngines
            | Self::PartCrashesEngines
            | Self::NoTarget
            | Self::TargetsUnreachable(_)
            | Self::TargetsBusy(_)
            | Self::TargetsAtLimit(_)
            | Self::TargetsPaused(_)
            | Self::Overloaded(_)
            | Self::PromptTooLong
            | Self::MemoryShort(_)
            | Self::ShuttingDown => 503,
        }
    }

    /// Time after which the client may retry: the usual duration of the cause. None
    /// if a retry is unlikely to help.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // The retry opens a new connection, which reaches another instance.
            Self::ShuttingDown | Self::StaleConfiguration => Some(Duration::from_millis(50)),
            Self::NotConfigured => Some(Duration::from_millis(300)),
            Self::TargetsUnreachable(wait)
            | Self::TargetsBusy(wait)
            | Self::TargetsAtLimit(wait)
            | Self::TargetsPaused(wait)
            | Self::MemoryShort(wait)
            | Self::Overloaded(wait) => Some(wait),
            // Typical restart time of a target.
            Self::NoTarget => Some(Duration::from_millis(1_000)),
            Self::ContentCrashesEngines | Self::PartCrashesEngines | Self::PromptTooLong => {
                Some(Duration::from_secs(600))
            }
            Self::NoRoute
            | Self::WrongKey
            | Self::BadRequest
            | Self::BodyTooSlow
            | Self::BodyTooLarge
            | Self::Interrupted
            | Self::TargetFailed
            | Self::TimedOut => None,
        }
    }

    /// The error with a stable name that a peer reports for a request, if it would be the
    /// same at every instance.
    pub fn from_peer(name: &str, retry_after: Duration) -> Option<Self> {
        [
            Self::TargetsAtLimit(retry_after),
            Self::Overloaded(retry_after),
            Self::PromptTooLong,
            Self::PartCrashesEngines,
        ]
        .into_iter()
        .find(|error| error.name() == name)
    }

    fn execution_state(self) -> ExecutionState {
        match self {
            Self::Interrupted | Self::TargetFailed | Self::TimedOut => ExecutionState::Unknown,
            _ => ExecutionState::NotExecuted,
        }
    }
}

/// Builds the problem document for an error of the instance.
pub fn error_response(error: GatewayError) -> Response<BoxBody> {
    let name = error.name();
    let mut response = server::problem(
        error.http_status(),
        name,
        name,
        error.execution_state(),
        None,
    );
    if let Some(delay) = error.retry_after() {
        let value = HeaderValue::from_str(&headers::format_retry_after(delay));
        if let Ok(value) = value {
            let name = HeaderName::from_static(headers::RETRY_AFTER);
            response.headers_mut().insert(name, value);
        }
    }
    response
}
