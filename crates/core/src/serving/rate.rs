//! Exponentially decaying event rates.

use std::time::Duration;

use crate::clock::Instant;

/// Time in which the weight of an event falls to 1/e. An instance sees several
/// events in this time, and it is short compared with bursts.
const TIME_CONSTANT: Duration = Duration::from_millis(400);

/// Event rate with exponential decay, valid at one point in time.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, serving::rate::Rate};
///
/// let mut rate = Rate::default();
/// for n in 0..400 {
///     rate = rate.decayed_to(Instant::from_millis(n * 10)).with_event();
/// }
/// assert!((rate.per_s() - 100.0).abs() < 5.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    decayed_count: f64,
    updated_at: Instant,
}

impl Rate {
    /// Rate at a later point without further events.
    pub fn decayed_to(self, now: Instant) -> Self {
        let age = (now - self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        Self {
            decayed_count: self.decayed_count * (-age).exp(),
            updated_at: now,
        }
    }

    /// Rate with one more event at the same point.
    pub fn with_event(self) -> Self {
        Self {
            decayed_count: self.decayed_count + 1.0,
            ..self
        }
    }

    /// Events per second.
    pub fn per_s(self) -> f64 {
        self.decayed_count / TIME_CONSTANT.as_secs_f64()
    }
}
