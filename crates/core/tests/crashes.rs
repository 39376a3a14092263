//! Requests that crash their engine, and their innocent neighbours.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{
    dispatcher, engine_id, finished_requests, lead_engine, ms, only_refusal, report_all, request,
    run_timers, sent_attempts,
};
use cyclamengauge_core::{
    dispatch::{Action, Dispatcher, Failure, Outcome, Probed, Sending},
    ids::{EngineId, RequestId},
    recovery::quarantine::{MAX_CRASHES_PER_CONTENT, PeerVerdict, QUARANTINE_TIME},
    request::{ExecutionState, Fingerprint, RefusalReason},
    routing::Report,
};

const ENGINES: usize = 8;
const POISON: u64 = 999;

fn poison_print() -> Fingerprint {
    request(POISON, 1).fingerprint
}

/// Runs requests to their end; engines that are sent the poison crash and come
/// back. Returns the engines that crashed and how each request ended.
struct Farm {
    dispatcher: Dispatcher,
    running: Vec<Sending>,
    poison: BTreeSet<RequestId>,
    crashed: Vec<EngineId>,
    ends: Vec<(RequestId, Outcome)>,
    incarnations: Vec<u64>,
    /// Engines that stay dead and are probed all the time.
    down: BTreeSet<usize>,
    now: u64,
}

impl Farm {
    fn new() -> Self {
        Self {
            dispatcher: dispatcher(ENGINES),
            running: Vec::new(),
            poison: BTreeSet::new(),
            crashed: Vec::new(),
            ends: Vec::new(),
            incarnations: vec![1; ENGINES],
            down: BTreeSet::new(),
            now: 1,
        }
    }

    fn arrive(&mut self, number: u64, poison: bool) {
        let mut wanted = request(number, 2_000);
        wanted.deadline = ms(self.now + 600_000);
        if poison {
            wanted.fingerprint = poison_print();
            self.poison.insert(wanted.id);
        }
        let actions = self.dispatcher.arrive(wanted, ms(self.now));
        self.take(actions);
    }

    fn take(&mut self, actions: Vec<Action>) {
        self.running.extend(sent_attempts(&actions));
        self.ends.extend(finished_requests(&actions));
        for action in actions {
            if let Action::Probe(engine) = action {
                let probed = self.dispatcher.probed(&engine, Probed::Dead, ms(self.now));
                self.take(probed);
            }
        }
    }

    /// One engine that holds poison crashes, and reports again as restarted.
    fn crash_one(&mut self) -> bool {
        let found = self
            .running
            .iter()
            .find(|s| self.poison.contains(&s.request));
        let Some(engine) = found.map(lead_engine) else {
            return false;
        };
        self.crashed.push(engine.clone());
        let hit: Vec<Sending> = self
            .running
            .iter()
            .filter(|s| lead_engine(s) == engine)
            .cloned()
            .collect();
        self.running.retain(|s| lead_engine(s) != engine);
        for sending in hit {
            let actions = self
                .dispatcher
                .failed(sending.attempt, Failure::Broken, ms(self.now));
            self.take(actions);
        }
        let number: usize = engine.as_str()[1..].parse().unwrap();
        self.incarnations[number] += 1;
        true
    }

    /// Passes time, in which innocent requests finish and engines report.
    fn pass(&mut self, time_ms: u64) {
        self.now += time_ms;
        for number in 0..ENGINES {
            if self.down.contains(&number) {
                let dead = engine_id(number);
                let actions = self.dispatcher.probed(&dead, Probed::Dead, ms(self.now));
                self.take(actions);
                continue;
            }
            let incarnation = self.incarnations[number];
            let idle = Report::default();
            let actions = self.dispatcher.reported(
                &engine_id(number),
                incarnation,
                false,
                &idle,
                ms(self.now),
            );
            self.take(actions);
        }
        let actions = run_timers(&mut self.dispatcher, ms(self.now));
        self.take(actions);
    }

    fn finish_innocent(&mut self) {
        let (poison, innocent): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|s| self.poison.contains(&s.request));
        self.running = poison;
        for sending in innocent {
            let actions = self.dispatcher.completed(sending.attempt, ms(self.now));
            self.take(actions);
        }
    }

    fn settle(&mut self) {
        for _ in 0..400 {
            self.pass(100);
            self.crash_one();
            self.finish_innocent();
        }
    }
}

#[test]
fn poison_takes_down_two_engines_and_its_neighbours_succeed() {
    let mut farm = Farm::new();
    for number in 0..40 {
        farm.arrive(number, false);
    }
    farm.arrive(POISON, true);
    assert!(farm.crash_one());
    farm.settle();
    assert_eq!(farm.crashed.len() as u32, MAX_CRASHES_PER_CONTENT);
    let completed = farm
        .ends
        .iter()
        .filter(|(_, end)| *end == Outcome::Completed)
        .count();
    assert_eq!(completed, 40);
    let end = farm.ends.iter().find(|(id, _)| *id == RequestId(POISON));
    let Some((_, Outcome::Refused(refusal))) = end else {
        panic!("the poison ended with {end:?}");
    };
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert_eq!(refusal.ran, ExecutionState::Unknown);
}

#[test]
fn copies_in_flight_at_the_first_crash_take_down_one_engine_each_at_most() {
    for copies in 2..5 {
        let mut farm = Farm::new();
        for number in 0..copies {
            farm.arrive(1_000 + number, true);
        }
        farm.settle();
        // One each, one alone, and one more as so many deaths look like a rack's.
        let bound = MAX_CRASHES_PER_CONTENT as usize + copies as usize;
        assert!(
            farm.crashed.len() <= bound,
            "{copies} copies: {:?}",
            farm.crashed
        );
        assert_eq!(farm.dispatcher.in_flight(), 0);
    }
}

#[test]
fn quarantined_content_is_refused_under_a_new_id_until_the_verdict_expires() {
    let mut farm = Farm::new();
    farm.arrive(POISON, true);
    farm.settle();
    let crashes = farm.crashed.len();
    farm.arrive(2_000, true);
    let (_, end) = farm.ends.last().unwrap().clone();
    let Outcome::Refused(refusal) = end else {
        panic!("not refused: {end:?}");
    };
    assert_eq!(
        (refusal.reason, refusal.ran),
        (RefusalReason::Quarantined, ExecutionState::NotExecuted)
    );
    assert!(refusal.retry_after.unwrap() > Duration::from_secs(60));
    assert_eq!(farm.crashed.len(), crashes);
    farm.now += QUARANTINE_TIME.as_millis() as u64 + 1;
    farm.pass(100);
    farm.arrive(2_001, true);
    assert_eq!(
        farm.running.len(),
        1,
        "an expired verdict lets the content in"
    );
}

#[test]
fn verdict_reaches_another_instance() {
    let mut farm = Farm::new();
    farm.arrive(POISON, true);
    farm.settle();
    let notices = farm
        .dispatcher
        .quarantine()
        .quarantined_verdicts(10, ms(farm.now));
    assert_eq!(notices.len(), 1);
    let mut other = dispatcher(ENGINES);
    other.learn_verdict(&notices[0], ms(5));
    let mut resent = request(7, 2_000);
    resent.fingerprint = poison_print();
    let refused = only_refusal(&other.arrive(resent, ms(6)));
    assert_eq!(
        (refused.reason, refused.ran),
        (RefusalReason::Quarantined, ExecutionState::NotExecuted)
    );
}

#[test]
fn suspect_runs_alone_on_its_engine() {
    let mut farm = Farm::new();
    for number in 0..16 {
        farm.arrive(number, false);
    }
    farm.arrive(POISON, true);
    farm.crash_one();
    farm.finish_innocent();
    farm.pass(100);
    let alone: Vec<&Sending> = farm
        .running
        .iter()
        .filter(|s| s.plan.choice.to_string() == "isolated")
        .collect();
    assert!(!alone.is_empty());
    let engines: BTreeSet<EngineId> = alone.iter().map(|s| lead_engine(s)).collect();
    assert_eq!(engines.len(), alone.len(), "two suspects share an engine");
    let closed = engines.into_iter().next().unwrap();
    for number in 100..160 {
        farm.arrive(number, false);
    }
    let shared = farm
        .running
        .iter()
        .filter(|s| lead_engine(s) == closed)
        .count();
    assert_eq!(shared, 1, "other work was sent to a suspect's engine");
}

#[test]
fn mass_failure_quarantines_nobody() {
    let mut farm = Farm::new();
    for number in 0..80 {
        farm.arrive(number, false);
    }
    for engine in 0..5 {
        let id = engine_id(engine);
        let hit: Vec<Sending> = farm
            .running
            .iter()
            .filter(|s| lead_engine(s) == id)
            .cloned()
            .collect();
        farm.running.retain(|s| lead_engine(s) != id);
        for sending in hit {
            let actions = farm
                .dispatcher
                .failed(sending.attempt, Failure::Broken, ms(farm.now));
            farm.take(actions);
        }
        farm.incarnations[engine] += 1;
    }
    for _ in 0..200 {
        farm.pass(100);
        farm.finish_innocent();
    }
    let completed = farm
        .ends
        .iter()
        .filter(|(_, end)| *end == Outcome::Completed)
        .count();
    assert_eq!(completed, 80, "{:?}", farm.ends);
    let now = ms(farm.now);
    assert!(
        farm.dispatcher
            .quarantine()
            .quarantined_verdicts(10, now)
            .is_empty()
    );
}

#[test]
fn lesser_verdict_from_a_peer_does_not_weaken_a_quarantine() {
    let mut farm = Farm::new();
    farm.arrive(POISON, true);
    farm.settle();
    let rumour = PeerVerdict {
        fingerprint: poison_print(),
        quarantined: false,
        crashes: 1,
        remaining: Duration::from_secs(1),
    };
    farm.dispatcher.learn_verdict(&rumour, ms(farm.now));
    let mut resent = request(7, 2_000);
    resent.fingerprint = poison_print();
    let refused = only_refusal(&farm.dispatcher.arrive(resent, ms(farm.now)));
    assert_eq!(refused.reason, RefusalReason::Quarantined);
    report_all(&mut farm.dispatcher, 0, ms(farm.now));
}

#[test]
fn suspects_of_two_instances_never_share_an_engine() {
    let settings = |index| cyclamengauge_core::dispatch::Settings {
        fleet: cyclamengauge_core::routing::FleetSettings {
            instances: 2,
            index,
            seed: u64::from(index),
            ..Default::default()
        },
        ..Default::default()
    };
    let mut engines = BTreeSet::new();
    for index in 0..2 {
        let mut dispatcher = common::dispatcher_with_settings(ENGINES, settings(index));
        let sending: Vec<Sending> = (0..40)
            .flat_map(|i| sent_attempts(&dispatcher.arrive(request(i, 2_000), ms(1))))
            .collect();
        let down = engine_id(0);
        let hit = sending.iter().filter(|s| lead_engine(s) == down);
        for sending in hit {
            dispatcher.failed(sending.attempt, Failure::Broken, ms(2));
        }
        // One instance knows already that another engine is down, too.
        if index == 0 {
            dispatcher.probed(&engine_id(5), Probed::Dead, ms(2));
        }
        let actions = dispatcher.probed(&down, Probed::Dead, ms(2));
        let later = run_timers(&mut dispatcher, ms(2_000));
        let alone = sent_attempts(&actions)
            .into_iter()
            .chain(sent_attempts(&later));
        for sending in alone.filter(|s| s.plan.choice.to_string() == "isolated") {
            assert!(engines.insert((lead_engine(&sending), index)));
        }
    }
    let names: BTreeSet<&EngineId> = engines.iter().map(|(id, _)| id).collect();
    let instances: BTreeSet<u32> = engines.iter().map(|(_, index)| *index).collect();
    assert_eq!(instances.len(), 2, "{engines:?}");
    assert_eq!(names.len(), engines.len(), "{engines:?}");
}

#[test]
fn engines_that_stay_dead_do_not_look_like_a_mass_failure() {
    let mut farm = Farm::new();
    farm.down = BTreeSet::from([5, 6, 7]);
    for _ in 0..60 {
        farm.pass(100);
    }
    farm.arrive(POISON, true);
    farm.settle();
    assert_eq!(farm.crashed.len() as u32, MAX_CRASHES_PER_CONTENT);
}
