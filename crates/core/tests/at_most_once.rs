//! Non-idempotent calls over several instances and a store that fails.

use std::collections::{BTreeMap, VecDeque};

use cyclamengauge_core::{
    at_most_once::{Call, ClaimOwner, Event, Response, Step, TargetOutcome},
    clock::Instant,
};
use cyclamengauge_schema::v1;

/// Seeds of one test run; the environment variable of the long run replaces it.
fn seeds() -> u64 {
    let long = std::env::var("CYCLAMENGAUGE_SEEDS").ok();
    long.and_then(|n| n.parse().ok()).unwrap_or(3_000)
}

/// A write on its way to the table, which may arrive late.
#[derive(Clone)]
struct Write {
    key: u8,
    if_version: u64,
    row: v1::ClaimRow,
}

struct Running {
    key: u8,
    call: Call,
    step: Step,
    asleep_until: u64,
    /// The instance died: nothing of this call happens any more.
    dead: bool,
}

/// Instances, a table that fails in many ways, and a target that counts.
struct World {
    rng: fastrand::Rng,
    now_ms: u64,
    rows: BTreeMap<u8, (u64, v1::ClaimRow)>,
    delayed: VecDeque<Write>,
    calls: Vec<Running>,
    runs: BTreeMap<u8, u32>,
    /// What callers were told about calls that did not run, with the number of
    /// runs under the key by the very call.
    own_runs: BTreeMap<usize, u32>,
    answers: Vec<(usize, Response)>,
    begun: u64,
    outage: bool,
    faulty: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 1_000_000,
            rows: BTreeMap::new(),
            delayed: VecDeque::new(),
            calls: Vec::new(),
            runs: BTreeMap::new(),
            own_runs: BTreeMap::new(),
            answers: Vec::new(),
            begun: 0,
            outage: false,
            faulty: true,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn begin(&mut self) {
        self.begun += 1;
        let key = self.rng.u8(..2);
        let owner = ClaimOwner::new("i", 1, self.begun);
        let (call, step) =
            Call::begin(owner, format!("body-{key}"), false, self.now_ms, self.now());
        self.calls.push(Running {
            key,
            call,
            step,
            asleep_until: 0,
            dead: false,
        });
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.faulty && self.rng.u8(..100) < percent
    }

    fn write(&mut self, write: Write) -> Event {
        if self.outage || self.chance(10) {
            return Event::WriteLost;
        }
        if self.chance(10) {
            self.delayed.push_back(write);
            return Event::WriteLost;
        }
        let event = self.apply(&write);
        if self.chance(15) {
            Event::WriteLost
        } else {
            event
        }
    }

    fn apply(&mut self, write: &Write) -> Event {
        let found = self.rows.get(&write.key).cloned();
        let version = found.as_ref().map_or(0, |(version, _)| *version);
        if version != write.if_version {
            let row = found.map(|(_, row)| row).unwrap_or_default();
            return Event::Conflict { version, row };
        }
        self.rows
            .insert(write.key, (version + 1, write.row.clone()));
        Event::Written {
            version: version + 1,
        }
    }

    fn read(&mut self, key: u8) -> Event {
        if self.outage || self.chance(15) {
            return Event::ReadFailed;
        }
        match self.rows.get(&key) {
            Some((version, row)) => Event::Read {
                version: *version,
                row: Some(row.clone()),
            },
            None => Event::Read {
                version: 0,
                row: None,
            },
        }
    }

    fn run(&mut self, at: usize) -> TargetOutcome {
        let key = self.calls[at].key;
        if self.chance(10) {
            return TargetOutcome::NotSent;
        }
        *self.runs.entry(key).or_default() += 1;
        *self.own_runs.entry(at).or_default() += 1;
        if self.chance(15) {
            return TargetOutcome::Unknown;
        }
        TargetOutcome::Responded {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: format!("done {key}").into_bytes(),
        }
    }

    /// Takes one call one step further.
    fn advance(&mut self, at: usize) {
        if self.calls[at].dead || self.calls[at].asleep_until > self.now_ms {
            return;
        }
        if self.chance(3) {
            self.calls[at].dead = true;
            return;
        }
        if self.chance(5) {
            // Paused for longer than any lease.
            self.calls[at].asleep_until = self.now_ms + 20_000;
            return;
        }
        let key = self.calls[at].key;
        let event = match self.calls[at].step.clone() {
            Step::WriteClaim { if_version, row } | Step::WriteRecord { if_version, row } => self
                .write(Write {
                    key,
                    if_version,
                    row,
                }),
            Step::Read => self.read(key),
            Step::SendCall => Event::CallEnded(self.run(at)),
            Step::Respond(answer) => {
                self.calls[at].dead = true;
                self.answers.push((at, answer));
                return;
            }
        };
        let now = self.now();
        self.calls[at].step = self.calls[at].call.handle_event(event, self.now_ms, now);
    }

    fn step(&mut self) {
        self.now_ms += self.rng.u64(..400);
        if self.chance(2) {
            self.outage = !self.outage;
        }
        if self.chance(20)
            && let Some(write) = self.delayed.pop_front()
        {
            self.apply(&write);
        }
        if self.rng.u8(..4) == 0 && self.calls.len() < 12 {
            self.begin();
        }
        if !self.calls.is_empty() {
            let at = self.rng.usize(..self.calls.len());
            self.advance(at);
        }
    }

    fn settle(&mut self) {
        self.faulty = false;
        self.outage = false;
        for _ in 0..60 {
            self.now_ms += 100;
            for at in 0..self.calls.len() {
                self.calls[at].asleep_until = 0;
                self.advance(at);
            }
        }
    }

    fn check(&self, seed: u64) {
        for (key, runs) in &self.runs {
            assert!(*runs <= 1, "seed {seed}: key {key} ran {runs} times");
        }
        for (at, answer) in &self.answers {
            let own = self.own_runs.get(at).copied().unwrap_or(0);
            let said_no = matches!(
                answer,
                Response::StoreUnreachable { .. }
                    | Response::TargetUnreachable
                    | Response::KeyReused
            );
            assert!(
                !said_no || own == 0,
                "seed {seed}: call {at} ran, but its caller heard `no`"
            );
            if let Response::Target { body, .. } = answer {
                let expected = format!("done {}", self.calls[*at].key);
                assert_eq!(body, expected.as_bytes(), "seed {seed}: a foreign answer");
            }
        }
    }
}

#[test]
fn no_call_runs_twice_and_no_is_never_said_of_one_that_ran() {
    let mut answered = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed);
        for _ in 0..150 {
            world.step();
        }
        world.settle();
        world.check(seed);
        answered += world.answers.len();
    }
    assert!(
        answered as u64 > seeds(),
        "only {answered} calls were answered"
    );
}

fn claimed() -> (Call, v1::ClaimRow) {
    let owner = ClaimOwner::new("i1", 1, 1);
    let (call, step) = Call::begin(owner, "digest".to_owned(), false, 0, Instant::ZERO);
    match step {
        Step::WriteClaim { if_version: 0, row } => (call, row),
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn lost_reply_to_a_claim_is_resolved_by_reading_back() {
    let (mut call, row) = claimed();
    let at = Instant::from_millis(5);
    assert_eq!(call.handle_event(Event::WriteLost, 0, at), Step::Read);
    let read = Event::Read {
        version: 1,
        row: Some(row),
    };
    assert_eq!(call.handle_event(read, 0, at), Step::SendCall);
}

#[test]
fn paused_holder_does_not_run_after_its_lease() {
    let (mut call, _) = claimed();
    let step = call.handle_event(
        Event::Written { version: 1 },
        0,
        Instant::from_millis(6_000),
    );
    let Step::WriteRecord { row, .. } = step else {
        panic!("unexpected {step:?}");
    };
    assert_eq!(row.state(), v1::ClaimState::NotRun);
}

#[test]
fn resend_gets_the_recorded_answer() {
    let (mut call, row) = claimed();
    let recorded = v1::ClaimRow {
        owner: "other/1/1".to_owned(),
        state: v1::ClaimState::Answered.into(),
        status: 201,
        content_type: "a/b".to_owned(),
        answer: b"done".to_vec(),
        ..row
    };
    let step = call.handle_event(
        Event::Conflict {
            version: 2,
            row: recorded,
        },
        0,
        Instant::ZERO,
    );
    let expected = Response::Target {
        status: 201,
        content_type: "a/b".to_owned(),
        body: b"done".to_vec(),
        replayed: true,
    };
    assert_eq!(step, Step::Respond(expected));
}

#[test]
fn claim_of_a_dead_owner_is_unknown_and_never_run() {
    let (mut call, row) = claimed();
    let abandoned = v1::ClaimRow {
        owner: "dead/1/1".to_owned(),
        claimed_unix_ms: 1,
        ..row
    };
    let later = 10_000_000;
    let step = call.handle_event(
        Event::Conflict {
            version: 1,
            row: abandoned,
        },
        later,
        Instant::ZERO,
    );
    assert_eq!(step, Step::Respond(Response::Unknown));
}

#[test]
fn key_with_another_body_is_refused() {
    let (mut call, row) = claimed();
    let other = v1::ClaimRow {
        owner: "other/1/1".to_owned(),
        body_sha256: "another".to_owned(),
        ..row
    };
    let step = call.handle_event(
        Event::Conflict {
            version: 1,
            row: other,
        },
        0,
        Instant::ZERO,
    );
    assert_eq!(step, Step::Respond(Response::KeyReused));
}

#[test]
fn body_without_a_key_counts_as_new_after_a_while() {
    let owner = ClaimOwner::new("i1", 1, 1);
    let (mut call, step) = Call::begin(owner, "digest".to_owned(), true, 500_000, Instant::ZERO);
    let Step::WriteClaim { row, .. } = step else {
        panic!("unexpected {step:?}");
    };
    let old = v1::ClaimRow {
        owner: "other/1/1".to_owned(),
        state: v1::ClaimState::Answered.into(),
        claimed_unix_ms: 1_000,
        ..row
    };
    let step = call.handle_event(
        Event::Conflict {
            version: 2,
            row: old,
        },
        500_000,
        Instant::ZERO,
    );
    assert!(
        matches!(step, Step::WriteClaim { if_version: 2, .. }),
        "{step:?}"
    );
}
