//! One request between admission and its end.

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId},
    request::{ExecutionState, Request},
    routing::Plan,
    timer,
};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for a new plan.
    Waiting,
    /// Its group's memory is being reserved.
    Reserving,
    /// Its attempt was sent.
    Running,
    /// Its connection broke; a probe will tell whether the engine crashed.
    Suspended,
    /// It is suspected of crashing engines and waits to run alone.
    Suspect,
}

/// A request in progress.
///
/// Invariant: `attempt` and `plan` are present in the phases `Reserving`,
/// `Running` and `Suspended`, and absent in the others.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) request: Request,
    pub(crate) arrived_at: Instant,
    pub(crate) phase: Phase,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) plan: Option<Plan>,
    /// Attempts that failed so far.
    pub(crate) failed_attempts: u32,
    /// Whether any engine was ever sent the request.
    pub(crate) sent: bool,
    /// Tokens of the answer passed on to the caller.
    pub(crate) position: u64,
    /// Last sign of life of the current attempt.
    pub(crate) progressed_at: Instant,
    /// Whether the current attempt has produced a token.
    pub(crate) started: bool,
    /// Whether the current attempt runs alone, as a suspect.
    pub(crate) alone: bool,
    pub(crate) deadline: timer::Handle,
    pub(crate) stall: Option<timer::Handle>,
}

impl Flight {
    pub(crate) fn new(request: Request, deadline: timer::Handle, now: Instant) -> Self {
        Self {
            request,
            arrived_at: now,
            phase: Phase::Waiting,
            attempt: None,
            plan: None,
            failed_attempts: 0,
            sent: false,
            position: 0,
            progressed_at: now,
            started: false,
            alone: false,
            deadline,
            stall: None,
        }
    }

    /// What may truly be said to have run.
    pub(crate) fn ran(&self) -> ExecutionState {
        match (self.position, self.sent) {
            (0, false) => ExecutionState::NotExecuted,
            (0, true) => ExecutionState::Unknown,
            _ => ExecutionState::Partial,
        }
    }

    /// Engines of the current attempt.
    pub(crate) fn engines(&self) -> Vec<EngineId> {
        let segments = self.plan.iter().flat_map(|plan| &plan.segments);
        segments.map(|segment| segment.engine.clone()).collect()
    }

    pub(crate) fn uses(&self, engine: &EngineId) -> bool {
        let segments = self.plan.iter().flat_map(|plan| &plan.segments);
        segments.into_iter().any(|s| &s.engine == engine)
    }

    pub(crate) fn is_group(&self) -> bool {
        self.plan
            .as_ref()
            .is_some_and(|plan| plan.segments.len() > 1)
    }
}
