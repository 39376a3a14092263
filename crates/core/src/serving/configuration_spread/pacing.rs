//! Spreads the bytes of configurations over time, so that they take a bounded share of
//! the link.

use std::time::Duration;

use crate::{clock::Instant, units::MegabitsPerSecond};

/// Share of the own link for the configurations that an instance sends, and as much for
/// those that it receives.
const LINK_SHARE: f64 = 0.3;

/// Bandwidth that is assumed if the settings don't name one.
pub const DEFAULT_LINK: MegabitsPerSecond = MegabitsPerSecond(100.0);

/// Times at which bytes may be moved.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    rate: MegabitsPerSecond,
    /// Time from which there is room again.
    free_at: Instant,
}

impl Pacer {
    /// A pacer for a share of a link.
    pub fn new(link: MegabitsPerSecond) -> Self {
        Self {
            rate: MegabitsPerSecond(link.0 * LINK_SHARE),
            free_at: Instant::ZERO,
        }
    }

    /// Time until there is room for further bytes.
    pub fn wait(&self, now: Instant) -> Duration {
        self.free_at - now
    }

    /// Records bytes that are moved as soon as there is room.
    pub fn record(&mut self, bytes: usize, now: Instant) {
        self.free_at = self.free_at.max(now) + self.rate.time_for(bytes);
    }
}

impl Default for Pacer {
    fn default() -> Self {
        Self::new(DEFAULT_LINK)
    }
}
