//! Attempts that fail: what is retried, and what is given up.

use std::time::Duration;

use crate::{
    clock::Instant,
    dispatch::{Action, Dispatcher, Due, Failure, Probed, flight::Phase},
    ids::{AttemptId, EngineId, RequestId},
    request::RefusalReason,
    routing::Unroutable,
};

/// Attempts that may fail before a request is given up.
const MAX_FAILURES: u32 = 4;

/// When a caller may come back after its targets failed.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(2);

impl Dispatcher {
    /// Notes that an attempt failed.
    pub fn failed(&mut self, attempt: AttemptId, failure: Failure, now: Instant) -> Vec<Action> {
        self.attempt_failed(attempt, failure, now);
        self.take_actions()
    }

    /// Takes in the result of a probe.
    pub fn probed(&mut self, engine: &EngineId, probed: Probed, now: Instant) -> Vec<Action> {
        let known = self.members.incarnation(engine);
        match probed {
            Probed::Alive { incarnation } if known.is_none_or(|known| known == incarnation) => {
                self.link_broke(engine, now);
            }
            Probed::Alive { .. } => self.engine_crashed(engine, now),
            Probed::Dead => {
                let newly = self.members.mark_dead(engine);
                self.refresh_standing(engine, now);
                // A dead engine is asked again and again; that is no new death.
                if newly || self.flights.values().any(|flight| flight.uses(engine)) {
                    self.engine_crashed(engine, now);
                }
            }
        }
        self.take_actions()
    }

    pub(crate) fn attempt_failed(&mut self, attempt: AttemptId, failure: Failure, now: Instant) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(lead) = flight.engines().into_iter().next() else {
            return;
        };
        match failure {
            Failure::Broken => {
                flight.phase = Phase::Suspended;
                self.actions.push(Action::Probe(lead));
            }
            Failure::NotSent => {
                self.members.record_connection_failure(&lead);
                self.refresh_standing(&lead, now);
                self.drop_attempt(id, now);
                self.try_again(id, now);
            }
            Failure::Rejected => {
                self.drop_attempt(id, now);
                self.try_again(id, now);
            }
            Failure::Stalled | Failure::OutOfSequence => {
                self.members.record_stall(&lead, now);
                self.refresh_standing(&lead, now);
                self.cancel_attempt(id, now);
                self.try_again(id, now);
            }
        }
    }

    pub(crate) fn check_stall(&mut self, attempt: AttemptId, now: Instant) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.phase != Phase::Running {
            return;
        }
        let due = flight.progressed_at + self.settings.stall_timeout;
        if flight.started && due > now {
            flight.stall = Some(self.timers.schedule(due, Due::Stall(attempt)));
            return;
        }
        self.attempt_failed(attempt, Failure::Stalled, now);
    }

    /// Starts another attempt if the budget, the deadline and the number of
    /// failures allow. A completion may always run again: it changes nothing.
    pub(crate) fn try_again(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.failures += 1;
        let exhausted = flight.failures >= MAX_FAILURES;
        if exhausted || !self.budget.try_take() {
            self.targets_failed(id, now);
            return;
        }
        self.replan(id, now);
    }

    pub(crate) fn replan(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let request = flight.request.clone();
        match self.fleet.plan(&request, now) {
            Ok(plan) if now + plan.estimate < request.deadline => self.start(id, plan, now),
            Ok(_) => self.targets_failed(id, now),
            Err(Unroutable::NoRoom | Unroutable::NoEngine) => self.wait_for_room(id, now),
            Err(Unroutable::TooLong) => self.give_up(id, RefusalReason::PromptTooLong, None, now),
        }
    }

    fn targets_failed(&mut self, id: RequestId, now: Instant) {
        let again = Some(RETRY_AFTER_FAILURE);
        self.give_up(id, RefusalReason::TargetsFailed, again, now);
    }

    /// The engine lives: only the connection broke, so nobody is suspected.
    fn link_broke(&mut self, engine: &EngineId, now: Instant) {
        for id in self.suspended_on(engine) {
            self.cancel_attempt(id, now);
            self.try_again(id, now);
        }
    }

    fn suspended_on(&self, engine: &EngineId) -> Vec<RequestId> {
        let on_engine = self.flights.iter().filter(|(_, f)| f.uses(engine));
        on_engine
            .filter(|(_, flight)| flight.phase == Phase::Suspended)
            .map(|(id, _)| *id)
            .collect()
    }
}
