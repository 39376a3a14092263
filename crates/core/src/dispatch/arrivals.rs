//! Requests that arrive: admitted and planned, or refused at once.

use std::time::Duration;

use crate::{
    check_invariant,
    clock::Instant,
    dispatch::{Action, Dispatcher, Due, Outcome, dispatcher::DEFAULT_RETRY, flight::Flight},
    ids::RequestId,
    recovery::quarantine,
    request::{ExecutionState, Refusal, RefusalReason, Request},
    routing::{Plan, Policy, Unroutable},
};

/// Expected time between two tokens of an answer.
const TOKEN_TIME: Duration = Duration::from_millis(25);

/// Expected length of an answer as a share of its limit.
const EXPECTED_OUTPUT: f64 = 0.5;

/// Part of its time that a request may need before capacity counts as short for
/// it; then accounts above their fair share are refused.
const FAIR_PART: f64 = 0.6;

/// Requests that may wait for a group of engines.
const MAX_WAITING: usize = 64;

impl Dispatcher {
    /// Admits a request and sends it on its way, or refuses it.
    pub fn arrive(&mut self, request: Request, now: Instant) -> Vec<Action> {
        if let Err(refusal) = self.screen(&request, now) {
            self.finish_unadmitted(request.id, refusal);
            return self.take_actions();
        }
        let planned = self.fleet.plan(&request, now);
        if let Err(refusal) = self.judge(&request, &planned, now) {
            self.gate.end_request(&request.account);
            self.finish_unadmitted(request.id, refusal);
            return self.take_actions();
        }
        self.budget.record_first_attempt();
        self.fleet.admitted(&request, planned.as_ref().ok(), now);
        let id = request.id;
        let at = request.deadline;
        let deadline = self.timers.schedule(at, Due::Deadline(id));
        let known = self.flights.insert(id, Flight::new(request, deadline, now));
        check_invariant!(known.is_none(), "request-ids-unique", "{id} arrived twice");
        match planned {
            Ok(plan) => self.start(id, plan, now),
            Err(_) => self.wait_for_room(id, now),
        }
        self.take_actions()
    }

    fn screen(&mut self, request: &Request, now: Instant) -> Result<(), Refusal> {
        if self.closing {
            return Err(refused(RefusalReason::ShuttingDown, Some(Duration::ZERO)));
        }
        if self.flights.len() >= self.settings.max_in_flight {
            return Err(refused(RefusalReason::InstanceFull, Some(DEFAULT_RETRY)));
        }
        let (verdict, rest) = self.quarantine.verdict(&request.fingerprint, now);
        match verdict {
            quarantine::Verdict::Clear => {}
            quarantine::Verdict::Suspect => {
                return Err(refused(RefusalReason::UnderSuspicion, Some(DEFAULT_RETRY)));
            }
            quarantine::Verdict::Quarantined => {
                return Err(refused(RefusalReason::Quarantined, Some(rest)));
            }
        }
        self.gate.admit(&request.account, request.prompt, now)
    }

    /// Refuses what cannot be answered in time or fairly. Baselines accept all.
    fn judge(
        &mut self,
        request: &Request,
        planned: &Result<Plan, Unroutable>,
        now: Instant,
    ) -> Result<(), Refusal> {
        let plan = match planned {
            Ok(plan) => plan,
            Err(Unroutable::NoEngine) => {
                return Err(refused(RefusalReason::NoEngine, Some(DEFAULT_RETRY)));
            }
            Err(Unroutable::TooLong) => return Err(refused(RefusalReason::PromptTooLong, None)),
            Err(Unroutable::NoRoom) if self.waiting >= MAX_WAITING => {
                return Err(refused(RefusalReason::InstanceFull, Some(DEFAULT_RETRY)));
            }
            Err(Unroutable::NoRoom) => return Ok(()),
        };
        if self.settings.fleet.policy != Policy::LengthAware {
            return Ok(());
        }
        let left = request.deadline - now;
        let needed = plan.estimate + answer_time(request);
        if needed > left {
            let later = (needed - left).max(Duration::from_secs(1));
            return Err(refused(RefusalReason::DeadlineUnreachable, Some(later)));
        }
        let short = needed > left.mul_f64(FAIR_PART);
        if short && self.gate.is_over_share(&request.account, now) {
            return Err(refused(RefusalReason::OverFairShare, Some(plan.estimate)));
        }
        Ok(())
    }

    fn finish_unadmitted(&mut self, request: RequestId, refusal: Refusal) {
        self.actions.push(Action::Finish {
            request,
            outcome: Outcome::Refused(refusal),
        });
    }
}

fn refused(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        ran: ExecutionState::NotExecuted,
        retry_after,
    }
}

/// Expected time from the first token to the last.
pub(crate) fn answer_time(request: &Request) -> Duration {
    TOKEN_TIME.mul_f64(request.max_output.0 as f64 * EXPECTED_OUTPUT)
}
