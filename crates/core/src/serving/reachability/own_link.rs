//! Whether this instance's own link is filled by large bodies that it receives or sends.
//!
//! While it is, connections open late whatever their targets do, so a connection that is
//! not open in time says nothing of its target or the path to it.

use std::time::Duration;

use crate::clock::Instant;

/// Size of a body up to which it is carried too fast to delay anything else.
const MIN_LARGE_BYTES: usize = 32 * 1024;

/// Time without bytes of large bodies after which the link is free.
const SETTLING_TIME: Duration = Duration::from_millis(100);

/// Longest time for which slow connections are put down to the own link, as the path may
/// be cut meanwhile.
const MAX_EXPLAINED_TIME: Duration = Duration::from_millis(1_000);

/// Use of the own link by large bodies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLink {
    /// Start of the latest period of use, and its latest bytes.
    period: Option<(Instant, Instant)>,
}

impl OwnLink {
    /// Records that bytes of a body were received or sent, `body_bytes` of it so far.
    pub fn record_bytes(&mut self, body_bytes: usize, now: Instant) {
        if body_bytes < MIN_LARGE_BYTES {
            return;
        }
        let current = self
            .period
            .filter(|(_, moved_at)| now - *moved_at <= SETTLING_TIME);
        let started_at = current.map_or(now, |(started_at, _)| started_at);
        self.period = Some((started_at, now));
    }

    /// Whether the own link may be the reason why a connection, begun at `started_at`, is
    /// not open at `now`.
    pub fn explains(&self, started_at: Instant, now: Instant) -> bool {
        self.period.is_some_and(|(period_started_at, moved_at)| {
            moved_at + SETTLING_TIME >= started_at && now - period_started_at <= MAX_EXPLAINED_TIME
        })
    }
}
