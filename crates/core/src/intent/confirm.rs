//! Acceptance of a plan by one conditional write to the configuration row.

use cyclamengauge_schema::v1;

use crate::check_invariant;

/// Consecutive failed reads of the row after which the outcome is unknown, or
/// refused if no write was sent.
const MAX_READ_ATTEMPTS: u32 = 4;

/// History entries kept in the row; older entries are removed.
pub(crate) const MAX_HISTORY_ENTRIES: usize = 50;

/// Result of a read or write of the configuration row in the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationEvent {
    /// The write took effect.
    Written,
    /// The write's condition did not hold.
    Conflict,
    /// The write got no reply; it may have taken effect.
    WriteReplyLost,
    /// The row was read; `None` if the table has no row.
    Read(Option<Box<v1::Accepted>>),
    /// The row could not be read.
    ReadFailed,
}

/// Next operation for the driver of a [`Confirmation`].
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationStep {
    /// Write this row on condition that the stored configuration still has the
    /// plan's base version.
    Write(Box<v1::Accepted>),
    /// Read the row.
    Read,
    /// The confirmation has ended.
    Done(ConfirmationOutcome),
}

/// Outcome of a confirmation.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationOutcome {
    /// The plan was accepted; this is the row as read back, which may hold a
    /// later version.
    Accepted(Box<v1::Accepted>),
    /// No write of this plan took effect: its base version is not the current
    /// version, or the row could not be read. Holds the reason.
    Refused(String),
    /// A write may or may not have taken effect: the row could not be read back.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading { failed_reads: u32, write_sent: bool },
    Writing,
    Ended,
}

/// State machine that confirms one plan.
///
/// The row is read before the first write: a plan that is already accepted is
/// reported as accepted, and a stale plan is refused without a write.
#[derive(Clone, Debug)]
pub struct Confirmation {
    plan: v1::Plan,
    operator: String,
    accepted_unix_ms: u64,
    phase: Phase,
}

impl Confirmation {
    /// Starts a confirmation and returns its first step.
    ///
    /// The caller has checked that the plan still fits the observed fleet.
    /// `accepted_unix_ms` is the acceptance time to store in the row.
    pub fn begin(
        plan: v1::Plan,
        operator: &str,
        accepted_unix_ms: u64,
    ) -> (Self, ConfirmationStep) {
        let confirmation = Self {
            plan,
            operator: operator.to_owned(),
            accepted_unix_ms,
            phase: Phase::Reading {
                failed_reads: 0,
                write_sent: false,
            },
        };
        (confirmation, ConfirmationStep::Read)
    }

    /// Handles the result of the previous step and returns the next step.
    pub fn handle_event(&mut self, event: ConfirmationEvent) -> ConfirmationStep {
        match (self.phase, event) {
            (Phase::Reading { .. }, ConfirmationEvent::Read(row)) => self.handle_row(row),
            (
                Phase::Reading {
                    failed_reads,
                    write_sent,
                },
                _,
            ) => self.handle_read_failure(failed_reads, write_sent),
            // The row is read back after every write. After a success this is
            // cheap and returns the row that other instances read; after a
            // conflict or a lost reply it shows whether the plan was accepted.
            (
                Phase::Writing,
                ConfirmationEvent::Written
                | ConfirmationEvent::Conflict
                | ConfirmationEvent::WriteReplyLost,
            ) => self.start_read(0, true),
            _ => self.end(ConfirmationOutcome::Unknown),
        }
    }

    fn handle_row(&mut self, row: Option<Box<v1::Accepted>>) -> ConfirmationStep {
        let version = row.as_ref().map_or(0, |r| r.version);
        if let Some(row) = &row {
            let own_entry = row.history.iter().find(|h| h.plan_id == self.plan.id);
            if let Some(entry) = own_entry {
                check_invariant!(
                    entry.version == self.plan.base_version + 1,
                    "successor-of-base",
                    "plan {} from version {} was accepted as version {}",
                    self.plan.id,
                    self.plan.base_version,
                    entry.version
                );
                return self.end(ConfirmationOutcome::Accepted(row.clone()));
            }
        }
        if version != self.plan.base_version {
            return self.end(ConfirmationOutcome::Refused(stale_plan_message(
                row.as_deref(),
                &self.plan,
            )));
        }
        // After a lost reply the write may still be in progress. A repeated write
        // is safe, because only one write from this base version can take effect.
        self.phase = Phase::Writing;
        ConfirmationStep::Write(Box::new(self.successor_row(row.as_deref())))
    }

    fn handle_read_failure(&mut self, failed_reads: u32, write_sent: bool) -> ConfirmationStep {
        if failed_reads + 1 < MAX_READ_ATTEMPTS {
            return self.start_read(failed_reads + 1, write_sent);
        }
        match write_sent {
            true => self.end(ConfirmationOutcome::Unknown),
            false => self.end(ConfirmationOutcome::Refused(
                "the table service does not answer; nothing was written".into(),
            )),
        }
    }

    fn start_read(&mut self, failed_reads: u32, write_sent: bool) -> ConfirmationStep {
        self.phase = Phase::Reading {
            failed_reads,
            write_sent,
        };
        ConfirmationStep::Read
    }

    fn end(&mut self, verdict: ConfirmationOutcome) -> ConfirmationStep {
        self.phase = Phase::Ended;
        ConfirmationStep::Done(verdict)
    }

    fn successor_row(&self, base: Option<&v1::Accepted>) -> v1::Accepted {
        let version = self.plan.base_version + 1;
        let mut history = base.map(|b| b.history.clone()).unwrap_or_default();
        history.push(v1::HistoryEntry {
            version,
            plan_id: self.plan.id.clone(),
            operator: self.operator.clone(),
            accepted_unix_ms: self.accepted_unix_ms,
        });
        let excess = history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        history.drain(..excess);
        v1::Accepted {
            version,
            plan_id: self.plan.id.clone(),
            operator: self.operator.clone(),
            accepted_unix_ms: self.accepted_unix_ms,
            declaration: self.plan.declaration.clone(),
            history,
        }
    }
}

fn stale_plan_message(row: Option<&v1::Accepted>, plan: &v1::Plan) -> String {
    match row {
        Some(row) => format!(
            "the plan was made from version {}, but {} confirmed plan {} as version {}",
            plan.base_version, row.operator, row.plan_id, row.version
        ),
        None => format!(
            "the plan was made from version {}, but there is no configuration",
            plan.base_version
        ),
    }
}
