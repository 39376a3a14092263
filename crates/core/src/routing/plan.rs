//! Selection of an engine, or of a group of engines, for a request.

use std::time::Duration;

use crate::{
    clock::{self, Instant},
    ids::EngineId,
    request::Request,
    routing::{
        arrival_rates::FIRST_LONG_LEVEL,
        fleet::{Engine, Fleet, Policy},
        load::{Backlog, Priority},
        prefix_index::EngineIndex,
    },
    units::{Tokens, TokensPerSecond},
};

/// Length from which a prompt may be split although one engine could hold it.
pub(super) const MIN_SPLIT_PROMPT: Tokens = Tokens(100_000);

/// Maximum number of engines considered for a request. Larger fleets are sampled, so that
/// the time of a decision does not grow with the fleet.
const MAX_CANDIDATES: usize = 32;

/// Maximum number of tokens that an engine prefills in one step. A request of any
/// priority waits for the step in progress.
const MAX_STEP_PREFILL: Tokens = Tokens(1_024);

/// Mean time for which a request occupies a slot.
const MEAN_SLOT_TIME: Duration = Duration::from_secs(4);

/// Assumed wait on an engine whose whole memory would have to be freed for the request.
const MEMORY_WAIT: Duration = Duration::from_secs(8);

/// Upper bound on the share of the fleet's prefill rate that more urgent arrivals are
/// assumed to use.
const MAX_MORE_URGENT_SHARE: f64 = 0.95;

/// Cost difference up to which candidates count as equal.
const COST_TOLERANCE: Duration = Duration::from_millis(4);

/// Cost of routing a long prompt to an engine outside the long pool, as a share of its
/// prefill time, at a short weight of 1.
const LONG_SPILL_COST_SHARE: f64 = 0.1;

/// Cost of routing a short request to an engine that another instance prefers. Load
/// reports are stale, so instances that prefer different engines collide less.
const NON_PREFERRED_COST: Duration = Duration::from_millis(20);

/// Maximum number of runners-up in a plan.
const MAX_RUNNERS_UP: usize = 2;

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The engine gives the earliest first token.
    Earliest,
    /// The engine caches part of the prompt and gives the earliest first token.
    Cached,
    /// The engine is in the long pool.
    LongPool,
    /// A group of engines serves the request, as no single engine has the memory or a
    /// split is faster.
    Group,
    /// The request is suspected of crashing engines and runs alone on the engine.
    Isolated,
    /// The next engine in turn, by a baseline policy.
    RoundRobin,
    /// The least loaded engine, by a baseline policy.
    LeastLoaded,
    /// A random engine, by a baseline policy.
    Random,
}

impl std::fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Earliest => "earliest",
            Self::Cached => "cached",
            Self::LongPool => "long-home",
            Self::Group => "group",
            Self::Isolated => "isolated",
            Self::RoundRobin => "turn",
            Self::LeastLoaded => "least",
            Self::Random => "drawn",
        })
    }
}

crate::data_types! {
    /// Part of a request that runs on one engine.
    pub struct Segment {
        /// Name of the engine.
        pub engine: EngineId,
        /// KV memory to reserve for the segment.
        pub memory: Tokens,
        /// Tokens to prefill on the engine.
        pub prefill_tokens: Tokens,
    }

    /// Decision on which engines a request runs.
    ///
    /// Invariant: `segments` is not empty and names each engine once, and the memory of
    /// the segments sums to at least that of the request.
    pub struct Plan {
        /// One segment, or several for a group. The engine of the first segment is the
        /// lead engine, which generates the response.
        pub segments: Vec<Segment>,
        /// Priority of the request on the engines.
        pub priority: Priority,
        /// Estimated time to first token.
        pub estimate: Duration,
        /// Prompt tokens that the lead engine is expected to have cached.
        pub cached: Tokens,
        /// Why the engine was chosen.
        pub choice: ChoiceReason,
        /// Cheapest engines after the chosen one, with their estimated times to first token.
        pub runners_up: Vec<(EngineId, Duration)>,
    }
}

/// Why a request can't be planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// No usable engine serves the model.
    NoEngine,
    /// The request needs more KV memory than all engines have together.
    TooLong,
    /// Too few engines have enough free memory at present.
    NoFreeMemory,
}

/// An engine considered for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) engine: EngineIndex,
    cached: Tokens,
    pub(super) estimate: Duration,
    /// Value that the policy minimises, in seconds for the length-aware policy.
    pub(super) cost: f64,
}

impl Fleet {
    /// Selects the engines for a request. The plan is not recorded as sent.
    ///
    /// # Errors
    ///
    /// If no engine and no group of engines can serve the request now.
    pub fn plan(&mut self, request: &Request, now: Instant) -> Result<Plan, PlanError> {
        let engine_count = self.routable_engine_count(&request.model);
        if engine_count == 0 {
            return Err(PlanError::NoEngine);
        }
        if request.memory() > self.largest_memory(&request.model) {
            return self.plan_group(request, now);
        }
        let mut candidates = self.candidates(request, MAX_CANDIDATES, now);
        candidates.retain(|c| self.engines[c.engine].facts.memory >= request.memory());
        let single = self.select_engine(request, candidates)?;
        if self.settings.policy != Policy::LengthAware || request.prompt < MIN_SPLIT_PROMPT {
            return Ok(single);
        }
        self.split_if_faster(request, single, now)
    }

    /// Adds an admitted request to the arrival rates, with the prefill tokens of its plan,
    /// or all prompt tokens if there is no plan.
    pub fn record_admission(&mut self, request: &Request, plan: Option<&Plan>, now: Instant) {
        let planned = plan.map(|plan| plan.segments.iter().map(|s| s.prefill_tokens).sum());
        let prefill_tokens: Tokens = planned.unwrap_or(request.prompt);
        self.arrival_rates.record_arrival(
            Priority::for_prefill(prefill_tokens),
            prefill_tokens,
            now,
        );
    }

    /// Plans a suspect request on an engine that is reserved for it.
    pub fn plan_isolated(&self, request: &Request, engine: &EngineId) -> Plan {
        let segment = Segment {
            engine: engine.clone(),
            memory: request.memory(),
            prefill_tokens: request.prompt,
        };
        Plan {
            segments: vec![segment],
            priority: Priority::for_prefill(request.prompt),
            estimate: Duration::ZERO,
            cached: Tokens(0),
            choice: ChoiceReason::Isolated,
            runners_up: Vec::new(),
        }
    }

    fn select_engine(
        &mut self,
        request: &Request,
        mut candidates: Vec<Candidate>,
    ) -> Result<Plan, PlanError> {
        candidates.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let best = *candidates.first().ok_or(PlanError::NoFreeMemory)?;
        let chosen = match self.settings.policy {
            Policy::LengthAware => self.choose_among_equals(&candidates),
            _ => best,
        };
        let runners_up = candidates
            .iter()
            .filter(|other| other.engine != chosen.engine)
            .take(MAX_RUNNERS_UP)
            .map(|other| (self.engines[other.engine].facts.id.clone(), other.estimate))
            .collect();
        let prefill_tokens = request.prompt - chosen.cached;
        Ok(Plan {
            segments: vec![Segment {
                engine: self.engines[chosen.engine].facts.id.clone(),
                memory: request.memory(),
                prefill_tokens,
            }],
            priority: self.priority(prefill_tokens),
            estimate: chosen.estimate,
            cached: chosen.cached,
            choice: self.choice_reason(&chosen, prefill_tokens),
            runners_up,
        })
    }

    /// Chooses a random candidate among those with nearly the lowest cost. Instances with
    /// the same stale load reports would otherwise all choose the same engine.
    fn choose_among_equals(&mut self, sorted: &[Candidate]) -> Candidate {
        let limit = sorted[0].cost + COST_TOLERANCE.as_secs_f64();
        let equals = sorted.iter().take_while(|c| c.cost <= limit).count();
        sorted[self.rng.usize(..equals)]
    }

    pub(super) fn priority(&self, prefill_tokens: Tokens) -> Priority {
        match self.settings.policy {
            Policy::LengthAware => Priority::for_prefill(prefill_tokens),
            _ => Priority(0),
        }
    }

    fn choice_reason(&self, chosen: &Candidate, prefill_tokens: Tokens) -> ChoiceReason {
        let is_long = Priority::for_prefill(prefill_tokens).index() >= FIRST_LONG_LEVEL;
        match self.settings.policy {
            Policy::LengthAware if chosen.cached.0 > 0 => ChoiceReason::Cached,
            Policy::LengthAware if is_long && self.engines[chosen.engine].in_long_pool => {
                ChoiceReason::LongPool
            }
            Policy::LengthAware => ChoiceReason::Earliest,
            Policy::RoundRobin => ChoiceReason::RoundRobin,
            Policy::Random => ChoiceReason::Random,
            Policy::LeastRequests | Policy::LeastTokens => ChoiceReason::LeastLoaded,
        }
    }

    pub(super) fn candidates(
        &mut self,
        request: &Request,
        max_count: usize,
        now: Instant,
    ) -> Vec<Candidate> {
        let routable = self
            .routable
            .get(&request.model)
            .cloned()
            .unwrap_or_default();
        match self.settings.policy {
            Policy::LengthAware => self.length_aware_candidates(request, &routable, max_count, now),
            policy => self.baseline_candidates(policy, request, &routable, now),
        }
    }

    fn baseline_candidates(
        &mut self,
        policy: Policy,
        request: &Request,
        routable: &[EngineIndex],
        now: Instant,
    ) -> Vec<Candidate> {
        self.round_robin_counter += 1;
        let counter = self.round_robin_counter;
        let count = routable.len();
        let mut candidates = Vec::with_capacity(count);
        for (position, index) in routable.iter().enumerate() {
            let engine = &self.engines[*index];
            let backlog = engine.load.backlog(now, engine.facts.prefill_rate);
            let cost = match policy {
                Policy::RoundRobin => ((position + count - counter % count) % count) as f64,
                Policy::Random => self.rng.f64(),
                Policy::LeastTokens => backlog.total() + self.rng.f64(),
                _ => f64::from(engine.load.requests()) + self.rng.f64(),
            };
            let estimate_s =
                engine.facts.prefill_rate.0.recip() * (backlog.total() + request.prompt.0 as f64);
            candidates.push(Candidate {
                engine: *index,
                cached: Tokens(0),
                estimate: clock::duration_from_secs(estimate_s),
                cost,
            });
        }
        candidates
    }

    fn length_aware_candidates(
        &mut self,
        request: &Request,
        routable: &[EngineIndex],
        max_count: usize,
        now: Instant,
    ) -> Vec<Candidate> {
        let cached = self.prefix_index.lookup(&request.prefixes);
        let mut sampled = self.sample_engines(routable, max_count);
        for (engine, _) in &cached {
            let is_routable = self.engines[*engine].usable && !self.engines[*engine].isolated;
            let serves_model = self.engines[*engine].facts.model == request.model;
            if is_routable && serves_model && !sampled.contains(engine) {
                sampled.push(*engine);
            }
        }
        let total_prefill_rate = self.estimate_total_prefill_rate(routable);
        sampled
            .into_iter()
            .map(|engine| {
                let cached_prefix = cached.iter().find(|(holder, _)| *holder == engine);
                let hit = cached_prefix.map_or(Tokens(0), |(_, tokens)| *tokens);
                let more_urgent_share =
                    self.more_urgent_share(request.prompt - hit, total_prefill_rate, now);
                self.evaluate_engine(request, engine, hit, more_urgent_share, now)
            })
            .collect()
    }

    /// Estimates the total prefill rate of the engines from the mean of the first
    /// `MAX_CANDIDATES`, so that the time does not grow with the fleet.
    fn estimate_total_prefill_rate(&self, routable: &[EngineIndex]) -> f64 {
        let probed = &routable[..routable.len().min(MAX_CANDIDATES)];
        let sum: f64 = probed
            .iter()
            .map(|i| self.engines[*i].facts.prefill_rate.0)
            .sum();
        sum / probed.len().max(1) as f64 * routable.len() as f64
    }

    fn more_urgent_share(
        &self,
        prefill_tokens: Tokens,
        total_prefill_rate: f64,
        now: Instant,
    ) -> f64 {
        let fleet_rate = TokensPerSecond(total_prefill_rate);
        let priority = Priority::for_prefill(prefill_tokens);
        let share = self.arrival_rates.more_urgent_share(
            priority,
            fleet_rate,
            self.settings.instances,
            now,
        );
        share.min(MAX_MORE_URGENT_SHARE)
    }

    fn sample_engines(&mut self, routable: &[EngineIndex], max_count: usize) -> Vec<EngineIndex> {
        if routable.len() <= max_count {
            return routable.to_vec();
        }
        let mut sampled = Vec::with_capacity(max_count + 4);
        while sampled.len() < max_count {
            let engine = routable[self.rng.usize(..routable.len())];
            if !sampled.contains(&engine) {
                sampled.push(engine);
            }
        }
        sampled
    }

    fn evaluate_engine(
        &self,
        request: &Request,
        index: EngineIndex,
        cached: Tokens,
        more_urgent_share: f64,
        now: Instant,
    ) -> Candidate {
        let engine = &self.engines[index];
        let prefill_tokens = request.prompt - cached;
        let priority = Priority::for_prefill(prefill_tokens);
        let backlog = engine.load.backlog(now, engine.facts.prefill_rate);
        let rate = engine.facts.prefill_rate.0;
        let prefill_time_s = (backlog.ahead_of(priority) + prefill_tokens.0 as f64)
            / rate
            / (1.0 - more_urgent_share);
        let step_wait_s = step_wait(&backlog, priority, rate);
        let estimate_s = prefill_time_s
            + step_wait_s
            + 2.0 * engine.facts.network_delay.as_secs_f64()
            + slot_wait(engine)
            + memory_wait(engine, request.memory());
        let cost =
            estimate_s + self.interference_cost(engine, priority, prefill_tokens, step_wait_s);
        Candidate {
            engine: index,
            cached,
            estimate: clock::duration_from_secs(estimate_s),
            cost,
        }
    }

    /// Cost to other requests, in seconds: a long prompt outside the long pool delays the
    /// short requests there, and a short request delays the long prompts that it overtakes.
    /// For a short request, an engine that another instance prefers costs more.
    fn interference_cost(
        &self,
        engine: &Engine,
        priority: Priority,
        prefill_tokens: Tokens,
        step_wait_s: f64,
    ) -> f64 {
        let weight = self.settings.short_weight;
        if priority.index() >= FIRST_LONG_LEVEL {
            if engine.in_long_pool {
                return 0.0;
            }
            return weight * LONG_SPILL_COST_SHARE * prefill_tokens.0 as f64
                / engine.facts.prefill_rate.0;
        }
        let preference_cost = if engine.preferred {
            0.0
        } else {
            NON_PREFERRED_COST.as_secs_f64()
        };
        weight * step_wait_s + preference_cost
    }
}

pub(super) fn free_memory(engine: &Engine) -> Tokens {
    engine.facts.memory - engine.load.reserved()
}

/// Expected rest of the step in progress in seconds, if the engine runs less urgent
/// prefill.
fn step_wait(backlog: &Backlog, priority: Priority, rate: f64) -> f64 {
    let behind = backlog.behind(priority).min(MAX_STEP_PREFILL.0 as f64);
    behind / rate / 2.0
}

fn slot_wait(engine: &Engine) -> f64 {
    let requests = engine.load.requests();
    let excess = requests
        .saturating_add(1)
        .saturating_sub(engine.facts.slots);
    f64::from(excess) * MEAN_SLOT_TIME.as_secs_f64() / f64::from(engine.facts.slots.max(1))
}

fn memory_wait(engine: &Engine, memory: Tokens) -> f64 {
    let free = free_memory(engine);
    if free >= memory {
        return 0.0;
    }
    let missing = (memory - free).0 as f64 / engine.facts.memory.0.max(1) as f64;
    MEMORY_WAIT.as_secs_f64() * missing.min(1.0)
}
