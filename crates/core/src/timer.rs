//! The timer service: parts subscribe to points in time.

use std::collections::BTreeMap;

use crate::clock::Instant;

/// A pending subscription; hand it back to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle {
    at: Instant,
    number: u64,
}

/// Ordered set of subscriptions with a topic each.
///
/// The service has no clock of its own: its owner sleeps until [`next`] and
/// then takes what is due with [`expired`].
///
/// [`next`]: Service::next
/// [`expired`]: Service::expired
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, timer};
///
/// let mut timers = timer::Service::new();
/// timers.subscribe(Instant::from_millis(20), "late");
/// let early = timers.subscribe(Instant::from_millis(10), "early");
/// assert_eq!(timers.next(), Some(Instant::from_millis(10)));
/// timers.cancel(early);
/// assert_eq!(timers.expired(Instant::from_millis(30)), ["late"]);
/// ```
#[derive(Clone, Debug)]
pub struct Service<T> {
    pending: BTreeMap<Handle, T>,
    numbers: u64,
}

impl<T> Service<T> {
    /// Creates a service without subscriptions.
    pub fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            numbers: 0,
        }
    }

    /// Number of pending subscriptions.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The earliest point to which anyone has subscribed.
    pub fn next(&self) -> Option<Instant> {
        self.pending.keys().next().map(|handle| handle.at)
    }

    /// Subscribes `topic` to `at`.
    pub fn subscribe(&mut self, at: Instant, topic: T) -> Handle {
        self.numbers += 1;
        let handle = Handle {
            at,
            number: self.numbers,
        };
        self.pending.insert(handle, topic);
        handle
    }

    /// Cancels a subscription; a no-op once it has expired.
    pub fn cancel(&mut self, handle: Handle) {
        self.pending.remove(&handle);
    }

    /// Removes and returns all topics that are due, in order of time.
    pub fn expired(&mut self, now: Instant) -> Vec<T> {
        let rest = self.pending.split_off(&Handle {
            at: now,
            number: u64::MAX,
        });
        let due = std::mem::replace(&mut self.pending, rest);
        due.into_values().collect()
    }
}

impl<T> Default for Service<T> {
    fn default() -> Self {
        Self::new()
    }
}
