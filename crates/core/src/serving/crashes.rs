//! How many engines each content has taken down.
//!
//! A content that crashes engines comes again with every try of its caller, at
//! any instance. Instances tell each other their counts; whatever reaches the
//! bound is refused everywhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock::Instant, request::Fingerprint, text::SmolStr};

/// Crashes from which a content is refused. Two may be bad luck: everything
/// that runs on a crashing engine is counted.
pub const MAX_CRASHES: usize = 3;

/// Time for which a crash is remembered; longer than any caller's retries.
const MEMORY_TIME: Duration = Duration::from_secs(600);

/// Contents remembered at most.
const CAPACITY: usize = 4_096;

#[derive(Clone, Debug, Default)]
struct Entry {
    /// One name for each crash, so that news that comes twice counts once.
    crashes: BTreeSet<SmolStr>,
    last_at: Instant,
}

/// Crashes by content.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Crashes {
    /// Notes that a content ran on an engine as it crashed; `crash` names the
    /// event, the same at each instance that hears of it.
    pub fn record_crash(&mut self, content: Fingerprint, crash: SmolStr, now: Instant) {
        let entry = self.entries.entry(content).or_default();
        // News of a known crash must not keep it from being forgotten.
        if entry.crashes.insert(crash) {
            entry.last_at = now;
        }
        if self.entries.len() > CAPACITY {
            self.forget(now);
        }
    }

    /// Clears a content that ran to its end.
    pub fn record_completion(&mut self, content: &Fingerprint) {
        self.entries.remove(content);
    }

    /// Whether the content may run no more.
    pub fn is_refused(&self, content: &Fingerprint, now: Instant) -> bool {
        let entry = self.entries.get(content);
        entry.is_some_and(|e| e.crashes.len() >= MAX_CRASHES && now - e.last_at <= MEMORY_TIME)
    }

    /// Crashes of the last `span`, to tell the other instances.
    pub fn recent(&self, span: Duration, now: Instant) -> Vec<(Fingerprint, Vec<SmolStr>)> {
        let recent = self.entries.iter().filter(|(_, e)| now - e.last_at <= span);
        let named = recent.map(|(content, e)| (*content, e.crashes.iter().cloned().collect()));
        named.collect()
    }

    fn forget(&mut self, now: Instant) {
        self.entries.retain(|_, e| now - e.last_at <= MEMORY_TIME);
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_at);
        if let (true, Some((content, _))) = (self.entries.len() > CAPACITY, oldest) {
            let content = *content;
            self.entries.remove(&content);
        }
    }
}
