//! Which instances watch the platform's tables.
//!
//! If every instance watched the configuration and the target list, the calls to the
//! platform's store and the bytes read from it would grow with the instances times the
//! targets. A few instances of each data centre watch the tables, and the others fetch
//! changes from their peers. Each instance picks the watchers by itself, by a hash of
//! the live instances; two views that differ for a moment give a watcher too many. An
//! instance that hears of too few watchers watches the tables itself.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    clock::Instant,
    ids::{DataCentreId, InstanceId},
    routing::hash,
};

/// Number of watchers in a data centre. The second one covers the time until a failure
/// of the first is known.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Number of peers that must report that they watch the tables. With fewer, an instance
/// watches the tables itself.
const MIN_WATCHING_PEERS: usize = 2;

/// Time since the latest message of a peer up to which it counts as a watcher: several
/// messages in a row may be lost.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether an instance watches the tables, as it reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchState {
    /// It watches the tables, and its latest calls to the store succeeded.
    Watching,
    /// It fetches changes from its peers.
    Fetching,
    /// Its latest call to the store failed.
    Failing,
}

#[derive(Clone, Debug)]
struct Peer {
    data_centre: DataCentreId,
    state: WatchState,
    received_at: Instant,
}

/// The watch states of the peers.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    peers: BTreeMap<InstanceId, Peer>,
}

impl Watchers {
    /// Records the state that a peer reports.
    pub fn record(
        &mut self,
        peer: InstanceId,
        data_centre: DataCentreId,
        state: WatchState,
        now: Instant,
    ) {
        let received_at = now;
        let peer_state = Peer {
            data_centre,
            state,
            received_at,
        };
        if self.peers.insert(peer, peer_state).is_none() {
            self.peers
                .retain(|_, peer| now - peer.received_at <= WATCHER_TIMEOUT);
        }
    }

    /// Whether the instance `own` in `data_centre` must watch the tables: it is one of
    /// the watchers of its data centre, or it hears of too few.
    pub fn must_watch(&self, own: &InstanceId, data_centre: &DataCentreId, now: Instant) -> bool {
        let live = || {
            let peers = self.peers.iter();
            peers.filter(|(_, peer)| now - peer.received_at <= WATCHER_TIMEOUT)
        };
        let watching = live().filter(|(_, peer)| peer.state == WatchState::Watching);
        if watching.count() < MIN_WATCHING_PEERS {
            return true;
        }
        let before_own = live().filter(|(instance, peer)| {
            &peer.data_centre == data_centre
                && peer.state != WatchState::Failing
                && rank(instance) < rank(own)
        });
        before_own.count() < WATCHERS_PER_DATA_CENTRE
    }
}

impl WatchState {
    /// Stable name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watching => "watching",
            Self::Fetching => "fetching",
            Self::Failing => "failing",
        }
    }
}

/// Order of the instances; the first ones of a data centre watch the tables. The id
/// breaks ties.
fn rank(instance: &InstanceId) -> (u64, &str) {
    let digest = hash::fmix64(hash::fnv1a(instance.as_str()));
    (digest, instance.as_str())
}
