//! Suspects: requests that were in flight on an engine that crashed.
//!
//! A suspect is retried isolated, that is alone on its engine, so that a second
//! crash proves its content to be the cause and quarantines it.

use std::time::Duration;

use crate::{
    check_invariant,
    clock::Instant,
    dispatch::{Dispatcher, TimerEvent, request_state::Phase},
    ids::{EngineId, RequestId},
    recovery::quarantine,
    request::{Fingerprint, RefusalReason},
};

/// Limit on the wait for an isolated engine to become idle; then the suspect is
/// sent anyway.
const MAX_IDLE_WAIT: Duration = Duration::from_millis(500);

/// Interval at which isolated engines are checked for being idle.
const IDLE_POLL_PERIOD: Duration = Duration::from_millis(50);

/// One of this many available engines may be isolated, counted over all instances;
/// each instance may isolate at least one.
const ENGINES_PER_ISOLATION: usize = 5;

/// Number of engines whose crashes within [`MASS_FAILURE_WINDOW`] count as an
/// infrastructure failure. Requests whose content crashed no engine before are
/// then retried without isolation.
const MASS_FAILURE_ENGINES: usize = 3;

/// Number of crashes of one content that are no proof against it if the request
/// ran on a group of engines, or isolated on an engine where another instance may
/// also run a suspect.
const MAX_INCONCLUSIVE_CRASHES: u32 = 2;

/// Number of crashes that prove a content to be the cause even during a mass
/// failure, as the content may itself cause the mass failure.
const MASS_FAILURE_PROOF_CRASHES: u32 = 3;

/// Time within which crashes of several engines count as one failure.
const MASS_FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Exclusive use of an engine by one suspect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    request: RequestId,
    started_at: Instant,
    /// Whether the suspect's attempt has been started.
    is_sent: bool,
    /// Whether no other instance isolates this engine, so that a crash proves the
    /// suspect's content to be the cause.
    exclusive: bool,
}

impl Dispatcher {
    /// Processes the crash of an engine: each request in flight on it becomes a
    /// suspect, is retried or is refused.
    pub(crate) fn process_engine_crash(&mut self, engine: &EngineId, now: Instant) {
        let on_engine: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, state)| state.uses(engine))
            .map(|(id, _)| *id)
            .collect();
        self.ledger.remove_engine(engine);
        self.fleet.record_restart(engine, now);
        self.record_crash(engine, now);
        for id in on_engine {
            self.handle_crashed_attempt(id, engine, now);
        }
        self.schedule_suspects(now);
    }

    /// Isolates engines for queued suspects and starts the suspects whose engines
    /// are ready.
    pub(crate) fn schedule_suspects(&mut self, now: Instant) {
        self.start_ready_suspects(now);
        for id in self.take_suspects() {
            let has_capacity = self.isolations.len() < self.max_isolations();
            if !has_capacity || !self.isolate_engine(id, now) {
                self.suspect_queue.push_back(id);
            }
        }
        self.start_ready_suspects(now);
        let has_unsent = self.isolations.values().any(|isolation| !isolation.is_sent);
        if has_unsent || !self.suspect_queue.is_empty() {
            self.timers
                .schedule(now + IDLE_POLL_PERIOD, TimerEvent::Isolation);
        }
    }

    /// Removes the suspicion from the content of a request.
    pub(crate) fn clear_suspicion(&mut self, id: RequestId) {
        if let Some(state) = self.requests.get(&id) {
            self.quarantine.clear_suspicion(&state.request.fingerprint);
        }
    }

    /// Clears an isolated suspect that has delivered tokens: it has completed prefill
    /// and passed the point at which its engine crashed. The request continues as any
    /// other, and the engine becomes available to the next suspect.
    pub(crate) fn clear_isolated_suspect(&mut self, id: RequestId, now: Instant) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.is_isolated = false;
        }
        self.clear_suspicion(id);
        self.end_isolation(id, now);
    }

    /// Ends the isolation for a request and schedules the next suspects.
    pub(crate) fn end_isolation(&mut self, id: RequestId, now: Instant) {
        let engines = self.isolated_engines(id);
        for engine in &engines {
            self.isolations.remove(engine);
            self.fleet.set_isolated(engine, false);
        }
        if !engines.is_empty() {
            self.timers.schedule(now, TimerEvent::Isolation);
        }
    }

    /// Ends the isolation for a request that ended before its isolated attempt
    /// started.
    pub(crate) fn cancel_isolation(&mut self, id: RequestId) {
        for engine in self.isolated_engines(id) {
            self.isolations.remove(&engine);
            self.fleet.set_isolated(&engine, false);
        }
    }

    /// Drains the suspect queue, shortest prompt first: short prompts are cleared
    /// soonest and have the earliest deadlines.
    fn take_suspects(&mut self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.suspect_queue.drain(..).collect();
        ids.sort_by_key(|id| {
            self.requests
                .get(id)
                .map(|state| state.request.prompt.get())
        });
        ids
    }

    fn isolated_engines(&self, id: RequestId) -> Vec<EngineId> {
        let isolations = self.isolations.iter().filter(|(_, i)| i.request == id);
        isolations.map(|(engine, _)| engine.clone()).collect()
    }

    /// Records a crash for the detection of mass failures. An engine is counted once
    /// per window, as a crash may be reported again as a restart.
    fn record_crash(&mut self, engine: &EngineId, now: Instant) {
        self.recent_crashes
            .retain(|(_, at)| now - *at <= MASS_FAILURE_WINDOW);
        if self
            .recent_crashes
            .iter()
            .all(|(crashed, _)| crashed != engine)
        {
            self.recent_crashes.push((engine.clone(), now));
        }
    }

    fn is_mass_failure(&self) -> bool {
        self.recent_crashes.len() >= MASS_FAILURE_ENGINES
    }

    fn handle_crashed_attempt(&mut self, id: RequestId, engine: &EngineId, now: Instant) {
        let mass_failure = self.is_mass_failure();
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        if state.phase == Phase::Reserving {
            // The engine reserved memory but has not received the request, so the
            // request is no suspect.
            self.end_attempt(id, now);
            self.replan(id, now);
            return;
        }
        state.failed_attempts += 1;
        let content = state.request.fingerprint;
        let crashes = self.quarantine.crash_count(&content, now) + 1;
        let is_group = state.is_group();
        let isolation = self.isolations.get(engine);
        let is_exclusive = state.is_isolated && isolation.is_some_and(|i| i.exclusive);
        let is_shared = is_group || state.is_isolated;
        let is_conclusive = is_exclusive || (is_shared && crashes > MAX_INCONCLUSIVE_CRASHES);
        let is_proven = match mass_failure {
            false => is_conclusive,
            true => is_conclusive && crashes >= MASS_FAILURE_PROOF_CRASHES,
        };
        let engines: Vec<EngineId> = state.engines();
        self.cancel_on_other_engines(id, engines, engine);
        self.end_attempt(id, now);
        let verdict = self.quarantine.record_crash(content, is_proven, now);
        if verdict == quarantine::Verdict::Quarantined {
            self.refuse_quarantined(&content, now);
        } else {
            self.queue_suspect(id, crashes, now);
        }
    }

    /// Refuses all requests with the content, in any phase.
    fn refuse_quarantined(&mut self, content: &Fingerprint, now: Instant) {
        let matching = self.requests.iter();
        let matching = matching.filter(|(_, state)| &state.request.fingerprint == content);
        let ids: Vec<RequestId> = matching.map(|(id, _)| *id).collect();
        for id in ids {
            let retry_after = Some(quarantine::QUARANTINE_TIME);
            self.refuse_request(id, RefusalReason::Quarantined, retry_after, now);
        }
    }

    /// Queues a suspect for isolation. A request that needs a group of engines
    /// cannot be isolated and is planned again, as is one whose content crashed an
    /// engine for the first time during a mass failure.
    fn queue_suspect(&mut self, id: RequestId, crashes: u32, now: Instant) {
        let is_bystander = self.is_mass_failure() && crashes == 1;
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let needs_group = state.request.memory() > self.fleet.largest_memory(&state.request.model);
        if needs_group || is_bystander {
            self.replan(id, now);
            return;
        }
        state.phase = Phase::Suspect;
        self.suspect_queue.push_back(id);
    }

    fn cancel_on_other_engines(
        &mut self,
        id: RequestId,
        engines: Vec<EngineId>,
        crashed: &EngineId,
    ) {
        let Some(attempt) = self.requests.get(&id).and_then(|state| state.attempt) else {
            return;
        };
        let engines: Vec<EngineId> = engines.into_iter().filter(|e| e != crashed).collect();
        if !engines.is_empty() {
            self.actions
                .push(super::Action::Cancel { attempt, engines });
        }
    }

    fn max_isolations(&self) -> usize {
        let instances = self.settings.fleet.instances.max(1) as usize;
        let available = self.fleet.engines().iter().filter(|e| e.usable).count();
        (available / (ENGINES_PER_ISOLATION * instances)).max(1)
    }

    /// Isolates the engine with the fewest requests for a suspect. Returns false if
    /// no engine can be isolated for it now.
    fn isolate_engine(&mut self, id: RequestId, now: Instant) -> bool {
        let Some(state) = self.requests.get(&id) else {
            return true;
        };
        if self.is_content_isolated(&state.request.fingerprint) {
            return false;
        }
        let memory = state.request.memory();
        let model = state.request.model.clone();
        let usable = self
            .fleet
            .engines()
            .iter()
            .filter(|e| e.usable && !e.isolated && e.facts.model == model)
            .filter(|e| e.facts.memory >= memory);
        // Each instance prefers a disjoint set of engines, so that suspects of two
        // instances do not share an engine.
        let best = usable.min_by_key(|e| (!e.preferred, e.load.requests()));
        let Some((engine, exclusive)) = best.map(|e| (e.facts.id.clone(), e.preferred)) else {
            return false;
        };
        self.fleet.set_isolated(&engine, true);
        let isolation = Isolation {
            request: id,
            started_at: now,
            is_sent: false,
            exclusive,
        };
        self.isolations.insert(engine, isolation);
        true
    }

    /// Whether an engine is already isolated for a request with the content.
    fn is_content_isolated(&self, content: &Fingerprint) -> bool {
        let isolations = self.isolations.values();
        let mut states = isolations.filter_map(|i| self.requests.get(&i.request));
        states.any(|state| &state.request.fingerprint == content)
    }

    fn start_ready_suspects(&mut self, now: Instant) {
        let ready: Vec<(EngineId, RequestId)> = self
            .isolations
            .iter()
            .filter(|(engine, isolation)| {
                !isolation.is_sent && self.is_isolation_ready(engine, isolation, now)
            })
            .map(|(engine, isolation)| (engine.clone(), isolation.request))
            .collect();
        for (engine, id) in ready {
            self.start_isolated(id, &engine, now);
        }
    }

    fn is_isolation_ready(&self, engine: &EngineId, isolation: &Isolation, now: Instant) -> bool {
        let is_idle = self
            .fleet
            .engine(engine)
            .is_some_and(|e| e.load.requests() == 0);
        is_idle || now - isolation.started_at >= MAX_IDLE_WAIT
    }

    fn start_isolated(&mut self, id: RequestId, engine: &EngineId, now: Instant) {
        if let Some(isolation) = self.isolations.get_mut(engine) {
            isolation.is_sent = true;
        }
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        check_invariant!(
            state.phase == Phase::Suspect,
            "suspects-run-alone",
            "request {id} to run isolated is in phase {:?}, expected Suspect",
            state.phase
        );
        state.is_isolated = true;
        let plan = self.fleet.plan_isolated(&state.request, engine);
        self.start_attempt(id, plan, now);
    }
}
