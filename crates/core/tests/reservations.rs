//! Memory reserved on groups of engines.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use common::{engine_id, ms};
use cyclamengauge_core::{
    clock::Instant,
    ids::{AttemptId, EngineId},
    recovery::reservation::{
        Command, Ledger, ListedReservation, Progress, RENEWAL_PERIOD, RESERVATION_TTL, Reply,
        orphans,
    },
    units::Tokens,
};

fn members(numbers: &[usize]) -> Vec<(EngineId, Tokens)> {
    numbers
        .iter()
        .map(|n| (engine_id(*n), Tokens(300_000)))
        .collect()
}

#[test]
fn members_are_asked_one_by_one_in_the_order_of_names() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    let mut orders = ledger.begin(attempt, members(&[5, 1, 3]));
    let mut asked = Vec::new();
    while let Some(Command::Reserve(engine, _)) = orders.pop() {
        asked.push(engine.to_string());
        let (progress, next) = ledger.handle_reply(attempt, &engine, Reply::Granted, ms(1));
        assert_eq!(progress == Progress::Complete, next.is_empty());
        orders = next;
    }
    assert_eq!(asked, ["e1", "e3", "e5"]);
}

#[test]
fn refusal_gives_back_at_once_what_is_held() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1, 2]));
    ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(1));
    let (progress, orders) = ledger.handle_reply(attempt, &engine_id(2), Reply::Refused, ms(2));
    assert_eq!(progress, Progress::Abandoned);
    assert_eq!(orders, [Command::Release(engine_id(1))]);
    ledger.confirm_release(attempt, &engine_id(1));
    assert_eq!(ledger.reservation_count(), 0);
}

#[test]
fn lost_reply_is_released_like_a_grant() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1, 2]));
    let (_, orders) = ledger.handle_reply(attempt, &engine_id(1), Reply::Lost, ms(1));
    assert_eq!(orders, [Command::Release(engine_id(1))]);
}

#[test]
fn lost_release_is_repeated_until_acknowledged() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1]));
    ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(1));
    ledger.release(attempt, ms(10));
    let again = ledger.tick(ms(600));
    assert_eq!(again, [(attempt, Command::Release(engine_id(1)))]);
    ledger.confirm_release(attempt, &engine_id(1));
    assert!(ledger.tick(ms(5_000)).is_empty());
}

#[test]
fn grant_that_arrives_after_its_request_is_over_is_released() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1]));
    ledger.release(attempt, ms(1));
    ledger.confirm_release(attempt, &engine_id(1));
    let (_, orders) = ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(2));
    assert_eq!(orders, [Command::Release(engine_id(1))]);
}

#[test]
fn owner_renews_well_within_the_expiry() {
    let mut ledger = Ledger::default();
    ledger.begin(AttemptId(1), members(&[1]));
    ledger.handle_reply(AttemptId(1), &engine_id(1), Reply::Granted, ms(0));
    let due = Instant::ZERO + RENEWAL_PERIOD;
    assert_eq!(
        ledger.tick(due),
        [(AttemptId(1), Command::Renew(engine_id(1)))]
    );
    assert!(RENEWAL_PERIOD * 3 <= RESERVATION_TTL);
}

#[test]
fn only_silent_owners_reservations_are_orphans() {
    let entry = |id: &str, idle_s| ListedReservation {
        id: id.to_owned(),
        idle: Duration::from_secs(idle_s),
        ttl: RESERVATION_TTL,
    };
    let listed = [entry("fresh", 2), entry("late", 9), entry("dead", 11)];
    let found: Vec<&str> = orphans(&listed).map(|e| e.id.as_str()).collect();
    assert_eq!(found, ["dead"]);
}

/// Instances that want overlapping groups, over engines that lose messages.
struct Contest {
    ledgers: Vec<Ledger>,
    /// Memory that each engine holds, by owner.
    held: BTreeMap<EngineId, BTreeSet<(usize, AttemptId)>>,
    orders: Vec<(usize, AttemptId, Command)>,
    rng: fastrand::Rng,
    complete: BTreeMap<usize, AttemptId>,
    served: u32,
    attempts: u64,
    now: u64,
}

const INSTANCES: usize = 4;
const ENGINES: usize = 6;
const GROUP: usize = 3;

impl Contest {
    fn new(seed: u64) -> Self {
        Self {
            ledgers: vec![Ledger::default(); INSTANCES],
            held: (0..ENGINES)
                .map(|i| (engine_id(i), BTreeSet::new()))
                .collect(),
            orders: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            complete: BTreeMap::new(),
            served: 0,
            attempts: 0,
            now: 0,
        }
    }

    /// Starts a group of an instance that has none.
    fn want(&mut self, instance: usize) {
        let mut numbers: Vec<usize> = (0..ENGINES).collect();
        self.rng.shuffle(&mut numbers);
        self.attempts += 1;
        let attempt = AttemptId(self.attempts);
        let orders = self.ledgers[instance].begin(attempt, members(&numbers[..GROUP]));
        self.push(instance, attempt, orders);
    }

    fn push(&mut self, instance: usize, attempt: AttemptId, orders: Vec<Command>) {
        self.orders
            .extend(orders.into_iter().map(|o| (instance, attempt, o)));
    }

    fn step(&mut self, lossy: bool) {
        self.now += 20;
        if let Some((instance, attempt)) = self.complete.pop_first() {
            self.served += 1;
            let orders = self.ledgers[instance].release(attempt, ms(self.now));
            self.push(instance, attempt, orders);
        }
        for instance in 0..INSTANCES {
            for (attempt, order) in self.ledgers[instance].tick(ms(self.now)) {
                self.orders.push((instance, attempt, order));
            }
        }
        if self.orders.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.orders.len());
        let (instance, attempt, order) = self.orders.swap_remove(at);
        let lost = lossy && self.rng.u8(..10) == 0;
        self.deliver(instance, attempt, order, lost);
    }

    fn deliver(&mut self, instance: usize, attempt: AttemptId, order: Command, lost: bool) {
        match order {
            Command::Reserve(engine, _) => {
                let holders = self.held.get_mut(&engine).unwrap();
                // 300,000 of 450,000 tokens: one at a time.
                let granted = holders.is_empty();
                if granted {
                    holders.insert((instance, attempt));
                }
                let reply = match (lost, granted) {
                    (true, _) => Reply::Lost,
                    (false, true) => Reply::Granted,
                    (false, false) => Reply::Refused,
                };
                let now = ms(self.now);
                let (progress, orders) =
                    self.ledgers[instance].handle_reply(attempt, &engine, reply, now);
                self.push(instance, attempt, orders);
                if progress == Progress::Complete {
                    self.complete.insert(instance, attempt);
                }
            }
            Command::Release(engine) if !lost => {
                self.held
                    .get_mut(&engine)
                    .unwrap()
                    .remove(&(instance, attempt));
                self.ledgers[instance].confirm_release(attempt, &engine);
            }
            Command::Release(_) | Command::Renew(_) => {}
        }
    }

    fn wants(&self, instance: usize) -> bool {
        let busy = self.orders.iter().any(|(i, _, _)| *i == instance);
        !busy && self.ledgers[instance].reservation_count() == 0
    }
}

#[test]
fn overlapping_groups_never_deadlock_and_leave_nothing_behind() {
    for seed in 0..200 {
        let mut contest = Contest::new(seed);
        for _ in 0..2_000 {
            for instance in 0..INSTANCES {
                if contest.wants(instance) {
                    contest.want(instance);
                }
            }
            contest.step(true);
        }
        assert!(
            contest.served > 50,
            "seed {seed}: {} groups served",
            contest.served
        );
        for _ in 0..3_000 {
            contest.step(false);
        }
        let left: usize = contest.held.values().map(BTreeSet::len).sum();
        assert_eq!(left, 0, "seed {seed}: memory left behind");
        assert!(
            contest
                .ledgers
                .iter()
                .all(|ledger| ledger.reservation_count() == 0),
            "seed {seed}"
        );
    }
}
