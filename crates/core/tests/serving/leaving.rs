//! Targets that say in their answers that they leave, or that they want no requests for a
//! time.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::ServiceId,
    serving::{
        placement::{self, PlacementError, PlacementRequest},
        targets::{
            Outcome, Part, TargetFacts, Targets,
            notices::{MAX_PAUSE, TargetProcess},
        },
    },
    units::Tokens,
};

use crate::fleet::{ENGINES, facts, id, ms, targets};

const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

fn service() -> ServiceId {
    ServiceId::new("engines")
}

fn started(number: usize, started_unix_ms: u64) -> TargetFacts {
    TargetFacts {
        started_unix_ms,
        ..facts(number)
    }
}

fn process(number: usize, started_unix_ms: u64) -> TargetProcess {
    TargetProcess {
        target: id(number),
        started_unix_ms,
    }
}

fn is_usable(targets: &Targets, number: usize, now: Instant) -> bool {
    let usable = targets.usable(&service(), &[], now);
    usable.iter().any(|target| target.facts.id == id(number))
}

fn place(targets: &Targets, now: Instant) -> Result<placement::Placement, PlacementError> {
    let request = PlacementRequest {
        service: service(),
        data_centre: facts(0).data_centre,
        stream: None,
        instances: 1,
        unreported_streams: 0.0,
        excluded: Vec::new(),
    };
    let mut rng = fastrand::Rng::with_seed(1);
    placement::choose(targets, &request, None, &mut rng, now)
}

fn begin(targets: &mut Targets, number: usize, now: Instant) {
    let part = Part {
        target: id(number),
        prefill_time: Duration::ZERO,
        memory: Tokens(0),
    };
    targets.begin(vec![part], None, now);
}

#[test]
fn a_target_that_said_it_leaves_gets_no_request_however_long_it_is_listed_as_ready() {
    let mut targets = targets();
    targets.upsert(started(1, 7), ms(0));
    assert!(targets.record_leaving_process(&process(1, 7), ms(10)));
    assert!(!targets.record_leaving_process(&process(1, 7), ms(11)));
    for at in [10, 5_000, 60_000, 3_600_000] {
        targets.upsert(started(1, 7), ms(at));
        targets.remove_expired(ms(at));
        assert!(!is_usable(&targets, 1, ms(at)), "used again at {at} ms");
        assert!(!targets.accepts(&id(1), ms(at)));
    }
    assert!(is_usable(&targets, 2, ms(10)));
}

#[test]
fn a_word_of_leaving_holds_for_one_process_only() {
    let mut targets = targets();
    targets.upsert(started(1, 7), ms(0));
    targets.record_leaving_process(&process(1, 7), ms(10));
    targets.upsert(started(1, 8), ms(20));
    assert!(is_usable(&targets, 1, ms(20)), "the next process is out");
    // An answer of the earlier process that was slow to arrive, and what a peer still tells.
    assert!(!targets.record_leaving_process(&process(1, 7), ms(30)));
    assert!(is_usable(&targets, 1, ms(30)));
    // Another target at the same address.
    targets.record_leaving_process(&process(1, 8), ms(40));
    let reused = TargetFacts {
        id: id(ENGINES + 1),
        ..started(1, 9)
    };
    targets.schedule_removal(&id(1), Duration::ZERO, ms(50));
    targets.upsert(reused, ms(60));
    assert!(is_usable(&targets, ENGINES + 1, ms(60)));
}

#[test]
fn a_word_of_leaving_outlives_a_gap_in_the_list_and_a_restored_copy_of_it() {
    let mut targets = targets();
    targets.upsert(started(1, 7), ms(0));
    targets.record_leaving_process(&process(1, 7), ms(10));
    targets.schedule_removal(&id(1), Duration::ZERO, ms(20));
    targets.remove_expired(ms(30));
    assert!(targets.get(&id(1)).is_none());
    targets.upsert_restored(started(1, 7), ENTRY_LIFETIME, ms(40_000));
    targets.upsert(started(1, 7), ms(50_000));
    assert!(!is_usable(&targets, 1, ms(50_000)));
}

#[test]
fn a_peers_word_of_a_process_that_is_not_listed_yet_counts_once_it_is() {
    let mut targets = targets();
    targets.upsert(started(1, 7), ms(0));
    assert!(targets.record_leaving_process(&process(1, 9), ms(10)));
    targets.upsert(started(1, 9), ms(20));
    assert!(!is_usable(&targets, 1, ms(20)));
    let told = targets.leaving_processes(ms(20));
    assert_eq!(told, vec![process(1, 9)]);
    targets.upsert(started(1, 10), ms(30));
    assert!(is_usable(&targets, 1, ms(30)));
}

#[test]
fn targets_that_leave_are_not_used_even_if_all_others_are_excluded() {
    let mut targets = targets();
    for number in 0..ENGINES {
        targets.record_outcome(&id(number), Outcome::Silent, ms(0));
    }
    assert_eq!(targets.usable(&service(), &[], ms(1)).len(), ENGINES);
    for number in 0..ENGINES - 1 {
        let started_unix_ms = facts(number).started_unix_ms;
        targets.record_leaving_process(&process(number, started_unix_ms), ms(1));
    }
    let usable = targets.usable(&service(), &[], ms(2));
    assert_eq!(usable.len(), 1, "only the one that does not leave");
    let last = ENGINES - 1;
    targets.record_leaving_process(&process(last, facts(last).started_unix_ms), ms(2));
    assert_eq!(place(&targets, ms(3)), Err(PlacementError::NoTarget));
}

#[test]
fn a_paused_target_gets_no_request_until_the_later_end() {
    let mut targets = targets();
    let own = process(1, facts(1).started_unix_ms);
    let left = targets.record_pause(&own, Duration::from_millis(2_000), ms(0));
    assert_eq!(left, Some(Duration::from_millis(2_000)));
    let left = targets.record_pause(&own, Duration::from_millis(500), ms(100));
    assert_eq!(left, Some(Duration::from_millis(1_900)));
    assert!(!is_usable(&targets, 1, ms(1_999)));
    assert!(!targets.accepts(&id(1), ms(1_999)));
    assert!(is_usable(&targets, 1, ms(2_000)));
}

#[test]
fn a_pause_is_bounded_and_ends_with_the_process() {
    let mut targets = targets();
    let first = process(1, facts(1).started_unix_ms);
    let left = targets.record_pause(&first, Duration::from_secs(1 << 40), ms(0));
    assert_eq!(left, Some(MAX_PAUSE));
    let next = facts(1).started_unix_ms + 1;
    targets.upsert(started(1, next), ms(10));
    assert!(is_usable(&targets, 1, ms(10)));
    // A refusal by the earlier process that was slow to arrive.
    assert_eq!(targets.record_pause(&first, MAX_PAUSE, ms(20)), None);
    assert!(is_usable(&targets, 1, ms(20)));
}

#[test]
fn if_all_targets_are_paused_the_refusal_names_the_earliest_end() {
    let mut targets = targets();
    for number in 0..ENGINES {
        let own = process(number, facts(number).started_unix_ms);
        let pause = Duration::from_millis(3_000 + 100 * number as u64);
        targets.record_pause(&own, pause, ms(0));
    }
    let earliest = Duration::from_millis(2_000);
    assert_eq!(
        place(&targets, ms(1_000)),
        Err(PlacementError::Paused(earliest))
    );
}

#[test]
fn load_returns_gradually_after_a_pause() {
    let mut targets = targets();
    let own = process(1, facts(1).started_unix_ms);
    targets.record_pause(&own, Duration::from_millis(1_000), ms(0));
    begin(&mut targets, 1, ms(1_000));
    assert!(!is_usable(&targets, 1, ms(1_001)), "a second one at once");
    let mut in_flight = 1;
    for at in (1_000..6_000).step_by(50) {
        if is_usable(&targets, 1, ms(at)) {
            begin(&mut targets, 1, ms(at));
            in_flight += 1;
        }
        let share = (at - 1_000) as f64 / 3_000.0;
        let allowed = 1.0 + share * f64::from(facts(1).slots);
        let is_over = at >= 4_000;
        assert!(is_over || f64::from(in_flight) <= allowed, "at {at} ms");
    }
    assert!(is_usable(&targets, 1, ms(6_000)));
}
