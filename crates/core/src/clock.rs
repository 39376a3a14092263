//! Points in time as the decision core sees them.
//!
//! The core never reads a clock. Each call is given the current time, which in
//! the daemon is the time since the process started and in tests is virtual.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time, counted from an arbitrary start.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use cyclamengauge_core::clock::Instant;
///
/// let start = Instant::from_millis(10);
/// let later = start + Duration::from_millis(5);
/// assert_eq!(later - start, Duration::from_millis(5));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// The start of the count.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates a point from microseconds since the start.
    pub const fn from_micros(us: u64) -> Self {
        Self(Duration::from_micros(us))
    }

    /// Creates a point from milliseconds since the start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Creates a point from the time since the start.
    pub const fn from_start(since: Duration) -> Self {
        Self(since)
    }

    /// Time since the start.
    pub const fn since_start(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        Self(self.0.saturating_add(by))
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s", self.0.as_secs_f64())
    }
}
