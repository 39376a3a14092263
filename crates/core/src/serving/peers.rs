//! The other instances: which ones are alive, and which ones get the next gossip
//! message.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    clock::Instant,
    ids::{DataCentreId, InstanceId},
    serving::dissemination,
};

/// Time for a message to arrive and to be processed.
const MESSAGE_TRANSIT_TIME: Duration = Duration::from_millis(5);
/// Maximum number of recipients of a complete state in one round. It bounds the
/// gossip traffic of an instance with hundreds of peers in its data centre; a complete
/// state to all of them then takes several rounds.
const MAX_FANOUT: usize = 40;

/// Maximum number of recipients of a message with changes, and of a forwarded message.
const MAX_CHANGE_FANOUT: usize = 320;

/// Number of live peers in another data centre above which one of them forwards a
/// message to the others.
const MAX_DIRECT_REMOTE_PEERS: usize = 4;

/// Time since the latest message of a peer up to which messages are forwarded by it:
/// it sends at least two messages in this time.
const FORWARDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without messages after which a peer no longer counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without messages after which a peer's reports are missing: several complete
/// states in a row were lost.
const MISSING_AFTER: Duration = Duration::from_millis(1_200);

/// Time without messages after which a peer is no longer missing but gone.
const GONE_AFTER: Duration = Duration::from_secs(6);

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
    /// Whether it was a recipient of a complete state.
    has_been_greeted: bool,
    last_sent_at: Instant,
    /// Known from its messages.
    data_centre: Option<DataCentreId>,
}

impl Peer {
    fn is_due(&self, now: Instant) -> bool {
        let is_silent = now - self.last_received_at > SILENT_AFTER;
        !is_silent || now - self.last_sent_at >= SILENT_SEND_INTERVAL
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.has_sent_message && now - self.last_received_at <= ALIVE_TIMEOUT
    }

    /// Whether it is alive as far as this instance can know: its address was found a short
    /// time ago, and its first message may be under way.
    fn may_be_alive(&self, now: Instant) -> bool {
        now - self.last_received_at <= ALIVE_TIMEOUT
    }
}

/// Sender of a gossip message.
#[derive(Clone, Copy, Debug)]
pub struct Sender<'a> {
    /// Id of the instance.
    pub instance: &'a InstanceId,
    /// Address at which it listens for its peers.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: &'a DataCentreId,
}

/// Recipient of a gossip message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recipient {
    /// Address at which it listens for its peers.
    pub address: SocketAddr,
    /// Whether it forwards the message to the other instances in its data centre.
    pub forwards: bool,
}

/// How a message relates to the earlier ones of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// It comes from an earlier process of the instance and has no effect.
    Outdated,
    /// The same process sent a newer one before; forwarded messages overtake others.
    Late,
    /// It is the newest one of a process that is known.
    Newest,
    /// It is the first one of a process; what an earlier process of the instance
    /// reported no longer holds.
    NewProcess,
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
    /// Last direct recipient of the previous round of complete states.
    last_recipient: Option<SocketAddr>,
}

impl Peers {
    /// Adds an address at which a peer may listen. The peer counts as alive only
    /// after its first message.
    pub fn add_address(&mut self, address: SocketAddr, now: Instant) {
        self.peers.entry(address).or_insert(Peer {
            last_received_at: now,
            has_sent_message: false,
            has_been_greeted: false,
            last_sent_at: now,
            data_centre: None,
        });
    }

    /// Number of peers that sent a message recently.
    pub fn alive_count(&self, now: Instant) -> u32 {
        let alive = self.peers.values().filter(|peer| peer.is_alive(now));
        alive.count() as u32
    }

    /// Number of peers that may be alive: those that sent a message recently, and those
    /// whose addresses were found a short time ago, as after a start.
    pub fn expected_count(&self, now: Instant) -> u32 {
        let expected = self.peers.values().filter(|peer| peer.may_be_alive(now));
        expected.count() as u32
    }

    /// Whether messages of the peer at an address arrive.
    pub fn is_heard(&self, address: SocketAddr, now: Instant) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| {
            peer.has_sent_message && now - peer.last_received_at <= MISSING_AFTER
        })
    }

    /// Number of peers whose messages arrive, and of those that fell silent a short time
    /// ago, but may be alive behind a broken link.
    pub fn heard_and_missing(&self, now: Instant) -> (u32, u32) {
        let peers = self.peers.values().filter(|peer| peer.has_sent_message);
        let ages = peers.map(|peer| now - peer.last_received_at);
        let (mut heard, mut missing) = (0, 0);
        for age in ages.filter(|age| *age <= GONE_AFTER) {
            match age <= MISSING_AFTER {
                true => heard += 1,
                false => missing += 1,
            }
        }
        (heard, missing)
    }

    /// Records the arrival of a message and compares it with the earlier ones of its
    /// sender.
    pub fn accept_message(
        &mut self,
        sender: Sender<'_>,
        message_number: MessageNumber,
        now: Instant,
    ) -> Reception {
        let Sender {
            instance,
            address,
            data_centre,
        } = sender;
        let mut reception = Reception::NewProcess;
        if let Some((latest, at)) = self.latest_messages.get(instance) {
            let is_replacement = message_number.incarnation != latest.incarnation
                && now - *at >= INCARNATION_TIMEOUT;
            let is_same_process = message_number.incarnation == latest.incarnation;
            if message_number <= *latest && !is_replacement {
                return match is_same_process {
                    true => Reception::Late,
                    false => Reception::Outdated,
                };
            }
            if is_same_process {
                reception = Reception::Newest;
            }
        }
        self.latest_messages
            .insert(instance.clone(), (message_number, now));
        self.add_address(address, now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_received_at = now;
            peer.has_sent_message = true;
            if peer.data_centre.as_ref() != Some(data_centre) {
                peer.data_centre = Some(data_centre.clone());
            }
        }
        reception
    }

    /// Recipients of a message with changes from an instance in `data_centre`: all live
    /// peers there and in small data centres, and one peer of each other data centre,
    /// which forwards the message.
    pub fn change_recipients(
        &self,
        data_centre: &DataCentreId,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Vec<Recipient> {
        let mut recipients = self.forwarders(data_centre, rng, now);
        let direct = self.direct_recipients(data_centre, now);
        recipients.extend(direct.into_iter().take(MAX_CHANGE_FANOUT));
        recipients
    }

    /// Recipients of a message that a peer in another data centre has sent to be
    /// forwarded: the live peers in this instance's `data_centre`.
    pub fn forward_recipients(&self, data_centre: &DataCentreId, now: Instant) -> Vec<SocketAddr> {
        let local = self
            .live_peers(now)
            .filter(|(_, peer)| peer.data_centre.as_ref() == Some(data_centre));
        let addresses = local.map(|(address, _)| *address);
        addresses.take(MAX_CHANGE_FANOUT).collect()
    }

    /// Starts a round of complete states and returns its recipients: those of a message
    /// with changes and peers that sent no message lately, or a bounded number of them
    /// in rotation.
    pub fn start_round(
        &mut self,
        data_centre: &DataCentreId,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Vec<Recipient> {
        self.peers
            .retain(|_, peer| now - peer.last_received_at <= REMOVE_AFTER);
        self.latest_messages
            .retain(|_, (_, at)| now - *at <= REMOVE_AFTER);
        let silent = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.is_alive(now) && peer.is_due(now));
        let silent = silent.map(|(address, _)| Recipient::direct(*address));
        let mut due: Vec<Recipient> = silent.collect();
        due.extend(self.direct_recipients(data_centre, now));
        due.sort_by_key(|recipient| recipient.address);
        let first = due.partition_point(|r| Some(r.address) <= self.last_recipient);
        due.rotate_left(first);
        due.truncate(MAX_FANOUT);
        self.last_recipient = due.last().map(|recipient| recipient.address);
        for recipient in &due {
            if let Some(peer) = self.peers.get_mut(&recipient.address) {
                peer.last_sent_at = now;
                peer.has_been_greeted = true;
            }
        }
        due.extend(self.forwarders(data_centre, rng, now));
        due
    }

    /// Takes the peers that have had no complete state yet, as after a start: they learn of
    /// this instance at once.
    pub fn take_new(&mut self, now: Instant) -> Vec<Recipient> {
        let new = self.peers.iter_mut();
        let new = new.filter(|(_, peer)| !peer.has_been_greeted);
        let new = new.map(|(address, peer)| {
            peer.last_sent_at = now;
            peer.has_been_greeted = true;
            Recipient::direct(*address)
        });
        new.collect()
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Live peers that get messages without a forwarder.
    fn direct_recipients(&self, data_centre: &DataCentreId, now: Instant) -> Vec<Recipient> {
        let forwarded_to = self.forwarded_data_centres(data_centre, now);
        let direct = self.live_peers(now).filter(|(_, peer)| {
            let data_centre = peer.data_centre.as_ref();
            data_centre.is_none_or(|id| !forwarded_to.contains_key(id))
        });
        direct
            .map(|(address, _)| Recipient::direct(*address))
            .collect()
    }

    /// One peer of each data centre whose messages are forwarded.
    fn forwarders(
        &self,
        data_centre: &DataCentreId,
        rng: &mut fastrand::Rng,
        now: Instant,
    ) -> Vec<Recipient> {
        let forwarded_to = self.forwarded_data_centres(data_centre, now);
        let forwarders = forwarded_to.values().map(|candidates| Recipient {
            address: candidates[rng.usize(..candidates.len())],
            forwards: true,
        });
        forwarders.collect()
    }

    /// The other data centres with more than [`MAX_DIRECT_REMOTE_PEERS`] peers that can
    /// forward messages, with the addresses of these peers.
    fn forwarded_data_centres(
        &self,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> BTreeMap<&DataCentreId, Vec<SocketAddr>> {
        let mut candidates: BTreeMap<&DataCentreId, Vec<SocketAddr>> = BTreeMap::new();
        for (address, peer) in self.live_peers(now) {
            let remote = peer.data_centre.as_ref().filter(|id| *id != data_centre);
            if let Some(remote) = remote
                && now - peer.last_received_at <= FORWARDER_TIMEOUT
            {
                candidates.entry(remote).or_default().push(*address);
            }
        }
        candidates.retain(|_, addresses| addresses.len() > MAX_DIRECT_REMOTE_PEERS);
        candidates
    }
}

impl Recipient {
    fn direct(address: SocketAddr) -> Self {
        Self {
            address,
            forwards: false,
        }
    }
}

/// Longest time for which placements of a peer that has sent no message yet matter: most of
/// the streams that it placed before have had their first event.
const MAX_UNHEARD_TIME: Duration = Duration::from_secs(1);

/// Expected number of streams that peers have placed and this instance does not know of, if
/// each of them receives `rate_per_s` of them: of the `heard` peers those since their last
/// message, of the `unheard` ones all since the start of this instance, as the others have
/// mostly started with it.
pub fn unreported_streams(
    rate_per_s: f64,
    heard: u32,
    unheard: u32,
    time_since_start: Duration,
) -> f64 {
    let heard_time = expected_gossip_age(heard).as_secs_f64() * f64::from(heard);
    let unheard_time = time_since_start.min(MAX_UNHEARD_TIME).as_secs_f64() * f64::from(unheard);
    rate_per_s * (heard_time + unheard_time)
}

/// Expected age of what is known of a placement when the next one is made: peers that
/// a message with changes does not reach learn of it from a complete state.
pub fn expected_gossip_age(peers: u32) -> Duration {
    let peers = peers as usize;
    let rounds = peers.div_ceil(MAX_FANOUT) as u32;
    let unreached_share = 1.0 - MAX_CHANGE_FANOUT as f64 / peers.max(MAX_CHANGE_FANOUT) as f64;
    let unreached_age = (dissemination::COMPLETE_STATE_INTERVAL * rounds).mul_f64(unreached_share);
    dissemination::PLACEMENT_DELAY + MESSAGE_TRANSIT_TIME + unreached_age
}
