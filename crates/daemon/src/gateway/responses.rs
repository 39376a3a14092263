//! Answers to callers: those of targets, and this system's own.

use std::time::Duration;

use actix_http::{
    ConnectionType, Response, StatusCode,
    body::BoxBody,
    header::{HeaderName, HeaderValue},
};
use bytes::Bytes;
use cyclamengauge_core::request::ExecutionState;
use cyclamengauge_platform::headers;

use crate::{gateway::Gateway, http as server};

/// Headers that concern a single connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why this system answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Own {
    /// No configuration is known yet.
    NotConfigured,
    /// A change of the configuration may be missing, and by the one that is
    /// known the request is not allowed.
    Stale,
    /// No route matches.
    NoRoute,
    /// The key belongs to no account.
    WrongKey,
    /// The request lacks something or is malformed.
    BadRequest,
    /// The body is too large.
    TooLarge,
    /// The content has crashed engines.
    Crashes,
    /// No target can take it now.
    NoTarget,
    /// The targets that were asked have no room; there is some after this time.
    Busy(Duration),
    /// Waiting for its turn would take the request too long; there is room after
    /// this time.
    Overloaded(Duration),
    /// The prompt is larger than an engine's memory.
    TooLong,
    /// The instance is shutting down.
    ShuttingDown,
    /// A target failed; the request may have run.
    Failed,
    /// The time is up; the request may have run.
    TimedOut,
}

impl Own {
    /// Stable name, for callers, logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not-configured",
            Self::Stale => "configuration-stale",
            Self::NoRoute => "no-route",
            Self::WrongKey => "wrong-key",
            Self::BadRequest => "bad-request",
            Self::TooLarge => "body-too-large",
            Self::Crashes => "content-crashes-engines",
            Self::NoTarget => "no-target",
            Self::Busy(_) => "targets-busy",
            Self::Overloaded(_) => "overloaded",
            Self::TooLong => "prompt-too-long",
            Self::ShuttingDown => "shutting-down",
            Self::Failed => "target-failed",
            Self::TimedOut => "timed-out",
        }
    }

    /// Status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::WrongKey => 401,
            Self::NoRoute => 404,
            Self::TooLarge => 413,
            Self::Failed => 502,
            Self::TimedOut => 504,
            Self::NotConfigured
            | Self::Stale
            | Self::Crashes
            | Self::NoTarget
            | Self::Busy(_)
            | Self::Overloaded(_)
            | Self::TooLong
            | Self::ShuttingDown => 503,
        }
    }

    /// When a new try is worth while: after the time in which the cause usually
    /// passes.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another instance takes the new connection.
            Self::ShuttingDown | Self::Stale => Some(Duration::from_millis(50)),
            Self::NotConfigured => Some(Duration::from_millis(300)),
            Self::Busy(wait) | Self::Overloaded(wait) => Some(wait),
            // A target starts again in about that time.
            Self::NoTarget => Some(Duration::from_millis(1_000)),
            Self::Crashes | Self::TooLong => Some(Duration::from_secs(600)),
            Self::NoRoute
            | Self::WrongKey
            | Self::BadRequest
            | Self::TooLarge
            | Self::Failed
            | Self::TimedOut => None,
        }
    }

    fn ran(self) -> ExecutionState {
        match self {
            Self::Failed | Self::TimedOut => ExecutionState::Unknown,
            _ => ExecutionState::NotExecuted,
        }
    }
}

/// This system's own answer.
pub fn own(own: Own) -> Response<BoxBody> {
    let name = own.name();
    let mut response = server::problem(own.status(), name, name, own.ran(), None);
    if let Some(time) = own.retry_after() {
        let value = HeaderValue::from_str(&headers::format_retry_after(time));
        if let Ok(value) = value {
            let name = HeaderName::from_static(headers::RETRY_AFTER);
            response.headers_mut().insert(name, value);
        }
    }
    response
}

/// A target's whole answer.
pub fn whole(answer: http::Response<Bytes>) -> Response<BoxBody> {
    let (head, body) = answer.into_parts();
    with_head(&head, BoxBody::new(body))
}

/// The head of a target's answer with a body.
pub fn with_head(head: &http::response::Parts, body: BoxBody) -> Response<BoxBody> {
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, body);
    for (name, value) in &head.headers {
        if is_hop_by_hop(name.as_str()) || name == http::header::CONTENT_LENGTH {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Whether a header concerns a single connection.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Asks the caller to close the connection if this instance is shutting down.
pub fn finish(gateway: &Gateway, mut response: Response<BoxBody>) -> Response<BoxBody> {
    if gateway.is_closing() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}
