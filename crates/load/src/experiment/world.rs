//! The instances, the engines and the messages between them.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    dispatch::{self, Action, Dispatcher, Failure, Outcome, OutgoingAttempt, ProbeResult},
    ids::{AttemptId, RequestId},
    recovery::reservation::Reply,
    request::{Prefix, PrefixHash, Refusal, Request},
    routing::{self, Policy},
    units::{Tokens, TokensPerSecond},
};

use crate::{
    experiment::{
        Figures,
        parts::{
            self, EngineState, INSTANCES, Snapshot, ToEngine, ToInstance, account_id, attempt_of,
            engine_id, engine_index, fingerprint, job_of, model_id, reservation_name,
        },
    },
    model::{self, Arrival, Deployment, Job, Output, Spec},
};

/// Data centres over which instances and engines are spread.
const DATA_CENTRES: usize = 3;

/// One-way delay within a data centre.
const WITHIN_DATA_CENTRE: Duration = Duration::from_micros(100);

/// Silence of an engine after which an instance asks for a report.
const POLL_AFTER: Duration = Duration::from_secs(2);

/// Time for which a run goes on after its last arrival.
const RUN_OUT: Duration = Duration::from_secs(240);

/// Client accounts in the mix.
const ACCOUNTS: usize = 10;

/// What a run is made under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// How engines are chosen.
    pub policy: Policy,
    /// Whose callers send.
    pub deployment: Deployment,
    /// Arrivals as a share of what the whole fleet can do.
    pub load: f64,
    /// Engines in the fleet.
    pub engines: usize,
    /// Engines that die halfway.
    pub engines_lost: usize,
    /// Length of the arrivals.
    pub time: Duration,
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Whether the long prompts are taken out of the arrivals.
    pub without_long: bool,
}

/// Runs the arrivals to their end and returns what came of them.
pub fn run(conditions: &Conditions) -> Figures {
    let spec = Spec::default();
    let capacity = model::Mix::capacity_per_s(conditions.deployment, spec, conditions.engines);
    let mut mix = model::Mix::new(conditions.deployment, spec, conditions.seed);
    let mut arrivals = mix.arrivals(capacity * conditions.load, conditions.time);
    if conditions.without_long {
        arrivals.retain(|arrival| !model::is_long(arrival.prompt));
    }
    let mut world = World::new(conditions, arrivals);
    world.run();
    world.figures(conditions.time)
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize),
    Step {
        engine: usize,
        epoch: u64,
        outputs: Vec<Output>,
    },
    ToEngine(usize, ToEngine),
    ToInstance {
        instance: usize,
        engine: usize,
        message: ToInstance,
        report: Option<Box<Snapshot>>,
    },
    Tick(usize),
    Poll(usize),
    Kill(usize),
}

struct InstanceState {
    dispatcher: Dispatcher,
    heard_at: Vec<Instant>,
    tick_at: Option<Instant>,
    /// Attempts of groups: segments still to be read, and the job to send then.
    groups: HashMap<AttemptId, (usize, usize, Job)>,
    /// Request of each attempt.
    attempts: HashMap<AttemptId, RequestId>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    first_at: Option<Instant>,
    end_at: Option<Instant>,
    refusal: Option<Refusal>,
    completed: bool,
}

struct World {
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    numbers: u64,
    engines: Vec<EngineState>,
    instances: Vec<InstanceState>,
    arrivals: Vec<Arrival>,
    fates: Vec<Fate>,
    deployment: Deployment,
    last_arrival: Instant,
}

impl World {
    fn new(conditions: &Conditions, arrivals: Vec<Arrival>) -> Self {
        let spec = Spec::default();
        let engines = (0..conditions.engines).map(|_| EngineState::new(spec));
        let mut world = Self {
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            numbers: 0,
            engines: engines.collect(),
            instances: Vec::new(),
            fates: vec![Fate::default(); arrivals.len()],
            last_arrival: Instant::from_start(conditions.time),
            arrivals,
            deployment: conditions.deployment,
        };
        for instance in 0..INSTANCES {
            let state = world.instance(instance, conditions);
            world.instances.push(state);
            world.push(Instant::ZERO, Event::Tick(instance));
            world.push(Instant::from_millis(250), Event::Poll(instance));
        }
        let delay = conditions.deployment.from_callers();
        for i in 0..world.arrivals.len() {
            let at = Instant::from_start(world.arrivals[i].at + delay);
            world.push(at, Event::Arrive(i));
        }
        for engine in 0..conditions.engines_lost {
            let halfway = Instant::from_start(conditions.time / 2);
            world.push(halfway, Event::Kill(engine));
        }
        world
    }

    fn instance(&self, number: usize, conditions: &Conditions) -> InstanceState {
        let settings = dispatch::Settings {
            fleet: routing::FleetSettings {
                policy: conditions.policy,
                short_weight: conditions.deployment.short_weight(),
                instances: INSTANCES as u32,
                instance_index: number as u32,
                seed: conditions.seed.wrapping_add(number as u64 + 1),
            },
            max_in_flight: 1_000_000,
            // Tokens after the first are not simulated one by one, so silence
            // says nothing here.
            stall_timeout: Duration::from_secs(100_000),
            max_ejected_share: 0.2,
        };
        let mut dispatcher = Dispatcher::new(settings.clone());
        dispatcher.configure(settings, (0..ACCOUNTS).map(parts::account).collect());
        for engine in 0..conditions.engines {
            let id = engine_id(engine);
            let facts = routing::EngineFacts {
                id: id.clone(),
                model: model_id(),
                memory: Tokens(Spec::default().memory_tokens),
                slots: Spec::default().slots as u32,
                prefill_rate: TokensPerSecond(Spec::default().prefill_tokens_per_s),
                network_delay: self.delay(number, engine),
            };
            dispatcher.declare_engine(facts, false, self.now);
            dispatcher.handle_report(&id, 1, false, &routing::LoadReport::default(), self.now);
        }
        InstanceState {
            dispatcher,
            heard_at: vec![Instant::ZERO; conditions.engines],
            tick_at: None,
            groups: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    fn run(&mut self) {
        let end = self.last_arrival + RUN_OUT;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(i) => self.arrive(i),
            Event::Step {
                engine,
                epoch,
                outputs,
            } => self.step_ended(engine, epoch, outputs),
            Event::ToEngine(engine, message) => self.at_engine(engine, message),
            Event::ToInstance {
                instance,
                engine,
                message,
                report,
            } => {
                self.at_instance(instance, engine, message, report);
            }
            Event::Tick(instance) => self.tick(instance),
            Event::Poll(instance) => self.poll(instance),
            Event::Kill(engine) => self.kill(engine),
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let instance = (arrival.instance % INSTANCES as u64) as usize;
        let prefixes = arrival.prefixes.iter().map(|(hash, length)| Prefix {
            hash: PrefixHash(*hash),
            length: Tokens(*length),
        });
        let request = Request {
            id: RequestId(i as u64),
            account: account_id(arrival.account),
            model: model_id(),
            prompt: Tokens(arrival.prompt),
            max_output: Tokens(arrival.output),
            prefixes: prefixes.collect(),
            fingerprint: fingerprint(i),
            deadline: self.now + arrival.deadline,
        };
        let now = self.now;
        let actions = self.instances[instance]
            .dispatcher
            .submit_request(request, now);
        self.apply(instance, actions);
    }

    fn tick(&mut self, instance: usize) {
        let now = self.now;
        let state = &mut self.instances[instance];
        if state.tick_at.is_some_and(|at| at < now) || state.tick_at.is_none() {
            state.tick_at = None;
        }
        let actions = state.dispatcher.tick(now);
        state.tick_at = None;
        self.apply(instance, actions);
    }

    /// Asks engines that have been silent, as the daemon does.
    fn poll(&mut self, instance: usize) {
        for engine in 0..self.engines.len() {
            let heard_at = self.instances[instance].heard_at[engine];
            if self.now - heard_at >= POLL_AFTER {
                self.send_to_engine(instance, engine, ToEngine::Report { instance });
            }
        }
        if self.now < self.last_arrival + RUN_OUT {
            self.push(self.now + Duration::from_millis(250), Event::Poll(instance));
        }
    }

    fn kill(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.alive = false;
        state.busy = false;
        state.epoch += 1;
        state.engine.crash();
        let broken: Vec<(u64, (usize, u64))> = state.owners.drain().collect();
        for (job, (instance, _)) in broken {
            let attempt = attempt_of(job);
            let failure = Failure::Broken;
            self.send_to_instance(
                instance,
                engine,
                ToInstance::Failed { attempt, failure },
                false,
            );
        }
    }

    fn at_engine(&mut self, engine: usize, message: ToEngine) {
        if !self.engines[engine].alive {
            self.refuse_connection(engine, message);
            return;
        }
        match message {
            ToEngine::Submit { instance, job } => {
                let owner = (instance, job.resume_from);
                self.engines[engine].owners.insert(job.id, owner);
                self.engines[engine].engine.submit(job);
                self.start_step(engine);
            }
            ToEngine::Cancel { job } => {
                self.engines[engine].owners.remove(&job);
                self.engines[engine].engine.cancel(job);
            }
            ToEngine::Reserve {
                instance,
                attempt,
                memory,
            } => {
                let name = reservation_name(instance, attempt);
                let reply = match self.engines[engine].engine.reserve(&name, memory) {
                    true => Reply::Granted,
                    false => Reply::Refused,
                };
                self.send_to_instance(
                    instance,
                    engine,
                    ToInstance::Reserved { attempt, reply },
                    true,
                );
            }
            ToEngine::Release { instance, attempt } => {
                let name = reservation_name(instance, attempt);
                self.engines[engine].engine.release(&name);
                self.send_to_instance(instance, engine, ToInstance::Released { attempt }, false);
                self.start_step(engine);
            }
            ToEngine::Report { instance } => {
                self.send_to_instance(instance, engine, ToInstance::Report, true);
            }
        }
    }

    fn refuse_connection(&mut self, engine: usize, message: ToEngine) {
        let (instance, answer) = match message {
            ToEngine::Submit { instance, job } => {
                let attempt = attempt_of(job.id);
                let failure = Failure::NotSent;
                (instance, ToInstance::Failed { attempt, failure })
            }
            ToEngine::Reserve {
                instance, attempt, ..
            } => {
                let reply = Reply::Refused;
                (instance, ToInstance::Reserved { attempt, reply })
            }
            ToEngine::Release { instance, attempt } => (instance, ToInstance::Released { attempt }),
            ToEngine::Report { instance } => (instance, ToInstance::Dead),
            ToEngine::Cancel { .. } => return,
        };
        self.send_to_instance(instance, engine, answer, false);
    }

    fn start_step(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        if state.busy {
            return;
        }
        let Some(step) = state.engine.step() else {
            return;
        };
        state.busy = true;
        let epoch = state.epoch;
        let outputs = step.outputs;
        self.push(
            self.now + step.time,
            Event::Step {
                engine,
                epoch,
                outputs,
            },
        );
    }

    fn step_ended(&mut self, engine: usize, epoch: u64, outputs: Vec<Output>) {
        if self.engines[engine].epoch != epoch {
            return;
        }
        self.engines[engine].busy = false;
        for output in outputs {
            match output {
                Output::Token { job, position } => self.token(engine, job, position),
                Output::Done { job } => self.output(engine, job, true),
                Output::Crashed => {}
            }
        }
        self.start_step(engine);
    }

    /// Of an answer's tokens only the first is passed on, which keeps runs quick.
    fn token(&mut self, engine: usize, job: u64, position: u64) {
        let owner = self.engines[engine].owners.get(&job);
        if owner.is_some_and(|(_, first)| *first == position) {
            self.output(engine, job, false);
        }
    }

    fn output(&mut self, engine: usize, job: u64, done: bool) {
        let Some((instance, first)) = self.engines[engine].owners.get(&job).copied() else {
            return;
        };
        let attempt = attempt_of(job);
        let grouped = self.instances[instance].groups.contains_key(&attempt);
        let message = match (done, grouped) {
            (true, true) => ToInstance::SegmentDone { attempt },
            (true, false) => ToInstance::Done { attempt },
            (false, _) => ToInstance::First { attempt, first },
        };
        if done {
            self.engines[engine].owners.remove(&job);
        }
        self.send_to_instance(instance, engine, message, true);
    }

    fn at_instance(
        &mut self,
        instance: usize,
        engine: usize,
        message: ToInstance,
        report: Option<Box<Snapshot>>,
    ) {
        if let Some(report) = report {
            self.take_report(instance, engine, &report);
        }
        let now = self.now;
        let id = engine_id(engine);
        let state = &mut self.instances[instance];
        let actions = match message {
            ToInstance::First { attempt, first } => {
                let (_, actions) = state.dispatcher.handle_tokens(attempt, first, 1, now);
                self.first_token(instance, attempt);
                actions
            }
            ToInstance::Done { attempt } => state.dispatcher.handle_completion(attempt, now),
            ToInstance::SegmentDone { attempt } => {
                self.segment_done(instance, attempt);
                Vec::new()
            }
            ToInstance::Failed { attempt, failure } => {
                state.groups.remove(&attempt);
                state.dispatcher.handle_failure(attempt, failure, now)
            }
            ToInstance::Reserved { attempt, reply } => state
                .dispatcher
                .handle_reservation_reply(attempt, &id, reply, now),
            ToInstance::Released { attempt } => {
                state.dispatcher.handle_release(attempt, &id);
                Vec::new()
            }
            ToInstance::Dead => {
                state
                    .dispatcher
                    .handle_probe_result(&id, ProbeResult::Dead, now, now)
            }
            ToInstance::Report => Vec::new(),
        };
        self.apply(instance, actions);
    }

    fn take_report(&mut self, instance: usize, engine: usize, report: &Snapshot) {
        let now = self.now;
        let id = engine_id(engine);
        let state = &mut self.instances[instance];
        state.heard_at[engine] = now;
        let actions = state
            .dispatcher
            .handle_report(&id, 1, false, &report.load, now);
        state
            .dispatcher
            .handle_cache_events(&id, report.first_event, &report.events, now);
        self.apply(instance, actions);
    }

    fn first_token(&mut self, instance: usize, attempt: AttemptId) {
        let Some(request) = self.instances[instance].attempts.get(&attempt) else {
            return;
        };
        let at = self.now + self.deployment.from_callers();
        let fate = &mut self.fates[request.0 as usize];
        fate.first_at.get_or_insert(at);
    }

    /// Once all segments are read, the lead engine generates the answer.
    fn segment_done(&mut self, instance: usize, attempt: AttemptId) {
        let Some((left, lead, job)) = self.instances[instance].groups.get_mut(&attempt) else {
            return;
        };
        *left -= 1;
        if *left > 0 {
            return;
        }
        let (lead, job) = (*lead, job.clone());
        self.instances[instance].groups.remove(&attempt);
        self.send_to_engine(instance, lead, ToEngine::Submit { instance, job });
    }

    fn apply(&mut self, instance: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(sending) => self.send(instance, &sending),
                Action::Cancel { attempt, engines } => {
                    self.instances[instance].groups.remove(&attempt);
                    for engine in engines {
                        let job = job_of(instance, attempt);
                        self.send_to_engine(
                            instance,
                            engine_index(&engine),
                            ToEngine::Cancel { job },
                        );
                    }
                }
                Action::Reserve {
                    attempt,
                    engine,
                    memory,
                } => {
                    let message = ToEngine::Reserve {
                        instance,
                        attempt,
                        memory: memory.get(),
                    };
                    self.send_to_engine(instance, engine_index(&engine), message);
                }
                Action::Release { attempt, engine } => {
                    let message = ToEngine::Release { instance, attempt };
                    self.send_to_engine(instance, engine_index(&engine), message);
                }
                Action::Renew { .. } => {}
                Action::Probe(engine) => {
                    let message = ToEngine::Report { instance };
                    self.send_to_engine(instance, engine_index(&engine), message);
                }
                Action::Finish { request, outcome } => self.finish(request, outcome),
            }
        }
        self.schedule_tick(instance);
    }

    fn send(&mut self, instance: usize, sending: &OutgoingAttempt) {
        let attempt = sending.attempt;
        let arrival = &self.arrivals[sending.request.0 as usize];
        let job = Job {
            id: job_of(instance, attempt),
            prompt: arrival.prompt,
            output: arrival.output,
            resume_from: sending.resume_from,
            memory: arrival.prompt + arrival.output,
            priority: sending.plan.priority.0,
            prefixes: arrival.prefixes.clone(),
            poison: false,
        };
        self.instances[instance]
            .attempts
            .insert(attempt, sending.request);
        let segments = &sending.plan.segments;
        if let [only] = &segments[..] {
            let engine = engine_index(&only.engine);
            self.send_to_engine(instance, engine, ToEngine::Submit { instance, job });
            return;
        }
        let lead = engine_index(&segments[0].engine);
        let answer = Job {
            prompt: 1,
            memory: 0,
            prefixes: Vec::new(),
            ..job.clone()
        };
        let group = (segments.len(), lead, answer);
        self.instances[instance].groups.insert(attempt, group);
        for segment in segments {
            let part = Job {
                prompt: segment.prefill_tokens.get(),
                output: 0,
                memory: 0,
                prefixes: Vec::new(),
                ..job.clone()
            };
            let engine = engine_index(&segment.engine);
            self.send_to_engine(
                instance,
                engine,
                ToEngine::Submit {
                    instance,
                    job: part,
                },
            );
        }
    }

    fn finish(&mut self, request: RequestId, outcome: Outcome) {
        let at = self.now + self.deployment.from_callers();
        let fate = &mut self.fates[request.0 as usize];
        fate.end_at = Some(at);
        match outcome {
            Outcome::Completed => fate.completed = true,
            Outcome::Refused(refusal) => fate.refusal = Some(refusal),
            Outcome::Abandoned => {}
        }
    }

    fn schedule_tick(&mut self, instance: usize) {
        let state = &mut self.instances[instance];
        let Some(next) = state.dispatcher.next_tick() else {
            return;
        };
        if state.tick_at.is_some_and(|at| at <= next && at > self.now) {
            return;
        }
        let at = next.max(self.now + Duration::from_micros(1));
        state.tick_at = Some(at);
        self.push(at, Event::Tick(instance));
    }

    fn send_to_engine(&mut self, instance: usize, engine: usize, message: ToEngine) {
        let at = self.now + self.delay(instance, engine);
        self.push(at, Event::ToEngine(engine, message));
    }

    fn send_to_instance(
        &mut self,
        instance: usize,
        engine: usize,
        message: ToInstance,
        report: bool,
    ) {
        let report = report.then(|| Box::new(self.engines[engine].snapshot(instance)));
        let at = self.now + self.delay(instance, engine);
        self.push(
            at,
            Event::ToInstance {
                instance,
                engine,
                message,
                report,
            },
        );
    }

    fn delay(&self, instance: usize, engine: usize) -> Duration {
        match instance % DATA_CENTRES == engine % DATA_CENTRES {
            true => WITHIN_DATA_CENTRE,
            false => self.deployment.between_data_centres(),
        }
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.numbers += 1;
        self.events.insert(self.numbers, event);
        self.queue.push(Reverse((at, self.numbers)));
    }

    fn figures(&self, time: Duration) -> Figures {
        let mut figures = Figures::new(time);
        for (arrival, fate) in self.arrivals.iter().zip(&self.fates) {
            let sent = Instant::from_start(arrival.at);
            let ttft = fate.first_at.map(|at| at - sent);
            let in_time = fate.completed
                && fate.end_at.is_some_and(|at| {
                    at - sent <= arrival.deadline + self.deployment.from_callers() * 2
                });
            figures.add(arrival.prompt, ttft, in_time, fate.completed, fate.refusal);
        }
        let worked = self.engines.iter().map(|state| state.engine.worked());
        for (useful, wasted) in worked {
            figures.add_work(useful, wasted);
        }
        let left = self
            .engines
            .iter()
            .map(|s| s.engine.reservations().len())
            .sum();
        figures.reservations_left = left;
        figures
    }
}
