//! The peer from which an instance fetches a newer configuration.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::{clock::Instant, ids::InstanceId};

/// Delay of a fetch from a peer in the same data centre. Several changes in a row are
/// fetched at once.
const LOCAL_DELAY: Duration = Duration::from_millis(10);

/// Delay of a fetch from a peer in another data centre, and of an instance that watches
/// the table itself: a local peer or the store usually delivers the change first.
const LATE_DELAY: Duration = Duration::from_millis(250);

/// Time since the latest message of a peer up to which it is a source.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a source that failed is not asked again, unless no other one is left.
const FAILURE_DELAY: Duration = Duration::from_millis(1_000);

/// Longest time for which a source that has no room is not asked again.
const MAX_BUSY_DELAY: Duration = Duration::from_millis(500);

crate::data_types! {
    /// A peer that may have a newer configuration.
    pub struct Source {
        /// Name of the peer.
        pub instance: InstanceId,
        /// Address at which it listens for its peers.
        pub address: SocketAddr,
        /// Whether it runs in the data centre of this instance.
        pub is_local: bool,
        /// Whether it sends configurations in parts; else it sends them whole.
        pub serves_parts: bool,
        /// Version that it has.
        pub version: u64,
    }

    /// What to do about a newer version.
    pub enum Choice {
        /// Fetch it from a source.
        Fetch(Source),
        /// Look again after a time.
        Wait(Duration),
        /// No peer has a newer version.
        UpToDate,
    }
}

#[derive(Clone, Debug)]
struct Known {
    source: Source,
    heard_at: Instant,
    /// Time from which it may be asked, after it had no room or failed.
    askable_at: Instant,
}

/// The peers with their versions.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    peers: BTreeMap<InstanceId, Known>,
    /// Time at which a peer first reported a newer version than the one in force; none
    /// while there is no newer one.
    newer_since: Option<Instant>,
}

impl Sources {
    /// Records the version that a peer reports. Returns whether it is newer than
    /// `own_version`.
    pub fn record(&mut self, source: Source, own_version: u64, now: Instant) -> bool {
        let is_newer = source.version > own_version;
        if is_newer {
            self.newer_since = self.newer_since.or(Some(now));
        }
        match self.peers.get_mut(&source.instance) {
            Some(known) => {
                known.source = source;
                known.heard_at = now;
            }
            None => {
                self.peers.retain(|_, known| known.is_heard(now));
                let known = Known {
                    heard_at: now,
                    askable_at: Instant::ZERO,
                    source,
                };
                self.peers.insert(known.source.instance.clone(), known);
            }
        }
        is_newer
    }

    /// Chooses what to do. `watches_itself` says whether this instance reads the store.
    ///
    /// Of the local sources that may be asked, one with the newest version is drawn. In a
    /// fast series only few peers have the newest one; while these have no room, an older
    /// one is fetched first.
    pub fn choose(
        &mut self,
        own_version: u64,
        watches_itself: bool,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Choice {
        let newer = self.peers.values();
        let newer = newer.filter(|known| known.source.version > own_version && known.is_heard(now));
        let newer: Vec<&Known> = newer.collect();
        if newer.is_empty() {
            self.newer_since = None;
            return Choice::UpToDate;
        }
        let newer_since = *self.newer_since.get_or_insert(now);
        let ready_at = |known: &Known| {
            let delay = match known.source.is_local && !watches_itself {
                true => LOCAL_DELAY,
                false => LATE_DELAY,
            };
            known.askable_at.max(newer_since + delay)
        };
        let ready = newer.iter().filter(|known| ready_at(known) <= now);
        let best = ready
            .clone()
            .map(|known| (known.source.is_local, known.source.version))
            .max();
        let Some(best) = best else {
            let next = newer.iter().map(|known| ready_at(known)).min();
            let wait = next.map_or(LOCAL_DELAY, |at| at - now);
            // A local source may report the version meanwhile.
            return Choice::Wait(wait.min(LOCAL_DELAY));
        };
        let candidates =
            ready.filter(|known| (known.source.is_local, known.source.version) == best);
        let candidates: Vec<_> = candidates.collect();
        let drawn = candidates[rng.usize(..candidates.len())];
        Choice::Fetch(drawn.source.clone())
    }

    /// Records that a newer version has come into force.
    pub fn record_applied(&mut self) {
        self.newer_since = None;
    }

    /// Records that a source has no room for a time.
    pub fn record_busy(&mut self, instance: &InstanceId, retry_after: Duration, now: Instant) {
        self.defer(instance, now + retry_after.min(MAX_BUSY_DELAY));
    }

    /// Records that a source has failed to answer.
    pub fn record_failure(&mut self, instance: &InstanceId, now: Instant) {
        self.defer(instance, now + FAILURE_DELAY);
    }

    fn defer(&mut self, instance: &InstanceId, until: Instant) {
        if let Some(known) = self.peers.get_mut(instance) {
            known.askable_at = until;
        }
    }
}

impl Known {
    fn is_heard(&self, now: Instant) -> bool {
        now - self.heard_at <= SOURCE_TIMEOUT
    }
}
