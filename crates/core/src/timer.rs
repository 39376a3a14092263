//! Timer service: a queue of timers, ordered by due time.

use std::collections::BTreeMap;

use crate::clock::Instant;

/// Identifies a scheduled timer, for [`Queue::cancel`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle {
    at: Instant,
    sequence: u64,
}

/// Pending timers with one event each, ordered by due time.
///
/// The queue has no clock. Its owner sleeps until [`next_due`] and then removes
/// the due events with [`take_expired`].
///
/// [`next_due`]: Queue::next_due
/// [`take_expired`]: Queue::take_expired
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{clock::Instant, timer};
///
/// let mut timers = timer::Queue::new();
/// timers.schedule(Instant::from_millis(20), "late");
/// let early = timers.schedule(Instant::from_millis(10), "early");
/// assert_eq!(timers.next_due(), Some(Instant::from_millis(10)));
/// timers.cancel(early);
/// assert_eq!(timers.take_expired(Instant::from_millis(30)), ["late"]);
/// ```
#[derive(Clone, Debug)]
pub struct Queue<T> {
    pending: BTreeMap<Handle, T>,
    last_sequence: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            pending: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Due time of the earliest timer.
    pub fn next_due(&self) -> Option<Instant> {
        self.pending.keys().next().map(|handle| handle.at)
    }

    /// Schedules `event` for `at`. Events due at the same time keep the order in which
    /// they were scheduled.
    pub fn schedule(&mut self, at: Instant, event: T) -> Handle {
        self.last_sequence += 1;
        let handle = Handle {
            at,
            sequence: self.last_sequence,
        };
        self.pending.insert(handle, event);
        handle
    }

    /// Cancels a timer; a no-op once it has expired.
    pub fn cancel(&mut self, handle: Handle) {
        self.pending.remove(&handle);
    }

    /// Removes and returns the events due at `now` or earlier, in order of due time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let later = self.pending.split_off(&Handle {
            at: now,
            sequence: u64::MAX,
        });
        let due = std::mem::replace(&mut self.pending, later);
        due.into_values().collect()
    }
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self::new()
    }
}
