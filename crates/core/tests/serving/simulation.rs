//! A simulation of instances that place requests on engines.
//!
//! A simulated engine prefills the parts it was sent within its iterations, the parts
//! of split prompts first, and emits one event per iteration for each decoding stream.
//! Several instances place requests by the loads that their peers reported.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use cyclamengauge_core::{
    clock::Instant,
    ids::{InstanceId, ServiceId},
    serving::{
        cost::EngineModel,
        dissemination::{DueMessage, Schedule},
        pace::PaceReport,
        peers,
        placement::{Placement, PlacementRequest, choose},
        queue::{self, EntryId, Queue, QueuedPrompt},
        rate::ArrivalRate,
        targets::{InFlightId, LoadReport, Outcome, Targets},
    },
};

use crate::fleet::{id, model, ms, placement_request, stream, targets_of};

const TICK_MS: u64 = 1;

/// How instances report their loads to each other.
#[derive(Clone, Copy)]
pub enum Gossip {
    /// Each instance reports its complete state at this interval in ms, and learns of
    /// nothing else.
    Complete(u64),
    /// Each instance reports changes and complete states as the daemon does.
    Scheduled,
}

#[derive(Clone, Copy)]
pub struct Deployment {
    pub instances: usize,
    pub engines: usize,
    pub slots: u32,
    pub gossip: Gossip,
}

/// Time for a scheduled message to arrive.
const TRANSIT_MS: u64 = 2;

/// A message that has not arrived yet.
struct Message {
    arrives_ms: u64,
    from: usize,
    report: LoadReport,
    prompts: Vec<QueuedPrompt>,
    paces: Vec<PaceReport>,
}

/// What instances know of the engines' speeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// They take all engines for equally fast.
    Ignored,
    /// They learn speeds from the answers.
    Learned,
    /// They know the speeds at all times.
    Known,
}

/// Factor on the times of an engine, at a time in ms and with so many decoding streams.
pub type Slowdown<'a> = &'a dyn Fn(usize, u64, usize) -> f64;

/// A request of a simulation with uneven engines.
pub struct Served {
    pub arrived_ms: u64,
    pub lead: usize,
    /// Time to the first event; none if it had none until the end.
    pub first_event_ms: Option<u64>,
}

/// What a simulation with uneven engines shows.
pub struct UnevenRun {
    pub requests: Vec<Served>,
    /// Slowdown of each engine as the first instance assumes it, at each 100 ms.
    pub assumed: Vec<Vec<f64>>,
}

#[derive(Clone, Copy)]
pub struct RequestKind {
    pub per_s: f64,
    pub tokens: u64,
    pub events: u32,
}

struct Request {
    instance: usize,
    tokens: u64,
    arrived_ms: u64,
    events_left: u32,
    queue_entry: Option<EntryId>,
    in_flight_id: Option<InFlightId>,
    parts_left: usize,
    lead: usize,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    longest_gap_ms: u64,
    done: bool,
}

#[derive(Default)]
struct Engine {
    /// Requests and the prefill time of their parts, in ms.
    queued_parts: Vec<(usize, f64)>,
    /// Requests past their prefill.
    decoding: Vec<usize>,
    /// End of the current iteration, in ms, and the requests prefilled in it.
    iteration: Option<(u64, Vec<usize>)>,
}

pub struct OnTimeCount {
    pub prompt_tokens: u64,
    pub requests: usize,
    pub on_time: usize,
}

struct Simulation<'a> {
    slowdown: Slowdown<'a>,
    deployment: Deployment,
    rates: Vec<ArrivalRate>,
    instances: Vec<(Targets, Queue)>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    rng: fastrand::Rng,
    /// Time of the next complete state of each instance, in ms.
    next_gossip_ms: Vec<u64>,
    schedules: Vec<Schedule>,
    /// Number of the latest report of each instance.
    sequences: Vec<u64>,
    messages: VecDeque<Message>,
    /// Time in ms until which the instances have not heard of each other.
    unheard_until_ms: u64,
}

/// Simulates a load and counts the requests of each kind that are on time: the first
/// event within its objective or `first_event_limit`, whichever is longer, and each
/// gap within the gap objective.
pub fn simulate(
    deployment: Deployment,
    kinds: &[RequestKind],
    seconds: u64,
    first_event_limit: Duration,
    seed: u64,
) -> Vec<OnTimeCount> {
    let mut simulation = Simulation::new(deployment, seed, &|_, _, _| 1.0);
    simulation.run(kinds, seconds, |_, _| {});
    kinds
        .iter()
        .map(|kind| simulation.on_time_count(kind, first_event_limit))
        .collect()
}

/// Simulates `requests` of a kind that arrive evenly within `within_ms` at instances that
/// have just started and hear of each other from `unheard_ms` on, and counts those that meet
/// their objectives.
pub fn simulate_return(
    deployment: Deployment,
    kind: RequestKind,
    requests: u64,
    within_ms: u64,
    unheard_ms: u64,
    seed: u64,
) -> OnTimeCount {
    let mut simulation = Simulation::new(deployment, seed, &|_, _, _| 1.0);
    simulation.unheard_until_ms = unheard_ms;
    for now_ms in (0..within_ms + 8_000).step_by(TICK_MS as usize) {
        let arrived = |at_ms: u64| requests * at_ms.min(within_ms) / within_ms;
        for _ in arrived(now_ms)..arrived(now_ms + TICK_MS) {
            simulation.add_request(kind, now_ms);
        }
        simulation.advance(now_ms);
    }
    simulation.on_time_count(&kind, Duration::ZERO)
}

/// Simulates a load on engines of unlike speeds.
pub fn simulate_uneven(
    deployment: Deployment,
    kinds: &[RequestKind],
    seconds: u64,
    seed: u64,
    slowdown: Slowdown<'_>,
    knowledge: Knowledge,
) -> UnevenRun {
    let mut simulation = Simulation::new(deployment, seed, slowdown);
    if knowledge == Knowledge::Learned {
        let models = HashMap::from([(ServiceId::new("engines"), model())]);
        for (targets, _) in &mut simulation.instances {
            targets.pace.configure(Some(models.clone()));
        }
    }
    let mut assumed = Vec::new();
    simulation.run(kinds, seconds, |simulation, now_ms| {
        let engines = 0..simulation.engines.len();
        if knowledge == Knowledge::Known {
            for engine in engines.clone() {
                let streams = simulation.engines[engine].decoding.len();
                let known = slowdown(engine, now_ms, streams);
                for (targets, _) in &mut simulation.instances {
                    targets.pace.set_known(&id(engine), known);
                }
            }
        }
        if now_ms.is_multiple_of(100) {
            let pace = &simulation.instances[0].0.pace;
            assumed.push(engines.map(|n| pace.slowdown(&id(n), 0)).collect());
        }
    });
    let requests = simulation.requests.iter().map(|request| Served {
        arrived_ms: request.arrived_ms,
        lead: request.lead,
        first_event_ms: request.first_event_ms,
    });
    UnevenRun {
        requests: requests.collect(),
        assumed,
    }
}

impl<'a> Simulation<'a> {
    fn new(deployment: Deployment, seed: u64, slowdown: Slowdown<'a>) -> Self {
        let Deployment {
            instances, engines, ..
        } = deployment;
        let targets = targets_of(engines, deployment.slots);
        Self {
            slowdown,
            deployment,
            rates: vec![ArrivalRate::default(); instances],
            instances: (0..instances)
                .map(|_| (targets.clone(), Queue::default()))
                .collect(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_gossip_ms: (0..instances).map(|i| i as u64 * 5).collect(),
            schedules: vec![Schedule::default(); instances],
            sequences: vec![0; instances],
            messages: VecDeque::new(),
            unheard_until_ms: 0,
        }
    }

    fn run(
        &mut self,
        kinds: &[RequestKind],
        seconds: u64,
        mut each_tick: impl FnMut(&mut Self, u64),
    ) {
        // The load ends 8 s before the simulation does, so that all requests can end.
        for now_ms in (0..seconds * 1_000 + 8_000).step_by(TICK_MS as usize) {
            if now_ms < seconds * 1_000 {
                self.generate_requests(kinds, now_ms);
            }
            self.advance(now_ms);
            each_tick(self, now_ms);
        }
    }

    fn advance(&mut self, now_ms: u64) {
        self.exchange_gossip(now_ms);
        self.dispatch_queued(now_ms);
        for engine in 0..self.engines.len() {
            self.advance_engine(engine, now_ms);
        }
    }

    fn generate_requests(&mut self, kinds: &[RequestKind], now_ms: u64) {
        for kind in kinds {
            if self.rng.f64() >= kind.per_s * TICK_MS as f64 / 1e3 {
                continue;
            }
            self.add_request(*kind, now_ms);
        }
    }

    fn add_request(&mut self, kind: RequestKind, now_ms: u64) {
        let instance = self.rng.usize(..self.deployment.instances);
        let rate = &mut self.rates[instance];
        rate.record(ms(now_ms));
        // Prompt lengths vary here, and response lengths below.
        let factor = 0.5 + self.rng.f64();
        let tokens = (kind.tokens as f64 * factor) as u64;
        let request = Request {
            instance,
            tokens,
            arrived_ms: now_ms,
            events_left: (f64::from(kind.events) * (0.3 + 1.4 * self.rng.f64())) as u32 + 1,
            queue_entry: None,
            in_flight_id: None,
            parts_left: 0,
            lead: 0,
            first_event_ms: None,
            last_event_ms: 0,
            longest_gap_ms: 0,
            done: false,
        };
        self.requests.push(request);
        let number = self.requests.len() - 1;
        let prefill_time = model().prefill_time(stream(tokens).prompt);
        if prefill_time >= queue::MIN_QUEUED_PREFILL_TIME {
            self.schedules[instance].record_placement(ms(now_ms));
            let objective_at = ms(now_ms) + stream(tokens).objective;
            let entry = self.instances[instance]
                .1
                .enqueue(objective_at, prefill_time);
            self.requests[number].queue_entry = Some(entry);
        } else {
            self.place_and_dispatch(number, now_ms);
        }
    }

    fn placement(&mut self, number: usize, now: Instant) -> Option<Placement> {
        let request = &self.requests[number];
        let targets = &self.instances[request.instance].0;
        let peers = self.deployment.instances as u32 - 1;
        let rate = self.rates[request.instance].per_s(now);
        let request = PlacementRequest {
            instances: self.deployment.instances as u32,
            unreported_streams: match self.deployment.gossip {
                Gossip::Complete(interval_ms) => rate * f64::from(peers) * interval_ms as f64 / 1e3,
                Gossip::Scheduled => {
                    let is_unheard = now < ms(self.unheard_until_ms);
                    let heard = if is_unheard { 0 } else { peers };
                    peers::unreported_streams(rate, heard, peers - heard, now - Instant::ZERO)
                }
            },
            ..placement_request(request.tokens)
        };
        let model = EngineModel {
            slots: self.deployment.slots,
            ..model()
        };
        choose(targets, &request, Some(&model), &mut self.rng, now).ok()
    }

    fn place_and_dispatch(&mut self, number: usize, now_ms: u64) {
        let placement = self.placement(number, ms(now_ms)).unwrap();
        self.dispatch(number, &placement, now_ms);
    }

    fn dispatch(&mut self, number: usize, placement: &Placement, now_ms: u64) {
        let instance = self.requests[number].instance;
        let targets = &mut self.instances[instance].0;
        let in_flight_id = targets.begin(placement.parts.clone(), placement.stream, ms(now_ms));
        self.schedules[instance].record_placement(ms(now_ms));
        let request = &mut self.requests[number];
        request.in_flight_id = Some(in_flight_id);
        request.parts_left = placement.parts.len();
        for (index, part) in placement.parts.iter().enumerate() {
            let engine = (0..self.engines.len())
                .find(|n| id(*n) == part.target)
                .unwrap();
            if index == 0 {
                request.lead = engine;
            }
            let prefill_ms = part.prefill_time.as_secs_f64() * 1e3;
            let engine = &mut self.engines[engine];
            match placement.parts.len() {
                1 => engine.queued_parts.push((number, prefill_ms)),
                _ => engine.queued_parts.insert(0, (number, prefill_ms)),
            }
        }
    }

    fn dispatch_queued(&mut self, now_ms: u64) {
        let now = ms(now_ms);
        let queued: Vec<usize> = (0..self.requests.len())
            .filter(|n| self.requests[*n].queue_entry.is_some())
            .collect();
        for number in queued {
            let (instance, entry) = {
                let request = &self.requests[number];
                (request.instance, request.queue_entry.unwrap())
            };
            let engines = self.deployment.engines;
            if !self.instances[instance].1.is_next(entry, engines, now) {
                continue;
            }
            let Some(placement) = self.placement(number, now) else {
                continue;
            };
            if placement.wait <= queue::MAX_DISPATCH_BACKLOG {
                self.instances[instance].1.remove(entry);
                self.requests[number].queue_entry = None;
                self.dispatch(number, &placement, now_ms);
            }
        }
    }

    fn exchange_gossip(&mut self, now_ms: u64) {
        for from in 0..self.deployment.instances {
            match self.deployment.gossip {
                Gossip::Complete(interval_ms) if self.next_gossip_ms[from] <= now_ms => {
                    self.next_gossip_ms[from] = now_ms + interval_ms;
                    self.send_report(from, DueMessage::CompleteState, now_ms, now_ms);
                }
                Gossip::Complete(_) => {}
                Gossip::Scheduled => {
                    let has_queued_prompts = !self.instances[from].1.is_empty();
                    let schedule = &mut self.schedules[from];
                    if let Some(message) = schedule.take_due(has_queued_prompts, ms(now_ms)) {
                        self.send_report(from, message, now_ms, now_ms + TRANSIT_MS);
                    }
                }
            }
        }
        while self
            .messages
            .front()
            .is_some_and(|m| m.arrives_ms <= now_ms)
        {
            let Some(message) = self.messages.pop_front() else {
                break;
            };
            if now_ms >= self.unheard_until_ms {
                self.deliver(&message, ms(now_ms));
            }
        }
    }

    fn send_report(&mut self, from: usize, message: DueMessage, now_ms: u64, arrives_ms: u64) {
        let now = ms(now_ms);
        let (targets, queue) = &mut self.instances[from];
        let loads = match message {
            DueMessage::Changes => targets.take_changed_loads(now),
            DueMessage::CompleteState => targets.own_loads(now),
        };
        self.sequences[from] += 1;
        self.messages.push_back(Message {
            arrives_ms,
            from,
            report: LoadReport {
                sequence: self.sequences[from],
                is_complete: message == DueMessage::CompleteState,
                loads: loads.into_iter().collect(),
            },
            prompts: queue.local_prompts(now),
            paces: match message {
                DueMessage::Changes => targets.pace.take_changed_reports(now),
                DueMessage::CompleteState => targets.pace.reports(now),
            },
        });
    }

    fn deliver(&mut self, message: &Message, now: Instant) {
        let sender = InstanceId::new(format!("i{}", message.from));
        for (to, (targets, queue)) in self.instances.iter_mut().enumerate() {
            if to != message.from {
                targets.merge_peer_loads(&sender, &message.report, now);
                queue.update_peer(sender.clone(), message.prompts.clone(), now);
                targets.pace.merge_reports(&sender, &message.paces, now);
            }
        }
    }

    fn advance_engine(&mut self, number: usize, now_ms: u64) {
        let engine = &mut self.engines[number];
        if let Some((ends_ms, prefilled)) = engine.iteration.take() {
            if ends_ms > now_ms {
                engine.iteration = Some((ends_ms, prefilled));
                return;
            }
            self.finish_iteration(number, &prefilled, now_ms);
        }
        self.start_iteration(number, now_ms);
    }

    fn start_iteration(&mut self, number: usize, now_ms: u64) {
        let model = model();
        let engine = &mut self.engines[number];
        if engine.decoding.is_empty() && engine.queued_parts.is_empty() {
            return;
        }
        let free_slots = (self.deployment.slots as usize).saturating_sub(engine.decoding.len());
        let part_count = match engine.decoding.len() {
            // Without decoding streams, an engine prefills one part per iteration.
            0 => engine.queued_parts.len().min(1),
            _ => engine.queued_parts.len().min(free_slots.max(1)),
        };
        let prefilled: Vec<(usize, f64)> = engine.queued_parts.drain(..part_count).collect();
        let prefill_ms: f64 = prefilled.iter().map(|(_, part_ms)| part_ms).sum();
        let streams = engine.decoding.len() as u32;
        let tokens = engine.decoding.iter().map(|n| self.requests[*n].tokens);
        let context = cyclamengauge_core::units::Tokens(tokens.sum());
        let iteration_ms = model.iteration_time(streams, context).as_secs_f64() * 1e3 + prefill_ms;
        let iteration_ms = iteration_ms * (self.slowdown)(number, now_ms, streams as usize);
        let ends_ms = now_ms + iteration_ms.ceil() as u64;
        engine.iteration = Some((ends_ms, prefilled.into_iter().map(|(n, _)| n).collect()));
    }

    fn finish_iteration(&mut self, engine: usize, prefilled: &[usize], now_ms: u64) {
        let decoding = self.engines[engine].decoding.clone();
        for number in decoding {
            self.emit_event(number, now_ms);
        }
        for number in prefilled {
            let request = &mut self.requests[*number];
            request.parts_left -= 1;
            if request.parts_left == 0 {
                let lead = request.lead;
                self.engines[lead].decoding.push(*number);
            }
        }
    }

    fn emit_event(&mut self, number: usize, now_ms: u64) {
        let request = &mut self.requests[number];
        let targets = &mut self.instances[request.instance].0;
        let in_flight_id = request.in_flight_id.unwrap();
        if request.first_event_ms.is_none() {
            request.first_event_ms = Some(now_ms - request.arrived_ms);
            targets.record_first_event(in_flight_id);
            self.schedules[request.instance].record_progress(ms(now_ms));
        } else {
            let gap_ms = now_ms - request.last_event_ms;
            request.longest_gap_ms = request.longest_gap_ms.max(gap_ms);
        }
        targets.record_pace(in_flight_id, None, ms(now_ms));
        request.last_event_ms = now_ms;
        request.events_left -= 1;
        if request.events_left == 0 {
            request.done = true;
            targets.record_end(in_flight_id, Outcome::Served, ms(now_ms));
            self.schedules[request.instance].record_progress(ms(now_ms));
            self.engines[request.lead].decoding.retain(|n| *n != number);
        }
    }

    fn on_time_count(&self, kind: &RequestKind, first_event_limit: Duration) -> OnTimeCount {
        let of_kind = self.requests.iter().filter(|request| {
            let ratio = request.tokens as f64 / kind.tokens as f64;
            (0.49..1.51).contains(&ratio)
        });
        let on_time = |request: &&Request| {
            let objectives = stream(request.tokens);
            let first_event = request.first_event_ms.map(Duration::from_millis);
            request.done
                && first_event
                    .is_some_and(|time| time <= objectives.objective.max(first_event_limit))
                && Duration::from_millis(request.longest_gap_ms) <= objectives.gap
        };
        OnTimeCount {
            prompt_tokens: kind.tokens,
            requests: of_kind.clone().count(),
            on_time: of_kind.filter(on_time).count(),
        }
    }
}
