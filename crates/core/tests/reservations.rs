//! Memory reservations on groups of engines.

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
fn engines_are_reserved_one_at_a_time_in_id_order() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    let mut commands = ledger.begin(attempt, members(&[5, 1, 3]));
    let mut requested = Vec::new();
    while let Some(Command::Reserve(engine, _)) = commands.pop() {
        requested.push(engine.to_string());
        let (progress, next) = ledger.handle_reply(attempt, &engine, Reply::Granted, ms(1));
        assert_eq!(progress == Progress::Complete, next.is_empty());
        commands = next;
    }
    assert_eq!(requested, ["e1", "e3", "e5"]);
}

#[test]
fn refusal_releases_held_reservations_immediately() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1, 2]));
    ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(1));
    let (progress, commands) = ledger.handle_reply(attempt, &engine_id(2), Reply::Refused, ms(2));
    assert_eq!(progress, Progress::Abandoned);
    assert_eq!(commands, [Command::Release(engine_id(1))]);
    ledger.confirm_release(attempt, &engine_id(1));
    assert_eq!(ledger.reservation_count(), 0);
}

#[test]
fn reservation_with_lost_reply_is_released() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1, 2]));
    let (_, commands) = ledger.handle_reply(attempt, &engine_id(1), Reply::Lost, ms(1));
    assert_eq!(commands, [Command::Release(engine_id(1))]);
}

#[test]
fn unconfirmed_release_is_retried_until_confirmed() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1]));
    ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(1));
    ledger.release(attempt, ms(10));
    let retries = ledger.tick(ms(600));
    assert_eq!(retries, [(attempt, Command::Release(engine_id(1)))]);
    ledger.confirm_release(attempt, &engine_id(1));
    assert!(ledger.tick(ms(5_000)).is_empty());
}

#[test]
fn grant_after_the_end_of_its_request_is_released() {
    let mut ledger = Ledger::default();
    let attempt = AttemptId(1);
    ledger.begin(attempt, members(&[1]));
    ledger.release(attempt, ms(1));
    ledger.confirm_release(attempt, &engine_id(1));
    let (_, commands) = ledger.handle_reply(attempt, &engine_id(1), Reply::Granted, ms(2));
    assert_eq!(commands, [Command::Release(engine_id(1))]);
}

#[test]
fn owner_renews_at_least_three_times_per_expiry() {
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
fn only_reservations_idle_for_longer_than_their_ttl_are_orphans() {
    let entry = |id: &str, idle_s| ListedReservation {
        id: id.to_owned(),
        idle: Duration::from_secs(idle_s),
        ttl: RESERVATION_TTL,
    };
    let listed = [entry("fresh", 2), entry("late", 9), entry("dead", 11)];
    let found: Vec<&str> = orphans(&listed).map(|e| e.id.as_str()).collect();
    assert_eq!(found, ["dead"]);
}

/// Simulated instances that reserve overlapping groups of engines, with lost
/// messages.
struct Simulation {
    ledgers: Vec<Ledger>,
    /// Owners, as instance and attempt, of the reservations on each engine.
    owners_by_engine: BTreeMap<EngineId, BTreeSet<(usize, AttemptId)>>,
    commands: Vec<(usize, AttemptId, Command)>,
    rng: fastrand::Rng,
    /// Attempt whose group is complete, by instance.
    complete: BTreeMap<usize, AttemptId>,
    served_groups: u32,
    attempt_count: u64,
    now_ms: u64,
}

const INSTANCES: usize = 4;
const ENGINES: usize = 6;
const GROUP_SIZE: usize = 3;

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            ledgers: vec![Ledger::default(); INSTANCES],
            owners_by_engine: (0..ENGINES)
                .map(|i| (engine_id(i), BTreeSet::new()))
                .collect(),
            commands: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            complete: BTreeMap::new(),
            served_groups: 0,
            attempt_count: 0,
            now_ms: 0,
        }
    }

    /// Starts the reservation of a random group for an instance.
    fn start_group(&mut self, instance: usize) {
        let mut numbers: Vec<usize> = (0..ENGINES).collect();
        self.rng.shuffle(&mut numbers);
        self.attempt_count += 1;
        let attempt = AttemptId(self.attempt_count);
        let commands = self.ledgers[instance].begin(attempt, members(&numbers[..GROUP_SIZE]));
        self.push_commands(instance, attempt, commands);
    }

    fn push_commands(&mut self, instance: usize, attempt: AttemptId, commands: Vec<Command>) {
        self.commands.extend(
            commands
                .into_iter()
                .map(|command| (instance, attempt, command)),
        );
    }

    fn step(&mut self, is_lossy: bool) {
        self.now_ms += 20;
        if let Some((instance, attempt)) = self.complete.pop_first() {
            self.served_groups += 1;
            let commands = self.ledgers[instance].release(attempt, ms(self.now_ms));
            self.push_commands(instance, attempt, commands);
        }
        for instance in 0..INSTANCES {
            for (attempt, command) in self.ledgers[instance].tick(ms(self.now_ms)) {
                self.commands.push((instance, attempt, command));
            }
        }
        if self.commands.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.commands.len());
        let (instance, attempt, command) = self.commands.swap_remove(index);
        let is_lost = is_lossy && self.rng.u8(..10) == 0;
        self.deliver(instance, attempt, command, is_lost);
    }

    fn deliver(&mut self, instance: usize, attempt: AttemptId, command: Command, is_lost: bool) {
        match command {
            Command::Reserve(engine, _) => {
                let owners = self.owners_by_engine.get_mut(&engine).unwrap();
                // One reservation at a time: 300,000 of the 450,000 tokens of an engine.
                let is_granted = owners.is_empty();
                if is_granted {
                    owners.insert((instance, attempt));
                }
                let reply = match (is_lost, is_granted) {
                    (true, _) => Reply::Lost,
                    (false, true) => Reply::Granted,
                    (false, false) => Reply::Refused,
                };
                let now = ms(self.now_ms);
                let (progress, commands) =
                    self.ledgers[instance].handle_reply(attempt, &engine, reply, now);
                self.push_commands(instance, attempt, commands);
                if progress == Progress::Complete {
                    self.complete.insert(instance, attempt);
                }
            }
            Command::Release(engine) if !is_lost => {
                self.owners_by_engine
                    .get_mut(&engine)
                    .unwrap()
                    .remove(&(instance, attempt));
                self.ledgers[instance].confirm_release(attempt, &engine);
            }
            Command::Release(_) | Command::Renew(_) => {}
        }
    }

    fn is_idle(&self, instance: usize) -> bool {
        let has_commands = self.commands.iter().any(|(i, _, _)| *i == instance);
        !has_commands && self.ledgers[instance].reservation_count() == 0
    }
}

#[test]
fn overlapping_groups_do_not_deadlock_and_leave_no_reservation() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..2_000 {
            for instance in 0..INSTANCES {
                if simulation.is_idle(instance) {
                    simulation.start_group(instance);
                }
            }
            simulation.step(true);
        }
        assert!(
            simulation.served_groups > 50,
            "seed {seed}: {} groups completed, expected more than 50",
            simulation.served_groups
        );
        for _ in 0..3_000 {
            simulation.step(false);
        }
        let remaining: usize = simulation
            .owners_by_engine
            .values()
            .map(BTreeSet::len)
            .sum();
        assert_eq!(
            remaining, 0,
            "seed {seed}: reservations remain on the engines"
        );
        assert!(
            simulation
                .ledgers
                .iter()
                .all(|ledger| ledger.reservation_count() == 0),
            "seed {seed}: a ledger still has reservations"
        );
    }
}
