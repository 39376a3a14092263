//! The configuration versions that an instance keeps, as bases of changes.

use std::{rc::Rc, time::Duration};

use crate::clock::Instant;

/// Number of versions that are kept, with the one in force.
const MAX_VERSIONS: usize = 8;

/// Bound on the bytes of all versions before the one in force.
const MAX_EARLIER_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug)]
struct Kept {
    version: u64,
    encoded: Rc<[u8]>,
    applied_at: Instant,
}

/// The version in force and earlier ones, oldest first.
///
/// In a quick series of versions each instance skips others, so that two of them may have
/// no recent version in common. Those that were in force longest are kept, as all
/// instances have had them.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    kept: Vec<Kept>,
}

impl Versions {
    /// Adds a version that is in force from now on.
    pub fn push(&mut self, version: u64, encoded: Rc<[u8]>, now: Instant) {
        self.kept.push(Kept {
            version,
            encoded,
            applied_at: now,
        });
        while self.kept.len() > 1
            && (self.kept.len() > MAX_VERSIONS || self.earlier_bytes() > MAX_EARLIER_BYTES)
        {
            self.remove_shortest();
        }
    }

    /// Number of the version in force; 0 if there is none.
    pub fn current(&self) -> u64 {
        self.kept.last().map_or(0, |kept| kept.version)
    }

    /// A kept version, encoded as in the store.
    pub fn get(&self, version: u64) -> Option<&Rc<[u8]>> {
        let kept = self.kept.iter().find(|kept| kept.version == version);
        kept.map(|kept| &kept.encoded)
    }

    /// Numbers of the kept versions, newest first.
    pub fn numbers(&self) -> Vec<u64> {
        let numbers = self.kept.iter().rev().map(|kept| kept.version);
        numbers.collect()
    }

    /// The newest kept version among `numbers`, before the one in force.
    pub fn common_base(&self, numbers: &[u64]) -> Option<u64> {
        let mut earlier = self.kept.iter().rev().skip(1);
        earlier
            .find(|kept| numbers.contains(&kept.version))
            .map(|kept| kept.version)
    }

    fn earlier_bytes(&self) -> usize {
        let earlier = self.kept.iter().rev().skip(1);
        earlier.map(|kept| kept.encoded.len()).sum()
    }

    fn remove_shortest(&mut self) {
        let in_force = |index: usize| -> Duration {
            self.kept[index + 1].applied_at - self.kept[index].applied_at
        };
        let shortest = (0..self.kept.len() - 1).min_by_key(|index| in_force(*index));
        if let Some(index) = shortest {
            self.kept.remove(index);
        }
    }
}
