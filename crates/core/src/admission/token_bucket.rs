//! A token bucket that may go into debt.

use std::time::Duration;

use crate::clock::Instant;

/// Credit that refills at a rate and is spent by admissions.
///
/// A request larger than the burst is let in when the bucket is full, and the
/// debt keeps the next ones out; else a prompt of a million tokens could never
/// pass a limit of less than that a second.
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    credit: f64,
    refilled_at: Option<Instant>,
}

impl TokenBucket {
    /// Refills for the time since the last call, up to `burst_s` of the rate.
    pub fn refill(&mut self, rate_per_s: f64, burst_s: f64, now: Instant) {
        let full = rate_per_s * burst_s;
        self.credit = match self.refilled_at {
            None => full,
            Some(before) => {
                let earned = (now - before).as_secs_f64() * rate_per_s;
                (self.credit + earned).min(full)
            }
        };
        self.refilled_at = Some(now);
    }

    /// How long until `amount` may be taken; none if it may be now.
    pub fn wait_for(&self, amount: f64, rate_per_s: f64) -> Option<Duration> {
        let needed = amount.min(rate_per_s).max(0.0);
        if self.credit >= needed {
            return None;
        }
        let seconds = (needed - self.credit) / rate_per_s.max(1e-9);
        Some(Duration::from_secs_f64(seconds.min(3_600.0)))
    }

    /// Takes credit, into debt if need be.
    pub fn take(&mut self, amount: f64) {
        self.credit -= amount;
    }
}
