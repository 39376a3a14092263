//! Data centres that operators evacuate and take back.

use std::{collections::BTreeSet, time::Duration};

use cyclamengauge_core::{
    clock::Instant,
    ids::{DataCentreId, ServiceId},
    serving::{
        placement::{self, PlacementError, PlacementRequest},
        target_list::ListVersion,
        targets::{
            Outcome, Part, Targets,
            evacuation::{EvacuationChange, EvacuationReport, MAX_EVACUATED},
        },
    },
    units::Tokens,
};

use crate::fleet::{ENGINES, facts, id, ms, targets};

fn version(era: u64, number: u64) -> ListVersion {
    ListVersion { era, number }
}

fn row(data_centre: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: DataCentreId::new(data_centre),
        is_evacuated,
    }
}

fn report(era: u64, number: u64, evacuated: &[&str]) -> EvacuationReport {
    EvacuationReport {
        version: version(era, number),
        evacuated: evacuated.iter().map(DataCentreId::new).collect(),
    }
}

fn used(targets: &Targets, now: Instant) -> BTreeSet<DataCentreId> {
    let usable = targets.usable(&ServiceId::new("engines"), &[], now);
    let used = usable.iter().map(|target| target.facts.data_centre.clone());
    used.collect()
}

fn names(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(DataCentreId::new).collect()
}

fn place(targets: &Targets, now: Instant) -> Result<placement::Placement, PlacementError> {
    let request = PlacementRequest {
        service: ServiceId::new("engines"),
        data_centre: DataCentreId::new("dc0"),
        stream: None,
        instances: 1,
        unreported_streams: 0.0,
        excluded: Vec::new(),
    };
    let mut rng = fastrand::Rng::with_seed(1);
    placement::choose(targets, &request, None, &mut rng, now)
}

#[test]
fn an_evacuated_data_centre_gets_no_request_from_the_moment_its_row_is_read() {
    let mut targets = targets();
    let rows = [row("dc0", true)];
    let changes = targets
        .evacuations
        .apply(version(0, 5), true, &rows, ms(10));
    assert_eq!(changes, rows);
    assert_eq!(used(&targets, ms(10)), names(&["dc1", "dc2"]));
    assert!(!targets.accepts(&id(0), ms(10)), "a placement from before");
    assert!(targets.accepts(&id(1), ms(10)));
    let engines =
        placement::count_engines(&targets, &ServiceId::new("engines"), Duration::ZERO, ms(10));
    assert_eq!(engines.usable, ENGINES * 2 / 3);
}

#[test]
fn an_evacuated_data_centre_is_not_used_even_if_all_other_targets_are_excluded() {
    let mut targets = targets();
    targets
        .evacuations
        .merge(report(0, 5, &["dc0", "dc1"]), ms(0));
    for number in 0..ENGINES {
        targets.record_outcome(&id(number), Outcome::Silent, ms(0));
    }
    assert_eq!(used(&targets, ms(1)), names(&["dc2"]));
    targets
        .evacuations
        .merge(report(0, 6, &["dc0", "dc1", "dc2"]), ms(2));
    assert_eq!(place(&targets, ms(3)), Err(PlacementError::NoTarget));
}

#[test]
fn the_latest_version_counts_whoever_tells_it() {
    let mut targets = targets();
    let evacuations = &mut targets.evacuations;
    assert_eq!(evacuations.merge(report(0, 8, &["dc1"]), ms(0)).len(), 1);
    // A peer that is behind, and a feed that was answered before.
    assert!(evacuations.merge(report(0, 7, &[]), ms(1)).is_empty());
    let late = [row("dc1", false), row("dc2", true)];
    assert!(
        evacuations
            .apply(version(0, 8), false, &late, ms(2))
            .is_empty()
    );
    assert_eq!(used(&targets, ms(3)), names(&["dc0", "dc2"]));
    let rows = [row("dc1", false), row("dc2", true)];
    let changes = targets
        .evacuations
        .apply(version(0, 9), false, &rows, ms(4));
    assert_eq!(changes.len(), 2);
    assert!(used(&targets, ms(9_000)) == names(&["dc0", "dc1"]));
}

#[test]
fn a_read_in_full_ends_evacuations_whose_rows_are_gone() {
    let mut targets = targets();
    targets.evacuations.merge(report(0, 5, &["dc1"]), ms(0));
    let changes = targets.evacuations.apply(version(0, 9), true, &[], ms(5));
    assert_eq!(changes, [row("dc1", false)]);
}

#[test]
fn an_evacuation_that_an_older_copy_of_the_store_lacks_stays_for_a_time() {
    let mut targets = targets();
    targets.evacuations.merge(report(0, 50, &["dc1"]), ms(0));
    let changes = targets.evacuations.apply(version(1, 40), true, &[], ms(10));
    assert!(changes.is_empty(), "{changes:?}");
    targets.evacuations.merge(report(0, 51, &[]), ms(20));
    assert_eq!(used(&targets, ms(30_000)), names(&["dc0", "dc2"]));
    // Written again and removed by the operators.
    let rows = [row("dc1", true)];
    targets
        .evacuations
        .apply(version(1, 41), false, &rows, ms(30_000));
    let rows = [row("dc1", false)];
    let changes = targets
        .evacuations
        .apply(version(1, 42), false, &rows, ms(31_000));
    assert_eq!(changes, rows);
    assert_eq!(used(&targets, ms(40_000)), names(&["dc0", "dc1", "dc2"]));
}

#[test]
fn an_evacuation_that_was_lost_and_not_written_again_ends() {
    let mut targets = targets();
    targets.evacuations.merge(report(0, 50, &["dc1"]), ms(0));
    targets.evacuations.merge(report(1, 40, &[]), ms(10));
    assert_eq!(used(&targets, ms(400_000)), names(&["dc0", "dc1", "dc2"]));
}

#[test]
fn load_returns_to_a_data_centre_gradually() {
    let mut targets = targets();
    targets.evacuations.merge(report(0, 5, &["dc1"]), ms(0));
    targets.evacuations.merge(report(0, 6, &[]), ms(10_000));
    // Every request would go there: one at each target at first.
    let mut at_target = 0;
    for at in (10_000..13_000).step_by(20) {
        let usable = targets.usable(&ServiceId::new("engines"), &[], ms(at));
        if usable.iter().any(|target| target.facts.id == id(1)) {
            let part = Part {
                target: id(1),
                prefill_time: Duration::ZERO,
                memory: Tokens(0),
            };
            targets.begin(vec![part], None, ms(at));
            at_target += 1;
        }
        let share = (at - 10_000) as f64 / 3_000.0;
        let allowed = 1.0 + share * f64::from(facts(1).slots);
        assert!(f64::from(at_target) <= allowed, "{at_target} at {at} ms");
    }
    assert!(at_target > 10);
}

#[test]
fn rows_without_number_do_not_fill_the_messages() {
    let mut targets = targets();
    let rows: Vec<EvacuationChange> = (0..1_000).map(|n| row(&format!("x{n}"), true)).collect();
    targets.evacuations.apply(version(0, 1), true, &rows, ms(0));
    let known = targets.evacuations.report().unwrap();
    assert_eq!(known.evacuated.len(), MAX_EVACUATED);
    assert_eq!(used(&targets, ms(1)).len(), 3);
}

/// Instances read, pass on and restart in any order: once all have heard the latest state,
/// it is in force at each, and none went back to an earlier one.
#[test]
fn instances_agree_on_the_latest_state_in_any_order_of_messages() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        // The true state after each change of the store.
        let mut history = vec![BTreeSet::new()];
        for _ in 0..12 {
            let mut state: BTreeSet<DataCentreId> = history.last().unwrap().clone();
            let name = DataCentreId::new(format!("dc{}", rng.u8(0..3)));
            if !state.remove(&name) {
                state.insert(name);
            }
            history.push(state);
        }
        let mut instances: Vec<Targets> = (0..5).map(|_| targets()).collect();
        let mut newest = vec![0; instances.len()];
        for step in 0..300u64 {
            let now = ms(step * 10);
            let own = rng.usize(0..instances.len());
            match rng.u8(0..10) {
                0 => {
                    instances[own] = targets();
                    newest[own] = 0;
                }
                1..4 => {
                    let at = rng.usize(0..history.len());
                    let rows = history[at].iter();
                    let rows: Vec<EvacuationChange> =
                        rows.map(|name| row(name.as_str(), true)).collect();
                    let version = version(0, at as u64 + 1);
                    instances[own].evacuations.apply(version, true, &rows, now);
                }
                _ => {
                    let peer = rng.usize(0..instances.len());
                    if let Some(report) = instances[peer].evacuations.report().cloned() {
                        instances[own].evacuations.merge(report, now);
                    }
                }
            }
            if let Some(report) = instances[own].evacuations.report() {
                let at = report.version.number as usize - 1;
                assert!(at + 1 >= newest[own], "seed {seed}: went back");
                newest[own] = at + 1;
                assert_eq!(report.evacuated, history[at], "seed {seed}");
            }
        }
    }
}
