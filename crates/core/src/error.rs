//! The error type of this crate.

use std::fmt;

use crate::text::SmolStr;

/// An error of the decision core.
///
/// It is opaque: callers print it or add context. It holds the failed step, the
/// cause and, if another process was involved, the name of that process.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::error::Error;
///
/// let err = Error::new("renew lease", "the row has a newer version").with_peer("table service");
/// assert_eq!(err.to_string(), "renew lease (table service): the row has a newer version");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    inner: Box<Inner>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Inner {
    step: SmolStr,
    peer: Option<SmolStr>,
    cause: String,
}

impl Error {
    /// Creates an error with the failed step and its cause.
    pub fn new(step: &str, cause: impl Into<String>) -> Self {
        let inner = Inner {
            step: SmolStr::new(step),
            peer: None,
            cause: cause.into(),
        };
        Self {
            inner: Box::new(inner),
        }
    }

    /// The step that failed.
    pub fn step(&self) -> &str {
        &self.inner.step
    }

    /// The other process involved, if any.
    pub fn peer(&self) -> Option<&str> {
        self.inner.peer.as_deref()
    }

    /// Sets the other process involved.
    pub fn with_peer(mut self, peer: &str) -> Self {
        self.inner.peer = Some(SmolStr::new(peer));
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.inner.peer {
            Some(peer) => write!(f, "{} ({}): {}", self.inner.step, peer, self.inner.cause),
            None => write!(f, "{}: {}", self.inner.step, self.inner.cause),
        }
    }
}

impl std::error::Error for Error {}
