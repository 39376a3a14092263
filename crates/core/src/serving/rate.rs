//! How often something happens, with the recent past weighing most.

use std::time::Duration;

use crate::clock::Instant;

/// Time in which the weight of a past event falls to a third: long enough for a
/// handful of events at an instance's rates, short against bursts.
const TIME_CONSTANT: Duration = Duration::from_millis(400);

/// A rate of events, at a point in time.
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
    weight: f64,
    at: Instant,
}

impl Rate {
    /// The rate at a later point if nothing happens until then.
    pub fn decayed_to(self, now: Instant) -> Self {
        let age = (now - self.at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        Self {
            weight: self.weight * (-age).exp(),
            at: now,
        }
    }

    /// The rate after one more event.
    pub fn with_event(self) -> Self {
        Self {
            weight: self.weight + 1.0,
            ..self
        }
    }

    /// Events in a second.
    pub fn per_s(self) -> f64 {
        self.weight / TIME_CONSTANT.as_secs_f64()
    }
}
