//! Completion requests, and why a request may be refused.

use std::{fmt, time::Duration};

use crate::{
    clock::Instant,
    ids::{AccountId, ModelId, RequestId},
    units::Tokens,
};

/// Keyed digest of a request's content. A resent request has the same digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(|digest| Self(digest.to_be_bytes()))
    }
}

/// Digest of the first tokens of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixHash(pub u64);

crate::data_types! {
    /// A leading part of a prompt that an engine may have in its prefix cache.
    #[derive(Copy)]
    pub struct Prefix {
        /// Digest of the tokens.
        pub hash: PrefixHash,
        /// Number of tokens.
        pub length: Tokens,
    }

    /// A client's request for a completion.
    pub struct Request {
        /// Unique within this process.
        pub id: RequestId,
        /// Account of the client.
        pub account: AccountId,
        /// Requested model.
        pub model: ModelId,
        /// Length of the prompt.
        pub prompt: Tokens,
        /// Limit on the length of the response.
        pub max_output: Tokens,
        /// Leading parts of the prompt, shortest first.
        pub prefixes: Vec<Prefix>,
        /// Digest of the content, the same for each resend.
        pub fingerprint: Fingerprint,
        /// Time by which the response must be complete.
        pub deadline: Instant,
    }
}

impl Request {
    /// Upper bound on the KV memory of the request: prompt and longest response.
    pub fn memory(&self) -> Tokens {
        self.prompt + self.max_output
    }
}

/// Whether a failed request was executed, so that the client can decide about a
/// resend. Clients receive it as the field `ran` of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// No target has started the request, and none will.
    NotExecuted,
    /// A target may have executed the request, completely or in part.
    Unknown,
    /// Part of the response has been sent to the client.
    Partial,
}

impl fmt::Display for ExecutionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotExecuted => "no",
            Self::Unknown => "unknown",
            Self::Partial => "partial",
        })
    }
}

/// Why a request is refused, before or after it was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account exceeds its rate of requests or prompt tokens.
    RateLimited,
    /// The account has reached its limit of concurrent requests.
    TooManyConcurrent,
    /// Capacity is short and the account uses more than its fair share.
    OverFairShare,
    /// The estimated completion time is after the deadline.
    DeadlineUnreachable,
    /// The instance has reached its limit of requests.
    InstanceFull,
    /// No usable engine serves the model.
    NoEngine,
    /// The request needs more KV memory than all engines have together.
    PromptTooLong,
    /// The content is quarantined, as it crashed engines.
    Quarantined,
    /// The content was in flight on an engine that crashed, and the verdict on whether
    /// it is the cause is pending.
    UnderSuspicion,
    /// The instance is shutting down.
    ShuttingDown,
    /// The process ends before the response is complete.
    Interrupted,
    /// The deadline passed.
    DeadlineExceeded,
    /// The targets failed, and no retry is allowed.
    TargetsFailed,
    /// The instance has no configuration for the request yet.
    NotConfigured,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 14] = [
        Self::RateLimited,
        Self::TooManyConcurrent,
        Self::OverFairShare,
        Self::DeadlineUnreachable,
        Self::InstanceFull,
        Self::NoEngine,
        Self::PromptTooLong,
        Self::Quarantined,
        Self::UnderSuspicion,
        Self::ShuttingDown,
        Self::Interrupted,
        Self::DeadlineExceeded,
        Self::TargetsFailed,
        Self::NotConfigured,
    ];

    /// Stable name, used in the problem type sent to clients, in logs and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::RateLimited => "rate-limited",
            Self::TooManyConcurrent => "too-many-concurrent",
            Self::OverFairShare => "over-fair-share",
            Self::DeadlineUnreachable => "deadline-unreachable",
            Self::InstanceFull => "instance-full",
            Self::NoEngine => "no-engine",
            Self::PromptTooLong => "prompt-too-long",
            Self::Quarantined => "content-quarantined",
            Self::UnderSuspicion => "content-under-suspicion",
            Self::ShuttingDown => "shutting-down",
            Self::Interrupted => "interrupted",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::TargetsFailed => "targets-failed",
            Self::NotConfigured => "not-configured",
        }
    }

    /// HTTP status of the response.
    pub fn http_status(self) -> u16 {
        match self {
            Self::RateLimited | Self::TooManyConcurrent | Self::OverFairShare => 429,
            Self::PromptTooLong => 413,
            Self::Quarantined => 422,
            Self::DeadlineExceeded => 504,
            Self::TargetsFailed | Self::Interrupted => 502,
            Self::DeadlineUnreachable
            | Self::InstanceFull
            | Self::NoEngine
            | Self::UnderSuspicion
            | Self::ShuttingDown
            | Self::NotConfigured => 503,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

crate::data_types! {
    /// Final result of a request that gets no complete response.
    #[derive(Copy)]
    pub struct Refusal {
        /// Why the request is refused.
        pub reason: RefusalReason,
        /// Whether the request was executed.
        pub ran: ExecutionState,
        /// Time after which the client may resend the request; `None` if a resend can't
        /// succeed.
        pub retry_after: Option<Duration>,
    }
}
