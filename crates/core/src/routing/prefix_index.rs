//! Index of the prompt prefixes in the engines' caches.

use std::collections::{BTreeMap, HashMap};

use crate::{
    clock::Instant,
    request::{Prefix, PrefixHash},
    units::Tokens,
};

/// Maximum number of engines recorded for one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 4;

/// Share of a prefix that is expected to be cached if cache events of the engine were
/// lost since the prefix was recorded, 0 to 1.
const UNCONFIRMED_HIT_SHARE: f64 = 0.5;

/// Index of an engine in the fleet's list.
pub type EngineIndex = usize;

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EngineIndex,
    /// Number of gaps in the engine's events when the prefix was recorded.
    event_gaps: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    updated_at: Instant,
    /// Key of this entry in `by_update`.
    update_number: u64,
}

/// A bounded index from prefixes to the engines that cache them.
///
/// Entries come from the engines' cache events and from requests that this instance
/// dispatched. After a gap in an engine's events, the expected hits on its older entries
/// are reduced until an event or a dispatch confirms the entry.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    entries: HashMap<PrefixHash, Entry>,
    /// Prefixes by the number of their last update, oldest first.
    by_update: BTreeMap<u64, PrefixHash>,
    /// Number of updates since the index was created.
    update_count: u64,
    /// Number of gaps in the cache events of each engine.
    event_gaps: HashMap<EngineIndex, u32>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prefixes; 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: HashMap::new(),
            by_update: BTreeMap::new(),
            update_count: 0,
            event_gaps: HashMap::new(),
        }
    }

    /// Number of prefixes in the index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the index has no prefixes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Engines that may cache a prefix of the prompt, with the number of tokens expected
    /// to be cached there. Each engine appears once.
    pub fn lookup(&self, prefixes: &[Prefix]) -> Vec<(EngineIndex, Tokens)> {
        let mut found: Vec<(EngineIndex, Tokens)> = Vec::new();
        for prefix in prefixes.iter().rev() {
            let Some(entry) = self.entries.get(&prefix.hash) else {
                continue;
            };
            for holder in &entry.holders {
                let expected = self.expected_hit(holder, prefix.length);
                match found
                    .iter_mut()
                    .find(|(engine, _)| *engine == holder.engine)
                {
                    Some(hit) if hit.1 < expected => hit.1 = expected,
                    Some(_) => {}
                    None => found.push((holder.engine, expected)),
                }
            }
        }
        found
    }

    /// Records that an engine caches a prefix.
    pub fn record_stored(&mut self, engine: EngineIndex, prefix: PrefixHash, now: Instant) {
        let event_gaps = self.event_gap_count(engine);
        self.update_count += 1;
        let update_number = self.update_count;
        let entry = self.entries.entry(prefix).or_default();
        self.by_update.remove(&entry.update_number);
        self.by_update.insert(update_number, prefix);
        entry.update_number = update_number;
        entry.updated_at = now;
        entry.holders.retain(|holder| holder.engine != engine);
        entry.holders.insert(0, Holder { engine, event_gaps });
        entry.holders.truncate(MAX_HOLDERS_PER_PREFIX);
        self.evict_oldest();
    }

    /// Records that an engine no longer caches a prefix.
    pub fn record_evicted(&mut self, engine: EngineIndex, prefix: PrefixHash) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Records that cache events of an engine were lost.
    pub fn record_event_gap(&mut self, engine: EngineIndex) {
        *self.event_gaps.entry(engine).or_default() += 1;
    }

    /// Removes an engine that restarted or left the fleet from all entries.
    pub fn remove_engine(&mut self, engine: EngineIndex) {
        for entry in self.entries.values_mut() {
            entry.holders.retain(|holder| holder.engine != engine);
        }
    }

    fn event_gap_count(&self, engine: EngineIndex) -> u32 {
        self.event_gaps.get(&engine).copied().unwrap_or(0)
    }

    fn expected_hit(&self, holder: &Holder, length: Tokens) -> Tokens {
        if holder.event_gaps == self.event_gap_count(holder.engine) {
            return length;
        }
        Tokens((length.0 as f64 * UNCONFIRMED_HIT_SHARE) as u64)
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > self.capacity {
            let Some((_, oldest)) = self.by_update.pop_first() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
