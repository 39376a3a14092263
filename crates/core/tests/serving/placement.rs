//! Where single requests go.

use std::collections::BTreeSet;

use cyclamengauge_core::{
    ids::{DataCentreId, ServiceId},
    serving::{
        placement::{PlacementError, PlacementRequest, choose},
        targets::{Outcome, TargetFacts, Targets},
    },
    units::Tokens,
};

use crate::fleet::{ENGINES, ask, facts, id, model, ms, place, send, targets};

#[test]
fn short_streams_gather_on_few_engines() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut used = BTreeSet::new();
    for n in 0..24 {
        let now = ms(n * 50);
        let (placement, flight) = send(&mut targets, 5_000, &mut rng, now);
        targets.started(flight);
        used.insert(placement.target.clone());
    }
    assert!(used.len() <= 3, "24 streams are on {} engines", used.len());
}

#[test]
fn no_engine_gets_more_streams_than_it_has_slots_while_others_have_some() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(2);
    for n in 0..(ENGINES as u64 * 15) {
        let (_, flight) = send(&mut targets, 5_000, &mut rng, ms(n * 10));
        targets.started(flight);
    }
    let now = ms(10_000);
    let loads = (0..ENGINES).map(|n| targets.load(&id(n), now).requests);
    let most = loads.max().unwrap();
    assert!(most <= model().slots, "{most} streams on one engine");
}

#[test]
fn a_long_prompt_is_split_and_leaves_the_short_streams_alone() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut short = BTreeSet::new();
    for n in 0..24 {
        let (placement, flight) = send(&mut targets, 5_000, &mut rng, ms(n * 50));
        targets.started(flight);
        short.insert(placement.target.clone());
    }
    let long = place(&targets, 210_000, &mut rng, ms(1_300)).unwrap();
    let engines: BTreeSet<_> = long.parts.iter().map(|p| p.target.clone()).collect();
    assert!(engines.is_disjoint(&short), "{engines:?} and {short:?}");
    assert!(long.estimate.as_millis() < 1_000, "{:?}", long.estimate);
    assert_eq!(engines.len(), long.parts.len(), "an engine appears twice");
}

#[test]
fn all_instances_leave_the_same_engines_to_long_prompts() {
    let mut used = BTreeSet::new();
    for seed in 0..5 {
        let mut targets = targets();
        let mut rng = fastrand::Rng::with_seed(seed);
        for n in 0..4 {
            let (placement, _) = send(&mut targets, 5_000, &mut rng, ms(n * 100));
            used.insert(placement.target.clone());
        }
    }
    assert!(used.len() <= 2, "{used:?}");
}

#[test]
fn a_prompt_larger_than_an_engine_has_its_memory_on_several() {
    let mut rng = fastrand::Rng::with_seed(4);
    let placement = place(&targets(), 1_000_000, &mut rng, ms(0)).unwrap();
    let memory: Tokens = placement.parts.iter().map(|part| part.memory).sum();
    assert_eq!(memory, Tokens(1_001_600));
    let most = placement.parts.iter().map(|part| part.memory.0).max();
    assert!(most <= Some(model().memory.0), "{most:?}");
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
fn a_prompt_for_which_there_is_no_memory_now_is_not_sent() {
    let mut targets = targets();
    let mut rng = fastrand::Rng::with_seed(6);
    let mut sent = 0;
    while let Ok(placement) = place(&targets, 1_000_000, &mut rng, ms(0)) {
        targets.begin(placement.parts, placement.stream, ms(0));
        sent += 1;
    }
    assert!((6..=8).contains(&sent), "{sent} of a million tokens fit");
    let refused = place(&targets, 1_000_000, &mut rng, ms(0));
    assert_eq!(refused.unwrap_err(), PlacementError::NoMemory);
}

#[test]
fn a_prompt_larger_than_the_fleet_is_refused() {
    let mut rng = fastrand::Rng::with_seed(7);
    let refused = place(&targets(), 9_000_000, &mut rng, ms(0));
    assert_eq!(refused.unwrap_err(), PlacementError::TooLong);
}

#[test]
fn targets_that_had_the_request_do_not_get_it_again() {
    let mut rng = fastrand::Rng::with_seed(8);
    let mut wanted = ask(5_000);
    for _ in 0..ENGINES {
        let placement = choose(&targets(), &wanted, Some(&model()), &mut rng, ms(0)).unwrap();
        assert!(!wanted.excluded.contains(&placement.target));
        wanted.excluded.push(placement.target);
    }
    let refused = choose(&targets(), &wanted, Some(&model()), &mut rng, ms(0));
    assert_eq!(refused.unwrap_err(), PlacementError::NoTarget);
}

fn plain_targets() -> Targets {
    let mut targets = Targets::default();
    for number in 0..3 {
        let plain = TargetFacts {
            service: ServiceId::new("desk"),
            slots: 6,
            ..facts(number)
        };
        targets.listed(plain, ms(0));
    }
    targets
}

fn plain() -> PlacementRequest {
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
fn a_plain_target_that_fails_its_requests_gets_few_of_them() {
    let mut targets = plain_targets();
    let mut rng = fastrand::Rng::with_seed(9);
    let mut at_failing = 0;
    for n in 0..300 {
        let now = ms(n * 100);
        let placement = choose(&targets, &plain(), None, &mut rng, now).unwrap();
        let failing = placement.target == id(0);
        at_failing += u32::from(failing);
        let flight = targets.begin(placement.parts, None, now);
        let outcome = match failing {
            true => Outcome::Failed,
            false => Outcome::Served,
        };
        targets.ended(flight, outcome, now);
    }
    assert!(at_failing <= 30, "{at_failing} of 300");
}

#[test]
fn plain_requests_spread_by_load() {
    let mut targets = plain_targets();
    let mut rng = fastrand::Rng::with_seed(10);
    for _ in 0..18 {
        let placement = choose(&targets, &plain(), None, &mut rng, ms(0)).unwrap();
        targets.begin(placement.parts, None, ms(0));
    }
    for number in 0..3 {
        let requests = targets.load(&id(number), ms(0)).requests;
        assert!((5..=7).contains(&requests), "{requests} at {number}");
    }
}

#[test]
fn a_placement_names_the_next_cheapest_targets() {
    let targets = targets();
    let mut rng = fastrand::Rng::with_seed(3);
    for prompt in [5_000, 45_000, 210_000] {
        let placement = place(&targets, prompt, &mut rng, ms(0)).unwrap();
        let runners_up = placement.runners_up;
        assert_eq!(runners_up.len(), 2);
        assert!(
            runners_up
                .iter()
                .all(|other| other.target != placement.target)
        );
        assert!(runners_up[0].excess_cost >= 0.0);
        assert!(runners_up[1].excess_cost >= runners_up[0].excess_cost);
    }
}
