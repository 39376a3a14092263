//! Which peers count as alive, and which ones get the next gossip message.

use std::net::SocketAddr;

use cyclamengauge_core::{
    ids::InstanceId,
    serving::peers::{MessageNumber, Peers},
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
    peers.accept_message(&instance, address(number), message_number, ms(at_ms))
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
            .filter(|at| !peers.start_round(ms(*at)).is_empty())
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
        .flat_map(|start_round| peers.start_round(ms(start_round)))
        .collect();
    assert_eq!(recipients.len(), 200);
    recipients.sort();
    recipients.dedup();
    assert_eq!(recipients.len(), 100);
}
