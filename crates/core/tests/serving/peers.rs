//! Which peers count as alive, and which ones get the next gossip message.

use std::{net::SocketAddr, time::Duration};

use cyclamengauge_core::{
    ids::{DataCentreId, InstanceId},
    serving::peers::{MessageNumber, Peers, Reception, Recipient, Sender, unreported_streams},
};

use crate::fleet::{address, ms};

fn message_number(incarnation: u64, sequence: u64) -> MessageNumber {
    MessageNumber {
        incarnation,
        sequence,
    }
}

fn receive(peers: &mut Peers, number: usize, message_number: MessageNumber, at_ms: u64) -> bool {
    let instance = InstanceId::new(format!("i{number}"));
    let sender = Sender {
        instance: &instance,
        address: address(number),
        data_centre: &DataCentreId::new("dc"),
    };
    let reception = peers.accept_message(sender, message_number, ms(at_ms));
    matches!(reception, Reception::Newest | Reception::NewProcess)
}

fn start_round(peers: &mut Peers, at_ms: u64) -> Vec<SocketAddr> {
    let mut rng = fastrand::Rng::with_seed(1);
    let recipients = peers.start_round(&DataCentreId::new("dc"), &mut rng, ms(at_ms));
    recipients
        .iter()
        .map(|recipient| recipient.address)
        .collect()
}

#[test]
fn a_peer_counts_as_alive_until_its_messages_stop() {
    let mut peers = Peers::default();
    peers.add_address(address(1), ms(0));
    assert_eq!(peers.alive_count(ms(0)), 0);
    assert!(receive(&mut peers, 1, message_number(1, 1), 100));
    assert_eq!(peers.alive_count(ms(3_000)), 1);
    assert_eq!(peers.alive_count(ms(3_200)), 0);
}

#[test]
fn a_message_with_an_older_or_repeated_number_is_rejected() {
    let mut peers = Peers::default();
    assert!(receive(&mut peers, 1, message_number(5, 2), 0));
    assert!(!receive(&mut peers, 1, message_number(5, 1), 5));
    assert!(!receive(&mut peers, 1, message_number(5, 2), 5));
    assert!(!receive(&mut peers, 1, message_number(4, 9), 5));
    assert!(receive(&mut peers, 1, message_number(6, 1), 6));
}

#[test]
fn a_restarted_instance_whose_clock_was_set_back_is_accepted_again() {
    let mut peers = Peers::default();
    assert!(receive(&mut peers, 1, message_number(9_000, 700), 0));
    assert!(!receive(&mut peers, 1, message_number(4_000, 1), 400));
    assert!(receive(&mut peers, 1, message_number(4_000, 9), 1_200));
    assert!(receive(&mut peers, 1, message_number(4_000, 10), 1_225));
    assert_eq!(peers.alive_count(ms(1_300)), 1);
}

#[test]
fn a_peer_that_was_silent_for_minutes_still_gets_messages() {
    let mut peers = Peers::default();
    receive(&mut peers, 1, message_number(1, 1), 0);
    let rounds_with_recipients = |peers: &mut Peers, from_ms: u64, to_ms: u64| {
        let rounds = (from_ms..to_ms).step_by(400);
        rounds
            .filter(|at| !start_round(peers, *at).is_empty())
            .count()
    };
    assert_eq!(rounds_with_recipients(&mut peers, 0, 4_000), 10);
    let while_silent = rounds_with_recipients(&mut peers, 300_000, 360_000);
    assert!(
        (10..=13).contains(&while_silent),
        "expected 10 to 13 messages to a silent peer in 60 s, got {while_silent}"
    );
    receive(&mut peers, 1, message_number(1, 2), 360_000);
    assert_eq!(rounds_with_recipients(&mut peers, 360_000, 364_000), 10);
}

#[test]
fn rounds_with_a_bounded_fanout_reach_every_peer() {
    let mut peers = Peers::default();
    for number in 0..100 {
        peers.add_address(address(number), ms(0));
    }
    let mut recipients: Vec<SocketAddr> = (0..5)
        .flat_map(|round| start_round(&mut peers, round))
        .collect();
    assert_eq!(recipients.len(), 200);
    recipients.sort();
    recipients.dedup();
    assert_eq!(recipients.len(), 100);
}

/// Peers in data centres of the given sizes, all heard of at 0 ms. The first data
/// centre is that of the sender.
fn peers_in(sizes: &[usize]) -> (Peers, Vec<DataCentreId>) {
    let mut peers = Peers::default();
    let data_centres: Vec<DataCentreId> = (0..sizes.len())
        .map(|number| DataCentreId::new(format!("dc{number}")))
        .collect();
    for (number, size) in sizes.iter().enumerate() {
        for index in 0..*size {
            let instance = InstanceId::new(format!("i{number}-{index}"));
            let sender = Sender {
                instance: &instance,
                address: SocketAddr::from(([10, 0, number as u8, index as u8], 8_000)),
                data_centre: &data_centres[number],
            };
            peers.accept_message(sender, message_number(1, 1), ms(0));
        }
    }
    (peers, data_centres)
}

/// Data centre of an address of [`peers_in`].
fn data_centre_number(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[2],
        SocketAddr::V6(_) => unreachable!("the tests use IPv4"),
    }
}

/// Pattern: 118 instances in five data centres. A message crosses each link between two
/// data centres once, and every instance gets it.
#[test]
fn a_change_reaches_every_instance_and_crosses_each_link_once() {
    let (peers, data_centres) = peers_in(&[25, 21, 26, 20, 25]);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut forwarders: Vec<SocketAddr> = Vec::new();
    for _ in 0..50 {
        let recipients = peers.change_recipients(&data_centres[0], &mut rng, ms(10));
        let (forwarding, direct): (Vec<Recipient>, Vec<Recipient>) =
            recipients.iter().partition(|recipient| recipient.forwards);
        assert_eq!(direct.len(), 25);
        assert!(direct.iter().all(|r| data_centre_number(r.address) == 0));
        let mut reached: Vec<u8> = Vec::new();
        for recipient in &forwarding {
            let number = data_centre_number(recipient.address);
            let data_centre = &data_centres[usize::from(number)];
            let forwarded_to = peers.forward_recipients(data_centre, ms(10));
            assert!(forwarded_to.contains(&recipient.address));
            reached.extend(
                forwarded_to
                    .iter()
                    .map(|address| data_centre_number(*address)),
            );
            forwarders.push(recipient.address);
        }
        assert_eq!(forwarding.len(), 4);
        assert_eq!(reached.len(), 21 + 26 + 20 + 25);
    }
    forwarders.sort();
    forwarders.dedup();
    assert!(
        forwarders.len() > 50,
        "the same {} peers forward all messages",
        forwarders.len()
    );
}

/// Pattern: five instances in three data centres. No message depends on a forwarder.
#[test]
fn small_data_centres_get_messages_without_a_forwarder() {
    let (peers, data_centres) = peers_in(&[1, 2, 4]);
    let mut rng = fastrand::Rng::with_seed(7);
    let recipients = peers.change_recipients(&data_centres[0], &mut rng, ms(10));
    assert_eq!(recipients.len(), 7);
    assert!(recipients.iter().all(|recipient| !recipient.forwards));
}

/// Guards against losing all messages to a data centre in which few instances are
/// heard: those that are silent forward none.
#[test]
fn a_silent_peer_forwards_no_messages() {
    let (mut peers, data_centres) = peers_in(&[3, 12]);
    for index in 0..5 {
        let instance = InstanceId::new(format!("i1-{index}"));
        let sender = Sender {
            instance: &instance,
            address: SocketAddr::from(([10, 0, 1, index], 8_000)),
            data_centre: &data_centres[1],
        };
        peers.accept_message(sender, message_number(1, 2), ms(1_500));
    }
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let recipients = peers.change_recipients(&data_centres[0], &mut rng, ms(1_600));
        let forwarder = recipients.iter().find(|recipient| recipient.forwards);
        let SocketAddr::V4(address) = forwarder.unwrap().address else {
            unreachable!("the tests use IPv4");
        };
        assert!(
            address.ip().octets()[3] < 5,
            "{address} forwards although it is silent"
        );
    }
}

#[test]
fn a_message_that_was_overtaken_is_late_and_not_outdated() {
    let mut peers = Peers::default();
    let instance = InstanceId::new("i1");
    let data_centre = DataCentreId::new("dc");
    let mut accept = |incarnation, sequence, at_ms| {
        let sender = Sender {
            instance: &instance,
            address: address(1),
            data_centre: &data_centre,
        };
        peers.accept_message(sender, message_number(incarnation, sequence), ms(at_ms))
    };
    assert_eq!(accept(5, 2, 0), Reception::NewProcess);
    assert_eq!(accept(5, 4, 1), Reception::Newest);
    assert_eq!(accept(5, 3, 2), Reception::Late);
    assert_eq!(accept(6, 1, 3), Reception::NewProcess);
    assert_eq!(accept(5, 5, 4), Reception::Outdated);
}

/// Guards against an instance that takes itself for the only one after a restart of all:
/// it has the addresses of its peers, but no message yet.
#[test]
fn peers_whose_addresses_were_just_found_are_expected_and_greeted_at_once() {
    let mut peers = Peers::default();
    for number in 0..130 {
        peers.add_address(address(number), ms(0));
    }
    assert_eq!(peers.alive_count(ms(100)), 0);
    assert_eq!(peers.expected_count(ms(100)), 130);
    let in_round = start_round(&mut peers, 100).len();
    assert_eq!(in_round + peers.take_new(ms(100)).len(), 130);
    assert!(peers.take_new(ms(500)).is_empty());
    assert!(receive(&mut peers, 0, message_number(1, 1), 3_000));
    assert_eq!(peers.expected_count(ms(3_100)), 1);
    // What a peer that is not heard has placed is unknown since the start.
    let unreported = |heard, unheard| {
        let time_since_start = Duration::from_millis(200);
        unreported_streams(10.0, heard, unheard, time_since_start)
    };
    assert!((unreported(0, 130) - 260.0).abs() < 1.0);
    assert!(unreported(130, 0) < 10.0);
}
