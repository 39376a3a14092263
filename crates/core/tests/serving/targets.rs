//! Usable targets and their load.

use std::{collections::HashMap, time::Duration};

use cyclamengauge_core::{
    ids::{EngineId, InstanceId, ServiceId},
    serving::targets::{
        Load, LoadReport, Outcome, Part, StreamTraits, TargetFacts, Targets, limits::LimitStatement,
    },
    units::{RequestsPerSecond, Tokens},
};

use crate::fleet::{ENGINES, address, facts, id, ms, targets};

fn usable_count(targets: &Targets, at_ms: u64) -> usize {
    targets
        .usable(&ServiceId::new("engines"), &[], ms(at_ms))
        .len()
}

fn part(number: usize, prefill_ms: u64) -> Part {
    Part {
        target: id(number),
        prefill_time: Duration::from_millis(prefill_ms),
        memory: Tokens(5_000),
    }
}

/// Merges a peer's report with the given number.
fn report(
    targets: &mut Targets,
    peer: &str,
    sequence: u64,
    is_complete: bool,
    loads: HashMap<EngineId, Load>,
    at_ms: u64,
) {
    let report = LoadReport {
        sequence,
        is_complete,
        loads,
    };
    targets.merge_peer_loads(&InstanceId::new(peer), &report, ms(at_ms));
}

/// Loads with a number of requests for each target.
fn requests(loads: &[(usize, u32)]) -> HashMap<EngineId, Load> {
    let load = |requests| Load {
        requests,
        ..Load::default()
    };
    let loads = loads.iter().map(|(n, requests)| (id(*n), load(*requests)));
    loads.collect()
}

const TRAITS: StreamTraits = StreamTraits {
    gap: Duration::from_millis(200),
    value: 1.0,
};

#[test]
fn a_draining_target_gets_no_new_requests() {
    let mut targets = targets();
    let draining = TargetFacts {
        draining: true,
        ..facts(3)
    };
    targets.upsert(draining, ms(10));
    assert_eq!(usable_count(&targets, 10), ENGINES - 1);
}

#[test]
fn a_target_whose_entry_lapsed_stays_usable_for_its_linger_time() {
    let mut targets = targets();
    targets.schedule_removal(&id(1), Duration::from_millis(2_000), ms(0));
    targets.schedule_removal(&id(2), Duration::from_millis(2_000), ms(0));
    assert_eq!(usable_count(&targets, 1_900), ENGINES);
    targets.upsert(facts(1), ms(1_900));
    assert_eq!(usable_count(&targets, 2_100), ENGINES - 1);
}

#[test]
fn a_second_removal_does_not_extend_the_linger_time() {
    let mut targets = targets();
    targets.schedule_removal(&id(1), Duration::ZERO, ms(0));
    targets.schedule_removal(&id(1), Duration::from_millis(2_000), ms(10));
    assert_eq!(usable_count(&targets, 20), ENGINES - 1);
}

#[test]
fn the_exclusion_of_an_unresponsive_target_grows_up_to_a_limit() {
    let mut targets = targets();
    let mut now_ms = 0;
    let mut exclusions_ms = Vec::new();
    for _ in 0..6 {
        targets.record_outcome(&id(1), Outcome::Silent, ms(now_ms));
        let start_ms = now_ms;
        while usable_count(&targets, now_ms) < ENGINES {
            now_ms += 100;
        }
        exclusions_ms.push(now_ms - start_ms);
    }
    assert!(
        exclusions_ms.is_sorted(),
        "expected growing exclusions, got {exclusions_ms:?} ms"
    );
    assert!(
        exclusions_ms[0] <= 1_000 && exclusions_ms[5] <= 6_000,
        "expected at most 1000 ms at first and 6000 ms at last, got {exclusions_ms:?} ms"
    );
}

#[test]
fn a_target_that_refuses_with_room_is_excluded_at_every_instance() {
    let mut local_targets = targets();
    let mut peer_targets = targets();
    local_targets.record_outcome(&id(7), Outcome::Leaving, ms(0));
    for (id, remaining) in local_targets.leaving(ms(100)) {
        peer_targets.record_peer_leaving(&id, remaining, ms(100));
    }
    assert_eq!(usable_count(&local_targets, 4_000), ENGINES - 1);
    assert_eq!(usable_count(&peer_targets, 4_000), ENGINES - 1);
    assert_eq!(usable_count(&peer_targets, 5_100), ENGINES);
}

#[test]
fn if_all_targets_are_suspect_all_are_usable() {
    let mut targets = targets();
    for number in 0..ENGINES {
        targets.record_outcome(&id(number), Outcome::Silent, ms(0));
    }
    assert_eq!(usable_count(&targets, 1), ENGINES);
}

#[test]
fn a_restart_under_the_same_id_ends_the_exclusion() {
    let mut targets = targets();
    targets.record_outcome(&id(1), Outcome::Silent, ms(0));
    let restarted = TargetFacts {
        started_unix_ms: 2,
        ..facts(1)
    };
    targets.upsert(restarted, ms(1));
    assert_eq!(usable_count(&targets, 1), ENGINES);
}

#[test]
fn helpers_have_no_load_after_the_first_event() {
    let mut targets = targets();
    let parts = vec![part(0, 300), part(1, 300)];
    let in_flight_id = targets.begin(parts, Some(TRAITS), ms(0));
    assert_eq!(
        targets.load(&id(1), ms(0)).backlog,
        Duration::from_millis(300)
    );
    targets.record_first_event(in_flight_id);
    assert_eq!(targets.load(&id(1), ms(100)).requests, 0);
    let lead = targets.load(&id(0), ms(100));
    assert_eq!((lead.requests, lead.decoding_streams), (1, 1));
    targets.record_end(in_flight_id, Outcome::Served, ms(200));
    assert_eq!(targets.load(&id(0), ms(200)), Load::default());
}

#[test]
fn only_the_part_prefilled_last_counts_as_overdue() {
    let mut targets = targets();
    targets.begin(vec![part(0, 1_000)], Some(TRAITS), ms(0));
    targets.begin(vec![part(0, 100), part(1, 100)], Some(TRAITS), ms(0));
    // The second request waits for engine 0; engine 1 has prefilled its part.
    let overdue_at = ms(1_500);
    assert_eq!(targets.load(&id(1), overdue_at).backlog, Duration::ZERO);
    assert!(targets.load(&id(0), overdue_at).backlog > Duration::from_millis(500));
}

#[test]
fn loads_of_a_silent_peer_expire() {
    let mut targets = targets();
    let load = Load {
        requests: 3,
        backlog: Duration::from_millis(500),
        ..Load::default()
    };
    let loads = HashMap::from([(id(4), load)]);
    report(&mut targets, "peer", 1, true, loads, 0);
    assert_eq!(targets.load(&id(4), ms(100)).requests, 3);
    assert_eq!(
        targets.load(&id(4), ms(100)).backlog,
        Duration::from_millis(400)
    );
    assert_eq!(targets.load(&id(4), ms(3_000)).requests, 0);
}

#[test]
fn a_removed_target_is_kept_while_it_has_a_request_in_flight() {
    let mut targets = targets();
    let in_flight_id = targets.begin(vec![part(5, 20)], Some(TRAITS), ms(0));
    targets.schedule_removal(&id(5), Duration::ZERO, ms(1));
    targets.remove_expired(ms(2));
    assert!(targets.get(&id(5)).is_some());
    targets.record_end(in_flight_id, Outcome::Served, ms(3));
    targets.remove_expired(ms(4));
    assert!(targets.get(&id(5)).is_none());
}

#[test]
fn the_expected_slot_wait_is_the_mean_duration_divided_by_the_slots() {
    let mut targets = targets();
    let service = ServiceId::new("engines");
    assert_eq!(targets.expected_slot_wait(&service), None);
    for number in 0..50 {
        let in_flight_id = targets.begin(vec![part(number % ENGINES, 20)], Some(TRAITS), ms(0));
        targets.record_end(in_flight_id, Outcome::Served, ms(1_600));
    }
    // 16 slots, 1.6 s per request.
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
fn loads_of_all_targets_equal_the_load_of_each() {
    let mut targets = targets();
    let in_flight_id = targets.begin(vec![part(1, 40), part(2, 60)], Some(TRAITS), ms(0));
    targets.record_first_event(in_flight_id);
    targets.begin(vec![part(2, 80)], Some(TRAITS), ms(10));
    for (peer, received_ms) in [("a", 0), ("b", 1_000)] {
        let load = Load {
            requests: 3,
            backlog: Duration::from_millis(90),
            ..Load::default()
        };
        let loads = HashMap::from([(id(2), load), (id(3), load)]);
        report(&mut targets, peer, 1, true, loads, received_ms);
    }
    for now in [ms(20), ms(1_020), ms(2_500), ms(9_000)] {
        let all = targets.loads(now);
        for number in 0..ENGINES {
            let load = all.get(&id(number)).copied().unwrap_or_default();
            assert_eq!(
                load,
                targets.load(&id(number), now),
                "load of target {number} at {now:?}"
            );
        }
    }
}

#[test]
fn reported_changes_are_merged_with_the_other_loads_of_a_peer() {
    let mut targets = targets();
    report(&mut targets, "a", 1, true, requests(&[(1, 2), (2, 3)]), 0);
    report(&mut targets, "a", 2, false, requests(&[(2, 0), (3, 1)]), 5);
    let counts = |targets: &Targets| [1, 2, 3].map(|n| targets.load(&id(n), ms(10)).requests);
    assert_eq!(counts(&targets), [2, 0, 1]);
    report(&mut targets, "a", 3, true, requests(&[(3, 4)]), 10);
    assert_eq!(counts(&targets), [0, 0, 4]);
    targets.forget_peer(&InstanceId::new("a"), ms(0));
    assert_eq!(counts(&targets), [0, 0, 0]);
}

/// Pattern: a forwarded report is overtaken by later ones.
#[test]
fn reports_in_any_order_give_the_same_loads() {
    let reports = [
        (1, true, requests(&[(1, 1), (2, 1)])),
        (2, false, requests(&[(1, 2), (3, 1)])),
        (3, false, requests(&[(2, 0)])),
        (4, true, requests(&[(1, 2), (4, 1)])),
        (5, false, requests(&[(4, 0), (3, 2)])),
    ];
    for seed in 0..200 {
        let mut order: Vec<usize> = (0..reports.len()).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut order);
        let mut targets = targets();
        for index in &order {
            let (sequence, is_complete, loads) = reports[*index].clone();
            report(&mut targets, "a", sequence, is_complete, loads, 0);
        }
        let counts = [1, 2, 3, 4].map(|n| targets.load(&id(n), ms(1)).requests);
        assert_eq!(counts, [2, 0, 2, 0], "reports in the order {order:?}");
    }
}

#[test]
fn changed_loads_are_taken_once() {
    let mut targets = targets();
    let first = targets.begin(vec![part(1, 20), part(2, 20)], Some(TRAITS), ms(0));
    targets.begin(vec![part(2, 20)], Some(TRAITS), ms(0));
    let taken = |targets: &mut Targets| {
        let loads = targets.take_changed_loads(ms(1));
        let loads = loads.into_iter().map(|(id, load)| (id, load.requests));
        loads.collect::<Vec<_>>()
    };
    assert_eq!(taken(&mut targets), [(id(1), 1), (id(2), 2)]);
    assert_eq!(taken(&mut targets), []);
    targets.record_first_event(first);
    assert_eq!(taken(&mut targets), [(id(1), 1), (id(2), 1)]);
    targets.record_end(first, Outcome::Served, ms(1));
    assert_eq!(taken(&mut targets), [(id(1), 0), (id(2), 1)]);
}

/// Pattern: long prompts on engines that fall behind. Peers that took them for idle once
/// their prompts were due piled further prompts on them.
#[test]
fn a_peers_overdue_prompt_still_counts_as_backlog() {
    let mut own = targets();
    let prompt = own.begin(vec![part(1, 300), part(2, 300)], Some(TRAITS), ms(0));
    let mut other = targets();
    let changed = own.take_changed_loads(ms(1)).into_iter().collect();
    report(&mut other, "a", 1, false, changed, 1);
    // The prompt is prefilled after 300 ms, and its first event is due 200 ms later.
    for at_ms in [1, 100, 250, 400, 501, 1_500] {
        for number in [1, 2] {
            let expected = own.load(&id(number), ms(at_ms)).backlog;
            assert_eq!(
                other.load(&id(number), ms(at_ms)).backlog,
                expected,
                "backlog of target {number} at {at_ms} ms as the peer sees it"
            );
            let min_backlog_ms = match at_ms {
                0..300 => 300 - at_ms,
                300..500 => 0,
                _ => 200,
            };
            assert!(expected >= Duration::from_millis(min_backlog_ms));
        }
    }
    own.record_first_event(prompt);
    let changed = own.take_changed_loads(ms(1_500)).into_iter().collect();
    report(&mut other, "a", 2, false, changed, 1_500);
    assert_eq!(other.load(&id(1), ms(1_500)).backlog, Duration::ZERO);
}

/// Guards against a restored list that undoes what targets have said since: one drains,
/// one has left, and one has started again.
#[test]
fn entries_of_a_restored_list_do_not_undo_later_ones() {
    const ENTRY_LIFETIME: Duration = Duration::from_secs(4);
    let mut targets = targets();
    let service = facts(0).service;
    let is_usable = |targets: &Targets, number, at_ms| {
        let usable = targets.usable(&service, &[], ms(at_ms));
        usable.iter().any(|target| target.facts.id == id(number))
    };
    let restarted = TargetFacts {
        address: address(200),
        started_unix_ms: 7,
        ..facts(3)
    };
    let draining = TargetFacts {
        draining: true,
        ..facts(1)
    };
    targets.upsert(draining, ms(1_000));
    targets.schedule_removal(&id(2), Duration::ZERO, ms(1_000));
    targets.remove_expired(ms(1_500));
    targets.upsert(restarted.clone(), ms(1_500));
    let restored =
        [0, 1, 2, 3].map(|n| targets.upsert_restored(facts(n), ENTRY_LIFETIME, ms(2_000)));
    assert_eq!(restored, [None, None, Some(ENTRY_LIFETIME), None]);
    assert!(is_usable(&targets, 0, 2_000));
    assert!(!is_usable(&targets, 1, 60_000));
    assert!(!is_usable(&targets, 2, 5_900));
    assert!(is_usable(&targets, 2, 6_100));
    assert_eq!(targets.get(&id(3)).unwrap().facts, restarted);

    // A target that writes its entry again is usable at once.
    targets.upsert(facts(2), ms(2_100));
    assert!(is_usable(&targets, 2, 2_100));
}

/// Guards against a limit that a peer has reported before the target list is read, and that
/// is lost with the first entry of the target; a new process of the target has none.
#[test]
fn a_limit_is_forgotten_only_when_the_process_of_its_target_is_replaced() {
    let mut targets = Targets::default();
    let statement = LimitStatement::Limited(RequestsPerSecond(2.0));
    targets
        .limits
        .record_answer(&id(0), statement, ms(0), ms(10));
    targets.upsert(facts(0), ms(20));
    assert!(targets.limits.limit(&id(0)).is_some());
    let restarted = TargetFacts {
        started_unix_ms: 7,
        ..facts(0)
    };
    targets.upsert(restarted, ms(30));
    assert_eq!(targets.limits.limit(&id(0)), None);
}
