//! Monotonic and wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cyclamengauge_core::clock::Instant;

/// Monotonic clock with its origin at the start of the process, or before it.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: std::time::Instant,
    /// Time from the origin to the start.
    past: Duration,
}

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self::start_with_past(Duration::ZERO)
    }

    /// Creates a clock that starts at `past`, so that it can express the times of events
    /// up to this long before the start.
    pub fn start_with_past(past: Duration) -> Self {
        Self {
            started_at: std::time::Instant::now(),
            past,
        }
    }

    /// Time since the clock's origin.
    pub fn now(&self) -> Instant {
        Instant::from_start(self.past + self.started_at.elapsed())
    }

    /// Time left until `at`; zero once it has passed.
    pub fn until(&self, at: Instant) -> Duration {
        at - self.now()
    }
}

/// Milliseconds since the Unix epoch, for log records and timestamps in messages.
///
/// Clocks of two machines may differ, so no decision compares their times at a
/// granularity finer than minutes.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
