//! Engine crashes by the request content that ran during the crash.
//!
//! A client retries a request that crashed an engine, at any instance, and each
//! retry can crash another engine. Instances therefore exchange the crashes; all
//! of them refuse a content that reaches [`MAX_CRASHES`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock::Instant, ids::EngineId, request::Fingerprint, text::SmolStr};

/// Number of crashes from which a content is refused. Two can be coincidence: a
/// crash counts for the content of every request on the engine.
pub const MAX_CRASHES: usize = 3;

/// Time after the latest crash for which a content is refused. It exceeds the
/// time over which clients retry.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of contents for which crashes are stored.
const MAX_CONTENTS: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Ids of the crashes; a set, so that a crash reported twice counts once.
    crash_ids: BTreeSet<SmolStr>,
    /// Ids of crashes before the content ran to completion. Peers may still report them.
    cleared_ids: BTreeSet<SmolStr>,
    last_crash_at: Instant,
}

/// Returns the id of the crash of an engine's process, the same at all instances and for all
/// requests that ran on it.
pub fn crash_id(engine: &EngineId, started_unix_ms: u64) -> SmolStr {
    SmolStr::new(format!("{engine}/{started_unix_ms}"))
}

/// Engine crashes by fingerprint of the request content.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Crashes {
    /// Records that a content ran on an engine during a crash. `crash_id` identifies
    /// the crash and is the same at all instances.
    pub fn record_crash(&mut self, content: Fingerprint, crash_id: SmolStr, now: Instant) {
        let entry = self.entries.entry(content).or_default();
        if entry.cleared_ids.contains(&crash_id) {
            return;
        }
        // A repeated report of a known crash must not extend its retention.
        if entry.crash_ids.insert(crash_id) {
            entry.last_crash_at = now;
        }
        if self.entries.len() > MAX_CONTENTS {
            self.evict(now);
        }
    }

    /// Clears the crashes of a content that ran to completion.
    pub fn record_completion(&mut self, content: &Fingerprint) {
        if let Some(entry) = self.entries.get_mut(content) {
            entry.cleared_ids.append(&mut entry.crash_ids);
        }
    }

    /// Whether requests with the content are refused.
    pub fn is_refused(&self, content: &Fingerprint, now: Instant) -> bool {
        let entry = self.entries.get(content);
        entry.is_some_and(|e| {
            e.crash_ids.len() >= MAX_CRASHES && now - e.last_crash_at <= CRASH_RETENTION
        })
    }

    /// Crash ids of each content with a crash in the last `span`, for gossip to the
    /// peers.
    pub fn recent(&self, span: Duration, now: Instant) -> Vec<(Fingerprint, Vec<SmolStr>)> {
        let recent = self
            .entries
            .iter()
            .filter(|(_, e)| !e.crash_ids.is_empty() && now - e.last_crash_at <= span);
        let with_ids = recent.map(|(content, e)| (*content, e.crash_ids.iter().cloned().collect()));
        with_ids.collect()
    }

    fn evict(&mut self, now: Instant) {
        self.entries
            .retain(|_, e| now - e.last_crash_at <= CRASH_RETENTION);
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_crash_at);
        if let (true, Some((content, _))) = (self.entries.len() > MAX_CONTENTS, oldest) {
            let content = *content;
            self.entries.remove(&content);
        }
    }
}
