//! Places streams on engines that run in iterations.
//!
//! Prefill lengthens the current iteration of an engine, and with it the event gap
//! of every stream decoding there. Short streams are therefore packed on as few
//! engines as can hold them, from one end of a hash order that is the same on all
//! instances. Medium prompts are decoded there too, but their prefill is split over
//! other engines. Long prompts are dispatched one at a time and split over all
//! engines without short streams.

use std::time::Duration;

use crate::{
    clock::{self, Instant},
    routing::hash,
    serving::{
        cost::EngineModel,
        placement::{
            self, Helper, Placement, PlacementError, PlacementRequest, RunnerUp, Stream,
            excess_failure_rate, mean_failure_rate,
        },
        queue,
        targets::{Load, Part, StreamTraits, Target, Targets},
    },
    units::Tokens,
};

/// Numbers of engines over which a prompt may be split; an engine accepts at most
/// 16 helpers.
const SPLIT_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 16];

/// Prefill time from which a prompt is a medium one: half of the gap objective of
/// short streams. The other half is left to the decode steps of the iteration.
const MIN_MEDIUM_PREFILL_TIME: Duration = Duration::from_millis(100);

/// Cost of a late event, in ms of waiting per unit of stream value.
const LATE_EVENT_COST_MS: f64 = 400.0;

/// Steepness of the lateness risk close to the objective. The length of iterations
/// varies with what arrives during them, so there is a risk below the objective too.
const RISK_EXPONENT: i32 = 10;

/// Cost of the first short stream on an engine, in ms, which keeps engines without
/// short streams free for long prompts.
const FIRST_SHORT_STREAM_COST_MS: f64 = 300.0;

/// Slots reserved for unreported streams of peers, as a multiple of their expected
/// number.
const UNREPORTED_RESERVE_FACTOR: f64 = 2.0;

/// Cost difference between the two ends of the hash order for the first short
/// stream on an engine, in ms.
const SHORT_ORDER_COST_MS: f64 = 60.0;

/// Cost difference between the two ends of the hash order for a part of a split
/// prompt, in ms. Low, since a long prompt uses most engines anyway.
const LONG_ORDER_COST_MS: f64 = 8.0;

/// Cost of placing a short stream on an engine that runs long prompts, in ms.
const BESIDE_LONG_COST_MS: f64 = 150.0;

/// Cost of placing a part of a split prompt on an engine whose streams have a
/// stricter gap objective, in ms.
const BESIDE_SHORT_COST_MS: f64 = 40.0;

/// Smallest share of the engines without short streams over which a long prompt is
/// split. Long prompts are prefilled one after the other, each on all of these
/// engines, because concurrent prefills would each take as long as all of them
/// together.
const MIN_SPLIT_SHARE: f64 = 0.7;

/// Ratio of idle engines to engines of a long prompt from which the prompt skips the
/// queue: long prompts of peers then find idle engines too.
const QUEUE_SKIP_IDLE_RATIO: usize = 2;

/// Share of an engine's KV memory that may be allocated.
const ALLOCATABLE_MEMORY_SHARE: f64 = 0.95;

/// An engine can prefill long prompts if its strictest gap objective is at least
/// that of the long prompt divided by this number.
const LONG_PREFILL_GAP_DIVISOR: u32 = 2;

/// Share of an engine's slots above which each further request has a cost, since
/// peers may be sending requests there too.
const SOFT_SLOT_SHARE: f64 = 0.75;

/// Cost of each request above the soft slot limit, in ms.
const SOFT_LIMIT_COST_MS: f64 = 100.0;

/// Cost of each request that has to wait for a slot, in ms.
const SLOT_WAIT_COST_MS: f64 = 1_000.0;

/// Slowdown of an engine from which the engines of its service are taken for uneven.
const UNEVEN_SLOWDOWN: f64 = 1.25;

/// Requests whose first event an engine of unknown speed may owe, where engines are
/// uneven, and the cost of each further one, in ms.
const MAX_UNPROVEN_REQUESTS: u32 = 2;
const UNPROVEN_COST_MS: f64 = 150.0;

/// Cost of a lack of KV memory, in ms: the engine would defer other streams.
const MEMORY_SHORTAGE_COST_MS: f64 = 5_000.0;

/// Cost of a target with a failure rate of 1, in ms.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Weight of the time to the first event in the cost, whether or not it is late.
const FIRST_EVENT_WEIGHT: f64 = 0.5;

/// Range of the random cost, in ms per instance. The number of unreported streams
/// grows with the number of instances, and a random choice among nearly equal engines
/// spreads them.
const JITTER_PER_INSTANCE_MS: f64 = 1.0;

/// Number of instances above which the random cost stays constant.
const MAX_JITTER_INSTANCES: u32 = 40;

/// Maximum number of unreported streams that are simulated. It bounds the time of a
/// placement; more streams than that spread over all engines anyway.
const MAX_UNREPORTED_STREAMS: f64 = 64.0;

/// Cost of serving a short or medium prompt from another data centre, in ms: its
/// events cross the link between the data centres.
const REMOTE_COST_MS: f64 = 25.0;

/// Size class of a prompt by its prefill time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromptSize {
    /// Prefilled and decoded on one engine.
    Short,
    /// Prefilled on one or more engines, decoded on an engine with short streams.
    Medium,
    /// Queued, then prefilled on the engines without short streams and decoded on
    /// one of them.
    Long,
}

impl PromptSize {
    fn of(prefill_time: Duration) -> Self {
        match prefill_time {
            time if time < MIN_MEDIUM_PREFILL_TIME => Self::Short,
            time if time < queue::MIN_QUEUED_PREFILL_TIME => Self::Medium,
            _ => Self::Long,
        }
    }
}

/// State and costs of an engine during one placement.
#[derive(Clone)]
struct EngineState<'a> {
    target: &'a Target,
    load: Load,
    /// Factor on the engine's times, this stream included.
    slowdown: f64,
    /// Length of an iteration without prefill, this stream included.
    iteration_ms: f64,
    backlog_ms: f64,
    /// Position in the hash order, 0 to 1, the same on all instances.
    hash_position: f64,
    failure_cost_ms: f64,
    /// Cost of an engine in another data centre.
    remote_cost_ms: f64,
    /// Whether its speed is unknown, where engines are uneven.
    is_unproven: bool,
    /// Whether the stream is to show whether the engine is still slow.
    is_tested: bool,
    /// Random cost, so that instances don't all choose the same engine.
    jitter_ms: f64,
}

/// A set of engines that could serve the stream.
struct Candidate {
    /// Indexes of the engines; the lead engine first.
    members: Vec<usize>,
    /// Cost of each engine of the fleet as the lead engine.
    lead_costs_ms: Vec<f64>,
    first_event_ms: f64,
    cost_ms: f64,
}

/// The search for the cheapest engines for one stream.
struct Search<'a> {
    engines: Vec<EngineState<'a>>,
    stream: &'a Stream,
    model: &'a EngineModel,
    /// Maximum KV memory of the stream.
    memory: Tokens,
    /// Time to prefill the whole prompt on one engine.
    prefill_time: Duration,
    value: f64,
    size: PromptSize,
    /// Cost of the first short stream on an engine.
    first_short_cost_ms: f64,
}

/// Chooses the lead engine of a stream, and helpers for the prefill of its prompt.
pub(super) fn place(
    targets: &Targets,
    usable: &[&Target],
    request: &PlacementRequest,
    stream: &Stream,
    model: &EngineModel,
    rng: &mut fastrand::Rng,
    now: Instant,
) -> Result<Placement, PlacementError> {
    let memory = stream.prompt + stream.output;
    if memory > Tokens(model.memory.0 * usable.len() as u64) {
        return Err(PlacementError::TooLong);
    }
    let mean = mean_failure_rate(usable, now);
    let loads = targets.loads(now);
    let engines = usable.iter().map(|target| {
        let load = loads.get(&target.facts.id).copied().unwrap_or_default();
        let slowdown = targets.pace.slowdown(&target.facts.id, load.requests);
        let mut engine = EngineState::new(target, load, model, slowdown);
        engine.failure_cost_ms = FAILURE_COST_MS * excess_failure_rate(target, mean, now);
        engine.jitter_ms = rng.f64()
            * JITTER_PER_INSTANCE_MS
            * f64::from(request.instances.min(MAX_JITTER_INSTANCES));
        if target.facts.data_centre != request.data_centre {
            engine.remote_cost_ms = REMOTE_COST_MS;
        }
        engine
    });
    let mut engines: Vec<EngineState<'_>> = engines.collect();
    if engines.iter().any(|e| e.slowdown > UNEVEN_SLOWDOWN) {
        for engine in &mut engines {
            engine.is_unproven = !targets.pace.is_known(&engine.target.facts.id);
        }
    }
    let prefill_time = model.prefill_time(stream.prompt);
    let mut search = Search {
        first_short_cost_ms: first_short_cost_ms(
            &engines,
            stream,
            model,
            request.unreported_streams,
        ),
        engines,
        stream,
        model,
        memory,
        prefill_time,
        value: model.value(stream.prompt),
        size: PromptSize::of(prefill_time),
    };
    if search.size == PromptSize::Short {
        search.add_unreported_streams(request.unreported_streams, rng);
        search.draw_tested(targets, rng);
    }
    search.run()
}

impl Search<'_> {
    /// Simulates the placement of unreported streams by adding streams like this one,
    /// each on the engine where it costs least. Peers do the same at the same time, so
    /// the number of added streams is random: each instance then assumes a different
    /// position among the concurrent streams.
    fn add_unreported_streams(&mut self, unreported_streams: f64, rng: &mut fastrand::Rng) {
        let count = (unreported_streams * rng.f64())
            .round()
            .min(MAX_UNREPORTED_STREAMS) as u32;
        let prefill_ms = self.prefill_time.as_secs_f64() * 1e3;
        let (memory, prefill_time, value, gap) =
            (self.memory, self.prefill_time, self.value, self.stream.gap);
        let cost = |search: &Self, engine: &EngineState<'_>| {
            search.lead_cost_ms(engine, prefill_ms) + engine.wait_ms()
        };
        let mut costs: Vec<f64> = self
            .engines
            .iter()
            .map(|engine| cost(self, engine))
            .collect();
        let mut has_any_short_streams = self
            .engines
            .iter()
            .any(|engine| engine.has_short_streams(gap));
        for _ in 0..count {
            let index = placement::cheapest_first(&costs)[0];
            self.engines[index].add_short_stream(memory, prefill_time, value, gap);
            costs[index] = cost(self, &self.engines[index]);
            if !has_any_short_streams {
                has_any_short_streams = true;
                self.first_short_cost_ms =
                    first_short_cost_ms(&self.engines, self.stream, self.model, unreported_streams);
                costs = self
                    .engines
                    .iter()
                    .map(|engine| cost(self, engine))
                    .collect();
            }
        }
    }

    /// Marks the engine that the stream is to test, if any.
    fn draw_tested(&mut self, targets: &Targets, rng: &mut fastrand::Rng) {
        let idle = self
            .engines
            .iter()
            .filter(|engine| engine.load.requests == 0);
        let idle = idle.map(|engine| &engine.target.facts.id);
        let tested = targets.pace.draw_tested(idle, rng).cloned();
        for engine in &mut self.engines {
            engine.is_tested = Some(&engine.target.facts.id) == tested.as_ref();
        }
    }

    fn run(&self) -> Result<Placement, PlacementError> {
        let candidates = self.split_counts().map(|split| self.candidate(split));
        let best = candidates.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        let best = best.ok_or(PlacementError::NoTarget)?;
        let shares = self
            .memory_shares(&best.members)
            .ok_or(PlacementError::NoMemory)?;
        Ok(self.placement(&best, &shares))
    }

    /// Numbers of engines over which the prompt may be split.
    fn split_counts(&self) -> impl Iterator<Item = usize> {
        let all = self.engines.len();
        let (min_split, max_split) = match self.size {
            PromptSize::Short => (1, 1),
            PromptSize::Medium => (1, all),
            PromptSize::Long => {
                let long_prefill_engines = self
                    .engines
                    .iter()
                    .filter(|engine| engine.can_prefill_long(self.stream));
                let long_prefill_engines = long_prefill_engines.count();
                let min_split = (long_prefill_engines as f64 * MIN_SPLIT_SHARE) as usize;
                // One engine is kept free for the next short streams.
                let max_split = long_prefill_engines.saturating_sub(1).max(1);
                (
                    min_split.min(SPLIT_COUNTS[SPLIT_COUNTS.len() - 1]),
                    max_split,
                )
            }
        };
        let split_counts = SPLIT_COUNTS.into_iter();
        split_counts.filter(move |split| (min_split..=max_split).contains(split))
    }

    /// The cheapest engines for a prompt split into `split` parts.
    fn candidate(&self, split: usize) -> Candidate {
        let part_ms = self.prefill_time.as_secs_f64() * 1e3 / split as f64;
        let lead_costs_ms = self.engines.iter();
        let lead_costs_ms =
            lead_costs_ms.map(|engine| self.lead_cost_ms(engine, part_ms) + engine.wait_ms());
        let lead_costs_ms: Vec<f64> = lead_costs_ms.collect();
        let lead = placement::cheapest_first(&lead_costs_ms)[0];
        let helper_cost_ms = |i: &usize| {
            let engine = &self.engines[*i];
            let excess_ms = part_ms * (engine.slowdown - 1.0);
            self.helper_cost_ms(engine, part_ms) + engine.wait_ms() + excess_ms
        };
        let mut members: Vec<usize> = (0..self.engines.len()).filter(|i| *i != lead).collect();
        members.sort_by(|a, b| helper_cost_ms(a).total_cmp(&helper_cost_ms(b)));
        members.insert(0, lead);
        members.truncate(split);
        let prefilled_ms = members.iter().map(|i| &self.engines[*i]);
        let prefilled_ms = prefilled_ms.map(|engine| engine.wait_ms() + part_ms * engine.slowdown);
        let first_event_ms = prefilled_ms.fold(0.0, f64::max) + self.engines[lead].iteration_ms;
        let helpers = members[1..].iter().map(|i| &self.engines[*i]);
        let helper_costs_ms: f64 = helpers
            .map(|engine| self.helper_cost_ms(engine, part_ms))
            .sum();
        let late_cost_ms =
            self.value * LATE_EVENT_COST_MS * lateness_risk(first_event_ms, self.stream.objective);
        let cost_ms = FIRST_EVENT_WEIGHT * first_event_ms
            + late_cost_ms
            + helper_costs_ms
            + self.lead_cost_ms(&self.engines[lead], part_ms);
        Candidate {
            members,
            lead_costs_ms,
            first_event_ms,
            cost_ms,
        }
    }

    /// Cost of a prompt part on a helper, besides the wait.
    fn helper_cost_ms(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let mut cost = engine.prefill_cost_ms(part_ms) + LONG_ORDER_COST_MS * engine.hash_position;
        if engine
            .load
            .strictest_gap
            .is_some_and(|g| g < self.stream.gap)
        {
            cost += BESIDE_SHORT_COST_MS;
        }
        cost
    }

    /// Cost of a prompt part on the lead engine, besides the wait.
    fn lead_cost_ms(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        let mut cost = engine.prefill_cost_ms(part_ms)
            + self.capacity_cost_ms(engine)
            + self.slowdown_cost_ms(engine, part_ms);
        if engine.is_tested {
            cost -= placement::TEST_CREDIT;
        }
        match self.size {
            PromptSize::Short | PromptSize::Medium => {
                cost += engine.jitter_ms + engine.remote_cost_ms;
                if !engine.has_short_streams(self.stream.gap) {
                    cost += self.first_short_cost_ms
                        + SHORT_ORDER_COST_MS * (1.0 - engine.hash_position);
                    if engine.load.requests > 0 {
                        cost += BESIDE_LONG_COST_MS;
                    }
                }
            }
            PromptSize::Long => {
                let share = engine.load.memory.0 as f64 / self.model.memory.0.max(1) as f64;
                cost += LONG_ORDER_COST_MS * engine.hash_position + LATE_EVENT_COST_MS * share;
                if !engine.can_prefill_long(self.stream) {
                    cost += BESIDE_SHORT_COST_MS;
                }
            }
        }
        cost
    }

    /// Cost of a lead engine that is slower than usual, besides the wait: a later first
    /// event, and the risk that it and the gaps after it are late. Negative for a faster
    /// engine.
    fn slowdown_cost_ms(&self, engine: &EngineState<'_>, part_ms: f64) -> f64 {
        if engine.slowdown == 1.0 {
            return 0.0;
        }
        let usual_iteration_ms = engine.iteration_ms / engine.slowdown;
        let usual_ms = part_ms + usual_iteration_ms;
        let first_event_ms = part_ms * engine.slowdown + engine.iteration_ms;
        let wait_ms = engine.wait_ms();
        let (objective, gap) = (self.stream.objective, self.stream.gap);
        let added_risk = lateness_risk(wait_ms + first_event_ms, objective)
            - lateness_risk(wait_ms / engine.slowdown + usual_ms, objective)
            + lateness_risk(engine.iteration_ms, gap)
            - lateness_risk(usual_iteration_ms, gap);
        first_event_ms - usual_ms + self.value * LATE_EVENT_COST_MS * added_risk
    }

    /// Cost of a lack of slots or KV memory on the lead engine.
    fn capacity_cost_ms(&self, engine: &EngineState<'_>) -> f64 {
        let slots = f64::from(self.model.slots.min(engine.target.facts.slots));
        let requests = f64::from(engine.load.requests);
        let soft_slots = slots * SOFT_SLOT_SHARE / engine.slowdown.max(1.0);
        let excess_requests = (requests + 1.0 - soft_slots).max(0.0);
        let mut cost = SOFT_LIMIT_COST_MS * excess_requests;
        if requests >= slots {
            cost += SLOT_WAIT_COST_MS * (requests + 1.0 - slots);
        }
        if engine.is_unproven {
            let owed = engine.load.requests - engine.load.decoding_streams;
            let excess = (owed + 1).saturating_sub(MAX_UNPROVEN_REQUESTS);
            cost += UNPROVEN_COST_MS * f64::from(excess);
        }
        let fits_when_idle = self.memory <= self.model.memory;
        if fits_when_idle && engine.load.memory + self.memory > self.model.memory {
            cost += MEMORY_SHORTAGE_COST_MS;
        }
        cost
    }

    /// KV memory of the request on each member; none if the members have too little.
    /// The lead engine holds all of it if it has enough free memory. Otherwise the
    /// helpers hold the remainder, those with the most free memory first.
    fn memory_shares(&self, members: &[usize]) -> Option<Vec<Tokens>> {
        let free_memory = |member: usize| self.engines[members[member]].free_memory(self.model);
        let mut shares = vec![Tokens(0); members.len()];
        if self.memory <= free_memory(0) || members.len() == 1 {
            shares[0] = self.memory;
            // A request that fits into an idle engine may wait there for memory.
            return (self.memory <= self.model.memory).then_some(shares);
        }
        shares[0] = free_memory(0);
        let mut remainder = self.memory - shares[0];
        let mut helpers_by_memory: Vec<usize> = (1..members.len()).collect();
        helpers_by_memory.sort_by_key(|helper| std::cmp::Reverse(free_memory(*helper).0));
        for helper in helpers_by_memory {
            shares[helper] = free_memory(helper).min(remainder);
            remainder = remainder - shares[helper];
        }
        (remainder == Tokens(0)).then_some(shares)
    }

    fn placement(&self, best: &Candidate, shares: &[Tokens]) -> Placement {
        let prefill_time = self.prefill_time / best.members.len() as u32;
        let engines = best.members.iter().map(|member| &self.engines[*member]);
        let parts = engines.clone().zip(shares).map(|(engine, share)| Part {
            target: engine.target.facts.id.clone(),
            prefill_time,
            memory: *share,
        });
        let helpers = engines.clone().zip(shares).skip(1);
        let helpers = helpers.map(|(engine, share)| Helper {
            target: engine.target.facts.id.clone(),
            address: engine.target.facts.address,
            memory: *share,
        });
        let idle = self.engines.iter().filter(|engine| {
            engine.can_prefill_long(self.stream)
                && engine.backlog_ms <= queue::MAX_DISPATCH_BACKLOG.as_millis() as f64
        });
        let can_skip_queue = idle.count() >= QUEUE_SKIP_IDLE_RATIO * best.members.len();
        let wait_ms = engines.map(|engine| engine.backlog_ms).fold(0.0, f64::max);
        let lead = &self.engines[best.members[0]].target.facts;
        Placement {
            target: lead.id.clone(),
            address: lead.address,
            helpers: helpers.collect(),
            parts: parts.collect(),
            estimate: clock::duration_from_secs(best.first_event_ms / 1e3),
            wait: clock::duration_from_secs(wait_ms / 1e3),
            long: self.size != PromptSize::Short,
            can_skip_queue,
            stream: Some(StreamTraits {
                gap: self.stream.gap,
                value: self.value,
            }),
            runners_up: self.runners_up(best),
        }
    }

    /// The cheapest lead engines after the chosen one.
    fn runners_up(&self, best: &Candidate) -> Vec<RunnerUp> {
        let order = placement::cheapest_first(&best.lead_costs_ms);
        let id = |index: usize| &self.engines[index].target.facts.id;
        placement::runners_up(&best.lead_costs_ms, &order, id)
    }
}

impl<'a> EngineState<'a> {
    fn new(target: &'a Target, load: Load, model: &EngineModel, slowdown: f64) -> Self {
        // Includes the stream to be placed.
        let iteration_time = model.iteration_time(load.decoding_streams + 1, load.memory);
        let digest = hash::fmix64(hash::fnv1a(target.facts.id.as_str()));
        Self {
            target,
            load,
            slowdown,
            iteration_ms: iteration_time.as_secs_f64() * 1e3 * slowdown,
            backlog_ms: load.backlog.as_secs_f64() * 1e3 * slowdown,
            hash_position: digest as f64 / u64::MAX as f64,
            failure_cost_ms: 0.0,
            remote_cost_ms: 0.0,
            is_unproven: false,
            is_tested: false,
            jitter_ms: 0.0,
        }
    }

    /// Whether the engine serves a stream whose gap objective is at most `gap`.
    fn has_short_streams(&self, gap: Duration) -> bool {
        self.load
            .strictest_gap
            .is_some_and(|strictest| strictest <= gap)
    }

    /// Adds the load of a short stream.
    fn add_short_stream(
        &mut self,
        memory: Tokens,
        prefill_time: Duration,
        value: f64,
        gap: Duration,
    ) {
        self.load.add(&Load {
            requests: 1,
            decoding_streams: 0,
            backlog: prefill_time,
            overdue_backlog: Duration::ZERO,
            overdue_in: Duration::ZERO,
            memory,
            strictest_gap: Some(gap),
            value,
        });
        self.backlog_ms += prefill_time.as_secs_f64() * 1e3 * self.slowdown;
    }

    /// Expected time until the prefill of a part dispatched now begins: the prefill
    /// backlog, and half an iteration if streams are decoding.
    fn wait_ms(&self) -> f64 {
        let remaining_ms = if self.load.decoding_streams > 0 {
            self.iteration_ms / 2.0
        } else {
            0.0
        };
        remaining_ms + self.backlog_ms
    }

    /// KV memory that may be allocated to a prompt. A reserve is kept for requests
    /// that peers dispatch meanwhile.
    fn free_memory(&self, model: &EngineModel) -> Tokens {
        let reserve = Tokens((model.memory.0 as f64 * (1.0 - ALLOCATABLE_MEMORY_SHARE)) as u64);
        model.memory - self.load.memory - reserve
    }

    /// Whether the gap objectives of the engine's streams leave time to prefill a part
    /// of this long prompt.
    fn can_prefill_long(&self, stream: &Stream) -> bool {
        can_prefill_long(&self.load, stream.gap)
    }

    /// Cost of the prefill of a part: the risk that the longer iteration makes events
    /// of the engine's streams late, and the failure cost of the engine.
    fn prefill_cost_ms(&self, part_ms: f64) -> f64 {
        let late_cost_ms = self.load.strictest_gap.map_or(0.0, |gap| {
            let before_ms = self.iteration_ms + self.backlog_ms;
            let added_risk = lateness_risk(before_ms + part_ms * self.slowdown, gap)
                - lateness_risk(before_ms, gap);
            self.load.value * LATE_EVENT_COST_MS * added_risk
        });
        late_cost_ms + self.failure_cost_ms
    }
}

/// Cost of the first short stream on an engine. It falls to zero as the engines with
/// short streams run out of slots for unreported streams.
fn first_short_cost_ms(
    engines: &[EngineState<'_>],
    stream: &Stream,
    model: &EngineModel,
    unreported_streams: f64,
) -> f64 {
    let soft_limit = f64::from(model.slots) * SOFT_SLOT_SHARE;
    let short_engines = engines
        .iter()
        .filter(|engine| engine.has_short_streams(stream.gap));
    let free_slots =
        short_engines.map(|engine| (soft_limit - f64::from(engine.load.requests)).max(0.0));
    let needed_slots = (unreported_streams * UNREPORTED_RESERVE_FACTOR).max(1.0);
    FIRST_SHORT_STREAM_COST_MS * (free_slots.sum::<f64>() / needed_slots).min(1.0)
}

/// Number of engines that can prefill a part of a long prompt with gap objective `gap`
/// at present.
pub(super) fn count_long_prefill_engines(
    targets: &Targets,
    usable: &[&Target],
    gap: Duration,
    now: Instant,
) -> usize {
    let loads = targets.loads(now);
    let load = |target: &&&Target| loads.get(&target.facts.id).copied().unwrap_or_default();
    let long_prefill_engines = usable
        .iter()
        .filter(|target| can_prefill_long(&load(target), gap));
    long_prefill_engines.count()
}

fn can_prefill_long(load: &Load, gap: Duration) -> bool {
    let strictest = load.strictest_gap;
    strictest.is_none_or(|strictest| strictest >= gap / LONG_PREFILL_GAP_DIVISOR)
}

/// Risk that an event expected after `expected_ms` misses its objective, 0 to 1.
fn lateness_risk(expected_ms: f64, objective: Duration) -> f64 {
    let ratio = expected_ms / (objective.as_secs_f64() * 1e3).max(1.0);
    ratio.powi(RISK_EXPONENT).min(1.0)
}
