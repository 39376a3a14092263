//! The budget of memory that a process holds for clients and targets.

use std::time::Duration;

use cyclamengauge_core::{
    clock::Instant,
    ids::AccountId,
    serving::memory::{self, Growth, Holder, HolderId, MemoryBudget, MemoryError},
};

const MB: u64 = 1_000_000;

/// Longer than the time after which a client body stalls.
const STALLED: Duration = Duration::from_secs(3);

const NOT_REPEATABLE: Holder = Holder::TargetResponse {
    may_have_run: true,
    is_repeatable: false,
};

const REPEATABLE: Holder = Holder::TargetResponse {
    may_have_run: true,
    is_repeatable: true,
};

fn body_of(account: &str) -> Holder {
    Holder::ClientBody {
        account: Some(AccountId::new(account)),
        address: None,
    }
}

fn body_from(address: &str) -> Holder {
    Holder::ClientBody {
        account: None,
        address: Some(address.parse().unwrap()),
    }
}

fn hold(budget: &mut MemoryBudget, holder: Holder, bytes: u64, now: Instant) -> HolderId {
    let id = budget.begin(holder, now);
    assert_eq!(budget.grow(id, bytes, now), Growth::Granted);
    id
}

fn ended_by(budget: &mut MemoryBudget, id: HolderId, bytes: u64, now: Instant) -> Vec<HolderId> {
    match budget.grow(id, bytes, now) {
        Growth::Granted => panic!("there is room for {bytes} bytes"),
        Growth::Short { ended, .. } => ended,
    }
}

#[test]
fn the_budget_leaves_memory_for_the_rest_of_the_process() {
    for memory_mb in [112, 390, 512] {
        let budget = MemoryBudget::for_machine(Some(memory_mb));
        let memory_bytes = memory_mb * MB;
        assert!(budget.capacity_bytes() >= memory_bytes / 4);
        assert!(budget.capacity_bytes() <= memory_bytes / 2);
        assert!(budget.max_response_bytes() as u64 <= budget.capacity_bytes() / 4);
    }
    let unknown = MemoryBudget::for_machine(None);
    assert!(unknown.capacity_bytes() > 0);
    // A huge limit doesn't overflow.
    assert!(MemoryBudget::for_machine(Some(1 << 40)).capacity_bytes() > 0);
}

#[test]
fn a_holder_counts_its_overhead_until_it_ends() {
    let now = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let id = budget.begin(body_of("a"), now);
    let overhead_bytes = budget.held_bytes();
    assert!(overhead_bytes > 0);
    assert_eq!(budget.grow(id, MB, now), Growth::Granted);
    budget.shrink(id, MB / 2);
    assert_eq!(budget.bytes_of(id), overhead_bytes + MB / 2);
    assert!(budget.end(id));
    assert_eq!((budget.held_bytes(), budget.holder_count()), (0, 0));
    assert!(!budget.end(id));
}

/// Pattern: many bodies of legal size at once. They leave room for responses of requests
/// under way.
#[test]
fn client_bodies_leave_room_for_responses() {
    let now = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let mut bodies = 0;
    loop {
        let id = budget.begin(body_of("a"), now);
        match budget.grow(id, 4 * MB, now) {
            Growth::Granted => bodies += 1,
            Growth::Short { ended, error } => {
                assert_eq!(ended, []);
                assert!(matches!(error, MemoryError::Full { requested_bytes, .. }
                    if requested_bytes == 4 * MB));
                break;
            }
        }
    }
    assert!(bodies >= 10, "{bodies} bodies");
    hold(&mut budget, REPEATABLE, 10 * MB, now);
    hold(&mut budget, NOT_REPEATABLE, 20 * MB, now);
}

/// Pattern: bodies that stop just short of their end and stay open.
#[test]
fn stalled_bodies_of_the_largest_group_give_way_first() {
    let start = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let small = hold(&mut budget, body_of("small"), 10 * MB, start);
    let crowd: Vec<HolderId> = (0..8)
        .map(|number| {
            let address = format!("10.0.0.9:{}", 1_000 + number);
            hold(&mut budget, body_from(&address), 5 * MB, start)
        })
        .collect();
    let now = start + STALLED;
    let sound = budget.begin(body_of("sound"), now);
    let ended = ended_by(&mut budget, sound, 12 * MB, now);
    assert!(!ended.is_empty());
    assert!(ended.iter().all(|id| crowd.contains(id)), "{ended:?}");
    // Holders that are on their way out are not ended twice, and no others for the same room.
    assert_eq!(ended_by(&mut budget, sound, 12 * MB, now), []);
    for id in &ended {
        assert!(matches!(
            budget.grow(*id, 1, now),
            Growth::Short {
                error: MemoryError::Ended { .. },
                ..
            }
        ));
        budget.end(*id);
    }
    assert_eq!(budget.grow(sound, 12 * MB, now), Growth::Granted);
    assert!(budget.bytes_of(small) >= 10 * MB);
}

#[test]
fn a_body_that_arrives_does_not_give_way_to_another_body() {
    let start = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let slow = hold(&mut budget, body_of("a"), 55 * MB, start);
    let now = start + STALLED;
    budget.record_progress(slow, now);
    let other = budget.begin(body_of("b"), now);
    assert_eq!(ended_by(&mut budget, other, 10 * MB, now), []);
    assert_eq!(ended_by(&mut budget, other, 10 * MB, now + STALLED), [slow]);
}

#[test]
fn responses_end_bodies_and_then_responses_that_can_be_repeated() {
    let now = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let last = hold(&mut budget, NOT_REPEATABLE, 30 * MB, now);
    let repeatable = hold(&mut budget, REPEATABLE, 20 * MB, now);
    let body = hold(&mut budget, body_of("a"), 8 * MB, now);
    assert_eq!(ended_by(&mut budget, repeatable, 30 * MB, now), [body]);
    budget.end(body);
    assert_eq!(ended_by(&mut budget, last, 60 * MB, now), [repeatable]);
    budget.end(repeatable);
    assert_eq!(budget.grow(last, 60 * MB, now), Growth::Granted);
}

#[test]
fn a_request_that_may_have_run_and_cannot_be_repeated_is_never_ended() {
    let start = Instant::from_millis(0);
    let mut budget = MemoryBudget::with_capacity(100 * MB);
    let holders: Vec<HolderId> = (0..9)
        .map(|_| hold(&mut budget, NOT_REPEATABLE, 11 * MB, start))
        .collect();
    let now = start + STALLED;
    for holder in [NOT_REPEATABLE, REPEATABLE, body_of("a")] {
        let id = budget.begin(holder, now);
        assert_eq!(ended_by(&mut budget, id, 5 * MB, now), []);
        budget.end(id);
    }
    assert_eq!(budget.holder_count(), holders.len());
}

/// Over random holders the sum of what is granted stays within the capacity.
#[test]
fn granted_bytes_never_exceed_the_capacity() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut budget = MemoryBudget::with_capacity(20 * MB);
        let mut holders: Vec<HolderId> = Vec::new();
        for step in 0..400_u64 {
            let now = Instant::from_millis(step * 20);
            match rng.u32(..4) {
                0 => {
                    let holder = match rng.u32(..3) {
                        0 => body_of("a"),
                        1 => REPEATABLE,
                        _ => NOT_REPEATABLE,
                    };
                    holders.push(budget.begin(holder, now));
                }
                1 if !holders.is_empty() => {
                    let id = holders.swap_remove(rng.usize(..holders.len()));
                    budget.end(id);
                }
                _ if !holders.is_empty() => {
                    let id = holders[rng.usize(..holders.len())];
                    let before = budget.held_bytes();
                    let growth = budget.grow(id, rng.u64(..3 * MB), now);
                    match growth {
                        Growth::Granted => assert!(budget.held_bytes() <= budget.capacity_bytes()),
                        Growth::Short { ended, .. } => {
                            assert_eq!(budget.held_bytes(), before);
                            assert!(!ended.contains(&id));
                        }
                    }
                }
                _ => {}
            }
        }
        for id in holders {
            budget.end(id);
        }
        assert_eq!(budget.held_bytes(), 0);
    }
}

/// Guards against bodies of the store and of peers that take a process over its memory beside the
/// budget for clients and targets, and against sizes of a machine that can't be calculated with.
#[test]
fn internal_bodies_and_the_budget_leave_room_on_any_machine() {
    for memory_mb in [48, 112, 390, 4_000] {
        let budget = MemoryBudget::for_machine(Some(memory_mb)).capacity_bytes();
        let internal = memory::internal_body_capacity_bytes(Some(memory_mb));
        assert!(
            budget + internal <= memory_mb * MB * 3 / 4,
            "{memory_mb} MB"
        );
        assert!(internal >= 4 * MB, "{memory_mb} MB");
    }
    let unknown = memory::internal_body_capacity_bytes(None);
    assert!(unknown <= memory::internal_body_capacity_bytes(Some(u64::MAX)));
}
