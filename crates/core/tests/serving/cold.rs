//! Targets that are cold take few requests from all instances together.

use std::{collections::VecDeque, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{InstanceId, ServiceId},
    serving::{
        placement::{self, PlacementError, PlacementRequest},
        routes::ColdStart,
        target_list::ListVersion,
        targets::{Part, TargetFacts, Targets, evacuation::EvacuationReport, limits::LimitReport},
    },
    units::{RequestsPerSecond, Tokens},
};

use crate::fleet::{ENGINES, facts, id, ms, targets};

/// Requests per second that a cold target takes.
const COLD_PER_S: f64 = 15.0;

/// Requests above which it crashes: one and a half times that, and 5.
const CRASH_COUNT: usize = 27;

const COLD_TIME: Duration = Duration::from_secs(3);

fn service() -> ServiceId {
    ServiceId::new("engines")
}

fn cold_start() -> ColdStart {
    ColdStart {
        time: COLD_TIME,
        rate: RequestsPerSecond(COLD_PER_S),
    }
}

fn with_cold_starts(at: Instant) -> Targets {
    let mut targets = targets();
    targets.set_cold_starts([(service(), cold_start())].into_iter(), at);
    targets
}

fn restarted(number: usize, started_unix_ms: u64) -> TargetFacts {
    TargetFacts {
        started_unix_ms,
        ..facts(number)
    }
}

fn is_usable(targets: &Targets, number: usize, now: Instant) -> bool {
    let usable = targets.usable(&service(), &[], now);
    usable.iter().any(|target| target.facts.id == id(number))
}

fn send(targets: &mut Targets, number: usize, now: Instant) {
    let part = Part {
        target: id(number),
        prefill_time: Duration::ZERO,
        memory: Tokens(0),
    };
    let request = targets.begin(vec![part], None, now);
    targets.record_end(
        request,
        cyclamengauge_core::serving::targets::Outcome::Served,
        now,
    );
}

/// Sends as many requests as the target may get in `[from, to)`; returns their times.
fn flood(targets: &mut Targets, number: usize, from: u64, to: u64) -> Vec<u64> {
    let mut sent = Vec::new();
    for at in from..to {
        while is_usable(targets, number, ms(at)) && sent.len() < 10_000 {
            send(targets, number, ms(at));
            sent.push(at);
        }
    }
    sent
}

/// Most requests in any one second.
fn most_in_a_second(sent: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in sent {
        window.push_back(*at);
        while window.front().is_some_and(|first| at - first > 1_000) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most
}

#[test]
fn a_target_that_has_just_started_gets_few_requests_until_it_is_warm() {
    let mut targets = with_cold_starts(ms(60_000));
    targets.upsert(restarted(1, 9), ms(60_000));
    let sent = flood(&mut targets, 1, 60_000, 62_990);
    let most = most_in_a_second(&sent);
    assert!(most <= COLD_PER_S as usize, "{most} in a second");
    assert!(sent.len() >= 12, "{} requests", sent.len());
    // Warm again, it has no limit.
    for _ in 0..100 {
        assert!(is_usable(&targets, 1, ms(64_000)));
        send(&mut targets, 1, ms(64_000));
    }
}

#[test]
fn a_target_whose_entry_says_that_it_is_cold_gets_few_requests() {
    let mut targets = with_cold_starts(ms(60_000));
    let cold = TargetFacts {
        cold_remaining: Duration::from_secs(2),
        ..facts(1)
    };
    targets.upsert(cold, ms(60_000));
    let most = most_in_a_second(&flood(&mut targets, 1, 60_000, 61_990));
    assert!(most <= COLD_PER_S as usize, "{most} in a second");
    assert_eq!(flood(&mut targets, 1, 62_100, 62_101).len(), 10_000);
}

#[test]
fn all_targets_of_a_data_centre_that_is_taken_back_are_cold() {
    let mut targets = with_cold_starts(ms(60_000));
    let report = |number, evacuated: &[&str]| EvacuationReport {
        version: ListVersion { era: 0, number },
        evacuated: evacuated
            .iter()
            .map(cyclamengauge_core::ids::DataCentreId::new)
            .collect(),
    };
    targets.evacuations.merge(report(1, &["dc1"]), ms(60_000));
    let changes = targets.evacuations.merge(report(2, &[]), ms(70_000));
    targets.record_evacuation_changes(&changes, ms(70_000));
    let most = most_in_a_second(&flood(&mut targets, 1, 70_000, 72_990));
    assert!(most <= COLD_PER_S as usize, "{most} in a second");
    assert!(flood(&mut targets, 0, 71_000, 71_001).len() == 10_000);
}

#[test]
fn without_cold_starts_in_the_configuration_nothing_is_limited() {
    let mut targets = targets();
    let cold = TargetFacts {
        cold_remaining: Duration::from_secs(30),
        ..restarted(1, 9)
    };
    targets.upsert(cold, ms(60_000));
    assert_eq!(flood(&mut targets, 1, 60_000, 60_001).len(), 10_000);
}

#[test]
fn if_all_targets_are_cold_callers_are_refused_with_a_time_that_can_be_kept() {
    let mut targets = with_cold_starts(ms(60_000));
    for number in 0..ENGINES {
        targets.upsert(restarted(number, 9), ms(60_000));
        flood(&mut targets, number, 60_000, 60_001);
    }
    let request = PlacementRequest {
        service: service(),
        data_centre: facts(0).data_centre,
        stream: None,
        instances: 1,
        unreported_streams: 0.0,
        excluded: Vec::new(),
    };
    let mut rng = fastrand::Rng::with_seed(1);
    let refused = placement::choose(&targets, &request, None, &mut rng, ms(60_001));
    let Err(PlacementError::AtLimit(wait)) = refused else {
        panic!("{refused:?}");
    };
    assert!(wait <= Duration::from_secs(1), "{wait:?}");
    let later = ms(60_002) + wait;
    assert!(placement::choose(&targets, &request, None, &mut rng, later).is_ok());
}

/// An instance in the simulation.
struct Instance {
    name: InstanceId,
    targets: Targets,
    sequence: u64,
}

/// Requests per second that all instances together would send to the cold target: three
/// times what the users' deployment gets in all.
const OFFERED_PER_S: f64 = 300.0;

/// Counts on their way: time of arrival, recipient, sender, number and content.
type Message = (u64, usize, InstanceId, u64, Vec<LimitReport>);

/// Instances that send as many requests to one cold target as they may, and tell each other
/// their counts, a few tens of milliseconds late. They know of each other, then a cut divides
/// them into `sides` long enough ago for the others to be forgotten; no message crosses it.
/// Returns the most requests in one second of the time in which the target is cold.
fn simulate(seed: u64, count: usize, sides: usize) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let side_of: Vec<usize> = (0..count).map(|number| number % sides).collect();
    let start = |number: usize| {
        let mut targets = with_cold_starts(ms(50_000));
        targets.limits.set_peers(count as u32 - 1, 0);
        let side = side_of.iter().filter(|side| **side == side_of[number]);
        targets.limits.set_peers(side.count() as u32 - 1, 0);
        targets.upsert(restarted(1, 9), ms(60_000));
        Instance {
            name: InstanceId::new(format!("i{number}")),
            targets,
            sequence: 0,
        }
    };
    let mut instances: Vec<Instance> = (0..count).map(start).collect();
    let mut in_transit: Vec<Message> = Vec::new();
    let mut sent = Vec::new();
    for at in 60_000..63_000u64 {
        let now = ms(at);
        in_transit.retain(|(due, to, from, sequence, reports)| {
            let limits = &mut instances[*to].targets.limits;
            if *due <= at {
                limits.merge_reports(from, *sequence, reports, now);
            }
            *due > at
        });
        if rng.f64() >= OFFERED_PER_S / 1e3 {
            continue;
        }
        let own = rng.usize(0..count);
        let instance = &mut instances[own];
        if !instance.targets.limits.wait(&id(1), now).is_zero() {
            continue;
        }
        send(&mut instance.targets, 1, now);
        sent.push(at);
        instance.sequence += 1;
        let reports = instance.targets.limits.take_changed_reports(now);
        for other in (0..count).filter(|other| *other != own) {
            if side_of[other] == side_of[own] {
                let due = at + rng.u64(5..40);
                let (name, sequence) = (instance.name.clone(), instance.sequence);
                in_transit.push((due, other, name, sequence, reports.clone()));
            }
        }
    }
    most_in_a_second(&sent)
}

#[test]
fn instances_together_stay_below_the_bound_also_on_two_sides_of_a_cut() {
    for seed in 0..4 {
        for count in [2, 5, 37, 130] {
            for sides in [1, 2, 3] {
                let most = simulate(seed, count, sides);
                assert!(
                    most <= CRASH_COUNT,
                    "{most} in a second from {count} instances on {sides} sides, seed {seed}"
                );
            }
        }
    }
}
