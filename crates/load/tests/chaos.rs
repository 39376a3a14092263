//! Long random runs of dispatchers against the engine model, in virtual time:
//! engines crash and come back, instances are replaced, connections break,
//! messages are lost, callers go away. Afterwards nothing may be left behind.
//!
//! A longer run: `CYCLAMENGAUGE_SEEDS=2000 cargo test --release -p
//! cyclamengauge-load --test chaos`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use cyclamengauge_core::{
    admission,
    clock::Instant,
    dispatch::{
        Action, Delivery, Dispatcher, Failure, Outcome, OutgoingAttempt, ProbeResult, Settings,
    },
    ids::{AccountId, AttemptId, EngineId, ModelId, RequestId},
    recovery::reservation::{self, ListedReservation, Reply},
    request::{Fingerprint, Request},
    routing::{self, Backlog},
    units::{Tokens, TokensPerSecond},
};
use cyclamengauge_load::model::{Engine, Job, Output, Spec};

const ENGINES: usize = 5;
const INSTANCES: usize = 2;
const STEP: Duration = Duration::from_millis(10);
const FAULTY_TIME: Duration = Duration::from_secs(60);
const QUIET_TIME: Duration = Duration::from_secs(150);
const OUTPUT: u64 = 12;

fn seeds() -> u64 {
    let long = std::env::var("CYCLAMENGAUGE_SEEDS").ok();
    long.and_then(|n| n.parse().ok()).unwrap_or(12)
}

/// An attempt of one incarnation of an instance.
type Name = (u64, AttemptId);

struct Host {
    engine: Engine,
    alive: bool,
    incarnation: u64,
    busy_until: Instant,
    outputs: Vec<Output>,
    jobs: BTreeMap<u64, Name>,
    renewed_at: BTreeMap<String, Instant>,
}

struct Instance {
    dispatcher: Dispatcher,
    incarnation: u64,
    /// Segments still to be read, and the answer's job.
    groups: BTreeMap<AttemptId, (usize, usize, Job)>,
    /// Tokens delivered to each caller.
    delivered: BTreeMap<RequestId, u64>,
    requests: BTreeMap<AttemptId, RequestId>,
}

enum Message {
    Actions {
        incarnation: u64,
        actions: Vec<Action>,
    },
    Token {
        name: Name,
        position: u64,
    },
    Done {
        name: Name,
    },
    Failed {
        name: Name,
        failure: Failure,
    },
    Reserved {
        name: Name,
        engine: usize,
        reply: Reply,
    },
    Released {
        name: Name,
        engine: usize,
    },
}

struct Chaos {
    seed: u64,
    rng: fastrand::Rng,
    now: Instant,
    hosts: Vec<Host>,
    instances: Vec<Instance>,
    messages: Vec<(Instant, Message)>,
    next_job: u64,
    next_request: u64,
    next_incarnation: u64,
    deadlines: BTreeMap<RequestId, Instant>,
    ended: BTreeSet<RequestId>,
    completed: u64,
}

fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("e{number}"))
}

fn number(id: &EngineId) -> usize {
    id.as_str()[1..].parse().unwrap()
}

fn reservation_name(name: Name) -> String {
    format!("{}-{}", name.0, name.1.0)
}

impl Chaos {
    fn new(seed: u64) -> Self {
        let host = |i| Host {
            engine: Engine::new(Spec::default()),
            alive: true,
            incarnation: 100 + i as u64,
            busy_until: Instant::ZERO,
            outputs: Vec::new(),
            jobs: BTreeMap::new(),
            renewed_at: BTreeMap::new(),
        };
        let mut chaos = Self {
            seed,
            rng: fastrand::Rng::with_seed(seed),
            now: Instant::from_millis(1),
            hosts: (0..ENGINES).map(host).collect(),
            instances: Vec::new(),
            messages: Vec::new(),
            next_job: 0,
            next_request: 0,
            next_incarnation: 0,
            deadlines: BTreeMap::new(),
            ended: BTreeSet::new(),
            completed: 0,
        };
        for _ in 0..INSTANCES {
            let instance = chaos.instance();
            chaos.instances.push(instance);
        }
        chaos
    }

    fn instance(&mut self) -> Instance {
        self.next_incarnation += 1;
        let settings = Settings {
            fleet: routing::FleetSettings {
                instances: INSTANCES as u32,
                seed: self.seed + self.next_incarnation,
                ..routing::FleetSettings::default()
            },
            ..Settings::default()
        };
        let mut dispatcher = Dispatcher::new(settings.clone());
        let limits = admission::AccountLimits {
            account: AccountId::new("a"),
            weight: 1.0,
            requests_per_s: 1e9,
            prompt_tokens_per_s: 1e12,
            max_concurrent: 100_000,
        };
        dispatcher.configure(settings, vec![limits]);
        for i in 0..ENGINES {
            let facts = routing::EngineFacts {
                id: engine_id(i),
                model: ModelId::new("m"),
                memory: Tokens(Spec::default().memory_tokens),
                slots: 64,
                prefill_rate: TokensPerSecond(50_000.0),
                network_delay: Duration::from_millis(1),
            };
            dispatcher.declare_engine(facts, false, self.now);
        }
        Instance {
            dispatcher,
            incarnation: self.next_incarnation,
            groups: BTreeMap::new(),
            delivered: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    fn by_incarnation(&mut self, incarnation: u64) -> Option<usize> {
        self.instances
            .iter()
            .position(|i| i.incarnation == incarnation)
    }

    fn later(&mut self, message: Message) {
        let delay = Duration::from_millis(self.rng.u64(1..20));
        self.messages.push((self.now + delay, message));
    }

    fn chance(&mut self, faulty: bool, per_mille: u32) -> bool {
        faulty && self.rng.u32(..1_000) < per_mille
    }

    fn run(&mut self) {
        let faults_end = Instant::ZERO + FAULTY_TIME;
        let end = faults_end + QUIET_TIME;
        while self.now < end {
            self.now = self.now + STEP;
            let faulty = self.now < faults_end;
            if faulty {
                self.arrive();
                self.break_things();
            } else {
                self.hosts.iter_mut().for_each(|h| h.alive = true);
            }
            self.run_engines();
            self.report(faulty);
            self.deliver(faulty);
            for i in 0..self.instances.len() {
                let now = self.now;
                let actions = self.instances[i].dispatcher.tick(now);
                self.apply(i, actions, faulty);
            }
        }
    }

    fn arrive(&mut self) {
        if !self.chance(true, 120) {
            return;
        }
        let prompt = match self.rng.u32(..100) {
            0..85 => self.rng.u64(1_000..8_000),
            85..95 => self.rng.u64(8_000..100_000),
            95..98 => self.rng.u64(100_000..400_000),
            _ => self.rng.u64(400_000..900_000),
        };
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let mut content = [0; 16];
        content[..8].copy_from_slice(&self.next_request.to_le_bytes());
        let deadline = self.now + Duration::from_secs(self.rng.u64(15..60));
        let request = Request {
            id,
            account: AccountId::new("a"),
            model: ModelId::new("m"),
            prompt: Tokens(prompt),
            max_output: Tokens(OUTPUT),
            prefixes: Vec::new(),
            fingerprint: Fingerprint(content),
            deadline,
        };
        let at = self.rng.usize(..self.instances.len());
        let now = self.now;
        self.deadlines.insert(id, deadline);
        self.instances[at].delivered.insert(id, 0);
        let actions = self.instances[at].dispatcher.submit_request(request, now);
        self.apply(at, actions, true);
    }

    fn break_things(&mut self) {
        if self.chance(true, 3) {
            let at = self.rng.usize(..ENGINES);
            self.crash(at);
        }
        if self.chance(true, 10) {
            let at = self.rng.usize(..ENGINES);
            self.hosts[at].alive = true;
        }
        if self.chance(true, 20) {
            self.break_connection();
        }
        if self.chance(true, 1) {
            self.replace_instance();
        }
        if self.chance(true, 10) {
            let at = self.rng.usize(..self.instances.len());
            let callers: Vec<RequestId> = self.instances[at].delivered.keys().copied().collect();
            if let Some(id) = callers.get(self.rng.usize(..callers.len().max(1))) {
                let now = self.now;
                let actions = self.instances[at]
                    .dispatcher
                    .handle_client_disconnect(*id, now);
                self.apply(at, actions, true);
            }
        }
    }

    fn crash(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        host.alive = false;
        host.incarnation += 1_000;
        host.engine.crash();
        host.outputs.clear();
        host.renewed_at.clear();
        let jobs = std::mem::take(&mut host.jobs);
        for name in jobs.into_values() {
            let failure = Failure::Broken;
            self.later(Message::Failed { name, failure });
        }
    }

    fn break_connection(&mut self) {
        let at = self.rng.usize(..ENGINES);
        let jobs: Vec<u64> = self.hosts[at].jobs.keys().copied().collect();
        let Some(job) = jobs.get(self.rng.usize(..jobs.len().max(1))) else {
            return;
        };
        if let Some(name) = self.end_job(at, *job) {
            let failure = Failure::Broken;
            self.later(Message::Failed { name, failure });
        }
    }

    /// An instance dies with all its requests, and another takes its place.
    fn replace_instance(&mut self) {
        let at = self.rng.usize(..self.instances.len());
        let fresh = self.instance();
        let gone = std::mem::replace(&mut self.instances[at], fresh);
        for id in gone.delivered.keys() {
            self.ended.insert(*id);
        }
        for host in 0..ENGINES {
            let orphaned: Vec<u64> = self.hosts[host]
                .jobs
                .iter()
                .filter(|(_, name)| name.0 == gone.incarnation)
                .map(|(job, _)| *job)
                .collect();
            for job in orphaned {
                self.end_job(host, job);
            }
        }
    }

    fn end_job(&mut self, at: usize, job: u64) -> Option<Name> {
        let host = &mut self.hosts[at];
        host.engine.cancel(job);
        host.jobs.remove(&job)
    }

    fn run_engines(&mut self) {
        for at in 0..ENGINES {
            if !self.hosts[at].alive || self.hosts[at].busy_until > self.now {
                continue;
            }
            for output in std::mem::take(&mut self.hosts[at].outputs) {
                self.output(at, output);
            }
            if let Some(step) = self.hosts[at].engine.step() {
                self.hosts[at].busy_until = self.now + step.time;
                self.hosts[at].outputs = step.outputs;
            }
        }
    }

    fn output(&mut self, at: usize, output: Output) {
        match output {
            Output::Token { job, position } => {
                if let Some(name) = self.hosts[at].jobs.get(&job).copied() {
                    // One connection keeps its order, so no delay is drawn.
                    self.messages
                        .push((self.now, Message::Token { name, position }));
                }
            }
            Output::Done { job } => {
                if let Some(name) = self.hosts[at].jobs.remove(&job) {
                    self.messages.push((self.now, Message::Done { name }));
                }
            }
            Output::Crashed => {}
        }
    }

    /// Each engine reports now and then; whoever hears it frees orphans.
    fn report(&mut self, faulty: bool) {
        for at in 0..ENGINES {
            if !self.hosts[at].alive || self.rng.u32(..50) != 0 {
                continue;
            }
            let engine = &self.hosts[at].engine;
            let report = routing::LoadReport {
                backlog: Backlog::from_levels(&engine.unread()),
                running: engine.running() as u32,
                waiting: engine.waiting() as u32,
                reserved: Tokens(engine.reserved()),
            };
            self.sweep(at);
            let incarnation = self.hosts[at].incarnation;
            for i in 0..self.instances.len() {
                let now = self.now;
                let instance = &mut self.instances[i].dispatcher;
                let actions =
                    instance.handle_report(&engine_id(at), incarnation, false, &report, now);
                self.apply(i, actions, faulty);
            }
        }
    }

    fn sweep(&mut self, at: usize) {
        let now = self.now;
        let host = &mut self.hosts[at];
        let listed: Vec<ListedReservation> = host
            .engine
            .reservations()
            .keys()
            .map(|id| ListedReservation {
                id: id.clone(),
                idle: now - host.renewed_at.get(id).copied().unwrap_or_default(),
                ttl: reservation::RESERVATION_TTL,
            })
            .collect();
        for orphan in reservation::orphans(&listed) {
            host.engine.release(&orphan.id);
            host.renewed_at.remove(&orphan.id);
        }
    }

    fn deliver(&mut self, faulty: bool) {
        self.messages.sort_by_key(|(at, _)| *at);
        let due = self.messages.partition_point(|(at, _)| *at <= self.now);
        let ready: Vec<Message> = self.messages.drain(..due).map(|(_, m)| m).collect();
        for message in ready {
            self.take(message, faulty);
        }
    }

    fn take(&mut self, message: Message, faulty: bool) {
        let now = self.now;
        let (incarnation, attempt) = match &message {
            Message::Actions { incarnation, .. } => (*incarnation, AttemptId(0)),
            Message::Token { name, .. }
            | Message::Done { name }
            | Message::Failed { name, .. }
            | Message::Reserved { name, .. }
            | Message::Released { name, .. } => *name,
        };
        let Some(i) = self.by_incarnation(incarnation) else {
            return;
        };
        let dispatcher = &mut self.instances[i].dispatcher;
        let actions = match message {
            Message::Actions { actions, .. } => actions,
            Message::Token { position, .. } => {
                let (delivery, actions) = dispatcher.handle_tokens(attempt, position, 1, now);
                if delivery == Delivery::Deliver {
                    self.count_token(i, attempt, position);
                }
                actions
            }
            Message::Done { .. } => match self.instances[i].groups.contains_key(&attempt) {
                true => self.segment_done(i, attempt),
                false => self.instances[i].dispatcher.handle_completion(attempt, now),
            },
            Message::Failed { failure, .. } => {
                self.instances[i].groups.remove(&attempt);
                self.instances[i]
                    .dispatcher
                    .handle_failure(attempt, failure, now)
            }
            Message::Reserved { engine, reply, .. } => {
                dispatcher.handle_reservation_reply(attempt, &engine_id(engine), reply, now)
            }
            Message::Released { engine, .. } => {
                dispatcher.handle_release(attempt, &engine_id(engine));
                Vec::new()
            }
        };
        self.apply(i, actions, faulty);
    }

    fn count_token(&mut self, i: usize, attempt: AttemptId, position: u64) {
        let request = self.instances[i].requests[&attempt];
        let delivered = self.instances[i].delivered.get_mut(&request).unwrap();
        assert_eq!(*delivered, position, "seed {}: {request}", self.seed);
        *delivered += 1;
    }

    fn segment_done(&mut self, i: usize, attempt: AttemptId) -> Vec<Action> {
        let group = self.instances[i].groups.get_mut(&attempt).unwrap();
        group.0 -= 1;
        if group.0 == 0 {
            let (_, lead, job) = self.instances[i].groups.remove(&attempt).unwrap();
            let name = (self.instances[i].incarnation, attempt);
            self.submit(lead, name, job);
        }
        Vec::new()
    }

    fn apply(&mut self, i: usize, actions: Vec<Action>, faulty: bool) {
        let incarnation = self.instances[i].incarnation;
        for action in actions {
            match action {
                Action::Send(sending) => self.send(i, &sending),
                Action::Cancel { attempt, engines } => {
                    // The connection is closed with the cancellation, so it is
                    // not lost.
                    self.instances[i].groups.remove(&attempt);
                    for engine in engines {
                        self.cancel(number(&engine), (incarnation, attempt));
                    }
                }
                Action::Reserve {
                    attempt,
                    engine,
                    memory,
                } => {
                    let name = (incarnation, attempt);
                    self.reserve(number(&engine), name, memory.get(), faulty);
                }
                Action::Renew { attempt, engine } => {
                    let name = reservation_name((incarnation, attempt));
                    let now = self.now;
                    let host = &mut self.hosts[number(&engine)];
                    if let Some(at) = host.renewed_at.get_mut(&name) {
                        *at = now;
                    }
                }
                Action::Release { attempt, engine } => {
                    self.release(number(&engine), (incarnation, attempt), faulty);
                }
                Action::Probe(engine) => {
                    let host = &self.hosts[number(&engine)];
                    let probed = match host.alive {
                        true => ProbeResult::Alive {
                            incarnation: host.incarnation,
                        },
                        false => ProbeResult::Dead,
                    };
                    let now = self.now;
                    let actions = self.instances[i]
                        .dispatcher
                        .handle_probe_result(&engine, probed, now, now);
                    self.later(Message::Actions {
                        incarnation,
                        actions,
                    });
                }
                Action::Finish { request, outcome } => self.finish(i, request, outcome),
            }
        }
    }

    fn send(&mut self, i: usize, sending: &OutgoingAttempt) {
        let attempt = sending.attempt;
        let name = (self.instances[i].incarnation, attempt);
        self.instances[i].requests.insert(attempt, sending.request);
        let segments = &sending.plan.segments;
        let job = Job {
            prompt: segments[0].prefill_tokens.get(),
            output: OUTPUT,
            resume_from: sending.resume_from,
            memory: segments[0].memory.get(),
            priority: sending.plan.priority.0,
            ..Job::default()
        };
        if segments.len() == 1 {
            self.submit(number(&segments[0].engine), name, job);
            return;
        }
        let lead = number(&segments[0].engine);
        let answer = Job {
            prompt: 1,
            memory: 0,
            ..job.clone()
        };
        let group = (segments.len(), lead, answer);
        self.instances[i].groups.insert(attempt, group);
        for segment in segments {
            let part = Job {
                prompt: segment.prefill_tokens.get(),
                output: 0,
                resume_from: 0,
                memory: 0,
                ..job.clone()
            };
            self.submit(number(&segment.engine), name, part);
        }
    }

    fn submit(&mut self, at: usize, name: Name, job: Job) {
        if !self.hosts[at].alive {
            let failure = Failure::NotSent;
            self.later(Message::Failed { name, failure });
            return;
        }
        self.next_job += 1;
        let id = self.next_job;
        self.hosts[at].jobs.insert(id, name);
        self.hosts[at].engine.submit(Job { id, ..job });
    }

    fn cancel(&mut self, at: usize, name: Name) {
        let jobs = self.hosts[at].jobs.iter();
        let own: Vec<u64> = jobs
            .filter(|(_, n)| **n == name)
            .map(|(job, _)| *job)
            .collect();
        for job in own {
            self.end_job(at, job);
        }
    }

    fn reserve(&mut self, engine: usize, name: Name, memory: u64, faulty: bool) {
        let lost = self.chance(faulty, 100);
        let now = self.now;
        let host = &mut self.hosts[engine];
        let id = reservation_name(name);
        let granted = host.alive && host.engine.reserve(&id, memory);
        if granted {
            host.renewed_at.insert(id, now);
        }
        let reply = match (lost, granted) {
            (true, _) => Reply::Lost,
            (false, true) => Reply::Granted,
            (false, false) => Reply::Refused,
        };
        self.later(Message::Reserved {
            name,
            engine,
            reply,
        });
    }

    fn release(&mut self, engine: usize, name: Name, faulty: bool) {
        if self.chance(faulty, 200) {
            return;
        }
        let id = reservation_name(name);
        self.hosts[engine].engine.release(&id);
        self.hosts[engine].renewed_at.remove(&id);
        self.later(Message::Released { name, engine });
    }

    fn finish(&mut self, i: usize, request: RequestId, outcome: Outcome) {
        let delivered = self.instances[i].delivered.remove(&request);
        let seed = self.seed;
        assert!(
            self.ended.insert(request),
            "seed {seed}: {request} ended twice"
        );
        if outcome == Outcome::Completed {
            assert_eq!(
                delivered,
                Some(OUTPUT),
                "seed {seed}: {request} is a fragment"
            );
            self.completed += 1;
        }
        let late = self.now - self.deadlines[&request];
        assert!(
            late <= STEP * 2,
            "seed {seed}: {request} ended {late:?} late"
        );
    }

    fn check(&self) {
        let seed = self.seed;
        for (i, host) in self.hosts.iter().enumerate() {
            let engine = &host.engine;
            assert_eq!(
                engine.running() + engine.waiting(),
                0,
                "seed {seed}: work left on e{i}"
            );
            assert_eq!(engine.reserved(), 0, "seed {seed}: memory left on e{i}");
        }
        for instance in &self.instances {
            assert_eq!(instance.dispatcher.in_flight(), 0, "seed {seed}");
            assert_eq!(instance.dispatcher.reservations(), 0, "seed {seed}");
        }
        assert_eq!(self.ended.len() as u64, self.next_request, "seed {seed}");
        assert!(
            self.completed > 100,
            "seed {seed}: only {} answered",
            self.completed
        );
    }
}

#[test]
fn nothing_is_left_behind_and_nobody_waits_beyond_the_deadline() {
    for seed in 0..seeds() {
        let mut chaos = Chaos::new(seed);
        chaos.run();
        chaos.check();
    }
}
