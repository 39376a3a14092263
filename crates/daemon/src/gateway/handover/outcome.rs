//! What came of a peer's attempt, as the headers of its response say.

use http::HeaderMap;

/// What came of the attempt; see [`Outcome`].
pub const OUTCOME_HEADER: &str = "cyclamengauge-outcome";

/// Target of the attempt.
pub const TARGET_HEADER: &str = "cyclamengauge-target";

/// Name of the error for which the peer did not send the request to a target.
pub const ERROR_HEADER: &str = "cyclamengauge-error";

/// Delay of a retry that goes with the error, in milliseconds.
pub const RETRY_AFTER_HEADER: &str = "cyclamengauge-retry-after-ms";

/// What came of a peer's attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is the target's.
    Answered,
    /// The request was not sent to a target.
    NotSent,
    /// The target refused the request without executing it.
    NotExecuted,
    /// The target's response broke off.
    Broken,
    /// The target did not respond in time.
    NoResponse,
}

impl Outcome {
    const ALL: [Self; 5] = [
        Self::Answered,
        Self::NotSent,
        Self::NotExecuted,
        Self::Broken,
        Self::NoResponse,
    ];

    /// Value of the header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotSent => "not-sent",
            Self::NotExecuted => "not-executed",
            Self::Broken => "broken",
            Self::NoResponse => "no-response",
        }
    }

    /// Parses the header of a response; [`Self::Broken`], which promises nothing, if it is
    /// missing or unknown.
    pub fn of(map: &HeaderMap) -> Self {
        let name = header_text(map, OUTCOME_HEADER);
        let mut all = Self::ALL.into_iter();
        let found = all.find(|outcome| Some(outcome.name()) == name);
        found.unwrap_or(Self::Broken)
    }
}

/// Value of a header, if it is text.
pub fn header_text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}
