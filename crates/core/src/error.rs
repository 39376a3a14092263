//! The one error type of this library.

use std::fmt;

use crate::text::SmolStr;

/// An error of the decision core.
///
/// It is opaque: callers print it or add context to it. It carries the step
/// that failed and, where another process was involved, that peer.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::error::Error;
///
/// let err = Error::new("renew lease", "the row moved on").with_peer("table service");
/// assert_eq!(err.to_string(), "renew lease (table service): the row moved on");
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
    /// Creates an error that arose in `step`.
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

    /// The step in which the error arose.
    pub fn step(&self) -> &str {
        &self.inner.step
    }

    /// The other process involved, if there was one.
    pub fn peer(&self) -> Option<&str> {
        self.inner.peer.as_deref()
    }

    /// Adds the peer at which the error arose.
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
