//! Which instances share the traffic, and which are told next.

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

fn hear(peers: &mut Peers, number: usize, message_number: MessageNumber, at_ms: u64) -> bool {
    let instance = InstanceId::new(format!("i{number}"));
    peers.accept_message(&instance, address(number), message_number, ms(at_ms))
}

#[test]
fn peers_share_the_traffic_as_long_as_they_are_heard() {
    let mut peers = Peers::default();
    peers.add_address(address(1), ms(0));
    assert_eq!(peers.alive_count(ms(0)), 0);
    assert!(hear(&mut peers, 1, message_number(1, 1), 100));
    assert_eq!(peers.alive_count(ms(3_000)), 1);
    assert_eq!(peers.alive_count(ms(3_200)), 0);
}

#[test]
fn a_message_that_was_overtaken_is_no_news() {
    let mut peers = Peers::default();
    assert!(hear(&mut peers, 1, message_number(5, 2), 0));
    assert!(!hear(&mut peers, 1, message_number(5, 1), 5));
    assert!(!hear(&mut peers, 1, message_number(5, 2), 5));
    assert!(!hear(&mut peers, 1, message_number(4, 9), 5));
    assert!(hear(&mut peers, 1, message_number(6, 1), 6));
}

#[test]
fn an_instance_whose_clock_was_set_back_is_believed_after_its_restart() {
    let mut peers = Peers::default();
    assert!(hear(&mut peers, 1, message_number(9_000, 700), 0));
    assert!(!hear(&mut peers, 1, message_number(4_000, 1), 400));
    assert!(hear(&mut peers, 1, message_number(4_000, 9), 1_200));
    assert!(hear(&mut peers, 1, message_number(4_000, 10), 1_225));
    assert_eq!(peers.alive_count(ms(1_300)), 1);
}

#[test]
fn instances_that_were_cut_off_for_minutes_find_each_other_again() {
    let mut peers = Peers::default();
    hear(&mut peers, 1, message_number(1, 1), 0);
    let told = |peers: &mut Peers, from_ms: u64, to_ms: u64| {
        let rounds = (from_ms..to_ms).step_by(400);
        rounds
            .filter(|at| !peers.start_round(ms(*at)).is_empty())
            .count()
    };
    assert_eq!(told(&mut peers, 0, 4_000), 10);
    let rarely = told(&mut peers, 300_000, 360_000);
    assert!((10..=13).contains(&rarely), "{rarely} messages in a minute");
    hear(&mut peers, 1, message_number(1, 2), 360_000);
    assert_eq!(told(&mut peers, 360_000, 364_000), 10);
}

#[test]
fn among_hundreds_each_peer_is_told_in_its_turn() {
    let mut peers = Peers::default();
    for number in 0..100 {
        peers.add_address(address(number), ms(0));
    }
    let mut told: Vec<SocketAddr> = (0..5)
        .flat_map(|start_round| peers.start_round(ms(start_round)))
        .collect();
    assert_eq!(told.len(), 200);
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 100);
}
