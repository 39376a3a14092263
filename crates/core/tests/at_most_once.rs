//! At-most-once execution of non-idempotent calls by several instances, with a
//! faulty store.

use std::collections::{BTreeMap, VecDeque};

use cyclamengauge_core::{
    at_most_once::{Call, ClaimOwner, Event, Response, Step, TargetOutcome},
    clock::Instant,
};
use cyclamengauge_schema::v1;

/// Number of seeds to run, from `CYCLAMENGAUGE_SEEDS` if the variable is set, as
/// in the long test run.
fn seed_count() -> u64 {
    let configured = std::env::var("CYCLAMENGAUGE_SEEDS").ok();
    configured.and_then(|n| n.parse().ok()).unwrap_or(3_000)
}

/// Write to the store, which may be delayed.
#[derive(Clone)]
struct Write {
    key: u8,
    if_version: u64,
    row: v1::ClaimRow,
}

/// Call on one instance, with its next step.
struct ActiveCall {
    key: u8,
    call: Call,
    step: Step,
    paused_until_ms: u64,
    /// The call has ended, or its instance has crashed.
    ended: bool,
}

/// Simulated instances, a faulty store, and a target that counts executions.
struct Simulation {
    rng: fastrand::Rng,
    now_ms: u64,
    /// Version and content of each row in the store, by key.
    rows: BTreeMap<u8, (u64, v1::ClaimRow)>,
    delayed_writes: VecDeque<Write>,
    calls: Vec<ActiveCall>,
    /// Number of executions by key.
    executions_by_key: BTreeMap<u8, u32>,
    /// Number of executions by index of the call.
    executions_by_call: BTreeMap<usize, u32>,
    /// Responses to clients, with the index of the call.
    responses: Vec<(usize, Response)>,
    call_count: u64,
    is_store_down: bool,
    /// Whether writes, reads, calls and instances may fail.
    has_faults: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now_ms: 1_000_000,
            rows: BTreeMap::new(),
            delayed_writes: VecDeque::new(),
            calls: Vec::new(),
            executions_by_key: BTreeMap::new(),
            executions_by_call: BTreeMap::new(),
            responses: Vec::new(),
            call_count: 0,
            is_store_down: false,
            has_faults: true,
        }
    }

    fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    fn begin(&mut self) {
        self.call_count += 1;
        let key = self.rng.u8(..2);
        let owner = ClaimOwner::new("i", 1, self.call_count);
        let (call, step) =
            Call::begin(owner, format!("body-{key}"), false, self.now_ms, self.now());
        self.calls.push(ActiveCall {
            key,
            call,
            step,
            paused_until_ms: 0,
            ended: false,
        });
    }

    fn roll_fault(&mut self, percent: u8) -> bool {
        self.has_faults && self.rng.u8(..100) < percent
    }

    fn write(&mut self, write: Write) -> Event {
        if self.is_store_down || self.roll_fault(10) {
            return Event::WriteLost;
        }
        if self.roll_fault(10) {
            self.delayed_writes.push_back(write);
            return Event::WriteLost;
        }
        let event = self.apply(&write);
        if self.roll_fault(15) {
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
        if self.is_store_down || self.roll_fault(15) {
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

    fn execute(&mut self, index: usize) -> TargetOutcome {
        let key = self.calls[index].key;
        if self.roll_fault(10) {
            return TargetOutcome::NotSent;
        }
        *self.executions_by_key.entry(key).or_default() += 1;
        *self.executions_by_call.entry(index).or_default() += 1;
        if self.roll_fault(15) {
            return TargetOutcome::Unknown;
        }
        TargetOutcome::Responded {
            status: 201,
            content_type: "text/plain".to_owned(),
            body: format!("done {key}").into_bytes(),
        }
    }

    /// Performs the next step of a call.
    fn advance(&mut self, index: usize) {
        if self.calls[index].ended || self.calls[index].paused_until_ms > self.now_ms {
            return;
        }
        if self.roll_fault(3) {
            self.calls[index].ended = true;
            return;
        }
        if self.roll_fault(5) {
            // Pauses the instance for longer than a claim lease.
            self.calls[index].paused_until_ms = self.now_ms + 20_000;
            return;
        }
        let key = self.calls[index].key;
        let event = match self.calls[index].step.clone() {
            Step::WriteClaim { if_version, row } | Step::WriteRecord { if_version, row } => self
                .write(Write {
                    key,
                    if_version,
                    row,
                }),
            Step::Read => self.read(key),
            Step::SendCall => Event::CallEnded(self.execute(index)),
            Step::Respond(response) => {
                self.calls[index].ended = true;
                self.responses.push((index, response));
                return;
            }
        };
        let now = self.now();
        self.calls[index].step = self.calls[index].call.handle_event(event, self.now_ms, now);
    }

    fn step(&mut self) {
        self.now_ms += self.rng.u64(..400);
        if self.roll_fault(2) {
            self.is_store_down = !self.is_store_down;
        }
        if self.roll_fault(20)
            && let Some(write) = self.delayed_writes.pop_front()
        {
            self.apply(&write);
        }
        if self.rng.u8(..4) == 0 && self.calls.len() < 12 {
            self.begin();
        }
        if !self.calls.is_empty() {
            let index = self.rng.usize(..self.calls.len());
            self.advance(index);
        }
    }

    /// Runs all calls to their end, without faults.
    fn finish_without_faults(&mut self) {
        self.has_faults = false;
        self.is_store_down = false;
        for _ in 0..60 {
            self.now_ms += 100;
            for index in 0..self.calls.len() {
                self.calls[index].paused_until_ms = 0;
                self.advance(index);
            }
        }
    }

    fn check(&self, seed: u64) {
        for (key, executions) in &self.executions_by_key {
            assert!(
                *executions <= 1,
                "seed {seed}: key {key} was executed {executions} times, at most 1 allowed"
            );
        }
        for (index, response) in &self.responses {
            let executions = self.executions_by_call.get(index).copied().unwrap_or(0);
            let reports_not_executed = matches!(
                response,
                Response::StoreUnreachable { .. }
                    | Response::TargetUnreachable
                    | Response::KeyReused
            );
            assert!(
                !reports_not_executed || executions == 0,
                "seed {seed}: call {index} was executed, but its response {response:?} says it was not"
            );
            if let Response::Target { body, .. } = response {
                let expected = format!("done {}", self.calls[*index].key);
                assert_eq!(
                    body,
                    expected.as_bytes(),
                    "seed {seed}: call {index} got the response of another key"
                );
            }
        }
    }
}

#[test]
fn no_call_is_executed_twice_or_reported_as_not_executed_after_execution() {
    let mut response_count = 0;
    for seed in 0..seed_count() {
        let mut simulation = Simulation::new(seed);
        for _ in 0..150 {
            simulation.step();
        }
        simulation.finish_without_faults();
        simulation.check(seed);
        response_count += simulation.responses.len();
    }
    assert!(
        response_count as u64 > seed_count(),
        "{response_count} responses, expected more than {}",
        seed_count()
    );
}

/// Call whose next step is the write of its claim, and the row of the claim.
fn call_before_claim() -> (Call, v1::ClaimRow) {
    let owner = ClaimOwner::new("i1", 1, 1);
    let (call, step) = Call::begin(owner, "digest".to_owned(), false, 0, Instant::ZERO);
    match step {
        Step::WriteClaim { if_version: 0, row } => (call, row),
        other => panic!("expected a claim for an absent row, got {other:?}"),
    }
}

#[test]
fn claim_with_lost_reply_is_confirmed_by_reading_the_row() {
    let (mut call, row) = call_before_claim();
    let at = Instant::from_millis(5);
    assert_eq!(call.handle_event(Event::WriteLost, 0, at), Step::Read);
    let read = Event::Read {
        version: 1,
        row: Some(row),
    };
    assert_eq!(call.handle_event(read, 0, at), Step::SendCall);
}

#[test]
fn paused_owner_does_not_send_the_call_after_its_lease() {
    let (mut call, _) = call_before_claim();
    let step = call.handle_event(
        Event::Written { version: 1 },
        0,
        Instant::from_millis(6_000),
    );
    let Step::WriteRecord { row, .. } = step else {
        panic!("expected a write of the record, got {step:?}");
    };
    assert_eq!(row.state(), v1::ClaimState::NotRun);
}

#[test]
fn repeated_call_gets_the_recorded_response() {
    let (mut call, row) = call_before_claim();
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
fn call_claimed_by_a_crashed_owner_is_unknown_and_not_sent_again() {
    let (mut call, row) = call_before_claim();
    let abandoned = v1::ClaimRow {
        owner: "dead/1/1".to_owned(),
        claimed_unix_ms: 1,
        ..row
    };
    let later_unix_ms = 10_000_000;
    let step = call.handle_event(
        Event::Conflict {
            version: 1,
            row: abandoned,
        },
        later_unix_ms,
        Instant::ZERO,
    );
    assert_eq!(step, Step::Respond(Response::Unknown));
}

#[test]
fn key_reused_with_another_body_is_refused() {
    let (mut call, row) = call_before_claim();
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
fn call_without_a_key_is_claimed_anew_after_the_implicit_key_expires() {
    let owner = ClaimOwner::new("i1", 1, 1);
    let (mut call, step) = Call::begin(owner, "digest".to_owned(), true, 500_000, Instant::ZERO);
    let Step::WriteClaim { row, .. } = step else {
        panic!("expected a write of the claim, got {step:?}");
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
        "expected a claim over row version 2, got {step:?}"
    );
}
