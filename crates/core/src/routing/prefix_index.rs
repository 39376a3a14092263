//! Which engines hold which prompt prefixes, as far as events tell.

use std::collections::{BTreeMap, HashMap};

use crate::{
    clock::Instant,
    request::{Prefix, PrefixHash},
    units::Tokens,
};

/// Engines remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Belief in an entry that a gap in the events has made doubtful, 0 to 1.
const DOUBTFUL: f64 = 0.5;

/// Index of an engine in the fleet's list.
pub type EngineIndex = usize;

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: EngineIndex,
    /// The engine's gap count when the entry was made.
    gaps: u32,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    holders: Vec<Holder>,
    used_at: Instant,
    /// Number under which `by_age` lists this entry.
    age: u64,
}

/// A bounded index from prefixes to the engines that cache them.
///
/// Entries come from the engines' cache events and from own dispatches. After
/// a gap in an engine's events its older entries count only in part, until an
/// event or a dispatch confirms them.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    entries: HashMap<PrefixHash, Entry>,
    /// Entries by last use, oldest first.
    by_age: BTreeMap<u64, PrefixHash>,
    ages: u64,
    gaps: HashMap<EngineIndex, u32>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: HashMap::new(),
            by_age: BTreeMap::new(),
            ages: 0,
            gaps: HashMap::new(),
        }
    }

    /// Number of prefixes remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Engines that may hold a prefix of the prompt, with the tokens expected
    /// to be cached there. Each engine appears once.
    pub fn lookup(&self, prefixes: &[Prefix]) -> Vec<(EngineIndex, Tokens)> {
        let mut found: Vec<(EngineIndex, Tokens)> = Vec::new();
        for prefix in prefixes.iter().rev() {
            let Some(entry) = self.entries.get(&prefix.hash) else {
                continue;
            };
            for holder in &entry.holders {
                let expected = self.expected(holder, prefix.length);
                match found
                    .iter_mut()
                    .find(|(engine, _)| *engine == holder.engine)
                {
                    Some(known) if known.1 < expected => known.1 = expected,
                    Some(_) => {}
                    None => found.push((holder.engine, expected)),
                }
            }
        }
        found
    }

    /// Notes that an engine now holds a prefix.
    pub fn stored(&mut self, engine: EngineIndex, prefix: PrefixHash, now: Instant) {
        let gaps = self.gap_count(engine);
        self.ages += 1;
        let age = self.ages;
        let entry = self.entries.entry(prefix).or_default();
        self.by_age.remove(&entry.age);
        self.by_age.insert(age, prefix);
        entry.age = age;
        entry.used_at = now;
        entry.holders.retain(|holder| holder.engine != engine);
        entry.holders.insert(0, Holder { engine, gaps });
        entry.holders.truncate(MAX_HOLDERS);
        self.shrink();
    }

    /// Notes that an engine has dropped a prefix.
    pub fn evicted(&mut self, engine: EngineIndex, prefix: PrefixHash) {
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Notes that events of an engine were lost.
    pub fn gap(&mut self, engine: EngineIndex) {
        *self.gaps.entry(engine).or_default() += 1;
    }

    /// Forgets an engine, which restarted or left.
    pub fn forget(&mut self, engine: EngineIndex) {
        for entry in self.entries.values_mut() {
            entry.holders.retain(|holder| holder.engine != engine);
        }
    }

    fn gap_count(&self, engine: EngineIndex) -> u32 {
        self.gaps.get(&engine).copied().unwrap_or(0)
    }

    fn expected(&self, holder: &Holder, length: Tokens) -> Tokens {
        if holder.gaps == self.gap_count(holder.engine) {
            return length;
        }
        Tokens((length.0 as f64 * DOUBTFUL) as u64)
    }

    fn shrink(&mut self) {
        while self.entries.len() > self.capacity {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
