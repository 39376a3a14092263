//! The daemon's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cyclamengauge_core::clock::Instant;

/// The monotonic clock, counted from the daemon's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: std::time::Instant,
}

impl Clock {
    /// Starts the count.
    pub fn start() -> Self {
        Self {
            started: std::time::Instant::now(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        Instant::from_start(self.started.elapsed())
    }

    /// Time left until a point; zero once it has passed.
    pub fn until(&self, at: Instant) -> Duration {
        at - self.now()
    }
}

/// Milliseconds since the Unix epoch, for records that people read. No decision
/// compares such times of two machines at a finer grain than minutes.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| time.as_millis() as u64)
}
