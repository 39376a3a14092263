//! Entries of a target list that the platform's store has restored from an older copy.
//!
//! The copy may contradict what this instance knows: a target that drains is ready there,
//! one that has left is listed, and one that has restarted has the entry of its earlier
//! process. A target that runs writes its entry again.

use std::time::Duration;

use crate::{
    clock::Instant,
    serving::targets::{Target, TargetFacts, Targets},
};

/// Time for which it is known that a target has left; far above the age of the copies.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(120);

/// The end of a target's entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// Start of the process that had the entry, in ms since the Unix epoch.
    pub(super) started_unix_ms: u64,
    /// Time at which the entry was removed.
    pub(super) at: Instant,
}

impl Targets {
    /// Applies an entry of a list that the store has restored from an older copy. A target
    /// that had left is excluded for `entry_lifetime`: the store removes the entry in this
    /// time if the target does not write it again. Returns the duration of the exclusion.
    pub fn upsert_restored(
        &mut self,
        mut facts: TargetFacts,
        entry_lifetime: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let known = self.targets.get(&facts.id).map(|target| &target.facts);
        if known.is_some_and(|known| facts.started_unix_ms < known.started_unix_ms) {
            return None;
        }
        if let Some(known) = known
            && known.started_unix_ms == facts.started_unix_ms
        {
            facts.draining |= known.draining;
        }
        let departure = self.departures.get(&facts.id).copied();
        let has_left =
            departure.is_some_and(|known| facts.started_unix_ms <= known.started_unix_ms);
        let id = facts.id.clone();
        self.upsert(facts, now);
        // A target that had left is still not known to run.
        let departure = departure.filter(|_| has_left)?;
        self.departures.insert(id.clone(), departure);
        let target = self.targets.get_mut(&id)?;
        target.unconfirmed_until = Some(now + entry_lifetime);
        Some(entry_lifetime)
    }

    pub(super) fn record_departure(&mut self, target: &TargetFacts, now: Instant) {
        let departure = Departure {
            started_unix_ms: target.started_unix_ms,
            at: now,
        };
        self.departures.insert(target.id.clone(), departure);
    }

    pub(super) fn remove_expired_departures(&mut self, now: Instant) {
        self.departures
            .retain(|_, departure| now - departure.at <= DEPARTURE_RETENTION);
    }
}

impl Target {
    /// Whether only a restored entry lists the target, which had left.
    pub fn is_unconfirmed(&self, now: Instant) -> bool {
        self.unconfirmed_until.is_some_and(|until| now < until)
    }
}
