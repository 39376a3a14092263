//! Parts of prompts that crash engines.
//!
//! A part that several prompts share can crash each engine that begins to write an answer
//! on it. No two of these prompts need be alike, and their other parts are sound. All
//! requests on an engine that crashes are suspects, and so is each of their parts. What
//! tells the part apart is that no request with it completes, and that no other part
//! explains its crashes. Instances exchange the crashes and the completions.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{EngineId, PromptPartId},
};

/// Number of engines that must have crashed on a part before it is refused.
pub const MAX_CRASHED_ENGINES: usize = 4;

/// Shortest time from the first to the last of these crashes. Engines that are lost at
/// the same moment have a cause of their own, such as the loss of their rack.
const MIN_CRASH_SPAN: Duration = Duration::from_millis(250);

/// Time for which a crash counts. It exceeds the time over which clients retry.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Time after a crash or a completion in which a suspect part is reported to the peers.
const REPORT_SPAN: Duration = Duration::from_secs(10);

/// Maximum number of parts in a report.
const MAX_REPORTED_PARTS: usize = 64;

/// Maximum number of parts whose crashes, or whose completions, are stored.
const MAX_PARTS: usize = 4_096;

crate::data_types! {
    /// Crash of an engine while a request with the part ran.
    pub struct EngineCrash {
        /// The engine. It counts once, also if it starts again under the same id.
        pub engine: EngineId,
        /// Time of the crash.
        pub at: Instant,
    }

    /// What an instance knows of a part, for its peers.
    pub struct PartReport {
        /// The part.
        pub part: PromptPartId,
        /// Position of the part in a prompt, from 0.
        pub position: u32,
        /// Crashes since the latest completion.
        pub crashes: Vec<EngineCrash>,
        /// Latest completion of a request with the part; none if there was none.
        pub completed_at: Option<Instant>,
        /// Whether a request without the part has completed since its first crash.
        pub has_other_completed: bool,
    }
}

/// Parts whose refusal began or ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusalChanges {
    /// Parts that are refused from now on.
    pub refused: Vec<PromptPartId>,
    /// Parts that are no longer refused.
    pub allowed: Vec<PromptPartId>,
}

/// A part that was in a prompt on an engine that crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// Crashes since the latest completion, by engine. A crash that several instances
    /// report counts once.
    crashes: BTreeMap<EngineId, Instant>,
    position: u32,
    /// Requests that had completed at this instance before the first of the crashes. All
    /// later ones are without the part, as one with it clears the crashes.
    completions_before: u64,
    /// Whether a peer has reported a later completion without the part.
    has_other_completed_at_peer: bool,
    /// Whether one of the crashes was seen at this instance.
    has_crashed_here: bool,
    /// Time of the latest crash or completion.
    changed_at: Instant,
}

impl Suspect {
    /// Whether a request without the part has completed since the first of the crashes;
    /// `completions` is the number of completions at this instance. If none has, the
    /// engines crash for a reason that has nothing to do with the part.
    fn has_other_completed(&self, completions: u64) -> bool {
        completions > self.completions_before || self.has_other_completed_at_peer
    }

    /// Whether these crashes are enough to refuse the part.
    fn is_sufficient(crashes: &[(&EngineId, Instant)]) -> bool {
        let first = crashes.iter().map(|(_, at)| *at).min();
        let last = crashes.iter().map(|(_, at)| *at).max();
        let span = first.zip(last).map(|(first, last)| last - first);
        crashes.len() >= MAX_CRASHED_ENGINES && span >= Some(MIN_CRASH_SPAN)
    }
}

/// Crashes and completions by part of a prompt.
#[derive(Clone, Debug, Default)]
pub struct PromptParts {
    suspects: BTreeMap<PromptPartId, Suspect>,
    /// Latest completion of a request with the part.
    completed_at: BTreeMap<PromptPartId, Instant>,
    /// Parts that were refused before the start of this process, and until when they are.
    restored: BTreeMap<PromptPartId, Instant>,
    /// Parts that are refused.
    refused: BTreeSet<PromptPartId>,
    /// Requests that have completed at this instance.
    completions: u64,
}

impl PromptParts {
    /// Records that an engine crashed while a request with `parts` ran.
    pub fn record_crash(
        &mut self,
        parts: &[PromptPartId],
        engine: &EngineId,
        now: Instant,
    ) -> RefusalChanges {
        for (position, part) in parts.iter().enumerate() {
            let suspect = self.suspect(part, position as u32);
            suspect.crashes.entry(engine.clone()).or_insert(now);
            suspect.has_crashed_here = true;
            suspect.changed_at = now;
        }
        self.evict(now);
        self.update_refused(now)
    }

    /// Records that the answer to a request with `parts` was written to its end. None of
    /// them crashes engines.
    pub fn record_completion(&mut self, parts: &[PromptPartId], now: Instant) -> RefusalChanges {
        self.completions += 1;
        for part in parts {
            self.clear_crashes(part, now);
        }
        self.evict(now);
        self.update_refused(now)
    }

    /// Applies what a peer knows.
    pub fn merge_reports(&mut self, reports: &[PartReport], now: Instant) -> RefusalChanges {
        if reports.is_empty() {
            return RefusalChanges::default();
        }
        for report in reports {
            self.merge_report(report);
        }
        self.evict(now);
        self.update_refused(now)
    }

    fn merge_report(&mut self, report: &PartReport) {
        if let Some(completed_at) = report.completed_at {
            self.clear_crashes(&report.part, completed_at);
        }
        let completed_at = self.completed_at.get(&report.part).copied();
        let crashes = report.crashes.iter();
        let later = crashes.filter(|crash| Some(crash.at) > completed_at);
        let later: Vec<&EngineCrash> = later.collect();
        if later.is_empty() {
            return;
        }
        let suspect = self.suspect(&report.part, report.position);
        for crash in later {
            // A repeated report of a known crash must not extend its retention.
            if let Entry::Vacant(entry) = suspect.crashes.entry(crash.engine.clone()) {
                entry.insert(crash.at);
                suspect.changed_at = suspect.changed_at.max(crash.at);
            }
        }
        suspect.has_other_completed_at_peer |= report.has_other_completed;
    }

    /// Refuses a part until `until` that was refused before the start of this process.
    pub fn restore(&mut self, part: PromptPartId, until: Instant) {
        self.refused.insert(part.clone());
        self.restored.insert(part, until);
    }

    /// Whether this instance has seen a crash of an engine on the part.
    pub fn has_crashed_here(&self, part: &PromptPartId) -> bool {
        let suspect = self.suspects.get(part);
        suspect.is_some_and(|suspect| suspect.has_crashed_here)
    }

    /// The first of `parts` that is refused.
    pub fn find_refused<'a>(&self, parts: &'a [PromptPartId]) -> Option<&'a PromptPartId> {
        parts.iter().find(|part| self.refused.contains(*part))
    }

    /// The refused parts, each with the time of its latest crash.
    pub fn refusals(&self) -> Vec<(PromptPartId, Instant)> {
        let refused = self.refused.iter().map(|part| {
            let crashes = self.suspects.get(part).map(|suspect| &suspect.crashes);
            let latest = crashes.and_then(|crashes| crashes.values().max().copied());
            let restored = self.restored.get(part).map(|until| {
                let age = until.since_start().saturating_sub(CRASH_RETENTION);
                Instant::from_start(age)
            });
            (part.clone(), latest.max(restored).unwrap_or_default())
        });
        refused.collect()
    }

    /// Whether a part is not refused and a request with it has completed.
    pub fn is_cleared(&self, part: &PromptPartId) -> bool {
        !self.refused.contains(part) && self.completed_at.contains_key(part)
    }

    /// Number of parts that are refused.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// What peers must know: the refused parts, and the suspects with a recent crash or
    /// completion.
    pub fn reports(&self, now: Instant) -> Vec<PartReport> {
        self.reports_if(|part, suspect| {
            self.refused.contains(part) || now - suspect.changed_at <= REPORT_SPAN
        })
    }

    /// The suspects that changed in the last `span` and have crashed engines at this
    /// instance. Peers report the others.
    pub fn recent_reports(&self, span: Duration, now: Instant) -> Vec<PartReport> {
        self.reports_if(|_, suspect| suspect.has_crashed_here && now - suspect.changed_at <= span)
    }

    fn reports_if(&self, is_due: impl Fn(&PromptPartId, &Suspect) -> bool) -> Vec<PartReport> {
        let due = self.suspects.iter().filter(|(part, s)| is_due(part, s));
        let mut due: Vec<(&PromptPartId, &Suspect)> = due.collect();
        due.sort_by_key(|(part, suspect)| {
            let is_refused = self.refused.contains(*part);
            std::cmp::Reverse((is_refused, suspect.crashes.len(), suspect.changed_at))
        });
        due.truncate(MAX_REPORTED_PARTS);
        let reports = due.into_iter().map(|(part, suspect)| PartReport {
            part: part.clone(),
            position: suspect.position,
            crashes: suspect
                .crashes
                .iter()
                .map(|(engine, at)| EngineCrash {
                    engine: engine.clone(),
                    at: *at,
                })
                .collect(),
            completed_at: self.completed_at.get(part).copied(),
            has_other_completed: suspect.has_other_completed(self.completions),
        });
        reports.collect()
    }

    fn suspect(&mut self, part: &PromptPartId, position: u32) -> &mut Suspect {
        let completions = self.completions;
        let suspect = self.suspects.entry(part.clone()).or_default();
        if suspect.crashes.is_empty() {
            suspect.completions_before = completions;
            suspect.has_other_completed_at_peer = false;
            suspect.has_crashed_here = false;
        }
        suspect.position = position;
        suspect
    }

    /// Forgets the crashes of a part up to the completion of a request with it.
    fn clear_crashes(&mut self, part: &PromptPartId, completed_at: Instant) {
        if self.completed_at.get(part) >= Some(&completed_at) {
            return;
        }
        self.completed_at.insert(part.clone(), completed_at);
        self.restored.remove(part);
        if let Some(suspect) = self.suspects.get_mut(part) {
            suspect.crashes.retain(|_, at| *at > completed_at);
            suspect.changed_at = suspect.changed_at.max(completed_at);
        }
    }

    /// Finds the parts that explain the crashes. A part that was never in a completed
    /// request comes before others, and then one whose latest completion is earlier, one
    /// with more crashes, and one later in the prompt, as prompts that begin alike differ
    /// there. Crashes that a part explains don't count for the parts after it.
    fn update_refused(&mut self, now: Instant) -> RefusalChanges {
        let suspects = self.suspects.iter();
        let candidates = suspects.filter(|(_, suspect)| {
            suspect.crashes.len() >= MAX_CRASHED_ENGINES
                && suspect.has_other_completed(self.completions)
        });
        let mut candidates: Vec<(&PromptPartId, &Suspect)> = candidates.collect();
        candidates.sort_by_key(|(part, suspect)| {
            let completed_at = self.completed_at.get(*part);
            let most_first = std::cmp::Reverse((suspect.crashes.len(), suspect.position));
            (completed_at, most_first)
        });
        self.restored.retain(|_, until| now < *until);
        let mut refused: BTreeSet<PromptPartId> = self.restored.keys().cloned().collect();
        let mut explained: BTreeSet<&EngineId> = BTreeSet::new();
        for (part, suspect) in candidates {
            let crashes = suspect.crashes.iter().map(|(engine, at)| (engine, *at));
            let unexplained = crashes.filter(|(engine, _)| !explained.contains(engine));
            let unexplained: Vec<(&EngineId, Instant)> = unexplained.collect();
            if Suspect::is_sufficient(&unexplained) {
                explained.extend(suspect.crashes.keys());
                refused.insert(part.clone());
            }
        }
        let changes = RefusalChanges {
            refused: refused.difference(&self.refused).cloned().collect(),
            allowed: self.refused.difference(&refused).cloned().collect(),
        };
        self.refused = refused;
        changes
    }

    /// Drops crashes that no longer count, and the half of the parts that changed least
    /// recently once there are too many.
    fn evict(&mut self, now: Instant) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|_, at| now - *at <= CRASH_RETENTION);
        }
        // Peers must learn of a completion before the part is forgotten.
        self.suspects
            .retain(|_, s| !s.crashes.is_empty() || now - s.changed_at <= REPORT_SPAN);
        if self.suspects.len() > MAX_PARTS {
            let changed_at = self.suspects.values().map(|suspect| suspect.changed_at);
            let median = median(changed_at.collect());
            self.suspects.retain(|_, s| s.changed_at > median);
        }
        if self.completed_at.len() > MAX_PARTS {
            let median = median(self.completed_at.values().copied().collect());
            self.completed_at.retain(|_, at| *at > median);
        }
    }
}

fn median(mut times: Vec<Instant>) -> Instant {
    let middle = times.len() / 2;
    *times.select_nth_unstable(middle).1
}
