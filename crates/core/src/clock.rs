//! Points in time for the decision core, which never reads a clock itself.
//!
//! Each call takes the current time as an argument. In the daemon this is the time
//! since the process started; tests use virtual time.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// Longest duration that [`duration_from_secs`] returns, in seconds: sums and small multiples
/// of such durations don't overflow.
const MAX_SECONDS: f64 = 1e9;

/// Converts a calculated time in seconds to a duration.
///
/// A number below zero and not-a-number become zero, and a time above a billion seconds
/// becomes a billion: the numbers may come from other systems.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use cyclamengauge_core::clock::duration_from_secs;
///
/// assert_eq!(duration_from_secs(1.5), Duration::from_millis(1_500));
/// assert_eq!(duration_from_secs(-1.0), Duration::ZERO);
/// assert_eq!(duration_from_secs(f64::INFINITY), Duration::from_secs(1_000_000_000));
/// ```
pub fn duration_from_secs(seconds: f64) -> Duration {
    match seconds > 0.0 {
        true => Duration::from_secs_f64(seconds.min(MAX_SECONDS)),
        false => Duration::ZERO,
    }
}

/// A point in time, measured from an arbitrary start.
///
/// Addition saturates, and subtraction of a later point gives zero.
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
    /// The start.
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
    pub const fn from_start(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Time since the start.
    pub const fn since_start(self) -> Duration {
        self.0
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
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
