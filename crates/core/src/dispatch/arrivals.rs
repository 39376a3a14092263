//! New requests: admission, first plan, and refusals before any attempt.

use std::time::Duration;

use crate::{
    check_invariant,
    clock::Instant,
    dispatch::{
        Action, Dispatcher, Outcome, TimerEvent, dispatcher::DEFAULT_RETRY_AFTER,
        request_state::RequestState,
    },
    ids::RequestId,
    recovery::quarantine,
    request::{ExecutionState, Refusal, RefusalReason, Request},
    routing::{Plan, PlanError, Policy},
};

/// Expected interval between two tokens of a response.
const TOKEN_INTERVAL: Duration = Duration::from_millis(25);

/// Expected length of a response as a share of the request's limit.
const EXPECTED_OUTPUT_SHARE: f64 = 0.5;

/// Share of the time until its deadline that a request may need before capacity
/// counts as short; then accounts above their fair share are refused.
const FAIR_SHARE_THRESHOLD: f64 = 0.6;

/// Limit on the requests that wait for memory on a group of engines.
const MAX_WAITING_REQUESTS: usize = 64;

impl Dispatcher {
    /// Admits a request and starts its first attempt, or refuses it. An admitted
    /// request waits if the engines lack free memory for it.
    pub fn submit_request(&mut self, request: Request, now: Instant) -> Vec<Action> {
        if let Err(refusal) = self.check_admission(&request, now) {
            self.push_refusal(request.id, refusal);
            return self.take_actions();
        }
        let planned = self.fleet.plan(&request, now);
        if let Err(refusal) = self.check_plan(&request, &planned, now) {
            self.gate.end_request(&request.account);
            self.push_refusal(request.id, refusal);
            return self.take_actions();
        }
        self.retry_budget.record_first_attempt();
        self.fleet
            .record_admission(&request, planned.as_ref().ok(), now);
        let id = request.id;
        let at = request.deadline;
        let deadline = self.timers.schedule(at, TimerEvent::Deadline(id));
        let known = self
            .requests
            .insert(id, RequestState::new(request, deadline, now));
        check_invariant!(
            known.is_none(),
            "request-ids-unique",
            "request {id} was submitted twice"
        );
        match planned {
            Ok(plan) => self.start_attempt(id, plan, now),
            Err(_) => self.wait_for_capacity(id, now),
        }
        self.take_actions()
    }

    /// Applies the checks that need no plan: limits and quarantine.
    fn check_admission(&mut self, request: &Request, now: Instant) -> Result<(), Refusal> {
        if self.shutting_down {
            return Err(refusal(RefusalReason::ShuttingDown, Some(Duration::ZERO)));
        }
        if self.requests.len() >= self.settings.max_in_flight {
            return Err(refusal(
                RefusalReason::InstanceFull,
                Some(DEFAULT_RETRY_AFTER),
            ));
        }
        let (verdict, remaining) = self.quarantine.verdict(&request.fingerprint, now);
        match verdict {
            quarantine::Verdict::Clear => {}
            quarantine::Verdict::Suspect => {
                return Err(refusal(
                    RefusalReason::UnderSuspicion,
                    Some(DEFAULT_RETRY_AFTER),
                ));
            }
            quarantine::Verdict::Quarantined => {
                return Err(refusal(RefusalReason::Quarantined, Some(remaining)));
            }
        }
        self.gate.admit(&request.account, request.prompt, now)
    }

    /// Refuses a request that cannot run, would miss its deadline, or is above the
    /// account's fair share while capacity is short. The deadline and the fair
    /// share are checked only with [`Policy::LengthAware`], as the other policies
    /// are baselines for comparison.
    fn check_plan(
        &mut self,
        request: &Request,
        planned: &Result<Plan, PlanError>,
        now: Instant,
    ) -> Result<(), Refusal> {
        let plan = match planned {
            Ok(plan) => plan,
            Err(PlanError::NoEngine) => {
                return Err(refusal(RefusalReason::NoEngine, Some(DEFAULT_RETRY_AFTER)));
            }
            Err(PlanError::TooLong) => return Err(refusal(RefusalReason::PromptTooLong, None)),
            Err(PlanError::NoFreeMemory) if self.waiting_requests >= MAX_WAITING_REQUESTS => {
                return Err(refusal(
                    RefusalReason::InstanceFull,
                    Some(DEFAULT_RETRY_AFTER),
                ));
            }
            Err(PlanError::NoFreeMemory) => return Ok(()),
        };
        if self.settings.fleet.policy != Policy::LengthAware {
            return Ok(());
        }
        let left = request.deadline - now;
        let needed = plan.estimate + expected_decode_time(request);
        if needed > left {
            let retry_after = (needed - left).max(Duration::from_secs(1));
            return Err(refusal(
                RefusalReason::DeadlineUnreachable,
                Some(retry_after),
            ));
        }
        let is_capacity_short = needed > left.mul_f64(FAIR_SHARE_THRESHOLD);
        if is_capacity_short && self.gate.is_over_share(&request.account, now) {
            return Err(refusal(RefusalReason::OverFairShare, Some(plan.estimate)));
        }
        Ok(())
    }

    fn push_refusal(&mut self, request: RequestId, refusal: Refusal) {
        self.actions.push(Action::Finish {
            request,
            outcome: Outcome::Refused(refusal),
        });
    }
}

fn refusal(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal {
        reason,
        ran: ExecutionState::NotExecuted,
        retry_after,
    }
}

/// Expected time from the first token of the response to the last.
pub(crate) fn expected_decode_time(request: &Request) -> Duration {
    TOKEN_INTERVAL.mul_f64(request.max_output.0 as f64 * EXPECTED_OUTPUT_SHARE)
}
