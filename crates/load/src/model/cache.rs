//! An engine's cache of prompt prefixes.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Changes remembered for reports.
const MAX_EVENTS: usize = 64;

/// Prefixes with a bound on their tokens; the least recently used go first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity_tokens: u64,
    tokens: u64,
    /// Length and age by prefix.
    entries: HashMap<u64, (u64, u64)>,
    by_age: BTreeMap<u64, u64>,
    ages: u64,
    events: VecDeque<(u64, bool)>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Longest cached part of a prompt, in tokens; its use is noted.
    pub fn hit(&mut self, prefixes: &[(u64, u64)]) -> u64 {
        let known = prefixes
            .iter()
            .rev()
            .find(|(hash, _)| self.entries.contains_key(hash));
        let Some((hash, length)) = known.copied() else {
            return 0;
        };
        self.touch(hash, length);
        length
    }

    /// Stores all parts of a prompt that was read.
    pub fn store(&mut self, prefixes: &[(u64, u64)]) {
        for (hash, length) in prefixes {
            if *length > self.capacity_tokens {
                continue;
            }
            if !self.entries.contains_key(hash) {
                self.note(*hash, false);
                self.tokens += length;
            }
            self.touch(*hash, *length);
        }
        self.shrink();
    }

    /// Takes the changes since the last call, and the number of the first. Those
    /// that did not fit are lost, which shows as a gap in the numbers.
    pub fn take_events(&mut self) -> (u64, Vec<(u64, bool)>) {
        let first = self.next_event - self.events.len() as u64;
        (first, self.events.drain(..).collect())
    }

    fn touch(&mut self, hash: u64, length: u64) {
        self.ages += 1;
        if let Some((_, age)) = self.entries.insert(hash, (length, self.ages)) {
            self.by_age.remove(&age);
        }
        self.by_age.insert(self.ages, hash);
    }

    fn shrink(&mut self) {
        while self.tokens > self.capacity_tokens {
            let Some((_, hash)) = self.by_age.pop_first() else {
                return;
            };
            if let Some((length, _)) = self.entries.remove(&hash) {
                self.tokens -= length;
                self.note(hash, true);
            }
        }
    }

    fn note(&mut self, hash: u64, evicted: bool) {
        self.next_event += 1;
        self.events.push_back((hash, evicted));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
