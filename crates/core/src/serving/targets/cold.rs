//! Targets that are cold: they take few requests for some seconds, and crash above that.
//!
//! A target is cold after its start, when its entry says so, and after the end of an
//! evacuation, as it may have rested. Its limit is shared by all instances as one that it
//! names itself.

use crate::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::{
        routes::ColdStart,
        targets::{TargetFacts, Targets, evacuation::EvacuationChange},
    },
};

impl Targets {
    /// Sets how the targets of services start. Targets that became known a short time ago are
    /// cold.
    pub fn set_cold_starts(
        &mut self,
        cold_starts: impl Iterator<Item = (ServiceId, ColdStart)>,
        now: Instant,
    ) {
        let cold_starts = cold_starts.collect();
        if self.cold_starts == cold_starts {
            return;
        }
        self.cold_starts = cold_starts;
        let known = self.targets.values();
        let known = known.map(|target| (target.facts.id.clone(), target.known_since));
        let known: Vec<(EngineId, Instant)> = known.collect();
        for (id, known_since) in known {
            self.cool(&id, known_since, now);
        }
    }

    /// Records that evacuations have begun or ended: the targets of a data centre that is
    /// taken back are cold.
    pub fn record_evacuation_changes(&mut self, changes: &[EvacuationChange], now: Instant) {
        for change in changes.iter().filter(|change| !change.is_evacuated) {
            let targets = self.targets.values().map(|target| &target.facts);
            let returned = targets.filter(|facts| facts.data_centre == change.data_centre);
            let returned: Vec<EngineId> = returned.map(|facts| facts.id.clone()).collect();
            for id in returned {
                self.cool(&id, now, now);
            }
        }
    }

    /// Records what a new entry says, in place of the one `known` before.
    pub(super) fn record_cold_entry(
        &mut self,
        id: &EngineId,
        known: Option<&TargetFacts>,
        now: Instant,
    ) {
        let Some(facts) = self.targets.get(id).map(|target| target.facts.clone()) else {
            return;
        };
        let is_same_process =
            known.is_some_and(|known| known.started_unix_ms == facts.started_unix_ms);
        if !is_same_process {
            self.cool(id, now, now);
        }
        let says_anew = known.is_none_or(|known| known.cold_remaining != facts.cold_remaining);
        if let Some(cold_start) = self.cold_starts.get(&facts.service)
            && (says_anew || !is_same_process)
        {
            let until = now + facts.cold_remaining;
            self.limits.set_cold(id, cold_start.rate, until, now);
        }
    }

    /// Takes a target for cold from `since` on.
    fn cool(&mut self, id: &EngineId, since: Instant, now: Instant) {
        let service = self.targets.get(id).map(|target| &target.facts.service);
        if let Some(cold_start) = service.and_then(|service| self.cold_starts.get(service)) {
            let until = since + cold_start.time;
            self.limits.set_cold(id, cold_start.rate, until, now);
        }
    }
}
