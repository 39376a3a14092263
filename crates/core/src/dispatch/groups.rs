//! Requests that need the memory of a group of engines.

use std::time::Duration;

use crate::{
    clock::Instant,
    dispatch::{Action, Dispatcher, TimerEvent, arrivals, request_state::Phase},
    ids::{AttemptId, EngineId, RequestId},
    recovery::reservation::{Command, Progress, Reply},
    request::{RefusalReason, Request},
    routing::PlanError,
};

/// Minimum delay before a waiting request is planned again; up to twice that with
/// jitter.
const REPLAN_DELAY: Duration = Duration::from_millis(100);

/// Time after which a client may resend a request that waited for memory until its
/// deadline became unreachable.
const RETRY_AFTER_WAITING: Duration = Duration::from_secs(10);

impl Dispatcher {
    /// Processes an engine's reply to a reservation. The attempt is sent once the
    /// whole group is reserved.
    pub fn handle_reservation_reply(
        &mut self,
        attempt: AttemptId,
        engine: &EngineId,
        reply: Reply,
        now: Instant,
    ) -> Vec<Action> {
        let (progress, orders) = self.ledger.handle_reply(attempt, engine, reply, now);
        for order in orders {
            self.push_reservation_order(attempt, order);
        }
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return self.take_actions();
        };
        match progress {
            Progress::Pending => {}
            Progress::Complete => self.send_attempt(id, now),
            Progress::Abandoned => {
                self.end_attempt(id, now);
                self.wait_for_capacity(id, now);
            }
        }
        self.take_actions()
    }

    /// Processes an engine's acknowledgement of a release.
    pub fn handle_release(&mut self, attempt: AttemptId, engine: &EngineId) {
        self.ledger.confirm_release(attempt, engine);
    }

    pub(crate) fn reserve_group(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(plan) = self.requests.get(&id).and_then(|state| state.plan.as_ref()) else {
            return;
        };
        let members = plan.segments.iter().map(|s| (s.engine.clone(), s.memory));
        let orders = self.ledger.begin(attempt, members.collect());
        for order in orders {
            self.push_reservation_order(attempt, order);
        }
    }

    pub(crate) fn release_group(&mut self, attempt: AttemptId, now: Instant) {
        for order in self.ledger.release(attempt, now) {
            self.push_reservation_order(attempt, order);
        }
    }

    /// Lets the request wait and schedules a new plan for it. The delay is random, so that two
    /// instances that need overlapping groups do not collide repeatedly.
    pub(crate) fn wait_for_capacity(&mut self, id: RequestId, now: Instant) {
        self.enter_waiting(id);
        let jitter = self.fleet.random();
        let delay = REPLAN_DELAY.mul_f64(1.0 + jitter);
        self.timers.schedule(now + delay, TimerEvent::Replan(id));
    }

    /// Plans a waiting request again.
    pub(crate) fn replan_waiting(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.phase != Phase::Waiting {
            return;
        }
        let request = state.request.clone();
        let planned = self.fleet.plan(&request, now);
        self.leave_waiting();
        match planned {
            Err(PlanError::TooLong) => {
                self.refuse_request(id, RefusalReason::PromptTooLong, None, now)
            }
            _ if self.is_deadline_unreachable(&request, now) => {
                let retry_after = Some(RETRY_AFTER_WAITING);
                self.refuse_request(id, RefusalReason::DeadlineUnreachable, retry_after, now);
            }
            Ok(plan) => self.start_attempt(id, plan, now),
            Err(PlanError::NoFreeMemory | PlanError::NoEngine) => self.wait_for_capacity(id, now),
        }
    }

    /// Whether the request would miss its deadline even if all engines were idle.
    fn is_deadline_unreachable(&self, request: &Request, now: Instant) -> bool {
        let minimum_time =
            self.fleet.min_time_to_first_token(request) + arrivals::expected_decode_time(request);
        now + minimum_time > request.deadline
    }

    pub(crate) fn push_reservation_order(&mut self, attempt: AttemptId, order: Command) {
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
