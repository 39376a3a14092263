//! Paths of the peers to the targets, and the choice of the peer that requests are handed
//! over to.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{DataCentreId, InstanceId, ServiceId},
};

/// Time since the latest message of a peer up to which requests are handed over to it:
/// several complete states in a row may be lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age of a peer's latest connection up to which it surely reaches the service.
const SURE_CONNECTION_AGE: Duration = Duration::from_millis(1_500);

/// Cost of a peer in another data centre, in requests in progress.
const REMOTE_COST: f64 = 8.0;

/// Cost of a peer that has not connected to the service lately, in requests in progress.
const UNSURE_COST: f64 = 50.0;

/// Range of the random cost that spreads the requests of several cut instances.
const SPREAD_COST: f64 = 6.0;

crate::data_types! {
    /// What an instance reports of its path to a service.
    pub struct PathReport {
        /// The service.
        pub service: ServiceId,
        /// Whether the latest connection to a target was opened.
        pub is_open: bool,
        /// Time since the start of the latest attempt that opened a connection; none
        /// before the first one.
        pub connected_age: Option<Duration>,
    }

    /// What a peer reports of itself.
    pub struct PeerReport {
        /// Id of the peer.
        pub instance: InstanceId,
        /// Address at which it listens for its peers.
        pub address: SocketAddr,
        /// Start time of its process, by its clock.
        pub incarnation: u64,
        /// Data centre in which it runs.
        pub data_centre: DataCentreId,
        /// Requests in progress there.
        pub requests_in_progress: u32,
        /// Whether it takes requests from its peers.
        pub takes_requests: bool,
        /// Its paths; empty if the message has none.
        pub paths: Vec<PathReport>,
    }

    /// The peer that a request is handed over to.
    pub struct PeerChoice {
        /// Id of the peer.
        pub instance: InstanceId,
        /// Address at which it listens for its peers.
        pub address: SocketAddr,
        /// Start time of its process, by its clock.
        pub incarnation: u64,
    }
}

#[derive(Clone, Debug)]
struct PeerPath {
    is_open: bool,
    connected_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    incarnation: u64,
    data_centre: DataCentreId,
    received_at: Instant,
    requests_in_progress: u32,
    takes_requests: bool,
    paths: BTreeMap<ServiceId, PeerPath>,
}

/// Paths of all peers.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerPaths {
    peers: BTreeMap<InstanceId, Peer>,
    /// Requests of this instance that the peers have in progress.
    handed_over: HashMap<InstanceId, u32>,
}

impl PeerPaths {
    pub(super) fn merge(&mut self, report: PeerReport, now: Instant) {
        let known = self.peers.remove(&report.instance);
        let known = known.filter(|peer| peer.incarnation == report.incarnation);
        let mut paths = known.map(|peer| peer.paths).unwrap_or_default();
        for path in report.paths {
            let connected_at = path.connected_age.map(|age| {
                let since_start = now.since_start().saturating_sub(age);
                Instant::from_start(since_start)
            });
            let is_open = path.is_open;
            let path_now = PeerPath {
                is_open,
                connected_at,
            };
            paths.insert(path.service, path_now);
        }
        let peer = Peer {
            address: report.address,
            incarnation: report.incarnation,
            data_centre: report.data_centre,
            received_at: now,
            requests_in_progress: report.requests_in_progress,
            takes_requests: report.takes_requests,
            paths,
        };
        self.peers.insert(report.instance, peer);
    }

    pub(super) fn has_connected_since(&self, service: &ServiceId, at: Instant) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| {
            let path = peer.paths.get(service);
            path.is_some_and(|path| path.is_open && path.connected_at >= Some(at))
        })
    }

    /// The cheapest peer that takes requests and reaches the service.
    pub(super) fn choose(
        &self,
        service: &ServiceId,
        data_centre: &DataCentreId,
        tried: &[InstanceId],
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Option<PeerChoice> {
        let candidates = self.peers.iter().filter_map(|(instance, peer)| {
            // A peer that has not used the service yet has no reason to doubt it.
            let path = peer.paths.get(service);
            let is_candidate = peer.takes_requests
                && path.is_none_or(|path| path.is_open)
                && now - peer.received_at <= PEER_TIMEOUT
                && !tried.contains(instance);
            is_candidate.then_some((instance, peer, path))
        });
        let costs = candidates.map(|(instance, peer, path)| {
            let handed_over = self.handed_over.get(instance).copied().unwrap_or(0);
            let mut cost = f64::from(peer.requests_in_progress.max(handed_over));
            cost += rng.f64() * SPREAD_COST;
            if &peer.data_centre != data_centre {
                cost += REMOTE_COST;
            }
            if path
                .and_then(|path| path.connected_at)
                .is_none_or(|at| now - at > SURE_CONNECTION_AGE)
            {
                cost += UNSURE_COST;
            }
            (cost, instance, peer)
        });
        let (_, instance, peer) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(PeerChoice {
            instance: instance.clone(),
            address: peer.address,
            incarnation: peer.incarnation,
        })
    }

    pub(super) fn begin(&mut self, peer: &InstanceId) {
        *self.handed_over.entry(peer.clone()).or_default() += 1;
    }

    pub(super) fn end(&mut self, peer: &InstanceId) {
        if let Some(count) = self.handed_over.get_mut(peer) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.handed_over.remove(peer);
            }
        }
    }
}
