//! Placement of single requests.

use std::{collections::BTreeSet, time::Duration};

use cyclamengauge_core::{
    ids::{DataCentreId, EngineId, ServiceId},
    serving::{
        placement::{PlacementError, PlacementRequest, choose},
        targets::{Outcome, TargetFacts, Targets, limits::LimitStatement},
    },
    units::{RequestsPerSecond, Tokens},
};

use crate::fleet::{ENGINES, facts, id, model, ms, place, placement_request, send, targets};

#[test]
fn short_streams_are_packed_on_few_engines() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut used = BTreeSet::new();
    for n in 0..24 {
        let now = ms(n * 50);
        let (placement, in_flight_id) = send(&mut targets, 5_000, &mut rng, now);
        targets.record_first_event(in_flight_id);
        used.insert(placement.target.clone());
    }
    assert!(
        used.len() <= 3,
        "24 short streams on {} engines, expected at most 3",
        used.len()
    );
}

#[test]
fn no_engine_exceeds_its_slots_while_other_engines_have_free_slots() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(2);
    for n in 0..(ENGINES as u64 * 15) {
        let (_, in_flight_id) = send(&mut targets, 5_000, &mut rng, ms(n * 10));
        targets.record_first_event(in_flight_id);
    }
    let now = ms(10_000);
    let requests = (0..ENGINES).map(|n| targets.load(&id(n), now).requests);
    let max_requests = requests.max().unwrap();
    assert!(
        max_requests <= model().slots,
        "{max_requests} streams on one engine, above its slots"
    );
}

#[test]
fn a_long_prompt_is_split_over_engines_without_short_streams() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut short_engines = BTreeSet::new();
    for n in 0..24 {
        let (placement, in_flight_id) = send(&mut targets, 5_000, &mut rng, ms(n * 50));
        targets.record_first_event(in_flight_id);
        short_engines.insert(placement.target.clone());
    }
    let placement = place(&targets, 210_000, &mut rng, ms(1_300)).unwrap();
    let engines: BTreeSet<_> = placement.parts.iter().map(|p| p.target.clone()).collect();
    assert!(
        engines.is_disjoint(&short_engines),
        "long prompt on {engines:?}, short streams on {short_engines:?}"
    );
    assert!(
        placement.estimate.as_millis() < 1_000,
        "estimate is {:?}, expected less than 1 s",
        placement.estimate
    );
    assert_eq!(
        engines.len(),
        placement.parts.len(),
        "one engine has several parts"
    );
}

#[test]
fn all_instances_pack_short_streams_on_the_same_engines() {
    let mut used = BTreeSet::new();
    for seed in 0..5 {
        let mut targets = targets();
        let mut rng = fastrand::Rng::with_seed(seed);
        for n in 0..4 {
            let (placement, _) = send(&mut targets, 5_000, &mut rng, ms(n * 100));
            used.insert(placement.target.clone());
        }
    }
    assert!(
        used.len() <= 2,
        "short streams on {used:?}, expected at most 2 engines"
    );
}

#[test]
fn a_prompt_larger_than_one_engine_is_held_by_several() {
    let mut rng = fastrand::Rng::with_seed(4);
    let placement = place(&targets(), 1_000_000, &mut rng, ms(0)).unwrap();
    let memory: Tokens = placement.parts.iter().map(|part| part.memory).sum();
    assert_eq!(memory, Tokens(1_001_600));
    let max_tokens = placement.parts.iter().map(|part| part.memory.0).max();
    assert!(
        max_tokens <= Some(model().memory.0),
        "{max_tokens:?} tokens on one engine, above its memory"
    );
    let reserved: u64 = placement.helpers.iter().map(|h| h.memory.0).sum();
    assert_eq!(reserved + placement.parts[0].memory.0, memory.0);
    assert!(placement.helpers.len() <= 16);
}

#[test]
fn a_prompt_that_fits_one_engine_needs_no_reservation() {
    let mut rng = fastrand::Rng::with_seed(5);
    let placement = place(&targets(), 210_000, &mut rng, ms(0)).unwrap();
    assert!(placement.helpers.iter().all(|h| h.memory == Tokens(0)));
}

#[test]
fn a_prompt_without_enough_free_memory_is_not_placed() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(6);
    let mut sent = 0;
    while let Ok(placement) = place(&targets, 1_000_000, &mut rng, ms(0)) {
        targets.begin(placement.parts, placement.stream, ms(0));
        sent += 1;
    }
    assert!(
        (6..=8).contains(&sent),
        "{sent} prompts of 1,000,000 tokens placed, expected 6 to 8"
    );
    let result = place(&targets, 1_000_000, &mut rng, ms(0));
    assert_eq!(result.unwrap_err(), PlacementError::NoMemory);
}

#[test]
fn a_prompt_larger_than_all_engines_is_refused() {
    let mut rng = fastrand::Rng::with_seed(7);
    let result = place(&targets(), 9_000_000, &mut rng, ms(0));
    assert_eq!(result.unwrap_err(), PlacementError::TooLong);
}

#[test]
fn excluded_targets_are_not_chosen() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut request = placement_request(5_000);
    for _ in 0..ENGINES {
        let placement = choose(&targets(), &request, Some(&model()), &mut rng, ms(0)).unwrap();
        assert!(!request.excluded.contains(&placement.target));
        request.excluded.push(placement.target);
    }
    let result = choose(&targets(), &request, Some(&model()), &mut rng, ms(0));
    assert_eq!(result.unwrap_err(), PlacementError::NoTarget);
}

fn plain_targets() -> Targets {
    let mut targets = Targets::default();
    for number in 0..3 {
        let facts = TargetFacts {
            service: ServiceId::new("desk"),
            slots: 6,
            ..facts(number)
        };
        targets.upsert(facts, ms(0));
    }
    targets
}

fn plain_request() -> PlacementRequest {
    PlacementRequest {
        service: ServiceId::new("desk"),
        data_centre: DataCentreId::new("dc0"),
        stream: None,
        instances: 5,
        unreported_streams: 0.0,
        excluded: Vec::new(),
    }
}

#[test]
fn a_failing_plain_target_gets_few_requests() {
    let mut targets = plain_targets();
    let mut rng = fastrand::Rng::with_seed(9);
    let mut failed_requests = 0;
    for n in 0..300 {
        let now = ms(n * 100);
        let placement = choose(&targets, &plain_request(), None, &mut rng, now).unwrap();
        let is_failing = placement.target == id(0);
        failed_requests += u32::from(is_failing);
        let in_flight_id = targets.begin(placement.parts, None, now);
        let outcome = match is_failing {
            true => Outcome::Failed,
            false => Outcome::Served,
        };
        targets.record_end(in_flight_id, outcome, now);
    }
    assert!(
        failed_requests <= 30,
        "{failed_requests} of 300 requests on the failing target, expected at most 30"
    );
}

#[test]
fn plain_requests_spread_by_load() {
    let mut targets = plain_targets();
    let mut rng = fastrand::Rng::with_seed(10);
    for _ in 0..18 {
        let placement = choose(&targets, &plain_request(), None, &mut rng, ms(0)).unwrap();
        targets.begin(placement.parts, None, ms(0));
    }
    for number in 0..3 {
        let requests = targets.load(&id(number), ms(0)).requests;
        assert!(
            (5..=7).contains(&requests),
            "{requests} requests on target {number}, expected 5 to 7"
        );
    }
}

#[test]
fn a_placement_lists_the_runners_up_by_cost() {
    let targets = targets();
    let mut rng = fastrand::Rng::with_seed(3);
    for prompt in [5_000, 45_000, 210_000] {
        let placement = place(&targets, prompt, &mut rng, ms(0)).unwrap();
        let runners_up = placement.runners_up;
        assert_eq!(runners_up.len(), 2);
        assert!(
            runners_up
                .iter()
                .all(|runner_up| runner_up.target != placement.target)
        );
        assert!(runners_up[0].excess_cost >= 0.0);
        assert!(runners_up[1].excess_cost >= runners_up[0].excess_cost);
    }
}

/// Guards against a part of a split prompt, a retry or a resumed stream that does not count
/// against the limit of its target, and against a limit that is exceeded as no other target
/// is left.
#[test]
fn targets_whose_limits_are_reached_get_no_part_of_a_prompt() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut targets = targets();
    let statement = LimitStatement::Limited(RequestsPerSecond(1.0));
    for number in 0..ENGINES {
        let limits = &mut targets.limits;
        limits.record_answer(&id(number), statement, ms(0), ms(0));
    }
    // Each attempt is sent to the targets that are left, with all parts of the prompt.
    let mut used: BTreeSet<EngineId> = BTreeSet::new();
    let wait = loop {
        match place(&targets, 210_000, &mut rng, ms(10)) {
            Ok(placement) => {
                for part in &placement.parts {
                    used.insert(part.target.clone());
                }
                targets.begin(placement.parts, placement.stream, ms(10));
            }
            Err(PlacementError::AtLimit(wait)) => break wait,
            Err(error) => panic!("{error:?}"),
        }
    };
    assert_eq!(used.len(), ENGINES);
    // The time after which the promise can be kept.
    assert!(wait > Duration::ZERO && wait <= Duration::from_secs(1));
    assert!(place(&targets, 2_000, &mut rng, ms(9) + wait).is_err());
    assert!(place(&targets, 2_000, &mut rng, ms(11) + wait).is_ok());
}
