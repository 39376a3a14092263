//! The dispatcher's state, and the course of a request that goes well.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    admission, check_invariant,
    clock::Instant,
    dispatch::{
        Action, Delivery, Due, HOUSEKEEPING_PERIOD, Outcome, Sending,
        flight::{Flight, Phase},
        suspects::Isolation,
    },
    ids::{AttemptId, EngineId, RequestId},
    membership,
    recovery::{local_retry_budget, quarantine, reservation},
    request::{Refusal, RefusalReason},
    routing::{self, CacheEvent, Plan},
    timer,
    units::Tokens,
};

/// When to come back if there is no better estimate.
pub(crate) const DEFAULT_RETRY: Duration = Duration::from_secs(2);

crate::data_types! {
    /// Settings of a dispatcher.
    pub struct Settings {
        /// Settings of the routing.
        pub fleet: routing::FleetSettings,
        /// Requests in progress at most.
        pub max_in_flight: usize,
        /// Silence of a stream after which it counts as stalled.
        pub stall_timeout: Duration,
        /// Share of the engines that may be ejected at once, 0 to 1.
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

/// All requests of one instance, and what it knows of the engines.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) fleet: routing::Fleet,
    pub(crate) gate: admission::Controller,
    pub(crate) members: membership::Membership,
    pub(crate) quarantine: quarantine::Quarantine,
    pub(crate) budget: local_retry_budget::LocalRetryBudget,
    pub(crate) ledger: reservation::Ledger,
    pub(crate) flights: BTreeMap<RequestId, Flight>,
    /// The request of each current attempt. Invariant: an attempt is listed if
    /// and only if a flight names it as its current one.
    pub(crate) attempts: BTreeMap<AttemptId, RequestId>,
    pub(crate) suspects: VecDeque<RequestId>,
    pub(crate) isolations: BTreeMap<EngineId, Isolation>,
    /// Engines that died of late.
    pub(crate) deaths: Vec<(EngineId, Instant)>,
    pub(crate) timers: timer::Queue<Due>,
    pub(crate) actions: Vec<Action>,
    pub(crate) waiting: usize,
    last_attempt: u64,
    pub(crate) closing: bool,
}

impl Dispatcher {
    /// Creates a dispatcher without engines or accounts.
    pub fn new(settings: Settings) -> Self {
        let mut timers = timer::Queue::new();
        timers.schedule(Instant::ZERO, Due::Housekeeping);
        Self {
            fleet: routing::Fleet::new(settings.fleet.clone()),
            gate: admission::Controller::new(settings.fleet.instances),
            members: membership::Membership::new(settings.max_ejected_share),
            quarantine: quarantine::Quarantine::default(),
            budget: local_retry_budget::LocalRetryBudget::default(),
            ledger: reservation::Ledger::default(),
            flights: BTreeMap::new(),
            attempts: BTreeMap::new(),
            suspects: VecDeque::new(),
            isolations: BTreeMap::new(),
            deaths: Vec::new(),
            timers,
            actions: Vec::new(),
            waiting: 0,
            last_attempt: 0,
            closing: false,
            settings,
        }
    }

    /// What this instance knows of the engines.
    pub fn fleet(&self) -> &routing::Fleet {
        &self.fleet
    }

    /// The standing of the engines.
    pub fn members(&self) -> &membership::Membership {
        &self.members
    }

    /// Verdicts on contents that crash engines.
    pub fn quarantine(&self) -> &quarantine::Quarantine {
        &self.quarantine
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Reservations asked for or not yet given back.
    pub fn reservations(&self) -> usize {
        self.ledger.reservation_count()
    }

    /// When [`tick`](Self::tick) is due next.
    pub fn next_tick(&self) -> Option<Instant> {
        self.timers.next_due()
    }

    /// Replaces limits, policy and the number of instances.
    pub fn configure(&mut self, settings: Settings, accounts: Vec<admission::AccountLimits>) {
        self.fleet.set_settings(settings.fleet.clone());
        self.gate.set_instance_count(settings.fleet.instances);
        self.gate.set_accounts(accounts);
        self.members
            .set_max_ejected_share(settings.max_ejected_share);
        self.settings = settings;
    }

    /// Adds an engine or changes its declared facts.
    pub fn declare_engine(&mut self, facts: routing::EngineFacts, drained: bool, now: Instant) {
        self.members.declare(&facts.id, drained);
        let id = facts.id.clone();
        self.fleet.upsert(facts);
        self.refresh_standing(&id, now);
    }

    /// Removes engines that are declared no more.
    pub fn keep_engines(&mut self, declared: impl Fn(&EngineId) -> bool, now: Instant) {
        self.members.retain_declared(&declared);
        self.fleet.keep(&declared);
        self.fleet.rebalance(now);
        self.refresh_all(now);
    }

    /// Takes in one entry of the platform's list.
    pub fn listed(&mut self, engine: &EngineId, leaving: bool, now: Instant) {
        self.members.apply_list_entry(engine, leaving);
        self.refresh_standing(engine, now);
    }

    /// Takes in an engine's report.
    pub fn reported(
        &mut self,
        engine: &EngineId,
        incarnation: u64,
        leaving: bool,
        report: &routing::Report,
        now: Instant,
    ) -> Vec<Action> {
        match self
            .members
            .record_report(engine, incarnation, leaving, now)
        {
            membership::ReportOutcome::Restarted => self.engine_crashed(engine, now),
            membership::ReportOutcome::Joined => self.fleet.restarted(engine, now),
            membership::ReportOutcome::Unchanged => {}
        }
        self.fleet.reported(engine, report, now);
        self.refresh_standing(engine, now);
        self.take_actions()
    }

    /// Takes in an engine's cache events, numbered from `first`.
    pub fn cache_events(
        &mut self,
        engine: &EngineId,
        first: u64,
        events: &[CacheEvent],
        now: Instant,
    ) {
        self.fleet.cache_events(engine, first, events, now);
    }

    /// Takes in what the peers have waiting on an engine.
    pub fn hinted(&mut self, engine: &EngineId, tokens: Tokens, now: Instant) {
        self.fleet.hinted(engine, tokens, now);
    }

    /// Takes in a verdict from another instance.
    pub fn learn_verdict(&mut self, notice: &quarantine::PeerVerdict, now: Instant) {
        self.quarantine.apply_peer_verdict(notice, now);
    }

    /// Takes in tokens of an answer, `count` of them from position `from` on.
    pub fn tokens(
        &mut self,
        attempt: AttemptId,
        from: u64,
        count: u64,
        now: Instant,
    ) -> (Delivery, Vec<Action>) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return (Delivery::Drop, Vec::new());
        };
        let Some(flight) = self.flights.get_mut(&id) else {
            return (Delivery::Drop, Vec::new());
        };
        if from != flight.position {
            self.attempt_failed(attempt, super::Failure::OutOfSequence, now);
            return (Delivery::Drop, self.take_actions());
        }
        flight.position += count;
        flight.progressed_at = now;
        if flight.alone {
            self.proven_innocent(id, now);
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return (Delivery::Drop, Vec::new());
        };
        if !flight.started {
            flight.started = true;
            self.first_token(id, attempt, now);
        }
        (Delivery::Deliver, Vec::new())
    }

    /// Notes that an attempt delivered the whole answer.
    pub fn completed(&mut self, attempt: AttemptId, now: Instant) -> Vec<Action> {
        let id = self.attempts.get(&attempt).copied();
        // A suspended attempt's connection is broken, so what it says is no end.
        let running = |id: &RequestId| {
            let flight = self.flights.get(id);
            flight.is_some_and(|flight| flight.phase == Phase::Running)
        };
        if let Some(id) = id.filter(running) {
            self.clear_suspicion(id);
            self.finish(id, Outcome::Completed, now);
        }
        self.take_actions()
    }

    /// Notes that the caller went away; frees the engines.
    pub fn caller_gone(&mut self, request: RequestId, now: Instant) -> Vec<Action> {
        if self.flights.contains_key(&request) {
            self.cancel_attempt(request, now);
            self.finish(request, Outcome::Abandoned, now);
        }
        self.take_actions()
    }

    /// Does what is due by now.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        for due in self.timers.take_expired(now) {
            match due {
                Due::Deadline(id) => self.deadline_passed(id, now),
                Due::Stall(attempt) => self.check_stall(attempt, now),
                Due::Retry(id) => self.retry(id, now),
                Due::Isolation => self.pump_suspects(now),
                Due::Housekeeping => self.housekeeping(now),
            }
        }
        self.take_actions()
    }

    /// Admits nothing from now on.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Starts an attempt by its plan: at once on one engine, after the memory
    /// is reserved on a group.
    pub(crate) fn start(&mut self, id: RequestId, plan: Plan, now: Instant) {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        check_invariant!(
            flight.attempt.is_none(),
            "one-attempt-at-a-time",
            "{id} has an attempt already"
        );
        let memory: Tokens = plan.segments.iter().map(|s| s.memory).sum();
        check_invariant!(
            memory >= flight.request.memory(),
            "plan-has-memory",
            "{id} is planned with {memory}"
        );
        flight.attempt = Some(attempt);
        flight.started = false;
        flight.plan = Some(plan);
        self.attempts.insert(attempt, id);
        if flight.is_group() {
            flight.phase = Phase::Reserving;
            self.reserve_group(id, attempt);
        } else {
            self.send(id, now);
        }
    }

    pub(crate) fn send(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let (Some(attempt), Some(plan)) = (flight.attempt, flight.plan.clone()) else {
            return;
        };
        flight.phase = Phase::Running;
        flight.sent = true;
        flight.progressed_at = now;
        for segment in &plan.segments {
            self.fleet.sent(
                &segment.engine,
                attempt,
                segment.unread,
                segment.memory,
                now,
            );
        }
        let patience = plan.estimate * 3 + self.settings.stall_timeout;
        flight.stall = Some(self.timers.schedule(now + patience, Due::Stall(attempt)));
        self.actions.push(Action::Send(Sending {
            request: id,
            attempt,
            plan,
            resume_from: flight.position,
            deadline: flight.request.deadline,
            failures: flight.failures,
            waited: now - flight.arrived_at,
        }));
    }

    fn first_token(&mut self, id: RequestId, attempt: AttemptId, now: Instant) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let engines = flight.engines();
        let lead = engines.first().cloned();
        if let Some(old) = flight.stall.take() {
            self.timers.cancel(old);
        }
        let at = now + self.settings.stall_timeout;
        flight.stall = Some(self.timers.schedule(at, Due::Stall(attempt)));
        let prefixes = flight.request.prefixes.clone();
        for engine in &engines {
            self.fleet.started(engine, attempt, now);
        }
        if let Some(lead) = lead {
            self.members.record_progress(&lead);
            let cached: Vec<CacheEvent> = prefixes
                .iter()
                .map(|prefix| CacheEvent::Stored(prefix.hash))
                .collect();
            self.fleet.cached(&lead, &cached, now);
        }
    }

    /// Ends a request's current attempt in all books.
    pub(crate) fn drop_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if let Some(stall) = flight.stall.take() {
            self.timers.cancel(stall);
        }
        let engines = flight.engines();
        let grouped = flight.is_group();
        flight.plan = None;
        let Some(attempt) = flight.attempt.take() else {
            return;
        };
        let alone = std::mem::take(&mut flight.alone);
        self.attempts.remove(&attempt);
        for engine in &engines {
            self.fleet.ended(engine, attempt, now);
        }
        if grouped {
            self.release_group(attempt, now);
        }
        if alone {
            self.end_isolation(id, now);
        }
    }

    /// Cancels a request's current attempt at its engines and drops it.
    pub(crate) fn cancel_attempt(&mut self, id: RequestId, now: Instant) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let sent = matches!(flight.phase, Phase::Running | Phase::Suspended);
        if let (true, Some(attempt)) = (sent, flight.attempt) {
            let engines = flight.engines();
            self.actions.push(Action::Cancel { attempt, engines });
        }
        self.drop_attempt(id, now);
    }

    /// Ends a request: the caller hears the outcome at once.
    pub(crate) fn finish(&mut self, id: RequestId, outcome: Outcome, now: Instant) {
        self.drop_attempt(id, now);
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        self.timers.cancel(flight.deadline);
        if flight.phase == Phase::Waiting {
            self.waiting = self.waiting.saturating_sub(1);
        }
        self.suspects.retain(|suspect| *suspect != id);
        self.drop_unsent_isolation(id);
        self.gate.end_request(&flight.request.account);
        self.actions.push(Action::Finish {
            request: id,
            outcome,
        });
        check_invariant!(
            self.attempts.len() <= self.flights.len(),
            "attempts-belong-to-requests",
            "{} attempts for {} requests",
            self.attempts.len(),
            self.flights.len()
        );
    }

    /// Gives up a request with the truth about what ran.
    pub(crate) fn give_up(
        &mut self,
        id: RequestId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Instant,
    ) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let refusal = Refusal {
            reason,
            ran: flight.ran(),
            retry_after,
        };
        self.cancel_attempt(id, now);
        self.finish(id, Outcome::Refused(refusal), now);
    }

    pub(crate) fn enter_waiting(&mut self, id: RequestId) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        flight.phase = Phase::Waiting;
        self.waiting += 1;
    }

    pub(crate) fn leave_waiting(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    fn deadline_passed(&mut self, id: RequestId, now: Instant) {
        self.give_up(
            id,
            RefusalReason::DeadlineExceeded,
            Some(DEFAULT_RETRY),
            now,
        );
    }

    fn housekeeping(&mut self, now: Instant) {
        self.refresh_all(now);
        self.fleet.rebalance(now);
        for (attempt, order) in self.ledger.tick(now) {
            self.push_order(attempt, order);
        }
        self.timers
            .schedule(now + HOUSEKEEPING_PERIOD, Due::Housekeeping);
    }

    fn refresh_all(&mut self, now: Instant) {
        let ids: Vec<EngineId> = self.fleet.ids().cloned().collect();
        for id in ids {
            self.refresh_standing(&id, now);
        }
    }

    pub(crate) fn refresh_standing(&mut self, id: &EngineId, now: Instant) {
        let open = self.members.target_state(id, now) == membership::TargetState::Live;
        self.fleet.set_open(id, open);
    }

    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
