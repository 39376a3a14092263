//! Times of a graceful shutdown.
//!
//! A process that is told to stop serves its open connections for a while, refuses what it
//! could not finish, and gives every caller an answer before it ends.

use std::time::Duration;

use crate::clock::Instant;

/// Share of the time until the process is killed in which new requests are accepted. The rest
/// is for their responses.
const ACCEPTING_SHARE: f64 = 0.3;

/// Share of the time until the process is killed after which it ends by itself.
const RUNNING_SHARE: f64 = 0.93;

/// Part of [`RUNNING_SHARE`] that is left for the last answers to be sent.
const ANSWERING_SHARE: f64 = 0.015;

crate::data_types! {
    /// Times of a shutdown. Invariant: they are in the order of the fields.
    #[derive(Copy, Eq)]
    pub struct Shutdown {
        /// Time from which new requests are refused.
        pub refuses_at: Instant,
        /// Time at which the requests in progress get their final answers.
        pub answers_at: Instant,
        /// Time at which the process ends, whatever is in progress.
        pub ends_at: Instant,
    }
}

impl Shutdown {
    /// Creates the times of a shutdown that starts at `now`; `grace` later the process is
    /// killed.
    pub fn begin(now: Instant, grace: Duration) -> Self {
        let ends_after = grace.mul_f64(RUNNING_SHARE);
        Self {
            refuses_at: now + grace.mul_f64(ACCEPTING_SHARE),
            answers_at: now + ends_after.saturating_sub(grace.mul_f64(ANSWERING_SHARE)),
            ends_at: now + ends_after,
        }
    }

    /// Whether a new request is refused.
    pub fn refuses(&self, now: Instant) -> bool {
        now > self.refuses_at
    }

    /// Whether a request that no target has got is refused: its response would begin only
    /// `estimate` later, when the process ends.
    pub fn is_too_late(&self, estimate: Duration, now: Instant) -> bool {
        self.refuses(now) && now + estimate >= self.answers_at
    }
}
