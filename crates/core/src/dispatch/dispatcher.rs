//! The dispatcher's state, its events, and the path of a request without failures.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    admission, check_invariant,
    clock::Instant,
    dispatch::{
        Action, Delivery, HOUSEKEEPING_PERIOD, Outcome, OutgoingAttempt, TimerEvent,
        request_state::{Phase, RequestState},
        suspects::Isolation,
    },
    ids::{AttemptId, EngineId, RequestId},
    membership,
    recovery::{local_retry_budget, quarantine, reservation},
    request::{ExecutionState, Refusal, RefusalReason},
    routing::{self, CacheEvent, Plan},
    timer,
    units::Tokens,
};

/// Time after which a client may resend a refused request, if no estimate is
/// available.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

crate::data_types! {
    /// Settings of a dispatcher.
    pub struct Settings {
        /// Settings of the choice of engines.
        pub fleet: routing::FleetSettings,
        /// Limit on the requests in progress.
        pub max_in_flight: usize,
        /// Time without progress after which a stream counts as stalled.
        pub stall_timeout: Duration,
        /// Share of the engines that may be ejected at the same time, 0 to 1.
        pub max_ejected_share: f64,
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet: routing::FleetSettings::default(),
            max_in_flight: 4_096,
            stall_timeout: Duration::from_secs(3),
            max_ejected_share: 0.2,
        }
    }
}

/// Requests in progress of one instance, and the state of the engines as the
/// instance sees it.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) fleet: routing::Fleet,
    pub(crate) gate: admission::Controller,
    pub(crate) membership: membership::Membership,
    pub(crate) quarantine: quarantine::Quarantine,
    pub(crate) retry_budget: local_retry_budget::LocalRetryBudget,
    pub(crate) ledger: reservation::Ledger,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    /// Request of each current attempt. Invariant: contains exactly the attempts
    /// that are the current attempt of a request in `requests`.
    pub(crate) attempts: BTreeMap<AttemptId, RequestId>,
    /// Requests in [`Phase::Suspect`] for which no engine is isolated.
    pub(crate) suspect_queue: VecDeque<RequestId>,
    /// Isolated engines, each with the suspect that it is isolated for.
    pub(crate) isolations: BTreeMap<EngineId, Isolation>,
    /// Engines that crashed recently, with the time; for the detection of mass
    /// failures.
    pub(crate) recent_crashes: Vec<(EngineId, Instant)>,
    pub(crate) timers: timer::Queue<TimerEvent>,
    /// Actions to return from the event that is being processed.
    pub(crate) actions: Vec<Action>,
    /// Number of requests in [`Phase::Waiting`].
    pub(crate) waiting_requests: usize,
    last_attempt_number: u64,
    pub(crate) shutting_down: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without engines or accounts.
    pub fn new(settings: Settings) -> Self {
        let mut timers = timer::Queue::new();
        timers.schedule(Instant::ZERO, TimerEvent::Housekeeping);
        Self {
            fleet: routing::Fleet::new(settings.fleet.clone()),
            gate: admission::Controller::new(settings.fleet.instances),
            membership: membership::Membership::new(settings.max_ejected_share),
            quarantine: quarantine::Quarantine::default(),
            retry_budget: local_retry_budget::LocalRetryBudget::default(),
            ledger: reservation::Ledger::default(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            suspect_queue: VecDeque::new(),
            isolations: BTreeMap::new(),
            recent_crashes: Vec::new(),
            timers,
            actions: Vec::new(),
            waiting_requests: 0,
            last_attempt_number: 0,
            shutting_down: false,
            settings,
        }
    }

    /// The engines' load and caches, as this instance sees them.
    pub fn fleet(&self) -> &routing::Fleet {
        &self.fleet
    }

    /// Whether each engine may receive new requests.
    pub fn membership(&self) -> &membership::Membership {
        &self.membership
    }

    /// Verdicts on request contents that crash engines.
    pub fn quarantine(&self) -> &quarantine::Quarantine {
        &self.quarantine
    }

    /// Number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Number of reservations that are requested, held or not yet released.
    pub fn reservations(&self) -> usize {
        self.ledger.reservation_count()
    }

    /// Time at which [`tick`](Self::tick) is due.
    pub fn next_tick(&self) -> Option<Instant> {
        self.timers.next_due()
    }

    /// Replaces the settings and the limits of all accounts.
    pub fn configure(&mut self, settings: Settings, accounts: Vec<admission::AccountLimits>) {
        self.fleet.set_settings(settings.fleet.clone());
        self.gate.set_instance_count(settings.fleet.instances);
        self.gate.set_accounts(accounts);
        self.membership
            .set_max_ejected_share(settings.max_ejected_share);
        self.settings = settings;
    }

    /// Adds an engine, or replaces its declared facts and drain state.
    pub fn declare_engine(&mut self, facts: routing::EngineFacts, drained: bool, now: Instant) {
        self.membership.declare(&facts.id, drained);
        let id = facts.id.clone();
        self.fleet.upsert(facts);
        self.refresh_availability(&id, now);
    }

    /// Removes the engines for which `declared` returns false.
    pub fn retain_engines(&mut self, declared: impl Fn(&EngineId) -> bool, now: Instant) {
        self.membership.retain_declared(&declared);
        self.fleet.set_declared(&declared);
        self.fleet.rebalance(now);
        self.refresh_all_availability(now);
    }

    /// Processes an engine's entry in the target list.
    pub fn handle_list_entry(&mut self, engine: &EngineId, leaving: bool, now: Instant) {
        self.membership.apply_list_entry(engine, leaving);
        self.refresh_availability(engine, now);
    }

    /// Processes a report from an engine. A changed incarnation is a crash.
    pub fn handle_report(
        &mut self,
        engine: &EngineId,
        incarnation: u64,
        leaving: bool,
        report: &routing::LoadReport,
        now: Instant,
    ) -> Vec<Action> {
        match self
            .membership
            .record_report(engine, incarnation, leaving, now)
        {
            membership::ReportOutcome::Restarted => self.process_engine_crash(engine, now),
            membership::ReportOutcome::Joined => self.fleet.record_restart(engine, now),
            membership::ReportOutcome::Unchanged => {}
        }
        self.fleet.apply_report(engine, report, now);
        self.refresh_availability(engine, now);
        self.take_actions()
    }

    /// Processes an engine's cache events; `first` is the sequence number of the
    /// first one.
    pub fn handle_cache_events(
        &mut self,
        engine: &EngineId,
        first: u64,
        events: &[CacheEvent],
        now: Instant,
    ) {
        self.fleet.apply_cache_events(engine, first, events, now);
    }

    /// Processes the number of prompt tokens that the peers have queued on an engine.
    pub fn handle_load_hint(&mut self, engine: &EngineId, tokens: Tokens, now: Instant) {
        self.fleet.apply_load_hint(engine, tokens, now);
    }

    /// Processes a verdict on request content from a peer.
    pub fn handle_peer_verdict(&mut self, notice: &quarantine::PeerVerdict, now: Instant) {
        self.quarantine.apply_peer_verdict(notice, now);
    }

    /// Processes `count` tokens of a response, the first at position `from`. Tokens
    /// out of sequence fail the attempt.
    pub fn handle_tokens(
        &mut self,
        attempt: AttemptId,
        from: u64,
        count: u64,
        now: Instant,
    ) -> (Delivery, Vec<Action>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return (Delivery::Drop, Vec::new());
        };
        let Some(state) = self.requests.get_mut(&id) else {
            return (Delivery::Drop, Vec::new());
        };
        if from != state.delivered_tokens {
            self.process_failure(attempt, super::Failure::OutOfSequence, now);
            return (Delivery::Drop, self.take_actions());
        }
        state.delivered_tokens = state.delivered_tokens.saturating_add(count);
        state.last_progress_at = now;
        if state.is_isolated {
            self.clear_isolated_suspect(id, now);
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return (Delivery::Drop, Vec::new());
        };
        if !state.has_first_token {
            state.has_first_token = true;
            self.handle_first_token(id, attempt, now);
        }
        (Delivery::Deliver, Vec::new())
    }

    /// Processes the end of a complete response.
    pub fn handle_completion(&mut self, attempt: AttemptId, now: Instant) -> Vec<Action> {
        let id = self.attempts.get(&attempt).copied();
        // The connection of a suspended attempt is broken, so the end of its stream
        // is not a completion.
        let is_running = |id: &RequestId| {
            let state = self.requests.get(id);
            state.is_some_and(|state| state.phase == Phase::Running)
        };
        if let Some(id) = id.filter(is_running) {
            self.clear_suspicion(id);
            self.finish_request(id, Outcome::Completed, now);
        }
        self.take_actions()
    }

    /// Ends a request whose client disconnected, and cancels its attempt.
    pub fn handle_client_disconnect(&mut self, request: RequestId, now: Instant) -> Vec<Action> {
        if self.requests.contains_key(&request) {
            self.cancel_attempt(request, now);
            self.finish_request(request, Outcome::Abandoned, now);
        }
        self.take_actions()
    }

    /// Processes the timers due at `now` or earlier.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        for event in self.timers.take_expired(now) {
            match event {
                TimerEvent::Deadline(id) => self.handle_deadline(id, now),
                TimerEvent::Stall(attempt) => self.check_stall(attempt, now),
                TimerEvent::Replan(id) => self.replan_waiting(id, now),
                TimerEvent::Isolation => self.schedule_suspects(now),
                TimerEvent::Housekeeping => self.run_housekeeping(now),
            }
        }
        self.take_actions()
    }

    /// Refuses all further requests, for a shutdown. Requests in progress continue.
    pub fn close(&mut self) {
        self.shutting_down = true;
    }

    /// Ends all requests in progress, as the process ends: each is told whether it was executed.
    pub fn end_requests(&mut self, now: Instant) -> Vec<Action> {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let state = self.requests.get(&id);
            let (reason, retry_after) = match state.map(RequestState::execution_state) {
                Some(ExecutionState::NotExecuted) => {
                    (RefusalReason::ShuttingDown, Some(Duration::ZERO))
                }
                _ => (RefusalReason::Interrupted, None),
            };
            self.cancel_attempt(id, now);
            self.refuse_request(id, reason, retry_after, now);
        }
        self.take_actions()
    }

    /// Starts an attempt according to `plan`. On a single engine it is sent
    /// immediately, on a group once the memory is reserved.
    pub(crate) fn start_attempt(&mut self, id: RequestId, plan: Plan, now: Instant) {
        self.last_attempt_number += 1;
        let attempt = AttemptId(self.last_attempt_number);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        check_invariant!(
            state.attempt.is_none(),
            "one-attempt-at-a-time",
            "request {id} already has a current attempt"
        );
        let memory: Tokens = plan.segments.iter().map(|s| s.memory).sum();
        check_invariant!(
            memory >= state.request.memory(),
            "plan-has-memory",
            "plan for request {id} has only {memory} of KV memory"
        );
        state.attempt = Some(attempt);
        state.has_first_token = false;
        state.plan = Some(plan);
        self.attempts.insert(attempt, id);
        if state.is_group() {
            state.phase = Phase::Reserving;
            self.reserve_group(id, attempt);
        } else {
            self.send_attempt(id, now);
        }
    }

    pub(crate) fn send_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(attempt), Some(plan)) = (state.attempt, state.plan.clone()) else {
            return;
        };
        state.phase = Phase::Running;
        state.was_sent = true;
        state.last_progress_at = now;
        for segment in &plan.segments {
            self.fleet.record_sent(
                &segment.engine,
                attempt,
                segment.prefill_tokens,
                segment.memory,
                now,
            );
        }
        // The estimate is the time to first token; three times as long is tolerated.
        let first_token_timeout = plan.estimate * 3 + self.settings.stall_timeout;
        state.stall_timer = Some(
            self.timers
                .schedule(now + first_token_timeout, TimerEvent::Stall(attempt)),
        );
        self.actions.push(Action::Send(OutgoingAttempt {
            request: id,
            attempt,
            plan,
            resume_from: state.delivered_tokens,
            deadline: state.request.deadline,
            failed_attempts: state.failed_attempts,
            request_age: now - state.arrived_at,
        }));
    }

    fn handle_first_token(&mut self, id: RequestId, attempt: AttemptId, now: Instant) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let engines = state.engines();
        let lead = engines.first().cloned();
        if let Some(first_token_timer) = state.stall_timer.take() {
            self.timers.cancel(first_token_timer);
        }
        let due = now + self.settings.stall_timeout;
        state.stall_timer = Some(self.timers.schedule(due, TimerEvent::Stall(attempt)));
        let prefixes = state.request.prefixes.clone();
        for engine in &engines {
            self.fleet.record_first_token(engine, attempt, now);
        }
        if let Some(lead) = lead {
            self.membership.record_progress(&lead);
            let cached: Vec<CacheEvent> = prefixes
                .iter()
                .map(|prefix| CacheEvent::Stored(prefix.hash))
                .collect();
            self.fleet.record_cached_prefixes(&lead, &cached, now);
        }
    }

    /// Removes the current attempt of a request from all records: timers, engine
    /// loads, reservations and isolations.
    pub(crate) fn end_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(stall_timer) = state.stall_timer.take() {
            self.timers.cancel(stall_timer);
        }
        let engines = state.engines();
        let is_group = state.is_group();
        state.plan = None;
        let Some(attempt) = state.attempt.take() else {
            return;
        };
        let was_isolated = std::mem::take(&mut state.is_isolated);
        self.attempts.remove(&attempt);
        for engine in &engines {
            self.fleet.record_end(engine, attempt, now);
        }
        if is_group {
            self.release_group(attempt, now);
        }
        if was_isolated {
            self.end_isolation(id, now);
        }
    }

    /// Cancels the current attempt of a request on its engines and ends it.
    pub(crate) fn cancel_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let is_sent = matches!(state.phase, Phase::Running | Phase::Suspended { .. });
        if let (true, Some(attempt)) = (is_sent, state.attempt) {
            let engines = state.engines();
            self.actions.push(Action::Cancel { attempt, engines });
        }
        self.end_attempt(id, now);
    }

    /// Ends a request and reports its outcome to the client, without waiting for
    /// cancellations or releases.
    pub(crate) fn finish_request(&mut self, id: RequestId, outcome: Outcome, now: Instant) {
        self.end_attempt(id, now);
        let Some(state) = self.requests.remove(&id) else {
            return;
        };
        self.timers.cancel(state.deadline_timer);
        if state.phase == Phase::Waiting {
            self.waiting_requests = self.waiting_requests.saturating_sub(1);
        }
        self.suspect_queue.retain(|suspect| *suspect != id);
        self.cancel_isolation(id);
        self.gate.end_request(&state.request.account);
        self.actions.push(Action::Finish {
            request: id,
            outcome,
        });
        check_invariant!(
            self.attempts.len() <= self.requests.len(),
            "attempts-belong-to-requests",
            "{} current attempts for {} requests in progress",
            self.attempts.len(),
            self.requests.len()
        );
    }

    /// Ends an admitted request with a refusal that says whether it was executed.
    pub(crate) fn refuse_request(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        let refusal = Refusal {
            reason,
            ran: state.execution_state(),
            retry_after,
        };
        self.cancel_attempt(id, now);
        self.finish_request(id, Outcome::Refused(refusal), now);
    }

    pub(crate) fn enter_waiting(&mut self, id: RequestId) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        state.phase = Phase::Waiting;
        self.waiting_requests += 1;
    }

    pub(crate) fn leave_waiting(&mut self) {
        self.waiting_requests = self.waiting_requests.saturating_sub(1);
    }

    fn handle_deadline(&mut self, id: RequestId, now: Instant) {
        self.refuse_request(
            id,
            RefusalReason::DeadlineExceeded,
            Some(DEFAULT_RETRY_AFTER),
            now,
        );
    }

    fn run_housekeeping(&mut self, now: Instant) {
        self.refresh_all_availability(now);
        self.fleet.rebalance(now);
        for (attempt, order) in self.ledger.tick(now) {
            self.push_reservation_order(attempt, order);
        }
        self.timers
            .schedule(now + HOUSEKEEPING_PERIOD, TimerEvent::Housekeeping);
    }

    fn refresh_all_availability(&mut self, now: Instant) {
        let ids: Vec<EngineId> = self.fleet.ids().cloned().collect();
        for id in ids {
            self.refresh_availability(&id, now);
        }
    }

    pub(crate) fn refresh_availability(&mut self, id: &EngineId, now: Instant) {
        let is_live = self.membership.target_state(id, now) == membership::TargetState::Live;
        self.fleet.set_usable(id, is_live);
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
