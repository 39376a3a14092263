//! Content that crashes engines.
//!
//! Whatever was in flight on an engine that crashed is suspected. A suspect is
//! run again alone; if its engine crashes again, the content is quarantined.
//! Running to its end clears it. Verdicts are keyed by a fingerprint of the
//! content, spread to the other instances, and expire.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, request::Fingerprint};

/// Engines that one content can take down before it is quarantined, if it is
/// in flight once: the first, and the one on which it runs alone. Each further
/// copy that was in flight at the first crash can take down one more.
pub const MAX_CRASHES_PER_CONTENT: u32 = 2;

/// Time for which a quarantine holds.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);

/// Time for which a suspicion holds without a verdict.
pub const SUSPICION_TIME: Duration = Duration::from_secs(60);

/// Fingerprints remembered at most.
const CAPACITY: usize = 4_096;

/// What is known of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Clear,
    /// It was in flight on an engine that crashed.
    Suspect,
    /// It crashed an engine while alone there.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    verdict: Verdict,
    crashes: u32,
    expires_at: Instant,
}

crate::data_types! {
    /// A verdict on its way to another instance.
    #[derive(Copy)]
    pub struct PeerVerdict {
        /// The content.
        pub fingerprint: Fingerprint,
        /// Whether it is quarantined; else suspected.
        pub quarantined: bool,
        /// Engines that crashed with it.
        pub crashes: u32,
        /// Time for which it still holds.
        pub remaining: Duration,
    }
}

/// The verdicts known to this instance.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Number of contents with a verdict.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no verdict.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The verdict on a content and how long it still holds.
    pub fn verdict(&self, content: &Fingerprint, now: Instant) -> (Verdict, Duration) {
        match self.entries.get(content) {
            Some(entry) if entry.expires_at > now => (entry.verdict, entry.expires_at - now),
            _ => (Verdict::Clear, Duration::ZERO),
        }
    }

    /// Engines that crashed with the content, as far as the verdict holds.
    pub fn crash_count(&self, content: &Fingerprint, now: Instant) -> u32 {
        let entry = self.entries.get(content).filter(|e| e.expires_at > now);
        entry.map_or(0, |entry| entry.crashes)
    }

    /// Notes that the content was in flight on an engine that crashed, alone
    /// there or not, and returns the verdict.
    pub fn record_crash(&mut self, content: Fingerprint, alone: bool, now: Instant) -> Verdict {
        let before = self.entries.get(&content).filter(|e| e.expires_at > now);
        let crashes = before.map_or(0, |entry| entry.crashes) + 1;
        let known = before.map_or(Verdict::Clear, |entry| entry.verdict);
        let proven = alone || known == Verdict::Quarantined;
        let (verdict, time) = if proven {
            (Verdict::Quarantined, QUARANTINE_TIME)
        } else {
            (Verdict::Suspect, SUSPICION_TIME)
        };
        let entry = Entry {
            verdict,
            crashes,
            expires_at: now + time,
        };
        self.entries.insert(content, entry);
        self.shrink(now);
        verdict
    }

    /// Clears a suspicion: the content ran to its end.
    pub fn clear_suspicion(&mut self, content: &Fingerprint) {
        let suspect = |entry: &Entry| entry.verdict == Verdict::Suspect;
        if self.entries.get(content).is_some_and(suspect) {
            self.entries.remove(content);
        }
    }

    /// Takes in another instance's verdict; quarantine goes before suspicion.
    pub fn apply_peer_verdict(&mut self, notice: &PeerVerdict, now: Instant) {
        let (known, remaining) = self.verdict(&notice.fingerprint, now);
        let worse = notice.quarantined && known != Verdict::Quarantined;
        let newer = known == Verdict::Clear && remaining.is_zero();
        if !worse && !newer {
            return;
        }
        let verdict = match notice.quarantined {
            true => Verdict::Quarantined,
            false => Verdict::Suspect,
        };
        let entry = Entry {
            verdict,
            crashes: notice.crashes,
            expires_at: now + notice.remaining.min(QUARANTINE_TIME),
        };
        self.entries.insert(notice.fingerprint, entry);
        self.shrink(now);
    }

    /// Quarantined contents to tell the other instances, at most `most`.
    pub fn quarantined_verdicts(&self, most: usize, now: Instant) -> Vec<PeerVerdict> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now)
            .filter(|(_, entry)| entry.verdict == Verdict::Quarantined)
            .take(most)
            .map(|(fingerprint, entry)| PeerVerdict {
                fingerprint: *fingerprint,
                quarantined: true,
                crashes: entry.crashes,
                remaining: entry.expires_at - now,
            })
            .collect()
    }

    fn shrink(&mut self, now: Instant) {
        if self.entries.len() <= CAPACITY {
            return;
        }
        self.entries.retain(|_, entry| entry.expires_at > now);
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.expires_at);
        if let (true, Some((content, _))) = (self.entries.len() > CAPACITY, oldest) {
            let content = *content;
            self.entries.remove(&content);
        }
    }
}
