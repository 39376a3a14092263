//! Gossip between instances: loads, queued prompts, crashes and versions.
//!
//! A message is one datagram. Changes are sent to all live peers soon after they occur.
//! The complete state of the sender follows at an interval and makes up for lost
//! messages. A message to a data centre with several instances crosses the link to it
//! once: one of these instances forwards it to the others. If a peer reports a newer
//! configuration or target list, this instance fetches it from the peer, unless it
//! watches the platform's tables itself.

mod calls;
mod configuration;
mod fetch;
mod messages;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_rt::net::UdpSocket;
use anyhow::Context;
use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, EngineId, InstanceId},
    request::Fingerprint,
    serving::{
        configuration_spread::sources::Source,
        dissemination::DueMessage,
        pace::PaceReport,
        peers::{MessageNumber, Reception, Recipient, Sender},
        targets::{limits::LimitReport, notices::TargetProcess},
        watchers::WatchState,
    },
    text::SmolStr,
};
use cyclamengauge_platform::store::StoreEra;
use cyclamengauge_schema::v1;
use prost::Message;

use crate::{
    gateway::{Gateway, attempt::paths, refused_parts, target_limits, target_notices, watch},
    telemetry::process_events,
};

pub use fetch::{FetchesInProgress, handle_call};

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
        let due_at = gateway.gossip_schedule.borrow().due_at();
        let until_due = gateway.clock.until(due_at);
        if !until_due.is_zero() {
            let rescheduled = gateway.gossip_scheduled.notified();
            let _ = actix_rt::time::timeout(until_due, rescheduled).await;
        }
        let now = gateway.clock.now();
        let has_queued_prompts = !gateway.queue.borrow().is_empty();
        let due = gateway
            .gossip_schedule
            .borrow_mut()
            .take_due(has_queued_prompts, now);
        let Some(message) = due else { continue };
        let recipients = match message {
            DueMessage::Changes => change_recipients(&gateway, now),
            DueMessage::CompleteState => {
                let previously_alive =
                    std::mem::replace(&mut alive, gateway.peers.borrow().alive_count(now));
                if alive != previously_alive {
                    process_events::log_peers(alive, previously_alive);
                }
                let (heard, missing) = gateway.peers.borrow().heard_and_missing(now);
                let mut targets = gateway.targets.borrow_mut();
                targets.remove_expired(now);
                targets.limits.set_peers(heard, missing);
                let pace_changes = targets.pace.take_changes();
                drop(targets);
                process_events::log_pace_changes(&pace_changes);
                start_round(&gateway, now)
            }
        };
        sequence += 1;
        let mut gossip = messages::build_message(&gateway, message, sequence, now);
        let datagram = gossip.encode_to_vec();
        gossip.forward = true;
        let forwarded_datagram = gossip.encode_to_vec();
        for recipient in &recipients {
            let datagram = match recipient.forwards {
                true => &forwarded_datagram,
                false => &datagram,
            };
            send_datagram(&socket, datagram, recipient.address).await;
        }
    }
}

fn change_recipients(gateway: &Gateway, now: Instant) -> Vec<Recipient> {
    let settings = gateway.settings.borrow();
    let mut rng = gateway.rng.borrow_mut();
    let peers = gateway.peers.borrow();
    peers.change_recipients(&settings.data_centre, &mut rng, now)
}

fn start_round(gateway: &Gateway, now: Instant) -> Vec<Recipient> {
    let settings = gateway.settings.borrow();
    let mut rng = gateway.rng.borrow_mut();
    let mut peers = gateway.peers.borrow_mut();
    let mut recipients = peers.start_round(&settings.data_centre, &mut rng, now);
    recipients.extend(peers.take_new(now));
    recipients
}

/// Sends a datagram. A later complete state makes up for one that can't be sent.
async fn send_datagram(socket: &UdpSocket, datagram: &[u8], address: SocketAddr) {
    if let Err(err) = socket.send_to(datagram, address).await {
        tracing::debug!(%address, "peers: send gossip to {address}: {err}");
    }
}

/// Forwards a message to the other instances in this data centre.
async fn forward_message(gateway: &Gateway, socket: &UdpSocket, mut gossip: v1::Gossip) {
    let recipients = {
        let data_centre = &gateway.settings.borrow().data_centre;
        let peers = gateway.peers.borrow();
        peers.forward_recipients(data_centre, gateway.clock.now())
    };
    gossip.forward = false;
    let datagram = gossip.encode_to_vec();
    for address in recipients {
        send_datagram(socket, &datagram, address).await;
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
            Ok(gossip) => {
                apply_message(&gateway, &gossip);
                if gossip.forward {
                    forward_message(&gateway, &socket, gossip).await;
                }
            }
            Err(err) => {
                let err = anyhow::Error::new(err).context("decode gossip message");
                process_events::log_peer_faulty(&from.to_string(), &err);
            }
        }
    }
}

/// Applies a peer's gossip message. Messages of this instance itself and outdated
/// messages are ignored.
fn apply_message(gateway: &Rc<Gateway>, gossip: &v1::Gossip) {
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
    let sender = Sender {
        instance: &instance,
        address,
        data_centre: &DataCentreId::new(&gossip.data_centre),
    };
    let mut peers = gateway.peers.borrow_mut();
    let reception = peers.accept_message(sender, message_number, now);
    drop(peers);
    if reception == Reception::Outdated {
        return;
    }
    let mut targets = gateway.targets.borrow_mut();
    if reception == Reception::NewProcess {
        targets.forget_peer(&instance, now);
    }
    targets.merge_peer_loads(&instance, &messages::decode_load_report(gossip), now);
    let paces = gossip.target_paces.iter().map(messages::decode_pace);
    let paces: Vec<PaceReport> = paces.collect();
    targets.pace.merge_reports(&instance, &paces, now);
    drop(targets);
    record_target_limits(gateway, &instance, gossip, now);
    if reception == Reception::Late {
        return;
    }
    let queued_prompts = gossip
        .waiting
        .iter()
        .map(messages::decode_queued_prompt)
        .collect();
    let mut queue = gateway.queue.borrow_mut();
    let has_prompt_left = queue.update_peer(instance.clone(), queued_prompts, now);
    drop(queue);
    if has_prompt_left {
        gateway.load_changed.notify_waiters();
    }
    let mut targets = gateway.targets.borrow_mut();
    for load in &gossip.loads {
        if let Some(age_ms) = load.heard_ms {
            let age = Duration::from_millis(u64::from(age_ms));
            targets.record_peer_received(&EngineId::new(&load.target), age, now);
        }
    }
    for leaving in &gossip.leaving {
        let target = EngineId::new(&leaving.target);
        if leaving.leaving_process_started_unix_ms.is_none() {
            let remaining = Duration::from_millis(leaving.rest_ms);
            targets.record_peer_leaving(&target, remaining, now);
        }
    }
    drop(targets);
    record_leaving_processes(gateway, gossip);
    if let Some(report) = messages::decode_evacuations(gossip) {
        let changes = gateway.targets.borrow_mut().evacuations.merge(report, now);
        watch::report_evacuations(gateway, &changes, &gossip.instance);
    }
    paths::merge_report(gateway, messages::decode_peer_report(gossip, address));
    for content in &gossip.crashes {
        record_crashes(gateway, content, now);
    }
    record_parts(gateway, gossip, now);
    // Before it has a list, a peer does not know the era.
    if gossip.list_era > 0 {
        gateway.record_store_era(StoreEra(gossip.list_era));
    }
    let watch_state = record_watch_state(gateway, &instance, gossip, now);
    let is_local = gossip.data_centre == gateway.settings.borrow().data_centre.as_str();
    let source = Source {
        instance,
        address,
        is_local,
        serves_parts: gossip.serves_configuration_parts,
        version: gossip.configuration_version,
    };
    configuration::record_source(gateway, source);
    let peer = fetch::Peer {
        address,
        is_local,
        watch_state,
        list_version: messages::decode_list_version(gossip),
    };
    fetch::schedule_fetch(gateway, peer);
}

fn record_leaving_processes(gateway: &Gateway, gossip: &v1::Gossip) {
    for leaving in &gossip.leaving {
        if let Some(started_unix_ms) = leaving.leaving_process_started_unix_ms {
            let process = TargetProcess {
                target: EngineId::new(&leaving.target),
                started_unix_ms,
            };
            target_notices::record_leaving(gateway, &process, &gossip.instance);
        }
    }
}

fn record_target_limits(gateway: &Gateway, peer: &InstanceId, gossip: &v1::Gossip, now: Instant) {
    let reports = gossip.target_limits.iter();
    let reports: Vec<LimitReport> = reports.map(messages::decode_target_limit).collect();
    let mut targets = gateway.targets.borrow_mut();
    let changes = targets
        .limits
        .merge_reports(peer, gossip.sequence, &reports, now);
    drop(targets);
    for (target, change) in changes {
        target_limits::log_change(&target, change, &gossip.instance);
    }
}

/// Records whether a peer watches the tables. What it reads from the store also
/// confirms the state of an instance that does not watch them.
fn record_watch_state(
    gateway: &Gateway,
    instance: &InstanceId,
    gossip: &v1::Gossip,
    now: Instant,
) -> WatchState {
    let state = messages::decode_watch_state(gossip);
    let data_centre = DataCentreId::new(&gossip.data_centre);
    let mut watchers = gateway.watchers.borrow_mut();
    watchers.record(instance.clone(), data_centre, state, now);
    watchers.record_link(instance, gossip.link_mbps);
    let is_up_to_date = gossip.configuration_version <= gateway.configuration_version()
        && messages::decode_list_version(gossip) <= gateway.target_list.borrow().version();
    if let Some(age_ms) = gossip.store_success_age_ms
        && state == WatchState::Watching
        && is_up_to_date
    {
        let age = Duration::from_millis(u64::from(age_ms));
        let at = Instant::from_start(now.since_start().saturating_sub(age));
        for last in [
            &gateway.last_store_success_at,
            &gateway.last_target_list_success_at,
        ] {
            last.set(last.get().max(Some(at)));
        }
    }
    state
}

fn record_parts(gateway: &Rc<Gateway>, gossip: &v1::Gossip, now: Instant) {
    let reports = gossip.part_crashes.iter();
    let reports: Vec<_> = reports
        .map(|part| messages::decode_part(part, now))
        .collect();
    let changes = gateway
        .prompt_parts
        .borrow_mut()
        .merge_reports(&reports, now);
    refused_parts::record_changes(gateway, changes, &gossip.instance);
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
