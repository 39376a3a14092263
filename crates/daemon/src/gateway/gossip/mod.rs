//! What the instances tell each other: loads, crashes and configurations.
//!
//! Loads go out soon after they change, as one datagram to each peer; a lost one
//! is made good by the next. An instance that hears of a newer configuration
//! fetches it from the peer, in case the store turns this instance away.

mod fetch;
mod messages;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::net::UdpSocket;
use anyhow::Context;
use cyclamengauge_core::{
    clock::Instant,
    ids::{EngineId, InstanceId},
    request::Fingerprint,
    serving::peers::{self, MessageNumber},
    text::SmolStr,
};
use cyclamengauge_schema::v1;
use prost::Message;

use crate::{gateway::Gateway, telemetry::process_events};

pub use fetch::answer;

/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Pause after a failure to receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(6);

/// Opens the socket for datagrams.
///
/// # Errors
///
/// If the address is taken.
pub async fn bind(address: SocketAddr) -> anyhow::Result<Rc<UdpSocket>> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("listen for peers on {address}"))?;
    Ok(Rc::new(socket))
}

/// Tells the peers of this instance's loads, for the life of the daemon.
pub async fn tell(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut alive = 0;
    loop {
        let changed = gateway.load_changed.notified();
        let now = gateway.clock.now();
        let before = std::mem::replace(&mut alive, gateway.peers.borrow().alive_count(now));
        if alive != before {
            process_events::log_peers(alive, before);
        }
        let addresses = gateway.peers.borrow_mut().start_round(now);
        sequence += 1;
        let datagram = messages::gossip(&gateway, sequence, now).encode_to_vec();
        for address in &addresses {
            // A lost datagram is made good by the next one.
            if let Err(err) = socket.send_to(&datagram, address).await {
                tracing::debug!(%address, "peers: {address} is not told: {err}");
            }
        }
        gateway.targets.borrow_mut().remove_expired(now);
        let pause = peers::send_interval(addresses.len() as u32);
        actix_rt::time::sleep(pause).await;
        let _ = actix_rt::time::timeout(peers::MAX_SEND_INTERVAL - pause, changed).await;
    }
}

/// Takes in what the peers tell, for the life of the daemon.
pub async fn listen(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!("peers: receive: {err}");
                actix_rt::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match v1::Gossip::decode(&buffer[..length]) {
            Ok(gossip) => learn(&gateway, gossip),
            Err(err) => {
                let err = anyhow::Error::new(err).context("read a message");
                process_events::log_peer_faulty(&from.to_string(), &err);
            }
        }
    }
}

fn learn(gateway: &Rc<Gateway>, gossip: v1::Gossip) {
    let Ok(address) = gossip.peer_address.parse::<SocketAddr>() else {
        let err = anyhow::anyhow!("`{}` is no address", gossip.peer_address);
        process_events::log_peer_faulty(&gossip.instance, &err);
        return;
    };
    let instance = InstanceId::new(&gossip.instance);
    if instance == gateway.settings.borrow().instance {
        return;
    }
    let now = gateway.clock.now();
    let message_number = MessageNumber {
        incarnation: gossip.incarnation,
        sequence: gossip.sequence,
    };
    let mut peers = gateway.peers.borrow_mut();
    if !peers.accept_message(&instance, address, message_number, now) {
        return;
    }
    drop(peers);
    let waiting = gossip
        .waiting
        .iter()
        .map(messages::decode_waiting)
        .collect();
    let mut queue = gateway.queue.borrow_mut();
    queue.update_peer(instance.clone(), waiting, now);
    drop(queue);
    let loads = gossip.loads.iter().map(messages::decode_load).collect();
    let mut targets = gateway.targets.borrow_mut();
    targets.set_peer_loads(instance, loads, now);
    for load in &gossip.loads {
        if let Some(age_ms) = load.heard_ms {
            let age = Duration::from_millis(u64::from(age_ms));
            targets.record_peer_received(&EngineId::new(&load.target), age, now);
        }
    }
    for leaving in &gossip.leaving {
        let rest = Duration::from_millis(leaving.rest_ms);
        targets.record_peer_leaving(&EngineId::new(&leaving.target), rest, now);
    }
    drop(targets);
    for content in &gossip.crashes {
        learn_crashes(gateway, content, now);
    }
    fetch::soon(gateway, address, fetch::Wanted::of(&gossip));
}

fn learn_crashes(gateway: &Gateway, content: &v1::ContentCrashes, now: Instant) {
    let Ok(digest) = <[u8; 16]>::try_from(&content.fingerprint[..]) else {
        let err = anyhow::anyhow!("a fingerprint has {} bytes", content.fingerprint.len());
        process_events::log_peer_faulty("", &err);
        return;
    };
    let mut crashes = gateway.crashes.borrow_mut();
    for crash in &content.crashes {
        crashes.record_crash(Fingerprint(digest), SmolStr::new(crash), now);
    }
}
