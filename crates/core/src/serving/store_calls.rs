//! Times of the calls with which an instance watches a table of the platform's store.
//!
//! A feed call returns as soon as the table changes, or else after the longest wait that
//! it asks for. A response can get lost while the connection stays open; only the
//! timeout of the call shows that. A call that is lost just before the end of a
//! disruption delays what changes afterwards, so its timeout and the retry fit into the
//! limit for being up to date again.

use std::time::Duration;

use crate::clock::Instant;

/// Shortest wait of a feed call for changes, so that an idle watch makes few calls.
const MIN_FEED_WAIT: Duration = Duration::from_millis(500);

/// Time for the response to a feed call, beyond the call's wait.
const FEED_RESPONSE_MARGIN: Duration = Duration::from_millis(700);

/// Time after the timeout of a feed call for reconnecting, reading the changes and
/// passing them on to peers.
const FEED_RECOVERY_TIME: Duration = Duration::from_millis(800);

/// Time for the store's response to a call that does not wait for changes.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Retry delay after the first failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the time from one failed call to the next call, which doubles with
/// each failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Limits within which a change of a table must be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchLimits {
    /// Time after the end of a disruption at which an instance must be up to date again,
    /// also if `apply` is shorter.
    pub reconnect: Duration,
    /// Time within which an acknowledged change must be in force.
    pub apply: Duration,
}

/// Waits and timeout of a feed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedCall {
    /// Time that the store waits for a change.
    pub max_wait: Duration,
    /// Time from the start of the call after which it has failed.
    pub timeout: Duration,
}

/// Failed calls since the latest successful one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Time at which the first of these calls failed.
    pub since: Instant,
    /// Number of failed calls.
    pub failed_calls: u32,
    /// Time that the latest of them took.
    pub latest_call: Duration,
}

/// Times of the calls for one table.
#[derive(Clone, Debug)]
pub struct StoreCalls {
    outage: Option<Outage>,
    /// Time from the start of the next call, if it fails, to the one after it.
    retry_delay: Duration,
}

impl Default for StoreCalls {
    fn default() -> Self {
        Self {
            outage: None,
            retry_delay: MIN_RETRY_DELAY,
        }
    }
}

impl StoreCalls {
    /// Returns the next feed call. During an outage it does not wait for changes: whether
    /// it was lost is then known early.
    pub fn feed_call(&self, limits: WatchLimits) -> FeedCall {
        if self.outage.is_some() {
            return FeedCall::without_wait();
        }
        let limit = limits.reconnect.max(limits.apply);
        let max_wait = limit
            .saturating_sub(FEED_RESPONSE_MARGIN + FEED_RECOVERY_TIME)
            .max(MIN_FEED_WAIT);
        FeedCall {
            max_wait,
            timeout: max_wait + FEED_RESPONSE_MARGIN,
        }
    }

    /// Records a successful call. Returns the outage that it ends, if there was one.
    pub fn record_success(&mut self) -> Option<Outage> {
        self.retry_delay = MIN_RETRY_DELAY;
        self.outage.take()
    }

    /// Records a failed call that was started at `started_at`.
    pub fn record_failure(&mut self, started_at: Instant, now: Instant) -> Outage {
        let outage = self.outage.get_or_insert(Outage {
            since: now,
            failed_calls: 0,
            latest_call: Duration::ZERO,
        });
        outage.failed_calls += 1;
        outage.latest_call = now - started_at;
        *outage
    }

    /// Takes the delay from the latest failed call to the next one. The time that the call
    /// took counts as part of the delay. `draw` is a random number from 0 to 1, for a
    /// jitter of ±25 %.
    pub fn take_retry_delay(&mut self, draw: f64) -> Duration {
        let delay = self.retry_delay.mul_f64(0.75 + 0.5 * draw);
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        let latest_call = self.outage.map_or(Duration::ZERO, |o| o.latest_call);
        delay.saturating_sub(latest_call).max(MIN_RETRY_DELAY)
    }
}

impl FeedCall {
    /// Returns a call that does not wait for changes.
    pub fn without_wait() -> Self {
        Self {
            max_wait: Duration::ZERO,
            timeout: RESPONSE_TIMEOUT,
        }
    }
}
