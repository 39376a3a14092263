//! What targets say of themselves in their answers: that they leave, or that they want no
//! requests for a time.
//!
//! Both hold for the process that said it. A process that leaves gets no new requests until
//! its end, whatever the target list says of it; all instances keep to it, as the one that got
//! the answer tells its peers. A pause is between the target and the instance that got the
//! answer.

use std::{collections::HashMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{EngineId, ServiceId},
    serving::targets::{Target, Targets},
};

/// Time for which it is known that a process leaves, after its target was last listed. It is
/// above the age of the copies that the store may come back from.
const LEAVING_RETENTION: Duration = Duration::from_secs(120);

/// Longest pause that a target gets. Only an answer shows that it wants requests again.
pub const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time in which the requests to a target that was paused or evacuated grow from one at a
/// time to its slots.
const RETURN_TIME: Duration = Duration::from_secs(3);

crate::data_types! {
    /// A process of a target. A target may start again under the same id.
    pub struct TargetProcess {
        /// The target.
        pub target: EngineId,
        /// Start of the process, in ms since the Unix epoch; 0 if unknown.
        pub started_unix_ms: u64,
    }
}

#[derive(Clone, Copy, Debug)]
struct LeavingProcess {
    started_unix_ms: u64,
    /// Time at which the target was last known to be listed, or said that it leaves.
    listed_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    started_unix_ms: u64,
    until: Instant,
}

/// The notices in force.
#[derive(Clone, Debug, Default)]
pub(super) struct Notices {
    leaving: HashMap<EngineId, LeavingProcess>,
    pauses: HashMap<EngineId, Pause>,
}

impl Notices {
    /// Whether the target's process, or a later one, has said that it leaves.
    fn has_said_leaving(&self, target: &Target) -> bool {
        let leaving = self.leaving.get(&target.facts.id);
        leaving.is_some_and(|known| known.started_unix_ms >= target.facts.started_unix_ms)
    }

    /// End of the target's latest pause.
    fn paused_until(&self, target: &Target) -> Option<Instant> {
        let pause = self.pauses.get(&target.facts.id)?;
        (pause.started_unix_ms == target.facts.started_unix_ms).then_some(pause.until)
    }

    /// Drops what no longer matters. `is_listed` says whether a target has an entry.
    pub(super) fn remove_expired(&mut self, is_listed: impl Fn(&EngineId) -> bool, now: Instant) {
        self.leaving.retain(|target, known| {
            if is_listed(target) {
                known.listed_at = now;
            }
            now - known.listed_at <= LEAVING_RETENTION
        });
        self.pauses
            .retain(|_, pause| now <= pause.until + RETURN_TIME);
    }
}

impl Targets {
    /// The process that the target list names for a target; none if it is not listed.
    pub fn process(&self, id: &EngineId) -> Option<TargetProcess> {
        let facts = &self.targets.get(id)?.facts;
        Some(TargetProcess {
            target: facts.id.clone(),
            started_unix_ms: facts.started_unix_ms,
        })
    }

    /// As [`Self::process`], if the process was listed at `since` too.
    pub fn process_since(&self, id: &EngineId, since: Instant) -> Option<TargetProcess> {
        let target = self.targets.get(id)?;
        self.process(id).filter(|_| target.known_since <= since)
    }

    /// Records that a process has said that it leaves, here or at a peer. Returns whether
    /// that is news. An answer of an earlier process than the listed one has no effect.
    pub fn record_leaving_process(&mut self, process: &TargetProcess, now: Instant) -> bool {
        let listed = self.targets.get(&process.target);
        if listed.is_some_and(|target| process.started_unix_ms < target.facts.started_unix_ms) {
            return false;
        }
        let known = self.notices.leaving.get_mut(&process.target);
        if let Some(known) = known
            && process.started_unix_ms <= known.started_unix_ms
        {
            return false;
        }
        let leaving = LeavingProcess {
            started_unix_ms: process.started_unix_ms,
            listed_at: now,
        };
        self.notices.leaving.insert(process.target.clone(), leaving);
        true
    }

    /// The listed processes that have said that they leave, for the peers.
    pub fn leaving_processes(&self, now: Instant) -> Vec<TargetProcess> {
        let known = self.notices.leaving.iter();
        let listed = known.filter(|(id, _)| {
            let target = self.targets.get(*id);
            target.is_some_and(|target| !target.is_removed(now))
        });
        let processes = listed.map(|(id, leaving)| TargetProcess {
            target: id.clone(),
            started_unix_ms: leaving.started_unix_ms,
        });
        processes.collect()
    }

    /// Records that a process wants no requests of this instance for `pause`, bounded by
    /// [`MAX_PAUSE`]. The later end of two pauses counts. Returns the pause until then; none
    /// if it is over or another process is listed.
    pub fn record_pause(
        &mut self,
        process: &TargetProcess,
        pause: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let listed = self.targets.get(&process.target)?;
        if listed.facts.started_unix_ms != process.started_unix_ms || pause.is_zero() {
            return None;
        }
        let known = self.notices.paused_until(listed);
        let until = (now + pause.min(MAX_PAUSE)).max(known.unwrap_or(now));
        let pause = Pause {
            started_unix_ms: process.started_unix_ms,
            until,
        };
        self.notices.pauses.insert(process.target.clone(), pause);
        Some(until - now)
    }

    /// Whether a target has said that it leaves.
    pub fn has_said_leaving(&self, target: &Target) -> bool {
        self.notices.has_said_leaving(target)
    }

    /// Whether a target wants no requests of this instance at present.
    pub fn is_paused(&self, target: &Target, now: Instant) -> bool {
        let until = self.notices.paused_until(target);
        until.is_some_and(|until| now < until)
    }

    /// Time until the first paused target of a service wants requests again; none if none
    /// is paused.
    pub fn pause_left(
        &self,
        service: &ServiceId,
        excluded: &[EngineId],
        now: Instant,
    ) -> Option<Duration> {
        let listed = self.listed(service, now);
        let listed = listed.filter(|target| !excluded.contains(&target.facts.id));
        let ends = listed.filter_map(|target| self.notices.paused_until(target));
        let next = ends.filter(|until| now < *until).min();
        next.map(|until| until - now)
    }

    /// Whether a request that was placed on a target may still be sent to it.
    pub fn accepts(&self, id: &EngineId, now: Instant) -> bool {
        let target = self.targets.get(id);
        target.is_none_or(|target| !self.is_closed(target, now) && !self.is_paused(target, now))
    }

    /// Whether a target gets no new requests, for a reason that does not end by itself.
    pub(super) fn is_closed(&self, target: &Target, now: Instant) -> bool {
        target.facts.draining || self.has_said_leaving(target) || self.is_evacuated(target, now)
    }

    /// Whether the data centre of a target is evacuated.
    pub fn is_evacuated(&self, target: &Target, now: Instant) -> bool {
        let data_centre = &target.facts.data_centre;
        self.evacuations.is_evacuated(data_centre, now)
    }

    /// Whether a target that was paused or evacuated a short time ago may get another request: the load
    /// from all instances grows with the time since then.
    pub(super) fn has_return_room(&self, target: &Target, now: Instant) -> bool {
        let paused_until = self.notices.paused_until(target);
        let evacuated_until = self.evacuations.ended_at(&target.facts.data_centre);
        let Some(returned_at) = paused_until.max(evacuated_until) else {
            return true;
        };
        let elapsed = (now - returned_at).as_secs_f64() / RETURN_TIME.as_secs_f64();
        if elapsed >= 1.0 {
            return true;
        }
        let room = 1.0 + elapsed * f64::from(target.facts.slots);
        f64::from(self.load(&target.facts.id, now).requests) + 1.0 <= room
    }
}
