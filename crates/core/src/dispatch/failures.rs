//! Failed attempts: probes, retries, and refusals when no retry is allowed.

use std::time::Duration;

use crate::{
    clock::Instant,
    dispatch::{Action, Dispatcher, Failure, ProbeResult, TimerEvent, request_state::Phase},
    ids::{AttemptId, EngineId, RequestId},
    request::RefusalReason,
    routing::PlanError,
};

/// Number of failed attempts after which a request is refused.
const MAX_FAILED_ATTEMPTS: u32 = 4;

/// Time for which an engine must be silent after a connection broke before its attempts are
/// retried without suspicion. The system may close the listener of a process that ends a while
/// after its connections; several probes may see that differently.
const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Time after which a client may resend a request whose targets failed.
const RETRY_AFTER_TARGETS_FAILED: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Processes the failure of an attempt. A no-op if the attempt has ended.
    pub fn handle_failure(
        &mut self,
        attempt: AttemptId,
        failure: Failure,
        now: Instant,
    ) -> Vec<Action> {
        self.process_failure(attempt, failure, now);
        self.take_actions()
    }

    /// Processes the result of a probe that was started at `started_at`: treats the engine as
    /// crashed if it is dead or in another incarnation. Suspended attempts are retried if they
    /// broke before the probe of an engine that is alive, or a while ago on a silent one.
    /// Other attempts on a silent engine go on until they stall: silence is no proof against
    /// their content.
    pub fn handle_probe_result(
        &mut self,
        engine: &EngineId,
        result: ProbeResult,
        started_at: Instant,
        now: Instant,
    ) -> Vec<Action> {
        let known_incarnation = self.membership.incarnation(engine);
        match result {
            ProbeResult::Alive { incarnation }
                if known_incarnation.is_none_or(|known| known == incarnation) =>
            {
                self.retry_suspended(engine, now, |since| since <= started_at);
            }
            ProbeResult::Alive { .. } => self.process_engine_crash(engine, now),
            ProbeResult::Silent => {
                self.membership.record_connection_failure(engine);
                self.refresh_availability(engine, now);
                self.retry_suspended(engine, now, |since| now - since >= MIN_SILENCE);
                if !self.suspended_requests(engine, |_| true).is_empty() {
                    self.actions.push(Action::Probe(engine.clone()));
                }
            }
            ProbeResult::Dead => {
                let is_new_crash = self.membership.mark_dead(engine);
                self.refresh_availability(engine, now);
                // Dead engines are probed repeatedly; each further result is not a
                // new crash.
                if is_new_crash || self.requests.values().any(|state| state.uses(engine)) {
                    self.process_engine_crash(engine, now);
                }
            }
        }
        self.take_actions()
    }

    pub(crate) fn process_failure(&mut self, attempt: AttemptId, failure: Failure, now: Instant) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(lead) = state.engines().into_iter().next() else {
            return;
        };
        match failure {
            Failure::Broken => {
                state.phase = Phase::Suspended { since: now };
                self.actions.push(Action::Probe(lead));
            }
            Failure::NotSent => {
                self.membership.record_connection_failure(&lead);
                self.refresh_availability(&lead, now);
                self.end_attempt(id, now);
                self.retry_attempt(id, now);
            }
            Failure::Rejected => {
                self.end_attempt(id, now);
                self.retry_attempt(id, now);
            }
            Failure::Stalled | Failure::OutOfSequence => {
                self.membership.record_stall(&lead, now);
                self.refresh_availability(&lead, now);
                self.cancel_attempt(id, now);
                self.retry_attempt(id, now);
            }
        }
    }

    pub(crate) fn check_stall(&mut self, attempt: AttemptId, now: Instant) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase != Phase::Running {
            return;
        }
        let due = state.last_progress_at + self.settings.stall_timeout;
        if state.has_first_token && due > now {
            state.stall_timer = Some(self.timers.schedule(due, TimerEvent::Stall(attempt)));
            return;
        }
        self.process_failure(attempt, Failure::Stalled, now);
    }

    /// Starts another attempt if the retry budget, the deadline and the number of
    /// failed attempts permit. Completions have no side effects, so they may be
    /// executed more than once.
    pub(crate) fn retry_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.failed_attempts += 1;
        let attempts_exhausted = state.failed_attempts >= MAX_FAILED_ATTEMPTS;
        if attempts_exhausted || !self.retry_budget.try_take() {
            self.refuse_after_failures(id, now);
            return;
        }
        self.replan(id, now);
    }

    /// Starts an attempt with a new plan, lets the request wait if no engine has room
    /// for it, or refuses it if it cannot start before its deadline.
    pub(crate) fn replan(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let request = state.request.clone();
        match self.fleet.plan(&request, now) {
            Ok(plan) if now + plan.estimate < request.deadline => self.start_attempt(id, plan, now),
            Ok(_) => self.refuse_after_failures(id, now),
            Err(PlanError::NoFreeMemory | PlanError::NoEngine) => self.wait_for_capacity(id, now),
            Err(PlanError::TooLong) => {
                self.refuse_request(id, RefusalReason::PromptTooLong, None, now)
            }
        }
    }

    fn refuse_after_failures(&mut self, id: RequestId, now: Instant) {
        let retry_after = Some(RETRY_AFTER_TARGETS_FAILED);
        self.refuse_request(id, RefusalReason::TargetsFailed, retry_after, now);
    }

    /// Retries the attempts on an engine that are suspended since a time that `is_due` accepts.
    /// Only the connection broke, so no request becomes a suspect.
    fn retry_suspended(
        &mut self,
        engine: &EngineId,
        now: Instant,
        is_due: impl Fn(Instant) -> bool,
    ) {
        for id in self.suspended_requests(engine, is_due) {
            self.cancel_attempt(id, now);
            self.retry_attempt(id, now);
        }
    }

    fn suspended_requests(
        &self,
        engine: &EngineId,
        is_due: impl Fn(Instant) -> bool,
    ) -> Vec<RequestId> {
        let on_engine = self.requests.iter().filter(|(_, state)| state.uses(engine));
        on_engine
            .filter(|(_, state)| matches!(state.phase, Phase::Suspended { since } if is_due(since)))
            .map(|(id, _)| *id)
            .collect()
    }
}
