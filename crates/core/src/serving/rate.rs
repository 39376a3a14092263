//! Exponentially decaying event rates.

use std::time::Duration;

use crate::clock::Instant;

/// Time in which the weight of an event falls to 1/e. An instance sees several
/// events in this time, and it is short compared with bursts.
const TIME_CONSTANT: Duration = Duration::from_millis(400);

/// As [`TIME_CONSTANT`], for an instance that has just started.
const START_TIME_CONSTANT: Duration = Duration::from_millis(30);

/// Time from the first request in which an instance counts as just started.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Factor on the rate at the start, which is known from a few requests only: too low a rate
/// sends a burst to few targets, too high a one spreads it.
const START_MARGIN: f64 = 6.0;

/// Rate of the requests that arrive at an instance. After a start it follows a burst, such
/// as the return of callers that all lost their connections, within a few requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ArrivalRate {
    rate: Rate,
    first_event_at: Option<Instant>,
    /// Count with the shorter time constant, without the latest event.
    burst_count: f64,
    last_event_at: Instant,
}

impl ArrivalRate {
    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.burst_count = match self.first_event_at {
            Some(_) => (self.burst_count + 1.0) * self.burst_decay(now),
            None => 0.0,
        };
        self.first_event_at = self.first_event_at.or(Some(now));
        self.last_event_at = now;
        self.rate = self.rate.decayed_to(now).with_event();
    }

    /// Requests per second: the mean of the last moments, or after a start the present rate
    /// of a burst if that is far above it. The latest request alone makes no burst.
    pub fn per_s(&self, now: Instant) -> f64 {
        let mean_per_s = self.rate.decayed_to(now).per_s();
        let has_started = |at: Instant| now - at > START_TIME;
        if self.first_event_at.is_none_or(has_started) {
            return mean_per_s;
        }
        let burst_count = self.burst_count * self.burst_decay(now);
        let burst_per_s = burst_count / START_TIME_CONSTANT.as_secs_f64();
        mean_per_s.max(START_MARGIN * (burst_per_s - mean_per_s))
    }

    fn burst_decay(&self, now: Instant) -> f64 {
        let age = (now - self.last_event_at).as_secs_f64() / START_TIME_CONSTANT.as_secs_f64();
        (-age).exp()
    }
}

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
