//! Which targets may be used, and what runs there.

use std::{collections::HashMap, time::Duration};

use cyclamengauge_core::{
    ids::{InstanceId, ServiceId},
    serving::targets::{Load, Outcome, Part, StreamTraits, TargetFacts, Targets},
    units::Tokens,
};

use crate::fleet::{ENGINES, facts, id, ms, targets};

fn usable(targets: &Targets, at_ms: u64) -> usize {
    targets
        .usable(&ServiceId::new("engines"), &[], ms(at_ms))
        .len()
}

fn part(number: usize, read_ms: u64) -> Part {
    Part {
        target: id(number),
        prefill_time: Duration::from_millis(read_ms),
        memory: Tokens(5_000),
    }
}

const TRAITS: StreamTraits = StreamTraits {
    gap: Duration::from_millis(200),
    value: 1.0,
};

#[test]
fn a_draining_target_takes_nothing_new() {
    let mut targets = targets();
    let draining = TargetFacts {
        draining: true,
        ..facts(3)
    };
    targets.upsert(draining, ms(10));
    assert_eq!(usable(&targets, 10), ENGINES - 1);
}

#[test]
fn an_entry_that_lapsed_with_the_store_has_time_to_come_back() {
    let mut targets = targets();
    targets.schedule_removal(&id(1), Duration::from_millis(2_000), ms(0));
    targets.schedule_removal(&id(2), Duration::from_millis(2_000), ms(0));
    assert_eq!(usable(&targets, 1_900), ENGINES);
    targets.upsert(facts(1), ms(1_900));
    assert_eq!(usable(&targets, 2_100), ENGINES - 1);
}

#[test]
fn an_entry_that_is_removed_again_gains_no_time() {
    let mut targets = targets();
    targets.schedule_removal(&id(1), Duration::ZERO, ms(0));
    targets.schedule_removal(&id(1), Duration::from_millis(2_000), ms(10));
    assert_eq!(usable(&targets, 20), ENGINES - 1);
}

#[test]
fn a_silent_target_is_left_out_for_longer_each_time() {
    let mut targets = targets();
    let mut now_ms = 0;
    let mut spans = Vec::new();
    for _ in 0..6 {
        targets.record_outcome(&id(1), Outcome::Silent, ms(now_ms));
        let start_ms = now_ms;
        while usable(&targets, now_ms) < ENGINES {
            now_ms += 100;
        }
        spans.push(now_ms - start_ms);
    }
    assert!(spans.is_sorted(), "{spans:?}");
    assert!(spans[0] <= 1_000 && spans[5] <= 6_000, "{spans:?}");
}

#[test]
fn a_target_that_refuses_with_room_is_left_out_at_every_instance() {
    let mut here = targets();
    let mut there = targets();
    here.record_outcome(&id(7), Outcome::Leaving, ms(0));
    for (id, rest) in here.leaving(ms(100)) {
        there.record_peer_leaving(&id, rest, ms(100));
    }
    assert_eq!(usable(&here, 4_000), ENGINES - 1);
    assert_eq!(usable(&there, 4_000), ENGINES - 1);
    assert_eq!(usable(&there, 5_100), ENGINES);
}

#[test]
fn if_all_are_silent_all_are_tried() {
    let mut targets = targets();
    for number in 0..ENGINES {
        targets.record_outcome(&id(number), Outcome::Silent, ms(0));
    }
    assert_eq!(usable(&targets, 1), ENGINES);
}

#[test]
fn a_new_start_under_the_same_id_is_a_clean_one() {
    let mut targets = targets();
    targets.record_outcome(&id(1), Outcome::Silent, ms(0));
    let again = TargetFacts {
        started_unix_ms: 2,
        ..facts(1)
    };
    targets.upsert(again, ms(1));
    assert_eq!(usable(&targets, 1), ENGINES);
}

#[test]
fn helpers_are_free_once_the_answer_has_begun() {
    let mut targets = targets();
    let parts = vec![part(0, 300), part(1, 300)];
    let flight = targets.begin(parts, Some(TRAITS), ms(0));
    assert_eq!(
        targets.load(&id(1), ms(0)).backlog,
        Duration::from_millis(300)
    );
    targets.record_first_event(flight);
    assert_eq!(targets.load(&id(1), ms(100)).requests, 0);
    let lead = targets.load(&id(0), ms(100));
    assert_eq!((lead.requests, lead.decoding_streams), (1, 1));
    targets.record_end(flight, Outcome::Served, ms(200));
    assert_eq!(targets.load(&id(0), ms(200)), Load::default());
}

#[test]
fn only_the_slowest_member_counts_as_behind() {
    let mut targets = targets();
    targets.begin(vec![part(0, 1_000)], Some(TRAITS), ms(0));
    targets.begin(vec![part(0, 100), part(1, 100)], Some(TRAITS), ms(0));
    // The second flight waits for engine 0; engine 1 has done its part.
    let late = ms(1_500);
    assert_eq!(targets.load(&id(1), late).backlog, Duration::ZERO);
    assert!(targets.load(&id(0), late).backlog > Duration::from_millis(500));
}

#[test]
fn loads_of_a_silent_peer_stop_counting() {
    let mut targets = targets();
    let load = Load {
        requests: 3,
        backlog: Duration::from_millis(500),
        ..Load::default()
    };
    let loads = HashMap::from([(id(4), load)]);
    targets.set_peer_loads(InstanceId::new("peer"), loads, ms(0));
    assert_eq!(targets.load(&id(4), ms(100)).requests, 3);
    assert_eq!(
        targets.load(&id(4), ms(100)).backlog,
        Duration::from_millis(400)
    );
    assert_eq!(targets.load(&id(4), ms(3_000)).requests, 0);
}

#[test]
fn a_target_that_is_gone_is_kept_while_a_request_runs_there() {
    let mut targets = targets();
    let flight = targets.begin(vec![part(5, 20)], Some(TRAITS), ms(0));
    targets.schedule_removal(&id(5), Duration::ZERO, ms(1));
    targets.remove_expired(ms(2));
    assert!(targets.get(&id(5)).is_some());
    targets.record_end(flight, Outcome::Served, ms(3));
    targets.remove_expired(ms(4));
    assert!(targets.get(&id(5)).is_none());
}

#[test]
fn a_slot_of_a_busy_target_is_free_after_its_part_of_the_usual_time() {
    let mut targets = targets();
    let service = ServiceId::new("engines");
    assert_eq!(targets.expected_slot_wait(&service), None);
    for number in 0..50 {
        let flight = targets.begin(vec![part(number % ENGINES, 20)], Some(TRAITS), ms(0));
        targets.record_end(flight, Outcome::Served, ms(1_600));
    }
    // 16 slots, 1.6 s each.
    let time = targets.expected_slot_wait(&service).unwrap();
    assert_eq!(time.as_millis(), 100);
    let failed = targets.begin(vec![part(0, 20)], Some(TRAITS), ms(0));
    targets.record_end(failed, Outcome::Failed, ms(60_000));
    assert_eq!(
        targets.expected_slot_wait(&service).unwrap().as_millis(),
        100
    );
}

#[test]
fn loads_of_all_targets_are_those_of_each() {
    let mut targets = targets();
    let flight = targets.begin(vec![part(1, 40), part(2, 60)], Some(TRAITS), ms(0));
    targets.record_first_event(flight);
    targets.begin(vec![part(2, 80)], Some(TRAITS), ms(10));
    for (peer, told_ms) in [("a", 0), ("b", 1_000)] {
        let load = Load {
            requests: 3,
            backlog: Duration::from_millis(90),
            ..Load::default()
        };
        let loads = HashMap::from([(id(2), load), (id(3), load)]);
        targets.set_peer_loads(InstanceId::new(peer), loads, ms(told_ms));
    }
    for now in [ms(20), ms(1_020), ms(2_500), ms(9_000)] {
        let all = targets.loads(now);
        for number in 0..ENGINES {
            let load = all.get(&id(number)).copied().unwrap_or_default();
            assert_eq!(load, targets.load(&id(number), now), "target {number}");
        }
    }
}
