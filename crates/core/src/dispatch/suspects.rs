//! Requests that were in flight on an engine that crashed.

use std::time::Duration;

use crate::{
    check_invariant,
    clock::Instant,
    dispatch::{Dispatcher, Due, flight::Phase},
    ids::{EngineId, RequestId},
    recovery::quarantine,
    request::{Fingerprint, RefusalReason},
};

/// Longest wait for an engine to become empty for a suspect.
const EMPTY_WAIT: Duration = Duration::from_millis(500);

/// Time between two looks at engines that are to become empty.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// One engine in so many may be kept for suspects, over all instances.
const ENGINES_PER_ISOLATION: usize = 5;

/// Engines that die within `MASS_WINDOW` and more are put down to the
/// infrastructure, and what ran on them is not run alone.
const MASS_DEATHS: usize = 3;

/// Crashes that do not yet prove a request guilty if it runs on a group of
/// engines, or alone on an engine where another instance may run a suspect too.
const SHARED_CRASHES: u32 = 2;

/// Crashes that prove a content guilty even amid a mass failure, which it may
/// itself be the cause of.
const MASS_CRASHES: u32 = 3;

/// Time within which several deaths count as one event.
const MASS_WINDOW: Duration = Duration::from_secs(2);

/// An engine kept for one suspect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Isolation {
    request: RequestId,
    since: Instant,
    sent: bool,
    /// Whether no other instance would run a suspect there, so that a crash
    /// proves this one guilty.
    exclusive: bool,
}

impl Dispatcher {
    /// An engine crashed: whatever ran there is suspected.
    pub(crate) fn engine_crashed(&mut self, engine: &EngineId, now: Instant) {
        let on_engine: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.uses(engine))
            .map(|(id, _)| *id)
            .collect();
        self.ledger.remove_engine(engine);
        self.fleet.restarted(engine, now);
        self.note_death(engine, now);
        for id in on_engine {
            self.suspect(id, engine, now);
        }
        self.pump_suspects(now);
    }

    /// Looks for engines on which waiting suspects can run alone.
    pub(crate) fn pump_suspects(&mut self, now: Instant) {
        self.send_isolated(now);
        for id in self.take_suspects() {
            let room = self.isolations.len() < self.most_isolations();
            if !room || !self.isolate(id, now) {
                self.suspects.push_back(id);
            }
        }
        self.send_isolated(now);
        let unsent = self.isolations.values().any(|isolation| !isolation.sent);
        if unsent || !self.suspects.is_empty() {
            self.timers.schedule(now + POLL_PERIOD, Due::Isolation);
        }
    }

    /// A request that ran to its end is suspected no more.
    pub(crate) fn clear_suspicion(&mut self, id: RequestId) {
        if let Some(flight) = self.flights.get(&id) {
            self.quarantine.clear_suspicion(&flight.request.fingerprint);
        }
    }

    /// A suspect that runs alone has got past where it was when its engine
    /// crashed: it read its prompt and made a token more. It goes on as any other
    /// request, and the engine is free for the next suspect.
    pub(crate) fn proven_innocent(&mut self, id: RequestId, now: Instant) {
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.alone = false;
        }
        self.clear_suspicion(id);
        self.end_isolation(id, now);
    }

    /// Opens the engine that a suspect had to itself.
    pub(crate) fn end_isolation(&mut self, id: RequestId, now: Instant) {
        let engines = self.isolations_of(id);
        for engine in &engines {
            self.isolations.remove(engine);
            self.fleet.set_isolated(engine, false);
        }
        if !engines.is_empty() {
            self.timers.schedule(now, Due::Isolation);
        }
    }

    /// Opens the engine that was being emptied for a request that ended.
    pub(crate) fn drop_unsent_isolation(&mut self, id: RequestId) {
        for engine in self.isolations_of(id) {
            self.isolations.remove(&engine);
            self.fleet.set_isolated(&engine, false);
        }
    }

    /// Waiting suspects, the shortest first: they are cleared the quickest, and
    /// their deadlines are the nearest.
    fn take_suspects(&mut self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.suspects.drain(..).collect();
        ids.sort_by_key(|id| self.flights.get(id).map(|f| f.request.prompt.get()));
        ids
    }

    fn isolations_of(&self, id: RequestId) -> Vec<EngineId> {
        let own = self.isolations.iter().filter(|(_, i)| i.request == id);
        own.map(|(engine, _)| engine.clone()).collect()
    }

    /// A restart that is noticed later is the same death.
    fn note_death(&mut self, engine: &EngineId, now: Instant) {
        self.deaths.retain(|(_, at)| now - *at <= MASS_WINDOW);
        if self.deaths.iter().all(|(dead, _)| dead != engine) {
            self.deaths.push((engine.clone(), now));
        }
    }

    fn is_mass_failure(&self) -> bool {
        self.deaths.len() >= MASS_DEATHS
    }

    fn suspect(&mut self, id: RequestId, engine: &EngineId, now: Instant) {
        let mass_failure = self.is_mass_failure();
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.phase == Phase::Reserving {
            // The engine held memory for it but has not seen the request.
            self.drop_attempt(id, now);
            self.replan(id, now);
            return;
        }
        flight.failures += 1;
        let content = flight.request.fingerprint;
        let crashes = self.quarantine.crash_count(&content, now) + 1;
        let group = flight.is_group();
        let isolation = self.isolations.get(engine);
        let exclusive = flight.alone && isolation.is_some_and(|i| i.exclusive);
        let shared = group || flight.alone;
        let seen_alone = exclusive || (shared && crashes > SHARED_CRASHES);
        let guilty = match mass_failure {
            false => seen_alone,
            true => seen_alone && crashes >= MASS_CRASHES,
        };
        let others: Vec<EngineId> = flight.engines();
        self.cancel_on_survivors(id, others, engine);
        self.drop_attempt(id, now);
        let verdict = self.quarantine.record_crash(content, guilty, now);
        if verdict == quarantine::Verdict::Quarantined {
            self.condemn(&content, now);
        } else {
            self.queue_suspect(id, crashes, now);
        }
    }

    /// Gives up every request with the content, wherever it stands.
    fn condemn(&mut self, content: &Fingerprint, now: Instant) {
        let same = self.flights.iter();
        let same = same.filter(|(_, flight)| &flight.request.fingerprint == content);
        let ids: Vec<RequestId> = same.map(|(id, _)| *id).collect();
        for id in ids {
            let again = Some(quarantine::QUARANTINE_TIME);
            self.give_up(id, RefusalReason::Quarantined, again, now);
        }
    }

    fn queue_suspect(&mut self, id: RequestId, crashes: u32, now: Instant) {
        let unlucky = self.is_mass_failure() && crashes == 1;
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let group = flight.request.memory() > self.fleet.largest_memory(&flight.request.model);
        if group || unlucky {
            self.replan(id, now);
            return;
        }
        flight.phase = Phase::Suspect;
        self.suspects.push_back(id);
    }

    fn cancel_on_survivors(&mut self, id: RequestId, engines: Vec<EngineId>, dead: &EngineId) {
        let Some(attempt) = self.flights.get(&id).and_then(|f| f.attempt) else {
            return;
        };
        let engines: Vec<EngineId> = engines.into_iter().filter(|e| e != dead).collect();
        if !engines.is_empty() {
            self.actions
                .push(super::Action::Cancel { attempt, engines });
        }
    }

    fn most_isolations(&self) -> usize {
        let instances = self.settings.fleet.instances.max(1) as usize;
        let open = self.fleet.engines().iter().filter(|e| e.open).count();
        (open / (ENGINES_PER_ISOLATION * instances)).max(1)
    }

    /// Closes the emptiest engine to other work, for this suspect.
    fn isolate(&mut self, id: RequestId, now: Instant) -> bool {
        let Some(flight) = self.flights.get(&id) else {
            return true;
        };
        if self.is_isolated(&flight.request.fingerprint) {
            return false;
        }
        let memory = flight.request.memory();
        let model = flight.request.model.clone();
        let usable = self
            .fleet
            .engines()
            .iter()
            .filter(|e| e.open && !e.isolated && e.facts.model == model)
            .filter(|e| e.facts.memory >= memory);
        // Each instance has engines of its own for this, so two suspects of
        // different instances do not meet.
        let best = usable.min_by_key(|e| (!e.preferred, e.load.requests()));
        let Some((engine, exclusive)) = best.map(|e| (e.facts.id.clone(), e.preferred)) else {
            return false;
        };
        self.fleet.set_isolated(&engine, true);
        let isolation = Isolation {
            request: id,
            since: now,
            sent: false,
            exclusive,
        };
        self.isolations.insert(engine, isolation);
        true
    }

    /// Whether a copy of the content has an engine to itself already.
    fn is_isolated(&self, content: &Fingerprint) -> bool {
        let isolated = self.isolations.values();
        let mut flights = isolated.filter_map(|i| self.flights.get(&i.request));
        flights.any(|flight| &flight.request.fingerprint == content)
    }

    fn send_isolated(&mut self, now: Instant) {
        let ready: Vec<(EngineId, RequestId)> = self
            .isolations
            .iter()
            .filter(|(engine, isolation)| !isolation.sent && self.is_ready(engine, isolation, now))
            .map(|(engine, isolation)| (engine.clone(), isolation.request))
            .collect();
        for (engine, id) in ready {
            self.run_alone(id, &engine, now);
        }
    }

    fn is_ready(&self, engine: &EngineId, isolation: &Isolation, now: Instant) -> bool {
        let empty = self
            .fleet
            .engine(engine)
            .is_some_and(|e| e.load.requests() == 0);
        empty || now - isolation.since >= EMPTY_WAIT
    }

    fn run_alone(&mut self, id: RequestId, engine: &EngineId, now: Instant) {
        if let Some(isolation) = self.isolations.get_mut(engine) {
            isolation.sent = true;
        }
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        check_invariant!(
            flight.phase == Phase::Suspect,
            "suspects-run-alone",
            "{id} is {:?}",
            flight.phase
        );
        flight.alone = true;
        let plan = self.fleet.plan_isolated(&flight.request, engine);
        self.start(id, plan, now);
    }
}
