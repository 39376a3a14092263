//! Requests that need the memory of several engines.

use std::time::Duration;

use crate::{
    clock::Instant,
    dispatch::{Action, Dispatcher, Due, arrivals, flight::Phase},
    ids::{AttemptId, EngineId, RequestId},
    recovery::reservation::{Command, Progress, Reply},
    request::{RefusalReason, Request},
    routing::Unroutable,
};

/// Shortest pause before a group is planned anew.
const ROOM_RETRY: Duration = Duration::from_millis(100);

/// When a caller may come back whose request waited for room in vain.
const RETRY_AFTER_WAITING: Duration = Duration::from_secs(10);

impl Dispatcher {
    /// Takes in an engine's answer to a reservation.
    pub fn reserved(
        &mut self,
        attempt: AttemptId,
        engine: &EngineId,
        reply: Reply,
        now: Instant,
    ) -> Vec<Action> {
        let (progress, orders) = self.ledger.handle_reply(attempt, engine, reply, now);
        for order in orders {
            self.push_order(attempt, order);
        }
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return self.take_actions();
        };
        match progress {
            Progress::Pending => {}
            Progress::Complete => self.send(id, now),
            Progress::Abandoned => {
                self.drop_attempt(id, now);
                self.wait_for_room(id, now);
            }
        }
        self.take_actions()
    }

    /// Notes that an engine has given reserved memory back.
    pub fn released(&mut self, attempt: AttemptId, engine: &EngineId) {
        self.ledger.confirm_release(attempt, engine);
    }

    pub(crate) fn reserve_group(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(plan) = self.flights.get(&id).and_then(|f| f.plan.as_ref()) else {
            return;
        };
        let members = plan.segments.iter().map(|s| (s.engine.clone(), s.memory));
        let orders = self.ledger.begin(attempt, members.collect());
        for order in orders {
            self.push_order(attempt, order);
        }
    }

    pub(crate) fn release_group(&mut self, attempt: AttemptId, now: Instant) {
        for order in self.ledger.release(attempt, now) {
            self.push_order(attempt, order);
        }
    }

    /// Tries again after a pause; the pause differs between instances, so two
    /// that want overlapping groups do not meet again and again.
    pub(crate) fn wait_for_room(&mut self, id: RequestId, now: Instant) {
        self.enter_waiting(id);
        let jitter = self.fleet.random();
        let pause = ROOM_RETRY.mul_f64(1.0 + jitter);
        self.timers.schedule(now + pause, Due::Retry(id));
    }

    /// Plans a waiting request anew.
    pub(crate) fn retry(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        if flight.phase != Phase::Waiting {
            return;
        }
        let request = flight.request.clone();
        let planned = self.fleet.plan(&request, now);
        self.leave_waiting();
        match planned {
            Err(Unroutable::TooLong) => self.give_up(id, RefusalReason::PromptTooLong, None, now),
            _ if self.is_hopeless(&request, now) => {
                let again = Some(RETRY_AFTER_WAITING);
                self.give_up(id, RefusalReason::DeadlineUnreachable, again, now);
            }
            Ok(plan) => self.start(id, plan, now),
            Err(Unroutable::NoRoom | Unroutable::NoEngine) => self.wait_for_room(id, now),
        }
    }

    /// Whether the deadline would pass even if all engines were idle from now on.
    fn is_hopeless(&self, request: &Request, now: Instant) -> bool {
        let least = self.fleet.least_time(request) + arrivals::answer_time(request);
        now + least > request.deadline
    }

    pub(crate) fn push_order(&mut self, attempt: AttemptId, order: Command) {
        self.actions.push(match order {
            Command::Reserve(engine, memory) => Action::Reserve {
                attempt,
                engine,
                memory,
            },
            Command::Renew(engine) => Action::Renew { attempt, engine },
            Command::Release(engine) => Action::Release { attempt, engine },
        });
    }
}
