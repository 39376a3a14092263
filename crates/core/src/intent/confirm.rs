//! Gets a plan accepted by one conditional write.

use cyclamengauge_schema::v1;

use crate::check_invariant;

/// Reads of the row before the outcome is reported as unknown.
const READ_TRIES: u32 = 4;

/// Entries of the history that the row keeps.
pub(crate) const HISTORY_LENGTH: usize = 50;

/// What happened at the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationEvent {
    /// The write took effect.
    Written,
    /// The write's condition did not hold.
    Conflict,
    /// No reply came to the write.
    WriteReplyLost,
    /// The row was read; none if there is no row yet.
    Read(Option<Box<v1::Accepted>>),
    /// The row could not be read.
    ReadFailed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationStep {
    /// Write the row if its configuration version is the plan's base.
    Write(Box<v1::Accepted>),
    /// Read the row.
    Read,
    /// The confirmation is over.
    Done(ConfirmationOutcome),
}

/// How a confirmation ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfirmationOutcome {
    /// The plan is in force from this version on.
    Accepted(Box<v1::Accepted>),
    /// The plan no longer says the truth.
    Refused(String),
    /// The write may or may not have taken effect.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Reading { tries: u32, wrote: bool },
    Writing,
    Over,
}

/// A confirmation under way.
///
/// It reads first, so a plan that was accepted already is reported as such and
/// a stale one is refused without a write.
#[derive(Clone, Debug)]
pub struct Confirmation {
    plan: v1::Plan,
    operator: String,
    unix_ms: u64,
    phase: Phase,
}

impl Confirmation {
    /// Starts the confirmation of a plan whose fleet observations still hold.
    pub fn begin(plan: v1::Plan, operator: &str, unix_ms: u64) -> (Self, ConfirmationStep) {
        let confirmation = Self {
            plan,
            operator: operator.to_owned(),
            unix_ms,
            phase: Phase::Reading {
                tries: 0,
                wrote: false,
            },
        };
        (confirmation, ConfirmationStep::Read)
    }

    /// Takes in what happened and returns what to do next.
    pub fn handle_event(&mut self, event: ConfirmationEvent) -> ConfirmationStep {
        match (self.phase, event) {
            (Phase::Reading { .. }, ConfirmationEvent::Read(row)) => self.read(row),
            (Phase::Reading { tries, wrote }, _) => self.read_failed(tries, wrote),
            // After a write that took effect, reading back costs little and
            // yields what others will see; after any other it tells the truth.
            (
                Phase::Writing,
                ConfirmationEvent::Written
                | ConfirmationEvent::Conflict
                | ConfirmationEvent::WriteReplyLost,
            ) => self.read_again(0, true),
            _ => self.over(ConfirmationOutcome::Unknown),
        }
    }

    fn read(&mut self, row: Option<Box<v1::Accepted>>) -> ConfirmationStep {
        let version = row.as_ref().map_or(0, |r| r.version);
        if let Some(row) = &row {
            let mine = row.history.iter().find(|h| h.plan_id == self.plan.id);
            if let Some(entry) = mine {
                check_invariant!(
                    entry.version == self.plan.base_version + 1,
                    "successor-of-base",
                    "plan {} was accepted as version {}",
                    self.plan.id,
                    entry.version
                );
                return self.over(ConfirmationOutcome::Accepted(row.clone()));
            }
        }
        if version != self.plan.base_version {
            return self.over(ConfirmationOutcome::Refused(moved(
                row.as_deref(),
                &self.plan,
            )));
        }
        // After a lost reply the write may still be under way; repeating it is
        // safe, as only one write can have this base.
        self.phase = Phase::Writing;
        ConfirmationStep::Write(Box::new(self.successor(row.as_deref())))
    }

    fn read_failed(&mut self, tries: u32, wrote: bool) -> ConfirmationStep {
        if tries + 1 < READ_TRIES {
            return self.read_again(tries + 1, wrote);
        }
        match wrote {
            true => self.over(ConfirmationOutcome::Unknown),
            false => self.over(ConfirmationOutcome::Refused(
                "the table service does not answer; nothing was written".into(),
            )),
        }
    }

    fn read_again(&mut self, tries: u32, wrote: bool) -> ConfirmationStep {
        self.phase = Phase::Reading { tries, wrote };
        ConfirmationStep::Read
    }

    fn over(&mut self, verdict: ConfirmationOutcome) -> ConfirmationStep {
        self.phase = Phase::Over;
        ConfirmationStep::Done(verdict)
    }

    fn successor(&self, base: Option<&v1::Accepted>) -> v1::Accepted {
        let version = self.plan.base_version + 1;
        let mut history = base.map(|b| b.history.clone()).unwrap_or_default();
        history.push(v1::HistoryEntry {
            version,
            plan_id: self.plan.id.clone(),
            operator: self.operator.clone(),
            accepted_unix_ms: self.unix_ms,
        });
        let surplus = history.len().saturating_sub(HISTORY_LENGTH);
        history.drain(..surplus);
        v1::Accepted {
            version,
            plan_id: self.plan.id.clone(),
            operator: self.operator.clone(),
            accepted_unix_ms: self.unix_ms,
            declaration: self.plan.declaration.clone(),
            history,
        }
    }
}

fn moved(row: Option<&v1::Accepted>, plan: &v1::Plan) -> String {
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
