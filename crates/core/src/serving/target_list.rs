//! The target list as it is stored, for peers that fetch its changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use crate::error::Error;

/// Number of removed entries from which they are dropped. A peer that misses one of
/// them then gets the complete list.
const MAX_REMOVED_ENTRIES: usize = 1_000;

/// Version of the platform's store at which the target list last changed.
///
/// A version of a later era is newer, whatever its number: the store gives out numbers
/// again after it has come back from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListVersion {
    /// Number of times that the store had come back from an older copy.
    pub era: u64,
    /// Version of the store in this era.
    pub number: u64,
}

impl fmt::Display for ListVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for ListVersion {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = |part: &str| part.parse().ok();
        let parts = text.split_once('.');
        let version = parts.and_then(|(era, number)| {
            Some(Self {
                era: parse(era)?,
                number: parse(number)?,
            })
        });
        version.ok_or_else(|| {
            let expected = format!("expected `ERA.NUMBER`, got `{text}`");
            Error::new("parse list version", expected)
        })
    }
}

/// An entry by its key, encoded as in the store; without a value if it was removed.
pub type ListEntry = (String, Option<Vec<u8>>);

#[derive(Clone, Debug)]
struct Stored {
    /// None if the entry was removed.
    value: Option<Vec<u8>>,
    /// Version with which the change arrived; not before the change itself.
    changed_in: ListVersion,
}

/// The entries of the target list and their latest changes.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    entries: BTreeMap<String, Stored>,
    version: ListVersion,
    /// All changes after this version are known.
    changes_known_since: ListVersion,
}

/// Changes of the target list, or the complete list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChanges {
    /// Version up to which the changes are complete.
    pub version: ListVersion,
    /// Whether entries that are not listed were removed.
    pub is_complete: bool,
    /// The changed entries.
    pub entries: Vec<ListEntry>,
}

impl TargetList {
    /// Version of the latest change.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Applies changes, or replaces the list by a complete one. Returns the entries that
    /// differ from before. Changes that are older than the list have no effect.
    pub fn apply(&mut self, changes: ListChanges) -> Vec<ListEntry> {
        let ListChanges {
            version,
            is_complete,
            entries,
        } = changes;
        if version < self.version {
            return Vec::new();
        }
        let mut entries = entries;
        if is_complete {
            entries.extend(self.missing(&entries));
            // Changes between the two lists are not known.
            self.changes_known_since = version;
        }
        let mut changed = Vec::new();
        for (key, value) in entries {
            let stored = Stored {
                value: value.clone(),
                changed_in: version,
            };
            // An unchanged entry may have changed and back again since a peer read it.
            let known = self.entries.insert(key.clone(), stored);
            if known.and_then(|known| known.value) != value {
                changed.push((key, value));
            }
        }
        self.version = version;
        self.drop_removed_entries();
        changed
    }

    /// Changes after a version, or the complete list if some of them are not known.
    pub fn changes_since(&self, since: ListVersion) -> ListChanges {
        let is_complete = since < self.changes_known_since;
        let entries = self.entries.iter().filter(|(_, entry)| match is_complete {
            true => entry.value.is_some(),
            false => entry.changed_in > since,
        });
        let entries = entries.map(|(key, entry)| (key.clone(), entry.value.clone()));
        ListChanges {
            version: self.version,
            is_complete,
            entries: entries.collect(),
        }
    }

    /// Removals of the known entries that a complete list lacks.
    fn missing(&self, entries: &[ListEntry]) -> Vec<ListEntry> {
        let listed: BTreeSet<&str> = entries.iter().map(|(key, _)| key.as_str()).collect();
        let missing = self
            .entries
            .iter()
            .filter(|(key, entry)| entry.value.is_some() && !listed.contains(key.as_str()));
        missing.map(|(key, _)| (key.clone(), None)).collect()
    }

    fn drop_removed_entries(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.value.is_none());
        if removed.count() >= MAX_REMOVED_ENTRIES {
            self.entries.retain(|_, entry| entry.value.is_some());
            self.changes_known_since = self.version;
        }
    }
}
