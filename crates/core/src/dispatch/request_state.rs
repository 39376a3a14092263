//! State of one request from admission to its outcome.

use crate::{
    clock::Instant,
    ids::{AttemptId, EngineId},
    request::{ExecutionState, Request},
    routing::Plan,
    timer,
};

/// Phase of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No engines can run the request now; it waits to be planned again.
    Waiting,
    /// Memory is being reserved on the engines of its group.
    Reserving,
    /// The current attempt was sent.
    Running,
    /// The connection broke; the result of a probe that starts later decides whether the
    /// engine crashed.
    Suspended {
        /// Time at which the break was noticed.
        since: Instant,
    },
    /// The request was in flight on an engine that crashed, and waits to run
    /// isolated.
    Suspect,
}

/// State of an admitted request.
///
/// Invariant: `attempt` and `plan` are present in the phases `Reserving`,
/// `Running` and `Suspended`, and absent in the others.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) arrived_at: Instant,
    pub(crate) phase: Phase,
    pub(crate) attempt: Option<AttemptId>,
    pub(crate) plan: Option<Plan>,
    /// Number of attempts that failed.
    pub(crate) failed_attempts: u32,
    /// Whether any attempt of the request was sent.
    pub(crate) was_sent: bool,
    /// Number of response tokens delivered to the client.
    pub(crate) delivered_tokens: u64,
    /// Time at which the current attempt was sent or last delivered tokens.
    pub(crate) last_progress_at: Instant,
    /// Whether the current attempt has delivered a token.
    pub(crate) has_first_token: bool,
    /// Whether the current attempt is a suspect's, alone on its engine.
    pub(crate) is_isolated: bool,
    pub(crate) deadline_timer: timer::Handle,
    pub(crate) stall_timer: Option<timer::Handle>,
}

impl RequestState {
    pub(crate) fn new(request: Request, deadline_timer: timer::Handle, now: Instant) -> Self {
        Self {
            request,
            arrived_at: now,
            phase: Phase::Waiting,
            attempt: None,
            plan: None,
            failed_attempts: 0,
            was_sent: false,
            delivered_tokens: 0,
            last_progress_at: now,
            has_first_token: false,
            is_isolated: false,
            deadline_timer,
            stall_timer: None,
        }
    }

    /// Whether engines executed the request, as far as this instance can tell.
    pub(crate) fn execution_state(&self) -> ExecutionState {
        match (self.delivered_tokens, self.was_sent) {
            (0, false) => ExecutionState::NotExecuted,
            (0, true) => ExecutionState::Unknown,
            _ => ExecutionState::Partial,
        }
    }

    /// Engines of the current attempt, lead engine first.
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
