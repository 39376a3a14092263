//! The other instances: which ones are alive, and which ones get the next gossip
//! message.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{clock::Instant, ids::InstanceId};

/// Time that each recipient adds to the shortest interval between two rounds.
/// With few peers, all of them receive a placement before the next one is likely.
const MIN_SEND_INTERVAL_PER_PEER: Duration = Duration::from_millis(6);

/// Time for a message to arrive and to be processed.
const MESSAGE_TRANSIT_TIME: Duration = Duration::from_millis(5);

/// Longest interval between two rounds; well below the age from which a peer's
/// loads are ignored.
pub const MAX_SEND_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of recipients in one round. It bounds the gossip traffic of an
/// instance with hundreds of peers; a message to all of them then takes several
/// rounds.
const MAX_FANOUT: usize = 40;

/// Time without messages after which a peer no longer counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without messages after which a peer counts as silent and gets messages
/// at a longer interval.
const SILENT_AFTER: Duration = Duration::from_secs(30);

/// Interval between two messages to a silent peer. Through these messages,
/// instances find each other after a long network partition.
const SILENT_SEND_INTERVAL: Duration = Duration::from_secs(5);

/// Time without messages after which a peer is removed; far longer than network
/// partitions last.
const REMOVE_AFTER: Duration = Duration::from_secs(6 * 3_600);

/// Time without messages from an incarnation after which one with a lower number
/// is accepted. The number is lower if the instance's clock was set back before a
/// restart.
const INCARNATION_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct Peer {
    /// Time of the latest message; before the first message, time at which the
    /// address was added.
    last_received_at: Instant,
    has_sent_message: bool,
    last_sent_at: Instant,
}

impl Peer {
    fn is_due(&self, now: Instant) -> bool {
        let is_silent = now - self.last_received_at > SILENT_AFTER;
        !is_silent || now - self.last_sent_at >= SILENT_SEND_INTERVAL
    }
}

/// Number of a gossip message; orders the messages of one sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageNumber {
    /// Start time of the sending process, by the sender's clock.
    pub incarnation: u64,
    /// Number of the message among those of the process.
    pub sequence: u64,
}

/// The other instances, by address.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddr, Peer>,
    /// Number and arrival of the latest message of each sender.
    latest_messages: HashMap<InstanceId, (MessageNumber, Instant)>,
    /// Last recipient of the previous round.
    last_recipient: Option<SocketAddr>,
}

impl Peers {
    /// Adds an address at which a peer may listen. The peer counts as alive only
    /// after its first message.
    pub fn add_address(&mut self, address: SocketAddr, now: Instant) {
        self.peers.entry(address).or_insert(Peer {
            last_received_at: now,
            has_sent_message: false,
            last_sent_at: now,
        });
    }

    /// Number of peers that sent a message recently.
    pub fn alive_count(&self, now: Instant) -> u32 {
        let is_alive =
            |peer: &&Peer| peer.has_sent_message && now - peer.last_received_at <= ALIVE_TIMEOUT;
        self.peers.values().filter(is_alive).count() as u32
    }

    /// Records the arrival of a message. Returns whether the message is newer than
    /// all earlier ones of its sender; an outdated message has no effect.
    pub fn accept_message(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        message_number: MessageNumber,
        now: Instant,
    ) -> bool {
        if let Some((latest, at)) = self.latest_messages.get(instance) {
            let is_replacement = message_number.incarnation != latest.incarnation
                && now - *at >= INCARNATION_TIMEOUT;
            if message_number <= *latest && !is_replacement {
                return false;
            }
        }
        self.latest_messages
            .insert(instance.clone(), (message_number, now));
        self.add_address(address, now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_received_at = now;
            peer.has_sent_message = true;
        }
        true
    }

    /// Starts a gossip round and returns its recipients: all due peers, or a bounded
    /// number of them in rotation.
    pub fn start_round(&mut self, now: Instant) -> Vec<SocketAddr> {
        self.peers
            .retain(|_, peer| now - peer.last_received_at <= REMOVE_AFTER);
        self.latest_messages
            .retain(|_, (_, at)| now - *at <= REMOVE_AFTER);
        let due = self.peers.iter().filter(|(_, peer)| peer.is_due(now));
        let due: Vec<SocketAddr> = due.map(|(address, _)| *address).collect();
        let last_recipient = self.last_recipient;
        let later = due
            .iter()
            .filter(|address| Some(**address) > last_recipient);
        let earlier = due
            .iter()
            .filter(|address| Some(**address) <= last_recipient);
        let count = due.len().min(MAX_FANOUT);
        let recipients: Vec<SocketAddr> = later.chain(earlier).take(count).copied().collect();
        for address in &recipients {
            if let Some(peer) = self.peers.get_mut(address) {
                peer.last_sent_at = now;
            }
        }
        self.last_recipient = recipients.last().copied();
        recipients
    }
}

/// Expected age of the latest gossip from a peer: the rounds until all peers got
/// a message, and the transit time.
pub fn expected_gossip_age(peers: u32) -> Duration {
    let rounds = (peers as usize).div_ceil(MAX_FANOUT).max(1);
    send_interval(peers) * rounds as u32 + MESSAGE_TRANSIT_TIME
}

/// Shortest interval between two rounds with `peers` recipients.
pub fn send_interval(peers: u32) -> Duration {
    let recipients = (peers as usize).min(MAX_FANOUT) as u32;
    (MIN_SEND_INTERVAL_PER_PEER * recipients).min(MAX_SEND_INTERVAL)
}
