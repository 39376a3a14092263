//! Gossip between instances: loads, queued prompts, crashes and versions.
//!
//! A message is one datagram, sent to the peers soon after a load changes. It holds
//! the whole state of its sender, so the next message makes up for a lost one. If a
//! peer reports a newer configuration, this instance fetches the configuration from
//! the peer, in case its own calls to the store fail.

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

pub use fetch::handle_fetch;

/// Largest datagram that is received without truncation.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Delay after a failed receive, which limits the rate of persistent failures.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(6);

/// Opens the gossip socket.
///
/// # Errors
///
/// If the address can't be bound, such as one that is in use.
pub async fn bind(address: SocketAddr) -> anyhow::Result<Rc<UdpSocket>> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("listen for gossip on {address}"))?;
    Ok(Rc::new(socket))
}

/// Sends gossip messages to the peers until the process ends.
pub async fn send_messages(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut alive = 0;
    loop {
        let changed = gateway.load_changed.notified();
        let now = gateway.clock.now();
        let previously_alive =
            std::mem::replace(&mut alive, gateway.peers.borrow().alive_count(now));
        if alive != previously_alive {
            process_events::log_peers(alive, previously_alive);
        }
        let addresses = gateway.peers.borrow_mut().start_round(now);
        sequence += 1;
        let datagram = messages::build_message(&gateway, sequence, now).encode_to_vec();
        for address in &addresses {
            // The next message makes up for a lost one.
            if let Err(err) = socket.send_to(&datagram, address).await {
                tracing::debug!(%address, "peers: send gossip to {address}: {err}");
            }
        }
        gateway.targets.borrow_mut().remove_expired(now);
        let min_interval = peers::send_interval(addresses.len() as u32);
        actix_rt::time::sleep(min_interval).await;
        let _ = actix_rt::time::timeout(peers::MAX_SEND_INTERVAL - min_interval, changed).await;
    }
}

/// Receives and applies the peers' gossip messages until the process ends.
pub async fn receive_messages(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!("peers: receive gossip: {err}");
                actix_rt::time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match v1::Gossip::decode(&buffer[..length]) {
            Ok(gossip) => apply_message(&gateway, gossip),
            Err(err) => {
                let err = anyhow::Error::new(err).context("decode gossip message");
                process_events::log_peer_faulty(&from.to_string(), &err);
            }
        }
    }
}

/// Applies a peer's gossip message. Messages of this instance itself and outdated
/// messages are ignored.
fn apply_message(gateway: &Rc<Gateway>, gossip: v1::Gossip) {
    let Ok(address) = gossip.peer_address.parse::<SocketAddr>() else {
        let err = anyhow::anyhow!("peer address `{}` is invalid", gossip.peer_address);
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
    let queued_prompts = gossip
        .waiting
        .iter()
        .map(messages::decode_queued_prompt)
        .collect();
    let mut queue = gateway.queue.borrow_mut();
    queue.update_peer(instance.clone(), queued_prompts, now);
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
        let remaining = Duration::from_millis(leaving.rest_ms);
        targets.record_peer_leaving(&EngineId::new(&leaving.target), remaining, now);
    }
    drop(targets);
    for content in &gossip.crashes {
        record_crashes(gateway, content, now);
    }
    fetch::schedule_fetch(gateway, address, fetch::PeerVersions::of(&gossip));
}

fn record_crashes(gateway: &Gateway, content: &v1::ContentCrashes, now: Instant) {
    let Ok(digest) = <[u8; 16]>::try_from(&content.fingerprint[..]) else {
        let err = anyhow::anyhow!(
            "fingerprint of a crash has {} bytes instead of 16",
            content.fingerprint.len()
        );
        process_events::log_peer_faulty("", &err);
        return;
    };
    let mut crashes = gateway.crashes.borrow_mut();
    for crash_id in &content.crashes {
        crashes.record_crash(Fingerprint(digest), SmolStr::new(crash_id), now);
    }
}
