//! A caller's request as the decisions see it, and how it may end.

use std::{fmt, time::Duration};

use crate::{
    clock::Instant,
    ids::{AccountId, ModelId, RequestId},
    units::Tokens,
};

/// Keyed digest of a request's content, the same for each resend.
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
    /// A leading part of a prompt that an engine may hold in its cache.
    #[derive(Copy)]
    pub struct Prefix {
        /// Digest of the leading part.
        pub hash: PrefixHash,
        /// Its length.
        pub length: Tokens,
    }

    /// A completion that a caller asks for.
    pub struct Request {
        /// Number in this process.
        pub id: RequestId,
        /// Who asks.
        pub account: AccountId,
        /// Model that is to answer.
        pub model: ModelId,
        /// Length of the prompt.
        pub prompt: Tokens,
        /// Longest answer.
        pub max_output: Tokens,
        /// Leading parts, shortest first.
        pub prefixes: Vec<Prefix>,
        /// Digest of the content.
        pub fingerprint: Fingerprint,
        /// When the caller wants the answer complete.
        pub deadline: Instant,
    }
}

impl Request {
    /// KV memory that the request needs at most.
    pub fn memory(&self) -> Tokens {
        self.prompt + self.max_output
    }
}

/// Whether a request that failed has run, as far as its caller may rely on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// No target has begun it and none will.
    NotExecuted,
    /// A target may have run it, wholly or in part.
    Unknown,
    /// Part of the answer has reached the caller.
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

/// Why a request is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account sends more requests or tokens than its rate.
    RateLimited,
    /// The account has its number of requests in progress already.
    TooManyConcurrent,
    /// Capacity is short and the account is above its share.
    OverFairShare,
    /// The estimated wait exceeds the deadline.
    DeadlineUnreachable,
    /// The instance holds as many requests as it may.
    InstanceFull,
    /// No engine serves the model now.
    NoEngine,
    /// The prompt needs more memory than the fleet has together.
    PromptTooLong,
    /// The content has crashed engines.
    Quarantined,
    /// The content was in flight on an engine that crashed; a verdict is due.
    UnderSuspicion,
    /// The instance is shutting down.
    ShuttingDown,
    /// The deadline passed.
    DeadlineExceeded,
    /// Targets failed and no retry is left.
    TargetsFailed,
    /// The instance has no configuration yet.
    NotConfigured,
}

impl RefusalReason {
    /// All reasons, for tables and metrics.
    pub const ALL: [Self; 13] = [
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
        Self::DeadlineExceeded,
        Self::TargetsFailed,
        Self::NotConfigured,
    ];

    /// Stable name, part of the problem type that callers see.
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
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::TargetsFailed => "targets-failed",
            Self::NotConfigured => "not-configured",
        }
    }

    /// HTTP status that goes with the reason.
    pub fn http_status(self) -> u16 {
        match self {
            Self::RateLimited | Self::TooManyConcurrent | Self::OverFairShare => 429,
            Self::PromptTooLong => 413,
            Self::Quarantined => 422,
            Self::DeadlineExceeded => 504,
            Self::TargetsFailed => 502,
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
    /// The final word to a caller whose request is not answered.
    #[derive(Copy)]
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// What may have run.
        pub ran: ExecutionState,
        /// When a new try is worth while; none if it never is.
        pub retry_after: Option<Duration>,
    }
}
