//! When this instance tells its peers about its load.
//!
//! A placement that peers don't know of lets them choose the same engines, so it is
//! reported to all of them almost at once, in a message with only the changed loads.
//! What frees an engine may be known a little later. Messages get lost; therefore
//! every peer also gets the complete state at a longer interval.

use std::time::Duration;

use crate::clock::Instant;

/// Delay of the report of a placement or of a change of the long-prompt queue.
/// Placements at the same moment share a message.
pub const PLACEMENT_DELAY: Duration = Duration::from_millis(1);

/// Delay of the report of a first event or of the end of a request.
pub const PROGRESS_DELAY: Duration = Duration::from_millis(60);

/// Interval at which queued prompts are reported again, as peers ignore older reports.
pub const QUEUE_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two rounds of complete states.
pub const COMPLETE_STATE_INTERVAL: Duration = Duration::from_millis(400);

/// A message that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueMessage {
    /// The changed loads and the queued prompts, to all live peers.
    Changes,
    /// The complete state, to the peers of the next round.
    CompleteState,
}

/// The times of the next messages.
#[derive(Clone, Debug, Default)]
pub struct Schedule {
    changes_due_at: Option<Instant>,
    complete_state_due_at: Instant,
}

impl Schedule {
    /// Records that a request was placed, or that a prompt entered or left the
    /// long-prompt queue.
    pub fn record_placement(&mut self, now: Instant) {
        self.report_changes_by(now + PLACEMENT_DELAY);
    }

    /// Records the first event or the end of a request.
    pub fn record_progress(&mut self, now: Instant) {
        self.report_changes_by(now + PROGRESS_DELAY);
    }

    /// Records that addresses of peers were found, which get the complete state at once.
    pub fn record_new_peers(&mut self, now: Instant) {
        self.complete_state_due_at = now;
    }

    /// Time of the next message.
    pub fn due_at(&self) -> Instant {
        let complete_state = self.complete_state_due_at;
        self.changes_due_at
            .map_or(complete_state, |changes| changes.min(complete_state))
    }

    /// Takes a message that is due. `has_queued_prompts` says whether the long-prompt
    /// queue of this instance holds any.
    pub fn take_due(&mut self, has_queued_prompts: bool, now: Instant) -> Option<DueMessage> {
        if self.changes_due_at.is_some_and(|due_at| due_at <= now) {
            self.changes_due_at = has_queued_prompts.then_some(now + QUEUE_REPORT_INTERVAL);
            return Some(DueMessage::Changes);
        }
        if self.complete_state_due_at <= now {
            self.complete_state_due_at = now + COMPLETE_STATE_INTERVAL;
            return Some(DueMessage::CompleteState);
        }
        None
    }

    fn report_changes_by(&mut self, due_at: Instant) {
        let known = self.changes_due_at.unwrap_or(due_at);
        self.changes_due_at = Some(known.min(due_at));
    }
}
