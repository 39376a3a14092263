//! Token bucket whose credit can become negative.

use std::time::Duration;

use crate::clock::Instant;

/// Credit that refills at a constant rate and is spent by admitted requests.
///
/// A request needs at most one second's worth of credit, but all of its amount
/// is taken. The negative credit then delays the next requests. Otherwise a
/// prompt of a million tokens could never pass a limit below a million tokens
/// per second.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    /// Available credit, in requests or prompt tokens; may be negative.
    credit: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Adds the credit for the time since the last refill, up to `burst_s` seconds
    /// of the rate. The first refill fills the bucket.
    pub fn refill(&mut self, rate_per_s: f64, burst_s: f64, now: Instant) {
        let capacity = rate_per_s * burst_s;
        self.credit = match self.refilled_at {
            None => capacity,
            Some(last_refill) => {
                let earned = (now - last_refill).as_secs_f64() * rate_per_s;
                (self.credit + earned).min(capacity)
            }
        };
        self.refilled_at = Some(now);
    }

    /// Time until a request of `amount` may be admitted, at most one hour; none if
    /// it may be admitted now.
    pub fn time_until_available(&self, amount: f64, rate_per_s: f64) -> Option<Duration> {
        let needed = amount.min(rate_per_s).max(0.0);
        if self.credit >= needed {
            return None;
        }
        let seconds = (needed - self.credit) / rate_per_s.max(1e-9);
        Some(Duration::from_secs_f64(seconds.min(3_600.0)))
    }

    /// Takes credit; the credit can become negative.
    pub fn take(&mut self, amount: f64) {
        self.credit -= amount;
    }
}
