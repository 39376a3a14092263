//! Which instances watch the platform's tables.
//!
//! If every instance watched the configuration and the target list, the calls to the
//! platform's store and the bytes read from it would grow with the instances times the
//! targets. A few instances of each data centre watch the tables, and the others fetch
//! changes from their peers. Each instance picks the watchers by itself: those with the
//! widest links, as a large configuration fills a thin one, and among equal ones by a hash
//! of the live instances. While some instances don't report their links, as in a fleet with
//! older builds, only the hash counts. Two views that differ for a moment give a watcher too many. An
//! instance that hears of too few watchers watches the tables itself.

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

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
    link: Option<LinkMbps>,
    received_at: Instant,
}

/// Bandwidth of a link in whole Mbit/s.
type LinkMbps = u32;

/// The watch states of the peers.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    peers: BTreeMap<InstanceId, Peer>,
    own_link: Option<LinkMbps>,
}

impl Watchers {
    /// No peers yet, for an instance with a link of `own_link_mbps`.
    pub fn new(own_link_mbps: Option<u32>) -> Self {
        Self {
            peers: BTreeMap::new(),
            own_link: own_link_mbps,
        }
    }

    /// Records the bandwidth of a peer's link. A report without it, as passed on by an older
    /// build, changes nothing.
    pub fn record_link(&mut self, peer: &InstanceId, link_mbps: Option<u32>) {
        if let Some(known) = self.peers.get_mut(peer) {
            known.link = link_mbps.or(known.link);
        }
    }

    /// Records the state that a peer reports.
    pub fn record(
        &mut self,
        peer: InstanceId,
        data_centre: DataCentreId,
        state: WatchState,
        now: Instant,
    ) {
        let received_at = now;
        let link = self.peers.get(&peer).and_then(|known| known.link);
        let peer_state = Peer {
            data_centre,
            state,
            link,
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
        let local = || live().filter(|(_, peer)| &peer.data_centre == data_centre);
        let all_links_known = local().all(|(_, peer)| peer.link.is_some());
        let rank = |instance, link: Option<LinkMbps>| {
            let link = link.filter(|_| all_links_known);
            (Reverse(link), hash_rank(instance))
        };
        let own_rank = rank(own, self.own_link);
        let before_own = local().filter(|(instance, peer)| {
            peer.state != WatchState::Failing && rank(instance, peer.link) < own_rank
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

/// Order of instances with equal links. The id breaks ties.
fn hash_rank(instance: &InstanceId) -> (u64, &str) {
    let digest = hash::fmix64(hash::fnv1a(instance.as_str()));
    (digest, instance.as_str())
}
