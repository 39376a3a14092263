//! The other instances: which of them share the traffic, and which are told next.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{clock::Instant, ids::InstanceId};

/// Shortest time between two messages to a peer, for each peer. With few peers a
/// placement is known elsewhere before the next one is likely.
const PERIOD_PER_PEER: Duration = Duration::from_millis(6);

/// Time for a message to arrive and be read.
const NEWS_WAY: Duration = Duration::from_millis(5);

/// Longest time between two rounds; well below the age at which loads count no
/// more.
pub const MAX_SEND_INTERVAL: Duration = Duration::from_millis(400);

/// Peers that are told in one round. It bounds the traffic of an instance among
/// hundreds; their news are then as many rounds old as it takes to tell all.
const MAX_FANOUT: usize = 40;

/// Silence after which a peer shares in the traffic no more.
const ALIVE_TIME: Duration = Duration::from_secs(3);

/// Silence after which a peer is told rarely.
const SILENT_AFTER: Duration = Duration::from_secs(30);

/// Time between two messages to a silent peer. Instances that were cut off from
/// each other for long find each other again by them.
const SILENT_PERIOD: Duration = Duration::from_secs(5);

/// Silence after which a peer is told no more: far longer than instances are cut
/// off from each other.
const FORGET_AFTER: Duration = Duration::from_secs(6 * 3_600);

/// Silence of an incarnation after which another one is believed although its
/// number is lower: the clock of its instance was set back.
const SUCCESSION_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Peer {
    /// When it was heard of first, or heard last.
    seen_at: Instant,
    accept_message: bool,
    told_at: Instant,
}

impl Peer {
    fn is_due(&self, now: Instant) -> bool {
        let silent = now - self.seen_at > SILENT_AFTER;
        !silent || now - self.told_at >= SILENT_PERIOD
    }
}

/// Place of a message among its sender's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// Start of the sending process, by its time of day.
    pub incarnation: u64,
    /// Number of the message in that process.
    pub sequence: u64,
}

/// The other instances, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddr, Peer>,
    /// The latest message of each sender, and when it came.
    marks: HashMap<InstanceId, (MessageNumber, Instant)>,
    /// The peer that was told last.
    last_told: Option<SocketAddr>,
}

impl Peers {
    /// Adds an address that may be a peer's.
    pub fn add_address(&mut self, address: SocketAddr, now: Instant) {
        self.peers.entry(address).or_insert(Peer {
            seen_at: now,
            accept_message: false,
            told_at: now,
        });
    }

    /// Peers that were heard of late.
    pub fn alive_count(&self, now: Instant) -> u32 {
        let alive_count = |peer: &&Peer| peer.accept_message && now - peer.seen_at <= ALIVE_TIME;
        self.peers.values().filter(alive_count).count() as u32
    }

    /// Takes in that a message came; returns whether it is newer than what came
    /// from its sender before.
    pub fn accept_message(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        message_number: MessageNumber,
        now: Instant,
    ) -> bool {
        if let Some((known, at)) = self.marks.get(instance) {
            let succeeds =
                message_number.incarnation != known.incarnation && now - *at >= SUCCESSION_TIME;
            if message_number <= *known && !succeeds {
                return false;
            }
        }
        self.marks.insert(instance.clone(), (message_number, now));
        self.add_address(address, now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.seen_at = now;
            peer.accept_message = true;
        }
        true
    }

    /// Peers to tell in this round: all, or as many as may be at a time, each in
    /// its turn.
    pub fn start_round(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .retain(|_, peer| now - peer.seen_at <= FORGET_AFTER);
        self.marks.retain(|_, (_, at)| now - *at <= FORGET_AFTER);
        let due = self.peers.iter().filter(|(_, peer)| peer.is_due(now));
        let due: Vec<SocketAddr> = due.map(|(address, _)| *address).collect();
        let after = self.last_told;
        let later = due.iter().filter(|address| Some(**address) > after);
        let earlier = due.iter().filter(|address| Some(**address) <= after);
        let count = due.len().min(MAX_FANOUT);
        let start_round: Vec<SocketAddr> = later.chain(earlier).take(count).copied().collect();
        for address in &start_round {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.told_at = now;
            }
        }
        self.last_told = start_round.last().copied();
        start_round
    }
}

/// Usual age of the news from a peer: the rounds until all are told, and its way.
pub fn expected_gossip_age(peers: u32) -> Duration {
    let rounds = (peers as usize).div_ceil(MAX_FANOUT).max(1);
    send_interval(peers) * rounds as u32 + NEWS_WAY
}

/// Shortest time between two rounds that tell so many peers.
pub fn send_interval(peers: u32) -> Duration {
    let told = (peers as usize).min(MAX_FANOUT) as u32;
    (PERIOD_PER_PEER * told).min(MAX_SEND_INTERVAL)
}
