//! Quarantine of request content that crashes engines.
//!
//! All content in flight on an engine that crashes becomes suspect. A suspect
//! request is isolated: it is retried alone on an engine. If that engine crashes
//! too, the content is quarantined; if the request completes, the suspicion is
//! cleared.
//! Verdicts are keyed by the fingerprint of the content and expire. Quarantine
//! verdicts are sent to the other instances.

use std::{collections::BTreeMap, time::Duration};

use crate::{clock::Instant, request::Fingerprint};

/// Crashes that one content can cause before its quarantine, if a single
/// request with it is in flight: the first engine and the engine on which it is
/// retried alone. Each further request with the content that is in flight at
/// the first crash can crash one more engine.
pub const MAX_CRASHES_PER_CONTENT: u32 = 2;

/// Lifetime of a quarantine, from the last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(3_600);

/// Lifetime of a suspicion, from the last crash.
pub const SUSPICION_TIME: Duration = Duration::from_secs(60);

/// Upper bound on the stored verdicts.
const MAX_ENTRIES: usize = 4_096;

/// Verdict on a request content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No verdict is stored, or it has expired.
    Clear,
    /// The content was in flight on an engine that crashed.
    Suspect,
    /// The content was identified as the cause of an engine crash.
    Quarantined,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    verdict: Verdict,
    crashes: u32,
    expires_at: Instant,
}

crate::data_types! {
    /// Verdict that one instance sends to another.
    #[derive(Copy)]
    pub struct PeerVerdict {
        /// Fingerprint of the content.
        pub fingerprint: Fingerprint,
        /// Whether the content is quarantined; otherwise it is suspect.
        pub quarantined: bool,
        /// Engine crashes with the content in flight.
        pub crashes: u32,
        /// Time until the verdict expires.
        pub remaining: Duration,
    }
}

/// Verdicts of this instance and its peers on request contents.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Number of stored verdicts, including expired ones that are not yet evicted.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no verdict is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Verdict on a content and the time until the verdict expires.
    pub fn verdict(&self, content: &Fingerprint, now: Instant) -> (Verdict, Duration) {
        match self.entries.get(content) {
            Some(entry) if entry.expires_at > now => (entry.verdict, entry.expires_at - now),
            _ => (Verdict::Clear, Duration::ZERO),
        }
    }

    /// Engine crashes with the content in flight; 0 once the verdict has expired.
    pub fn crash_count(&self, content: &Fingerprint, now: Instant) -> u32 {
        let entry = self.entries.get(content).filter(|e| e.expires_at > now);
        entry.map_or(0, |entry| entry.crashes)
    }

    /// Records that the content was in flight on an engine that crashed, and
    /// returns the new verdict. `proven` means that the content is the cause of the
    /// crash, so it is quarantined.
    pub fn record_crash(&mut self, content: Fingerprint, proven: bool, now: Instant) -> Verdict {
        let previous = self.entries.get(&content).filter(|e| e.expires_at > now);
        let crashes = previous.map_or(0, |entry| entry.crashes) + 1;
        let previous_verdict = previous.map_or(Verdict::Clear, |entry| entry.verdict);
        let must_quarantine = proven || previous_verdict == Verdict::Quarantined;
        let (verdict, lifetime) = if must_quarantine {
            (Verdict::Quarantined, QUARANTINE_TIME)
        } else {
            (Verdict::Suspect, SUSPICION_TIME)
        };
        let entry = Entry {
            verdict,
            crashes,
            expires_at: now + lifetime,
        };
        self.entries.insert(content, entry);
        self.evict_excess(now);
        verdict
    }

    /// Removes a suspicion after a request with the content has completed. A
    /// quarantine stays.
    pub fn clear_suspicion(&mut self, content: &Fingerprint) {
        let is_suspect = |entry: &Entry| entry.verdict == Verdict::Suspect;
        if self.entries.get(content).is_some_and(is_suspect) {
            self.entries.remove(content);
        }
    }

    /// Stores another instance's verdict. It replaces only an absent or expired
    /// verdict, or a suspicion by a quarantine.
    pub fn apply_peer_verdict(&mut self, received: &PeerVerdict, now: Instant) {
        let (current, remaining) = self.verdict(&received.fingerprint, now);
        let is_worse = received.quarantined && current != Verdict::Quarantined;
        let is_new = current == Verdict::Clear && remaining.is_zero();
        if !is_worse && !is_new {
            return;
        }
        let verdict = match received.quarantined {
            true => Verdict::Quarantined,
            false => Verdict::Suspect,
        };
        let entry = Entry {
            verdict,
            crashes: received.crashes,
            expires_at: now + received.remaining.min(QUARANTINE_TIME),
        };
        self.entries.insert(received.fingerprint, entry);
        self.evict_excess(now);
    }

    /// At most `limit` quarantine verdicts that have not expired, for the peers.
    pub fn quarantined_verdicts(&self, limit: usize, now: Instant) -> Vec<PeerVerdict> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now)
            .filter(|(_, entry)| entry.verdict == Verdict::Quarantined)
            .take(limit)
            .map(|(fingerprint, entry)| PeerVerdict {
                fingerprint: *fingerprint,
                quarantined: true,
                crashes: entry.crashes,
                remaining: entry.expires_at - now,
            })
            .collect()
    }

    fn evict_excess(&mut self, now: Instant) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, entry| entry.expires_at > now);
        let first_to_expire = self.entries.iter().min_by_key(|(_, e)| e.expires_at);
        if let (true, Some((content, _))) = (self.entries.len() > MAX_ENTRIES, first_to_expire) {
            let content = *content;
            self.entries.remove(&content);
        }
    }
}
